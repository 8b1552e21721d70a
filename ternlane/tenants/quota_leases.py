"""Quota leases: gateways share a tenant's budget without coordinating on each request.

Each of n gateways has a fixed share of the tenant's rate and burst, GUARANTEED_SHARE / n. The remainder refills one
shared bucket. At regular intervals, each gateway estimates from its traffic the tokens that it needs until the next
interval, and leases them from the bucket in the background, or returns those that it does not need. No request waits
for a lease: a request that exceeds the tokens at its gateway is rejected, with a Retry-After that is computed from the
refill rate.

Tokens are created by the refills of the fixed shares and of the shared bucket only. All gateways together therefore
spend at most

    burst + rate * time + the tokens that open requests use beyond their reservations,

even if lease requests are lost, late or repeated. The tokens leased by a gateway that crashes are lost: at most what it
needs for LOOKAHEAD_INTERVALS. The rest of the budget is available to the others immediately. A gateway that cannot
access the table has its fixed share. The shared part of a billing period's tokens is leased in chunks, which are not
returned: a crash loses at most one unspent chunk until the period ends.

This module does no I/O. `ternlane.ledger.quota_lease_file` stores the table.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

import msgspec

# Part of a budget that is split evenly between the gateways: available before the first lease and without the table.
GUARANTEED_SHARE = 0.2
# Part of the shared burst that all gateways together may hold without current need, so that a tenant within its budget
# is not rejected when its traffic moves to another gateway.
IDLE_BURST_SHARE = 0.5
# Number of chunks in a gateway's even part of a period's shared tokens: limits the loss in a crash.
CHUNKS_PER_GATEWAY = 8
LOOKAHEAD_INTERVALS = 1.5  # for which a gateway holds tokens: until the next lease, and half an interval in reserve
EWMA_WEIGHT = 0.1  # of the latest interval or request: averages over about ten of them
MIN_EXPECTED_SHARE = 0.02  # of the tokens of one request: a lower expectation counts as no traffic
# After so many intervals without a lease request, a gateway no longer counts among those that share the bucket.
RECENT_INTERVALS = 2


class LeaseRequest(NamedTuple):
    """The last time a gateway requested tokens, in seconds since 1970, and their number."""

    at: float
    tokens: float


class SharedBucket(msgspec.Struct, array_like=True):
    """The shared part of one tenant's rate, stored as an array in the order of the fields."""

    level: float  # tokens
    refilled_at: float  # seconds since 1970
    recent: dict[str, LeaseRequest]  # by gateway


class PeriodPool(msgspec.Struct, array_like=True):
    """Tokens leased from the shared part of a billing period, stored as an array in the order of the fields."""

    period: str
    tokens: float


class LeaseTable(msgspec.Struct):
    """The state that gateways share, as stored in the file."""

    buckets: dict[str, SharedBucket] = {}
    drawn: dict[str, PeriodPool] = {}


@dataclass
class QuotaLeases:
    """Leases tokens from the table of all gateways; every call is one atomic change. `interval_s` is the time between
    two lease requests of a gateway."""

    gateways: int
    interval_s: float = 3.0
    table: LeaseTable = field(default_factory=LeaseTable)

    def lease(
        self, tenant: str, gateway: str, tokens: float, minute: int, burst: int, now_s: float, min_grant: float = 0.0
    ) -> float:
        """Leases tokens to a gateway and returns how many it is granted. A negative number returns tokens.

        If the bucket holds less than is requested, each gateway gets an even part and what the others don't request of
        theirs, but at least `min_grant`, which admits one request: smaller parts would lie unused at many gateways.
        `now_s` is in seconds since 1970; if the clock is set back, nothing is refilled until it has caught up.
        """
        capacity = burst * (1 - GUARANTEED_SHARE)
        bucket = self._refilled_bucket(tenant, capacity, minute * (1 - GUARANTEED_SHARE) / 60, now_s)
        oldest = now_s - RECENT_INTERVALS * self.interval_s
        bucket.recent = {g: request for g, request in bucket.recent.items() if g != gateway and request.at > oldest}
        if tokens <= 0:
            bucket.level = min(capacity, bucket.level - tokens)
            return tokens
        requested_by_others = sum(request.tokens for request in bucket.recent.values())
        bucket.recent[gateway] = LeaseRequest(now_s, tokens)
        min_grant = min(tokens, min_grant, capacity)
        if bucket.level < min_grant:
            return 0.0
        even_part = bucket.level / len(bucket.recent)
        granted = min(tokens, max(min_grant, even_part, bucket.level - requested_by_others))
        bucket.level -= granted
        return granted

    def _refilled_bucket(self, tenant: str, capacity: float, rate_per_s: float, now_s: float) -> SharedBucket:
        bucket = self.table.buckets.get(tenant)
        if bucket is None:
            bucket = self.table.buckets[tenant] = SharedBucket(capacity, now_s, {})
        refill = max(0.0, now_s - bucket.refilled_at) * rate_per_s
        bucket.level = min(capacity, bucket.level + refill)
        bucket.refilled_at = max(bucket.refilled_at, now_s)
        return bucket

    def lease_period_chunk(self, tenant: str, period: str, budget: int) -> float:
        """Leases another chunk of a billing period's shared tokens, and returns its size: 0 if none are left or the
        period is over."""
        leased = self.table.drawn.get(tenant)
        if leased is None or leased.period < period:  # if the clock is set back, an earlier period is not reopened
            leased = self.table.drawn[tenant] = PeriodPool(period, 0.0)
        if leased.period != period:
            return 0.0
        pool = budget * (1 - GUARANTEED_SHARE)
        chunk = max(0.0, min(pool / self.gateways / CHUNKS_PER_GATEWAY, pool - leased.tokens))
        leased.tokens += chunk
        return chunk


@dataclass
class DemandEstimator:
    """Estimates the tokens that one tenant's traffic at one gateway needs, from admitted and rejected requests."""

    admitted: float = 0.0  # tokens reserved in the current interval
    rejected: float = 0.0  # tokens rejected by the rate limit in the current interval
    expected: float = 0.0  # tokens per interval
    request_tokens: float = 0.0  # of an average request

    def record(self, tokens: int, admitted: bool) -> None:
        """Counts a request of this size."""
        weight = EWMA_WEIGHT if self.request_tokens else 1.0
        self.request_tokens += (tokens - self.request_tokens) * weight
        if admitted:
            self.admitted += tokens
        else:
            self.rejected += tokens

    def target(self, idle_tokens: float) -> float:
        """Ends the current interval and returns the tokens to hold in the next one. Follows rising traffic immediately
        and falling traffic slowly. Unless the expected traffic is negligible, it is at least one request and at least
        `idle_tokens`, the part of the burst that may be held without need."""
        current = self.admitted + self.rejected
        self.admitted = 0.0
        self.rejected = 0.0
        self.expected = max(current, self.expected + EWMA_WEIGHT * (current - self.expected))
        if self.request_tokens <= 0 or self.expected < MIN_EXPECTED_SHARE * self.request_tokens:
            return 0.0
        return max(LOOKAHEAD_INTERVALS * self.expected, LOOKAHEAD_INTERVALS * self.request_tokens, idle_tokens)

    def missing_for_one_request(self, level: float) -> float:
        """Tokens that a meter at this level lacks to admit one more request."""
        return max(0.0, LOOKAHEAD_INTERVALS * self.request_tokens - level)
