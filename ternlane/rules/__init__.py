"""Checks the rules that a gateway must keep against recorded traffic. Shares no code with the gateway."""

from ternlane.rules.check import check, check_folder, read_lines
from ternlane.rules.findings import RuleReport, Violation

__all__ = ["Violation", "RuleReport", "check", "check_folder", "read_lines"]
