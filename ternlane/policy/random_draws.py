"""Chance for the decisions, by seed and counter, so that the same events always give the same actions."""

from __future__ import annotations

import zlib


class RandomDraws:
    """One counter for everything that is drawn or numbered."""

    def __init__(self, seed: int) -> None:
        self._seed = seed
        self._count = 0

    def next_number(self) -> int:
        """A number larger than all before."""
        self._count += 1
        return self._count

    def slow_start_draw(self) -> float:
        """A number from 0 to 1."""
        return zlib.crc32(b"%d lot %d" % (self._seed, self.next_number())) / 2**32

    def tie_breaker(self) -> int:
        """An odd factor. Multiplied with the servers' hash keys, modulo 2**32, it orders them at random."""
        return zlib.crc32(b"%d %d" % (self._seed, self.next_number())) | 1
