"""What a day came to: outcomes, revenue within the SLO time, waits, legs, and the rules' verdict."""

from __future__ import annotations

from collections import Counter, defaultdict
from pathlib import Path
from typing import Any

from ternlane.scenarios.script import DayScript
from ternlane.ledger.billing_report import bill_rows, read_entries
from ternlane.ledger.reconciliation import reconcile
from ternlane.rules import Findings, read_lines


NEAR_MS = 60.0  # two processes write of one moment


def quantile(values: list[float], q: float) -> float:
    """The value below which a part q of the values lie; 0.0 for none."""
    return sorted(values)[min(len(values) - 1, int(q * len(values)))] if values else 0.0


def report_of(folder: Path, day: DayScript, findings: Findings) -> dict[str, Any]:
    lines = read_lines(sorted(folder.glob("*.jsonl")))
    asks: dict[str, list[dict[str, Any]]] = defaultdict(list)
    firsts, finals, tasks = {}, {}, {}
    attempts, verdicts = 0, Counter[str]()
    for line in lines:
        match line["k"]:
            case "ask":
                asks[line["task"]].append(line)
            case "first":
                firsts[line["gen"]] = line["t"]
            case "final":
                finals[line["gen"]] = line
            case "task":
                tasks[line["task"]] = line
            case "leg":
                attempts += 1
            case "leg_end":
                verdicts[f"{line['how'].split(' ')[0]}"] += 1
    terms = {p.name: p for p in day.request_classes}
    request_classes: dict[str, dict[str, Any]] = {}
    owners: dict[str, list[float]] = defaultdict(lambda: [0.0, 0.0])  # earned in time, could be earned
    for name, p in terms.items():
        mine = [t for t in tasks.values() if t["product"] == name]
        outcomes = Counter(t["outcome"] for t in mine)
        waits, in_time, late = [], 0, 0
        for task in mine:
            owners[task.get("tenant", "")][1] += p.priority_weight
            tries = asks[task["task"]]
            done = next((a for a in tries if finals.get(a["gen"], {}).get("outcome") == "streamed"), None)
            if done is None or done["gen"] not in firsts:
                continue
            wait = firsts[done["gen"]] - tries[0]["t"]
            waits.append(wait)
            slo = p.slo_ms + p.slo_per_1000_tokens_ms * done["toks"] / 1000
            in_time += wait <= slo
            late += wait > slo
            owners[task.get("tenant", "")][0] += (
                p.priority_weight if wait <= slo else p.priority_weight * p.late_value_share
            )
        earned = p.priority_weight * (in_time + p.late_value_share * late)
        request_classes[name] = {
            "asked": len(mine),
            "outcomes": dict(outcomes),
            "in_time": in_time,
            "late": late,
            "earned": round(earned, 1),
            "could_earn": round(p.priority_weight * len(mine), 1),
            "first_token_ms": {q: round(quantile(waits, float(q)), 1) for q in ("0.5", "0.9", "0.99")},
        }
    could = sum(v["could_earn"] for v in request_classes.values())
    span = max((a["t"] for v in asks.values() for a in v), default=0) - min(
        (a["t"] for v in asks.values() for a in v), default=0
    )
    return {
        "day": day.name,
        "seed": day.seed,
        "gateways": day.gateways,
        "generations": len(tasks),
        "tries": sum(map(len, asks.values())),
        "per_second": round(len(tasks) / max(span / 1000, 1e-9), 1),
        "revenue_in_time": round(sum(v["earned"] for v in request_classes.values()) / could, 4) if could else 0.0,
        **({"accounts": accounts_of(folder, day, lines, span / 1000, owners)} if day.tenants else {}),
        "streams": streams_of(lines),
        "products": request_classes,
        "legs": attempts,
        "legs_each": round(attempts / max(1, len(finals)), 3),
        "legs_ended": dict(verdicts),
        "troubles": sorted({str(t.__struct_config__.tag) for t in day.troubles}),
        "judged": findings.counted,
        "rules_kept": findings.kept,
        "broken": [{"rule": f.rule, "gen": f.request, "why": f.why, "lines": f.lines} for f in findings.broken[:200]],
    }


