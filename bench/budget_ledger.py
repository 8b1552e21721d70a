"""Compares the ledger with SQLite (WAL, synced commits): group commits and recovery."""

from __future__ import annotations

import sqlite3
import tempfile
import time
from collections.abc import Callable
from pathlib import Path

from bench.budget_decisions import WALL_S
from ternlane.ledger.billing_ledger import BillingLedger, UsageTotals
from ternlane.ledger.disk import Disk
from ternlane.tenants.billing import LedgerEntry, TokenUsage

GROUPS = (1, 16, 256)  # entries per commit
COMMITS = 400
RECOVERY_GROUP = 4096
MIN_RECOVERED = 100_000
COLUMNS = (
    "gen text primary key, tenant text, product text, period text, wall real, outcome text, prompt int, kept int, "
    "answer int, hp int, hk int, ha int, micros int, legs int, key text, note text"
)


def drawn_entry(number: int) -> LedgerEntry:
    """Returns an entry that differs by number in request, tenant and time."""
    return LedgerEntry(
        f"g{number}-{number * 7919}",
        f"t{number % 1000}",
        "summary",
        "2026-12",
        WALL_S + number,
        "streamed",
        TokenUsage(1500, 1000, 200),
        TokenUsage(0, 0, 0),
        4300,
        2,
        "0123456789abcdef",
    )


class SqliteLedger:
    """Stores the same entries in an SQLite table."""

    def __init__(self, path: Path) -> None:
        """Creates the table in a new file."""
        self.path = path
        self._database = sqlite3.connect(path, isolation_level=None)
        self._database.execute("pragma journal_mode=wal")
        self._database.execute("pragma synchronous=full")
        self._database.execute(f"create table bills ({COLUMNS}) without rowid")

    def commit(self, entries: list[LedgerEntry]) -> None:
        """Commits a group of entries in one transaction."""
        self._database.execute("begin")
        placeholders = ",".join("?" * (COLUMNS.count(",") + 1))
        self._database.executemany(f"insert into bills values ({placeholders})", [_row(entry) for entry in entries])
        self._database.execute("commit")

    def recover(self) -> int:
        """Computes the totals by tenant, request class and period; returns the number of entries."""
        fresh = sqlite3.connect(self.path)
        rows = fresh.execute(
            "select tenant, product, period, count(*), sum(prompt), sum(answer), sum(micros) "
            "from bills group by 1, 2, 3"
        ).fetchall()
        fresh.close()
        return int(sum(row[3] for row in rows))


def _row(entry: LedgerEntry) -> tuple[object, ...]:
    billed = entry.billed
    unbilled = entry.unbilled
    return (
        entry.request,
        entry.tenant,
        entry.request_class,
        entry.period,
        entry.wall,
        entry.outcome,
        *(billed.prompt, billed.cached, billed.answer),
        *(unbilled.prompt, unbilled.cached, unbilled.answer),
        entry.micros,
        entry.attempts,
        entry.key,
        entry.note,
    )


def print_ledger(entries: int) -> None:
    """Prints writing and recovery times. `entries`: the largest number of entries."""
    with tempfile.TemporaryDirectory(dir=".") as name:
        folder = Path(name)
        print(f"{'':<10}{'group':>6}{'entries a s':>14}{'us an entry':>13}")
        for group in GROUPS:
            _print_writing(folder, group, [drawn_entry(number) for number in range(min(entries, COMMITS * group))])
        print(f"\n{'recovery':<10}{'entries':>10}{'MB':>8}{'s':>8}{'with sums, s':>14}")
        for count in sorted({MIN_RECOVERED, entries}):
            _print_store_recovery(folder / f"r{count}", count)
            _print_sqlite_recovery(folder / f"r{count}.db", count)


def _print_writing(folder: Path, group: int, entries: list[LedgerEntry]) -> None:
    store = BillingLedger(Disk(folder / f"own-{group}"))

    def commit_to_store(group_entries: list[LedgerEntry]) -> None:
        for entry in group_entries:
            store.append(entry)
        store.commit()

    commits: dict[str, Callable[[list[LedgerEntry]], None]] = {
        "segments": commit_to_store,
        "SQLite": SqliteLedger(folder / f"{group}.db").commit,
    }
    for name, commit in commits.items():
        begin_s = time.perf_counter()
        for begin in range(0, len(entries), group):
            commit(entries[begin : begin + group])
        took_s = time.perf_counter() - begin_s
        print(f"{name:<10}{group:>6}{len(entries) / took_s:>14.0f}{took_s / len(entries) * 1e6:>13.1f}")


def _print_store_recovery(folder: Path, count: int) -> None:
    store = BillingLedger(Disk(folder))
    for number in range(count):
        store.append(drawn_entry(number))
        if number % RECOVERY_GROUP == RECOVERY_GROUP - 1:
            store.commit()
    store.commit()
    store.close()
    size = sum(path.stat().st_size for path in folder.glob("*.seg"))
    without_snapshot_s = _recovery_without_snapshot_s(folder)
    begin_s = time.perf_counter()
    recovered = BillingLedger(Disk(folder))
    recovered.recover()
    with_snapshot_s = time.perf_counter() - begin_s
    assert recovered.sequence == count and sum(row.count for row in recovered.totals.sums.values()) == count
    print(f"{'segments':<10}{count:>10}{size / 1e6:>8.1f}{without_snapshot_s:>8.2f}{with_snapshot_s:>14.2f}")


def _recovery_without_snapshot_s(folder: Path) -> float:
    begin_s = time.perf_counter()
    totals = UsageTotals()
    for entry in BillingLedger(Disk(folder)).entries():
        totals.add(entry)
    return time.perf_counter() - begin_s


def _print_sqlite_recovery(path: Path, count: int) -> None:
    ledger = SqliteLedger(path)
    for begin in range(0, count, RECOVERY_GROUP):
        end = min(count, begin + RECOVERY_GROUP)
        ledger.commit([drawn_entry(number) for number in range(begin, end)])
    begin_s = time.perf_counter()
    assert ledger.recover() == count
    took_s = time.perf_counter() - begin_s
    print(f"{'SQLite':<10}{count:>10}{path.stat().st_size / 1e6:>8.1f}{took_s:>8.2f}")
