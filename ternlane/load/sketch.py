"""Streaming quantiles with bounded relative error and memory (DDSketch: logarithmic buckets)."""

from __future__ import annotations

from collections import Counter
from math import ceil, inf, log

# Shorter times count as zero: they are below clock resolution.
MIN_TIME = 1e-9


class QuantileSketch:
    """Quantile sketch with a relative error of at most `error`.

    Beyond `buckets` buckets the lowest are collapsed, so that upper quantiles stay accurate. Sketches with the same
    error can be merged, in any order, with the same result.
    """

    def __init__(self, error: float = 0.01, buckets: int = 2048) -> None:
        """Raises ValueError if `error` is not between 0 and 1."""
        if not 0 < error < 1:
            raise ValueError("error must be between 0 and 1")
        self.error = error
        self.max_buckets = buckets
        self.gamma = (1 + error) / (1 - error)  # ratio of a bucket's upper to lower bound
        self.counts: Counter[int] = Counter()  # by the logarithm of the bucket's upper bound to base gamma
        self.zeros = 0
        self.count = 0
        self.minimum = inf
        self.maximum = 0.0
        self.sum = 0.0
        self._scale = 1 / log(self.gamma)

    def add(self, value: float, times: int = 1) -> None:
        """Adds `value` `times` times. Raises ValueError if it is negative, infinite or NaN."""
        if not 0 <= value < inf:
            raise ValueError(f"not a finite non-negative time: {value}")
        self.count += times
        self.minimum = min(self.minimum, value)
        self.maximum = max(self.maximum, value)
        self.sum += value * times
        if value < MIN_TIME:
            self.zeros += times
            return
        self.counts[ceil(log(value) * self._scale)] += times
        self._collapse()

    def _collapse(self) -> None:
        while len(self.counts) > self.max_buckets:
            lowest, second = sorted(self.counts)[:2]
            self.counts[second] += self.counts.pop(lowest)

    def merge(self, other: QuantileSketch) -> None:
        """Adds the other sketch's values. Raises ValueError if the relative errors differ."""
        if other.gamma != self.gamma:
            raise ValueError("sketches with different errors can't be merged")
        self.counts.update(other.counts)
        self.zeros += other.zeros
        self.count += other.count
        self.minimum = min(self.minimum, other.minimum)
        self.maximum = max(self.maximum, other.maximum)
        self.sum += other.sum
        self._collapse()

    def quantile(self, fraction: float) -> float:
        """Returns the value below which this fraction of the values lies, or NaN if the sketch is empty."""
        if not self.count:
            return float("nan")
        rank = fraction * (self.count - 1)
        seen = self.zeros
        if rank < seen:
            return 0.0
        for bucket in sorted(self.counts):
            seen += self.counts[bucket]
            if rank < seen:
                middle = 2 * self.gamma**bucket / (self.gamma + 1)
                return min(max(middle, self.minimum), self.maximum)
        return self.maximum
