"""Small calls to an engine outside the attempts of a request: release, reserve, load."""

from __future__ import annotations

import h11
import msgspec
import trio

from ternlane.engine.endpoints import MAX_RESPONSE_BYTES, METRICS_PATH, RELEASE_PATH, RESERVE_PATH
from ternlane.engine.http_attempt import CONNECTION_BROKEN
from ternlane.http1 import ClientConnection, ConnectError, ConnectionPool
from ternlane.policy.messages import AttemptOutcome

CONFIRMED = (200, 204)
NOT_FOUND = 404
RELEASE_TRIES = 8  # within the time for a release, if each is answered at once

Headers = list[tuple[str, str]]


async def release(pool: ConnectionPool, address: str, ident: str, headers: Headers, within_ms: float) -> bool:
    """Releases all that an engine holds for a request, within so many ms; true if the engine has confirmed it.

    An engine that holds nothing (404) is asked again while there is time: a prefill that was given up on may still run
    there, and keep its state at its end. Asked once only, it would keep that state until its own lease is over.
    """
    body = msgspec.json.encode({"request_id": ident})
    holds_nothing = False
    with trio.move_on_after(within_ms / 1000):
        while True:
            status = await release_once(pool, address, headers, body)
            if status in CONFIRMED:
                return True
            holds_nothing = holds_nothing or status == NOT_FOUND
            await trio.sleep(within_ms / (RELEASE_TRIES * 1000))
    return holds_nothing


async def release_once(pool: ConnectionPool, address: str, headers: Headers, body: bytes) -> int | None:
    """The status of the engine's answer; None where there was none."""
    connection: ClientConnection | None = None
    try:
        connection = await pool.take(address)
        head = await connection.ask("POST", RELEASE_PATH, headers, body)
        await connection.body(MAX_RESPONSE_BYTES)
        pool.give_back(connection)
        return head.status_code
    except (ConnectError, h11.RemoteProtocolError, *CONNECTION_BROKEN):
        if connection is not None:
            connection.close_now()
        return None
    except trio.Cancelled:
        if connection is not None:
            connection.close_now()
        raise


async def call_once(
    pool: ConnectionPool, address: str, method: str, path: str, headers: Headers, body: bytes, within_ms: float
) -> tuple[AttemptOutcome, bytes]:
    """Asks an engine for something small, once, within so many ms: the answer's body, or how it failed."""
    connection: ClientConnection | None = None
    failure = AttemptOutcome.TIMED_OUT
    with trio.move_on_after(within_ms / 1000):
        try:
            connection = await pool.take(address)
            head = await connection.ask(method, path, headers, body)
            answer = await connection.body(MAX_RESPONSE_BYTES)
            pool.give_back(connection)
            return (AttemptOutcome.STREAMED, answer) if head.status_code in CONFIRMED else (AttemptOutcome.ERROR, b"")
        except ConnectError:
            return AttemptOutcome.CONNECT_FAILED, b""
        except (h11.RemoteProtocolError, *CONNECTION_BROKEN):
            failure = AttemptOutcome.RESET
    if connection is not None:
        connection.close_now()
    return failure, b""


async def load(pool: ConnectionPool, address: str, headers: Headers, within_ms: float) -> tuple[AttemptOutcome, str]:
    """Asks an engine for its metrics: the text, or how it failed."""
    outcome, answer = await call_once(pool, address, "GET", METRICS_PATH, headers, b"", within_ms)
    return outcome, answer.decode(errors="replace")


async def reserve(
    pool: ConnectionPool, address: str, ident: str, tokens: float, headers: Headers, within_ms: float
) -> bool:
    """Asks a decode server to reserve a slot and memory for so many tokens; false unless that is free at once."""
    body = msgspec.json.encode({"request_id": ident, "tokens": tokens})
    outcome, _ = await call_once(pool, address, "POST", RESERVE_PATH, headers, body, within_ms)
    return outcome is AttemptOutcome.STREAMED
