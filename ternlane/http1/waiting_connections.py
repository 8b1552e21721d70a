"""Accepts as many connections in a long turn of the event loop as short turns would accept in the same time.

An event loop accepts one connection in each turn, so that requests that arrive together are begun one after another.
While turns take long, one would be too few, and requests would wait unread for longer and longer.
"""

from __future__ import annotations

import trio

from ternlane.http1.loop_times import LoopTimes
from ternlane.http1.nonblocking import accept_now

# One more connection is accepted for each time this long that the turn before has taken.
TURN_PER_CONNECTION_MS = 10.0


def accept_waiting(listener: trio.SocketListener, loop_times: LoopTimes) -> list[trio.SocketStream]:
    """The connections to accept in this turn besides the first one. Raises OSError as `accept`, if it fails for the
    first of them."""
    streams: list[trio.SocketStream] = []
    most = int(loop_times.latest_turn_ms / TURN_PER_CONNECTION_MS)
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
