"""Accepts clients' connections, and keeps accepting after `accept` has failed."""

from __future__ import annotations

import errno
from typing import Any

import trio

from ternlane.http1.waiting_connections import accept_waiting
from ternlane.platform.chat_server import ChatServer

# Errors of `accept` for too few file descriptors or too little memory on this machine.
SHORTAGE_ERRORS = (errno.EMFILE, errno.ENFILE, errno.ENOMEM, errno.ENOBUFS)
# Pause of the accept loop after a connection was reset while it was queued.
ABORTED_PAUSE_MS = 10.0
# Pause while descriptors or memory are short: connections that close meanwhile free some.
SHORTAGE_PAUSE_MS = 50.0
# The listener's queue counts as empty after this time without a connection.
QUEUE_EMPTY_MS = 10.0
# Share of the idle connections that is closed when descriptors are short: attempts need descriptors as well.
IDLE_CLOSED_SHARE = 1 / 8


class Acceptor:
    """Accepts connections from a listener and hands them to a server."""

    def __init__(self, server: ChatServer, log: Any) -> None:
        self.server = server
        self.log = log

    async def accept(self, listener: trio.SocketListener, nursery: trio.Nursery) -> None:
        """Accepts connections until the listener is closed."""
        while True:
            try:
                stream = await listener.accept()
            except (OSError, trio.ClosedResourceError) as error:
                is_closed = isinstance(error, trio.ClosedResourceError) and listener.socket.fileno() < 0
                if is_closed:
                    return
                await self.recover(error)
                continue
            self._serve(stream, nursery)
            try:
                waiting = accept_waiting(listener, self.server.runtime.loop_times)
            except OSError as error:
                await self.recover(error)
                continue
            for stream in waiting:
                self._serve(stream, nursery)

    def _serve(self, stream: trio.SocketStream, nursery: trio.Nursery) -> None:
        if self.server.has_room():
            self.server.serve_connection(stream, nursery)
        else:
            self.server.runtime.reporter.counts["refused conn_limit"] += 1
            stream.socket.close()

    async def accept_queued(self, listener: trio.SocketListener, nursery: trio.Nursery, within_ms: float) -> None:
        """Accepts the connections that wait in the listener's queue. Never raises.

        Returns once the queue is empty, or after `within_ms` if descriptors stay short or connections keep coming.
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
                self.server.serve_connection(stream, nursery)
            is_empty = stream is None and error is None
            if is_empty or trio.current_time() >= by_s:
                return
            if error is not None:
                await self.recover(error)

    async def recover(self, error: Exception) -> None:
        """Closes idle connections if descriptors are short, and otherwise pauses.

        An error of `accept` must not end the accept loop: it concerns one connection or a shortage that passes.
        """
        counts = self.server.runtime.reporter.counts
        number = error.errno if isinstance(error, OSError) else None
        counts[f"accept {errno.errorcode.get(number or 0, type(error).__name__)}"] += 1
        if number == errno.ECONNABORTED:  # the connection was reset while it was queued
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
