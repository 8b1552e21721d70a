"""The request and the result of an attempt, independent of the transport."""

from __future__ import annotations

from collections.abc import Awaitable
from dataclasses import dataclass, field
from enum import Enum, auto
from math import inf
from typing import Any, Protocol

import trio

from ternlane.engine.messages import Usage
from ternlane.event_loop import StartCheck, always_allowed
from ternlane.policy.messages import AttemptOutcome, Report


class Stage(Enum):
    """The part of a request that an attempt runs."""

    PREFILL = auto()
    DECODE = auto()
    WHOLE = auto()  # a mixed server prefills and decodes in one attempt


@dataclass(slots=True)
class AttemptPlan:
    """The address, headers, body and time limits (ms) of an attempt.

    `timeout_ms` limits the time until the answer begins, `idle_timeout_ms` the time between two events of a stream that
    has begun, `total_timeout_ms` the time from sending to the end. `barred` is called right before the attempt is sent.
    """

    address: str
    headers: list[tuple[str, str]]
    body: bytes
    timeout_ms: float
    idle_timeout_ms: float
    total_timeout_ms: float = inf
    barred: StartCheck = always_allowed
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    cancelled: bool = False

    def cancel(self) -> None:
        """Cancels the attempt at once; its outcome is CANCELLED."""
        self.cancelled = True
        self.scope.cancel()


@dataclass(slots=True)
class AttemptRequest:
    """An attempt to be sent: its server, its stage, the client's request, and the limits in `plan`."""

    server: str  # id of the server
    address: str
    stage: Stage
    ident: str  # of the request
    number: int
    key: str  # idempotency key, by which an engine drops repeats
    raw: dict[str, Any]  # the client's request
    state: dict[str, Any] | None
    max_tokens: int
    plan: AttemptPlan
    protocol: str = "disaggregated"
    goes_on: bool = False  # `raw` ends with the part of the answer that the client has; the engine continues it


@dataclass(slots=True)
class AttemptResult:
    """How an attempt ended. `begun`: its first token had arrived; `state`: of a prefill, for the decode server."""

    outcome: AttemptOutcome
    begun: bool = False
    why: str = ""
    state: dict[str, Any] | None = None
    usage: Usage | None = None
    report: Report | None = None
    state_lost: bool = False
    finish: str = "stop"


class TextSink(Protocol):
    """Takes one piece of an answer; `more` holds its fields other than text (`ternlane.chat.message_extras`)."""

    def __call__(self, text: str, first: bool, more: dict[str, Any] | None = None) -> Awaitable[None]:
        """`first`: this is the attempt's first piece. Raises ClientGone."""


def start_timeout(plan: AttemptPlan) -> None:
    """Starts the time limit for the first piece of the answer."""
    plan.scope.deadline = min(plan.scope.deadline, trio.current_time() + plan.timeout_ms / 1000)


def record_cancellation(plan: AttemptPlan, result: AttemptResult) -> None:
    """Sets the outcome of an attempt that its plan's scope ended: cancelled from outside, or timed out."""
    if not plan.scope.cancelled_caught:
        return
    result.outcome = AttemptOutcome.CANCELLED if plan.cancelled else AttemptOutcome.TIMED_OUT
    if result.begun and not plan.cancelled:
        result.why = result.why or "silent or too slow within the stream"
