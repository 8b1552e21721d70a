"""Budgets, keys and the ledger, each with what goes wrong: overruns, faulty engines, clocks, crashes at every write."""

from __future__ import annotations

import random
from datetime import datetime
from math import inf
from zoneinfo import ZoneInfo

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ternlane.ledger import BillingLedger, CorruptLedgerError, UsageTotals
from ternlane.ledger.billing_ledger import BILLS_FORMAT
from ternlane.ledger.segment import read_segment
from ternlane.tenants import (
    AnswerLengthEstimator,
    ApiKey,
    Bill,
    Budget,
    BudgetMeter,
    BudgetRejection,
    BudgetReservation,
    LedgerEntry,
    QuotaLeases,
    Tenant,
    TenantRegistry,
    TokenUsage,
    UnknownKeyError,
    UsageAccounting,
)
from ternlane.tenants.api_keys import new_key
from ternlane.tenants.billing_period import period_at
from ternlane.tenants.quota_leases import RESERVED_SHARE
from ternlane.tenants.tenant_registry import Prices, TenantRegistryConfig

NOON = datetime(2026, 12, 1, 12, tzinfo=ZoneInfo("UTC")).timestamp()


def tenant(name: str = "noto", **budget: object) -> Tenant:
    limits = Budget(**budget)  # type: ignore[arg-type]
    return Tenant(name=name, budget=limits, prices={"*": Prices(prompt=3, cached=1, answer=12)})


def held(got: BudgetReservation | BudgetRejection) -> BudgetReservation:
    assert isinstance(got, BudgetReservation), got
    return got


def refused(got: BudgetReservation | BudgetRejection) -> BudgetRejection:
    assert isinstance(got, BudgetRejection), got
    return got


# -- keys


def test_keys_live_retire_and_are_revoked_and_all_wrong_ones_sound_alike() -> None:
    key, name, salt, kept = new_key()
    for state, until, now, good in (
        ("live", 0, 5, True),
        ("retiring", 10, 9, True),
        ("retiring", 10, 10, False),
        ("revoked", 0, 5, False),
    ):
        line = ApiKey(name=name, salt=salt, hash=kept, state=state, until=until)  # type: ignore
        roll = TenantRegistry(TenantRegistryConfig(tenants=[Tenant(name="noto", keys=[line])]))
        if good:
            assert roll.whose(f"Bearer {key}", now).name == "noto"
        else:
            with pytest.raises(UnknownKeyError):
                roll.whose(f"Bearer {key}", now)
    for wrong in (None, "", key, f"Basic {key}", f"Bearer {key}x", f"Bearer tl-{name}-", "Bearer tl-ff-x", "Bearer é"):
        with pytest.raises(UnknownKeyError):
            roll.whose(wrong, 0)
    assert key.split("-")[2] not in repr(line)


# -- budgets


def test_an_overrun_of_fifty_times_goes_on_the_overdraft_and_is_repaid_by_refills() -> None:
    usage_accounting, noto = UsageAccounting(), tenant(minute=6000, burst=1000, overdraft=100)
    hold = held(usage_accounting.reserve(noto, "summary", 10, 10, 0.0, NOON))
    hold.max_answer = 10_000
    usage_accounting.settle(hold, "a", "streamed", Bill(TokenUsage(10, 0, 500), TokenUsage()), 2, 0.0, NOON)
    meter = usage_accounting.meters["noto", ""]
    assert meter.level == 1000 - 510
    hold = held(usage_accounting.reserve(noto, "summary", 10, 10, 0.0, NOON))
    hold.max_answer = 10_000
    usage_accounting.settle(hold, "b", "streamed", Bill(TokenUsage(10, 0, 1000), TokenUsage()), 2, 0.0, NOON)
    no = refused(usage_accounting.reserve(noto, "summary", 1, 1, 0.0, NOON))
    assert no.limit == "overdraft" and no.code == "rate_limit_exceeded"
    assert no.wait_ms == pytest.approx(520 / 0.1)
    held(usage_accounting.reserve(noto, "summary", 1, 1, no.wait_ms + 100, NOON))


