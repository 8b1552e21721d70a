"""Which broken streams may be resumed, and how. One table; docs/recovery.md gives the reasons."""

from __future__ import annotations

from enum import Enum, auto
from typing import Any, NamedTuple

from ternlane.policy.messages import Effect

GUIDED_DECODING_FIELDS = ("guided_json", "guided_regex", "guided_choice", "guided_grammar", "structured_outputs")


class ResumeStrategy(Enum):
    """CONTINUE: the prompt with what the client has, continued from there. REPLAY: the same request again; what the
    client has is compared and skipped. END: the client is told that the stream broke."""

    CONTINUE = auto()
    REPLAY = auto()
    END = auto()


class ResumeDecision(NamedTuple):
    """How a request's stream may be resumed, and why not by CONTINUE."""

    strategy: ResumeStrategy
    reason: str


def choose_resume_strategy(raw: dict[str, Any], effect: Effect, continues: bool = True) -> ResumeDecision:
    """The strategy for a request body. `continues`: engines can go on with a text.

    A text can be continued where nothing but the text is carried on. Where more is (a grammar's state, an open tool
    call, the draws of a seed), only a whole new run joins on, and only if it must come out the same.
    """
    if effect is Effect.SIDE_EFFECTING:
        return ResumeDecision(ResumeStrategy.END, "it may have run, and must not run twice")
    if effect is Effect.DEDUPLICATED:
        return ResumeDecision(ResumeStrategy.REPLAY, "engines drop its repeats by the request itself")
    if raw.get("n") not in (None, 1):
        return ResumeDecision(ResumeStrategy.END, "several answers at once can't be joined")
    obstacle = state_besides_text(raw) if continues else "engines can't go on with a text"
    if not obstacle:
        return ResumeDecision(ResumeStrategy.CONTINUE, "")
    if has_fixed_outcome(raw):
        return ResumeDecision(ResumeStrategy.REPLAY, obstacle)
    return ResumeDecision(ResumeStrategy.END, f"{obstacle}, and another run would not come out the same")


def has_fixed_outcome(raw: dict[str, Any]) -> bool:
    """Does sampling give the same text in each run?"""
    return raw.get("temperature") == 0 or raw.get("seed") is not None


def is_reproducible(raw: dict[str, Any], effect: Effect) -> bool:
    """May a whole new run stand for one that was lost, whose text is not known here?"""
    plain_text = not raw.get("tools") and not raw.get("logprobs")
    return effect is Effect.IDEMPOTENT and has_fixed_outcome(raw) and plain_text


def state_besides_text(raw: dict[str, Any]) -> str:
    """What an answer carries on besides its text; empty if nothing."""
    response_format = raw.get("response_format")
    has_format = isinstance(response_format, dict) and response_format.get("type") not in (None, "text")
    if has_format or any(raw.get(name) for name in GUIDED_DECODING_FIELDS):
        return "a grammar is in force, and its state is lost"
    if raw.get("tools") or raw.get("functions"):
        return "it may break within a tool call"
    if raw.get("logprobs"):
        return "probabilities of a continued text are those of another reading"
    if raw.get("seed") is not None and raw.get("temperature") != 0:
        return "the draws of a seed begin anew"
    return ""
