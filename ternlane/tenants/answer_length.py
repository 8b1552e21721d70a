"""Estimates the number of tokens of an answer from the lengths of earlier answers.

Lengths are counted in a sketch with logarithmic buckets, which bounds the relative error at every quantile (as
DDSketch). To save memory, the counts are bytes; all of them are halved when one reaches its maximum, which also gives
recent answers more weight. For tenants with few answers, the estimate uses the answers of all tenants in the request
class.
"""

from __future__ import annotations

from collections import OrderedDict
from math import ceil, log

GAMMA = 1.15  # ratio of a bucket's bounds: an error of at most 7.5%, well below that of the estimate itself
BUCKETS = 96  # up to 1.15**95 tokens, more than 500,000: no model produces longer answers
MAX_COUNT = 255  # per bucket: counts are bytes
MIN_OWN_ANSWERS = 16  # with fewer answers, the quantile of a tenant's own is too noisy
# One answer in ten exceeds its reservation: a lower quantile lets many more exceed theirs, a higher one reserves far
# more tokens.
QUANTILE = 0.9
MAX_SKETCHES = 100_000  # one per tenant and request class: some 20 MB

_LOG_GAMMA = log(GAMMA)


class LengthSketch:
    """A histogram of answer lengths."""

    __slots__ = ("counts", "total")

    def __init__(self) -> None:
        self.counts = bytearray(BUCKETS)
        self.total = 0

    def add(self, tokens: int) -> None:
        """Counts an answer of this length."""
        bucket = ceil(log(max(tokens, 1)) / _LOG_GAMMA)
        bucket = min(BUCKETS - 1, max(0, bucket))
        if self.counts[bucket] == MAX_COUNT:
            self.counts = bytearray(count >> 1 for count in self.counts)
            self.total = sum(self.counts)
        self.counts[bucket] += 1
        self.total += 1

    def quantile(self, share: float) -> float:
        """The length in tokens that this share of the answers does not exceed: the middle of its bucket, or 0 if there
        are no answers."""
        rank = share * self.total
        seen = 0
        for bucket, count in enumerate(self.counts):
            seen += count
            if count and seen >= rank:
                return max(1.0, 2 * GAMMA**bucket / (1 + GAMMA))
        return 0.0


class AnswerLengthEstimator:
    """Estimates by tenant and request class. Keeps at most `max_sketches` sketches of tenants and evicts the least
    recently updated."""

    def __init__(self, max_sketches: int = MAX_SKETCHES, quantile: float = QUANTILE) -> None:
        self.max_sketches = max_sketches
        self.quantile = quantile
        self.by_tenant: OrderedDict[tuple[str, str], LengthSketch] = OrderedDict()
        self.by_class: dict[str, LengthSketch] = {}

    def estimate(self, tenant: str, request_class: str, max_tokens: int) -> int:
        """Tokens to reserve for an answer of at most `max_tokens`: all of them while too few answers are known."""
        for sketch in (self.by_tenant.get((tenant, request_class)), self.by_class.get(request_class)):
            if sketch is not None and sketch.total >= MIN_OWN_ANSWERS:
                return min(max_tokens, ceil(sketch.quantile(self.quantile)))
        return max_tokens

    def learn(self, tenant: str, request_class: str, tokens: int) -> None:
        """Counts the length of a complete answer."""
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
