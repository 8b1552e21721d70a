"""A plain front layer: spreads connections over gateways, and goes on sending to a dead one until it has noticed."""

from __future__ import annotations

from contextlib import suppress
from itertools import count

import trio

from ternlane.testing.traffic import Traffic

CHUNK = 65536
UNREACHED = (
    b"HTTP/1.1 503 Service Unavailable\r\nX-Front: unreached\r\nContent-Type: application/json\r\n"
    b"Content-Length: 51\r\nConnection: close\r\n\r\n"
    b'{"error":{"message":"no gateway could be reached"}}'
)
GONE = (OSError, trio.BrokenResourceError, trio.ClosedResourceError)


class Front:
    def __init__(self, gateways: dict[str, tuple[str, int]], notice_ms: float, traffic: Traffic) -> None:
        self.gateways, self.notice_ms, self.traffic = gateways, notice_ms, traffic
        self.alive = list(gateways)
        self.turn = count()

    async def run(self, listeners: list[trio.SocketListener]) -> None:
        async with trio.open_nursery() as nursery:
            for name in self.gateways:
                nursery.start_soon(self.watch, name)
            await trio.serve_listeners(self.connection, listeners, handler_nursery=nursery)

    async def watch(self, name: str) -> None:
        """Looks at a gateway once in the time that it takes to notice."""
        host, port = self.gateways[name]
        while True:
            await trio.sleep(self.notice_ms / 1000)
            up = False
            with suppress(*GONE), trio.move_on_after(0.5):
                stream = await trio.open_tcp_stream(host, port)
                stream.socket.close()
                up = True
            if up and name not in self.alive:
                self.alive.append(name)
            elif not up and name in self.alive:
                self.alive.remove(name)

    async def connection(self, client: trio.SocketStream) -> None:
        names = self.alive or list(self.gateways)
        name = names[next(self.turn) % len(names)]
        port = client.socket.getpeername()[1]
        self.traffic.line("conn", port=port, gw=name)
        try:
            server = await trio.open_tcp_stream(*self.gateways[name])
        except GONE:
            self.traffic.line("unreached", port=port, gw=name)
            with suppress(*GONE):  # says that nothing was taken: a repeat does no harm
                with trio.move_on_after(1.0):
                    await client.receive_some(CHUNK)
                await client.send_all(UNREACHED)
                await client.send_eof()
                with trio.move_on_after(0.2):
                    while await client.receive_some(CHUNK):
                        pass
            client.socket.close()
            return
        for stream in (client, server):
            stream.setsockopt(6, 1, 1)
        try:
            async with trio.open_nursery() as nursery:

                async def splice(source: trio.SocketStream, sink: trio.SocketStream) -> None:
                    try:
                        while data := await source.receive_some(CHUNK):
                            await sink.send_all(data)
                        await sink.send_eof()
                    except GONE:
                        nursery.cancel_scope.cancel()

                nursery.start_soon(splice, client, server)
                await splice(server, client)
                nursery.cancel_scope.cancel()  # the gateway has ended the connection
        finally:
            client.socket.close()
            server.socket.close()