def streams_of(lines: list[dict[str, Any]]) -> dict[str, Any]:
    """What became of begun answers whose leg broke after its first piece: by effect; of idempotent ones by how far they
    were and by cause, with the longest pause that their clients saw. Tries of clients that left are not counted."""
    downs: dict[str, list[float]] = defaultdict(list)
    cuts: list[tuple[float, float]] = []
    said: dict[str, list[dict[str, Any]]] = defaultdict(list)
    ends, asks, finals = {}, {}, {}
    for line in lines:
        match line["k"]:
            case "said":
                said[line["gen"]].append(line)
            case "leg_end":
                ends[line["id"], line["gen"], line["n"]] = line
            case "down":
                downs[line["id"]].append(line["t"])
            case "trouble" if line["trouble"] == "zone_cut" and line["what"].startswith("begin"):
                cuts.append((line["t"], float("inf")))
            case "trouble" if line["trouble"] == "zone_cut":
                cuts[-1] = cuts[-1][0], line["t"]
            case "ask":
                asks[line["gen"]] = line
            case "final":
                finals[line["gen"]] = line

    def cause(attempt: dict[str, Any]) -> str:
        """By the engine's own lines: its process ended, it broke off, or the gateway did."""
        end = ends.get((attempt["id"], attempt["gen"], attempt["n"]))
        if end is None or any(abs(t - end["t"]) < NEAR_MS for t in downs[attempt["id"]]):
            return "process died"
        if any(since - NEAR_MS <= end["t"] <= until + NEAR_MS for since, until in cuts):
            return "zone cut"
        return "reset" if end["how"] == "lost" else "stalled"

    kinds: dict[str, Counter[str]] = defaultdict(Counter)
    causes: dict[str, Counter[str]] = defaultdict(Counter)
    pauses: dict[str, list[float]] = defaultdict(list)
    far: dict[str, Counter[str]] = defaultdict(Counter)
    gaps: dict[str, list[float]] = {"unbroken": [], "joined": []}
    for request, ask in asks.items():
        final, attempts = finals.get(request), said.get(request, [])
        if final is None or final["outcome"] == "left":
            continue
        broken = [
            v for v in attempts if v["text"] and ends.get((v["id"], request, v["n"]), {"how": ""})["how"] != "streamed"
        ]
        if broken:
            outcome = {"streamed": "whole", "broken": "gateway lost"}.get(final["outcome"], "in part")
            kinds[ask["effect"]][outcome] += 1
            if ask["effect"] == "idempotent":
                causes[cause(broken[0])][outcome] += 1
                if ask["stream"] and outcome == "whole":
                    pauses[cause(broken[0])].append(final["gap"])
                words = len(broken[0]["text"].split())
                far["1" if words == 1 else "2-7" if words < 8 else "8-15" if words < 16 else "16+"][outcome] += 1
        if ask["stream"] and final["outcome"] == "streamed":
            gaps["joined" if broken else "unbroken"].append(final["gap"])
    return {
        "broke": {k: dict(v) for k, v in kinds.items()},
        "by cause": {
            k: {**v, "pause_ms": {q: round(quantile(pauses[k], float(q)), 1) for q in ("0.5", "0.9", "0.99")}}
            for k, v in sorted(causes.items())
        },
        "by pieces before": {k: dict(v) for k, v in sorted(far.items())},
        "gap_ms": {
            k: {"n": len(v), **{q: round(quantile(v, float(q)), 1) for q in ("0.5", "0.9", "0.99")}}
            for k, v in gaps.items()
        },
    }


