"""One attempt at a model server: what is sent, its limits, and how it ended."""

from __future__ import annotations

from collections.abc import Awaitable
from dataclasses import dataclass, field
from typing import Protocol

import trio

from ternlane.event_loop import StartCheck, always_allowed
from ternlane.policy.messages import AttemptOutcome, Report, Role


@dataclass(slots=True, eq=False)
class ModelServerAttempt:
    """An attempt that is out: the request as the client sent it, to which address, for how long."""

    address: str
    role: Role  # of the server
    method: str
    target: str
    request_id: str
    body: bytes
    last_by: float  # s, trio's clock: a prefill's answer, or a first token, that comes later is not waited for
    idle_timeout_ms: float  # the longest silence within the stream
    start_check: StartCheck = always_allowed
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    release_wait: trio.CancelScope = field(default_factory=trio.CancelScope)  # for an earlier attempt's release
    cancelled: bool = False
    written_at: float | None = None  # s, trio's clock: when its last byte was; from then on it may run

    @property
    def written(self) -> bool:
        """Has its last byte been written, so that it may run?"""
        return self.written_at is not None

    def cancel(self) -> None:
        """Ends the attempt, or the wait before it."""
        self.cancelled = True
        self.release_wait.cancel()
        self.scope.cancel()


@dataclass(slots=True)
class AttemptResult:
    """How an attempt ended."""

    outcome: AttemptOutcome = AttemptOutcome.TIMED_OUT
    begun: bool = False  # the client has its first event
    cached_tokens: float = 0.0  # of the prompt, found in the server's prefix cache
    state_lost: bool = False  # the prefill's state is gone
    report: Report | None = None
    why: str = ""


class ResponseWriter(Protocol):
    """Where a stream's bytes go. Both raise trio.BrokenResourceError once the client has gone."""

    def write_first_events(self, data: bytes) -> Awaitable[None]:
        """Writes the answer's head and first events."""

    def write_events(self, data: bytes) -> Awaitable[None]:
        """Writes further events."""
