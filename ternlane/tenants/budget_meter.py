"""One budget at one gateway: a token bucket, the period's sum, and a count of open requests.

`reserve` takes an estimate out before anything is sent; `settle` corrects it. An overrun makes the bucket negative (the
overdraft) and is repaid by refills: nothing new is admitted until then. Times: `now` is a monotonic clock in ms, `wall`
seconds since 1970. Amounts are tokens of prompt and answer together.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from math import inf

from ternlane.tenants.billing_period import BillingPeriod, period_at
from ternlane.tenants.tenant_registry import Budget

MS_PER_MINUTE = 60e3


class BudgetLimit(StrEnum):
    """The limits of a budget that can reject a request."""

    MINUTE = "minute"
    PERIOD = "period"
    AT_ONCE = "at_once"
    OVERDRAFT = "overdraft"


@dataclass(slots=True, frozen=True)
class Shortfall:
    """Which limit a reservation does not fit, and when it would if nothing else came (ms; inf: never)."""

    limit: BudgetLimit
    wait_ms: float


class BudgetMeter:
    """Meters one budget. `share` is this gateway's part of the rates (0 to 1), `period_allowance` its tokens of the
    period; both may change."""

    __slots__ = (
        "budget",
        "share",
        "level",
        "refilled_at",
        "period",
        "spent",
        "open_requests",
        "zone",
        "period_kind",
        "period_allowance",
        "lease_capacity",
    )

    def __init__(self, budget: Budget, zone: str, period_kind: str, share: float, now: float) -> None:
        self.budget = budget
        self.zone = zone
        self.period_kind = period_kind
        self.share = share
        self.refilled_at = now
        self.lease_capacity = 0.0  # room for leased tokens, beside the burst
        self.level = self.capacity
        self.period: BillingPeriod | None = None
        self.spent = 0  # reserved and settled tokens of the period, at this gateway
        self.open_requests = 0
        self.period_allowance = inf if budget.period is None else budget.period * share

    @property
    def rate(self) -> float:
        """Tokens a millisecond that flow in."""
        return inf if self.budget.minute is None else self.budget.minute * self.share / MS_PER_MINUTE

    @property
    def capacity(self) -> float:
        """The most tokens that the bucket holds."""
        if self.budget.minute is None:
            return inf
        return self.budget.burst_tokens * self.share + self.lease_capacity

    @property
    def max_open_requests(self) -> float:
        """Requests at once; at least one, as a small share could never be used otherwise."""
        return inf if self.budget.at_once is None else max(1.0, self.budget.at_once * self.share)

    def advance(self, now: float, wall: float) -> None:
        """Lets time pass. The monotonic clock refills; the wall clock names the period, which never goes back."""
        if self.budget.minute is not None:
            refill = max(0.0, now - self.refilled_at) * self.rate
            self.level = min(self.capacity, self.level + refill)
        self.refilled_at = max(self.refilled_at, now)
        if self.budget.period is None:
            return
        if self.period is None or wall >= self.period.end:
            self.period = period_at(wall, self.zone, self.period_kind)
            self.spent = 0
            self.period_allowance = self.budget.period * self.share

    def reserve(self, tokens: int, now: float, wall: float) -> Shortfall | None:
        """Takes the tokens out for one more open request; where they don't fit, changes nothing and says why."""
        self.advance(now, wall)
        shortfall = self._shortfall(tokens, wall)
        if shortfall is not None:
            return shortfall
        self.level -= tokens
        if self.budget.period is not None:
            self.spent += tokens
        self.open_requests += 1
        return None

    def _shortfall(self, tokens: int, wall: float) -> Shortfall | None:
        if self.open_requests >= self.max_open_requests:
            return Shortfall(BudgetLimit.AT_ONCE, 0.0)
        if self.budget.minute is not None:
            if self.level < 0 and -self.level > self.budget.overdraft * self.share:
                return Shortfall(BudgetLimit.OVERDRAFT, self._refill_ms(-self.level))
            needed = min(float(tokens), self.capacity)  # more than the burst: once the bucket is full
            if self.level < needed:
                return Shortfall(BudgetLimit.MINUTE, self._refill_ms(needed - self.level))
        if self.budget.period is not None and self.period is not None and self.spent + tokens > self.period_allowance:
            return Shortfall(BudgetLimit.PERIOD, max(0.0, self.period.end - wall) * 1000)
        return None

    def _refill_ms(self, tokens: float) -> float:
        return tokens / self.rate if self.rate else inf

    def settle(self, reserved: int, used: int, begun: BillingPeriod | None, now: float, wall: float) -> None:
        """Ends an open request: corrects what was reserved by what was used. Tokens of a period that has ended are not
        charged to the new one."""
        self.advance(now, wall)
        self.open_requests -= 1
        self.level = min(self.capacity, self.level + reserved - used)
        if self.budget.period is not None and begun == self.period:
            self.spent += used - reserved

    def surplus(self, target: float) -> float:
        """Tokens beyond `target` that can be given back: at most what was leased and is still there. Negative: how many
        are missing to it."""
        spare = self.level - max(target, 0.0)
        if spare <= 0:
            return spare
        return min(spare, self.lease_capacity, max(0.0, self.level))

    def add_leased(self, tokens: float, target: float) -> None:
        """Puts leased tokens in, or takes given-back ones out; `target` is the room for them from now on."""
        self.level += tokens
        self.lease_capacity = max(0.0, target, self.level - self.budget.burst_tokens * self.share)

    def change_budget(self, budget: Budget, zone: str, period_kind: str) -> None:
        """Takes over a changed budget. What is open stays open, and what was leased of the period stays allowed."""
        leased_of_period = 0.0
        if self.budget.period is not None:
            leased_of_period = self.period_allowance - self.budget.period * self.share
        self.budget = budget
        self.zone = zone
        self.period_kind = period_kind
        self.level = self.capacity if self.level == inf else min(self.level, self.capacity)
        self.period_allowance = inf if budget.period is None else budget.period * self.share + leased_of_period

    def can_cover(self, tokens: int) -> bool:
        """Whether an overrun of so many tokens stays within the overdraft."""
        if self.budget.minute is None:
            return True
        return self.level - tokens >= -self.budget.overdraft * self.share

    @property
    def idle(self) -> bool:
        """Nothing open, nothing owed, nothing spent: a fresh meter would say the same."""
        full = self.budget.minute is None or self.level >= self.capacity
        return not self.open_requests and not self.spent and full

    def remaining(self, now: float, wall: float) -> tuple[float, float]:
        """Tokens that could be reserved now, and ms until the bucket is full."""
        self.advance(now, wall)
        if self.budget.minute is None:
            return inf, 0.0
        return max(0.0, self.level), self._refill_ms(self.capacity - self.level)
