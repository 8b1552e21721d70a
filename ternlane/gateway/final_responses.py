"""The final answer as one HTTP response, of a client that has nothing of it yet."""

from __future__ import annotations

import time

from ternlane.chat import ChatRequest, answer_body, error_body
from ternlane.gateway.active_request import ActiveRequest, Failed, FinalAnswer, Rejected, Streamed
from ternlane.gateway.response_writers import StreamResponseWriter
from ternlane.http1 import Exchange

MS_PER_S = 1000
MIN_RETRY_AFTER_MS = 1.0  # clients take 0 for "not said"
NO_RETRY = ("x-should-retry", "false")  # the request may have run
REPLAYED = ("Idempotency-Replayed", "true")


async def send_final(exchange: Exchange, active_request: ActiveRequest, final: FinalAnswer) -> None:
    """Answers a request whose client has nothing yet."""
    ident = ("X-Request-Id", active_request.ident)
    match final:
        case Streamed():
            head = [ident, *active_request.response_writer.extra]
            model = active_request.chat_request.model
            await exchange.answer(200, head, body_of(f"chatcmpl-{active_request.ident}", model, final))
        case Rejected(pause_ms):
            await send_rejected(exchange, ident, pause_ms)
        case Failed(why, timed_out):
            status = 504 if timed_out else 502
            body = error_body(status, f"Terminated: {why or 'no server could finish it'}", "terminated")
            await exchange.answer(status, [ident, NO_RETRY], body)


async def send_rejected(exchange: Exchange, ident: tuple[str, str], pause_ms: float) -> None:
    """Tells a client that nothing has run, and when to come back, rounded up to whole seconds and in ms."""
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
    """The first request's answer again, in the form that is asked for now; nothing runs. A stream begins `after` so
    many characters; its events carry ids where `event_ids`."""
    if not isinstance(final, Streamed):
        why = final.why if isinstance(final, Failed) else ""
        await exchange.answer(502, [REPLAYED, NO_RETRY], error_body(502, f"Terminated: {why}", "terminated"))
        return
    if not chat_request.stream:
        await exchange.answer(200, [REPLAYED], body_of(ident, chat_request.model, final))
        return
    response_writer = StreamResponseWriter(
        exchange, ident, chat_request.model, chat_request.include_usage, after if event_ids else None
    )
    response_writer.extra = [REPLAYED]
    await response_writer.piece(final.text[after:], True, final.more)
    await response_writer.end(final)


def body_of(ident: str, model: str, final: Streamed) -> bytes:
    """A whole answer in the form of the chat completions API."""
    return answer_body(ident, int(time.time()), model, final.text, final.finish, final.usage, final.more)
