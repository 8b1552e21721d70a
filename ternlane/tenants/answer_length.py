"""How many tokens an answer will have, learnt from the answers before.

A sketch of logarithmic buckets (as DDSketch: a relative error that holds at every quantile), made small: one byte array
of saturating counts, halved when one is full, so that old answers fade. Tenants with few answers go by those of all
tenants in the request class.
"""

from __future__ import annotations

from collections import OrderedDict
from math import ceil, log

GAMMA = 1.15  # a bucket's upper edge over its lower: an error of at most 7.5%, well below that of the estimate itself
BUCKETS = 96  # up to 1.15**95 tokens, more than 500,000: longer than any model's answer
MAX_COUNT = 255  # of one bucket, which is a byte
MIN_OWN_ANSWERS = 16  # with fewer the upper tenth of a tenant's own answers is chance
QUANTILE = 0.9  # one answer in ten overruns its reservation: less reserves much more, more lets many overrun
MAX_SKETCHES = 100_000  # of tenants and classes: some 20 MB

_LOG_GAMMA = log(GAMMA)


class LengthSketch:
    """Counts of answers by their length."""

    __slots__ = ("counts", "total")

    def __init__(self) -> None:
        self.counts = bytearray(BUCKETS)
        self.total = 0

    def add(self, tokens: int) -> None:
        """Counts one answer."""
        bucket = ceil(log(max(tokens, 1)) / _LOG_GAMMA)
        bucket = min(BUCKETS - 1, max(0, bucket))
        if self.counts[bucket] == MAX_COUNT:
            self.counts = bytearray(count >> 1 for count in self.counts)
            self.total = sum(self.counts)
        self.counts[bucket] += 1
        self.total += 1

    def quantile(self, share: float) -> float:
        """Tokens: the middle of the bucket up to which this share of the answers lies. 0 without any."""
        wanted = share * self.total
        seen = 0
        for bucket, count in enumerate(self.counts):
            seen += count
            if count and seen >= wanted:
                return max(1.0, 2 * GAMMA**bucket / (1 + GAMMA))
        return 0.0


class AnswerLengthEstimator:
    """Estimates by tenant and request class. Holds at most `max_sketches` of tenants; those unused longest go first."""

    def __init__(self, max_sketches: int = MAX_SKETCHES, quantile: float = QUANTILE) -> None:
        self.max_sketches = max_sketches
        self.quantile = quantile
        self.by_tenant: OrderedDict[tuple[str, str], LengthSketch] = OrderedDict()
        self.by_class: dict[str, LengthSketch] = {}

    def estimate(self, tenant: str, request_class: str, max_tokens: int) -> int:
        """Tokens to reserve for an answer of at most `max_tokens`; all of these while too few answers are known."""
        for sketch in (self.by_tenant.get((tenant, request_class)), self.by_class.get(request_class)):
            if sketch is not None and sketch.total >= MIN_OWN_ANSWERS:
                return min(max_tokens, ceil(sketch.quantile(self.quantile)))
        return max_tokens

    def learn(self, tenant: str, request_class: str, tokens: int) -> None:
        """Takes in the length of a whole answer."""
        self._sketch_of(tenant, request_class).add(tokens)
        self.by_class.setdefault(request_class, LengthSketch()).add(tokens)

    def _sketch_of(self, tenant: str, request_class: str) -> LengthSketch:
        key = (tenant, request_class)
        sketch = self.by_tenant.get(key)
        if sketch is not None:
            self.by_tenant.move_to_end(key)
            return sketch
        sketch = self.by_tenant[key] = LengthSketch()
        if len(self.by_tenant) > self.max_sketches:
            self.by_tenant.popitem(last=False)
        return sketch
