"""The interface between the router (`ternlane/policy/router.py`) and whatever hosts it.

A host creates one Router from a RouterConfig, passes events to `Router.take(now, events)` and executes the returned
actions in order. Servers, request classes and requests are objects shared by the host and the router; only the host
knows their ids. `router_state` of a server or a request belongs to the router, and hosts must not touch it. Times are
milliseconds.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto
from math import inf
from typing import TYPE_CHECKING

if TYPE_CHECKING:  # types of the fields that belong to the router; not imported at run time
    from ternlane.policy.endpoint_state import EndpointState
    from ternlane.policy.request_state import RequestState


class Effect(Enum):
    """The effect of running a request twice: none (IDEMPOTENT), none if the repeat reaches a server of the same group
    within the window (DEDUPLICATED), or a second side effect (SIDE_EFFECTING)."""

    IDEMPOTENT = auto()
    DEDUPLICATED = auto()
    SIDE_EFFECTING = auto()


class Group(Enum):
    """The set of servers that drop repeats of a deduplicated request."""

    ALL = auto()
    ZONE = auto()
    CELL = auto()


class Role(Enum):
    """The work a server does: prefill, decode, or both."""

    PREFILL = auto()
    DECODE = auto()
    BOTH = auto()

    __hash__ = object.__hash__  # faster than that of Enum; each member is a single object


class EndpointStatus(Enum):
    """The status of a server in the endpoint list. A DRAINING server is sent no new attempts."""

    READY = auto()
    DRAINING = auto()
    REMOVED = auto()


class AttemptOutcome(Enum):
    """How an attempt or a probe ended.

    OVERLOADED and CONNECT_FAILED: nothing ran (CONNECT_FAILED also covers attempts aborted before their last byte was
    written). CLIENT_GONE: the client had disconnected. NOT_STARTED: the attempt was not sent, as its server began to
    drain or `StartAttempt.start_within_ms` elapsed. CANCELLED: by CancelAttempt. PREFILLED: the server holds the state
    of the prompt. ERROR, TIMED_OUT and RESET: the attempt may have run.
    """

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
    """Why a request got its final answer without having been served; for logs and metrics. It does not determine
    whether the request is rejected or failed; see `RetryPolicy.final_answer`."""

    # The deadline has passed, all attempts are used up, or one is left although a prefill and a decode need two.
    ATTEMPTS_SPENT = auto()
    # The client timeout is shorter than the latency objective, and less than twice the usual time to first token is
    # left. Check the client timeouts, or why prefills are slow.
    DEADLINE_TOO_CLOSE = auto()
    # The request is past its latency objective while many prefills are late; its prefill would delay requests of higher
    # weight. Add prefill servers, or admit fewer requests.
    OVERLOAD = auto()
    # This gateway is shutting down and may exit before the answer is complete. The client can retry at another gateway.
    SHUTDOWN = auto()
    # For some role, every READY server was already tried or is ruled out by the request's effect. Check the endpoint
    # list and the outcomes of the attempts.
    NO_SERVER = auto()
    # All servers were congested or ejected until the latest start time had passed; for a retry it may have passed
    # already. Add servers, or find out why none has capacity.
    QUEUED_TOO_LONG = auto()
    # An attempt may have run, and the request's effect permits no further attempt at any known server.
    MAY_HAVE_RUN = auto()
    # Reported by the outcome of an attempt only; after ClientDisconnected the router gives no answer.
    CLIENT_LEFT = auto()
    # No reason: the request was streamed, or its client disconnected. For a failed request: the event loop failed it as
    # the router decided nothing in time, which is a bug in this program.
    UNKNOWN = auto()
    # The event loop of this gateway is so far behind that the answer would be too late. Find out what keeps it busy, or
    # add gateways.
    GATEWAY_BEHIND = auto()


class TimerKind(Enum):
    """The two timers of the router."""

    TICK = auto()  # periodic
    DEADLINE = auto()  # the next time at which a release or final answer is due


class ReleaseReason(Enum):
    """Why the state held for a request is released; for logs and metrics."""

    REQUEST_OVER = auto()  # answered, failed, or the client disconnected
    BEFORE_NEW_PREFILL = auto()  # the prompt is prefilled again, or queued for that
    STREAM_BROKE = auto()  # the client has received part of the answer
    ATTEMPT_SILENT = auto()  # no sign in time that the decode attempt that needs the state reached its server
    UNKNOWN = auto()


@dataclass(slots=True, eq=False)
class RequestClass:
    """The terms of a class of requests.

    The first token is due after `slo_ms` plus `slo_per_1000_tokens_ms` for each thousand prompt tokens, each further
    token `token_slo_ms` after the previous one, and the whole answer within `deadline_ms`. An answer in time has the
    value `priority_weight`; a late one has `late_value_share` of that. If the effect is DEDUPLICATED, the servers of
    `group` drop repeats for `window_ms`.
    """

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
    """A customer, identified by the object alone."""


@dataclass(slots=True, eq=False)
class Server:
    """A model server with a KV cache of `kv_capacity_tokens` tokens, `size` times the usual speed, running since
    `started_ms`. `hash_key` is the same for this server at every gateway and has no other meaning."""

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
    """A request to be routed.

    `session` identifies the conversation; `prefix` identifies the first `prefix_tokens` prompt tokens, which other
    requests share. The client times out after `client_timeout_ms`. With `whole`, the client receives the answer only
    once it is complete.
    """

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
    waited_ms: float = 0.0  # since its last byte arrived, before this gateway handled it
    turn_ms: float = 0.0  # how long a turn of the host's event loop takes when it arrives


@dataclass(slots=True, frozen=True)
class RouterConfig:
    """The configuration of a Router, given at its start and replaced by each ConfigChanged: limits and permissions of
    the deployment, and durations (ms)."""

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
    reports_on_probe: bool = False  # model servers report their load in reply to Probe only
    holds_expire_unless_arrived: bool = True  # a held state expires unless an attempt has reached a running server
    # Servers ignore a release of a state that an arrived attempt waits for, so it may be sent while an attempt is in
    # flight.
    releases_spare_attempts: bool = False


@dataclass(slots=True, frozen=True)
class Report:
    """A load report of a server. A field that the server does not report is None."""

    open_requests: float | None = None
    memory_share: float | None = None


# Events, from the host to the router.


@dataclass(slots=True, frozen=True)
class EndpointsUpdated:
    """Servers were added or changed; their fields already hold the new values. A complete list omits removed
    servers."""

    servers: tuple[Server, ...]


@dataclass(slots=True, frozen=True)
class ConfigChanged:
    """A new configuration. Requests that have arrived keep the terms of their class, and attempts in flight keep their
    time-outs."""

    router_config: RouterConfig


@dataclass(slots=True, frozen=True)
class ShutdownTimes:
    """The limits of a graceful shutdown, counted from when the gateway handles the signal; see `shutdown.py`."""

    admits_ms: float  # requests that arrive later are rejected
    answers_ms: float  # requests without a first token are given their final answer
    ends_ms: float  # the process may be killed


@dataclass(slots=True, frozen=True)
class ShutdownStarted:
    """This gateway shuts down; whatever is open at `ends_ms` is cut off. If repeated, the earlier of each limit
    applies."""

    times: ShutdownTimes


@dataclass(slots=True, frozen=True)
class EndpointListFailed:
    """A request for the endpoint list, or the watch on it, has failed."""


@dataclass(slots=True, frozen=True)
class RequestArrived:
    """A new request. It ends with an attempt that streams, a Reject or a Fail."""

    request: Request


@dataclass(slots=True, frozen=True)
class FirstToken:
    """The first token arrived, `took_ms` after the attempt was sent."""

    request: Request
    server: Server
    took_ms: float


@dataclass(slots=True, frozen=True)
class AttemptEnded:
    """An attempt has ended.

    `over`: the client has got its final answer. `kept_tokens`: prompt tokens that were cached. `state_lost`: the decode
    server did not find the prefilled state. `broken`: the client has part of the answer; after a ResumeStream another
    attempt may generate the rest.
    """

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
    """A request whose stream broke may be resumed. Its prompt now includes the tokens that the client has received."""

    request: Request


@dataclass(slots=True, frozen=True)
class ReleaseConfirmed:
    """A server has confirmed the latest release of the state held for the request."""

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
    """The client has disconnected; the host cancels the attempt."""

    request: Request


@dataclass(slots=True, frozen=True)
class TimerFired:
    """A timer started by StartTimer has expired."""

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


# Actions, from the router to the host.


@dataclass(slots=True, frozen=True)
class StartAttempt:
    """Send an attempt.

    `timeout_ms` limits the time to the first token. After that, a stream without a token for `idle_timeout_ms` counts
    as broken, and a stream that is not complete `total_timeout_ms` after the send is too late for its client. The
    attempt must not be sent later than `start_within_ms` from now, when servers no longer drop it as a repeat.
    """

    request: Request
    server: Server
    timeout_ms: float
    idle_timeout_ms: float
    total_timeout_ms: float
    start_within_ms: float = inf


@dataclass(slots=True, frozen=True)
class CancelAttempt:
    """Cancel the attempt of the request that is in flight."""

    request: Request


@dataclass(slots=True, frozen=True)
class Reject:
    """The final answer "rejected": a new request repeats no effect. `pause_ms` is the Retry-After."""

    request: Request
    pause_ms: float
    why: RejectReason = RejectReason.UNKNOWN


@dataclass(slots=True, frozen=True)
class Fail:
    """The final answer "failed": the request may have run, and a new one could repeat its effect."""

    request: Request
    why: RejectReason = RejectReason.UNKNOWN


@dataclass(slots=True, frozen=True)
class Release:
    """Release the state held for the request at any server, except a state that an arrived attempt waits for. `again`:
    send the release a second time within the release time, as a prefill whose end was not confirmed may still leave a
    state, and no other attempt will follow."""

    request: Request
    again: bool = False
    why: ReleaseReason = ReleaseReason.UNKNOWN


@dataclass(slots=True, frozen=True)
class Reserve:
    """Reserve capacity for the request at a decode server."""

    request: Request
    server: Server


@dataclass(slots=True, frozen=True)
class Probe:
    """Request a load report from a server."""

    server: Server


@dataclass(slots=True, frozen=True)
class WatchEndpoints:
    """Watch the endpoint list for changes."""


@dataclass(slots=True, frozen=True)
class StartTimer:
    """Start a timer: TimerFired is due at `at_ms`. Starting a timer of the same kind replaces it."""

    at_ms: float
    timer: TimerKind


@dataclass(slots=True, frozen=True)
class Log:
    """Log a line about a server."""

    server: Server
    text: str


Action = StartAttempt | CancelAttempt | Reject | Fail | Release | Reserve | Probe | WatchEndpoints | StartTimer | Log
