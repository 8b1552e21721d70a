"""Socket options and loopback listeners of the fake servers."""

from __future__ import annotations

import socket
import struct

import trio

# With an SO_LINGER time of 0, closing the socket resets the connection.
_LINGER_NONE = struct.pack("ii", 1, 0)

# Raised by streams whose peer has closed or reset the connection.
STREAM_CLOSED = (trio.BrokenResourceError, trio.ClosedResourceError)


def reset_when_closed(stream: trio.SocketStream) -> None:
    """Makes closing the stream reset the connection, instead of ending it in order."""
    stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_NONE)


def send_without_delay(stream: trio.SocketStream) -> None:
    """Disables Nagle's algorithm, so that small writes are sent at once."""
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


async def listen_on_loopback(address: str = "") -> trio.SocketListener:
    """Listens on the port of `address`, or on a free one if it is empty."""
    port = int(address.rpartition(":")[2] or 0)
    return (await trio.open_tcp_listeners(port, host="127.0.0.1"))[0]


def address_of(listener: trio.SocketListener) -> str:
    """`host:port` of a listener."""
    host, port = listener.socket.getsockname()[:2]
    return f"{host}:{port}"
