"""A plain front layer: spreads connections over gateways, and goes on sending to a dead one until it has noticed."""

from __future__ import annotations

from contextlib import suppress
from itertools import count

import trio

from ternlane.testing.sockets import STREAM_CLOSED, send_without_delay
from ternlane.testing.traffic import Traffic

CHUNK_BYTES = 65536
CHECK_TIMEOUT_S = 0.5
REQUEST_TIMEOUT_S = 1.0  # for a request to come before it is told that no gateway was reached
CLOSE_TIMEOUT_S = 0.2  # for the client to close after that
UNREACHED = (
    b"HTTP/1.1 503 Service Unavailable\r\nX-Front: unreached\r\nContent-Type: application/json\r\n"
    b"Content-Length: 51\r\nConnection: close\r\n\r\n"
    b'{"error":{"message":"no gateway could be reached"}}'
)
CONNECTION_FAILED = (OSError, *STREAM_CLOSED)


class Front:
    """Forwards bytes; it reads no HTTP."""

    def __init__(self, gateways: dict[str, tuple[str, int]], notice_ms: float, traffic: Traffic) -> None:
        """`gateways`: host and port by name; `notice_ms`: how long a dead one may go unnoticed."""
        self.gateways = gateways
        self.notice_ms = notice_ms
        self.traffic = traffic
        self._alive = list(gateways)
        self._turn = count()

    async def run(self, listeners: list[trio.SocketListener]) -> None:
        """Serves until it is cancelled."""
        async with trio.open_nursery() as nursery:
            for name in self.gateways:
                nursery.start_soon(self._watch, name)
            await trio.serve_listeners(self._connection, listeners, handler_nursery=nursery)

    async def _watch(self, name: str) -> None:
        """Connects to a gateway once in the time that it takes to notice."""
        while True:
            await trio.sleep(self.notice_ms / 1000)
            alive = await self._accepts_connections(name)
            if alive and name not in self._alive:
                self._alive.append(name)
            elif not alive and name in self._alive:
                self._alive.remove(name)

    async def _accepts_connections(self, name: str) -> bool:
        with suppress(*CONNECTION_FAILED), trio.move_on_after(CHECK_TIMEOUT_S):
            stream = await trio.open_tcp_stream(*self.gateways[name])
            stream.socket.close()
            return True
        return False

    async def _connection(self, client: trio.SocketStream) -> None:
        names = self._alive or list(self.gateways)
        name = names[next(self._turn) % len(names)]
        port = client.socket.getpeername()[1]
        self.traffic.line("conn", port=port, gw=name)
        try:
            server = await trio.open_tcp_stream(*self.gateways[name])
        except CONNECTION_FAILED:
            self.traffic.line("unreached", port=port, gw=name)
            await _answer_unreached(client)
            client.socket.close()
            return
        send_without_delay(client)
        send_without_delay(server)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_forward, client, server, nursery.cancel_scope)
                await _forward(server, client, nursery.cancel_scope)
                nursery.cancel_scope.cancel()  # the gateway has ended the connection
        finally:
            client.socket.close()
            server.socket.close()


async def _forward(source: trio.SocketStream, sink: trio.SocketStream, both: trio.CancelScope) -> None:
    """One direction, until its source ends; a broken connection cancels both."""
    try:
        while data := await source.receive_some(CHUNK_BYTES):
            await sink.send_all(data)
        await sink.send_eof()
    except CONNECTION_FAILED:
        both.cancel()


async def _answer_unreached(client: trio.SocketStream) -> None:
    """Answers that no gateway got the request: the client may safely retry."""
    with suppress(*CONNECTION_FAILED):
        with trio.move_on_after(REQUEST_TIMEOUT_S):
            await client.receive_some(CHUNK_BYTES)
        await client.send_all(UNREACHED)
        await client.send_eof()
        with trio.move_on_after(CLOSE_TIMEOUT_S):
            while await client.receive_some(CHUNK_BYTES):
                pass
