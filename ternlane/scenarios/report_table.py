"""Formats the report of a run as text."""

from __future__ import annotations

from collections import Counter
from typing import Any

OUTCOMES = ("streamed", "throttled", "terminated", "left", "unreachable", "broken", "none")
MAX_SHOWN_FINDINGS = 12


def table_of(report: dict[str, Any]) -> str:
    """Returns several lines of text. `report`: as `report_of` returns it."""
    return "\n".join(
        [
            *_request_lines(report),
            *_stream_lines(report["streams"]),
            *(_account_lines(report["accounts"]) if "accounts" in report else []),
            *_rule_lines(report),
        ]
    )


def _request_lines(report: dict[str, Any]) -> list[str]:
    header = "".join(f"{outcome:>12}" for outcome in OUTCOMES)
    lines = [
        f"{report['day']}  seed {report['seed']}  {report['gateways']} gateways  {report['generations']} "
        f"requests, {report['per_second']} per second  (fake engines)",
        f"{'class':<16}{'total':>7}{header}{'in time':>9}{'p50 ms':>9}{'p99 ms':>9}",
    ]
    for name, figures in report["products"].items():
        latencies_ms = figures["first_token_ms"]
        counts = "".join(f"{figures['outcomes'].get(outcome, 0):>12}" for outcome in OUTCOMES)
        lines.append(
            f"{name:<16}{figures['asked']:>7}{counts}"
            f"{figures['in_time']:>9}{latencies_ms['0.5']:>9.0f}{latencies_ms['0.99']:>9.0f}"
        )
    judged = ", ".join(f"{count} {what}" for what, count in report["judged"].items())
    lines.append(
        f"revenue within the latency objective: {report['revenue_in_time']:.3f}   "
        f"attempts per try: {report['legs_each']:.2f}   checked: {judged}"
    )
    return lines


def _stream_lines(streams: dict[str, Any]) -> list[str]:
    if not streams["broke"]:
        return []
    outcomes = ", ".join(
        f"{effect} {counts.get('whole', 0)} / {counts.get('in part', 0)}" for effect, counts in streams["broke"].items()
    )
    medians = " / ".join(f"{streams['gap_ms'][kind]['0.5']:.0f}" for kind in ("unbroken", "joined"))
    return [f"broken streams, completed / partial: {outcomes}; median longest gap, ms, unbroken / resumed: {medians}"]


def _account_lines(accounts: dict[str, Any]) -> list[str]:
    made = accounts["made"]
    billed = accounts["billed"]
    unbilled = accounts["house"]
    return [
        f"engines counted {made.prompt} + {made.answer} tokens; billed {billed.prompt} + {billed.answer}, "
        f"unbilled {unbilled.prompt} + {unbilled.answer}; unexplained {accounts['off']:.3%}, "
        f"{accounts['unsettled']} not settled ({accounts['unsettled_toks']} tokens), "
        f"{len(accounts['doubled'])} billed twice",
        f"most tokens spent by a tenant: {accounts['most_spent']}, allowed: {accounts['allowed_each']}; "
        f"revenue in time of all but the last tenant: {accounts['others_in_time']:.4f}",
    ]


def _rule_lines(report: dict[str, Any]) -> list[str]:
    if report["rules_kept"]:
        return ["rules: all five kept"]
    counts = Counter(f"rule {finding['rule']}: {finding['why']}" for finding in report["broken"])
    return ["RULES BROKEN", *(f"  {count} x {why}" for why, count in counts.most_common(MAX_SHOWN_FINDINGS))]
