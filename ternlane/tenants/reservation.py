"""What the reservation of a request's tokens comes to: held budget, or a rejection."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from math import ceil

from ternlane.tenants.billing_period import BillingPeriod
from ternlane.tenants.budget_meter import BudgetLimit, BudgetMeter, Shortfall
from ternlane.tenants.tenant_registry import Tenant

# Retry-After in seconds: clients that are told 0 come back at once, and nothing is worth waiting for beyond a day.
MIN_RETRY_AFTER_S = 1
MAX_RETRY_AFTER_S = 86_400


class RejectionCode(StrEnum):
    """The error codes of the public chat API."""

    RATE_LIMIT_EXCEEDED = "rate_limit_exceeded"  # fits later
    INSUFFICIENT_QUOTA = "insufficient_quota"  # does not fit in this billing period


@dataclass(slots=True, frozen=True)
class BudgetRejection:
    """Over budget: nothing ran. `wait_ms` until it would fit (inf: never)."""

    code: RejectionCode
    limit: BudgetLimit
    wait_ms: float

    @classmethod
    def by(cls, shortfall: Shortfall) -> BudgetRejection:
        """The rejection for this reason."""
        of_period = shortfall.limit is BudgetLimit.PERIOD
        code = RejectionCode.INSUFFICIENT_QUOTA if of_period else RejectionCode.RATE_LIMIT_EXCEEDED
        return cls(code, shortfall.limit, shortfall.wait_ms)


@dataclass(slots=True, eq=False)
class BudgetReservation:
    """What is reserved for one request, until it is settled."""

    tenant: Tenant
    request_class: str
    prompt: int  # tokens
    answer: int  # tokens, estimated
    max_answer: int  # tokens that the request may have
    meters: list[BudgetMeter]
    periods: list[BillingPeriod | None]  # of the meters, when it was reserved
    wall: float  # arrival, seconds since 1970
    settled: bool = False

    @property
    def tokens(self) -> int:
        """All that is reserved."""
        return self.prompt + self.answer


def retry_after_s(wait_ms: float) -> int:
    """The Retry-After field for a wait, which may be infinite: whole seconds, at least one, at most a day."""
    if wait_ms >= MAX_RETRY_AFTER_S * 1000:
        return MAX_RETRY_AFTER_S
    return max(MIN_RETRY_AFTER_S, ceil(wait_ms / 1000))
