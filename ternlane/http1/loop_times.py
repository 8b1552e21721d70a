"""Measures how late an event loop is: for how long bytes wait unread, and how long one turn of the loop takes."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

import trio

from ternlane.http1.nonblocking import since_last_data_ms

# A poll that waited at least this long for I/O shows that the loop had read everything that had arrived.
IDLE_WAIT_MS = 0.5
# Shorter turns of the loop do not make requests late.
MIN_TURN_MS = 5.0
# A turn is remembered for this many times its duration.
TURN_MEMORY_TIMES = 8.0


class Turn(NamedTuple):
    """One turn of the loop, from one wait for I/O to the next."""

    took_ms: float
    ended_ms: float


class LoopTimes(trio.abc.Instrument):
    """Tracks the polls and turns of the loop. All times are of trio's clock."""

    def __init__(self) -> None:
        now_s = trio.current_time()
        self._wait_began_s = now_s
        self._wait_ended_s = now_s
        self._unread_since_s = now_s
        self._long_turns: deque[Turn] = deque()

    def before_io_wait(self, timeout: float) -> None:
        """Called by trio before it waits for I/O."""
        now_s = trio.current_time()
        self._wait_began_s = now_s
        took_ms = (now_s - self._wait_ended_s) * 1000
        if took_ms >= MIN_TURN_MS:
            self._long_turns.append(Turn(took_ms, now_s * 1000))

    def after_io_wait(self, timeout: float) -> None:
        """Called by trio after it has waited for I/O."""
        now_s = trio.current_time()
        was_idle = now_s - self._wait_began_s >= IDLE_WAIT_MS / 1000  # no data was available at the start of the wait
        self._unread_since_s = now_s if was_idle else self._wait_ended_s
        self._wait_ended_s = now_s

    def max_unread_ms(self) -> float:
        """The longest time for which data that was just read may have been waiting, since it could be read. During a
        long turn of the loop, the time of its arrival is unknown."""
        return (trio.current_time() - self._unread_since_s) * 1000

    def waited_ms(self, stream: trio.SocketStream) -> float:
        """For how long a request that has just been read may have waited since its last byte arrived, in the listener's
        queue too."""
        return max(self.max_unread_ms(), since_last_data_ms(stream))

    def turn_ms(self) -> float:
        """How long a turn of the loop takes at present; 0 if that makes no request late.

        It is the second longest of the recent turns: one long turn alone, as after a pause of the whole process, does
        not mean that the next ones will be long.
        """
        now_ms = trio.current_time() * 1000
        self._long_turns = deque(
            turn for turn in self._long_turns if now_ms - turn.ended_ms < TURN_MEMORY_TIMES * turn.took_ms
        )
        durations = [turn.took_ms for turn in self._long_turns]
        current_ms = now_ms - self._wait_ended_s * 1000
        if current_ms >= MIN_TURN_MS:
            durations.append(current_ms)
        return sorted(durations)[-2] if len(durations) > 1 else 0.0
