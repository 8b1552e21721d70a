"""The result of checking a run: the violations, and how much there was to check."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

LogLine = dict[str, Any]  # a JSON line as a process of the run wrote it, or an attempt in the same form


@dataclass
class Violation:
    """One violation of a rule, with the lines that prove it."""

    rule: int
    request: str  # empty if no single request broke the rule
    why: str
    lines: list[LogLine] = field(default_factory=list)


@dataclass
class RuleReport:
    """The result for a whole run."""

    violations: list[Violation]
    judged_counts: dict[str, int]  # number of cases checked by kind; a rule without cases proves nothing

    @property
    def passed(self) -> bool:
        """Whether no rule was broken."""
        return not self.violations