def test_the_return_time_is_honest() -> None:
    usage_accounting, noto = UsageAccounting(), tenant(minute=600, burst=100)
    held(usage_accounting.reserve(noto, "s", 90, 10, 0.0, NOON))
    no = refused(usage_accounting.reserve(noto, "s", 30, 10, 0.0, NOON))
    assert isinstance(usage_accounting.reserve(noto, "s", 30, 10, no.wait_ms - 5, NOON), BudgetRejection)
    held(usage_accounting.reserve(noto, "s", 30, 10, no.wait_ms + 1, NOON))


def test_a_refused_product_budget_gives_the_tenant_budget_back() -> None:
    noto = Tenant(name="n", budget=Budget(minute=1000), request_classes={"s": Budget(minute=10)})
    usage_accounting = UsageAccounting()
    refusals = [usage_accounting.reserve(noto, "s", 400, 10, 0.0, NOON) for _ in range(2)]
    assert isinstance(refusals[0], BudgetReservation) or isinstance(refusals[1], BudgetRejection)
    usage_accounting.meters["n", "s"].level = 0
    before = usage_accounting.meters["n", ""].level, usage_accounting.meters["n", ""].open_requests
    refused(usage_accounting.reserve(noto, "s", 5, 1, 0.0, NOON))
    assert (usage_accounting.meters["n", ""].level, usage_accounting.meters["n", ""].open_requests) == before


def test_so_many_at_once_and_no_more() -> None:
    usage_accounting, noto = UsageAccounting(), tenant(at_once=2)
    holds = [held(usage_accounting.reserve(noto, "s", 1, 1, 0.0, NOON)) for _ in range(2)]
    assert refused(usage_accounting.reserve(noto, "s", 1, 1, 0.0, NOON)).limit == "at_once"
    usage_accounting.settle(holds[0], "a", "terminated", Bill(TokenUsage(), TokenUsage(5, 0, 0)), 1, 0.0, NOON)
    held(usage_accounting.reserve(noto, "s", 1, 1, 0.0, NOON))


def test_a_period_ends_at_its_edge_and_a_clock_set_back_does_not_open_it_anew() -> None:
    usage_accounting, noto = UsageAccounting(), tenant(period=100)
    last = datetime(2026, 12, 31, 23, 59, 59, tzinfo=ZoneInfo("UTC")).timestamp()
    hold = held(usage_accounting.reserve(noto, "s", 90, 10, 0.0, last))
    no = refused(usage_accounting.reserve(noto, "s", 1, 1, 0.0, last))
    assert (no.code, no.limit, no.wait_ms) == ("insufficient_quota", "period", 1000.0)
    held(usage_accounting.reserve(noto, "s", 90, 10, 0.0, last + 2))
    entry = usage_accounting.settle(hold, "a", "streamed", Bill(TokenUsage(90, 0, 10), TokenUsage()), 2, 0.0, last + 3)
    assert entry.period == "2026-12"  # by its arrival
    assert refused(usage_accounting.reserve(noto, "s", 1, 1, 0.0, last - 3600)).limit == "period"
    assert usage_accounting.meters["noto", ""].spent == 100


def test_days_of_daylight_saving_have_their_own_length() -> None:
    for day, hours in ((datetime(2026, 3, 29, 9), 23), (datetime(2026, 10, 25, 9), 25), (datetime(2026, 6, 1), 24)):
        period = period_at(day.replace(tzinfo=ZoneInfo("Europe/Rome")).timestamp(), "Europe/Rome", "day")
        assert (period.end - period.begin) / 3600 == hours


