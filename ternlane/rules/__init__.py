"""The five rules, judged by what crossed the sockets. Shares no code with the gateway."""

from ternlane.rules.check import Finding, Findings, check, check_folder, read_lines

__all__ = ["Finding", "Findings", "check", "check_folder", "read_lines"]
