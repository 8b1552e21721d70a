"""Checks a run by the JSON lines that clients, servers, registry and front layer recorded.

Nothing that a gateway itself reports is used. Each rule has its own module, which documents its exceptions.
"""

from __future__ import annotations

import json
from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from pathlib import Path

from ternlane.rules.draining import check_draining
from ternlane.rules.effects import check_effects, check_single_attempt
from ternlane.rules.final_answers import check_final_answers
from ternlane.rules.findings import LogLine, RuleReport, Violation
from ternlane.rules.held_state import check_held_state
from ternlane.rules.limits import RuleLimits
from ternlane.rules.run_log import RunLog
from ternlane.rules.slow_start import check_slow_start
from ternlane.rules.stream_text import check_stream_text

RuleCheck = Callable[[RunLog, RuleLimits, Counter[str]], Iterator[Violation]]

# In the order in which reports list the violations.
RULE_CHECKS: tuple[RuleCheck, ...] = (
    check_final_answers,
    check_effects,
    check_single_attempt,
    check_draining,
    check_slow_start,
    check_held_state,
    check_stream_text,
)


def read_lines(paths: Iterable[Path]) -> list[LogLine]:
    """Returns all lines of these files in order of time.

    A line that is not valid JSON is skipped: it is the last one of a process that was killed while writing.
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
    """Checks the files `*.jsonl` of a run, with its `rules.json` unless limits are given."""
    if limits is None:
        limits = json.loads((folder / "rules.json").read_text())
    assert limits is not None
    return check(read_lines(sorted(folder.glob("*.jsonl"))), limits)


def check(lines: list[LogLine], limits: RuleLimits) -> RuleReport:
    """Checks these lines, which must be in order of time."""
    run = RunLog(lines)
    counts: Counter[str] = Counter()
    violations = [violation for rule_check in RULE_CHECKS for violation in rule_check(run, limits, counts)]
    return RuleReport(violations, dict(counts))
