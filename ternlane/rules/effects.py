"""Rule 2 of the platform's rules: no effect happens twice, across all retries of a client.

After an attempt that may have run, a gateway may only do what the request's effect allows. A refusal by a decode server
proves that nothing ran. A request never has two attempts at once.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterator
from itertools import pairwise

from ternlane.rules.findings import LogLine, Violation
from ternlane.rules.limits import CLOCK_TOLERANCE_MS, RequestClassLimits, RuleLimits
from ternlane.rules.run_log import LoggedAttempt, RunLog

RULE = 2


def check_effects(run: RunLog, limits: RuleLimits, counts: Counter[str]) -> Iterator[Violation]:
    """Checks each request that is not idempotent."""
    effects: defaultdict[str, list[LogLine]] = defaultdict(list)  # by the client's task, across its retries
    for line in run.by_kind["effect"]:
        # "gen" is the task's id, a dot and the number of the retry.
        effects[line["gen"].rpartition(".")[0]].append(line)
    servers = {line["id"]: line for line in run.by_kind["up"]}
    finals = {line["gen"]: line for line in run.by_kind["final"]}
    for request_line in run.by_kind["ask"]:
        if request_line["effect"] == "idempotent":
            continue
        counts["with effects"] += 1
        yield from _check_repeated_effect(request_line, effects[request_line["task"]])
        request_class = limits["products"][request_line["product"]]
        attempts = run.attempts.get(request_line["gen"], [])
        yield from _check_request(request_line, request_class, attempts, servers, finals.get(request_line["gen"]))


def _check_repeated_effect(request_line: LogLine, effects: list[LogLine]) -> Iterator[Violation]:
    """Reports a repeated effect once per task, for the request that had the first effect."""
    if request_line["effect"] == "side-effecting" and len(effects) > 1 and request_line["gen"] == effects[0]["gen"]:
        yield Violation(RULE, request_line["gen"], f"the effect happened {len(effects)} times", effects)


def _check_request(
    request_line: LogLine,
    request_class: RequestClassLimits,
    attempts: list[LoggedAttempt],
    servers: dict[str, LogLine],
    final: LogLine | None,
) -> Iterator[Violation]:
    may_have_run: LoggedAttempt | None = None
    for attempt in attempts:
        if may_have_run is not None:
            why = _forbidden_repeat(request_line["effect"], request_class, may_have_run, attempt, servers)
            if why:
                yield Violation(RULE, request_line["gen"], why, [may_have_run.as_line(), attempt.as_line()])
        elif attempt.stage != "read" and not attempt.how.startswith("refused"):
            may_have_run = attempt
    if may_have_run is None or final is None or final["outcome"] != "throttled":
        return
    # A client may retry a rejected request, which is only harmless if all servers deduplicate it.
    if request_line["effect"] != "deduplicated" or request_class["group"] != "all":
        lines = [may_have_run.as_line(), final]
        yield Violation(RULE, request_line["gen"], "throttled although an attempt may have run", lines)


def _forbidden_repeat(
    effect: str,
    request_class: RequestClassLimits,
    earlier: LoggedAttempt,
    attempt: LoggedAttempt,
    servers: dict[str, LogLine],
) -> str:
    """Returns why this attempt was not allowed after one that may have run, or "" if it was."""
    if effect == "side-effecting":
        return "another attempt although an earlier one may have run"
    if attempt.stage == "read":
        return ""
    group = request_class["group"]
    if group != "all" and servers[earlier.server][group] != servers[attempt.server][group]:
        return "repeated outside the deduplication group"
    if attempt.begin_ms > earlier.begin_ms + request_class["window_ms"] + CLOCK_TOLERANCE_MS:
        return "repeated after the deduplication window"
    return ""


def check_single_attempt(run: RunLog, limits: RuleLimits, counts: Counter[str]) -> Iterator[Violation]:
    """Checks that no request has two attempts at once."""
    for request, attempts in run.attempts.items():  # attempts are in the order of their start
        counts["legs"] += len(attempts)
        for earlier, later in pairwise(attempts):
            # The end of an unfinished attempt is only an estimate: when its server's process ended.
            if later.begin_ms < earlier.end_ms - CLOCK_TOLERANCE_MS and earlier.how != "unfinished":
                yield Violation(RULE, request, "two attempts at once", [earlier.as_line(), later.as_line()])
