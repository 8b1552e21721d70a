"""Reserves when a generation arrives, settles when it ends, and says what is to be written in the ledger.

Decides nothing of routing; `choice.py` never sees tenants. Free of I/O: the gateway hands in the time, and the entry
that `settle` gives goes to the ledger before or after the answer as the gateway likes.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from math import ceil, inf

import msgspec

from ternlane.tenants.billing import Billed, Used
from ternlane.tenants.lengths import Lengths
from ternlane.tenants.meter import Meter, Period, Short, period_at
from ternlane.tenants.quota_leases import AHEAD, FLOOR, PLENTY, QuotaBorrower
from ternlane.tenants.tenant_registry import TenantLine

NEARLY = 0.75  # of a period's tokens spent: another chunk is drawn
ABSURD = 16  # times what was asked for: usage beyond that is a faulty engine's


class Entry(msgspec.Struct, array_like=True, frozen=True):
    """One settled generation. `bill` is the tenant's, `house` what abandoned legs made; `note` tells what was odd."""

    request: str
    tenant: str
    request_class: str
    period: str
    wall: float
    outcome: str
    bill: Used
    house: Used
    micros: int
    attempts: int
    key: str = ""  # the client's Idempotency-Key, hashed
    note: str = ""


@dataclass(slots=True, frozen=True)
class RejectReason:
    """Over budget: nothing ran. `wait_ms` until it would fit (inf: not in this period's budget at all)."""

    code: str  # rate_limit_exceeded or insufficient_quota
    kind: str
    wait_ms: float


@dataclass(slots=True, eq=False)
class Hold:
    """What is reserved for one generation."""

    tenant: TenantLine
    request_class: str
    prompt: int
    answer: int
    most: int
    meters: list[Meter]
    begun: list[Period | None]
    wall: float
    done: bool = False

    @property
    def tokens(self) -> int:
        return self.prompt + self.answer


