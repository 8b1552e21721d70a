"""Sends the final answer as one HTTP response to a client that has received nothing yet."""

from __future__ import annotations

import time

from ternlane.chat import ChatRequest, answer_body, error_body
from ternlane.gateway.active_request import ActiveRequest, Failed, FinalAnswer, Rejected, Streamed
from ternlane.gateway.response_writers import StreamResponseWriter
from ternlane.http1 import Exchange

MS_PER_S = 1000
MIN_RETRY_AFTER_MS = 1.0  # clients take 0 for "not given"
NO_RETRY = ("x-should-retry", "false")  # the request may have run
REPLAYED = ("Idempotency-Replayed", "true")


async def send_final(exchange: Exchange, active_request: ActiveRequest, final: FinalAnswer) -> None:
    """Answers a request whose client has received nothing yet."""
    ident = ("X-Request-Id", active_request.ident)
    match final:
        case Streamed():
            head = [ident, *active_request.response_writer.extra]
            model = active_request.chat_request.model
            await exchange.answer(200, head, completion_body(f"chatcmpl-{active_request.ident}", model, final))
        case Rejected(pause_ms):
            await send_rejected(exchange, ident, pause_ms)
        case Failed(why, timed_out):
            status = 504 if timed_out else 502
            body = error_body(status, f"Terminated: {why or 'no server could finish it'}", "terminated")
            await exchange.answer(status, [ident, NO_RETRY], body)


async def send_rejected(exchange: Exchange, ident: tuple[str, str], pause_ms: float) -> None:
    """Rejects a request of which nothing ran. Retry-After is rounded up to full seconds; retry-after-ms is exact."""
    seconds = max(1, -(-int(pause_ms) // MS_PER_S))
    head = [
        ident,
        ("Retry-After", str(seconds)),
        ("retry-after-ms", f"{max(pause_ms, MIN_RETRY_AFTER_MS):.0f}"),
    ]
    why = "The model servers are busy; nothing has run and a new try does no harm"
    await exchange.answer(429, head, error_body(429, why, "throttled"))


async def send_replayed(
    exchange: Exchange, final: FinalAnswer, chat_request: ChatRequest, ident: str, after: int, event_ids: bool
) -> None:
    """Answers a repeat with the first request's answer, in the form that the repeat asks for; nothing runs. A stream
    starts `after` this many characters; its events carry ids if `event_ids` is set."""
    if not isinstance(final, Streamed):
        why = final.why if isinstance(final, Failed) else ""
        await exchange.answer(502, [REPLAYED, NO_RETRY], error_body(502, f"Terminated: {why}", "terminated"))
        return
    if not chat_request.stream:
        await exchange.answer(200, [REPLAYED], completion_body(ident, chat_request.model, final))
        return
    response_writer = StreamResponseWriter(
        exchange, ident, chat_request.model, chat_request.include_usage, after if event_ids else None
    )
    response_writer.extra = [REPLAYED]
    await response_writer.piece(final.text[after:], True, final.more)
    await response_writer.end(final)


def completion_body(ident: str, model: str, final: Streamed) -> bytes:
    """The body of a complete chat completion."""
    return answer_body(ident, int(time.time()), model, final.text, final.finish, final.usage, final.more)
