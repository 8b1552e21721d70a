"""How long an answer will be, learnt from those that were.

A sketch of logarithmic buckets (the idea of DDSketch: a relative error that holds at every quantile), made small: one
byte array of saturating counts, halved when one is full, so that old answers fade. Tenants with few answers lean on
their product's.
"""

from __future__ import annotations

from collections import OrderedDict
from math import ceil, log

GAMMA = 1.15  # a bucket's upper edge over its lower: an error of at most 7.5%
BUCKETS = 96  # up to 1.15**95 > 500,000 tokens
ENOUGH = 16  # answers after which a tenant's own lengths rule
QUANTILE = 0.9
STEP = log(GAMMA)


class Sketch:
    __slots__ = ("counts", "total")

    def __init__(self) -> None:
        self.counts = bytearray(BUCKETS)
        self.total = 0

    def add(self, tokens: int) -> None:
        i = min(BUCKETS - 1, max(0, ceil(log(max(tokens, 1)) / STEP)))
        if self.counts[i] == 255:
            self.counts = bytearray(c >> 1 for c in self.counts)
            self.total = sum(self.counts)
        self.counts[i] += 1
        self.total += 1

    def quantile(self, q: float) -> float:
        """Tokens; the middle of the bucket in which a part q of the answers is reached. 0 for none."""
        want, seen = q * self.total, 0
        for i, n in enumerate(self.counts):
            seen += n
            if n and seen >= want:
                return max(1.0, 2 * GAMMA**i / (1 + GAMMA))
        return 0.0


class Lengths:
    """Estimates by tenant and product. Holds sketches for at most `limit` tenants' products, the oldest go first."""

    def __init__(self, limit: int = 100_000, q: float = QUANTILE) -> None:
        self.limit, self.q = limit, q
        self.own: OrderedDict[tuple[str, str], Sketch] = OrderedDict()
        self.all: dict[str, Sketch] = {}

    def estimate(self, tenant: str, request_class: str, most: int) -> int:
        """Tokens to reserve for an answer that may have `most`. Nothing known: all that it may have."""
        own, everyone = self.own.get((tenant, request_class)), self.all.get(request_class)
        if own is not None and own.total >= ENOUGH:
            return min(most, ceil(own.quantile(self.q)))
        if everyone is not None and everyone.total >= ENOUGH:
            return min(most, ceil(everyone.quantile(self.q)))
        return most

    def learn(self, tenant: str, request_class: str, tokens: int) -> None:
        key = tenant, request_class
        sketch = self.own.get(key)
        if sketch is None:
            sketch = self.own[key] = Sketch()
            if len(self.own) > self.limit:
                self.own.popitem(last=False)
        else:
            self.own.move_to_end(key)
        sketch.add(tokens)
        self.all.setdefault(request_class, Sketch()).add(tokens)
