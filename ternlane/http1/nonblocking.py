"""Socket calls that never wait, for the moments in which a decision depends on what the kernel holds right now."""

from __future__ import annotations

import os
import select

import trio


def send_now(stream: trio.SocketStream, data: bytes) -> int:
    """How many bytes the socket took just now. Raises trio.BrokenResourceError where the peer has gone.

    Only for a stream on which nobody else is sending.
    """
    try:
        return os.write(stream.socket.fileno(), data)
    except BlockingIOError:
        return 0
    except OSError as why:
        raise trio.BrokenResourceError(str(why)) from why


def receive_now(stream: trio.SocketStream, size: int) -> bytes | None:
    """What the kernel holds unread, at most `size` bytes; b"" once the peer has ended its side; None for nothing.

    Raises trio.BrokenResourceError where the connection is broken or has been closed on this side.
    """
    try:
        return os.read(stream.socket.fileno(), size)
    except BlockingIOError:
        return None
    except OSError as why:
        raise trio.BrokenResourceError(str(why)) from why


def is_readable(stream: trio.SocketStream) -> bool:
    """Is anything there to be read: bytes, the peer's end, or an error? True for a socket closed on this side."""
    return _polled(stream, select.POLLIN | select.POLLHUP | select.POLLERR)


def has_hung_up(stream: trio.SocketStream) -> bool:
    """Has the peer ended its side, even where bytes sent before are still unread?"""
    return _polled(stream, select.POLLRDHUP)


def _polled(stream: trio.SocketStream, events: int) -> bool:
    descriptor = stream.socket.fileno()
    if descriptor < 0:
        return True
    poll = select.poll()
    poll.register(descriptor, events)
    return bool(poll.poll(0))


async def send(stream: trio.SocketStream, data: bytes) -> None:
    """Sends without a scheduler's turn where the socket takes all at once, as it nearly always does for one token."""
    sent = send_now(stream, data)
    if sent < len(data):
        await stream.send_all(memoryview(data)[sent:])


async def extend_deadline(scope: trio.CancelScope, until: float) -> None:
    """Another deadline, by trio's clock, from the moment that an event is there. Where the one before has struck in
    this very moment, nothing may be begun: the next wait would end it, and the client would have a torn answer."""
    scope.deadline = until
    if scope.cancel_called:
        await trio.lowlevel.checkpoint()  # raises trio.Cancelled
