"""Rule 2: no effect happens twice, over all retries of a client.

After an attempt that may have run, a gateway may do only what the request's effect allows. A decode server's refusal
proves that nothing ran. And no request ever has two attempts at once.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterator
from itertools import pairwise

from ternlane.rules.findings import LogLine, Violation
from ternlane.rules.limits import CLOCK_TOLERANCE_MS, RequestClassLimits, RuleLimits
from ternlane.rules.run_log import LoggedAttempt, RunLog

RULE = 2


def judge_effects(run: RunLog, limits: RuleLimits, counts: Counter[str]) -> Iterator[Violation]:
    """Judges each request that is not idempotent."""
    effects: defaultdict[str, list[LogLine]] = defaultdict(list)  # by the client's task, over its retries
    for line in run.by_kind["effect"]:
        effects[line["gen"].rpartition(".")[0]].append(line)
    servers = {line["id"]: line for line in run.by_kind["up"]}
    finals = {line["gen"]: line for line in run.by_kind["final"]}
    for ask in run.by_kind["ask"]:
        if ask["effect"] == "idempotent":
            continue
        counts["with effects"] += 1
        yield from _judge_repeated_effect(ask, effects[ask["task"]])
        request_class = limits["products"][ask["product"]]
        attempts = run.attempts.get(ask["gen"], [])
        yield from _judge_request(ask, request_class, attempts, servers, finals.get(ask["gen"]))


def _judge_repeated_effect(ask: LogLine, effects: list[LogLine]) -> Iterator[Violation]:
    """Reported once a task, at the request that had the first effect."""
    if ask["effect"] == "side-effecting" and len(effects) > 1 and ask["gen"] == effects[0]["gen"]:
        yield Violation(RULE, ask["gen"], f"the effect happened {len(effects)} times", effects)


def _judge_request(
    ask: LogLine,
    request_class: RequestClassLimits,
    attempts: list[LoggedAttempt],
    servers: dict[str, LogLine],
    final: LogLine | None,
) -> Iterator[Violation]:
    may_have_run: LoggedAttempt | None = None
    for attempt in attempts:
        if may_have_run is not None:
            why = _forbidden_repeat(ask["effect"], request_class, may_have_run, attempt, servers)
            if why:
                yield Violation(RULE, ask["gen"], why, [may_have_run.as_line(), attempt.as_line()])
        elif attempt.stage != "read" and not attempt.how.startswith("refused"):
            may_have_run = attempt
    if may_have_run is None or final is None or final["outcome"] != "throttled":
        return
    # A client may repeat what was rejected; only servers that all drop repeats for each other make that harmless.
    if ask["effect"] != "deduplicated" or request_class["group"] != "all":
        lines = [may_have_run.as_line(), final]
        yield Violation(RULE, ask["gen"], "throttled although a leg may have run", lines)


def _forbidden_repeat(
    effect: str,
    request_class: RequestClassLimits,
    earlier: LoggedAttempt,
    attempt: LoggedAttempt,
    servers: dict[str, LogLine],
) -> str:
    """Why this attempt was not allowed after one that may have run; empty where it was."""
    if effect == "side-effecting":
        return "a further leg although an earlier one may have run"
    if attempt.stage == "read":
        return ""
    group = request_class["group"]
    if group != "all" and servers[earlier.server][group] != servers[attempt.server][group]:
        return "repeated outside the group that drops repeats"
    if attempt.begin_ms > earlier.begin_ms + request_class["window_ms"] + CLOCK_TOLERANCE_MS:
        return "repeated after the group had forgotten"
    return ""


def judge_single_attempt(run: RunLog, limits: RuleLimits, counts: Counter[str]) -> Iterator[Violation]:
    """Judges that no request has two attempts at once."""
    for request, attempts in run.attempts.items():
        counts["legs"] += len(attempts)
        for earlier, later in pairwise(attempts):
            # The end of an unfinished attempt is only an estimate: when its server's process ended.
            if later.begin_ms < earlier.end_ms - CLOCK_TOLERANCE_MS and earlier.how != "unfinished":
                yield Violation(RULE, request, "two legs at once", [earlier.as_line(), later.as_line()])
