"""A TCP proxy that breaks in the ways networks do, to stand between a gateway and a model server in tests.

It forwards bytes in their order. Told to, it stalls: connections stay open, new ones still come up, and nothing that
is sent in either direction arrives, with no error on either side. After a stall it either resets what was open or
delivers what it kept back.
"""

from __future__ import annotations

import trio

from ternlane.testing.sockets import STREAM_CLOSED, address_of, listen_on_loopback, reset_when_closed

CHUNK_BYTES = 65536


class StallingProxy:
    """Listens at `address` and forwards to `upstream` (host:port)."""

    def __init__(self, nursery: trio.Nursery, upstream: str) -> None:
        """`upstream`: host:port."""
        self.nursery = nursery
        self.upstream = upstream
        self.address = ""
        self.withheld_bytes = 0  # taken from either side while stalled
        self._flowing = trio.Event()
        self._flowing.set()
        self._streams: set[trio.SocketStream] = set()

    async def start(self) -> None:
        """Listens on a free port and forwards in the nursery."""
        listener = await listen_on_loopback()
        self.address = address_of(listener)
        self.nursery.start_soon(self._accept, listener)

    @property
    def stalled(self) -> bool:
        """Whether nothing arrives at present."""
        return not self._flowing.is_set()

    def stall(self) -> None:
        """Nothing arrives any more, on open connections and new ones."""
        self._flowing = trio.Event()

    def deliver(self) -> None:
        """Ends a stall: what was kept back arrives late."""
        self._flowing.set()

    def reset_all(self) -> None:
        """Ends a stall as a network does that has forgotten its connections: they are reset, new ones work."""
        streams = self._streams
        self._streams = set()  # a second reset meets only newer ones
        for stream in streams:
            reset_when_closed(stream)
            stream.socket.close()
        self._flowing.set()

    async def _accept(self, listener: trio.SocketListener) -> None:
        while True:
            self.nursery.start_soon(self._connection, await listener.accept())

    async def _connection(self, client: trio.SocketStream) -> None:
        self._streams.add(client)
        server: trio.SocketStream | None = None
        try:
            await self._flowing.wait()
            host, _, port = self.upstream.rpartition(":")
            server = await trio.open_tcp_stream(host, int(port))
            self._streams.add(server)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._forward, client, server, nursery.cancel_scope)
                nursery.start_soon(self._forward, server, client, nursery.cancel_scope)
        except (OSError, *STREAM_CLOSED):
            pass
        finally:
            for stream in filter(None, (client, server)):
                self._streams.discard(stream)
                stream.socket.close()

    async def _forward(self, source: trio.SocketStream, sink: trio.SocketStream, both: trio.CancelScope) -> None:
        """One direction, until its source ends or either side breaks; then the whole connection ends."""
        try:
            while data := await source.receive_some(CHUNK_BYTES):
                if self.stalled:
                    self.withheld_bytes += len(data)
                    await self._flowing.wait()
                await sink.send_all(data)
            await self._flowing.wait()
        except STREAM_CLOSED:
            pass
        both.cancel()
