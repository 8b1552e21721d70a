"""The report of a run: outcomes, revenue within the latency objective, latencies, attempts and the rules' findings."""

from __future__ import annotations

from pathlib import Path
from typing import Any

from ternlane.rules import RuleReport, read_lines
from ternlane.scenarios.account_report import accounts_of
from ternlane.scenarios.request_report import RequestLines, request_classes_of
from ternlane.scenarios.scenario import Scenario
from ternlane.scenarios.stream_report import streams_of

MAX_SHOWN_FINDINGS = 200


def report_of(folder: Path, scenario: Scenario, findings: RuleReport) -> dict[str, Any]:
    """The content of `report.json`, from the log files in the folder."""
    lines = read_lines(sorted(folder.glob("*.jsonl")))
    run = RequestLines.of(lines)
    request_classes, revenues = request_classes_of(run, scenario.request_classes)
    possible = sum(figures["could_earn"] for figures in request_classes.values())
    earned = sum(figures["earned"] for figures in request_classes.values())
    span_s = run.span_s()
    report = {
        "day": scenario.name,
        "seed": scenario.seed,
        "gateways": scenario.gateways,
        "generations": len(run.tasks),
        "tries": sum(map(len, run.sent_requests.values())),
        "per_second": round(len(run.tasks) / max(span_s, 1e-9), 1),
        "revenue_in_time": round(earned / possible, 4) if possible else 0.0,
    }
    if scenario.tenants:
        report["accounts"] = accounts_of(folder, scenario, lines, span_s, revenues)
    return report | {
        "streams": streams_of(lines),
        "products": request_classes,
        "legs": run.attempts,
        "legs_each": round(run.attempts / max(1, len(run.finals)), 3),
        "legs_ended": dict(run.attempt_outcomes),
        "troubles": sorted({fault.kind for fault in scenario.troubles}),
        "judged": findings.judged_counts,
        "rules_kept": findings.passed,
        "broken": [
            {"rule": finding.rule, "gen": finding.request, "why": finding.why, "lines": finding.lines}
            for finding in findings.violations[:MAX_SHOWN_FINDINGS]
        ],
    }
