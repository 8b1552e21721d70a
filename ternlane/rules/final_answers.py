"""Rule 1: each request has one final answer before its deadline, and nothing after it.

Excused are clients that left, and what a killed gateway held, or never accepted because it was down.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator

from ternlane.rules.findings import LogLine, Violation
from ternlane.rules.limits import RuleLimits
from ternlane.rules.run_log import RunLog

RULE = 1
FINAL_OUTCOMES = ("streamed", "throttled", "terminated")
# The client saw no answer because it left, or because nothing listened.
EXCUSED_OUTCOMES = ("left", "unreachable")


def judge_final_answers(run: RunLog, limits: RuleLimits, counts: Counter[str]) -> Iterator[Violation]:
    """Judges each request that a client sent."""
    finals = run.of_requests("final")
    first_tokens = {line["gen"]: line for line in run.by_kind["first"]}
    for ask in run.by_kind["ask"]:
        request = ask["gen"]
        counts["asked"] += 1
        if len(finals[request]) != 1:
            yield Violation(RULE, request, f"{len(finals[request])} endings were seen", [ask, *finals[request]])
            continue
        final = finals[request][0]
        if final["outcome"] not in EXCUSED_OUTCOMES:
            yield from _judge_final(run, ask, first_tokens.get(request), final, counts)


def _judge_final(
    run: RunLog, ask: LogLine, first_token: LogLine | None, final: LogLine, counts: Counter[str]
) -> Iterator[Violation]:
    request = ask["gen"]
    if final["unread"]:
        yield Violation(RULE, request, "something came after the final answer", [ask, final])
    if final["outcome"] not in FINAL_OUTCOMES:
        if not run.gateway_was_down(run.gateway_of(ask), ask["t"], final["t"]):
            yield Violation(RULE, request, f"no final answer: {final['outcome']}", [ask, final])
        return
    counts["answered"] += 1
    answer = first_token or final
    # Both times are by the client's own clock, so there is nothing to tolerate.
    late_ms = answer["t"] - ask["t"] - ask["limit_ms"]
    if late_ms > 0:
        yield Violation(RULE, request, "answered after the client's time", [ask, answer, final])
