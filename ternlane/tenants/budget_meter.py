"""Meters one budget at one gateway: a token bucket, the tokens of the billing period, and the number of open requests.

`reserve` takes the estimated tokens of a request before anything is sent to a server; `settle` replaces the estimate by
the tokens used. A request that uses more than it reserved can make the level of the bucket negative: refills repay this
overdraft, and new requests are rejected until then.

A gateway can lease further tokens of a quota shared by all gateways. They raise the level and the capacity of the
bucket, or the allowance of the period.

`now_ms` is the time of a monotonic clock, `wall_s` is in seconds
since 1970. Amounts are prompt and answer tokens together.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from math import inf

from ternlane.tenants.billing_period import BillingPeriod, period_at
from ternlane.tenants.tenant_registry import Budget

MS_PER_MINUTE = 60e3


class BudgetLimit(StrEnum):
    """The limit of a budget that rejects a request."""

    MINUTE = "minute"
    PERIOD = "period"
    AT_ONCE = "at_once"
    OVERDRAFT = "overdraft"


@dataclass(slots=True, frozen=True)
class Shortfall:
    """The limit that a reservation exceeds, and the time until it would fit if there were no other requests (inf: it
    never fits)."""

    limit: BudgetLimit
    wait_ms: float


class BudgetMeter:
    """`share` is this gateway's part of the budget (0 to 1), `period_allowance` the tokens it may use in the current
    period; both may change."""

    __slots__ = (
        "budget",
        "share",
        "level",
        "refilled_at_ms",
        "period",
        "spent",
        "open_requests",
        "time_zone",
        "period_kind",
        "period_allowance",
        "lease_capacity",
    )

    def __init__(self, budget: Budget, time_zone: str, period_kind: str, share: float, now_ms: float) -> None:
        self.budget = budget
        self.time_zone = time_zone
        self.period_kind = period_kind
        self.share = share
        self.refilled_at_ms = now_ms
        self.lease_capacity = 0.0  # tokens by which leases may raise the level above the burst
        self.level = self.capacity  # tokens in the bucket; negative: overdraft
        self.period: BillingPeriod | None = None
        self.spent = 0  # tokens reserved or used in the period at this gateway
        self.open_requests = 0
        self.period_allowance = inf if budget.period is None else budget.period * share

    @property
    def rate(self) -> float:
        """Refill rate in tokens per millisecond."""
        return inf if self.budget.minute is None else self.budget.minute * self.share / MS_PER_MINUTE

    @property
    def capacity(self) -> float:
        """The size of the bucket in tokens."""
        if self.budget.minute is None:
            return inf
        return self.budget.burst_tokens * self.share + self.lease_capacity

    @property
    def max_open_requests(self) -> float:
        """Limit on concurrent requests: at least one, as a small share could not be used otherwise."""
        return inf if self.budget.at_once is None else max(1.0, self.budget.at_once * self.share)

    def advance(self, now_ms: float, wall_s: float) -> None:
        """Refills the bucket by the monotonic clock, and begins a new period by the wall clock. If the wall clock is
        set back, the current period stays."""
        if self.budget.minute is not None:
            refill = max(0.0, now_ms - self.refilled_at_ms) * self.rate
            self.level = min(self.capacity, self.level + refill)
        self.refilled_at_ms = max(self.refilled_at_ms, now_ms)
        if self.budget.period is None:
            return
        if self.period is None or wall_s >= self.period.end:
            self.period = period_at(wall_s, self.time_zone, self.period_kind)
            self.spent = 0
            self.period_allowance = self.budget.period * self.share

    def reserve(self, tokens: int, now_ms: float, wall_s: float) -> Shortfall | None:
        """Reserves the tokens of a new request. If they don't fit, returns the reason and changes nothing."""
        self.advance(now_ms, wall_s)
        shortfall = self._shortfall(tokens, wall_s)
        if shortfall is not None:
            return shortfall
        self.level -= tokens
        if self.budget.period is not None:
            self.spent += tokens
        self.open_requests += 1
        return None

    def _shortfall(self, tokens: int, wall_s: float) -> Shortfall | None:
        if self.open_requests >= self.max_open_requests:
            return Shortfall(BudgetLimit.AT_ONCE, 0.0)
        if self.budget.minute is not None:
            if self.level < 0 and -self.level > self.budget.overdraft * self.share:
                return Shortfall(BudgetLimit.OVERDRAFT, self._refill_ms(-self.level))
            needed = min(float(tokens), self.capacity)  # a request larger than the burst needs a full bucket
            if self.level < needed:
                return Shortfall(BudgetLimit.MINUTE, self._refill_ms(needed - self.level))
        if self.budget.period is not None and self.period is not None and self.spent + tokens > self.period_allowance:
            return Shortfall(BudgetLimit.PERIOD, max(0.0, self.period.end - wall_s) * 1000)
        return None

    def _refill_ms(self, tokens: float) -> float:
        return tokens / self.rate if self.rate else inf

    def settle(self, reserved: int, used: int, reserved_in: BillingPeriod | None, now_ms: float, wall_s: float) -> None:
        """Ends an open request and replaces its reserved tokens by those used. Tokens that were reserved in an earlier
        period are not charged to the current one."""
        self.advance(now_ms, wall_s)
        self.open_requests -= 1
        self.level = min(self.capacity, self.level + reserved - used)
        if self.budget.period is not None and reserved_in == self.period:
            self.spent += used - reserved

    def surplus(self, target: float) -> float:
        """Leased tokens that the gateway can return to the shared quota and still keep a level of `target`. If the
        level is below `target`, the missing tokens as a negative number."""
        spare = self.level - max(target, 0.0)
        if spare <= 0:
            return spare
        return min(spare, self.lease_capacity, max(0.0, self.level))

    def add_leased(self, tokens: float, target: float) -> None:
        """Adds leased tokens, or removes returned ones if `tokens` is negative. `target` becomes the capacity for
        leased tokens."""
        self.level += tokens
        self.lease_capacity = max(0.0, target, self.level - self.budget.burst_tokens * self.share)

    def change_budget(self, budget: Budget, time_zone: str, period_kind: str) -> None:
        """Applies a changed budget. Open requests and the leased part of the period's allowance are kept."""
        leased_of_period = 0.0
        if self.budget.period is not None:
            leased_of_period = self.period_allowance - self.budget.period * self.share
        self.budget = budget
        self.time_zone = time_zone
        self.period_kind = period_kind
        self.level = self.capacity if self.level == inf else min(self.level, self.capacity)
        self.period_allowance = inf if budget.period is None else budget.period * self.share + leased_of_period

    def can_cover(self, tokens: int) -> bool:
        """Whether so many tokens beyond a reservation stay within the overdraft."""
        if self.budget.minute is None:
            return True
        return self.level - tokens >= -self.budget.overdraft * self.share

    @property
    def idle(self) -> bool:
        """Whether the meter is in the state of a new one, as no request is open and no tokens are spent or owed."""
        full = self.budget.minute is None or self.level >= self.capacity
        return not self.open_requests and not self.spent and full

    def remaining(self, now_ms: float, wall_s: float) -> tuple[float, float]:
        """Tokens that can be reserved now, and milliseconds until the bucket is full."""
        self.advance(now_ms, wall_s)
        if self.budget.minute is None:
            return inf, 0.0
        return max(0.0, self.level), self._refill_ms(self.capacity - self.level)
