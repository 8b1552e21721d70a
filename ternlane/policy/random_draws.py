"""Pseudo-random numbers for the decisions, from a seed and a counter: the same events always give the same actions."""

from __future__ import annotations

import zlib


class RandomDraws:
    """One counter serves all random numbers and sequence numbers."""

    def __init__(self, seed: int) -> None:
        self._seed = seed
        self._count = 0

    def next_number(self) -> int:
        """A sequence number, larger than all previous ones."""
        self._count += 1
        return self._count

    def slow_start_draw(self) -> float:
        """A number between 0 and 1."""
        return zlib.crc32(b"%d lot %d" % (self._seed, self.next_number())) / 2**32

    def tie_breaker(self) -> int:
        """A random odd factor. Multiplying the servers' hash keys by it modulo 2**32 puts them in random order."""
        return zlib.crc32(b"%d %d" % (self._seed, self.next_number())) | 1
