"""Sends a short chat request directly to engines or through a gateway and records token arrival times."""

from __future__ import annotations

import time
from typing import Any

import msgspec

from ternlane.engine.request_body import decode_body, prefill_body
from ternlane.http1 import ClientConnection, ConnectionPool, EventReader

ANSWER_TOKENS = 8
CHAT_PATH = "/v1/chat/completions"
JSON_HEADERS = [("Content-Type", "application/json")]


def chat_body(number: int) -> dict[str, Any]:
    """Returns a streamed request whose prompt has a shared prefix and a distinct text."""
    messages = [
        {"role": "system", "content": "the shared rules of the bonus " * 40},
        {"role": "user", "content": f"folder {number} " * 20},
    ]
    return {"model": "summary", "stream": True, "messages": messages, "max_tokens": ANSWER_TOKENS}


async def request_from_engines(
    pool: ConnectionPool, prefill_server: str, decode_server: str, number: int
) -> list[float]:
    """Prefills and decodes directly at the engines (host:port); returns token times in ms since the start."""
    begin_s = time.perf_counter()
    body = chat_body(number)
    headers = [*JSON_HEADERS, ("X-Request-Id", f"d{number}.0")]
    connection = await pool.take(prefill_server)
    await connection.ask("POST", CHAT_PATH, headers, prefill_body(body))
    state = msgspec.json.decode(await connection.body(1 << 20))["kv_transfer_params"]
    pool.give_back(connection)
    connection = await pool.take(decode_server)
    await connection.ask("POST", CHAT_PATH, headers, decode_body(body, state, ANSWER_TOKENS))
    return await token_times_ms(pool, connection, begin_s)


async def request_from_gateway(pool: ConnectionPool, address: str, number: int) -> list[float]:
    """Sends the request to the gateway at host:port; returns token times in ms since the start."""
    begin_s = time.perf_counter()
    connection = await pool.take(address)
    await connection.ask("POST", CHAT_PATH, JSON_HEADERS, msgspec.json.encode(chat_body(number)))
    return await token_times_ms(pool, connection, begin_s)


async def token_times_ms(pool: ConnectionPool, connection: ClientConnection, begin_s: float) -> list[float]:
    """Reads the whole response and returns the connection to the pool."""
    events = EventReader()
    times_ms: list[float] = []
    async for chunk in connection.chunks():
        for data in events.feed(chunk):
            if '"content"' in data:
                times_ms.append((time.perf_counter() - begin_s) * 1000)
    pool.give_back(connection)
    return times_ms
