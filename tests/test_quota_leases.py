"""One budget shared by several gateways: whatever is drawn, given back or lost, no more is spent than there is."""

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
    """Whoever draws, gives back, spends or dies with what it drew: tokens come from floors and the one bucket alone."""
    leases = QuotaLeases(n)
    line = Tenant(name="t", budget=Budget(minute=minute, burst=burst))
    now = 0.0
    spent = 0
    gateways = [UsageAccounting(n, f"g{i}", leases_quota=True) for i in range(n)]
    for who, tokens, after in steps:
        now += after
        accounting = gateways[who % n]
        if tokens % 17 == 0:  # it dies, and comes back with its floor empty of what it drew
            old = accounting.meters.get(("t", ""))
            if old is not None:
                accounting.demand_estimators.clear()
                old.add_leased(-max(0.0, min(old.lease_capacity, old.level)), 0.0)
        elif tokens % 5 == 0:
            want, target = accounting.lease_demand(line, now * 1000, NOON + now)
            got = leases.lease("t", accounting.gateway, want, minute, burst, NOON + now) if want else 0.0
            if got > 0:
                accounting.meters["t", ""].add_leased(got, target)
        elif isinstance(accounting.reserve(line, "s", tokens, 0 + 1, now * 1000, NOON + now), BudgetReservation):
            spent += tokens + 1
        single = max([0, *[t + 1 for _, t, _ in steps]])  # one larger than a bucket goes when that is full
        assert spent <= burst + minute * now / 60 + n * single + 1e-6
        held = sum(meter.level for gateway in gateways for meter in gateway.meters.values())
        assert held + spent <= burst + minute * now / 60 + 1e-6


def test_one_that_asks_alone_gets_all_and_two_get_even_shares() -> None:
    leases = QuotaLeases(2, interval_s=1.0)
    assert leases.lease("t", "g1", 9e9, 60_000, 1000, 100.0) == pytest.approx(1000 * (1 - GUARANTEED_SHARE))
    shares = {"g1": 0.0, "g2": 0.0}
    for i in range(1, 40):
        for g in shares:
            shares[g] += leases.lease("t", g, 9e9, 60_000, 1000, 100.0 + i + (g == "g2") / 2)
    assert shares["g1"] == pytest.approx(shares["g2"], rel=0.35)


def test_a_clock_set_back_refills_nothing_twice() -> None:
    leases = QuotaLeases(1)
    first = leases.lease("t", "g", 9e9, 6000, 1000, 1000.0)
    assert leases.lease("t", "g", 9e9, 6000, 1000, 400.0) == 0.0
    assert leases.lease("t", "g", 9e9, 6000, 1000, 1001.0) == pytest.approx(80) and first == pytest.approx(800)


def test_chunks_of_a_period_are_never_more_than_its_pool() -> None:
    leases = QuotaLeases(3)
    got = sum(leases.lease_period_chunk("t", "2026-12", 24_000) for _ in range(100))
    assert got == pytest.approx(24_000 * (1 - GUARANTEED_SHARE))
    assert (
        leases.lease_period_chunk("t", "2027-01", 24_000) > 0 and leases.lease_period_chunk("t", "2026-12", 24_000) == 0
    )


def test_the_file_of_leases_is_changed_by_one_at_a_time_and_a_torn_one_leases_nothing(tmp_path: Path) -> None:
    """A gateway that finds the file locked or torn goes on with its own part, so the error has to come at once."""
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
