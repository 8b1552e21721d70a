"""What judging a run gives: the broken rules, and how much there was to judge."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

LogLine = dict[str, Any]  # a JSON line as a process of the run wrote it, or an attempt in the same form


@dataclass
class Violation:
    """One broken rule, with the lines that show it."""

    rule: int
    request: str  # empty where no single request broke the rule
    why: str
    lines: list[LogLine] = field(default_factory=list)


@dataclass
class RuleReport:
    """The outcome for a whole run."""

    violations: list[Violation]
    judged_counts: dict[str, int]  # how much there was to judge: a rule that judged nothing proves nothing

    @property
    def passed(self) -> bool:
        """Whether no rule was broken."""
        return not self.violations
