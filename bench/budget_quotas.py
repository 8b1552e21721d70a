"""Quotas of many gateways that share one tenant's budget: fixed, following their own traffic, or leased."""

from __future__ import annotations

import random

from bench.budget_decisions import WALL_S
from ternlane.tenants.billing import Bill, TokenUsage
from ternlane.tenants.budget_meter import BudgetMeter
from ternlane.tenants.quota_leases import QuotaLeases
from ternlane.tenants.reservation import BudgetReservation
from ternlane.tenants.tenant_registry import Budget, Tenant
from ternlane.tenants.usage_accounting import UsageAccounting

REBALANCE_MS = 1000.0
LENGTH_MS = 300e3
MINUTE_TOKENS = 240_000
BURST_TOKENS = 40_000
BETWEEN_OFFERS_MS = 60.0  # offers are 1.3 times what the budget allows
GATEWAY_COUNTS = (1, 6, 40, 160)
TRAFFIC = ("even", "skewed", "moving")
WAYS = ("fixed", "following", "lent")
SEEDS = 3
# A gateway that follows its own traffic may have from a quarter of an even share to four of them.
LEAST_SHARES = 0.25
MOST_SHARES = 4
FOLLOWING_WEIGHT = 0.1  # of the last second
MOVE_EVERY_MS = 60e3


class GatewayFleet:
    """Gateways with a meter each for one tenant, in simulated time."""

    def __init__(self, gateways: int, budget: Budget, way: str) -> None:
        """`way`: one of WAYS."""
        self.gateways = gateways
        self.budget = budget
        self.way = way
        self.tenant = Tenant(name="t", budget=budget)
        self.accounting = [UsageAccounting(gateways, f"g{i}", leases_quota=way == "lent") for i in range(gateways)]
        self.leases = QuotaLeases(gateways, REBALANCE_MS / 1000)
        self._seen_shares = [0.0] * gateways
        self._offered_tokens = [0] * gateways

    def rebalance(self, now_ms: float) -> None:
        """What is done in the background, once a second."""
        for number, accounting in enumerate(self.accounting):
            meter = accounting.meters.get(("t", ""))
            if meter is None:
                continue
            if self.way == "lent":
                self._lease(number, accounting, meter, now_ms)
            elif self.way == "following":
                self._follow(number, meter, now_ms)

    def _lease(self, number: int, accounting: UsageAccounting, meter: BudgetMeter, now_ms: float) -> None:
        wall_s = WALL_S + now_ms / 1000
        wanted, target = accounting.lease_demand(self.tenant, now_ms, wall_s)
        if not wanted:
            return
        minute = self.budget.minute or 0
        burst = self.budget.burst or 0
        leased = self.leases.lease("t", f"g{number}", wanted, minute, burst, wall_s, accounting.min_useful_grant("t"))
        if leased > 0:
            meter.add_leased(leased, target)

    def _follow(self, number: int, meter: BudgetMeter, now_ms: float) -> None:
        """By its own traffic alone: as much as it saw wanted."""
        share = self._offered_tokens[number] / ((self.budget.minute or 1) * REBALANCE_MS / 60e3)
        self._seen_shares[number] += FOLLOWING_WEIGHT * (share - self._seen_shares[number])
        self._offered_tokens[number] = 0
        meter.advance(now_ms, WALL_S)
        least = LEAST_SHARES / self.gateways
        meter.share = min(MOST_SHARES / self.gateways, max(least, self._seen_shares[number]))

    def offer(self, number: int, tokens: int, now_ms: float) -> bool:
        """A request at one gateway; whether it was admitted."""
        self._offered_tokens[number] += tokens
        wall_s = WALL_S + now_ms / 1000
        accounting = self.accounting[number]
        hold = accounting.reserve(self.tenant, "s", tokens - 1, 1, now_ms, wall_s)
        if not isinstance(hold, BudgetReservation):
            return False
        accounting.settle(hold, "g", "left", Bill(TokenUsage(tokens - 1, 0, 1), TokenUsage()), 2, now_ms, wall_s)
        return True


def print_quotas() -> None:
    """Admitted tokens against one meter that all would share, and the most spent over what was allowed."""
    print("share of what a single ledger admits / spent over allowed (burst + rate x time), 300 s, three seeds")
    print(f"{'gateways':>9}{'traffic':>9}" + "".join(f"{way:>20}" for way in WAYS))
    for gateways in GATEWAY_COUNTS:
        for traffic in TRAFFIC:
            columns = []
            for way in WAYS:
                plays = [play(gateways, traffic, way, seed) for seed in range(SEEDS)]
                share = sum(admitted for admitted, _ in plays) / SEEDS
                columns.append(f"{share:.3f} / {max(over for _, over in plays):.2f}")
            print(f"{gateways:>9}{traffic:>9}" + "".join(f"{column:>20}" for column in columns))


def drawn_gateway(rng: random.Random, gateways: int, traffic: str, now_ms: float) -> int:
    """Where the next request comes."""
    if traffic == "even":
        return rng.randrange(gateways)
    # A few gateways see most of it, and which they are may change.
    first = int(now_ms / MOVE_EVERY_MS) * 7 if traffic == "moving" else 0
    return (first + min(int(rng.expovariate(1 / max(1.0, gateways / 10))), gateways - 1)) % gateways


def play(gateways: int, traffic: str, way: str, seed: int) -> tuple[float, float]:
    """Admitted as a share of what one meter admits, and spent over allowed."""
    rng = random.Random(seed)
    budget = Budget(minute=MINUTE_TOKENS, burst=BURST_TOKENS)
    fleet = GatewayFleet(gateways, budget, way)
    single = BudgetMeter(budget, "UTC", "month", 1.0, 0.0)
    admitted = 0
    single_admitted = 0
    now_ms = 0.0
    rebalance_ms = 0.0
    while now_ms < LENGTH_MS:
        now_ms += rng.expovariate(1 / BETWEEN_OFFERS_MS)
        if now_ms >= rebalance_ms:
            fleet.rebalance(now_ms)
            rebalance_ms += REBALANCE_MS
        number = drawn_gateway(rng, gateways, traffic, now_ms)
        tokens = rng.randint(100, 520)
        admitted += tokens * fleet.offer(number, tokens, now_ms)
        if single.reserve(tokens, now_ms, WALL_S) is None:
            single.settle(tokens, tokens, None, now_ms, WALL_S)
            single_admitted += tokens
    return admitted / single_admitted, admitted / (BURST_TOKENS + MINUTE_TOKENS * now_ms / 60e3)
