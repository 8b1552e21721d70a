"""Measures how late an event loop is: for how long bytes wait unread, and how long one turn of the loop takes."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from contextlib import contextmanager
from math import inf

import trio

from ternlane.http1.nonblocking import since_last_data_ms

# A poll that waited at least this long for I/O shows that the loop had read everything that had arrived.
IDLE_WAIT_MS = 0.5
# The turns that say how long the next ones will take.
RECENT_TURNS = 16


class LoopTimes(trio.abc.Instrument):
    """Tracks the polls and turns of the loop. All times are of trio's clock."""

    def __init__(self) -> None:
        self._wait_began_s = inf
        self._wait_ended_s = inf
        self._unread_since_s = inf
        self._turns_ms = deque([0.0] * RECENT_TURNS, maxlen=RECENT_TURNS)

    @contextmanager
    def measuring(self) -> Iterator[None]:
        """Measures the loop of this task until the context ends."""
        now_s = trio.current_time()
        self._wait_began_s = now_s
        self._wait_ended_s = now_s
        self._unread_since_s = now_s
        trio.lowlevel.add_instrument(self)
        try:
            yield
        finally:
            trio.lowlevel.remove_instrument(self)

    def before_io_wait(self, timeout: float) -> None:
        """Called by trio before it waits for I/O."""
        now_s = trio.current_time()
        self._wait_began_s = now_s
        self._turns_ms.append((now_s - self._wait_ended_s) * 1000)

    def after_io_wait(self, timeout: float) -> None:
        """Called by trio after it has waited for I/O."""
        now_s = trio.current_time()
        was_idle = now_s - self._wait_began_s >= IDLE_WAIT_MS / 1000  # no data was available at the start of the wait
        self._unread_since_s = now_s if was_idle else self._wait_ended_s
        self._wait_ended_s = now_s

    def max_unread_ms(self) -> float:
        """The longest time for which data that was just read may have been waiting, since it could be read; 0 before
        the first measurement. During a long turn of the loop, the time of its arrival is unknown."""
        return max(0.0, (trio.current_time() - self._unread_since_s) * 1000)

    def waited_ms(self, stream: trio.SocketStream) -> float:
        """For how long a request that has just been read may have waited since its last byte arrived, in the listener's
        queue too."""
        return max(self.max_unread_ms(), since_last_data_ms(stream))

    @property
    def latest_turn_ms(self) -> float:
        """How long the turn before the present one took."""
        return self._turns_ms[-1]

    def turn_ms(self) -> float:
        """How long a turn of the loop takes at present: the mean of the recent turns, each weighted by its duration, as
        a request is the likelier to arrive during a turn the longer it is. The longest turn is left out: one alone, as
        after a pause of the whole process, does not mean that the next ones will be long."""
        turns_ms = sorted(self._turns_ms)[:-1]
        total_ms = sum(turns_ms)
        return sum(turn_ms * turn_ms for turn_ms in turns_ms) / total_ms if total_ms > 0 else 0.0
