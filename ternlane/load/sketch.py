"""Quantiles of a stream of times within a stated relative error and bounded memory (DDSketch: equal ratios)."""

from __future__ import annotations

from collections import Counter
from math import ceil, inf, log


class Sketch:
    """Each quantile is off by `error` of itself at the most. Over `buckets`, the lowest are put together, so that the
    upper quantiles stay true. Two with the same error can be merged, in any order, with the same result."""

    def __init__(self, error: float = 0.01, buckets: int = 2048) -> None:
        if not 0 < error < 1:
            raise ValueError("the error lies between 0 and 1")
        self.error, self.limit = error, buckets
        self.gamma = (1 + error) / (1 - error)
        self.scale = 1 / log(self.gamma)
        self.counts: Counter[int] = Counter()
        self.zeros = self.many = 0
        self.least, self.most, self.sum = inf, 0.0, 0.0

    def add(self, value: float, times: int = 1) -> None:
        """Raises ValueError for what is no time: below nought, infinite or not a number."""
        if not 0 <= value < inf:
            raise ValueError(f"not a time: {value}")
        self.many += times
        self.least, self.most, self.sum = min(self.least, value), max(self.most, value), self.sum + value * times
        if value < 1e-9:
            self.zeros += times
            return
        self.counts[ceil(log(value) * self.scale)] += times
        self.fold()

    def fold(self) -> None:
        while len(self.counts) > self.limit:
            first, second = sorted(self.counts)[:2]
            self.counts[second] += self.counts.pop(first)

    def merge(self, other: Sketch) -> None:
        """Raises ValueError where the errors differ."""
        if other.gamma != self.gamma:
            raise ValueError("sketches of different errors can't be merged")
        self.counts.update(other.counts)
        self.zeros, self.many = self.zeros + other.zeros, self.many + other.many
        self.least, self.most = min(self.least, other.least), max(self.most, other.most)
        self.sum += other.sum
        self.fold()

    def quantile(self, part: float) -> float:
        """Not a number where nothing was added."""
        if not self.many:
            return float("nan")
        rank = part * (self.many - 1)
        seen = self.zeros
        if rank < seen:
            return 0.0
        for at in sorted(self.counts):
            seen += self.counts[at]
            if rank < seen:
                return min(max(2 * self.gamma**at / (self.gamma + 1), self.least), self.most)
        return self.most
