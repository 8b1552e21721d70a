"""Writers of an answer's text: as server-sent events while it arrives, or as one response at the end."""

from __future__ import annotations

import time

from ternlane.chat import chunk, error_body, usage_chunk
from ternlane.chat.message_extras import Extras
from ternlane.gateway.active_request import Failed, FinalAnswer, ResponseWriter, Streamed
from ternlane.http1 import Exchange, encode_event

STREAM_HEAD = [
    ("Content-Type", "text/event-stream; charset=utf-8"),
    ("Cache-Control", "no-store"),
    ("Transfer-Encoding", "chunked"),
]


class StreamResponseWriter(ResponseWriter):
    """Sends text as server-sent events while it arrives."""

    def __init__(
        self, exchange: Exchange, ident: str, model: str, include_usage: bool, after: int | None = None
    ) -> None:
        """`after`: characters that the client has already, from which event ids count; None for events without ids."""
        super().__init__()
        self.exchange = exchange
        self.ident = ident
        self.model = model
        self.include_usage = include_usage
        self.after = after
        self.created = int(time.time())

    async def piece(self, text: str, first: bool, more: Extras | None = None) -> None:
        """Sends one event; the first one follows the response head."""
        if self.after is not None:
            self.after += len(text)
        data = encode_event(chunk(self.ident, self.created, self.model, text, None, first, more), self.after)
        if first:
            await self.exchange.begin(200, [*STREAM_HEAD, ("X-Request-Id", self.ident), *self.extra], data)
        else:
            await self.exchange.chunk(data)

    async def end(self, final: FinalAnswer) -> None:
        """Ends the stream. If the answer is incomplete, an error event replaces [DONE]."""
        if not isinstance(final, Streamed):
            why = final.why if isinstance(final, Failed) else "throttled"
            await self.exchange.end(encode_event(error_body(502, f"The answer broke off: {why}", "stream_broken")))
            return
        data = encode_event(chunk(self.ident, self.created, self.model, None, final.finish, False))
        if self.include_usage:
            data += encode_event(usage_chunk(self.ident, self.created, self.model, final.usage))
        await self.exchange.end(data + encode_event(b"[DONE]"))


class BufferedResponseWriter(ResponseWriter):
    """Writes nothing: the request keeps the text until the answer is complete."""

    async def piece(self, text: str, first: bool, more: Extras | None = None) -> None:
        """Nothing is sent before the end."""
