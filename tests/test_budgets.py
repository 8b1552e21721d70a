"""Budgets of one gateway: reservations, overruns and their repayment, periods, clocks, implausible usage."""

from __future__ import annotations

import random
from datetime import datetime
from zoneinfo import ZoneInfo

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ternlane.tenants import (
    AnswerLengthEstimator,
    Bill,
    Budget,
    BudgetMeter,
    BudgetRejection,
    BudgetReservation,
    LedgerEntry,
    Tenant,
    TokenUsage,
    UsageAccounting,
)
from ternlane.tenants.billing_period import period_at
from ternlane.tenants.usage_accounting import SettledTwiceError
from tests.tenant_data import NOON, rejected, reserved, tenant


def settle(
    accounting: UsageAccounting,
    reservation: BudgetReservation,
    used: TokenUsage,
    request: str = "a",
    wall: float = NOON,
) -> LedgerEntry:
    """Ends a streamed request that used these tokens."""
    return accounting.settle(reservation, request, "streamed", Bill(used, TokenUsage()), 2, 0.0, wall)


def test_an_overrun_of_fifty_times_goes_on_the_overdraft_and_is_repaid_by_refills() -> None:
    """Two answers are far longer than reserved. The tenant owes, and is rejected until refills have paid."""
    accounting = UsageAccounting()
    noto = tenant(minute=6000, burst=1000, overdraft=100)
    reservation = reserved(accounting.reserve(noto, "summary", 10, 10, 0.0, NOON))
    reservation.max_answer = 10_000
    settle(accounting, reservation, TokenUsage(10, 0, 500), "a")
    meter = accounting.meters["noto", ""]
    assert meter.level == 1000 - 510
    reservation = reserved(accounting.reserve(noto, "summary", 10, 10, 0.0, NOON))
    reservation.max_answer = 10_000
    settle(accounting, reservation, TokenUsage(10, 0, 1000), "b")
    rejection = rejected(accounting.reserve(noto, "summary", 1, 1, 0.0, NOON))
    assert rejection.limit == "overdraft" and rejection.code == "rate_limit_exceeded"
    assert rejection.wait_ms == pytest.approx(520 / 0.1)
    reserved(accounting.reserve(noto, "summary", 1, 1, rejection.wait_ms + 100, NOON))


def test_a_rejected_request_fits_when_it_was_told_to_return() -> None:
    """Who comes back a moment before is rejected again, who comes a moment after is admitted."""
    accounting = UsageAccounting()
    noto = tenant(minute=600, burst=100)
    reserved(accounting.reserve(noto, "s", 90, 10, 0.0, NOON))
    rejection = rejected(accounting.reserve(noto, "s", 30, 10, 0.0, NOON))
    assert isinstance(accounting.reserve(noto, "s", 30, 10, rejection.wait_ms - 5, NOON), BudgetRejection)
    reserved(accounting.reserve(noto, "s", 30, 10, rejection.wait_ms + 1, NOON))


def test_a_rejection_by_the_request_class_returns_what_was_reserved_of_the_tenant() -> None:
    """The tenant's budget has room, the one of the class has not: neither may be charged."""
    noto = Tenant(name="n", budget=Budget(minute=1000), request_classes={"s": Budget(minute=10)})
    accounting = UsageAccounting()
    results = [accounting.reserve(noto, "s", 400, 10, 0.0, NOON) for _ in range(2)]
    assert isinstance(results[0], BudgetReservation) or isinstance(results[1], BudgetRejection)
    accounting.meters["n", "s"].level = 0
    before = accounting.meters["n", ""].level, accounting.meters["n", ""].open_requests
    rejected(accounting.reserve(noto, "s", 5, 1, 0.0, NOON))
    assert (accounting.meters["n", ""].level, accounting.meters["n", ""].open_requests) == before


def test_requests_at_once_are_limited_and_one_that_ends_makes_room() -> None:
    accounting = UsageAccounting()
    noto = tenant(at_once=2)
    reservations = [reserved(accounting.reserve(noto, "s", 1, 1, 0.0, NOON)) for _ in range(2)]
    assert rejected(accounting.reserve(noto, "s", 1, 1, 0.0, NOON)).limit == "at_once"
    accounting.settle(reservations[0], "a", "terminated", Bill(TokenUsage(), TokenUsage(5, 0, 0)), 1, 0.0, NOON)
    reserved(accounting.reserve(noto, "s", 1, 1, 0.0, NOON))


def test_a_period_ends_at_its_edge_and_a_clock_set_back_does_not_open_it_anew() -> None:
    """The last second of December is spent, January opens, and then the clock is set back an hour."""
    accounting = UsageAccounting()
    noto = tenant(period=100)
    last = datetime(2026, 12, 31, 23, 59, 59, tzinfo=ZoneInfo("UTC")).timestamp()
    reservation = reserved(accounting.reserve(noto, "s", 90, 10, 0.0, last))
    rejection = rejected(accounting.reserve(noto, "s", 1, 1, 0.0, last))
    assert (rejection.code, rejection.limit, rejection.wait_ms) == ("insufficient_quota", "period", 1000.0)
    reserved(accounting.reserve(noto, "s", 90, 10, 0.0, last + 2))
    entry = settle(accounting, reservation, TokenUsage(90, 0, 10), wall=last + 3)
    assert entry.period == "2026-12"  # by its arrival
    assert rejected(accounting.reserve(noto, "s", 1, 1, 0.0, last - 3600)).limit == "period"
    assert accounting.meters["noto", ""].spent == 100


