"""An attempt whose answer is streamed over HTTP as server-sent events."""

from __future__ import annotations

import trio

from ternlane.engine.attempt import AttemptPlan, AttemptResult, TextSink
from ternlane.engine.http_attempt import record_rejection, run_attempt, take_connection
from ternlane.engine.http_constants import CHAT_PATH, MAX_RESPONSE_BYTES
from ternlane.engine.messages import END_OF_STREAM, StreamChoice, decode_stream_chunk
from ternlane.http1 import ClientConnection, ConnectionPool, EventReader, extend_deadline
from ternlane.policy.messages import AttemptOutcome
from ternlane.policy.stream_limits import DEFAULT_STREAM_LIMITS, StreamLimits, StreamMeter

MAX_ERROR_TEXT = 200  # characters of an engine's error message that are logged


async def stream_attempt(
    pool: ConnectionPool, plan: AttemptPlan, pass_on: TextSink, limits: StreamLimits = DEFAULT_STREAM_LIMITS
) -> AttemptResult:
    """Has an answer generated. Each piece goes to `pass_on(text, first)`, with a third value if it has more than text.
    Raises ClientGone if that does. An answer beyond `limits` is an error."""
    attempt = StreamAttempt(pool, plan, pass_on, limits)
    return await run_attempt(plan, attempt.result, attempt.run)


class StreamAttempt:
    """Runs one streamed attempt. `read_to_end`: the answer was read completely, so the connection can be reused."""

    def __init__(self, pool: ConnectionPool, plan: AttemptPlan, pass_on: TextSink, limits: StreamLimits) -> None:
        self.pool = pool
        self.plan = plan
        self.pass_on = pass_on
        self.limits = limits
        self.result = AttemptResult(AttemptOutcome.TIMED_OUT)
        self.deadline_s = trio.current_time() + plan.total_timeout_ms / 1000
        self.read_to_end = False

    async def run(self) -> None:
        """Sends the request and reads the answer. A connection on which a part of the answer is left unread is closed,
        as the next answer would begin with that part."""
        connection = await take_connection(self.pool, self.plan)
        try:
            await self.exchange(connection)
        finally:
            if self.read_to_end:
                self.pool.give_back(connection)
            else:
                connection.close_now()

    async def exchange(self, connection: ClientConnection) -> None:
        """Sends the request, and records in `result` how the answer ended."""
        head = await connection.ask("POST", CHAT_PATH, self.plan.headers, self.plan.body)
        if record_rejection(head, self.result):
            await connection.body(MAX_RESPONSE_BYTES)
            self.read_to_end = True
            return
        if not await self.read_events(connection):
            return
        if not self.read_to_end:
            self.result.outcome = AttemptOutcome.RESET
            self.result.why = "the stream ended before [DONE]"
            return
        if not self.result.begun:  # for an empty answer, the first piece is an empty one at its end
            self.result.begun = True
            await self.pass_on("", True)
        self.result.outcome = AttemptOutcome.STREAMED

    async def read_events(self, connection: ClientConnection) -> bool:
        """Forwards the stream; false if the engine ended it with an error event."""
        connection.limit_body(self.limits.max_bytes)
        events = EventReader()
        meter = StreamMeter(self.limits, trio.current_time())
        async for data in connection.chunks():
            complete_events = events.feed(data)
            connection.kept_bytes = events.held_bytes
            received_s = trio.current_time()
            for event in complete_events:
                meter.count(1, received_s)
                if event == END_OF_STREAM:
                    self.read_to_end = True
                elif not await self.handle_event(event):
                    return False
            handled_s = trio.current_time()
            meter.exclude(handled_s - received_s)
            if self.result.begun:
                silent_at_s = meter.silent_at_s(handled_s, self.plan.idle_timeout_ms)
                self.plan.scope.deadline = min(self.deadline_s, silent_at_s)
        return True

    async def handle_event(self, event: str) -> bool:
        """Handles one event of the stream; false for an error event. Raises msgspec.DecodeError."""
        chunk = decode_stream_chunk(event)
        if chunk.error is not None:
            self.result.outcome = AttemptOutcome.ERROR
            self.result.why = f"the engine says: {str(chunk.error)[:MAX_ERROR_TEXT]}"
            return False
        if chunk.usage is not None:
            self.result.usage = chunk.usage
        if chunk.choices:
            await self.handle_choice(chunk.choices[0])
        return True

    async def handle_choice(self, choice: StreamChoice) -> None:
        """Forwards the part of the answer that the event adds, and records the finish reason. Raises ClientGone if
        `pass_on` does."""
        self.result.finish = choice.finish_reason or self.result.finish
        text = choice.delta.content if choice.delta is not None else None
        extras = choice.extras()
        if not text and not extras:
            return
        if not self.result.begun:
            await extend_deadline(self.plan.scope, self.deadline_s)
        first = not self.result.begun
        self.result.begun = True
        self.plan.scope.deadline = self.deadline_s  # the time of a slow client does not count as the engine's
        if extras is None:
            await self.pass_on(text or "", first)
        else:
            await self.pass_on(text or "", first, extras)
