"""The workload of fake clients: their requests, their retries, and how faults change both during a run."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Any

Range = tuple[float, float]  # minimum and maximum of a uniform distribution


class ClientOutcome(StrEnum):
    """How an attempt ended for the client. The values are those of the JSON lines."""

    STREAMED = "streamed"
    REJECTED = "throttled"
    FAILED = "terminated"
    BROKEN = "broken"
    UNREACHABLE = "unreachable"
    NONE = "none"
    LEFT = "left"


@dataclass(frozen=True)
class ClientWorkload:
    """The traffic of one request class."""

    request_class: str
    effect: str  # "idempotent", "deduplicated" or "side-effecting"
    share: float  # of all sessions, in proportion to the shares of the other classes
    deadline_ms: float
    turns: Range = (1.0, 2.0)  # number of requests of a session
    adds: Range = (100.0, 400.0)  # number of tokens that a turn adds to the prompt
    prefixes: int = 8  # number of different shared prefixes
    prefix_tokens: Range = (500.0, 2000.0)
    prefix_share: float = 0.8  # share of sessions that begin with a shared prefix
    max_tokens: int = 400  # of an answer
    think_ms: float = 300.0  # mean time between an answer and the next turn
    session_key_share: float = 0.5  # share of sessions that send a prompt_cache_key
    unstreamed_share: float = 0.1  # share of requests that are not streamed


@dataclass
class ClientBehaviour:
    """How clients wait, retry and disconnect."""

    try_timeout_share: Range = (0.5, 1.0)  # timeout of an attempt, as a share of the deadline
    retries: int = 2
    backoff_ms: Range = (50.0, 300.0)
    retry_after_share: float = 0.7  # share of rejections after which the client waits for Retry-After
    leave_share: float = 0.0  # share of attempts whose client disconnects early
    leave_ms: Range = (20.0, 600.0)  # time until it disconnects


@dataclass
class TrafficConditions:
    """Changes of the traffic by faults. They take effect when the next session or request is drawn."""

    rate: float = 1.0  # factor on the usual rate
    long_prompt_share: float = 0.0  # share of turns whose text is longer
    long_prompt_factor: float = 1.0  # factor on its length
    long_prompt_class: str = ""  # only in this class; empty: in all
    hot_prefix_share: float = 0.0  # share of sessions that begin with a hot prefix
    hot_prefix_tokens: float = 3000.0  # length of a hot prefix
    hot_prefix_count: int = 1  # number of hot prefixes
    hot_prefix_seed: int = 0  # a new seed gives new texts
    rush_share: float = 0.0  # share of sessions that belong to the last tenant


@dataclass(frozen=True)
class Tenant:
    """The tenant to which requests are billed."""

    name: str
    api_key: str


@dataclass(eq=False)
class Session:
    """A conversation and its messages so far."""

    workload: ClientWorkload
    ident: str
    messages: list[dict[str, Any]]
    cache_key: str | None
    user: str
    tenant: Tenant | None
    turns_left: int = 1
    turn: int = 0

    def qualified(self, name: str) -> str:
        """The name as it is logged: prefixed by the tenant, if there is one."""
        return name if self.tenant is None else f"{self.tenant.name}:{name}"


@dataclass
class ClientResult:
    """The result of an attempt for the client."""

    outcome: ClientOutcome = ClientOutcome.NONE
    status: int = 0
    text: str = ""
    retry_after_ms: float | None = None
    reason: str = ""
    usage: dict[str, Any] | None = None
    trailing_bytes: int = 0  # received after the end of the answer
    longest_gap_ms: float = 0.0  # longest time between two chunks of its stream
