"""Tests budgets at one gateway: reservations, overruns and their repayment, periods, clocks, implausible usage."""

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
    """Settles a streamed request that used these tokens."""
    return accounting.settle(reservation, request, "streamed", Bill(used, TokenUsage()), 2, 0.0, wall)


def test_overruns_use_the_overdraft_and_are_repaid_by_refills() -> None:
    """Two answers are up to 100 times longer than reserved. The tenant is rejected until refills have repaid them."""
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


def test_a_rejected_request_fits_after_the_reported_wait() -> None:
    """A retry shortly before the end of the wait is rejected, one shortly after it is admitted."""
    accounting = UsageAccounting()
    noto = tenant(minute=600, burst=100)
    reserved(accounting.reserve(noto, "s", 90, 10, 0.0, NOON))
    rejection = rejected(accounting.reserve(noto, "s", 30, 10, 0.0, NOON))
    assert isinstance(accounting.reserve(noto, "s", 30, 10, rejection.wait_ms - 5, NOON), BudgetRejection)
    reserved(accounting.reserve(noto, "s", 30, 10, rejection.wait_ms + 1, NOON))


def test_a_rejection_by_the_budget_of_a_request_class_does_not_charge_the_tenant() -> None:
    """The tenant's budget has room but that of the request class does not: neither is charged."""
    noto = Tenant(name="n", budget=Budget(minute=1000), request_classes={"s": Budget(minute=10)})
    accounting = UsageAccounting()
    results = [accounting.reserve(noto, "s", 400, 10, 0.0, NOON) for _ in range(2)]
    assert isinstance(results[0], BudgetReservation) or isinstance(results[1], BudgetRejection)
    accounting.meters["n", "s"].level = 0
    before = accounting.meters["n", ""].level, accounting.meters["n", ""].open_requests
    rejected(accounting.reserve(noto, "s", 5, 1, 0.0, NOON))
    assert (accounting.meters["n", ""].level, accounting.meters["n", ""].open_requests) == before


def test_concurrent_requests_are_limited_until_one_ends() -> None:
    accounting = UsageAccounting()
    noto = tenant(at_once=2)
    reservations = [reserved(accounting.reserve(noto, "s", 1, 1, 0.0, NOON)) for _ in range(2)]
    assert rejected(accounting.reserve(noto, "s", 1, 1, 0.0, NOON)).limit == "at_once"
    accounting.settle(reservations[0], "a", "terminated", Bill(TokenUsage(), TokenUsage(5, 0, 0)), 1, 0.0, NOON)
    reserved(accounting.reserve(noto, "s", 1, 1, 0.0, NOON))


def test_a_period_ends_on_time_and_a_clock_set_back_does_not_reopen_it() -> None:
    """The budget is used up in the last second of December and again in January; then the clock is set back an hour."""
    accounting = UsageAccounting()
    noto = tenant(period=100)
    last = datetime(2026, 12, 31, 23, 59, 59, tzinfo=ZoneInfo("UTC")).timestamp()
    reservation = reserved(accounting.reserve(noto, "s", 90, 10, 0.0, last))
    rejection = rejected(accounting.reserve(noto, "s", 1, 1, 0.0, last))
    assert (rejection.code, rejection.limit, rejection.wait_ms) == ("insufficient_quota", "period", 1000.0)
    reserved(accounting.reserve(noto, "s", 90, 10, 0.0, last + 2))
    entry = settle(accounting, reservation, TokenUsage(90, 0, 10), wall=last + 3)
    assert entry.period == "2026-12"  # billed to the period of its arrival
    assert rejected(accounting.reserve(noto, "s", 1, 1, 0.0, last - 3600)).limit == "period"
    assert accounting.meters["noto", ""].spent == 100


@pytest.mark.parametrize(
    "day, hours",
    [(datetime(2026, 3, 29, 9), 23), (datetime(2026, 10, 25, 9), 25), (datetime(2026, 6, 1), 24)],
    ids=["clocks go forward", "clocks go back", "ordinary day"],
)
def test_days_follow_the_calendar_of_the_tenants_time_zone(day: datetime, hours: int) -> None:
    period = period_at(day.replace(tzinfo=ZoneInfo("Europe/Rome")).timestamp(), "Europe/Rome", "day")
    assert (period.end - period.begin) / 3600 == hours


