"""How gateways that answer alone share one budget: a floor that is always theirs, and tokens leased from one bucket.

Of a tenant's rate and burst each gateway holds RESERVED_SHARE / n for good. The rest flows into one shared bucket. A
gateway looks at its traffic at regular intervals and, in the background, draws the tokens that it will need until the
next look, or gives back what it will not. Nobody waits for a draw: what is not there is rejected, with an honest
Retry-After.

Tokens come into being at the floors and in the bucket alone, so all gateways together spend at most

    burst + rate * time + what open requests overrun their reservations,

whatever is lost, late or repeated between them. A gateway that dies takes what it had drawn with it: at most its need
for LOOKAHEAD_INTERVALS; the rest of the budget is the others' at once. One that can't reach the table has its floor. Of
a period's tokens the pool is drawn in chunks that are not returned: at most one unspent chunk of a dead gateway is lost
until the period ends.

This module is a table and a rule, without I/O; where the table lies is for `ternlane.ledger.quota_lease_file`.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

import msgspec

# Part of a budget that is split evenly for good: what a gateway can admit before its first draw, and without the table.
RESERVED_SHARE = 0.2
# Part of the shared burst that gateways may hold without present need, all together: so a tenant within its budget is
# not rejected because its traffic has just come to another gateway.
IDLE_BURST_SHARE = 0.5
# Chunks in a gateway's even part of a period's pool: bounds what a dead gateway takes with it.
CHUNKS_PER_GATEWAY = 8
LOOKAHEAD_INTERVALS = 1.5  # of tokens that a gateway holds: until the next look, and half of one as a reserve
EWMA_WEIGHT = 0.1  # of one more look, or request, in what is expected: traffic is forgotten over some ten looks
FORGOTTEN_SHARE = 0.02  # expected tokens below this part of one request count as no traffic
# After so many intervals without a draw a gateway no longer counts among those that share the bucket.
RECENT_INTERVALS = 2


class LeaseRequest(NamedTuple):
    """When a gateway last asked for tokens (seconds since 1970), and for how many."""

    at: float
    tokens: float


class SharedBucket(msgspec.Struct, array_like=True):
    """The shared part of one tenant's rate. The order of the fields is the form in the file."""

    level: float  # tokens
    refilled_at: float  # seconds since 1970
    recent: dict[str, LeaseRequest]  # by gateway


class PeriodPool(msgspec.Struct, array_like=True):
    """Tokens that were drawn from the pool of a billing period."""

    period: str
    tokens: float


class LeaseTable(msgspec.Struct):
    """What gateways share, as it stands in the file."""

    buckets: dict[str, SharedBucket] = {}
    drawn: dict[str, PeriodPool] = {}


@dataclass
class QuotaLeases:
    """The rule over one table for all gateways; every call is one atomic change. `interval_s` is the time between two
    looks of a gateway."""

    gateways: int
    interval_s: float = 3.0
    table: LeaseTable = field(default_factory=LeaseTable)

    def lease(
        self, tenant: str, gateway: str, tokens: float, minute: int, burst: int, now: float, min_grant: float = 0.0
    ) -> float:
        """Draws tokens for a gateway; returns how many it gets. A negative number gives tokens back.

        Where more is wanted than there is, each gets an even part, and what others leave of theirs, but not less than
        `min_grant`, which admits one request: slices that admit none would lie about unused at many gateways. `now` is
        in seconds since 1970; a clock set back refills nothing until it has caught up.
        """
        capacity = burst * (1 - RESERVED_SHARE)
        bucket = self._refilled_bucket(tenant, capacity, minute * (1 - RESERVED_SHARE) / 60, now)
        oldest = now - RECENT_INTERVALS * self.interval_s
        bucket.recent = {g: draw for g, draw in bucket.recent.items() if g != gateway and draw.at > oldest}
        if tokens <= 0:
            bucket.level = min(capacity, bucket.level - tokens)
            return tokens
        wanted_by_others = sum(draw.tokens for draw in bucket.recent.values())
        bucket.recent[gateway] = LeaseRequest(now, tokens)
        min_grant = min(tokens, min_grant, capacity)
        if bucket.level < min_grant:
            return 0.0
        even_part = bucket.level / len(bucket.recent)
        granted = min(tokens, max(min_grant, even_part, bucket.level - wanted_by_others))
        bucket.level -= granted
        return granted

    def _refilled_bucket(self, tenant: str, capacity: float, rate_per_s: float, now: float) -> SharedBucket:
        bucket = self.table.buckets.get(tenant)
        if bucket is None:
            bucket = self.table.buckets[tenant] = SharedBucket(capacity, now, {})
        refill = max(0.0, now - bucket.refilled_at) * rate_per_s
        bucket.level = min(capacity, bucket.level + refill)
        bucket.refilled_at = max(bucket.refilled_at, now)
        return bucket

    def lease_period_chunk(self, tenant: str, period: str, budget: int) -> float:
        """Another chunk of the pool of a billing period, in tokens; 0 when it is empty or the period is over."""
        drawn = self.table.drawn.get(tenant)
        if drawn is None or drawn.period < period:  # a clock set back does not open an old period anew
            drawn = self.table.drawn[tenant] = PeriodPool(period, 0.0)
        if drawn.period != period:
            return 0.0
        pool = budget * (1 - RESERVED_SHARE)
        chunk = max(0.0, min(pool / self.gateways / CHUNKS_PER_GATEWAY, pool - drawn.tokens))
        drawn.tokens += chunk
        return chunk


@dataclass
class DemandEstimator:
    """One gateway's side for one tenant: what its traffic wants, by what it admitted and what it could not."""

    admitted: float = 0.0  # tokens reserved since the last look
    rejected: float = 0.0  # tokens rejected for the rate since then
    expected: float = 0.0  # tokens a look
    request_tokens: float = 0.0  # of one request, on average

    def record(self, tokens: int, admitted: bool) -> None:
        """Counts a request of so many tokens."""
        weight = EWMA_WEIGHT if self.request_tokens else 1.0
        self.request_tokens += (tokens - self.request_tokens) * weight
        if admitted:
            self.admitted += tokens
        else:
            self.rejected += tokens

    def target(self, idle_tokens: float) -> float:
        """Tokens to hold until the next look; called once a look. Goes up at once and down slowly. While any traffic is
        remembered it is one request's at least, and `idle_tokens`, the part of the burst that may be held idle."""
        seen = self.admitted + self.rejected
        self.admitted = 0.0
        self.rejected = 0.0
        self.expected = max(seen, self.expected + EWMA_WEIGHT * (seen - self.expected))
        if self.request_tokens <= 0 or self.expected < FORGOTTEN_SHARE * self.request_tokens:
            return 0.0
        return max(LOOKAHEAD_INTERVALS * self.expected, LOOKAHEAD_INTERVALS * self.request_tokens, idle_tokens)

    def missing_for_one_request(self, level: float) -> float:
        """Tokens that a meter at this level needs to admit one more request."""
        return max(0.0, LOOKAHEAD_INTERVALS * self.request_tokens - level)
