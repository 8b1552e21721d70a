"""Socket options and loopback listeners that the fake servers share."""

from __future__ import annotations

import socket
import struct

import trio

# SO_LINGER with no time: closing the socket resets the connection.
_LINGER_NONE = struct.pack("ii", 1, 0)

# What a peer that has closed or reset its connection makes a stream raise.
STREAM_CLOSED = (trio.BrokenResourceError, trio.ClosedResourceError)


def reset_when_closed(stream: trio.SocketStream) -> None:
    """The connection will be reset, not ended in order, when this stream is closed."""
    stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_NONE)


def send_without_delay(stream: trio.SocketStream) -> None:
    """Small writes are sent at once."""
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


async def listen_on_loopback(address: str = "") -> trio.SocketListener:
    """Listens on the port of `address`, or on a free one where it is empty."""
    port = int(address.rpartition(":")[2] or 0)
    return (await trio.open_tcp_listeners(port, host="127.0.0.1"))[0]


def address_of(listener: trio.SocketListener) -> str:
    """`host:port` of a listener."""
    host, port = listener.socket.getsockname()[:2]
    return f"{host}:{port}"
