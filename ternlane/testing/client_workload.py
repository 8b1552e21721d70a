"""How fake clients use a gateway: what they ask, how they retry, and what changes about it during a run."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Any

Range = tuple[float, float]  # least and most; drawn evenly between them


class ClientOutcome(StrEnum):
    """How an attempt ended, as the client saw it; the values are those of the JSON lines."""

    STREAMED = "streamed"
    REJECTED = "throttled"
    FAILED = "terminated"
    BROKEN = "broken"
    UNREACHABLE = "unreachable"
    NONE = "none"
    LEFT = "left"


@dataclass(frozen=True)
class ClientWorkload:
    """How one request class is used."""

    request_class: str
    effect: str  # "idempotent", "deduplicated" or "side-effecting"
    share: float  # of all sessions, relative to the others' shares
    deadline_ms: float
    turns: Range = (1.0, 2.0)  # requests of a session
    adds: Range = (100.0, 400.0)  # tokens that each turn adds to the prompt
    prefixes: int = 8  # texts that sessions begin with
    prefix_tokens: Range = (500.0, 2000.0)
    prefix_share: float = 0.8  # of sessions that begin with one of them
    max_tokens: int = 400  # of an answer
    think_ms: float = 300.0  # on the mean, between an answer and the next turn
    key_part: float = 0.5  # share of sessions that name themselves by prompt_cache_key
    plain_part: float = 0.1  # share of requests that are not streamed


@dataclass
class ClientBehaviour:
    """How clients wait, retry and leave."""

    try_share: Range = (0.5, 1.0)  # of the deadline that an attempt waits
    retries: int = 2
    backoff_ms: Range = (50.0, 300.0)
    honour: float = 0.7  # share of clients that heed a Retry-After
    leave_part: float = 0.0  # share of attempts whose client leaves before the end
    leave_ms: Range = (20.0, 600.0)  # after which it leaves


@dataclass
class TrafficConditions:
    """What faults change about the traffic; looked at when a session starts or a request is drawn."""

    rate: float = 1.0  # times the usual rate
    long_part: float = 0.0  # share of prompts that are longer,
    long_times: float = 1.0  # by so many times,
    long_request_class: str = ""  # of this class; empty: of all
    hot_part: float = 0.0  # share of sessions that begin with a text not seen before,
    hot_tokens: float = 3000.0  # of this length,
    hot_keys: int = 1  # one of so many
    hot_seed: int = 0  # another seed, other texts
    rush_part: float = 0.0  # share of sessions that are the last tenant's


@dataclass(frozen=True)
class Tenant:
    """Whom a request is billed to."""

    name: str
    api_key: str


@dataclass(eq=False)
class Session:
    """A conversation, as far as it has come."""

    workload: ClientWorkload
    ident: str
    messages: list[dict[str, Any]]
    cache_key: str | None
    user: str
    tenant: Tenant | None
    turns_left: int = 1
    turn: int = 0

    def owned(self, name: str) -> str:
        """The name as JSON lines have it: with the tenant, where there is one."""
        return name if self.tenant is None else f"{self.tenant.name}:{name}"


@dataclass
class ClientResult:
    """How an attempt ended, as the client saw it."""

    outcome: ClientOutcome = ClientOutcome.NONE
    status: int = 0
    text: str = ""
    retry_after_ms: float | None = None
    why: str = ""
    usage: dict[str, Any] | None = None
    unread_bytes: int = 0  # that came after the end
    longest_gap_ms: float = 0.0  # between two chunks of its stream
