"""Usage accounting: reserves tokens when a request arrives, and replaces the reservation by a ledger entry when
the request ends.

It takes no part in routing, which does not depend on tenants. It does no I/O: the gateway passes the time and stores
the entry that `settle` returns, before or after it has sent the answer. `now_ms` is the time of a monotonic clock,
`wall_s` is in seconds since 1970.

With quota leases (see quota_leases), each gateway has a fixed share of a budget and leases further tokens from the
shared quota of the tenant. Of the billing period's tokens, the shared part is leased in chunks of a fixed size.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from ternlane.tenants.answer_length import AnswerLengthEstimator
from ternlane.tenants.billing import Bill, LedgerEntry
from ternlane.tenants.billing_period import period_at
from ternlane.tenants.budget_meter import BudgetLimit, BudgetMeter, Shortfall
from ternlane.tenants.quota_leases import GUARANTEED_SHARE, IDLE_BURST_SHARE, DemandEstimator
from ternlane.tenants.reservation import BudgetRejection, BudgetReservation
from ternlane.tenants.tenant_registry import Tenant
from ternlane.tenants.usage_check import plausible_usage

# Fraction of the period's allowance that may be spent before another chunk is leased; requests use the remainder until
# the lease is granted.
CHUNK_LEASE_SHARE = 0.75
SWEEP_METERS = 256  # per sweep: blocks the event loop for well under a millisecond
# Stands for all request classes of a tenant in the keys of meters.
ALL_CLASSES = ""


class SettledTwiceError(RuntimeError):
    """A reservation was settled twice, which would bill the request twice: a bug in the caller."""


class LeaseDemand(NamedTuple):
    """Tokens to lease from the shared quota (negative: to return), and the meter's new capacity for leased tokens."""

    tokens: float
    target: float


class PeriodShortage(NamedTuple):
    """A meter that has spent most of its allowance of the period. `budget` is the period's budget in tokens."""

    tenant: str
    request_class: str
    period: str
    budget: int


