"""Decides which idle connections are safe to reuse, by how long they have been idle. Does no I/O.

A network path or a peer may drop idle connections earlier than agreed and signal it late or never. A request written to
such a connection ends in a reset after which it is unknown whether the request ran. Failed reuses are therefore counted
per order of magnitude (powers of two) of the idle time.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import exp

# Largest tolerated share of reuses that broke; a larger one is taken as systematic.
BREAK_SHARE_LIMIT = 1 / 8
# Decayed number of breaks below which reuse is not restricted.
MIN_BREAKS = 1.5


@dataclass(slots=True, frozen=True)
class ReuseCounts:
    """Decayed counts of reuses and breaks for one order of magnitude of idle time, valid at `at_ms`."""

    uses: float
    breaks: float
    at_ms: float


class IdleReuseStats:
    """Outcomes of reuse by idle time.

    Counts decay with the time constant `span_ms`, so that idle times once found unsafe are tried again.
    """

    def __init__(self, span_ms: float) -> None:
        self.span_ms = span_ms
        self._counts: dict[int, ReuseCounts] = {}  # by the bit length of the idle time in ms

    def record(self, idle_ms: float, broke: bool, now_ms: float) -> None:
        """Records one reuse of a connection after `idle_ms`."""
        decayed = self._decayed(idle_ms, now_ms)
        self._counts[_magnitude(idle_ms)] = ReuseCounts(decayed.uses + 1, decayed.breaks + broke, now_ms)

    def is_unsafe(self, idle_ms: float, now_ms: float) -> bool:
        """Whether a connection that has been idle for `idle_ms` is likely to break when it is reused."""
        decayed = self._decayed(idle_ms, now_ms)
        return decayed.breaks >= MIN_BREAKS and decayed.breaks > BREAK_SHARE_LIMIT * decayed.uses

    def _decayed(self, idle_ms: float, now_ms: float) -> ReuseCounts:
        counts = self._counts.get(_magnitude(idle_ms))
        if counts is None:
            return ReuseCounts(0.0, 0.0, now_ms)
        decay = exp((counts.at_ms - now_ms) / self.span_ms)
        return ReuseCounts(counts.uses * decay, counts.breaks * decay, now_ms)


def _magnitude(idle_ms: float) -> int:
    return int(idle_ms).bit_length()
