"""The report about billing: the tokens billed against those that the engines counted, and the tenants' budgets."""

from __future__ import annotations

from collections import Counter, defaultdict
from pathlib import Path
from typing import Any

from ternlane.ledger.billing_report import bill_rows, read_entries
from ternlane.ledger.reconciliation import reconcile
from ternlane.rules.findings import LogLine
from ternlane.scenarios.request_report import Revenue
from ternlane.scenarios.scenario import Scenario

MAX_SHOWN_DIFFERENCES = 20


def accounts_of(
    folder: Path, scenario: Scenario, lines: list[LogLine], span_s: float, revenues: dict[str, Revenue]
) -> dict[str, Any]:
    """The report's part about billing. `span_s`: for how long requests arrived, as budgets grow with time; `revenues`:
    by tenant."""
    ledgers = sorted((folder / "ledgers").iterdir())
    reconciled = reconcile(read_entries(ledgers), [line for line in lines if line["k"] == "made"])
    spent: Counter[str] = Counter()
    for row in bill_rows(ledgers, None, None):
        spent[row["tenant"]] += row["prompt"] + row["answer"]
    return {
        "made": reconciled.counted,
        "billed": reconciled.billed,
        "house": reconciled.unbilled,
        "off": round(reconciled.unexplained_share, 5),
        "doubled": reconciled.duplicates,
        "differing": len(reconciled.differing),
        "differ": dict(list(reconciled.differing.items())[:MAX_SHOWN_DIFFERENCES]),
        "unsettled": len(reconciled.unsettled),
        "unsettled_toks": sum(usage.prompt + usage.answer for usage in reconciled.unsettled.values()),
        "others_in_time": round(_share_in_time(scenario, revenues), 4),
        "allowed_each": _allowed_tokens(scenario, span_s),
        "most_spent": max(spent.values(), default=0),
        "tenants": {tenant: {"spent": spent[tenant], **counts} for tenant, counts in sorted(_outcomes(lines).items())},
    }


def _allowed_tokens(scenario: Scenario, span_s: float) -> float | None:
    """The tokens that a tenant may spend in this time; None if budgets are unlimited."""
    budget = scenario.budget
    if budget.minute is None:
        return None
    burst = budget.minute if budget.burst is None else budget.burst
    return burst + budget.minute * span_s / 60


def _share_in_time(scenario: Scenario, revenues: dict[str, Revenue]) -> float:
    """The share of the possible revenue that was earned, over all tenants but the last, whose traffic is increased by
    tenant_rush faults."""
    last = f"t{scenario.tenants - 1:03}"
    others = [revenue for tenant, revenue in revenues.items() if tenant != last]
    return sum(revenue.earned for revenue in others) / max(1e-9, sum(revenue.possible for revenue in others))


def _outcomes(lines: list[LogLine]) -> dict[str, Counter[str]]:
    """Counts of final outcomes by tenant."""
    outcomes: defaultdict[str, Counter[str]] = defaultdict(Counter)
    for line in lines:
        if line["k"] == "task":
            outcomes[line["tenant"]][line["outcome"]] += 1
    return outcomes
