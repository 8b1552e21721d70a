"""How long ago something began that another machine has dated by its wall clock, though wall clocks are stepped.

The wall clock's distance from the monotonic clock is constant but for steps, so each distance seen is one reading of
the date. A date is read by all of them, and the shortest time that is possible counts: whoever asks wants to be
careful with what has only just begun. Free of I/O.
"""

from __future__ import annotations

from collections import deque

STEP_MS = 250.0  # a smaller change of the distance is drift, which is followed
READINGS = 8  # distances remembered, the newest last


class WallClock:
    """Times are milliseconds: `wall_ms` since the Unix epoch, `now_ms` by a monotonic clock."""

    def __init__(self) -> None:
        self._distances: deque[float] = deque(maxlen=READINGS)
        self.steps = 0

    def observe(self, wall_ms: float, now_ms: float) -> None:
        """Both clocks at one moment. To be called often enough that no two steps fall between."""
        distance = wall_ms - now_ms
        if not self._distances:
            self._distances.append(distance)
            return
        nearest = min(self._distances, key=lambda known: abs(known - distance))
        if abs(nearest - distance) > STEP_MS:
            self.steps += 1
            self._distances.append(distance)
        elif nearest is self._distances[-1]:
            self._distances[-1] = distance

    def began_ms(self, dated_ms: float, now_ms: float) -> float:
        """When it began by the monotonic clock: at the latest possible time, and never in the future."""
        times = [dated_ms - distance for distance in self._distances]
        possible = [time for time in times if time <= now_ms]
        return max(possible, default=now_ms)
