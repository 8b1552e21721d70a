"""Calls to an engine outside the attempts of a request: release, reserve, load."""

from __future__ import annotations

import h11
import msgspec
import trio

from ternlane.engine.http_attempt import CONNECTION_BROKEN
from ternlane.engine.http_constants import MAX_RESPONSE_BYTES, METRICS_PATH, RELEASE_PATH, RESERVE_PATH
from ternlane.http1 import ClientConnection, ConnectError, ConnectionPool
from ternlane.policy.messages import AttemptOutcome

CONFIRMED_STATUSES = (200, 204)
NOT_FOUND = 404
RELEASE_TRIES = 8  # within the time limit of a release, if each is answered at once

Headers = list[tuple[str, str]]


async def release(pool: ConnectionPool, address: str, ident: str, headers: Headers, within_ms: float) -> bool:
    """Releases everything that an engine holds for a request; true if the engine confirms it within the time limit.

    After a 404 (the engine holds nothing) the call is repeated while time remains, as an abandoned prefill may still be
    running and leave a state when it ends. After a single call that state would stay until its lease expires.
    """
    body = msgspec.json.encode({"request_id": ident})
    not_found = False
    with trio.move_on_after(within_ms / 1000):
        while True:
            status = await release_once(pool, address, headers, body)
            if status in CONFIRMED_STATUSES:
                return True
            not_found = not_found or status == NOT_FOUND
            await trio.sleep(within_ms / (RELEASE_TRIES * 1000))
    return not_found


async def release_once(pool: ConnectionPool, address: str, headers: Headers, body: bytes) -> int | None:
    """Makes one release call; returns the status of the answer, None if there was none."""
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
    """Makes one call with a small answer; returns the outcome, STREAMED for success, and the body of the answer."""
    connection: ClientConnection | None = None
    failure = AttemptOutcome.TIMED_OUT
    with trio.move_on_after(within_ms / 1000):
        try:
            connection = await pool.take(address)
            head = await connection.ask(method, path, headers, body)
            answer = await connection.body(MAX_RESPONSE_BYTES)
            pool.give_back(connection)
            return (
                (AttemptOutcome.STREAMED, answer)
                if head.status_code in CONFIRMED_STATUSES
                else (AttemptOutcome.ERROR, b"")
            )
        except ConnectError:
            return AttemptOutcome.CONNECT_FAILED, b""
        except (h11.RemoteProtocolError, *CONNECTION_BROKEN):
            failure = AttemptOutcome.RESET
    if connection is not None:
        connection.close_now()
    return failure, b""


async def load(pool: ConnectionPool, address: str, headers: Headers, within_ms: float) -> tuple[AttemptOutcome, str]:
    """Reads an engine's metrics; returns the outcome, STREAMED for success, and the text."""
    outcome, answer = await call_once(pool, address, "GET", METRICS_PATH, headers, b"", within_ms)
    return outcome, answer.decode(errors="replace")


async def reserve(
    pool: ConnectionPool, address: str, ident: str, tokens: float, headers: Headers, within_ms: float
) -> bool:
    """Reserves a slot and memory for `tokens` at a decode server; false unless both are free now."""
    body = msgspec.json.encode({"request_id": ident, "tokens": tokens})
    outcome, _ = await call_once(pool, address, "POST", RESERVE_PATH, headers, body, within_ms)
    return outcome is AttemptOutcome.STREAMED
