"""The results of reserving a request's tokens: a reservation or a rejection."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from math import ceil

from ternlane.tenants.billing_period import BillingPeriod
from ternlane.tenants.budget_meter import BudgetLimit, BudgetMeter, Shortfall
from ternlane.tenants.tenant_registry import Tenant

# Bounds of Retry-After: with 0, clients retry immediately; waits beyond a day are not useful.
MIN_RETRY_AFTER_S = 1
MAX_RETRY_AFTER_S = 86_400


class RejectionCode(StrEnum):
    """The error codes of the public chat API."""

    RATE_LIMIT_EXCEEDED = "rate_limit_exceeded"  # the request will fit later
    INSUFFICIENT_QUOTA = "insufficient_quota"  # the request does not fit in this billing period


@dataclass(slots=True, frozen=True)
class BudgetRejection:
    """A request that exceeds a budget; nothing was sent to a server. It fits after `wait_ms` (inf: never)."""

    code: RejectionCode
    limit: BudgetLimit
    wait_ms: float

    @classmethod
    def from_shortfall(cls, shortfall: Shortfall) -> BudgetRejection:
        """The rejection for this shortfall."""
        is_period = shortfall.limit is BudgetLimit.PERIOD
        code = RejectionCode.INSUFFICIENT_QUOTA if is_period else RejectionCode.RATE_LIMIT_EXCEEDED
        return cls(code, shortfall.limit, shortfall.wait_ms)


@dataclass(slots=True, eq=False)
class BudgetReservation:
    """The tokens reserved for a request until it is settled."""

    tenant: Tenant
    request_class: str
    prompt: int  # tokens
    answer: int  # estimated tokens
    max_answer: int  # most tokens that the answer may have
    meters: list[BudgetMeter]
    periods: list[BillingPeriod | None]  # of each meter at the time of the reservation
    arrived_s: float  # seconds since 1970
    settled: bool = False

    @property
    def tokens(self) -> int:
        """All reserved tokens."""
        return self.prompt + self.answer


def retry_after_s(wait_ms: float) -> int:
    """The Retry-After header for a wait, which may be infinite: full seconds, from one to a day."""
    if wait_ms >= MAX_RETRY_AFTER_S * 1000:
        return MAX_RETRY_AFTER_S
    return max(MIN_RETRY_AFTER_S, ceil(wait_ms / 1000))
