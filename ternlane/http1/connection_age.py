"""Which idle connections are worth using again, by how long they have been idle. Free of I/O.

A path or a peer may drop idle connections sooner than agreed, and tell so late or never; a request written to such a
one is a reset that may have run. Breaks are counted by the idle time's order of magnitude.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import exp

# The part of the connections used again after such a time that broke: more is no chance.
BREAK_SHARE_LIMIT = 1 / 8
# Breaks, with the older ones fading, before anything is concluded.
MIN_BREAKS = 1.5


@dataclass(slots=True, frozen=True)
class ReuseCounts:
    """Uses and breaks after idle times of one order of magnitude, as they were at `at_ms`."""

    uses: float
    breaks: float
    at_ms: float


class ConnectionAge:
    """Counts fade with the time constant `span_ms`, so that what was shunned is tried again."""

    def __init__(self, span_ms: float) -> None:
        self.span_ms = span_ms
        self._counts: dict[int, ReuseCounts] = {}  # by doublings of the idle time

    def record(self, idle_ms: float, broke: bool, now_ms: float) -> None:
        """A connection was used again after being idle for so long."""
        faded = self._faded(idle_ms, now_ms)
        self._counts[_magnitude(idle_ms)] = ReuseCounts(faded.uses + 1, faded.breaks + broke, now_ms)

    def shuns(self, idle_ms: float, now_ms: float) -> bool:
        """Is a connection that has been idle for so long likely to break?"""
        faded = self._faded(idle_ms, now_ms)
        return faded.breaks >= MIN_BREAKS and faded.breaks > BREAK_SHARE_LIMIT * faded.uses

    def _faded(self, idle_ms: float, now_ms: float) -> ReuseCounts:
        counts = self._counts.get(_magnitude(idle_ms))
        if counts is None:
            return ReuseCounts(0.0, 0.0, now_ms)
        fade = exp((counts.at_ms - now_ms) / self.span_ms)
        return ReuseCounts(counts.uses * fade, counts.breaks * fade, now_ms)


def _magnitude(idle_ms: float) -> int:
    return int(idle_ms).bit_length()
