"""The state of a request at this gateway from its receipt to its final answer."""

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
from ternlane.policy.stream_limits import StreamLimits

STREAM_HEAD = [("Content-Type", "text/event-stream"), ("Cache-Control", "no-cache"), ("Transfer-Encoding", "chunked")]


@dataclass(slots=True)
class Streamed:
    """The answer was streamed. If it is not complete, the client's connection is closed without the last chunk."""

    recorded_as: ClassVar[str] = "streamed"  # the outcome's name on the wire, in the ledger and in the journal

    is_complete: bool


FinalAnswer = Rejected | Failed | Streamed


@dataclass(slots=True, eq=False)
class ActiveRequest:
    """A request at this gateway. `final` is set once, which ends the wait of the client's connection for it."""

    request_id: str
    request: Request
    exchange: Exchange
    body: bytes
    received_ms: float
    stream_limits: StreamLimits  # of its answer
    final: FinalAnswer | None = None
    client_gone: bool = False
    streaming: bool = False  # the first event of the current attempt has been sent to the client
    attempt: ModelServerAttempt | None = None  # in flight
    server_name: str = ""  # of the latest attempt
    attempt_count: int = 0
    why: str = ""  # why the latest attempt failed
    attempt_log: list[str] = field(default_factory=list)  # one line for each attempt that has ended
    released: trio.Event | None = None  # set once the state of earlier attempts is released
    client_watch: trio.CancelScope = field(default_factory=trio.CancelScope)  # cancelled when `final` is set
    history: RequestHistory = field(init=False)

    def __post_init__(self) -> None:
        self.history = RequestHistory(self.received_ms)

    def record(self, event: str) -> None:
        """Adds a transition to the request's history."""
        self.history.record(now_ms(), event)

    def drop_body(self) -> None:
        """The body is not needed any more: no further attempt will be sent."""
        self.body = b""
        self.exchange.body_dropped()

    @property
    def is_finished(self) -> bool:
        """Whether the request has its final answer, or its client has disconnected."""
        return self.final is not None or self.client_gone

    @property
    def unanswered(self) -> bool:
        """Whether the client is connected and has received nothing of its answer."""
        return not self.is_finished and not self.streaming

    @property
    def last_outcome(self) -> str:
        """The outcome of the last attempt that has ended, as its log line names it; "" for none."""
        return self.attempt_log[-1].split()[2] if self.attempt_log else ""

    @property
    def deadline_ms(self) -> float:
        """By when the answer must begin (ms, the event loop's clock)."""
        return self.received_ms + self.request.client_timeout_ms

    @property
    def phase(self) -> OpenRequestPhase:
        """The request's current phase."""
        if self.streaming:
            return OpenRequestPhase.STREAMING
        if self.attempt is None:
            return OpenRequestPhase.QUEUED
        if not self.attempt.written:
            return OpenRequestPhase.CONNECTING
        return OpenRequestPhase.PREFILL if self.attempt.role is messages.Role.PREFILL else OpenRequestPhase.DECODE

    async def write_first_events(self, data: bytes) -> None:
        """Writes the answer's head and first events. Raises trio.BrokenResourceError if the client has disconnected."""
        await self.exchange.begin(200, STREAM_HEAD, data)

    async def write_events(self, data: bytes) -> None:
        """Writes more events. Raises trio.BrokenResourceError if the client has disconnected."""
        await self.exchange.chunk(data)