@dataclass
class UsageAccounting:
    gateways: int = 1
    gateway: str = "g"
    lends: bool = False  # a lender can be asked for more than the floor
    lengths: Lengths = field(default_factory=Lengths)
    meters: dict[tuple[str, str], Meter] = field(default_factory=dict)
    borrowers: dict[str, QuotaBorrower] = field(default_factory=dict)
    seen_wall: float = 0.0
    past: dict[tuple[str, str, str], int] = field(default_factory=dict)  # tenant, product or "", period -> tokens

    def remember(self, tenant: str, request_class: str, period: str, tokens: int) -> None:
        """What this gateway had settled before it was restarted, out of its ledger; also while it serves already, as
        the process before may end later."""
        for name in ("", request_class):
            meter = self.meters.get((tenant, name))
            if meter is not None and meter.period is not None and meter.period.name == period:
                meter.spent += tokens
                meter.allowed = max(meter.allowed, meter.spent)
            else:
                key = tenant, name, period
                self.past[key] = self.past.get(key, 0) + tokens

    @property
    def base(self) -> float:
        return (FLOOR if self.lends else 1.0) / self.gateways

    def meter(self, tenant: TenantLine, request_class: str, now: float) -> Meter | None:
        """The tenant's meter for a product, or for all ("" as product). A changed budget keeps what is open."""
        budget = tenant.request_classes.get(request_class) if request_class else tenant.budget
        key = tenant.name, request_class
        if budget is None:
            self.meters.pop(key, None)
            return None
        meter = self.meters.get(key)
        if meter is None:
            meter = self.meters[key] = Meter(budget, tenant.zone, tenant.period, self.base, now)
            meter.flow(now, self.seen_wall)
            if meter.period is not None:
                meter.spent = self.past.pop((*key, meter.period.name), 0)
                meter.allowed = max(meter.allowed, meter.spent)  # what it had drawn and spent before is no debt
        elif meter.budget != budget or meter.zone != tenant.zone or meter.kind != tenant.period:
            extra = 0.0 if meter.budget.period is None else meter.allowed - meter.budget.period * meter.part
            meter.budget, meter.zone, meter.kind = budget, tenant.zone, tenant.period
            meter.level = meter.most if meter.level == inf else min(meter.level, meter.most)
            meter.allowed = inf if budget.period is None else budget.period * meter.part + extra
        return meter

    def short_of_period(self) -> list[tuple[str, str, str, int]]:
        """Meters that have spent most of what they may of their period: tenant, product, period, budget."""
        return [
            (name, request_class, m.period.name, m.budget.period)
            for (name, request_class), m in self.meters.items()
            if self.lends and m.budget.period and m.period is not None and m.spent > NEARLY * m.allowed
        ]

    def clock(self, wall: float) -> float:
        """The wall clock, which may be set back: periods and bills go by the furthest it has shown."""
        self.seen_wall = max(self.seen_wall, wall)
        return self.seen_wall

    def reserve(
        self, tenant: TenantLine, request_class: str, prompt: int, most: int, now: float, wall: float
    ) -> Hold | RejectReason:
        """Both the tenant's budget and the product's must have room; the first that has none gives the reason."""
        wall = self.clock(wall)
        answer = self.lengths.estimate(tenant.name, request_class, most)
        meters = [m for m in (self.meter(tenant, "", now), self.meter(tenant, request_class, now)) if m is not None]
        taken: list[Meter] = []
        for meter in meters:
            short = meter.reserve(prompt + answer, now, wall)
            if short is not None:
                for back in taken:
                    back.settle(prompt + answer, 0, back.period, now, wall)
                return self.refuse(tenant, prompt + answer, short)
            taken.append(meter)
        if self.lends and tenant.budget.minute is not None:  # what the floor can't carry is drawn
            self.borrower(tenant).saw(prompt + answer, True)
        return Hold(tenant, request_class, prompt, answer, most, meters, [m.period for m in meters], wall)

    def refuse(self, tenant: TenantLine, tokens: int, short: Short) -> RejectReason:
        if self.lends and short.kind == "minute":
            self.borrower(tenant).saw(tokens, False)
        return RejectReason(
            "insufficient_quota" if short.kind == "period" else "rate_limit_exceeded", short.kind, short.wait_ms
        )

    def borrower(self, tenant: TenantLine) -> QuotaBorrower:
        found = self.borrowers.get(tenant.name)
        if found is None:
            found = self.borrowers[tenant.name] = QuotaBorrower()
        return found

    def wants(self, tenant: TenantLine, now: float, wall: float) -> tuple[float, float]:
        """Tokens to ask the lender for (negative: to give back, taken out here at once), and the target of this look.
        Only the tenant's budget for all products is lent."""
        borrower, meter = self.borrowers.get(tenant.name), self.meters.get((tenant.name, ""))
        if borrower is None or meter is None or meter.budget.minute is None:
            return 0.0, 0.0
        meter.flow(now, wall)
        target = borrower.target(PLENTY * (1 - FLOOR) * meter.budget.most_saved / self.gateways)
        surplus = meter.surplus(target)
        if surplus > 0:
            meter.draw(-surplus, target)
        if not target and not meter.extra:
            del self.borrowers[tenant.name]
        return -surplus, target

    def least(self, tenant: str) -> float:
        """Tokens that let one more generation of the tenant in."""
        borrower, meter = self.borrowers.get(tenant), self.meters.get((tenant, ""))
        return 0.0 if borrower is None or meter is None else max(0.0, AHEAD * borrower.size - meter.level)

    def settle(
        self,
        hold: Hold,
        request: str,
        outcome: str,
        billed: Billed,
        attempts: int,
        now: float,
        wall: float,
        key: str = "",
        pieces: int | None = None,
    ) -> Entry:
        """What was used goes on the budgets; the entry is for the ledger. A second call for a hold is a defect."""
        assert not hold.done, f"{request} settled twice"
        hold.done = True
        bill, odd = self.plausible(hold, billed.bill, pieces)
        used = bill.prompt + bill.answer
        for meter, begun in zip(hold.meters, hold.begun, strict=True):
            meter.settle(hold.tokens, used, begun, now, self.clock(wall))
        if outcome == "streamed":
            self.lengths.learn(hold.tenant.name, hold.request_class, bill.answer)
        price = hold.tenant.price(hold.request_class)
        micros = (bill.prompt - bill.kept) * price.prompt + bill.kept * price.kept + bill.answer * price.answer
        period = period_at(hold.wall, hold.tenant.zone, hold.tenant.period).name  # by its arrival
        return Entry(
            request,
            hold.tenant.name,
            hold.request_class,
            period,
            hold.wall,
            outcome,
            bill,
            billed.house,
            micros,
            attempts,
            key,
            "; ".join(filter(None, (billed.note, odd))),
        )

    @staticmethod
    def plausible(hold: Hold, bill: Used, pieces: int | None) -> tuple[Used, str]:
        """A faulty engine's figures are not billed: negative ones, or many times what was asked for, are replaced by
        the prompt that was reserved and the pieces that came, and the entry says so."""
        prompt, kept, answer, odd = bill.prompt, bill.kept, bill.answer, []
        if not 0 <= prompt <= ABSURD * max(hold.prompt, 64):
            odd.append(f"prompt {prompt}")
            prompt = hold.prompt
        if not 0 <= answer <= hold.most:
            odd.append(f"answer {answer}")
            answer = min(hold.answer, hold.most) if pieces is None else min(pieces, hold.most)
        if not 0 <= kept <= prompt:
            odd.append(f"kept {kept}")
            kept = 0
        return Used(prompt, kept, answer), ("usage not believed: " + ", ".join(odd)) if odd else ""

    def overrun(self, hold: Hold, answer: int) -> bool:
        """Has a stream that may be cut passed what its tenant's overdraft covers?"""
        if answer <= hold.answer or not hold.tenant.budget.cut:
            return False
        return any(
            m.budget.minute is not None and m.level - (answer - hold.answer) < -m.budget.overdraft * m.part
            for m in hold.meters
        )

    def sweep(self, now: float, wall: float, most: int = 256) -> int:
        """Drops meters that a fresh one would equal, some at a time; gives how many."""
        keys = list(zip(self.meters, range(most), strict=False))
        dropped = 0
        for key, _ in keys:
            meter = self.meters.pop(key)
            meter.flow(now, wall)
            if meter.idle:
                dropped += 1
            else:
                self.meters[key] = meter  # to the end: the next sweep looks at others
        return dropped


def wait_s(wait_ms: float) -> int:
    """For Retry-After: whole seconds, at least one, at most a day."""
    return max(1, min(86400, ceil(min(wait_ms, 1e9) / 1000)))
