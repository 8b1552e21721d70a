"""Bills out of ledgers, and their reconciling with what engines counted."""

from __future__ import annotations

import csv
import io
import json
from collections import defaultdict
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Iterable, Iterator

from ternlane.ledger.disk import Disk
from ternlane.ledger.store import Store
from ternlane.tenants.billing import Used
from ternlane.tenants.usage_accounting import Entry


def entries_of(folders: Iterable[Path]) -> Iterator[Entry]:
    """Every entry that the segments of these ledgers still hold."""
    for folder in folders:
        yield from Store(Disk(folder)).entries()


def rows_of(folders: Iterable[Path], tenant: str | None, period: str | None) -> list[dict[str, Any]]:
    """A line for each tenant, product and period, by the sums (also of segments that have been dropped)."""
    sums: defaultdict[tuple[str, str, str], list[Any]] = defaultdict(lambda: [0, Used(), Used(), 0])
    for folder in folders:
        totals = Store(Disk(folder)).read_sums()
        for key, it in totals.sums.items():
            row = sums[key]
            row[0], row[1], row[2], row[3] = (
                row[0] + it.count,
                row[1].plus(it.bill),
                row[2].plus(it.house),
                row[3] + it.micros,
            )
    return [
        {
            "tenant": t,
            "product": p,
            "period": when,
            "generations": n,
            "prompt": bill.prompt,
            "kept": bill.kept,
            "answer": bill.answer,
            "micros": micros,
            "house_prompt": house.prompt,
            "house_answer": house.answer,
        }
        for (t, p, when), (n, bill, house, micros) in sorted(sums.items())
        if tenant in (None, t) and period in (None, when)
    ]


def money(micros: int) -> str:
    return f"{micros // 10**6}.{micros % 10**6:06d}"


def shown(rows: list[dict[str, Any]], form: str) -> str:
    if form == "json":
        return json.dumps(rows, indent=1)
    if form == "csv":
        out = io.StringIO()
        if rows:
            writer = csv.DictWriter(out, list(rows[0]))
            writer.writeheader()
            writer.writerows(rows)
        return out.getvalue().rstrip("\n")
    lines = [
        f"{'tenant':<16}{'product':<16}{'period':<12}{'gens':>8}{'prompt':>12}{'kept':>12}{'answer':>12}{'amount':>16}"
    ]
    lines += [
        f"{r['tenant']:<16}{r['product']:<16}{r['period']:<12}{r['generations']:>8}{r['prompt']:>12}"
        f"{r['kept']:>12}{r['answer']:>12}{money(r['micros']):>16}"
        for r in rows
    ]
    lines.append(
        f"{'all':<44}{sum(r['generations'] for r in rows):>8}{sum(r['prompt'] for r in rows):>12}"
        f"{sum(r['kept'] for r in rows):>12}{sum(r['answer'] for r in rows):>12}"
        f"{money(sum(r['micros'] for r in rows)):>16}"
    )
    lines.append(
        f"house: {sum(r['house_prompt'] for r in rows)} prompt and "
        f"{sum(r['house_answer'] for r in rows)} answer tokens of abandoned legs"
    )
    return "\n".join(lines)


@dataclass
class Reconciled:
    """What engines counted against what ledgers hold, in prompt and answer tokens."""

    made: Used
    billed: Used
    house: Used
    doubled: list[str] = field(default_factory=list)
    unsettled: dict[str, Used] = field(default_factory=dict)  # engines worked, no entry: died with a gateway
    differing: dict[str, tuple[Used, Used]] = field(default_factory=dict)  # generation -> made, billed + house

    @property
    def off(self) -> float:
        """Part of the engines' tokens that bills and house do not explain, the unsettled aside."""
        made = self.made.prompt + self.made.answer
        died = sum(u.prompt + u.answer for u in self.unsettled.values())
        told = self.billed.prompt + self.billed.answer + self.house.prompt + self.house.answer
        return abs(made - died - told) / max(1, made)


def reconcile(entries: Iterable[Entry], made_lines: Iterable[dict[str, Any]]) -> Reconciled:
    """`made_lines`: {"gen", "prompt", "kept", "answer"} as engines count them, any number a generation."""
    made: defaultdict[str, Used] = defaultdict(Used)
    for line in made_lines:
        made[line["gen"]] = made[line["gen"]].plus(Used(line["prompt"], line["kept"], line["answer"]))
    told: dict[str, Used] = {}
    out = Reconciled(Used(), Used(), Used())
    for entry in entries:
        if entry.request in told:
            out.doubled.append(entry.request)
        told[entry.request] = entry.bill.plus(entry.house)
        out.billed, out.house = out.billed.plus(entry.bill), out.house.plus(entry.house)
    for request, used in made.items():
        out.made = out.made.plus(used)
        if request not in told:
            out.unsettled[request] = used
        elif (used.prompt, used.answer) != (told[request].prompt, told[request].answer):
            out.differing[request] = used, told[request]
    for request, used in told.items():
        if request not in made and (used.prompt or used.answer):
            out.differing[request] = Used(), used
    return out
