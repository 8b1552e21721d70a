"""Rule 1: each request has exactly one final answer before its deadline, and nothing after it.

Exceptions: clients that disconnected, and requests that were open at a killed gateway or arrived while it was down.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator

from ternlane.rules.findings import LogLine, Violation
from ternlane.rules.limits import RuleLimits
from ternlane.rules.run_log import RunLog

RULE = 1
FINAL_OUTCOMES = ("streamed", "throttled", "terminated")
# The client saw no answer because it disconnected, or because no process was listening.
EXCUSED_OUTCOMES = ("left", "unreachable")


def check_final_answers(run: RunLog, limits: RuleLimits, counts: Counter[str]) -> Iterator[Violation]:
    """Checks each request that a client sent."""
    finals = run.by_request("final")
    first_tokens = {line["gen"]: line for line in run.by_kind["first"]}
    for request_line in run.by_kind["ask"]:
        request = request_line["gen"]
        counts["asked"] += 1
        if len(finals[request]) != 1:
            yield Violation(
                RULE,
                request,
                f"{len(finals[request])} final outcomes recorded instead of one",
                [request_line, *finals[request]],
            )
            continue
        final = finals[request][0]
        if final["outcome"] not in EXCUSED_OUTCOMES:
            yield from _check_final(run, request_line, first_tokens.get(request), final, counts)


def _check_final(
    run: RunLog, request_line: LogLine, first_token: LogLine | None, final: LogLine, counts: Counter[str]
) -> Iterator[Violation]:
    request = request_line["gen"]
    if final["unread"]:
        yield Violation(RULE, request, "data received after the final answer", [request_line, final])
    if final["outcome"] not in FINAL_OUTCOMES:
        if not run.gateway_was_down(run.gateway_of(request_line), request_line["t"], final["t"]):
            yield Violation(RULE, request, f"no final answer: {final['outcome']}", [request_line, final])
        return
    counts["answered"] += 1
    answer = first_token or final
    # Both times are from the client's own clock, so no tolerance is needed.
    late_ms = answer["t"] - request_line["t"] - request_line["limit_ms"]
    if late_ms > 0:
        yield Violation(RULE, request, "answered after the client's deadline", [request_line, answer, final])
