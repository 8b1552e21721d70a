"""Accepts clients' connections, and goes on doing so where the system refuses some."""

from __future__ import annotations

import errno
from typing import Any

import trio

from ternlane.platform.chat_server import ChatServer

# Errors of accept that tell of too few descriptors or too little memory on this machine.
SHORTAGE_ERRORS = (errno.EMFILE, errno.ENFILE, errno.ENOMEM, errno.ENOBUFS)
# A pause of the accept loop where the kernel says that a connection has gone already.
ABORTED_PAUSE_MS = 10.0
# And where descriptors or memory are short: what closes meanwhile makes room.
SHORTAGE_PAUSE_MS = 50.0
# No connection for so long: the listener's queue is empty.
QUEUE_EMPTY_MS = 10.0
# The part of the idle connections that is closed where descriptors are short: attempts need some too.
IDLE_CLOSED_SHARE = 1 / 8


class Acceptor:
    """Takes connections off a listener for a server."""

    def __init__(self, server: ChatServer, log: Any) -> None:
        self.server = server
        self.log = log

    async def accept(self, listener: trio.SocketListener, nursery: trio.Nursery) -> None:
        """Takes connections until the listener is closed."""
        while True:
            try:
                stream = await listener.accept()
            except (OSError, trio.ClosedResourceError) as error:
                is_closed = isinstance(error, trio.ClosedResourceError) and listener.socket.fileno() < 0
                if is_closed:
                    return
                await self.recover(error)
                continue
            if self.server.has_room():
                self.server.take(stream, nursery)
            else:
                self.server.runtime.reporter.counts["refused conn_limit"] += 1
                stream.socket.close()

    async def accept_queued(self, listener: trio.SocketListener, nursery: trio.Nursery, within_ms: float) -> None:
        """Takes what waits in the listener's queue. Never raises.

        Returns once the queue is empty, or after `within_ms`, as where descriptors stay short or connections go on
        coming.
        """
        by_s = trio.current_time() + within_ms / 1000
        while True:
            stream: trio.SocketStream | None = None
            error: Exception | None = None
            with trio.move_on_after(QUEUE_EMPTY_MS / 1000):
                try:
                    stream = await listener.accept()
                except (OSError, trio.ClosedResourceError) as raised:
                    error = raised
            if stream is not None:
                self.server.take(stream, nursery)
            is_empty = stream is None and error is None
            if is_empty or trio.current_time() >= by_s:
                return
            if error is not None:
                await self.recover(error)

    async def recover(self, error: Exception) -> None:
        """Makes room where descriptors are short, and else waits for a moment.

        No failure to take one connection may end the others, and none is for ever while the listener is open.
        """
        counts = self.server.runtime.reporter.counts
        number = error.errno if isinstance(error, OSError) else None
        counts[f"accept {errno.errorcode.get(number or 0, type(error).__name__)}"] += 1
        if number == errno.ECONNABORTED:  # it was reset while it waited to be taken
            await trio.sleep(ABORTED_PAUSE_MS / 1000)
            return
        if number not in SHORTAGE_ERRORS:
            self.log.error("accept", why=repr(error))
            await trio.sleep(SHORTAGE_PAUSE_MS / 1000)
            return
        counts["no descriptors"] += 1
        for _ in range(1 + int(len(self.server.idle) * IDLE_CLOSED_SHARE)):
            if not self.server.close_longest_idle():
                await trio.sleep(SHORTAGE_PAUSE_MS / 1000)
                return
