"""The interface between the router (`ternlane/policy/router.py`) and whatever hosts it.

A host makes one Router from a RouterConfig, hands it what happened through `Router.take(now, events)` and carries out
the actions that come back, in their order. Servers, request classes and requests are objects that the host and the
router share; the host alone knows their ids. `router_state` of a server or a request is the router's own; hosts leave
it alone. Times are milliseconds.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto
from math import inf
from typing import TYPE_CHECKING

if TYPE_CHECKING:  # the types of the router's own fields; nothing of them is imported at run time
    from ternlane.policy.endpoint_state import EndpointState
    from ternlane.policy.request_state import RequestState


class Effect(Enum):
    """What a request that runs twice does: nothing more, nothing more within a group and window, or harm."""

    IDEMPOTENT = auto()
    DEDUPLICATED = auto()
    SIDE_EFFECTING = auto()


class Group(Enum):
    """Which servers drop the repeats of a deduplicated request."""

    ALL = auto()
    ZONE = auto()
    CELL = auto()


class Role(Enum):
    """What a server is for: prompts (prefill), answers (decode), or both."""

    PREFILL = auto()
    DECODE = auto()
    BOTH = auto()


class EndpointStatus(Enum):
    """A server by the list: to be used, to be given nothing new, or no longer there."""

    READY = auto()
    DRAINING = auto()
    REMOVED = auto()


class AttemptOutcome(Enum):
    """How an attempt or a probe ended. OVERLOADED and CONNECT_FAILED: it ran nothing (the latter also where an attempt
    was given up before its last byte was written); CLIENT_GONE: its client had
    left; NOT_STARTED: it did not begin, as its server began to drain or `StartAttempt.start_within_ms` passed;
    CANCELLED: by CancelAttempt; PREFILLED: the state is held; ERROR, TIMED_OUT, RESET: it may have run."""

    STREAMED = auto()
    ERROR = auto()
    OVERLOADED = auto()
    TIMED_OUT = auto()
    CONNECT_FAILED = auto()
    RESET = auto()
    CANCELLED = auto()
    CLIENT_GONE = auto()
    NOT_STARTED = auto()
    PREFILLED = auto()


class RejectReason(Enum):
    """Why a request is given its final answer without having been served; for logs and metrics. Whether the answer is
    rejected or failed is another question (`RetryPolicy.final_answer`)."""

    # Its deadline has passed, its attempts are used up, or a single one is left where a prefill and a decode need two.
    ATTEMPTS_SPENT = auto()
    # Its client gave it less time than its latency objective, and less than two usual times to a first token are left.
    # Look at the clients' timeouts, or at why prefills are slow.
    DEADLINE_TOO_CLOSE = auto()
    # It is past its latency objective while many prefills come late; its prefill would delay requests of more weight.
    # Add prefill servers, or admit less.
    OVERLOAD = auto()
    # This gateway is shutting down and might end before the answer does. The client's next request goes elsewhere.
    SHUTDOWN = auto()
    # No READY server of some role is left that it was not sent to before and that its effect permits. Look at the list
    # of endpoints, and at the attempts' outcomes.
    NO_SERVER = auto()
    # All servers were congested or ejected until its latest start had passed; a retry may find that passed already.
    # Add servers, or see why none has room.
    QUEUED_TOO_LONG = auto()
    # An attempt may have run, and its effect permits no other one at any known server.
    MAY_HAVE_RUN = auto()
    # A host said so by an attempt's outcome alone; else the router is told ClientDisconnected and gives no answer.
    CLIENT_LEFT = auto()
    # No reason: the request was streamed, or its client left. With a failed request: the event loop gave it up because
    # nothing was decided in time, a defect of this program.
    UNKNOWN = auto()


class TimerKind(Enum):
    """Which of the router's two timers."""

    TICK = auto()  # comes from time to time, whatever happens
    DEADLINE = auto()  # the next release or final answer that is due


class ReleaseReason(Enum):
    """Why what is held for a request is released; for logs and metrics."""

    REQUEST_OVER = auto()  # answered, failed or left by its client
    BEFORE_NEW_PREFILL = auto()  # the prompt is to be read again, or the request queues for that
    STREAM_BROKE = auto()  # its client has a part of the answer
    ATTEMPT_SILENT = auto()  # nothing shows in time that the decode attempt which is to take it has arrived
    UNKNOWN = auto()


