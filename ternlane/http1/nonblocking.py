"""Non-blocking socket calls, for decisions that depend on what is in the kernel's buffers at this moment."""

from __future__ import annotations

import os
import select
import socket
import struct

import trio

# Linux: `tcpi_last_data_recv` of `struct tcp_info`, a 32-bit number of milliseconds.
LAST_DATA_RECEIVED_OFFSET = 52
LAST_DATA_RECEIVED = struct.Struct("=I")


def send_now(stream: trio.SocketStream, data: bytes) -> int:
    """Writes without waiting and returns how many bytes were accepted.

    Raises trio.BrokenResourceError if the connection is broken. No other task may be sending on the stream.
    """
    try:
        return os.write(stream.socket.fileno(), data)
    except BlockingIOError:
        return 0
    except OSError as why:
        raise trio.BrokenResourceError(str(why)) from why


def receive_now(stream: trio.SocketStream, size: int) -> bytes | None:
    """Returns up to `size` unread bytes, b"" once the peer has closed its sending side, or None if there are none.

    Raises trio.BrokenResourceError if the connection is broken or has been closed on this side.
    """
    try:
        return os.read(stream.socket.fileno(), size)
    except BlockingIOError:
        return None
    except OSError as why:
        raise trio.BrokenResourceError(str(why)) from why


def since_last_data_ms(stream: trio.SocketStream) -> float:
    """For how long (ms) the latest bytes that have arrived on a TCP connection have been here, read or unread, also
    before the connection was accepted; 0 if the system does not tell."""
    size = LAST_DATA_RECEIVED_OFFSET + LAST_DATA_RECEIVED.size
    try:
        info = stream.socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, size)
    except OSError:  # closed, or not a TCP connection
        return 0.0
    if len(info) < size:
        return 0.0
    (elapsed_ms,) = LAST_DATA_RECEIVED.unpack_from(info, LAST_DATA_RECEIVED_OFFSET)
    return float(elapsed_ms)


def accept_now(listener: trio.SocketListener) -> trio.SocketStream | None:
    """Accepts a connection that waits in the listener's queue; None if there is none. Raises OSError as `accept`."""
    borrowed = socket.socket(fileno=listener.socket.fileno())
    try:
        connection, _ = borrowed.accept()
    except BlockingIOError:
        return None
    finally:
        borrowed.detach()  # the listener keeps its descriptor
    return trio.SocketStream(trio.socket.from_stdlib_socket(connection))


def is_readable(stream: trio.SocketStream) -> bool:
    """Whether bytes, end of file or an error can be read. True for a socket closed on this side."""
    return _polled(stream, select.POLLIN | select.POLLHUP | select.POLLERR)


def has_hung_up(stream: trio.SocketStream) -> bool:
    """Whether the peer has closed its sending side, even if earlier bytes are still unread."""
    return _polled(stream, select.POLLRDHUP)


def _polled(stream: trio.SocketStream, events: int) -> bool:
    descriptor = stream.socket.fileno()
    if descriptor < 0:
        return True
    poll = select.poll()
    poll.register(descriptor, events)
    return bool(poll.poll(0))


async def send(stream: trio.SocketStream, data: bytes) -> None:
    """Sends without yielding to the scheduler if the socket accepts all bytes, as it nearly always does for a token."""
    sent = send_now(stream, data)
    if sent < len(data):
        await stream.send_all(memoryview(data)[sent:])


async def extend_deadline(scope: trio.CancelScope, deadline: float) -> None:
    """Moves the deadline of `scope` (trio's clock) when an event has arrived.

    If the previous deadline has just expired, trio.Cancelled is raised at once: the scope would cancel the next wait
    anyway, and a response begun now would be truncated.
    """
    scope.deadline = deadline
    if scope.cancel_called:
        await trio.lowlevel.checkpoint()  # raises trio.Cancelled
