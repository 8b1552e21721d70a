"""An attempt at a model server: its request, its time limits and its result."""

from __future__ import annotations

from collections.abc import Awaitable
from dataclasses import dataclass, field
from typing import Protocol

import trio

from ternlane.event_loop import StartCheck, always_allowed
from ternlane.policy.messages import AttemptOutcome, Report, Role
from ternlane.policy.stream_limits import DEFAULT_STREAM_LIMITS, StreamLimits


@dataclass(slots=True, eq=False)
class ModelServerAttempt:
    """An attempt in flight: the request as the client sent it, the server's address and the time limits."""

    address: str
    role: Role  # of the server
    method: str
    target: str
    request_id: str
    body: bytes
    answer_by_s: float  # trio's clock: deadline for a prefill's answer or a decode's first token
    idle_timeout_ms: float  # the longest time between two events of the stream
    stream_limits: StreamLimits = DEFAULT_STREAM_LIMITS  # of a decode's answer
    start_check: StartCheck = always_allowed
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    release_wait: trio.CancelScope = field(default_factory=trio.CancelScope)  # of the wait for an earlier release
    cancelled: bool = False
    written_at_s: float | None = None  # trio's clock: when its last byte was written; from then on it may run

    @property
    def written(self) -> bool:
        """Whether the last byte has been written, from which on the attempt may run."""
        return self.written_at_s is not None

    def cancel(self) -> None:
        """Cancels the attempt, or the wait for a release before it."""
        self.cancelled = True
        self.release_wait.cancel()
        self.scope.cancel()


@dataclass(slots=True)
class AttemptResult:
    """How an attempt ended."""

    outcome: AttemptOutcome = AttemptOutcome.TIMED_OUT
    begun: bool = False  # the client has been sent the first event
    cached_tokens: float = 0.0  # prompt tokens found in the server's prefix cache
    state_lost: bool = False  # the prefill server no longer holds the state
    report: Report | None = None
    why: str = ""
    exceeded_limits: bool = False  # the answer was longer than it can be


class ResponseWriter(Protocol):
    """Receives the bytes of a stream. Both methods raise trio.BrokenResourceError if the client has disconnected."""

    def write_first_events(self, data: bytes) -> Awaitable[None]:
        """Writes the answer's head and first events."""

    def write_events(self, data: bytes) -> Awaitable[None]:
        """Writes more events."""
