"""Which broken streams may go on, and how. One table; docs/streams.md gives the reasons."""

from __future__ import annotations

from enum import Enum, auto
from typing import Any

from ternlane.policy.messages import Effect

GUIDED = ("guided_json", "guided_regex", "guided_choice", "guided_grammar", "structured_outputs")


class ResumeStrategy(Enum):
    """GO_ON: the prompt with what the client has, continued from there. REPLAY: the same request again; what the client
    has is compared and skipped. END: the client is told that the stream broke."""

    GO_ON = auto()
    REPLAY = auto()
    END = auto()


def way_of(raw: dict[str, Any], effect: Effect, continues: bool = True) -> tuple[ResumeStrategy, str]:
    """The way for a request, and why it is not GO_ON. `continues`: engines can go on with a text.

    A text can be continued where nothing but the text is carried on. Where more is (a grammar's state, an open tool
    call, the draws of a seed), only a whole new run joins on, and only if it must come out the same.
    """
    if effect is Effect.SIDE_EFFECTING:
        return ResumeStrategy.END, "it may have run, and must not run twice"
    if effect is Effect.DEDUPLICATED:
        return ResumeStrategy.REPLAY, "engines drop its repeats by the request itself"
    if raw.get("n") not in (None, 1):
        return ResumeStrategy.END, "several answers at once can't be joined"
    carried = beyond_text(raw) if continues else "engines can't go on with a text"
    if not carried:
        return ResumeStrategy.GO_ON, ""
    if raw.get("temperature") == 0 or raw.get("seed") is not None:
        return ResumeStrategy.REPLAY, carried
    return ResumeStrategy.END, f"{carried}, and another run would not come out the same"


def comes_out_the_same(raw: dict[str, Any], effect: Effect) -> bool:
    """May a whole new run stand for one that was lost, whose text is not known here?"""
    fixed = raw.get("temperature") == 0 or raw.get("seed") is not None
    return effect is Effect.IDEMPOTENT and fixed and not raw.get("tools") and not raw.get("logprobs")


def beyond_text(raw: dict[str, Any]) -> str:
    """What an answer carries on besides its text; empty if nothing."""
    form = raw.get("response_format")
    if isinstance(form, dict) and form.get("type") not in (None, "text") or any(raw.get(k) for k in GUIDED):
        return "a grammar is in force, and its state is lost"
    if raw.get("tools") or raw.get("functions"):
        return "it may break within a tool call"
    if raw.get("logprobs"):
        return "probabilities of a continued text are those of another reading"
    if raw.get("seed") is not None and raw.get("temperature") != 0:
        return "the draws of a seed begin anew"
    return ""
