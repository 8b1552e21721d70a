"""Forwards the text of one attempt to its client, and reports its progress to stream recovery and the router."""

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
    """Receives the text of one attempt and writes it to the client's socket without a queue, so that a slow client
    slows its server down."""

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
        self.exploratory = runtime.stream_recovery.stall_detector.start_stream()

    async def forward(self, text: str, first: bool, more: Extras | None = None) -> None:
        """Forwards one piece of the engine's stream. Raises ClientGone if the client has disconnected."""
        recovery = self.runtime.stream_recovery
        if not first:
            recovery.record_piece_interval(self.server, now_ms() - self.last_piece_ms, self.exploratory)
        try:
            await self.take_piece(text, first, more)
        finally:
            self.last_piece_ms = now_ms()  # time spent on a slow client is not the engine's silence
        self.plan.idle_timeout_ms = recovery.idle_timeout_ms(
            self.active_request.join, self.server, self.longest_silence_ms, self.exploratory
        )

    async def take_piece(self, text: str, first: bool, more: Extras | None) -> None:
        """Joins the piece to the text and writes its new part. Raises ClientGone if the client has disconnected."""
        if self.active_request.is_finished:
            raise ClientGone
        if first:
            self.begin()
        new = self.join(text)
        if new is not None:
            await self.write(new, more)

    def begin(self) -> None:
        """Records the first piece: the decode server has fetched the state, so no prefill server holds it any more."""
        runtime = self.runtime
        active_request = self.active_request
        active_request.streaming = True
        if active_request.holders and runtime.journal_writer is not None:
            runtime.journal_writer.record_state_released(active_request)
        active_request.holders.clear()
        if not active_request.begun:
            waited_s = (now_ms() - active_request.received_ms) / MS_PER_S
            runtime.metrics.first.labels(active_request.chat_request.model).observe(waited_s)
        paused_ms = runtime.stream_recovery.first_piece(active_request, now_ms(), active_request.admitted_ms)
        if paused_ms is not None:
            runtime.metrics.resumed.observe(paused_ms / MS_PER_S)
            runtime.resume_streams()  # its slot is free
        runtime.dispatch(messages.FirstToken(active_request.request, self.server, now_ms() - self.started_ms))

    def join(self, text: str) -> str | None:
        """The part of the piece that is new to the client; None if the attempt ends here."""
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
        """Writes to the client. Raises ClientGone if the connection is broken."""
        active_request = self.active_request
        if not self.runtime.within_budget(active_request):  # the tenant has such streams cut
            active_request.why = "over budget: the overdraft is used up"
            self.plan.cancel()
        head = not active_request.begun
        active_request.begun = True
        if more is not None:
            active_request.extras.add(more)
            active_request.join.disable_for_extras()
        elif not new and not head:
            return  # replayed text that the client has already
        try:
            if more is None:
                await active_request.response_writer.piece(new, head)
            else:
                await active_request.response_writer.piece(new, head, more)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            raise ClientGone from None
