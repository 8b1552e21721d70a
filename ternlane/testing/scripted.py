"""A server that answers every request with the same bytes and pauses, to send what no correct server would."""

from __future__ import annotations

from collections.abc import Sequence

import trio

from ternlane.testing.sockets import STREAM_CLOSED, address_of, listen_on_loopback, reset_when_closed

Step = bytes | float | str  # send, wait (ms), or "reset", "close", "hold"
READ_BYTES = 65536


class ScriptedServer:
    """Reads the head of a request, runs its steps and closes the connection."""

    def __init__(self, steps: Sequence[Step]) -> None:
        """`steps`: run for every connection."""
        self.steps = steps
        self.request_count = 0  # requests received
        self.received_heads: list[bytes] = []  # of each request, as received before its steps
        self.listeners: list[trio.SocketListener] = []
        self.address = ""

    async def run(self, nursery: trio.Nursery) -> None:
        """Listens on a free port, and serves in the nursery."""
        self.listeners = [await listen_on_loopback()]
        self.address = address_of(self.listeners[0])
        nursery.start_soon(trio.serve_listeners, self._connection, self.listeners)

    async def _connection(self, stream: trio.SocketStream) -> None:
        received = b""
        while b"\r\n\r\n" not in received:
            data = await stream.receive_some(READ_BYTES)
            if not data:
                return
            received += data
        self.request_count += 1
        self.received_heads.append(received)
        try:
            for step in self.steps:
                await self._run_step(stream, step)
        except STREAM_CLOSED:
            pass
        finally:
            stream.socket.close()

    async def _run_step(self, stream: trio.SocketStream, step: Step) -> None:
        if isinstance(step, bytes):
            await stream.send_all(step)
        elif isinstance(step, float):
            await trio.sleep(step / 1000)
        elif step == "hold":
            await trio.sleep_forever()
        elif step == "reset":
            reset_when_closed(stream)