@dataclass(slots=True, eq=False)
class RequestClass:
    """What is known of a kind of request. Its first token is due after `slo_ms`, and `slo_per_1000_tokens_ms` more
    for each thousand tokens of the prompt; the others each `token_slo_ms` after the one before; all of it within
    `deadline_ms`. In time it is worth `priority_weight`, late `late_value_share` of that. Servers of `group` drop
    repeats for `window_ms`, where the effect is DEDUPLICATED."""

    effect: Effect
    group: Group
    window_ms: float
    slo_ms: float
    slo_per_1000_tokens_ms: float
    token_slo_ms: float
    deadline_ms: float
    priority_weight: float
    late_value_share: float


@dataclass(slots=True, eq=False)
class Tenant:
    """A customer. Nothing is known of one but that it is not another."""


@dataclass(slots=True, eq=False)
class Server:
    """A model server: room for `kv_capacity_tokens` tokens, `size` times as fast as the usual, up since `started_ms`.
    `hash_key` is a number of the server's own that every gateway sees alike; it tells nothing else."""

    zone: str
    cell: int
    role: Role
    kv_capacity_tokens: float
    size: float = 1.0
    started_ms: float = 0.0
    status: EndpointStatus = EndpointStatus.READY
    hash_key: int = 0
    router_state: EndpointState | None = None


@dataclass(slots=True, eq=False)
class Request:
    """A request to be routed. `session`: turns of one conversation; `prefix`: a beginning of `prefix_tokens` tokens
    that others share; `client_timeout_ms`: until its client gives up; `whole`: it hears nothing before all of it is
    there."""

    request_class: RequestClass
    session: str | None
    prefix: str | None
    prefix_tokens: float
    prompt_tokens: float
    max_tokens: float
    client_timeout_ms: float
    whole: bool = False
    router_state: RequestState | None = None
    tenant: Tenant | None = None


@dataclass(slots=True, frozen=True)
class RouterConfig:
    """What a Router is told at its start, and anew by each ConfigChanged: the deployment's limits and rights, and how
    long things take (ms)."""

    seed: int
    gateways: int
    zone: str
    request_classes: tuple[RequestClass, ...]
    max_attempts: int
    may_cancel: bool
    may_reserve: bool
    may_probe: bool
    may_send_retry_after: bool
    must_subscribe: bool
    ask_within_ms: float
    decode_servers_prefill: bool
    reports_mem: bool
    max_retry_after_ms: float
    connect_ms: float
    idle_ms: float
    release_ms: float
    drain_grace_ms: float
    slow_start_ms: float
    slow_start_share: float
    fall_multiple: float
    fall_ms: float
    step_ms: float
    reports_on_probe: bool = False  # model servers report their load to Probe, and in no answer
    holds_expire_unless_arrived: bool = True  # only an attempt that has reached a running server stops the release time
    # A release leaves alone what an attempt waits for that has arrived, so it may be sent while one is out.
    releases_spare_attempts: bool = False


@dataclass(slots=True, frozen=True)
class Report:
    """A load report of a server; None where the figure is not reported."""

    open_requests: float | None = None
    memory_share: float | None = None


# Events: what the host tells.


@dataclass(slots=True, frozen=True)
class EndpointsUpdated:
    """Something new of these servers, whose fields already hold it. A complete list leaves out removed ones."""

    servers: tuple[Server, ...]


@dataclass(slots=True, frozen=True)
class ConfigChanged:
    """Other settings from now on. Requests that have arrived keep their class's terms, and attempts that are out
    theirs."""

    router_config: RouterConfig


@dataclass(slots=True, frozen=True)
class ShutdownTimes:
    """When what ends, from the moment at which the gateway acts on its signal (`ternlane/policy/shutdown.py`)."""

    admits_ms: float  # requests that arrive later are rejected
    answers_ms: float  # requests without a first token are given their final answer
    ends_ms: float  # the process may be killed


@dataclass(slots=True, frozen=True)
class ShutdownStarted:
    """This gateway shuts down; what is not over by then is cut off. Told again, the earlier times hold."""

    times: ShutdownTimes


@dataclass(slots=True, frozen=True)
class EndpointListFailed:
    """A request for the endpoint list, or the watch on its changes, has failed."""


@dataclass(slots=True, frozen=True)
class RequestArrived:
    """A request to be answered: by an attempt that streams, a Reject or a Fail."""

    request: Request


