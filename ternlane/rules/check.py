"""Judges a run by the JSON lines that clients, servers, registry and front layer wrote.

Nothing that a gateway says counts. Each rule stands in a module of its own, with what it excuses and why.
"""

from __future__ import annotations

import json
from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from pathlib import Path

from ternlane.rules.draining import judge_draining
from ternlane.rules.effects import judge_effects, judge_single_attempt
from ternlane.rules.final_answers import judge_final_answers
from ternlane.rules.findings import LogLine, RuleReport, Violation
from ternlane.rules.held_state import judge_held_state
from ternlane.rules.limits import RuleLimits
from ternlane.rules.run_log import RunLog
from ternlane.rules.slow_start import judge_slow_start
from ternlane.rules.stream_text import judge_stream_text

Judge = Callable[[RunLog, RuleLimits, Counter[str]], Iterator[Violation]]

# In the order in which reports list their findings.
JUDGES: tuple[Judge, ...] = (
    judge_final_answers,
    judge_effects,
    judge_single_attempt,
    judge_draining,
    judge_slow_start,
    judge_held_state,
    judge_stream_text,
)


def read_lines(paths: Iterable[Path]) -> list[LogLine]:
    """All lines of these files in order of time.

    A line that is no JSON is left out: it is the last one of a process that was killed while it wrote.
    """
    lines: list[LogLine] = []
    for path in paths:
        with open(path, encoding="utf-8") as file:
            for text in file:
                try:
                    lines.append(json.loads(text))
                except ValueError:
                    continue
    lines.sort(key=lambda line: line["t"])
    return lines


def check_folder(folder: Path, limits: RuleLimits | None = None) -> RuleReport:
    """Judges the files `*.jsonl` of a run, by its `rules.json` unless limits are given."""
    if limits is None:
        limits = json.loads((folder / "rules.json").read_text())
    assert limits is not None
    return check(read_lines(sorted(folder.glob("*.jsonl"))), limits)


def check(lines: list[LogLine], limits: RuleLimits) -> RuleReport:
    """Judges these lines, which are in order of time."""
    run = RunLog(lines)
    counts: Counter[str] = Counter()
    violations = [finding for judge in JUDGES for finding in judge(run, limits, counts)]
    return RuleReport(violations, dict(counts))
