"""Decides which broken streams may be resumed, and how; docs/recovery.md gives the reasons."""

from __future__ import annotations

from enum import Enum, auto
from typing import Any, NamedTuple

from ternlane.policy.messages import Effect

GUIDED_DECODING_FIELDS = ("guided_json", "guided_regex", "guided_choice", "guided_grammar", "structured_outputs")


class ResumeStrategy(Enum):
    """CONTINUE sends the prompt with the text that the client has, to be continued from there. REPLAY sends the same
    request again; the text that the client has is compared and skipped. END ends the stream with an error."""

    CONTINUE = auto()
    REPLAY = auto()
    END = auto()


class ResumeDecision(NamedTuple):
    """How a request's stream may be resumed, and why not by CONTINUE; the reason can reach the client."""

    strategy: ResumeStrategy
    reason: str


def choose_resume_strategy(raw: dict[str, Any], effect: Effect, continues: bool = True) -> ResumeDecision:
    """The strategy for a request body. `continues`: engines can continue a partial answer.

    An answer can be continued if its text is all the state that generation depends on. If there is more (the state of a
    grammar, an open tool call, the random sequence of a seed), only a complete rerun can be joined, and only if it is
    certain to produce the same text.
    """
    if effect is Effect.SIDE_EFFECTING:
        return ResumeDecision(ResumeStrategy.END, "it may have run, and must not run twice")
    if effect is Effect.DEDUPLICATED:
        return ResumeDecision(ResumeStrategy.REPLAY, "engines drop its repeats by the request itself")
    if raw.get("n") not in (None, 1):
        return ResumeDecision(ResumeStrategy.END, "several answers at once can't be joined")
    obstacle = non_text_state(raw) if continues else "engines can't go on with a text"
    if not obstacle:
        return ResumeDecision(ResumeStrategy.CONTINUE, "")
    if is_deterministic(raw):
        return ResumeDecision(ResumeStrategy.REPLAY, obstacle)
    return ResumeDecision(ResumeStrategy.END, f"{obstacle}, and another run would not come out the same")


def is_deterministic(raw: dict[str, Any]) -> bool:
    """Whether sampling produces the same text in every run."""
    return raw.get("temperature") == 0 or raw.get("seed") is not None


def is_reproducible(raw: dict[str, Any], effect: Effect) -> bool:
    """Whether a rerun may replace a lost run whose text this gateway does not know."""
    plain_text = not raw.get("tools") and not raw.get("logprobs")
    return effect is Effect.IDEMPOTENT and is_deterministic(raw) and plain_text


def non_text_state(raw: dict[str, Any]) -> str:
    """Which state generation depends on besides the text of the answer; empty if none."""
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
