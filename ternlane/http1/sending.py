"""Sends without a scheduler's turn where the socket takes all at once, as it nearly always does for one token."""
from __future__ import annotations

import os

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


async def send(stream: trio.SocketStream, data: bytes) -> None:
    sent = send_now(stream, data)
    if sent < len(data):
        await stream.send_all(memoryview(data)[sent:])


async def keep_open(scope: trio.CancelScope, until: float) -> None:
    """Another deadline, by trio's clock, from the moment that an event is there. Where the one before has struck in
    this very moment, nothing may be begun: the next wait would end it, and the client would have a torn answer."""
    scope.deadline = until
    if scope.cancel_called:
        await trio.lowlevel.checkpoint()    # raises trio.Cancelled