@dataclass
class UsageAccounting:
    """The budgets of all tenants at one of `gateways` gateways. With `leases_quota`, the gateway can lease tokens of
    the shared quota in addition to its own share."""

    gateways: int = 1
    gateway: str = "g"
    leases_quota: bool = False
    lengths: AnswerLengthEstimator = field(default_factory=AnswerLengthEstimator)
    meters: dict[tuple[str, str], BudgetMeter] = field(default_factory=dict)  # by tenant and request class
    demand_estimators: dict[str, DemandEstimator] = field(default_factory=dict)  # by tenant
    latest_wall_s: float = 0.0
    # Tenant, request class, period -> tokens settled before a restart, until a meter takes them over.
    past_usage: dict[tuple[str, str, str], int] = field(default_factory=dict)

    @property
    def own_share(self) -> float:
        """The share of each budget that this gateway has without leases."""
        return (GUARANTEED_SHARE if self.leases_quota else 1.0) / self.gateways

    def advance_wall_clock(self, wall_s: float) -> float:
        """Returns the latest time that the wall clock has shown, which periods and bills use: the clock may be set
        back."""
        self.latest_wall_s = max(self.latest_wall_s, wall_s)
        return self.latest_wall_s

    def add_past_usage(self, tenant: str, request_class: str, period: str, tokens: int) -> None:
        """Adds tokens that this gateway's ledger shows as settled before a restart. May be called while requests are
        served, as the previous process may still settle requests after this one has started."""
        for name in (ALL_CLASSES, request_class):
            meter = self.meters.get((tenant, name))
            if meter is not None and meter.period is not None and meter.period.name == period:
                meter.spent += tokens
                meter.period_allowance = max(meter.period_allowance, meter.spent)
            else:
                key = (tenant, name, period)
                self.past_usage[key] = self.past_usage.get(key, 0) + tokens

    # -- meters

    def meter(self, tenant: Tenant, request_class: str, now_ms: float) -> BudgetMeter | None:
        """The tenant's meter for a request class or for all classes; None without a budget. Open requests are kept if
        the budget has changed."""
        budget = tenant.budget if request_class == ALL_CLASSES else tenant.request_classes.get(request_class)
        key = (tenant.name, request_class)
        if budget is None:
            self.meters.pop(key, None)
            return None
        meter = self.meters.get(key)
        if meter is None:
            meter = BudgetMeter(budget, tenant.zone, tenant.period, self.own_share, now_ms)
            self.meters[key] = meter
            self._charge_past_usage(key, meter, now_ms)
        elif (meter.budget, meter.time_zone, meter.period_kind) != (budget, tenant.zone, tenant.period):
            meter.change_budget(budget, tenant.zone, tenant.period)
        return meter

    def _charge_past_usage(self, key: tuple[str, str], meter: BudgetMeter, now_ms: float) -> None:
        """Charges a new meter with the usage of its period from before a restart. The allowance is raised to that
        usage, as chunks leased before the restart are already spent."""
        meter.advance(now_ms, self.latest_wall_s)
        if meter.period is not None:
            meter.spent = self.past_usage.pop((*key, meter.period.name), 0)
            meter.period_allowance = max(meter.period_allowance, meter.spent)

    def sweep(self, now_ms: float, wall_s: float, max_meters: int = SWEEP_METERS) -> int:
        """Removes idle meters, a limited number per call; returns how many."""
        oldest = [key for key, _ in zip(self.meters, range(max_meters), strict=False)]
        dropped = 0
        for key in oldest:
            meter = self.meters.pop(key)
            meter.advance(now_ms, wall_s)
            if meter.idle:
                dropped += 1
            else:
                self.meters[key] = meter  # moved to the end, so that the next sweep examines others
        return dropped

    # -- reserve and settle

    def reserve(
        self, tenant: Tenant, request_class: str, prompt: int, max_answer: int, now_ms: float, wall_s: float
    ) -> BudgetReservation | BudgetRejection:
        """Reserves `prompt` tokens and an estimated answer of at most `max_answer` tokens from the tenant's budget and
        from that of the request class. If one has no room, returns the reason and reserves nothing."""
        wall_s = self.advance_wall_clock(wall_s)
        answer = self.lengths.estimate(tenant.name, request_class, max_answer)
        tokens = prompt + answer
        both = (self.meter(tenant, ALL_CLASSES, now_ms), self.meter(tenant, request_class, now_ms))
        meters = [meter for meter in both if meter is not None]
        for index, meter in enumerate(meters):
            shortfall = meter.reserve(tokens, now_ms, wall_s)
            if shortfall is not None:
                for reserved in meters[:index]:
                    reserved.settle(tokens, 0, reserved.period, now_ms, wall_s)
                return self._reject(tenant, tokens, shortfall)
        if self.leases_quota and tenant.budget.minute is not None:  # demand beyond the gateway's own share is leased
            self._demand_estimator(tenant).record(tokens, admitted=True)
        periods = [meter.period for meter in meters]
        return BudgetReservation(tenant, request_class, prompt, answer, max_answer, meters, periods, wall_s)

    def _reject(self, tenant: Tenant, tokens: int, shortfall: Shortfall) -> BudgetRejection:
        if self.leases_quota and shortfall.limit is BudgetLimit.MINUTE:
            self._demand_estimator(tenant).record(tokens, admitted=False)
        return BudgetRejection.from_shortfall(shortfall)

    def settle(
        self,
        reservation: BudgetReservation,
        request: str,
        outcome: str,
        bill: Bill,
        attempts: int,
        now_ms: float,
        wall_s: float,
        key: str = "",
        pieces: int | None = None,
    ) -> LedgerEntry:
        """Charges the budgets with the tokens used, and returns the ledger entry. Raises SettledTwiceError."""
        if reservation.settled:
            raise SettledTwiceError(request)
        reservation.settled = True
        tenant = reservation.tenant
        billed, usage_note = plausible_usage(reservation, bill.billed, pieces)
        used = billed.prompt + billed.answer
        wall_s = self.advance_wall_clock(wall_s)
        for meter, period in zip(reservation.meters, reservation.periods, strict=True):
            meter.settle(reservation.tokens, used, period, now_ms, wall_s)
        if outcome == "streamed":
            self.lengths.learn(tenant.name, reservation.request_class, billed.answer)
        return LedgerEntry(
            request=request,
            tenant=tenant.name,
            request_class=reservation.request_class,
            period=period_at(reservation.arrived_s, tenant.zone, tenant.period).name,
            wall=reservation.arrived_s,
            outcome=outcome,
            billed=billed,
            unbilled=bill.unbilled,
            micros=tenant.price(reservation.request_class).amount(billed),
            attempts=attempts,
            key=key,
            note="; ".join(filter(None, (bill.note, usage_note))),
        )

    def must_end_for_overdraft(self, reservation: BudgetReservation, answer: int) -> bool:
        """Whether a stream with this many answer tokens must be ended because it exceeds the overdraft of one of its
        budgets. Always False if the tenant's budget does not set `cut`."""
        excess = answer - reservation.answer
        if excess <= 0 or not reservation.tenant.budget.cut:
            return False
        return not all(meter.can_cover(excess) for meter in reservation.meters)

    # -- quota leases

    def _demand_estimator(self, tenant: Tenant) -> DemandEstimator:
        estimator = self.demand_estimators.get(tenant.name)
        if estimator is None:
            estimator = self.demand_estimators[tenant.name] = DemandEstimator()
        return estimator

    def lease_demand(self, tenant: Tenant, now_ms: float, wall_s: float) -> LeaseDemand:
        """The tokens that the tenant's traffic needs until the next lease. Tokens to return are removed from the meter
        immediately. Only the tenant's budget for all request classes is leased."""
        estimator = self.demand_estimators.get(tenant.name)
        meter = self.meters.get((tenant.name, ALL_CLASSES))
        if estimator is None or meter is None or meter.budget.minute is None:
            return LeaseDemand(0.0, 0.0)
        meter.advance(now_ms, wall_s)
        shared_burst = (1 - GUARANTEED_SHARE) * meter.budget.burst_tokens
        target = estimator.target(IDLE_BURST_SHARE * shared_burst / self.gateways)
        surplus = meter.surplus(target)
        if surplus > 0:
            meter.add_leased(-surplus, target)
        if not target and not meter.lease_capacity:
            del self.demand_estimators[tenant.name]
        return LeaseDemand(-surplus, target)

    def min_useful_grant(self, tenant: str) -> float:
        """The tokens needed to admit one more request of the tenant; a smaller grant is of no use."""
        estimator = self.demand_estimators.get(tenant)
        meter = self.meters.get((tenant, ALL_CLASSES))
        if estimator is None or meter is None:
            return 0.0
        return estimator.missing_for_one_request(meter.level)

    def period_shortages(self) -> list[PeriodShortage]:
        """Meters that need another chunk of the shared quota for their period, by their state when they were last
        advanced."""
        if not self.leases_quota:
            return []
        return [
            PeriodShortage(tenant, request_class, meter.period.name, meter.budget.period)
            for (tenant, request_class), meter in self.meters.items()
            if meter.budget.period
            and meter.period is not None
            and meter.spent > CHUNK_LEASE_SHARE * meter.period_allowance
        ]
