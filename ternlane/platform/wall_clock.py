"""Converts another machine's wall-clock timestamps to the monotonic clock, although wall clocks are stepped.

The offset of the wall clock from the monotonic clock is constant except for steps. A timestamp is converted with each
offset that has been observed, and the latest result that is not in the future counts: a server that has just started
must not be taken for a warm one. Free of I/O.
"""

from __future__ import annotations

from collections import deque

MIN_STEP_MS = 250.0  # a smaller change is taken as drift, and updates the newest offset
MAX_OFFSETS = 8  # offsets remembered, the newest last


class WallClock:
    """Times are milliseconds: `wall_ms` since the Unix epoch, `now_ms` by a monotonic clock."""

    def __init__(self) -> None:
        self._offsets_ms: deque[float] = deque(maxlen=MAX_OFFSETS)
        self.steps = 0

    def observe(self, wall_ms: float, now_ms: float) -> None:
        """Records both clocks at one moment. Call it often enough that at most one step lies between two calls. A step
        back to an older offset that is still remembered changes nothing."""
        offset_ms = wall_ms - now_ms
        if not self._offsets_ms:
            self._offsets_ms.append(offset_ms)
            return
        nearest = min(self._offsets_ms, key=lambda known: abs(known - offset_ms))
        if abs(nearest - offset_ms) > MIN_STEP_MS:
            self.steps += 1
            self._offsets_ms.append(offset_ms)
        elif nearest is self._offsets_ms[-1]:
            self._offsets_ms[-1] = offset_ms

    def to_monotonic_ms(self, wall_ms: float, now_ms: float) -> float:
        """Converts a wall-clock time to the latest monotonic time that it can denote, at most `now_ms`."""
        times = [wall_ms - offset_ms for offset_ms in self._offsets_ms]
        possible = [time for time in times if time <= now_ms]
        return max(possible, default=now_ms)
