"""Rule 5: state left by a prefill is taken or released in time whenever its request has no attempt in progress.

Exceptions: state held by a killed gateway, and servers that died. A connection attempt is not visible to any server, so
the connect time-out is allowed in addition.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterator

from ternlane.rules.findings import LogLine, Violation
from ternlane.rules.limits import CLOCK_TOLERANCE_MS, RuleLimits
from ternlane.rules.run_log import LoggedAttempt, RunLog

RULE = 5
# A zone cut this long before the state was left may still keep its release from arriving.
ZONE_CUT_EXCUSES_MS = 20e3


def check_held_state(run: RunLog, limits: RuleLimits, counts: Counter[str]) -> Iterator[Violation]:
    """Checks each state that a server held."""
    ends_ms: defaultdict[tuple[str, str], list[float]] = defaultdict(list)  # by server and request
    for kind in ("taken", "released", "lost"):
        for line in run.by_kind[kind]:
            ends_ms[line["id"], line["gen"]].append(line["t"])
    allowed_ms = limits["release_ms"] + limits["connect_ms"] + CLOCK_TOLERANCE_MS
    zone_cuts_ms = [line["t"] for line in run.by_kind["trouble"] if line["trouble"] == "zone_cut"]
    for state in run.by_kind["state"]:
        counts["states"] += 1
        begin_ms = state["t"]
        end_ms = min(
            (at_ms for at_ms in ends_ms[state["id"], state["gen"]] if at_ms >= begin_ms),
            default=run.next_stop_ms(state["id"], begin_ms),
        )
        attempts = run.attempts.get(state["gen"], [])
        idle_ms = _longest_idle_ms(attempts, begin_ms, end_ms)
        if idle_ms <= allowed_ms or _excused(run, attempts, zone_cuts_ms, begin_ms, end_ms):
            continue
        yield _violation(state, attempts, idle_ms)


def _longest_idle_ms(attempts: list[LoggedAttempt], begin_ms: float, end_ms: float) -> float:
    """Returns the longest time between begin and end without an attempt in progress."""
    idle_ms = 0.0
    since_ms = begin_ms
    for attempt in attempts:
        if attempt.begin_ms >= end_ms:
            break
        idle_ms = max(idle_ms, attempt.begin_ms - since_ms)
        since_ms = max(since_ms, attempt.end_ms)
    return max(idle_ms, end_ms - since_ms)


def _excused(
    run: RunLog, attempts: list[LoggedAttempt], zone_cuts_ms: list[float], begin_ms: float, end_ms: float
) -> bool:
    gateway = attempts[0].gateway if attempts else None
    if run.gateway_was_down(gateway, begin_ms, end_ms):
        return True
    return any(begin_ms - ZONE_CUT_EXCUSES_MS <= cut_ms <= end_ms for cut_ms in zone_cuts_ms)


def _violation(state: LogLine, attempts: list[LoggedAttempt], idle_ms: float) -> Violation:
    why = f"held at {state['id']} for {idle_ms:.0f} ms without an attempt in progress"
    return Violation(RULE, state["gen"], why, [state, *(attempt.as_line() for attempt in attempts)])
