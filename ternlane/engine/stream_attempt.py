"""An attempt whose answer is streamed over HTTP as server-sent events."""

from __future__ import annotations

import trio

from ternlane.engine.attempt import AttemptPlan, AttemptResult, TextSink
from ternlane.engine.endpoints import CHAT_PATH, MAX_RESPONSE_BYTES
from ternlane.engine.http_attempt import record_rejection, run_attempt, take_connection
from ternlane.engine.messages import END_OF_STREAM, StreamChoice, decode_stream_chunk
from ternlane.http1 import ClientConnection, ConnectionPool, EventReader, extend_deadline
from ternlane.policy.messages import AttemptOutcome

MAX_ERROR_TEXT = 200  # characters of an engine's own words that go into the log


async def stream_attempt(pool: ConnectionPool, plan: AttemptPlan, pass_on: TextSink) -> AttemptResult:
    """Has an answer written; `pass_on(text, first)` gets each piece, with a third value where it has more than text.
    Raises ClientGone where that breaks."""
    attempt = StreamAttempt(pool, plan, pass_on)
    return await run_attempt(plan, attempt.result, attempt.run)


class StreamAttempt:
    """The exchange of one streamed attempt. `read_to_end`: nothing of the answer is left on the connection."""

    def __init__(self, pool: ConnectionPool, plan: AttemptPlan, pass_on: TextSink) -> None:
        self.pool = pool
        self.plan = plan
        self.pass_on = pass_on
        self.result = AttemptResult(AttemptOutcome.TIMED_OUT)
        self.last_s = trio.current_time() + plan.total_timeout_ms / 1000
        self.read_to_end = False

    async def run(self) -> None:
        """One request and its answer. A connection that was not read to its end is closed: its next answer would begin
        with the rest of this one."""
        connection = await take_connection(self.pool, self.plan)
        try:
            await self.exchange(connection)
        finally:
            if self.read_to_end:
                self.pool.give_back(connection)
            else:
                connection.close_now()

    async def exchange(self, connection: ClientConnection) -> None:
        """Sends the request, and notes in `result` how its answer ended."""
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
        if not self.result.begun:  # an answer of no tokens has begun with its end
            self.result.begun = True
            await self.pass_on("", True)
        self.result.outcome = AttemptOutcome.STREAMED

    async def read_events(self, connection: ClientConnection) -> bool:
        """Passes the stream on; false where the engine ended it with an error."""
        events = EventReader()
        async for data in connection.chunks():
            for event in events.feed(data):
                if event == END_OF_STREAM:
                    self.read_to_end = True
                elif not await self.take_event(event):
                    return False
            if self.result.begun:
                self.plan.scope.deadline = min(self.last_s, trio.current_time() + self.plan.idle_timeout_ms / 1000)
        return True

    async def take_event(self, event: str) -> bool:
        """One event of the stream; false for an error. Raises msgspec.DecodeError."""
        chunk = decode_stream_chunk(event)
        if chunk.error is not None:
            self.result.outcome = AttemptOutcome.ERROR
            self.result.why = f"the engine says: {str(chunk.error)[:MAX_ERROR_TEXT]}"
            return False
        if chunk.usage is not None:
            self.result.usage = chunk.usage
        if chunk.choices:
            await self.take_choice(chunk.choices[0])
        return True

    async def take_choice(self, choice: StreamChoice) -> None:
        """Passes on what the event adds to the answer."""
        self.result.finish = choice.finish_reason or self.result.finish
        text = choice.delta.content if choice.delta is not None else None
        extras = choice.extras()
        if not text and not extras:
            return
        if not self.result.begun:
            await extend_deadline(self.plan.scope, self.last_s)
        first = not self.result.begun
        self.result.begun = True
        self.plan.scope.deadline = self.last_s  # a slow client is not the engine's silence
        if extras is None:
            await self.pass_on(text or "", first)
        else:
            await self.pass_on(text or "", first, extras)
