"""Short descriptions of a kind of engine: its size, and points of its latency curve as it was measured (JSON5)."""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from ternlane.document_keys import document_key

Positive = Annotated[float, Meta(gt=0)]
Count = Annotated[int, Meta(ge=1)]


class CurvePoint(msgspec.Struct, forbid_unknown_fields=True, frozen=True, rename=document_key):
    """Latencies while `at_once` sequences run at every moment, each of `prompt` tokens and an answer of `answer`.

    Milliseconds to the first token, and between tokens, each at the median and the 99th percentile. `held_out`: not for
    the fit.
    """

    at_once: Count
    prompt: Count
    answer: Count
    first_ms: tuple[Positive, Positive]
    between_ms: tuple[Positive, Positive]
    held_out: bool = False


class EngineKind(msgspec.Struct, forbid_unknown_fields=True, frozen=True, rename=document_key):
    """A kind of engine. `memory_tokens`: of prefilled state; `step_tokens`: that a step may prefill and decode."""

    name: str
    memory_tokens: Count
    slots: Count
    step_tokens: Count
    curve: Annotated[list[CurvePoint], Meta(min_length=1)]
    block_tokens: Count = 16
    queue: Count = 100
    slow_start_ms: float = 10e3
    slow_start_share: Annotated[float, Meta(gt=0, le=1)] = 0.3
    evicts: Literal["lru", "clock"] = "lru"
