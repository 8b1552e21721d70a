"""Rule 3: nothing new is sent to a server that drains or is gone, once its gateway has had time to learn of it.

Time counts from when the registry notified this gateway. A restarted gateway has been notified of nothing yet.
"""

from __future__ import annotations

from bisect import bisect_right
from collections import Counter, defaultdict
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from ternlane.rules.findings import Violation
from ternlane.rules.limits import CLOCK_TOLERANCE_MS, RuleLimits
from ternlane.rules.run_log import RunLog

RULE = 3
READY = "up"  # as endpoint lists say it


@dataclass
class Notice:
    """An endpoint list as one gateway got it, or the gateway's start."""

    at_ms: float
    states: dict[str, Any] | None  # by server: status and start; None: the gateway started


@dataclass
class Change:
    """From when on a gateway knew that a server was ready, or no longer was."""

    at_ms: float
    ready: bool


Changes = dict[tuple[str, str], list[Change]]  # by gateway and server, in order of time


def judge_draining(run: RunLog, limits: RuleLimits, counts: Counter[str]) -> Iterator[Violation]:
    """Judges each attempt by what its gateway had been notified of."""
    changes: Changes = {}
    for gateway, notices in _notices(run).items():
        _add_changes(changes, gateway, notices)
    counts["drains told"] = sum(not change.ready for of_server in changes.values() for change in of_server)
    grace_ms = limits["drain_grace_ms"] + CLOCK_TOLERANCE_MS
    for attempts in run.attempts.values():
        for attempt in attempts:
            of_server = changes.get((attempt.gateway, attempt.server), [])
            index = bisect_right([change.at_ms for change in of_server], attempt.begin_ms)
            if not index or of_server[index - 1].ready:
                continue
            since_ms = attempt.begin_ms - of_server[index - 1].at_ms
            if attempt.begin_ms > of_server[index - 1].at_ms + grace_ms:
                why = f"sent {since_ms:.0f} ms after it was told that {attempt.server} drains or is gone"
                yield Violation(RULE, attempt.request, why, [attempt.as_line()])


def _notices(run: RunLog) -> dict[str, list[Notice]]:
    """By gateway, in order of time."""
    notices: defaultdict[str, list[Notice]] = defaultdict(list)
    for line in run.by_kind["told"]:
        notices[line["gw"]].append(Notice(line["t"], line["states"]))
    for line in run.by_kind["gateway"]:
        if line["what"] == "start":
            notices[line["gw"]].append(Notice(line["t"], None))
    for of_gateway in notices.values():
        of_gateway.sort(key=lambda notice: notice.at_ms)
    return notices


def _add_changes(changes: Changes, gateway: str, notices: list[Notice]) -> None:
    """Adds what one gateway knew of each server, and since when."""
    known: set[str] = set()
    ready: dict[str, bool] = {}

    def record(server: str, at_ms: float, now_ready: bool) -> None:
        if ready.get(server, True) != now_ready:
            changes.setdefault((gateway, server), []).append(Change(at_ms, now_ready))
            ready[server] = now_ready

    for notice in notices:
        if notice.states is None:
            ready.clear()
            for key in changes:
                if key[0] == gateway:
                    changes[key].append(Change(notice.at_ms, True))
            continue
        for server in known - set(notice.states):
            record(server, notice.at_ms, False)
        for server, (state, _) in notice.states.items():
            record(server, notice.at_ms, state == READY)
        known |= set(notice.states)
