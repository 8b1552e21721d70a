"""How gateways that answer alone share one budget: a floor that is always theirs, and tokens drawn from one bucket.

Of a tenant's rate and burst each gateway holds FLOOR/n for good. The rest flows into one bucket at the lender. A
gateway looks at its traffic from time to time and, in the background, draws the tokens that it will need until the next
look, or gives back what it will not. Nobody waits for a draw: what is not there is refused, with an honest return time.

Tokens come into being at the floors and in the bucket alone, so all gateways together spend at most

    burst + rate * time + what open generations overrun their reservations,

whatever is lost, late or repeated between them. A gateway that dies takes what it had drawn with it: at most its want
of AHEAD looks; the rest of the budget is the others' at once. One that can't reach the lender has its floor. Of a
period's tokens the pool is drawn in chunks that are not returned: at most one unspent chunk of a dead gateway is lost
until the period ends.

The lender is a table and a rule; where it lies (a file, an appointed gateway) is the transport's matter.
"""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec

FLOOR = 0.2
PLENTY = 0.5  # part of the drawn burst that gateways may hold without present need, all together
CHUNKS = 8  # that a gateway could draw of its even share of a period's pool
AHEAD = 1.5  # looks' worth of tokens that a gateway holds
GAIN = 0.1  # weight of one more look, or generation, in what is expected


class Bucket(msgspec.Struct, array_like=True):
    level: float
    at: float  # seconds since 1970
    asked: dict[str, tuple[float, float]]  # gateway -> when it last asked, for how much


class Drawn(msgspec.Struct, array_like=True):
    period: str
    tokens: float


class Table(msgspec.Struct):
    buckets: dict[str, Bucket] = {}
    drawn: dict[str, Drawn] = {}


@dataclass
class QuotaLeases:
    """One table for all gateways; every call is one atomic change of it. `span_s` is the time between two looks."""

    gateways: int
    span_s: float = 3.0
    table: Table = field(default_factory=Table)

    def ask(
        self, tenant: str, gateway: str, want: float, minute: int, burst: int, now: float, least: float = 0.0
    ) -> float:
        """Tokens for `gateway`; a negative want gives tokens back. Where more is wanted than there is, each gets an
        even share, and what others leave of theirs, but not less than `least`, which lets one generation in: slices
        that let none in would lie about unused at many gateways. A clock set back refills nothing until it has
        caught up."""
        most, rate = burst * (1 - FLOOR), minute * (1 - FLOOR) / 60
        bucket = self.table.buckets.get(tenant)
        if bucket is None:
            bucket = self.table.buckets[tenant] = Bucket(most, now, {})
        bucket.level = min(most, bucket.level + max(0.0, now - bucket.at) * rate)
        bucket.at = max(bucket.at, now)
        bucket.asked = {g: it for g, it in bucket.asked.items() if g != gateway and it[0] > now - 2 * self.span_s}
        if want <= 0:
            bucket.level = min(most, bucket.level - want)
            return want
        others = sum(it[1] for it in bucket.asked.values())
        bucket.asked[gateway] = now, want
        least = min(want, least, most)
        if bucket.level < least:
            return 0.0
        got = min(want, max(least, bucket.level / len(bucket.asked), bucket.level - others))
        bucket.level -= got
        return got

    def draw(self, tenant: str, period: str, budget: int) -> float:
        """Another chunk of the period's pool; 0 when it is empty."""
        drawn = self.table.drawn.get(tenant)
        if drawn is None or drawn.period < period:  # a clock set back does not open an old period anew
            drawn = self.table.drawn[tenant] = Drawn(period, 0.0)
        pool = budget * (1 - FLOOR)
        chunk = max(0.0, min(pool / self.gateways / CHUNKS, pool - drawn.tokens)) if drawn.period == period else 0.0
        drawn.tokens += chunk
        return chunk


@dataclass
class QuotaBorrower:
    """One gateway's side for one tenant: what its traffic wants, by what it let in and what it could not."""

    used: float = 0.0  # tokens reserved since the last look
    refused: float = 0.0  # tokens refused for the rate since then
    expected: float = 0.0  # tokens a look
    size: float = 0.0  # of one generation

    def saw(self, tokens: int, let_in: bool) -> None:
        self.size += (tokens - self.size) * (GAIN if self.size else 1.0)
        self.used, self.refused = self.used + tokens * let_in, self.refused + tokens * (not let_in)

    def target(self, plenty: float) -> float:
        """Tokens to hold until the next look; called once a look. Up at once, down slowly. While any traffic is
        remembered, one generation's at least, and `plenty`: what is held of a burst that is there anyway saves a
        tenant within its budget from being refused because its traffic came to this gateway just now."""
        seen, self.used, self.refused = self.used + self.refused, 0.0, 0.0
        self.expected = max(seen, self.expected + GAIN * (seen - self.expected))
        remembered = self.expected >= 0.02 * self.size > 0
        return max(AHEAD * self.expected, AHEAD * self.size, plenty) if remembered else 0.0
