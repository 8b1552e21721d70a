"""Rule 3: no new attempt is sent to a server that is draining or gone, once the gateway has had time to react.

The grace period runs from when the registry notified the gateway. A restarted gateway has not been notified yet.
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
READY = "up"  # the state in endpoint lists


@dataclass
class Notice:
    """An endpoint list as one gateway received it, or the gateway's start."""

    at_ms: float
    states: dict[str, Any] | None  # by server: state and start time; None: the gateway started


@dataclass
class Change:
    """When a gateway learned that a server was ready, or no longer was."""

    at_ms: float
    ready: bool


Changes = dict[tuple[str, str], list[Change]]  # by gateway and server, in order of time


def check_draining(run: RunLog, limits: RuleLimits, counts: Counter[str]) -> Iterator[Violation]:
    """Checks each attempt against what its gateway had been notified of."""
    changes: Changes = {}
    for gateway, notices in _notices(run).items():
        _add_changes(changes, gateway, notices)
    counts["drains told"] = sum(not change.ready for server_changes in changes.values() for change in server_changes)
    grace_ms = limits["drain_grace_ms"] + CLOCK_TOLERANCE_MS
    for attempts in run.attempts.values():
        for attempt in attempts:
            server_changes = changes.get((attempt.gateway, attempt.server), [])
            index = bisect_right([change.at_ms for change in server_changes], attempt.begin_ms)
            if not index or server_changes[index - 1].ready:
                continue  # the gateway had learned of no change, or last that the server is ready
            since_ms = attempt.begin_ms - server_changes[index - 1].at_ms
            if attempt.begin_ms > server_changes[index - 1].at_ms + grace_ms:
                why = f"sent {since_ms:.0f} ms after the gateway was notified that {attempt.server} is draining or gone"
                yield Violation(RULE, attempt.request, why, [attempt.as_line()])


def _notices(run: RunLog) -> dict[str, list[Notice]]:
    """Returns the notices by gateway, in order of time."""
    notices: defaultdict[str, list[Notice]] = defaultdict(list)
    for line in run.by_kind["told"]:
        notices[line["gw"]].append(Notice(line["t"], line["states"]))
    for line in run.by_kind["gateway"]:
        if line["what"] == "start":
            notices[line["gw"]].append(Notice(line["t"], None))
    for gateway_notices in notices.values():
        gateway_notices.sort(key=lambda notice: notice.at_ms)
    return notices


def _add_changes(changes: Changes, gateway: str, notices: list[Notice]) -> None:
    """Adds when one gateway learned of each change of a server's readiness."""
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
        for server in known - set(notice.states):  # a server that the list omits is gone
            record(server, notice.at_ms, False)
        for server, (state, _) in notice.states.items():
            record(server, notice.at_ms, state == READY)
        known |= set(notice.states)
