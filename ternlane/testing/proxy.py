"""A TCP proxy between a gateway and a model server that simulates network failures in tests.

It forwards bytes in order. While it is stalled, connections stay open and new ones are accepted, but nothing that is
sent in either direction arrives, without an error on either side. After a stall it either resets the open connections
or delivers the withheld bytes.
"""

from __future__ import annotations

import trio

from ternlane.testing.sockets import STREAM_CLOSED, address_of, listen_on_loopback, reset_when_closed

CHUNK_BYTES = 65536


class StallingProxy:
    """Listens at `address` and forwards to `upstream` (host:port)."""

    def __init__(self, nursery: trio.Nursery, upstream: str) -> None:
        """`start` has to be called before it forwards."""
        self.nursery = nursery
        self.upstream = upstream
        self.address = ""
        self.withheld_bytes = 0  # received from either side while stalled
        self._flowing = trio.Event()
        self._flowing.set()
        self._streams: set[trio.SocketStream] = set()

    async def start(self) -> None:
        """Listens on a free port, and forwards in the nursery."""
        listener = await listen_on_loopback()
        self.address = address_of(listener)
        self.nursery.start_soon(self._accept, listener)

    @property
    def stalled(self) -> bool:
        """Whether nothing is forwarded at present."""
        return not self._flowing.is_set()

    def stall(self) -> None:
        """Stops forwarding, on open connections and on new ones."""
        self._flowing = trio.Event()

    def deliver(self) -> None:
        """Ends a stall, and delivers the withheld bytes."""
        self._flowing.set()

    def reset_all(self) -> None:
        """Ends a stall like a network that has lost its connection state: open connections are reset, new ones work."""
        streams = self._streams
        self._streams = set()  # a second reset affects only newer connections
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

    async def _forward(
        self, source: trio.SocketStream, sink: trio.SocketStream, connection_scope: trio.CancelScope
    ) -> None:
        """Forwards one direction until its source ends or either side breaks; then ends the whole connection."""
        try:
            while data := await source.receive_some(CHUNK_BYTES):
                if self.stalled:
                    self.withheld_bytes += len(data)
                    await self._flowing.wait()
                await sink.send_all(data)
            await self._flowing.wait()
        except STREAM_CLOSED:
            pass
        connection_scope.cancel()
