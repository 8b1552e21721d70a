"""Bills computed from ledgers, as rows and as text."""

from __future__ import annotations

import csv
import io
import json
from collections import defaultdict
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import TypedDict

from ternlane.ledger.billing_ledger import BillingLedger, TotalKey, UsageTotal
from ternlane.ledger.disk import Disk
from ternlane.tenants.billing import LedgerEntry

MICROS_PER_UNIT = 10**6


class BillRow(TypedDict):
    """A line of a bill. The keys are those of the JSON and CSV output; `micros` is money in millionths, all
    other counts but `generations` are tokens."""

    tenant: str
    product: str
    period: str
    generations: int
    prompt: int
    kept: int  # cached prompt tokens
    answer: int
    micros: int
    house_prompt: int  # tokens of abandoned attempts, which are not billed
    house_answer: int


def read_entries(folders: Iterable[Path]) -> Iterator[LedgerEntry]:
    """All entries in the remaining segments of these ledgers. Raises CorruptLedgerError, OSError."""
    for folder in folders:
        yield from BillingLedger(Disk(folder)).entries()


def bill_rows(folders: Iterable[Path], tenant: str | None, period: str | None) -> list[BillRow]:
    """A row for each tenant, request class and period, summed over these ledgers; `tenant` and `period` select rows,
    None selects all. Removed segments are included, as snapshots cover them. Raises CorruptLedgerError, OSError."""
    totals: defaultdict[TotalKey, UsageTotal] = defaultdict(UsageTotal)
    for folder in folders:
        for key, total in BillingLedger(Disk(folder)).read_totals().sums.items():
            totals[key].add_total(total)
    return [
        _row(key, total)
        for key, total in sorted(totals.items(), key=lambda item: item[0])
        if tenant in (None, key[0]) and period in (None, key[2])
    ]


def _row(key: TotalKey, total: UsageTotal) -> BillRow:
    tenant, request_class, period = key
    return {
        "tenant": tenant,
        "product": request_class,
        "period": period,
        "generations": total.count,
        "prompt": total.billed.prompt,
        "kept": total.billed.cached,
        "answer": total.billed.answer,
        "micros": total.micros,
        "house_prompt": total.unbilled.prompt,
        "house_answer": total.unbilled.answer,
    }


def format_amount(micros: int) -> str:
    """An amount of money with six decimal places."""
    return f"{micros // MICROS_PER_UNIT}.{micros % MICROS_PER_UNIT:06d}"


def format_rows(rows: list[BillRow], output_format: str) -> str:
    """The rows as "json", "csv" or "table"."""
    if output_format == "json":
        return json.dumps(rows, indent=1)
    return _csv(rows) if output_format == "csv" else _table(rows)


def _csv(rows: list[BillRow]) -> str:
    if not rows:
        return ""
    text = io.StringIO()
    writer = csv.DictWriter(text, list(rows[0]))
    writer.writeheader()
    writer.writerows(rows)
    return text.getvalue().rstrip("\n")


def _table(rows: list[BillRow]) -> str:
    header = (
        f"{'tenant':<16}{'product':<16}{'period':<12}{'gens':>8}{'prompt':>12}{'kept':>12}{'answer':>12}{'amount':>16}"
    )
    lines = [
        f"{row['tenant']:<16}{row['product']:<16}{row['period']:<12}{row['generations']:>8}{row['prompt']:>12}"
        f"{row['kept']:>12}{row['answer']:>12}{format_amount(row['micros']):>16}"
        for row in rows
    ]
    sums = (
        f"{'all':<44}{sum(row['generations'] for row in rows):>8}{sum(row['prompt'] for row in rows):>12}"
        f"{sum(row['kept'] for row in rows):>12}{sum(row['answer'] for row in rows):>12}"
        f"{format_amount(sum(row['micros'] for row in rows)):>16}"
    )
    unbilled = (
        f"house: {sum(row['house_prompt'] for row in rows)} prompt and "
        f"{sum(row['house_answer'] for row in rows)} answer tokens of abandoned legs"
    )
    return "\n".join([header, *lines, sums, unbilled])
