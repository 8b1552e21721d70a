"""Listening sockets: opened or inherited, accepted from, and their queues emptied at shutdown."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import trio

from ternlane.http1.loop_times import LoopTimes
from ternlane.http1.waiting_connections import accept_waiting

BACKLOG = 4096  # pending connections: a burst must not be refused while the event loop is busy
ACCEPT_PAUSE_S = 0.1  # after a failed accept: file descriptors or memory have to become free first
MAX_ACCEPT_FAILURES = 5  # while a queue is emptied at shutdown, which must not hang on failures
QUEUE_EMPTY_S = 0.01  # without a connection for this long, the queue counts as empty

Serve = Callable[[trio.SocketStream], Awaitable[None]]


def split_address(address: str) -> tuple[str, int]:
    """Splits host:port, where an IPv6 host is in brackets."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


class Listeners:
    """Accepts connections on the listening sockets, and runs each as a task of `nursery`.

    `is_shared`: the sockets are shared with another process, which serves the connections left in their queues."""

    def __init__(self, serve: Serve, nursery: trio.Nursery, loop_times: LoopTimes, log: Any) -> None:
        self.serve = serve
        self.nursery = nursery
        self.loop_times = loop_times
        self.log = log
        self.listeners: list[trio.SocketListener] = []
        self.is_shared = False
        self.accept_scope = trio.CancelScope()

    async def open(self, address: str, inherited: list[trio.SocketListener] | None) -> str:
        """Listens at `address`, or on the inherited sockets; returns host:port. Raises OSError if the address is in
        use."""
        if inherited is not None:
            self.listeners = inherited
            self.is_shared = True
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
        """Accepts connections until cancelled. Does not close the listener, whose queue `drain` still empties."""
        while True:
            try:
                stream = await listener.accept()
                self.nursery.start_soon(self.serve, stream)
                for waiting in accept_waiting(listener, self.loop_times):
                    self.nursery.start_soon(self.serve, waiting)
            except (trio.ClosedResourceError, OSError) as error:
                if listener.socket.fileno() < 0:
                    return  # closed by `drain` or `close` while a connection was arriving
                # Out of file descriptors or memory, which connections free as they close; or the connection or the
                # network failed. None of this may end the connections being served.
                self.log.error("accept failed", why=repr(error))
                await trio.sleep(ACCEPT_PAUSE_S)

    async def drain(self) -> None:
        """Stops listening. Connections already in the queue are served, later ones are refused."""
        self.accept_scope.cancel()
        for listener in self.listeners:
            if not self.is_shared:  # another process with the same socket serves its queue
                await self._accept_queued(listener)
            listener.socket.close()

    async def _accept_queued(self, listener: trio.SocketListener) -> None:
        """Accepts the connections left in the listener's queue, until it is empty or MAX_ACCEPT_FAILURES is reached."""
        failures = 0
        while failures < MAX_ACCEPT_FAILURES:
            stream = None
            try:
                with trio.move_on_after(QUEUE_EMPTY_S):
                    stream = await listener.accept()
            except (trio.ClosedResourceError, OSError) as error:
                failures += 1
                self.log.error("accept failed", why=repr(error))
                await trio.sleep(ACCEPT_PAUSE_S)
                continue
            if stream is None:
                return
            self.nursery.start_soon(self.serve, stream)

    def close(self) -> None:
        """Closes the sockets."""
        for listener in self.listeners:
            listener.socket.close()
