"""Forwards the text of one attempt to its client, and tells recovery and decisions what they learn from it."""

from __future__ import annotations

import trio

from ternlane.chat.message_extras import Extras
from ternlane.engine import AttemptPlan, ClientGone
from ternlane.event_loop import now_ms
from ternlane.gateway.active_request import ActiveRequest
from ternlane.gateway.runtime_port import RuntimePort
from ternlane.policy import messages
from ternlane.recovery import ReplayMismatchError

MS_PER_S = 1000


class StreamForwarder:
    """The sink of one attempt. Text goes straight to the client's socket; no queue lies between, so a slow client slows
    its server."""

    def __init__(
        self, runtime: RuntimePort, active_request: ActiveRequest, server: messages.Server, plan: AttemptPlan
    ) -> None:
        self.runtime = runtime
        self.active_request = active_request
        self.server = server
        self.plan = plan
        self.started_ms = now_ms()
        self.last_piece_ms = 0.0
        self.longest_silence_ms = plan.idle_timeout_ms
        self.explores = runtime.stream_recovery.stall_detector.explores()

    async def forward(self, text: str, first: bool, more: Extras | None = None) -> None:
        """One piece of the engine's stream. Raises ClientGone where nobody takes it."""
        recovery = self.runtime.stream_recovery
        if not first:
            recovery.record_piece_interval(self.server, now_ms() - self.last_piece_ms, self.explores)
        try:
            await self.take_piece(text, first, more)
        finally:
            self.last_piece_ms = now_ms()  # a client that takes its time is not the engine's silence
        self.plan.idle_timeout_ms = recovery.idle_timeout_ms(
            self.active_request.join, self.server, self.longest_silence_ms, self.explores
        )

    async def take_piece(self, text: str, first: bool, more: Extras | None) -> None:
        """Joins the piece to the text, and writes what is new of it. Raises ClientGone where nobody takes it."""
        if self.active_request.is_finished:
            raise ClientGone
        if first:
            self.begin()
        new = self.join(text)
        if new is not None:
            await self.write(new, more)

    def begin(self) -> None:
        """The attempt streams: the decode server has fetched the state, and nobody else holds it any more."""
        runtime = self.runtime
        active_request = self.active_request
        active_request.streaming = True
        if active_request.holders and runtime.journal_writer is not None:
            runtime.journal_writer.record_state_released(active_request)
        active_request.holders.clear()
        if not active_request.begun:
            waited_s = (now_ms() - active_request.since) / MS_PER_S
            runtime.metrics.first.labels(active_request.chat_request.model).observe(waited_s)
        paused_ms = runtime.stream_recovery.first_piece(active_request, now_ms(), active_request.taken)
        if paused_ms is not None:
            runtime.metrics.resumed.observe(paused_ms / MS_PER_S)
            runtime.resume_streams()  # its place is free
        runtime.dispatch(messages.FirstToken(active_request.request, self.server, now_ms() - self.started_ms))

    def join(self, text: str) -> str | None:
        """What of the piece is new to the client; None where the attempt ends with it."""
        join = self.active_request.join
        try:
            new = join.take(text)
        except ReplayMismatchError:
            self.active_request.why = join.why
            self.plan.cancel()
            return None
        if join.stopped:
            self.plan.cancel()
            return None
        return new

    async def write(self, new: str, more: Extras | None) -> None:
        """Writes to the client. Raises ClientGone where its connection is broken."""
        active_request = self.active_request
        if not self.runtime.affords(active_request):  # its tenant wants streams cut that pass the overdraft
            active_request.why = "over budget: the overdraft is used up"
            self.plan.cancel()
        head = not active_request.begun
        active_request.begun = True
        if more is not None:
            active_request.extras.add(more)
            active_request.join.disable_for_extras()
        elif not new and not head:
            return  # a replay's, which the client has
        try:
            if more is None:
                await active_request.response_writer.piece(new, head)
            else:
                await active_request.response_writer.piece(new, head, more)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            raise ClientGone from None