@pytest.mark.parametrize(
    "reported",
    [TokenUsage(-5, 0, 10), TokenUsage(10**9, 0, 5), TokenUsage(20, 50, 5), TokenUsage(20, 0, 10**8)],
    ids=["negative prompt", "huge prompt", "more cached than prompt tokens", "huge answer"],
)
def test_implausible_usage_of_a_faulty_server_is_not_billed(reported: TokenUsage) -> None:
    """A server reports impossible counts: the tenant pays at most for what it requested, and the entry has a note."""
    accounting = UsageAccounting()
    noto = tenant()
    reservation = reserved(accounting.reserve(noto, "s", 20, 100, 0.0, NOON))
    entry = settle(accounting, reservation, reported, "a")
    assert entry.note and 0 <= entry.micros <= 20 * 3 + 100 * 12
    assert entry.billed.prompt >= 0 and entry.billed.cached >= 0 and entry.billed.answer >= 0


def test_a_budget_change_keeps_open_reservations() -> None:
    accounting = UsageAccounting()
    reservation = reserved(accounting.reserve(tenant(minute=1000), "s", 500, 100, 0.0, NOON))
    reserved(accounting.reserve(tenant(minute=300), "s", 10, 10, 0.0, NOON))
    settle(accounting, reservation, TokenUsage(500, 0, 100), "a")
    meter = accounting.meters["noto", ""]
    assert meter.open_requests == 1 and meter.level <= meter.capacity == 300


def test_a_reservation_cannot_be_settled_twice() -> None:
    """A second settlement would bill the request twice."""
    accounting = UsageAccounting()
    reservation = reserved(accounting.reserve(tenant(minute=1000), "s", 5, 5, 0.0, NOON))
    settle(accounting, reservation, TokenUsage(5, 0, 5))
    with pytest.raises(SettledTwiceError):
        settle(accounting, reservation, TokenUsage(5, 0, 5))


def test_sweeps_remove_the_meters_of_idle_tenants() -> None:
    accounting = UsageAccounting()
    for i in range(5000):
        reservation = reserved(accounting.reserve(tenant(f"t{i}", minute=6000), "s", 10, 10, 0.0, NOON))
        settle(accounting, reservation, TokenUsage(10, 0, 10), "g")
    for _ in range(40):
        accounting.sweep(60e3, NOON + 60)
    assert accounting.meters == {}


def test_answer_lengths_are_estimated_by_tenant_or_else_by_request_class() -> None:
    lengths = AnswerLengthEstimator(max_sketches=50)
    rng = random.Random(1)
    assert lengths.estimate("a", "s", 400) == 400
    for _ in range(500):
        lengths.learn("a", "s", int(rng.lognormvariate(4, 0.5)))
    estimate = lengths.estimate("a", "s", 4000)
    actual = sorted(int(rng.lognormvariate(4, 0.5)) for _ in range(20000))[18000]
    assert abs(estimate / actual - 1) < 0.15
    assert lengths.estimate("new", "s", 4000) == pytest.approx(estimate, rel=0.2)
    for i in range(500):
        lengths.learn(f"t{i}", "s", 50)
    assert len(lengths.by_tenant) <= 50


STEPS = st.lists(
    st.tuples(st.sampled_from(["reserve", "settle", "wait"]), st.integers(0, 400), st.integers(0, 400)), max_size=60
)


@settings(max_examples=200, deadline=None)
@given(STEPS, st.integers(100, 2000), st.integers(50, 1000))
def test_spending_stays_within_burst_rate_and_overruns(
    steps: list[tuple[str, int, int]], minute: int, burst: int
) -> None:
    """In any sequence of steps, at most burst + rate * time + the overruns of reservations is spent."""
    meter, now = BudgetMeter(Budget(minute=minute, burst=burst), "UTC", "month", 1.0, 0.0), 0.0
    opened: list[int] = []
    spent = overrun = 0
    for kind, first, second in steps:
        if kind == "wait":
            now += first * 10
        elif kind == "reserve" and meter.reserve(first, now, NOON) is None:
            opened.append(first)
        elif kind == "settle" and opened:
            reserved = opened.pop(second % len(opened))
            used = reserved + second - 150 if second % 3 else reserved
            used = max(0, used)
            meter.settle(reserved, used, None, now, NOON)
            spent += used
            overrun += max(0, used - reserved)
        # A request larger than the burst is admitted by a full bucket.
        excess = max([0, *opened, *[step[1] for step in steps]]) - burst
        assert spent + sum(opened) <= burst + minute * now / 60e3 + overrun + max(0, excess) + 1e-6
        assert meter.open_requests == len(opened) and meter.level <= meter.capacity + 1e-9
