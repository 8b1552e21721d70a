"""Tests that gateways sharing a budget by quota leases never spend more than it allows.

This must hold for any sequence of leases, returns, requests and crashes.
"""

from __future__ import annotations

from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ternlane.ledger.quota_lease_file import open_quota_leases
from ternlane.tenants import Budget, BudgetReservation, QuotaLeases, Tenant, UsageAccounting
from ternlane.tenants.quota_leases import GUARANTEED_SHARE
from tests.tenant_data import NOON


@settings(max_examples=200, deadline=None)
@given(
    st.integers(1, 12),
    st.lists(st.tuples(st.integers(0, 11), st.integers(0, 900), st.floats(0, 9)), max_size=80),
    st.integers(60, 6000),
    st.integers(10, 3000),
)
def test_all_gateways_together_spend_within_the_budget(
    n: int, steps: list[tuple[int, int, float]], minute: int, burst: int
) -> None:
    """Gateways lease and return tokens, admit requests, and lose their leased tokens in crashes. Tokens may only come
    from the fixed shares and the shared bucket."""
    leases = QuotaLeases(n)
    tenant = Tenant(name="t", budget=Budget(minute=minute, burst=burst))
    now = 0.0
    spent = 0
    gateways = [UsageAccounting(n, f"g{i}", leases_quota=True) for i in range(n)]
    for index, tokens, wait_s in steps:
        now += wait_s
        accounting = gateways[index % n]
        if tokens % 17 == 0:  # crashes and restarts without the tokens it has leased
            meter = accounting.meters.get(("t", ""))
            if meter is not None:
                accounting.demand_estimators.clear()
                meter.add_leased(-max(0.0, min(meter.lease_capacity, meter.level)), 0.0)
        elif tokens % 5 == 0:
            demand, target = accounting.lease_demand(tenant, now * 1000, NOON + now)
            granted = leases.lease("t", accounting.gateway, demand, minute, burst, NOON + now) if demand else 0.0
            if granted > 0:
                accounting.meters["t", ""].add_leased(granted, target)
        elif isinstance(accounting.reserve(tenant, "s", tokens, 0 + 1, now * 1000, NOON + now), BudgetReservation):
            spent += tokens + 1
        # A request larger than the bucket is admitted by a full one.
        largest = max([0, *[t + 1 for _, t, _ in steps]])
        assert spent <= burst + minute * now / 60 + n * largest + 1e-6
        available = sum(meter.level for gateway in gateways for meter in gateway.meters.values())
        assert available + spent <= burst + minute * now / 60 + 1e-6


def test_a_single_gateway_gets_all_tokens_and_two_get_even_shares() -> None:
    leases = QuotaLeases(2, interval_s=1.0)
    assert leases.lease("t", "g1", 9e9, 60_000, 1000, 100.0) == pytest.approx(1000 * (1 - GUARANTEED_SHARE))
    shares = {"g1": 0.0, "g2": 0.0}
    for i in range(1, 40):
        for g in shares:
            shares[g] += leases.lease("t", g, 9e9, 60_000, 1000, 100.0 + i + (g == "g2") / 2)
    assert shares["g1"] == pytest.approx(shares["g2"], rel=0.35)


def test_a_clock_set_back_does_not_refill_the_bucket_twice() -> None:
    leases = QuotaLeases(1)
    first = leases.lease("t", "g", 9e9, 6000, 1000, 1000.0)
    assert leases.lease("t", "g", 9e9, 6000, 1000, 400.0) == 0.0
    assert leases.lease("t", "g", 9e9, 6000, 1000, 1001.0) == pytest.approx(80) and first == pytest.approx(800)


def test_period_chunks_never_exceed_the_shared_part_of_the_budget() -> None:
    leases = QuotaLeases(3)
    granted = sum(leases.lease_period_chunk("t", "2026-12", 24_000) for _ in range(100))
    assert granted == pytest.approx(24_000 * (1 - GUARANTEED_SHARE))
    assert (
        leases.lease_period_chunk("t", "2027-01", 24_000) > 0 and leases.lease_period_chunk("t", "2026-12", 24_000) == 0
    )


def test_the_lease_file_is_locked_while_open_and_rejected_if_malformed(tmp_path: Path) -> None:
    """A gateway that cannot use the file continues with its own part of the budget, so the error must be immediate."""
    path = tmp_path / "leases.json"
    with open_quota_leases(path, 2, 10) as leases:
        assert leases.lease("t", "g1", 900.0, 60, 1000, 100.0) == 800.0
        with pytest.raises(OSError), open_quota_leases(path, 2, 10):
            pass
    with open_quota_leases(path, 2, 10) as leases:
        assert leases.lease("t", "g2", 900.0, 60, 1000, 101.0) < 1.0
    path.write_text('{"leases": {')
    with pytest.raises(OSError), open_quota_leases(path, 2, 10):
        pass
