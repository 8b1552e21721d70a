"""Rule 4: no cold server is overloaded until it falls over by gateways that had been notified of its start.

Gateways that could not know break no rule, so a violation requires that the notified ones sent at least two thirds of
the attempts in the window in which the server fell over.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterator

from ternlane.rules.findings import LogLine, Violation
from ternlane.rules.limits import RuleLimits
from ternlane.rules.run_log import LoggedAttempt, RunLog

RULE = 4


def check_slow_start(run: RunLog, limits: RuleLimits, counts: Counter[str]) -> Iterator[Violation]:
    """Checks each server that fell over."""
    cold_starts_ms: defaultdict[str, list[float]] = defaultdict(list)  # by server
    for line in run.by_kind["up"]:
        if line["cold"]:
            cold_starts_ms[line["id"]].append(line["t"])
    counts["cold starts"] = sum(map(len, cold_starts_ms.values()))
    for fall in run.by_kind["fell"]:
        server = fall["id"]
        start_ms = max((at_ms for at_ms in cold_starts_ms[server] if at_ms <= fall["t"]), default=0.0)
        notified_ms = _notified_of_start(run, server, start_ms)
        window = _attempts_within(run, server, max(start_ms, fall["t"] - limits["fall_ms"]), fall["t"])
        informed = [attempt for attempt in window if notified_ms.get(attempt.gateway, run.end_ms) <= attempt.begin_ms]
        if window and 3 * len(informed) >= 2 * len(window):
            why = (
                f"{server} fell over under {len(window)} attempts, {len(informed)} of them from "
                "gateways notified of its start"
            )
            yield Violation(RULE, "", why, [fall])


def _notified_of_start(run: RunLog, server: str, start_ms: float) -> dict[str, float]:
    """Returns, by gateway, when it was first notified that the server is up again, with its start time."""
    notified_ms: dict[str, float] = {}
    for line in run.by_kind["told"]:
        if line["t"] >= start_ms and _says_started(line, server):
            notified_ms.setdefault(line["gw"], line["t"])
    return notified_ms


def _says_started(told: LogLine, server: str) -> bool:
    state = told["states"].get(server)
    return state is not None and state[0] == "up" and state[1] > 0


def _attempts_within(run: RunLog, server: str, begin_ms: float, end_ms: float) -> list[LoggedAttempt]:
    return [
        attempt
        for attempts in run.attempts.values()
        for attempt in attempts
        if attempt.server == server and begin_ms <= attempt.begin_ms <= end_ms
    ]
