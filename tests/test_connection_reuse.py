"""Reuse of idle connections to servers: failures on reuse, and which connections are no longer reused."""

from __future__ import annotations

import contextlib
import socket
import struct

import pytest
import trio

from ternlane.http1 import ConnectError, ConnectionPool
from ternlane.http1.idle_reuse import BREAK_SHARE_LIMIT, IdleReuseStats

ANSWER = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"


class ForgettingServer:
    """A server that drops connections idle for longer than `remembers_s`, and resets them only when they are used."""

    def __init__(self, remembers_s: float) -> None:
        self.remembers_s, self.resets, self.served = remembers_s, 0, 0

    async def serve(self, stream: trio.SocketStream) -> None:
        at = trio.current_time()
        while await stream.receive_some(4096):
            if trio.current_time() - at > self.remembers_s:
                self.resets += 1
                stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                stream.socket.close()
                return
            self.served += 1
            await stream.send_all(ANSWER)
            at = trio.current_time()


async def ask(pool: ConnectionPool, peer: str) -> bool:
    connection = await pool.take(peer)
    try:
        assert (await connection.ask("GET", "/", [])).status_code == 200
        await connection.body(10)
    except trio.BrokenResourceError:
        connection.close_now()
        return False
    pool.give_back(connection)
    return True


async def test_connections_of_an_idle_time_that_breaks_are_avoided_and_fresh_ones_are_reused() -> None:
    """A server drops connections that were idle for 30 ms, and resets them only when they are used."""
    peer = ForgettingServer(0.03)
    async with trio.open_nursery() as nursery:
        listener = (await trio.open_tcp_listeners(0, host="127.0.0.1"))[0]
        nursery.start_soon(trio.serve_listeners, peer.serve, [listener])
        address = f"127.0.0.1:{listener.socket.getsockname()[1]}"
        pool = ConnectionPool(1000, 10_000)
        outcomes = []
        for _ in range(12):
            outcomes.append(await ask(pool, address))
            await trio.sleep(0.045)
        assert outcomes.count(False) == peer.resets == 2 and all(outcomes[4:])
        made = pool.made
        for _ in range(5):  # reused without an idle time
            assert await ask(pool, address)
        assert pool.made <= made + 1
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize("broke_every, avoided", [(2, True), (int(2 / BREAK_SHARE_LIMIT), False)])
def test_occasional_breaks_are_tolerated_and_avoided_idle_times_are_tried_again(
    broke_every: int, avoided: bool
) -> None:
    reuse_stats = IdleReuseStats(1000.0)
    for i in range(100):
        reuse_stats.record(200.0, i % broke_every == 0, 0.0)
    assert reuse_stats.is_unsafe(200.0, 0.0) is avoided and reuse_stats.is_unsafe(250.0, 0.0) is avoided
    assert not reuse_stats.is_unsafe(20.0, 0.0) and not reuse_stats.is_unsafe(2000.0, 0.0)
    assert not reuse_stats.is_unsafe(200.0, 5000.0)


@pytest.mark.parametrize("reads_all", [False, True])
async def test_a_request_may_have_run_only_if_its_last_byte_was_written_before_the_break(reads_all: bool) -> None:
    body, received = b"x" * 8_000_000, 0

    async def serve(stream: trio.SocketStream) -> None:
        nonlocal received
        while received < (len(body) if reads_all else 1000):
            received += len(await stream.receive_some(65536))
        stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        stream.socket.close()

    async with trio.open_nursery() as nursery:
        listener = (await trio.open_tcp_listeners(0, host="127.0.0.1"))[0]
        nursery.start_soon(trio.serve_listeners, serve, [listener])
        connection = await ConnectionPool(1000, 1000).take(f"127.0.0.1:{listener.socket.getsockname()[1]}")
        with pytest.raises(trio.BrokenResourceError if reads_all else ConnectError):
            await connection.ask("POST", "/", [], body)
        assert connection.written is reads_all
        connection.close_now()
        nursery.cancel_scope.cancel()


async def test_a_connection_that_received_unsolicited_bytes_while_idle_is_not_reused() -> None:
    made = 0

    async def serve(stream: trio.SocketStream) -> None:
        nonlocal made
        made += 1
        with contextlib.suppress(trio.BrokenResourceError):  # the caller closes it
            while await stream.receive_some(4096):
                await stream.send_all(ANSWER)
                await trio.sleep(0.02)
                await stream.send_all(ANSWER.replace(b"ok", b"no"))  # unsolicited

    async with trio.open_nursery() as nursery:
        listener = (await trio.open_tcp_listeners(0, host="127.0.0.1"))[0]
        nursery.start_soon(trio.serve_listeners, serve, [listener])
        pool = ConnectionPool(1000, 1000)
        peer = f"127.0.0.1:{listener.socket.getsockname()[1]}"
        for turn in range(3):
            connection = await pool.take(peer)
            await connection.ask("GET", "/", [])
            assert await connection.body(10) == b"ok" and made == turn + 1
            pool.give_back(connection)
            await trio.sleep(0.05)
        nursery.cancel_scope.cancel()
