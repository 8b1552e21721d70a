"""Accepts the connections that have waited for long in a listener's queue, several in one turn of the event loop.

An event loop accepts one connection in each turn, which spreads the work of a burst. While turns take long, that would
be too few, and requests would wait unread for longer and longer.
"""

from __future__ import annotations

import trio

from ternlane.http1.nonblocking import accept_now, since_last_data_ms

# One more connection is accepted in a turn for each time this long that the latest one has waited.
WAIT_PER_CONNECTION_MS = 100.0
# The most connections accepted in one turn, besides the first one.
MAX_ACCEPTED_PER_TURN = 64


def accept_waiting(listener: trio.SocketListener, latest: trio.SocketStream) -> list[trio.SocketStream]:
    """The connections to accept in this turn after the latest one. Raises OSError as `accept`, if it fails for the
    first of them."""
    streams: list[trio.SocketStream] = []
    most = min(MAX_ACCEPTED_PER_TURN, int(since_last_data_ms(latest) / WAIT_PER_CONNECTION_MS))
    while len(streams) < most:
        try:
            stream = accept_now(listener)
        except OSError:
            if not streams:
                raise
            break  # the next call meets it again
        if stream is None:
            break
        streams.append(stream)
    return streams
