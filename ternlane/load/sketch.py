"""Quantiles of a stream of times within a stated relative error and bounded memory (DDSketch: equal ratios)."""

from __future__ import annotations

from collections import Counter
from math import ceil, inf, log

# Times below are counted as nought: no clock tells them apart.
LEAST_TIME = 1e-9


class QuantileSketch:
    """Each quantile is off by `error` of itself at the most.

    Over `buckets`, the lowest are put together, so that the upper quantiles stay true. Two with the same error can be
    merged, in any order, with the same result.
    """

    def __init__(self, error: float = 0.01, buckets: int = 2048) -> None:
        """Raises ValueError for an error that is not between 0 and 1."""
        if not 0 < error < 1:
            raise ValueError("the error lies between 0 and 1")
        self.error = error
        self.max_buckets = buckets
        self.gamma = (1 + error) / (1 - error)  # ratio of a bucket's bounds
        self.counts: Counter[int] = Counter()  # by the logarithm of the bucket's upper bound
        self.zeros = 0
        self.count = 0
        self.minimum = inf
        self.maximum = 0.0
        self.sum = 0.0
        self._scale = 1 / log(self.gamma)

    def add(self, value: float, times: int = 1) -> None:
        """Raises ValueError for what is no time: below nought, infinite or not a number."""
        if not 0 <= value < inf:
            raise ValueError(f"not a time: {value}")
        self.count += times
        self.minimum = min(self.minimum, value)
        self.maximum = max(self.maximum, value)
        self.sum += value * times
        if value < LEAST_TIME:
            self.zeros += times
            return
        self.counts[ceil(log(value) * self._scale)] += times
        self._collapse()

    def _collapse(self) -> None:
        while len(self.counts) > self.max_buckets:
            lowest, second = sorted(self.counts)[:2]
            self.counts[second] += self.counts.pop(lowest)

    def merge(self, other: QuantileSketch) -> None:
        """Adds all that was added to the other. Raises ValueError where the errors differ."""
        if other.gamma != self.gamma:
            raise ValueError("sketches of different errors can't be merged")
        self.counts.update(other.counts)
        self.zeros += other.zeros
        self.count += other.count
        self.minimum = min(self.minimum, other.minimum)
        self.maximum = max(self.maximum, other.maximum)
        self.sum += other.sum
        self._collapse()

    def quantile(self, part: float) -> float:
        """The value below which this part of the values lie. Not a number where nothing was added."""
        if not self.count:
            return float("nan")
        rank = part * (self.count - 1)
        seen = self.zeros
        if rank < seen:
            return 0.0
        for bucket in sorted(self.counts):
            seen += self.counts[bucket]
            if rank < seen:
                middle = 2 * self.gamma**bucket / (self.gamma + 1)
                return min(max(middle, self.minimum), self.maximum)
        return self.maximum
