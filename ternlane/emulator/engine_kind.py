"""Descriptions of kinds of engines: capacity and points of the latency curve (JSON5)."""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from ternlane.document_keys import document_key

Positive = Annotated[float, Meta(gt=0)]
Count = Annotated[int, Meta(ge=1)]


class CurvePoint(msgspec.Struct, forbid_unknown_fields=True, frozen=True, rename=document_key):
    """Latencies with `at_once` concurrent sequences, each with `prompt` prompt tokens and `answer` answer tokens.

    Time to first token and between tokens in milliseconds, each as median and 99th percentile. `held_out`: the point is
    not used by the fit, but to validate it.
    """

    at_once: Count
    prompt: Count
    answer: Count
    first_ms: tuple[Positive, Positive]
    between_ms: tuple[Positive, Positive]
    held_out: bool = False


class EngineKind(msgspec.Struct, forbid_unknown_fields=True, frozen=True, rename=document_key):
    """A kind of engine. `memory_tokens`: capacity for state; `step_tokens`: token limit of a step."""

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