@pytest.mark.parametrize(
    "said", [TokenUsage(-5, 0, 10), TokenUsage(10**9, 0, 5), TokenUsage(20, 50, 5), TokenUsage(20, 0, 10**8)]
)
def test_absurd_usage_of_a_faulty_engine_is_not_billed(said: TokenUsage) -> None:
    usage_accounting, noto = UsageAccounting(), tenant()
    hold = held(usage_accounting.reserve(noto, "s", 20, 100, 0.0, NOON))
    entry = usage_accounting.settle(hold, "a", "streamed", Bill(said, TokenUsage()), 2, 0.0, NOON)
    assert entry.note and 0 <= entry.micros <= 20 * 3 + 100 * 12
    assert min(entry.billed) >= 0 if isinstance(entry.billed, tuple) else entry.billed.prompt >= 0


def test_a_budget_changed_with_reservations_open_keeps_them() -> None:
    usage_accounting = UsageAccounting()
    hold = held(usage_accounting.reserve(tenant(minute=1000), "s", 500, 100, 0.0, NOON))
    held(usage_accounting.reserve(tenant(minute=300), "s", 10, 10, 0.0, NOON))
    usage_accounting.settle(hold, "a", "streamed", Bill(TokenUsage(500, 0, 100), TokenUsage()), 2, 0.0, NOON)
    meter = usage_accounting.meters["noto", ""]
    assert meter.open_requests == 1 and meter.level <= meter.capacity == 300


def test_idle_tenants_cost_nothing_after_a_sweep() -> None:
    usage_accounting = UsageAccounting()
    for i in range(5000):
        hold = held(usage_accounting.reserve(tenant(f"t{i}", minute=6000), "s", 10, 10, 0.0, NOON))
        usage_accounting.settle(hold, "g", "streamed", Bill(TokenUsage(10, 0, 10), TokenUsage()), 2, 0.0, NOON)
    for _ in range(40):
        usage_accounting.sweep(60e3, NOON + 60)
    assert usage_accounting.meters == {}


def test_lengths_are_learnt_per_tenant_and_lean_on_the_product_before() -> None:
    lengths, rng = AnswerLengthEstimator(max_sketches=50), random.Random(1)
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
    """What settled in any run: at most burst + rate * time + what generations overran their reservations."""
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


# -- parts of several gateways


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
    lender, budget, now, spent = QuotaLeases(n), Budget(minute=minute, burst=burst), 0.0, 0
    line = Tenant(name="t", budget=budget)
    cashiers = [UsageAccounting(n, f"g{i}", leases_quota=True) for i in range(n)]
    for who, tokens, after in steps:
        now += after
        usage_accounting = cashiers[who % n]
        if tokens % 17 == 0:  # it dies, and comes back with its floor empty of what it drew
            old = usage_accounting.meters.get(("t", ""))
            if old is not None:
                usage_accounting.borrowers.clear()
                old.draw(-max(0.0, min(old.leased, old.level)), 0.0)
        elif tokens % 5 == 0:
            want, target = usage_accounting.wants(line, now * 1000, NOON + now)
            got = lender.ask("t", usage_accounting.gateway, want, minute, burst, NOON + now) if want else 0.0
            if got > 0:
                usage_accounting.meters["t", ""].draw(got, target)
        elif isinstance(usage_accounting.reserve(line, "s", tokens, 0 + 1, now * 1000, NOON + now), BudgetReservation):
            spent += tokens + 1
        single = max([0, *[t + 1 for _, t, _ in steps]])  # one larger than a bucket goes when that is full
        assert spent <= burst + minute * now / 60 + n * single + 1e-6
        held = sum(m.level for c in cashiers for m in c.meters.values())
        assert held + spent <= burst + minute * now / 60 + 1e-6


def test_one_that_asks_alone_gets_all_and_two_get_even_shares() -> None:
    lender = QuotaLeases(2, interval_s=1.0)
    assert lender.ask("t", "g1", 9e9, 60_000, 1000, 100.0) == pytest.approx(1000 * (1 - RESERVED_SHARE))
    shares = {"g1": 0.0, "g2": 0.0}
    for i in range(1, 40):
        for g in shares:
            shares[g] += lender.ask("t", g, 9e9, 60_000, 1000, 100.0 + i + (g == "g2") / 2)
    assert shares["g1"] == pytest.approx(shares["g2"], rel=0.35)


