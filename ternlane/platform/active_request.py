"""A request at this gateway from its receipt to its final answer: its client's side, and the attempt that is out."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import ClassVar

import trio

from ternlane.event_loop import Failed, Rejected, now_ms
from ternlane.http1 import Exchange
from ternlane.platform.attempt import ModelServerAttempt
from ternlane.platform.open_requests import OpenRequestPhase
from ternlane.platform.request_history import RequestHistory
from ternlane.policy import messages
from ternlane.policy.messages import Request

STREAM_HEAD = [("Content-Type", "text/event-stream"), ("Cache-Control", "no-cache"), ("Transfer-Encoding", "chunked")]


@dataclass(slots=True)
class Streamed:
    """The answer was streamed. `whole`: with its last chunk; else the client's connection is to end without it."""

    recorded_as: ClassVar[str] = "streamed"  # the word on the wire, in the ledger and in the journal

    whole: bool


FinalAnswer = Rejected | Failed | Streamed


@dataclass(slots=True, eq=False)
class ActiveRequest:
    """A request at this gateway. `final` is set once; the client's connection, which waits for it, is then woken."""

    request_id: str
    request: Request
    exchange: Exchange
    body: bytes
    received_ms: float
    final: FinalAnswer | None = None
    client_gone: bool = False
    streaming: bool = False  # its client has the first event of the present attempt
    attempt: ModelServerAttempt | None = None  # that is out
    server_name: str = ""  # of the newest attempt
    attempts: int = 0
    why: str = ""  # the newest attempt's failure
    attempt_log: list[str] = field(default_factory=list)  # one line for each attempt that has ended
    released: trio.Event | None = None  # set once what was held before is released
    client_watch: trio.CancelScope = field(default_factory=trio.CancelScope)  # ends when `final` is set
    history: RequestHistory = field(init=False)

    def __post_init__(self) -> None:
        self.history = RequestHistory(self.received_ms)

    def record(self, event: str) -> None:
        """Adds a transition to its history, for the operators."""
        self.history.record(now_ms(), event)

    @property
    def is_finished(self) -> bool:
        """Is nothing owed to its client any more?"""
        return self.final is not None or self.client_gone

    @property
    def unanswered(self) -> bool:
        """Is its client there, and has nothing of its answer yet?"""
        return not self.is_finished and not self.streaming

    @property
    def last_outcome(self) -> str:
        """How its last attempt ended, as its log line says; "" before one has."""
        return self.attempt_log[-1].split()[2] if self.attempt_log else ""

    @property
    def deadline_ms(self) -> float:
        """By when its answer has to begin (ms, the loop's clock)."""
        return self.received_ms + self.request.client_timeout_ms

    @property
    def phase(self) -> OpenRequestPhase:
        """How far it has come."""
        if self.streaming:
            return OpenRequestPhase.STREAMING
        if self.attempt is None:
            return OpenRequestPhase.QUEUED
        if not self.attempt.written:
            return OpenRequestPhase.CONNECTING
        return OpenRequestPhase.PREFILL if self.attempt.role is messages.Role.PREFILL else OpenRequestPhase.DECODE

    async def write_first_events(self, data: bytes) -> None:
        """Writes the answer's head and first events. Raises trio.BrokenResourceError once the client has gone."""
        await self.exchange.begin(200, STREAM_HEAD, data)

    async def write_events(self, data: bytes) -> None:
        """Writes further events. Raises trio.BrokenResourceError once the client has gone."""
        await self.exchange.chunk(data)
