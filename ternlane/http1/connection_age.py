"""Which kept connections are worth using again, by how long they have been idle. Free of I/O.

A path or a peer may drop idle connections sooner than agreed, and tell so late or never; a request written to such a
one is a reset that may have run. What broke at once is counted by the idle time's order of magnitude.
"""

from __future__ import annotations

from math import exp

OFTEN = 1 / 8  # part of those used again after such a time that broke: no longer chance
LEAST = 1.5  # breaks, with the older ones fading, before anything is concluded


class ConnectionAge:
    """Forgets over `span_ms`, so that what was shunned is tried again."""

    def __init__(self, span_ms: float) -> None:
        self.span_ms = span_ms
        self.seen: dict[int, tuple[float, float, float]] = {}  # by doublings: uses, breaks, when

    def _now(self, idle_ms: float, now: float) -> tuple[float, float]:
        uses, breaks, at = self.seen.get(int(idle_ms).bit_length(), (0.0, 0.0, now))
        fade = exp((at - now) / self.span_ms)
        return uses * fade, breaks * fade

    def note(self, idle_ms: float, broke: bool, now: float) -> None:
        uses, breaks = self._now(idle_ms, now)
        self.seen[int(idle_ms).bit_length()] = uses + 1, breaks + broke, now

    def shuns(self, idle_ms: float, now: float) -> bool:
        uses, breaks = self._now(idle_ms, now)
        return breaks >= LEAST and breaks > OFTEN * uses
