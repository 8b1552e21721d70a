"""The report about answers whose attempt broke after its first event.

Outcomes are counted by effect; those of idempotent requests also by cause and by the progress before the break, with
the longest pause that their clients saw. Requests whose client disconnected are not counted.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from math import inf
from typing import Any

from ternlane.rules.findings import LogLine
from ternlane.scenarios.quantiles import shown_quantiles

# Two processes log the same event at slightly different times.
CLOCK_TOLERANCE_MS = 60.0


class StreamLines:
    """A run's log lines about streams."""

    def __init__(self, lines: list[LogLine]) -> None:
        """`lines`: ordered by time."""
        self.sent_requests: dict[str, LogLine] = {}  # by request
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
                self.sent_requests[line["gen"]] = line
            case "final":
                self.finals[line["gen"]] = line

    def _end_of(self, attempt: LogLine) -> LogLine | None:
        return self._ends.get((attempt["id"], attempt["gen"], attempt["n"]))

    def broken_attempts(self, request: str) -> list[LogLine]:
        """The attempts that sent text and did not complete."""
        broken = []
        for attempt in self.produced.get(request, []):
            end = self._end_of(attempt)
            if attempt["text"] and (end is None or end["how"] != "streamed"):
                broken.append(attempt)
        return broken

    def cause_of(self, attempt: LogLine) -> str:
        """The cause of a break, by the server's log lines. The gateway ended an attempt that stalled."""
        end = self._end_of(attempt)
        if end is None:
            return "process died"
        end_ms = end["t"]
        if any(abs(stop_ms - end_ms) < CLOCK_TOLERANCE_MS for stop_ms in self._stops_ms[attempt["id"]]):
            return "process died"
        for cut_ms, repaired_ms in self._zone_cuts_ms:
            if cut_ms - CLOCK_TOLERANCE_MS <= end_ms <= repaired_ms + CLOCK_TOLERANCE_MS:
                return "zone cut"
        return "reset" if end["how"] == "lost" else "stalled"


class StreamReport:
    """Counts by outcome: "whole" (completed by another attempt), "in part" or "gateway lost"."""

    def __init__(self) -> None:
        self.by_effect: defaultdict[str, Counter[str]] = defaultdict(Counter)
        self.by_cause: defaultdict[str, Counter[str]] = defaultdict(Counter)
        self.by_progress: defaultdict[str, Counter[str]] = defaultdict(Counter)
        self.pauses_ms: defaultdict[str, list[float]] = defaultdict(list)  # of answers that were completed, by cause
        self.gaps_ms: dict[str, list[float]] = {"unbroken": [], "joined": []}

    def add(self, run: StreamLines, sent: LogLine, final: LogLine) -> None:
        """Adds one request."""
        broken = run.broken_attempts(sent["gen"])
        if broken:
            self._add_broken(run, sent, final, broken[0])
        if sent["stream"] and final["outcome"] == "streamed":
            self.gaps_ms["joined" if broken else "unbroken"].append(final["gap"])

    def _add_broken(self, run: StreamLines, sent: LogLine, final: LogLine, attempt: LogLine) -> None:
        outcome = {"streamed": "whole", "broken": "gateway lost"}.get(final["outcome"], "in part")
        self.by_effect[sent["effect"]][outcome] += 1
        if sent["effect"] != "idempotent":
            return
        cause = run.cause_of(attempt)
        self.by_cause[cause][outcome] += 1
        if sent["stream"] and outcome == "whole":
            self.pauses_ms[cause].append(final["gap"])
        self.by_progress[_progress_bucket(len(attempt["text"].split()))][outcome] += 1

    def as_report(self) -> dict[str, Any]:
        """The counts as they stand in `report.json`."""
        return {
            "broke": {effect: dict(outcomes) for effect, outcomes in self.by_effect.items()},
            "by cause": {
                cause: {**outcomes, "pause_ms": shown_quantiles(self.pauses_ms[cause])}
                for cause, outcomes in sorted(self.by_cause.items())
            },
            "by pieces before": {progress: dict(outcomes) for progress, outcomes in sorted(self.by_progress.items())},
            "gap_ms": {kind: {"n": len(gaps), **shown_quantiles(gaps)} for kind, gaps in self.gaps_ms.items()},
        }


def _progress_bucket(words: int) -> str:
    if words == 1:
        return "1"
    if words < 8:
        return "2-7"
    return "8-15" if words < 16 else "16+"


def streams_of(lines: list[LogLine]) -> dict[str, Any]:
    """The report's part about streams."""
    run = StreamLines(lines)
    report = StreamReport()
    for request, sent in run.sent_requests.items():
        final = run.finals.get(request)
        if final is not None and final["outcome"] != "left":
            report.add(run, sent, final)
    return report.as_report()
