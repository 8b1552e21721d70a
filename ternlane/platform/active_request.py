"""A request at this gateway from its receipt to its final answer: its client's side, and the attempt that is out."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import ClassVar

import trio

from ternlane.policy import messages
from ternlane.http1 import Exchange
from ternlane.platform.engines import Attempt
from ternlane.platform.open_requests import Phase
from ternlane.platform.request_history import RequestHistory
from ternlane.policy.messages import Request
from ternlane.event_loop import Failed, Rejected, now_ms

STREAM_HEAD = [("Content-Type", "text/event-stream"), ("Cache-Control", "no-cache"), ("Transfer-Encoding", "chunked")]


@dataclass(slots=True)
class Streamed:
    """`whole`: with its last chunk; else its client's connection is to end without it."""

    recorded_as: ClassVar[str] = "streamed"  # the word that the wire, the ledger and the journal have for it

    whole: bool


Final = Rejected | Failed | Streamed


@dataclass(slots=True, eq=False)
class ActiveRequest:
    """A generation at this gateway. `final` is set once; its client's connection, which watches, is then woken."""

    ident: str
    request: Request
    exchange: Exchange
    body: bytes
    since: float
    final: Final | None = None
    left: bool = False
    streaming: bool = False
    attempt: Attempt | None = None
    server_name: str = ""  # of the newest attempt
    attempts: int = 0
    why: str = ""
    attempt_log: list[str] = field(default_factory=list)
    freeing: trio.Event | None = None  # set once what was held before is released
    watch: trio.CancelScope = field(default_factory=trio.CancelScope)
    history: RequestHistory = field(init=False)

    def __post_init__(self) -> None:
        self.history = RequestHistory(self.since)

    def note(self, event: str) -> None:
        """A transition, for the operators."""
        self.history.note(now_ms(), event)

    @property
    def over(self) -> bool:
        return self.final is not None or self.left

    @property
    def unanswered(self) -> bool:
        return not self.over and not self.streaming

    @property
    def last_outcome(self) -> str:
        """How its last attempt ended, "" before one has."""
        return self.attempt_log[-1].split()[2] if self.attempt_log else ""

    @property
    def deadline_ms(self) -> float:
        return self.since + self.request.client_timeout_ms

    @property
    def phase(self) -> Phase:
        """How far it has come."""
        if self.streaming:
            return Phase.STREAMING
        if self.attempt is None:
            return Phase.QUEUED
        if not self.attempt.written:
            return Phase.CONNECTING
        return Phase.PREFILL if self.attempt.role is messages.Role.PREFILL else Phase.DECODE

    async def first(self, data: bytes) -> None:
        await self.exchange.begin(200, STREAM_HEAD, data)

    async def more(self, data: bytes) -> None:
        await self.exchange.chunk(data)