@dataclass(slots=True, frozen=True)
class FirstToken:
    """The attempt's first token has come, `took_ms` after it was sent."""

    request: Request
    server: Server
    took_ms: float


@dataclass(slots=True, frozen=True)
class AttemptEnded:
    """An attempt has ended. `over`: the client has its final answer by it. `kept_tokens`: so much of the prompt was
    cached; `state_lost`: a decode server found no state to go on with. `broken`: its client has a part of the answer,
    and another attempt may give the rest once ResumeStream says so."""

    request: Request
    server: Server
    outcome: AttemptOutcome
    took_ms: float
    over: bool
    kept_tokens: float = 0.0
    state_lost: bool = False
    report: Report | None = None
    broken: bool = False


@dataclass(slots=True, frozen=True)
class ResumeStream:
    """A request whose stream broke may go on; its prompt has grown by what its client has."""

    request: Request


@dataclass(slots=True, frozen=True)
class ReleaseConfirmed:
    """A server has confirmed the newest release of what is held for the request."""

    request: Request


@dataclass(slots=True, frozen=True)
class ReservationResult:
    """The answer to Reserve."""

    request: Request
    held: bool


@dataclass(slots=True, frozen=True)
class ProbeResult:
    """The answer to Probe."""

    server: Server
    outcome: AttemptOutcome
    report: Report | None


@dataclass(slots=True, frozen=True)
class ClientDisconnected:
    """Nobody waits for it any more; its attempt is cancelled by the host."""

    request: Request


@dataclass(slots=True, frozen=True)
class TimerFired:
    """A time asked for by StartTimer has come."""

    timer: TimerKind


Event = (
    EndpointsUpdated
    | ConfigChanged
    | ShutdownStarted
    | EndpointListFailed
    | RequestArrived
    | FirstToken
    | AttemptEnded
    | ResumeStream
    | ReleaseConfirmed
    | ReservationResult
    | ProbeResult
    | ClientDisconnected
    | TimerFired
)


# Actions: what the router asks for.


@dataclass(slots=True, frozen=True)
class StartAttempt:
    """Sends an attempt. `timeout_ms` runs until the first token; after it, a stream that is silent for
    `idle_timeout_ms` has broken, and one that is not over after `total_timeout_ms`, counted from the send, comes too
    late for its client. Nothing of it may be sent later than `start_within_ms` from now, as servers drop no repeat
    after."""

    request: Request
    server: Server
    timeout_ms: float
    idle_timeout_ms: float
    total_timeout_ms: float
    start_within_ms: float = inf


@dataclass(slots=True, frozen=True)
class CancelAttempt:
    """Stops the wait for the request's attempt that is out."""

    request: Request


@dataclass(slots=True, frozen=True)
class Reject:
    """The final answer "not now": nothing ran that a new request would double. `pause_ms`: its Retry-After."""

    request: Request
    pause_ms: float
    why: RejectReason = RejectReason.UNKNOWN


@dataclass(slots=True, frozen=True)
class Fail:
    """The final answer "given up": it may have run, and a new request could double its effect."""

    request: Request
    why: RejectReason = RejectReason.UNKNOWN


@dataclass(slots=True, frozen=True)
class Release:
    """Releases what is held for the request, at whichever server, but for what an attempt waits for that has arrived.
    `again`: once more within the release time, as a prefill that ended unheard may yet leave a state, and nothing
    else is to come."""

    request: Request
    again: bool = False
    why: ReleaseReason = ReleaseReason.UNKNOWN


@dataclass(slots=True, frozen=True)
class Reserve:
    """Asks a decode server to keep capacity free for the request."""

    request: Request
    server: Server


@dataclass(slots=True, frozen=True)
class Probe:
    """Asks for a server's load report, outside any request."""

    server: Server


@dataclass(slots=True, frozen=True)
class WatchEndpoints:
    """Asks for the changes of the endpoint list from now on."""


@dataclass(slots=True, frozen=True)
class StartTimer:
    """Asks for TimerFired at `at_ms`; each of the two kinds has one time at most, the newest."""

    at_ms: float
    timer: TimerKind


@dataclass(slots=True, frozen=True)
class Log:
    """A line for the operators about a server."""

    server: Server
    text: str


Action = StartAttempt | CancelAttempt | Reject | Fail | Release | Reserve | Probe | WatchEndpoints | StartTimer | Log
