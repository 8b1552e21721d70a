"""Rule 6: a client receives what servers produced, in order and once, over any number of attempts.

Checked by the servers' own lines, which record where they continued and what they produced. A complete answer must
equal that of an unbroken attempt. Answers from a gateway's idempotency cache have no attempt and are not checked.
"""

from __future__ import annotations

import zlib
from collections import Counter
from collections.abc import Iterator

from ternlane.rules.final_answers import FINAL_OUTCOMES
from ternlane.rules.findings import LogLine, Violation
from ternlane.rules.limits import RuleLimits
from ternlane.rules.run_log import RunLog

RULE = 6


def check_stream_text(run: RunLog, limits: RuleLimits, counts: Counter[str]) -> Iterator[Violation]:
    """Checks each final answer to which attempts contributed text."""
    produced = run.by_request("said")
    for final in run.by_kind["final"]:
        attempts = sorted(produced[final["gen"]], key=lambda line: line["n"])
        if not attempts or final["outcome"] not in FINAL_OUTCOMES:
            continue
        counts["texts"] += 1
        counts["texts of several legs"] += len(attempts) > 1
        for why in (_wrong_continuation(attempts), _wrong_text(final, attempts)):
            if why:
                yield Violation(RULE, final["gen"], why, [final, *attempts])


def _text_so_far(attempt: LogLine) -> str:
    """Returns all text that the client has at the end of this attempt."""
    return str(attempt["after"] + attempt["text"])


def _wrong_continuation(attempts: list[LogLine]) -> str:
    for index, attempt in enumerate(attempts):
        earlier = attempts[:index]
        if attempt["after"] and not any(_text_so_far(other).startswith(attempt["after"]) for other in earlier):
            return "an attempt continued from text that no server had produced"
    return ""


def _wrong_text(final: LogLine, attempts: list[LogLine]) -> str:
    text = final.get("text", "")
    if final["outcome"] != "streamed":
        produced = any(_text_so_far(attempt).startswith(text) for attempt in attempts)
        return "" if produced else "partial text that no server produced"
    if text != _text_so_far(attempts[-1]):
        return "the text differs from what the servers produced"
    if zlib.crc32(text.encode()) != attempts[0]["whole"]:
        return "the text differs from that of an unbroken attempt"
    return ""
