"""Reserves when a request arrives, settles when it ends, and says what is to be written in the ledger.

Decides nothing of routing; the decisions never see tenants. No I/O: the gateway hands in the time, and the entry that
`settle` returns goes to the ledger before or after the answer as the gateway likes. `now` is a monotonic clock in ms,
`wall` seconds since 1970.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from ternlane.tenants.answer_length import AnswerLengthEstimator
from ternlane.tenants.billing import Bill, LedgerEntry
from ternlane.tenants.billing_period import period_at
from ternlane.tenants.budget_meter import BudgetLimit, BudgetMeter, Shortfall
from ternlane.tenants.quota_leases import IDLE_BURST_SHARE, RESERVED_SHARE, DemandEstimator
from ternlane.tenants.reservation import BudgetRejection, BudgetReservation
from ternlane.tenants.tenant_registry import Tenant
from ternlane.tenants.usage_check import plausible_usage

# Of the period's tokens that this gateway may spend: beyond it another chunk is drawn, while the rest still admits.
DRAW_CHUNK_SHARE = 0.75
SWEEP_METERS = 256  # looked at in one sweep: well under a millisecond of the event loop
# The request class in the keys of meters that stands for all classes of a tenant.
ALL_CLASSES = ""


class SettledTwiceError(RuntimeError):
    """A reservation was settled again, which would bill its request twice: a defect of the caller."""


class LeaseDemand(NamedTuple):
    """Tokens to draw from the shared bucket (negative: to give back), and how many the meter has room for then."""

    tokens: float
    target: float


class PeriodShortage(NamedTuple):
    """A meter that has spent most of what it may of its period, whose budget is so many tokens."""

    tenant: str
    request_class: str
    period: str
    budget: int


@dataclass
class UsageAccounting:
    """Budgets of all tenants at one gateway, which has `gateways` in all. With `leases_quota` a shared table can be
    asked for more than this gateway's own part."""

    gateways: int = 1
    gateway: str = "g"
    leases_quota: bool = False
    lengths: AnswerLengthEstimator = field(default_factory=AnswerLengthEstimator)
    meters: dict[tuple[str, str], BudgetMeter] = field(default_factory=dict)  # by tenant and request class
    demand_estimators: dict[str, DemandEstimator] = field(default_factory=dict)  # by tenant
    latest_wall: float = 0.0
    # Tenant, request class, period -> tokens settled before a restart, until there is a meter for them.
    past: dict[tuple[str, str, str], int] = field(default_factory=dict)

    @property
    def own_share(self) -> float:
        """The part of each budget that is always this gateway's."""
        return (RESERVED_SHARE if self.leases_quota else 1.0) / self.gateways

    def advance_wall_clock(self, wall: float) -> float:
        """The wall clock, which may be set back: periods and bills go by the furthest it has shown."""
        self.latest_wall = max(self.latest_wall, wall)
        return self.latest_wall

    def add_past_usage(self, tenant: str, request_class: str, period: str, tokens: int) -> None:
        """Counts what this gateway had settled before it was restarted, by its ledger; also while it serves already,
        as the process before may end later."""
        for name in (ALL_CLASSES, request_class):
            meter = self.meters.get((tenant, name))
            if meter is not None and meter.period is not None and meter.period.name == period:
                meter.spent += tokens
                meter.period_allowance = max(meter.period_allowance, meter.spent)
            else:
                key = (tenant, name, period)
                self.past[key] = self.past.get(key, 0) + tokens

    # -- meters

    def meter(self, tenant: Tenant, request_class: str, now: float) -> BudgetMeter | None:
        """The tenant's meter for a request class, or for all classes; None where no budget is stated. A changed budget
        keeps what is open."""
        budget = tenant.budget if request_class == ALL_CLASSES else tenant.request_classes.get(request_class)
        key = (tenant.name, request_class)
        if budget is None:
            self.meters.pop(key, None)
            return None
        meter = self.meters.get(key)
        if meter is None:
            meter = BudgetMeter(budget, tenant.zone, tenant.period, self.own_share, now)
            self.meters[key] = meter
            self._recall(key, meter, now)
        elif (meter.budget, meter.zone, meter.period_kind) != (budget, tenant.zone, tenant.period):
            meter.change_budget(budget, tenant.zone, tenant.period)
        return meter

    def _recall(self, key: tuple[str, str], meter: BudgetMeter, now: float) -> None:
        """Charges a new meter with what was settled in its period before a restart. What had been drawn and spent
        before is not owed again."""
        meter.advance(now, self.latest_wall)
        if meter.period is not None:
            meter.spent = self.past.pop((*key, meter.period.name), 0)
            meter.period_allowance = max(meter.period_allowance, meter.spent)

    def sweep(self, now: float, wall: float, max_meters: int = SWEEP_METERS) -> int:
        """Drops meters that a fresh one would equal, some at a time; returns how many."""
        oldest = [key for key, _ in zip(self.meters, range(max_meters), strict=False)]
        dropped = 0
        for key in oldest:
            meter = self.meters.pop(key)
            meter.advance(now, wall)
            if meter.idle:
                dropped += 1
            else:
                self.meters[key] = meter  # to the end: the next sweep looks at others
        return dropped

    # -- reserve and settle

    def reserve(
        self, tenant: Tenant, request_class: str, prompt: int, max_answer: int, now: float, wall: float
    ) -> BudgetReservation | BudgetRejection:
        """Both the tenant's budget and that of the request class must have room for `prompt` tokens and an estimated
        answer of at most `max_answer`; the first that has none gives the reason, and nothing stays reserved."""
        wall = self.advance_wall_clock(wall)
        answer = self.lengths.estimate(tenant.name, request_class, max_answer)
        tokens = prompt + answer
        both = (self.meter(tenant, ALL_CLASSES, now), self.meter(tenant, request_class, now))
        meters = [meter for meter in both if meter is not None]
        for index, meter in enumerate(meters):
            shortfall = meter.reserve(tokens, now, wall)
            if shortfall is not None:
                for reserved in meters[:index]:
                    reserved.settle(tokens, 0, reserved.period, now, wall)
                return self._reject(tenant, tokens, shortfall)
        if self.leases_quota and tenant.budget.minute is not None:  # what the own part can't carry is drawn
            self._demand_estimator(tenant).record(tokens, admitted=True)
        periods = [meter.period for meter in meters]
        return BudgetReservation(tenant, request_class, prompt, answer, max_answer, meters, periods, wall)

    def _reject(self, tenant: Tenant, tokens: int, shortfall: Shortfall) -> BudgetRejection:
        if self.leases_quota and shortfall.limit is BudgetLimit.MINUTE:
            self._demand_estimator(tenant).record(tokens, admitted=False)
        return BudgetRejection.by(shortfall)

    def settle(
        self,
        reservation: BudgetReservation,
        request: str,
        outcome: str,
        bill: Bill,
        attempts: int,
        now: float,
        wall: float,
        key: str = "",
        pieces: int | None = None,
    ) -> LedgerEntry:
        """Charges the budgets with what was used; the entry is for the ledger. Raises SettledTwiceError."""
        if reservation.settled:
            raise SettledTwiceError(request)
        reservation.settled = True
        tenant = reservation.tenant
        billed, odd = plausible_usage(reservation, bill.billed, pieces)
        used = billed.prompt + billed.answer
        wall = self.advance_wall_clock(wall)
        for meter, period in zip(reservation.meters, reservation.periods, strict=True):
            meter.settle(reservation.tokens, used, period, now, wall)
        if outcome == "streamed":
            self.lengths.learn(tenant.name, reservation.request_class, billed.answer)
        return LedgerEntry(
            request=request,
            tenant=tenant.name,
            request_class=reservation.request_class,
            period=period_at(reservation.wall, tenant.zone, tenant.period).name,  # of its arrival
            wall=reservation.wall,
            outcome=outcome,
            billed=billed,
            unbilled=bill.unbilled,
            micros=tenant.price(reservation.request_class).amount(billed),
            attempts=attempts,
            key=key,
            note="; ".join(filter(None, (bill.note, odd))),
        )

    def exceeds_overdraft(self, reservation: BudgetReservation, answer: int) -> bool:
        """Whether a stream of so many answer tokens may be cut, and has passed what its tenant's overdraft covers."""
        excess = answer - reservation.answer
        if excess <= 0 or not reservation.tenant.budget.cut:
            return False
        return not all(meter.can_cover(excess) for meter in reservation.meters)

    # -- quota leases

    def _demand_estimator(self, tenant: Tenant) -> DemandEstimator:
        found = self.demand_estimators.get(tenant.name)
        if found is None:
            found = self.demand_estimators[tenant.name] = DemandEstimator()
        return found

    def lease_demand(self, tenant: Tenant, now: float, wall: float) -> LeaseDemand:
        """What the tenant's traffic demands until the next look. Tokens to give back are taken out here at once. Only
        the tenant's budget for all request classes is leased."""
        borrower = self.demand_estimators.get(tenant.name)
        meter = self.meters.get((tenant.name, ALL_CLASSES))
        if borrower is None or meter is None or meter.budget.minute is None:
            return LeaseDemand(0.0, 0.0)
        meter.advance(now, wall)
        shared_burst = (1 - RESERVED_SHARE) * meter.budget.burst_tokens
        target = borrower.target(IDLE_BURST_SHARE * shared_burst / self.gateways)
        surplus = meter.surplus(target)
        if surplus > 0:
            meter.add_leased(-surplus, target)
        if not target and not meter.lease_capacity:
            del self.demand_estimators[tenant.name]
        return LeaseDemand(-surplus, target)

    def min_useful_grant(self, tenant: str) -> float:
        """Tokens that let one more request of the tenant in."""
        borrower = self.demand_estimators.get(tenant)
        meter = self.meters.get((tenant, ALL_CLASSES))
        if borrower is None or meter is None:
            return 0.0
        return borrower.missing_for_one_request(meter.level)

    def period_shortages(self) -> list[PeriodShortage]:
        """Meters that need another chunk of their period's pool."""
        if not self.leases_quota:
            return []
        return [
            PeriodShortage(tenant, request_class, meter.period.name, meter.budget.period)
            for (tenant, request_class), meter in self.meters.items()
            if meter.budget.period
            and meter.period is not None
            and meter.spent > DRAW_CHUNK_SHARE * meter.period_allowance
        ]