def accounts_of(
    folder: Path, day: DayScript, lines: list[dict[str, Any]], span_s: float, owners: dict[str, list[float]]
) -> dict[str, Any]:
    """Bills against the engines' own counts, and what each tenant spent of its budget."""
    ledgers = sorted((folder / "ledgers").iterdir())
    found = reconcile(read_entries(ledgers), [v for v in lines if v["k"] == "made"])
    spent: Counter[str] = Counter()
    for row in bill_rows(ledgers, None, None):
        spent[row["tenant"]] += row["prompt"] + row["answer"]
    allowed = None
    if day.budget.minute is not None:
        burst = day.budget.minute if day.budget.burst is None else day.budget.burst
        allowed = burst + day.budget.minute * span_s / 60
    tenants: dict[str, Counter[str]] = defaultdict(Counter)
    rusher = f"t{day.tenants - 1:03}"  # a rush is the last tenant's
    for task in (v for v in lines if v["k"] == "task"):
        tenants[task["tenant"]][task["outcome"]] += 1
    return {
        "made": found.made,
        "billed": found.billed,
        "house": found.unbilled,
        "off": round(found.off, 5),
        "doubled": found.duplicates,
        "differing": len(found.differing),
        "differ": {k: v for k, v in list(found.differing.items())[:20]},
        "unsettled": len(found.unsettled),
        "unsettled_toks": sum(u.prompt + u.answer for u in found.unsettled.values()),
        "others_in_time": round(
            sum(v[0] for k, v in owners.items() if k != rusher)
            / max(1e-9, sum(v[1] for k, v in owners.items() if k != rusher)),
            4,
        ),
        "allowed_each": allowed,
        "most_spent": max(spent.values(), default=0),
        "tenants": {k: {"spent": spent[k], **v} for k, v in sorted(tenants.items())},
    }


def table_of(report: dict[str, Any]) -> str:
    kinds = ["streamed", "throttled", "terminated", "left", "unreachable", "broken", "none"]
    out = [
        f"{report['day']}  seed {report['seed']}  {report['gateways']} gateways  {report['generations']} "
        f"generations, {report['per_second']} a second  (stand-in servers)",
        f"{'product':<16}{'asked':>7}"
        + "".join(f"{k:>12}" for k in kinds)
        + f"{'in time':>9}{'p50 ms':>9}{'p99 ms':>9}",
    ]
    for name, p in report["products"].items():
        waits = p["first_token_ms"]
        out.append(
            f"{name:<16}{p['asked']:>7}"
            + "".join(f"{p['outcomes'].get(k, 0):>12}" for k in kinds)
            + f"{p['in_time']:>9}{waits['0.5']:>9.0f}{waits['0.99']:>9.0f}"
        )
    judged = ", ".join(f"{v} {k}" for k, v in report["judged"].items())
    out.append(
        f"revenue within the SLO time: {report['revenue_in_time']:.3f}   "
        f"legs a try: {report['legs_each']:.2f}   judged: {judged}"
    )
    broke = report["streams"]["broke"]
    if broke:
        out.append(
            "streams that broke, whole / in part: "
            + ", ".join(f"{k} {v.get('whole', 0)} / {v.get('in part', 0)}" for k, v in broke.items())
            + "; longest pause, ms, unbroken / joined, median: "
            + " / ".join(f"{report['streams']['gap_ms'][k]['0.5']:.0f}" for k in ("unbroken", "joined"))
        )
    if "accounts" in report:
        a = report["accounts"]
        out.append(
            f"engines made {a['made'].prompt} + {a['made'].answer} tokens; billed {a['billed'].prompt} + "
            f"{a['billed'].answer}, house {a['house'].prompt} + {a['house'].answer}; off by {a['off']:.3%}, "
            f"{a['unsettled']} died unsettled ({a['unsettled_toks']} tokens), {len(a['doubled'])} doubled"
        )
        out.append(
            f"most spent by a tenant {a['most_spent']}, allowed {a['allowed_each']}; revenue in time of all but "
            f"the last tenant: {a['others_in_time']:.4f}"
        )
    if report["rules_kept"]:
        out.append("rules: all five kept")
    else:
        counts = Counter(f"rule {b['rule']}: {b['why']}" for b in report["broken"])
        out.append("RULES BROKEN")
        out += [f"  {n} x {why}" for why, n in counts.most_common(12)]
    return "\n".join(out)
