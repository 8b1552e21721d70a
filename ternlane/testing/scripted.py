"""A peer that answers every request with the same bytes and pauses: for what no honest engine would say."""

from __future__ import annotations

from collections.abc import Sequence

import trio

from ternlane.testing.engine import LINGER_0

Step = bytes | float | str  # send, wait (ms), or "reset", "close", "hold"


class Scripted:
    """Takes a whole request head and body roughly, then plays its steps."""

    def __init__(self, steps: Sequence[Step]) -> None:
        self.steps, self.asked, self.heads = steps, 0, list[bytes]()
        self.listeners: list[trio.SocketListener] = []
        self.address = ""

    async def run(self, nursery: trio.Nursery) -> None:
        self.listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        host, port = self.listeners[0].socket.getsockname()[:2]
        self.address = f"{host}:{port}"
        nursery.start_soon(trio.serve_listeners, self.connection, self.listeners)

    async def connection(self, stream: trio.SocketStream) -> None:
        got = b""
        while b"\r\n\r\n" not in got:
            more = await stream.receive_some(65536)
            if not more:
                return
            got += more
        self.asked += 1
        self.heads.append(got)
        try:
            for step in self.steps:
                if isinstance(step, bytes):
                    await stream.send_all(step)
                elif isinstance(step, float):
                    await trio.sleep(step / 1000)
                elif step == "hold":
                    await trio.sleep_forever()
                elif step == "reset":
                    stream.setsockopt(1, 13, LINGER_0)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        finally:
            stream.socket.close()
