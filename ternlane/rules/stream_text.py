"""Rule 6: a client is sent what servers produced, in order and once, over however many attempts.

Judged by the servers' own lines of where they continued and what they produced. A complete answer is the one that an
unbroken attempt would have given. Not judged are answers from a gateway's store, which had no attempt.
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


def judge_stream_text(run: RunLog, limits: RuleLimits, counts: Counter[str]) -> Iterator[Violation]:
    """Judges each final answer to which attempts contributed text."""
    produced = run.of_requests("said")
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
    """All that its client has once this attempt has ended."""
    return str(attempt["after"] + attempt["text"])


def _wrong_continuation(attempts: list[LogLine]) -> str:
    for index, attempt in enumerate(attempts):
        earlier = attempts[:index]
        if attempt["after"] and not any(_text_so_far(other).startswith(attempt["after"]) for other in earlier):
            return "a leg went on from what no engine had said"
    return ""


def _wrong_text(final: LogLine, attempts: list[LogLine]) -> str:
    text = final.get("text", "")
    if final["outcome"] != "streamed":
        produced = any(_text_so_far(attempt).startswith(text) for attempt in attempts)
        return "" if produced else "a part of a text that no engine said so"
    if text != _text_so_far(attempts[-1]):
        return "the text is not what the engines said"
    if zlib.crc32(text.encode()) != attempts[0]["whole"]:
        return "the text is not what an unbroken leg gives"
    return ""