@pytest.mark.parametrize(
    "day, hours",
    [(datetime(2026, 3, 29, 9), 23), (datetime(2026, 10, 25, 9), 25), (datetime(2026, 6, 1), 24)],
    ids=["clocks go forward", "clocks go back", "plain"],
)
def test_days_go_by_the_calendar_of_the_tenants_zone(day: datetime, hours: int) -> None:
    period = period_at(day.replace(tzinfo=ZoneInfo("Europe/Rome")).timestamp(), "Europe/Rome", "day")
    assert (period.end - period.begin) / 3600 == hours


@pytest.mark.parametrize(
    "said",
    [TokenUsage(-5, 0, 10), TokenUsage(10**9, 0, 5), TokenUsage(20, 50, 5), TokenUsage(20, 0, 10**8)],
    ids=["prompt below zero", "vast prompt", "more cached than read", "vast answer"],
)
def test_implausible_usage_of_a_faulty_server_is_not_billed(said: TokenUsage) -> None:
    """A server reports figures that can't be: the tenant pays for what was asked for at most, and the entry says so."""
    accounting = UsageAccounting()
    noto = tenant()
    reservation = reserved(accounting.reserve(noto, "s", 20, 100, 0.0, NOON))
    entry = settle(accounting, reservation, said, "a")
    assert entry.note and 0 <= entry.micros <= 20 * 3 + 100 * 12
    assert entry.billed.prompt >= 0 and entry.billed.cached >= 0 and entry.billed.answer >= 0


def test_a_budget_changed_with_reservations_open_keeps_them() -> None:
    accounting = UsageAccounting()
    reservation = reserved(accounting.reserve(tenant(minute=1000), "s", 500, 100, 0.0, NOON))
    reserved(accounting.reserve(tenant(minute=300), "s", 10, 10, 0.0, NOON))
    settle(accounting, reservation, TokenUsage(500, 0, 100), "a")
    meter = accounting.meters["noto", ""]
    assert meter.open_requests == 1 and meter.level <= meter.capacity == 300


def test_a_reservation_is_settled_once() -> None:
    """A second settlement would bill the request twice."""
    accounting = UsageAccounting()
    reservation = reserved(accounting.reserve(tenant(minute=1000), "s", 5, 5, 0.0, NOON))
    settle(accounting, reservation, TokenUsage(5, 0, 5))
    with pytest.raises(SettledTwiceError):
        settle(accounting, reservation, TokenUsage(5, 0, 5))


def test_idle_tenants_cost_nothing_after_a_sweep() -> None:
    accounting = UsageAccounting()
    for i in range(5000):
        reservation = reserved(accounting.reserve(tenant(f"t{i}", minute=6000), "s", 10, 10, 0.0, NOON))
        settle(accounting, reservation, TokenUsage(10, 0, 10), "g")
    for _ in range(40):
        accounting.sweep(60e3, NOON + 60)
    assert accounting.meters == {}


def test_answer_lengths_are_learnt_by_tenant_and_go_by_the_request_class_before() -> None:
    lengths = AnswerLengthEstimator(max_sketches=50)
    rng = random.Random(1)
    assert lengths.estimate("a", "s", 400) == 400
    for _ in range(500):
        lengths.learn("a", "s", int(rng.lognormvariate(4, 0.5)))
    said = lengths.estimate("a", "s", 4000)
    true = sorted(int(rng.lognormvariate(4, 0.5)) for _ in range(20000))[18000]
    assert abs(said / true - 1) < 0.15
    assert lengths.estimate("new", "s", 4000) == pytest.approx(said, rel=0.2)
    for i in range(500):
        lengths.learn(f"t{i}", "s", 50)
    assert len(lengths.by_tenant) <= 50


ops = st.lists(
    st.tuples(st.sampled_from(["reserve", "settle", "wait"]), st.integers(0, 400), st.integers(0, 400)), max_size=60
)


@settings(max_examples=200, deadline=None)
@given(ops, st.integers(100, 2000), st.integers(50, 1000))
def test_spending_stays_within_burst_rate_and_overruns(
    steps: list[tuple[str, int, int]], minute: int, burst: int
) -> None:
    """What settled in any run: at most burst + rate * time + what requests overran their reservations."""
    meter, now = BudgetMeter(Budget(minute=minute, burst=burst), "UTC", "month", 1.0, 0.0), 0.0
    opened: list[int] = []
    spent = overran = 0
    for what, a, b in steps:
        if what == "wait":
            now += a * 10
        elif what == "reserve" and meter.reserve(a, now, NOON) is None:
            opened.append(a)
        elif what == "settle" and opened:
            reserved = opened.pop(b % len(opened))
            used = reserved + b - 150 if b % 3 else reserved
            used = max(0, used)
            meter.settle(reserved, used, None, now, NOON)
            spent += used
            overran += max(0, used - reserved)
        bigger = max([0, *opened, *[s[1] for s in steps]]) - burst  # one larger than the burst goes when it is full
        assert spent + sum(opened) <= burst + minute * now / 60e3 + overran + max(0, bigger) + 1e-6
        assert meter.open_requests == len(opened) and meter.level <= meter.capacity + 1e-9
