"""What became of begun answers whose attempt broke after its first event.

By effect; of idempotent requests also by cause and by how far they were, with the longest pause that their clients
saw. Attempts of clients that left are not counted.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from math import inf
from typing import Any

from ternlane.rules.findings import LogLine
from ternlane.scenarios.quantiles import shown_quantiles

# Two processes don't write of the same moment at the same time.
CLOCK_TOLERANCE_MS = 60.0


class StreamLines:
    """A run's lines about streams."""

    def __init__(self, lines: list[LogLine]) -> None:
        """`lines` in order of time."""
        self.asks: dict[str, LogLine] = {}  # by request
        self.finals: dict[str, LogLine] = {}  # by request
        self.produced: defaultdict[str, list[LogLine]] = defaultdict(list)  # by request
        self._ends: dict[tuple[str, str, int], LogLine] = {}  # by server, request and attempt
        self._stops_ms: defaultdict[str, list[float]] = defaultdict(list)  # by server
        self._zone_cuts_ms: list[tuple[float, float]] = []  # begin and end
        for line in lines:
            self._add(line)

    def _add(self, line: LogLine) -> None:
        match line["k"]:
            case "said":
                self.produced[line["gen"]].append(line)
            case "leg_end":
                self._ends[line["id"], line["gen"], line["n"]] = line
            case "down":
                self._stops_ms[line["id"]].append(line["t"])
            case "trouble" if line["trouble"] == "zone_cut" and line["what"].startswith("begin"):
                self._zone_cuts_ms.append((line["t"], inf))
            case "trouble" if line["trouble"] == "zone_cut":
                self._zone_cuts_ms[-1] = self._zone_cuts_ms[-1][0], line["t"]
            case "ask":
                self.asks[line["gen"]] = line
            case "final":
                self.finals[line["gen"]] = line

    def _end_of(self, attempt: LogLine) -> LogLine | None:
        return self._ends.get((attempt["id"], attempt["gen"], attempt["n"]))

    def broken_attempts(self, request: str) -> list[LogLine]:
        """Those that produced text and did not come to their end."""
        broken = []
        for attempt in self.produced.get(request, []):
            end = self._end_of(attempt)
            if attempt["text"] and (end is None or end["how"] != "streamed"):
                broken.append(attempt)
        return broken

    def cause_of(self, attempt: LogLine) -> str:
        """By the server's own lines: its process ended, it broke off, or the gateway did."""
        end = self._end_of(attempt)
        if end is None:
            return "process died"
        end_ms = end["t"]
        if any(abs(stop_ms - end_ms) < CLOCK_TOLERANCE_MS for stop_ms in self._stops_ms[attempt["id"]]):
            return "process died"
        for cut_ms, mended_ms in self._zone_cuts_ms:
            if cut_ms - CLOCK_TOLERANCE_MS <= end_ms <= mended_ms + CLOCK_TOLERANCE_MS:
                return "zone cut"
        return "reset" if end["how"] == "lost" else "stalled"


class StreamReport:
    """Counts by outcome: "whole", "in part" or "gateway lost"."""

    def __init__(self) -> None:
        self.by_effect: defaultdict[str, Counter[str]] = defaultdict(Counter)
        self.by_cause: defaultdict[str, Counter[str]] = defaultdict(Counter)
        self.by_progress: defaultdict[str, Counter[str]] = defaultdict(Counter)
        self.pauses_ms: defaultdict[str, list[float]] = defaultdict(list)  # of answers that were completed, by cause
        self.gaps_ms: dict[str, list[float]] = {"unbroken": [], "joined": []}

    def add(self, run: StreamLines, ask: LogLine, final: LogLine) -> None:
        """Counts one request."""
        broken = run.broken_attempts(ask["gen"])
        if broken:
            self._add_broken(run, ask, final, broken[0])
        if ask["stream"] and final["outcome"] == "streamed":
            self.gaps_ms["joined" if broken else "unbroken"].append(final["gap"])

    def _add_broken(self, run: StreamLines, ask: LogLine, final: LogLine, attempt: LogLine) -> None:
        outcome = {"streamed": "whole", "broken": "gateway lost"}.get(final["outcome"], "in part")
        self.by_effect[ask["effect"]][outcome] += 1
        if ask["effect"] != "idempotent":
            return
        cause = run.cause_of(attempt)
        self.by_cause[cause][outcome] += 1
        if ask["stream"] and outcome == "whole":
            self.pauses_ms[cause].append(final["gap"])
        self.by_progress[_progress(len(attempt["text"].split()))][outcome] += 1

    def as_report(self) -> dict[str, Any]:
        """In the report's form."""
        return {
            "broke": {effect: dict(outcomes) for effect, outcomes in self.by_effect.items()},
            "by cause": {
                cause: {**outcomes, "pause_ms": shown_quantiles(self.pauses_ms[cause])}
                for cause, outcomes in sorted(self.by_cause.items())
            },
            "by pieces before": {progress: dict(outcomes) for progress, outcomes in sorted(self.by_progress.items())},
            "gap_ms": {kind: {"n": len(gaps), **shown_quantiles(gaps)} for kind, gaps in self.gaps_ms.items()},
        }


def _progress(words: int) -> str:
    if words == 1:
        return "1"
    if words < 8:
        return "2-7"
    return "8-15" if words < 16 else "16+"


def streams_of(lines: list[LogLine]) -> dict[str, Any]:
    """The report's part about streams."""
    run = StreamLines(lines)
    report = StreamReport()
    for request, ask in run.asks.items():
        final = run.finals.get(request)
        if final is not None and final["outcome"] != "left":
            report.add(run, ask, final)
    return report.as_report()
