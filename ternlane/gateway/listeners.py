"""The sockets on which clients connect: opened or handed over, accepted from, and emptied at the end."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import trio

BACKLOG = 4096  # connections that may wait: a burst must not be refused while the loop is busy
ACCEPT_PAUSE_S = 0.1  # after a connection could not be taken: files or memory have to come free first
MAX_ACCEPT_FAILURES = 5  # while a listener's queue is emptied at the end: the shutdown must not hang on them
QUEUE_EMPTY_S = 0.01  # no connection for so long: the queue is empty

Serve = Callable[[trio.SocketStream], Awaitable[None]]


def split_address(address: str) -> tuple[str, int]:
    """Host and port of host:port, where an IPv6 host stands in brackets."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


class Listeners:
    """`handed_over`: the sockets are another process's too, which serves what waits in their queues. Each connection is
    a task of `nursery`."""

    def __init__(self, serve: Serve, nursery: trio.Nursery, log: Any) -> None:
        self.serve = serve
        self.nursery = nursery
        self.log = log
        self.listeners: list[trio.SocketListener] = []
        self.handed_over = False
        self.accept_scope = trio.CancelScope()

    async def open(self, address: str, handed_over: list[trio.SocketListener] | None) -> str:
        """Listens, at `address` where no sockets were handed over; gives host:port. Raises OSError where the address is
        taken."""
        if handed_over is not None:
            self.listeners = handed_over
            self.handed_over = True
        else:
            host, port = split_address(address)
            self.listeners = await trio.open_tcp_listeners(port, host=host, backlog=BACKLOG)
        name = self.listeners[0].socket.getsockname()
        return f"{name[0]}:{name[1]}"

    async def run(self) -> None:
        """Accepts connections until `drain`."""
        with self.accept_scope:
            async with trio.open_nursery() as nursery:
                for listener in self.listeners:
                    nursery.start_soon(self._accept, listener)

    async def _accept(self, listener: trio.SocketListener) -> None:
        """Takes connections until told to stop; does not close the listener, whose queue `drain` still empties."""
        while True:
            try:
                stream = await listener.accept()
            except (trio.ClosedResourceError, OSError) as error:
                if listener.socket.fileno() < 0:
                    return  # closed by `drain` or the end, with a connection just arriving
                # Files or memory ran out, and what closes meanwhile makes room; or a connection or the network failed:
                # none of it may end the connections that are served.
                self.log.error("no connection can be taken", why=repr(error))
                await trio.sleep(ACCEPT_PAUSE_S)
            else:
                self.nursery.start_soon(self.serve, stream)

    async def drain(self) -> None:
        """Stops listening. Who has come already is served; who comes now hears that nobody listens."""
        self.accept_scope.cancel()
        for listener in self.listeners:
            if not self.handed_over:  # where another process has the socket too, its queue is that one's
                await self._accept_the_rest(listener)
            listener.socket.close()

    async def _accept_the_rest(self, listener: trio.SocketListener) -> None:
        """Takes what waits in the listener's queue. A connection that can't be taken is tried again for a while."""
        failures = 0
        while failures < MAX_ACCEPT_FAILURES:
            stream = None
            try:
                with trio.move_on_after(QUEUE_EMPTY_S):
                    stream = await listener.accept()
            except (trio.ClosedResourceError, OSError) as error:
                failures += 1
                self.log.error("no connection can be taken", why=repr(error))
                await trio.sleep(ACCEPT_PAUSE_S)
                continue
            if stream is None:
                return
            self.nursery.start_soon(self.serve, stream)

    def close(self) -> None:
        """Closes the sockets."""
        for listener in self.listeners:
            listener.socket.close()
