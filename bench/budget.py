"""Budgets, lengths, parts and the ledger beside plain ways, in one run.

python -m bench.budget [decisions|lengths|parts|ledger] [--entries 1000000]
"""

from __future__ import annotations

import argparse
import random
import sqlite3
import tempfile
import threading
import time
import tracemalloc
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Callable

from ternlane.ledger.disk import Disk
from ternlane.ledger.billing_ledger import BillingLedger, UsageTotals
from ternlane.tenants.answer_length import AnswerLengthEstimator
from ternlane.tenants.billing import Bill, LedgerEntry, TokenUsage
from ternlane.tenants.budget_meter import BudgetMeter
from ternlane.tenants.quota_leases import QuotaLeases
from ternlane.tenants.tenant_registry import Budget, Tenant
from ternlane.tenants.reservation import BudgetReservation
from ternlane.tenants.usage_accounting import UsageAccounting

WALL = 1_796_000_000.0
LOOK_MS = 1000.0


# -- the cost of a decision


class Windows:
    """The plain way: a dict behind a lock, tokens of the present minute."""

    def __init__(self) -> None:
        self.lock, self.counts = threading.Lock(), dict[str, tuple[int, int]]()

    def reserve(self, name: str, limit: int, tokens: int, wall: float) -> bool:
        minute = int(wall // 60)
        with self.lock:
            at, spent = self.counts.get(name, (minute, 0))
            spent = spent if at == minute else 0
            if spent + tokens > limit:
                return False
            self.counts[name] = minute, spent + tokens
            return True

    def settle(self, name: str, reserved: int, used: int) -> None:
        with self.lock:
            at, spent = self.counts[name]
            self.counts[name] = at, spent + used - reserved


def decisions() -> None:
    print(f"{'tenants':>9}{'':<14}{'us a reserve':>13}{'us a settle':>13}{'bytes a tenant':>16}")
    for n in (10, 10_000, 1_000_000):
        lines = [Tenant(name=f"t{i}", budget=Budget(minute=10**9, period=10**12)) for i in range(n)]
        rounds, rng = max(n, 50_000), random.Random(1)
        order = [rng.randrange(n) for _ in range(rounds)] if n <= 10_000 else list(range(n))
        tracemalloc.start()
        before = tracemalloc.get_traced_memory()[0]
        usage_accounting = UsageAccounting()
        for line in lines:
            usage_accounting.reserve(line, "s", 100, 100, 0.0, WALL)
        held = (tracemalloc.get_traced_memory()[0] - before) / n
        tracemalloc.stop()
        usage_accounting = UsageAccounting()
        since, holds = time.perf_counter(), []
        for i in order:
            holds.append(usage_accounting.reserve(lines[i], "s", 100, 100, 0.0, WALL))
        reserve = (time.perf_counter() - since) / len(order) * 1e6
        since = time.perf_counter()
        for hold in holds:
            assert isinstance(hold, BudgetReservation)
            usage_accounting.settle(hold, "g", "streamed", Bill(TokenUsage(100, 0, 50), TokenUsage()), 2, 0.0, WALL)
        settle = (time.perf_counter() - since) / len(order) * 1e6
        print(f"{n:>9}  {'cashier':<12}{reserve:>13.2f}{settle:>13.2f}{held:>16.0f}")
        tracemalloc.start()
        before = tracemalloc.get_traced_memory()[0]
        plain = Windows()
        for line in lines:
            plain.reserve(line.name, 10**9, 200, WALL)
        held = (tracemalloc.get_traced_memory()[0] - before) / n
        tracemalloc.stop()
        plain = Windows()
        since = time.perf_counter()
        for i in order:
            plain.reserve(lines[i].name, 10**9, 200, WALL)
        reserve = (time.perf_counter() - since) / len(order) * 1e6
        since = time.perf_counter()
        for i in order:
            plain.settle(lines[i].name, 200, 150)
        settle = (time.perf_counter() - since) / len(order) * 1e6
        print(f"{n:>9}  {'fixed windows':<14}{reserve:>11.2f}{settle:>13.2f}{held:>16.0f}")


# -- how long an answer will be


def lengths() -> None:
    """Reserved against used, for answers drawn by tenants of different kinds; what is too little is overrun."""
    rng = random.Random(5)
    kinds = [(rng.uniform(3, 6), rng.uniform(0.2, 0.9)) for _ in range(40)]
    most, mean, own = 2000, dict[int, tuple[int, int]](), AnswerLengthEstimator()
    sums = {name: [0, 0, 0] for name in ("sketch, 0.9 quantile", "mean", "max_tokens")}
    used = 0
    for _ in range(40_000):
        i = rng.randrange(40)
        tokens = min(most, max(1, int(rng.lognormvariate(*kinds[i]))))
        n, total = mean.get(i, (0, 0))
        said = {
            "sketch, 0.9 quantile": own.estimate(f"t{i}", "s", most),
            "mean": total // n if n else most,
            "max_tokens": most,
        }
        for name, it in said.items():
            row = sums[name]
            row[0] += it
            row[1] += max(0, tokens - it)
            row[2] += tokens > it
        used += tokens
        mean[i] = n + 1, total + tokens
        own.learn(f"t{i}", "s", tokens)
    print(f"{'':<22}{'reserved/used':>14}{'overrun/used':>14}{'overrun gens':>14}")
    for name, (reserved, over, many) in sums.items():
        print(f"{name:<22}{reserved / used:>14.2f}{over / used:>14.3f}{many / 40_000:>14.1%}")


# -- parts of many gateways


@dataclass
class Fleet:
    """Gateways with a meter each for one tenant, in simulated time."""

    n: int
    budget: Budget
    way: str

    def __post_init__(self) -> None:
        self.line = Tenant(name="t", budget=self.budget)
        self.cashiers = [UsageAccounting(self.n, f"g{i}", leases_quota=self.way == "lent") for i in range(self.n)]
        self.lender, self.seen = QuotaLeases(self.n, LOOK_MS / 1000), [0.0] * self.n
        self.offered = [0] * self.n

    def look(self, now: float) -> None:
        """What is done in the background, once a look."""
        for i, usage_accounting in enumerate(self.cashiers):
            meter = usage_accounting.meters.get(("t", ""))
            if meter is None:
                continue
            if self.way == "lent":
                want, target = usage_accounting.wants(self.line, now, WALL + now / 1000)
                got = (
                    self.lender.ask(
                        "t",
                        f"g{i}",
                        want,
                        self.budget.minute or 0,
                        self.budget.burst or 0,
                        WALL + now / 1000,
                        usage_accounting.least("t"),
                    )
                    if want
                    else 0.0
                )
                if got > 0:
                    meter.draw(got, target)
            elif self.way == "following":  # by its own traffic alone: as much as it saw wanted, four parts at most
                part = self.offered[i] / ((self.budget.minute or 1) * LOOK_MS / 60e3)
                self.seen[i] += 0.1 * (part - self.seen[i])
                self.offered[i] = 0
                meter.advance(now, WALL)
                meter.share = min(4 / self.n, max(0.25 / self.n, self.seen[i]))

    def offer(self, i: int, tokens: int, now: float) -> bool:
        usage_accounting = self.cashiers[i]
        self.offered[i] += tokens
        hold = usage_accounting.reserve(self.line, "s", tokens - 1, 1, now, WALL + now / 1000)
        if not isinstance(hold, BudgetReservation):
            return False
        usage_accounting.settle(
            hold, "g", "left", Bill(TokenUsage(tokens - 1, 0, 1), TokenUsage()), 2, now, WALL + now / 1000
        )
        return True


def parts() -> None:
    """Admitted tokens against one ledger that all would share, and the most spent over what was allowed."""
    print("share of what a single ledger admits / spent over allowed (burst + rate x time), 300 s, three seeds")
    print(f"{'gateways':>9}{'traffic':>9}" + "".join(f"{w:>20}" for w in ("fixed", "following", "lent")))
    for n in (1, 6, 40, 160):
        for traffic in ("even", "skewed", "moving"):
            row = {}
            for way in ("fixed", "following", "lent"):
                shares, over = [], []
                for seed in range(3):
                    a, b = play(n, traffic, way, seed)
                    shares.append(a)
                    over.append(b)
                row[way] = f"{sum(shares) / 3:.3f} / {max(over):.2f}"
            print(f"{n:>9}{traffic:>9}" + "".join(f"{row[w]:>20}" for w in row))


def play(n: int, traffic: str, way: str, seed: int) -> tuple[float, float]:
    rng, budget = random.Random(seed), Budget(minute=240_000, burst=40_000)
    fleet, single = Fleet(n, budget, way), BudgetMeter(budget, "UTC", "month", 1.0, 0.0)
    got = ideal = 0
    now, look = 0.0, 0.0
    while now < 300e3:
        now += rng.expovariate(1 / 60.0)  # offers 1.3 times what the budget allows
        if now >= look:
            fleet.look(now)
            look += LOOK_MS
        if traffic == "even":
            i = rng.randrange(n)
        else:  # a few gateways see most of it, and which they are may change
            base = int(now / 60e3) * 7 if traffic == "moving" else 0
            i = (base + min(int(rng.expovariate(1 / max(1.0, n / 10))), n - 1)) % n
        tokens = rng.randint(100, 520)
        got += tokens * fleet.offer(i, tokens, now)
        if single.reserve(tokens, now, WALL) is None:
            single.settle(tokens, tokens, None, now, WALL)
            ideal += tokens
    return got / ideal, got / (40_000 + 240_000 * now / 60e3)


# -- the ledger


def an_entry(i: int) -> LedgerEntry:
    return LedgerEntry(
        f"g{i}-{i * 7919}",
        f"t{i % 1000}",
        "summary",
        "2026-12",
        WALL + i,
        "streamed",
        TokenUsage(1500, 1000, 200),
        TokenUsage(0, 0, 0),
        4300,
        2,
        "0123456789abcdef",
    )


def sqlite_ledger(path: Path) -> tuple[Callable[[list[LedgerEntry]], None], Callable[[], int]]:
    """The same entries in SQLite: WAL, every commit synced."""
    db = sqlite3.connect(path, isolation_level=None)
    db.execute("pragma journal_mode=wal")
    db.execute("pragma synchronous=full")
    db.execute(
        "create table bills (gen text primary key, tenant text, product text, period text, wall real, "
        "outcome text, prompt int, kept int, answer int, hp int, hk int, ha int, micros int, legs int, "
        "key text, note text) without rowid"
    )

    def keep(group: list[LedgerEntry]) -> None:
        db.execute("begin")
        db.executemany(
            "insert into bills values (?,?,?,?,?,?,?,?,?,?,?,?,?,?,?,?)",
            [
                (
                    e.request,
                    e.tenant,
                    e.request_class,
                    e.period,
                    e.wall,
                    e.outcome,
                    e.billed.prompt,
                    e.billed.cached,
                    e.billed.answer,
                    e.unbilled.prompt,
                    e.unbilled.cached,
                    e.unbilled.answer,
                    e.micros,
                    e.attempts,
                    e.key,
                    e.note,
                )
                for e in group
            ],
        )
        db.execute("commit")

    def recover() -> int:
        fresh = sqlite3.connect(path)
        rows = fresh.execute(
            "select tenant, product, period, count(*), sum(prompt), sum(answer), sum(micros) "
            "from bills group by 1, 2, 3"
        ).fetchall()
        fresh.close()
        return int(sum(r[3] for r in rows))

    return keep, recover


def ledger(entries: int) -> None:
    print(f"{'':<10}{'group':>6}{'entries a s':>14}{'us an entry':>13}")
    with tempfile.TemporaryDirectory(dir=".") as name:
        for group in (1, 16, 256):
            n = min(entries, 400 * group)
            lines = [an_entry(i) for i in range(n)]
            store = BillingLedger(Disk(Path(name) / f"own-{group}"))
            keep, _ = sqlite_ledger(Path(name) / f"{group}.db")

            def own(part: list[LedgerEntry], store: BillingLedger = store) -> None:
                for e in part:
                    store.append(e)
                store.commit()

            for what, run in (("segments", own), ("SQLite", keep)):
                since = time.perf_counter()
                for i in range(0, n, group):
                    run(lines[i : i + group])
                took = time.perf_counter() - since
                print(f"{what:<10}{group:>6}{n / took:>14.0f}{took / n * 1e6:>13.1f}")
        print(f"\n{'recovery':<10}{'entries':>10}{'MB':>8}{'s':>8}{'with sums, s':>14}")
        for n in sorted({100_000, entries}):
            folder = Path(name) / f"r{n}"
            store = BillingLedger(Disk(folder))
            for i in range(n):
                store.append(an_entry(i))
                if i % 4096 == 4095:
                    store.commit()
            store.commit()
            store.close()
            size = sum(p.stat().st_size for p in folder.glob("*.seg"))
            whole = bare(folder)
            since = time.perf_counter()
            again = BillingLedger(Disk(folder))
            again.recover()
            with_sums = time.perf_counter() - since
            assert again.sequence == n and sum(s.count for s in again.totals.sums.values()) == n
            print(f"{'segments':<10}{n:>10}{size / 1e6:>8.1f}{whole:>8.2f}{with_sums:>14.2f}")
            keep, recover = sqlite_ledger(Path(name) / f"r{n}.db")
            for i in range(0, n, 4096):
                keep([an_entry(k) for k in range(i, min(n, i + 4096))])
            since = time.perf_counter()
            assert recover() == n
            took = time.perf_counter() - since
            size = (Path(name) / f"r{n}.db").stat().st_size
            print(f"{'SQLite':<10}{n:>10}{size / 1e6:>8.1f}{took:>8.2f}")


def bare(folder: Path) -> float:
    """Recovery without any snapshot."""
    since, totals, store = time.perf_counter(), UsageTotals(), BillingLedger(Disk(folder))
    for entry in store.entries():
        totals.add(entry)
    return time.perf_counter() - since


def main() -> None:
    args = argparse.ArgumentParser()
    args.add_argument("what", nargs="*", default=["decisions", "lengths", "parts", "ledger"])
    args.add_argument("--entries", type=int, default=1_000_000)
    told = args.parse_args()
    ways: dict[str, Any] = {
        "decisions": decisions,
        "lengths": lengths,
        "parts": parts,
        "ledger": lambda: ledger(told.entries),
    }
    for what in told.what:
        ways[what]()
        print()


if __name__ == "__main__":
    main()
