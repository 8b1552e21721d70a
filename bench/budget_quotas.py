"""Compares quota policies of gateways that share a tenant's budget: fixed, adaptive to own traffic, and leased."""

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
DURATION_MS = 300e3
MINUTE_TOKENS = 240_000
BURST_TOKENS = 40_000
MEAN_INTERARRIVAL_MS = 60.0  # the offered load is 1.3 times the budget
GATEWAY_COUNTS = (1, 6, 40, 160)
TRAFFIC = ("even", "skewed", "shifting")
POLICIES = ("fixed", "adaptive", "leased")
SEEDS = 3
# Bounds of an adaptive gateway's quota, in equal shares.
MIN_SHARES = 0.25
MAX_SHARES = 4
ADAPTATION_WEIGHT = 0.1  # of the last interval in the moving average
SHIFT_INTERVAL_MS = 60e3


class GatewayFleet:
    """Gateways that each meter the same tenant, in simulated time."""

    def __init__(self, gateways: int, budget: Budget, policy: str) -> None:
        """`policy`: one of POLICIES."""
        self.gateways = gateways
        self.budget = budget
        self.policy = policy
        self.tenant = Tenant(name="t", budget=budget)
        self.accounting = [UsageAccounting(gateways, f"g{i}", leases_quota=policy == "leased") for i in range(gateways)]
        self.leases = QuotaLeases(gateways, REBALANCE_MS / 1000)
        self._average_shares = [0.0] * gateways
        self._offered_tokens = [0] * gateways

    def rebalance(self, now_ms: float) -> None:
        """Adjusts all quotas; runs once per second of simulated time."""
        for number, accounting in enumerate(self.accounting):
            meter = accounting.meters.get(("t", ""))
            if meter is None:
                continue
            if self.policy == "leased":
                self._lease(number, accounting, meter, now_ms)
            elif self.policy == "adaptive":
                self._adapt_share(number, meter, now_ms)

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

    def _adapt_share(self, number: int, meter: BudgetMeter, now_ms: float) -> None:
        """Sets the share to the moving average of the gateway's own offered load."""
        share = self._offered_tokens[number] / ((self.budget.minute or 1) * REBALANCE_MS / 60e3)
        self._average_shares[number] += ADAPTATION_WEIGHT * (share - self._average_shares[number])
        self._offered_tokens[number] = 0
        meter.advance(now_ms, WALL_S)
        min_share = MIN_SHARES / self.gateways
        meter.share = min(MAX_SHARES / self.gateways, max(min_share, self._average_shares[number]))

    def offer(self, number: int, tokens: int, now_ms: float) -> bool:
        """Sends a request to a gateway; returns whether it was admitted."""
        self._offered_tokens[number] += tokens
        wall_s = WALL_S + now_ms / 1000
        accounting = self.accounting[number]
        reservation = accounting.reserve(self.tenant, "s", tokens - 1, 1, now_ms, wall_s)
        if not isinstance(reservation, BudgetReservation):
            return False
        accounting.settle(reservation, "g", "left", Bill(TokenUsage(tokens - 1, 0, 1), TokenUsage()), 2, now_ms, wall_s)
        return True


def print_quotas() -> None:
    """Prints admitted tokens relative to a single shared meter, and the highest spending relative to the limit."""
    print("admitted / admitted by one shared meter, spent / allowed (burst + rate x time); 300 s, three seeds")
    print(f"{'gateways':>9}{'traffic':>9}" + "".join(f"{policy:>20}" for policy in POLICIES))
    for gateways in GATEWAY_COUNTS:
        for traffic in TRAFFIC:
            columns = []
            for policy in POLICIES:
                results = [simulate(gateways, traffic, policy, seed) for seed in range(SEEDS)]
                share = sum(admitted for admitted, _ in results) / SEEDS
                columns.append(f"{share:.3f} / {max(overspend for _, overspend in results):.2f}")
            print(f"{gateways:>9}{traffic:>9}" + "".join(f"{column:>20}" for column in columns))


def drawn_gateway(rng: random.Random, gateways: int, traffic: str, now_ms: float) -> int:
    """Draws the gateway that receives the next request."""
    if traffic == "even":
        return rng.randrange(gateways)
    # A few gateways receive most of the traffic; with "shifting" they change over time.
    first = int(now_ms / SHIFT_INTERVAL_MS) * 7 if traffic == "shifting" else 0
    return (first + min(int(rng.expovariate(1 / max(1.0, gateways / 10))), gateways - 1)) % gateways


def simulate(gateways: int, traffic: str, policy: str, seed: int) -> tuple[float, float]:
    """Returns admitted tokens relative to a single meter, and spent tokens relative to the limit."""
    rng = random.Random(seed)
    budget = Budget(minute=MINUTE_TOKENS, burst=BURST_TOKENS)
    fleet = GatewayFleet(gateways, budget, policy)
    single = BudgetMeter(budget, "UTC", "month", 1.0, 0.0)
    admitted = 0
    single_admitted = 0
    now_ms = 0.0
    rebalance_ms = 0.0
    while now_ms < DURATION_MS:
        now_ms += rng.expovariate(1 / MEAN_INTERARRIVAL_MS)
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