def test_a_clock_set_back_refills_nothing_twice() -> None:
    lender = QuotaLeases(1)
    first = lender.ask("t", "g", 9e9, 6000, 1000, 1000.0)
    assert lender.ask("t", "g", 9e9, 6000, 1000, 400.0) == 0.0
    assert lender.ask("t", "g", 9e9, 6000, 1000, 1001.0) == pytest.approx(80) and first == pytest.approx(800)


def test_chunks_of_a_period_are_never_more_than_its_pool() -> None:
    lender = QuotaLeases(3)
    got = sum(lender.draw("t", "2026-12", 24_000) for _ in range(100))
    assert got == pytest.approx(24_000 * (1 - RESERVED_SHARE))
    assert lender.draw("t", "2027-01", 24_000) > 0 and lender.draw("t", "2026-12", 24_000) == 0


# -- the ledger


class CrashError(Exception):
    pass


class FakeDisk:
    """A disk in memory that fails at the n-th call: torn, short, full or at a sync; a crash loses unsynced bytes."""

    def __init__(self, fail_at: int = -1, how: str = "") -> None:
        self.files: dict[str, bytearray] = {}
        self.synced: dict[str, int] = {}
        self.handles: dict[int, str] = {}
        self.calls, self.fail_at, self.how, self.next = 0, fail_at, how, 1

    def failing(self) -> bool:
        self.calls += 1
        return self.calls == self.fail_at

    def lock(self) -> bool:
        return True

    def unlock(self) -> None:
        pass

    def names(self) -> list[str]:
        return sorted(self.files)

    def read(self, name: str) -> bytes:
        return bytes(self.files[name])

    def open(self, name: str) -> int:
        if self.failing() and self.how == "full":
            raise OSError(28, "full")
        self.files.setdefault(name, bytearray())
        self.synced.setdefault(name, 0)
        self.next += 1
        self.handles[self.next] = name
        return self.next

    def write(self, handle: int, data: bytes) -> int:
        name, fails = self.handles[handle], self.failing()
        if fails and self.how == "full":
            self.files[name] += data[: len(data) // 2]
            raise OSError(28, "full")
        if fails and self.how == "crash":
            self.files[name] += data[: len(data) // 2]
            raise CrashError
        part = data[: max(1, len(data) // 2)] if fails and self.how == "short" else data
        self.files[name] += part
        return len(part)

    def sync(self, handle: int) -> None:
        name, fails = self.handles[handle], self.failing()
        if fails and self.how == "crash":
            raise CrashError
        if fails and self.how in ("sync", "full"):
            del self.files[name][self.synced[name] + (len(self.files[name]) - self.synced[name]) // 3 :]
            raise OSError(5, "sync")
        self.synced[name] = len(self.files[name])

    def truncate(self, handle: int, length: int) -> None:
        name = self.handles[handle]
        del self.files[name][length:]
        self.synced[name] = min(self.synced[name], length)

    def close(self, handle: int) -> None:
        self.handles.pop(handle, None)

    def rename(self, old: str, new: str) -> None:
        if self.failing() and self.how == "crash":
            raise CrashError
        self.files[new], self.synced[new] = self.files.pop(old), self.synced.pop(old)

    def remove(self, name: str) -> None:
        del self.files[name], self.synced[name]

    def sync_folder(self) -> None:
        if self.failing() and self.how == "crash":
            raise CrashError

    def after_crash(self, rng: random.Random) -> FakeDisk:
        """What a restart finds: what was synced, and any beginning of the rest."""
        disk = FakeDisk()
        for name, data in self.files.items():
            keep = self.synced[name] + rng.randint(0, len(data) - self.synced[name])
            disk.files[name], disk.synced[name] = bytearray(data[:keep]), keep
        return disk


def entry(i: int) -> LedgerEntry:
    return LedgerEntry(
        f"g{i}", f"t{i % 3}", "s", "2026-12", NOON, "streamed", TokenUsage(i, 0, 2 * i), TokenUsage(1, 0, 0), 5 * i, 2
    )


def fill(store: BillingLedger, groups: list[int], first: int = 1) -> list[LedgerEntry]:
    """Appends and commits in groups; gives those whose commit returned. A crash ends it."""
    kept: list[LedgerEntry] = []
    waiting: list[LedgerEntry] = []
    i = first
    for size in groups:
        for _ in range(size):
            store.append(entry(i))
            waiting.append(entry(i))
            i += 1
        try:
            store.commit()
        except OSError:
            continue  # tried again with the next group
        except CrashError:
            return kept
        kept += waiting
        waiting = []
    try:
        store.commit()
        kept += waiting
    except (OSError, CrashError):
        pass
    return kept


@settings(max_examples=400, deadline=None)
@given(
    st.integers(1, 60),
    st.sampled_from(["crash", "full", "short", "sync"]),
    st.lists(st.integers(1, 7), min_size=1, max_size=10),
    st.integers(0, 2**16),
)
def test_no_settled_bill_is_lost_or_doubled_wherever_it_fails(at: int, how: str, groups: list[int], seed: int) -> None:
    disk = FakeDisk(at, how)
    store = BillingLedger(disk, segment_bytes=600)  # type: ignore[arg-type]
    kept = fill(store, groups)
    after = disk.after_crash(random.Random(seed))
    again, found = BillingLedger(after), list[LedgerEntry]()  # type: ignore[arg-type]
    again.recover(lambda _, e: found.append(e))
    ids = [e.request for e in found]
    assert len(ids) == len(set(ids))
    assert {e.request for e in kept} <= set(ids)
    sums = UsageTotals()
    for e in found:
        sums.add(e)
    assert again.totals.sums == sums.sums
    more = fill(again, [3, 3], first=1000)  # and it can be written to again
    third, all_found = BillingLedger(after), list[str]()  # type: ignore[arg-type]
    third.recover(lambda _, e: all_found.append(e.request))
    assert all_found == ids + [e.request for e in more] and third.totals.sums == again.totals.sums


def test_every_cut_of_a_segment_is_recovered_from() -> None:
    disk = FakeDisk()
    fill(BillingLedger(disk), [1] * 6)  # type: ignore[arg-type]
    raw = disk.read(BILLS_FORMAT.segment_name(1))
    whole = [len(read_segment(raw[:n], "s", BILLS_FORMAT).records) for n in range(len(raw) + 1)]
    assert whole[-1] == 6 and whole == sorted(whole) and set(whole) == set(range(7))


def test_damage_that_no_crash_leaves_is_refused_by_place() -> None:
    disk = FakeDisk()
    fill(BillingLedger(disk), [4])  # type: ignore[arg-type]
    disk.files[BILLS_FORMAT.segment_name(1)][40] ^= 4
    with pytest.raises(CorruptLedgerError, match="byte 8"):
        BillingLedger(disk).recover()  # type: ignore[arg-type]


def test_old_segments_go_once_sums_cover_them_and_the_sums_stay_right() -> None:
    disk = FakeDisk()
    store = BillingLedger(disk, segment_bytes=400, keep_segments=2)  # type: ignore[arg-type]
    kept = fill(store, [2] * 30)
    assert sum(n.endswith(".seg") for n in disk.names()) <= 3
    again = BillingLedger(disk)  # type: ignore[arg-type]
    again.recover()
    sums = UsageTotals()
    for e in kept:
        sums.add(e)
    assert again.totals.sums == sums.sums and again.sequence == 60 and inf > again.cut_off == 0
