"""Load configuration (JSON5): request classes, multi-turn sessions, shared prefixes, lengths, tenants."""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from ternlane.document_keys import document_key

Positive = Annotated[float, Meta(gt=0)]
Fraction = Annotated[float, Meta(ge=0, le=1)]
Spread = tuple[Positive, float]  # median, and the spread relative to it


class ArrivalsConfig(msgspec.Struct, forbid_unknown_fields=True, frozen=True, rename=document_key):
    """Arrival process with a mean of `rate` sessions per second.

    Bursty: `times` the rate during the first `part` of each `period_s`. Diurnal: a sine of relative amplitude `swing`.
    Recorded: `recorded_s` replayed `faster` times as fast.
    """

    kind: Literal["poisson", "bursty", "diurnal", "recorded"] = "poisson"
    rate: Positive = 1.0
    times: Annotated[float, Meta(ge=1)] = 4.0
    part: Annotated[float, Meta(gt=0, lt=1)] = 0.1
    swing: Fraction = 0.5
    period_s: Positive = 60.0
    recorded_s: list[float] = []
    faster: Positive = 1.0


class RequestClassLoad(msgspec.Struct, forbid_unknown_fields=True, frozen=True, rename=document_key):
    """Requests of one request class. Prompt lengths are in words, response lengths in tokens."""

    model: str
    share: Positive = 1.0
    turns: Annotated[float, Meta(ge=1)] = 1.0
    think_s: Positive = 2.0
    prompt_words: Spread = (60.0, 0.6)
    answer_tokens: Spread = (80.0, 0.5)
    prefixes: Annotated[int, Meta(ge=0)] = 0
    prefix_words: Annotated[int, Meta(ge=1)] = 200
    zipf: Annotated[float, Meta(ge=0)] = 1.0  # the n-th prefix is used 1 / n ** zipf times as often as the first
    stream: bool = True


class LoadConfig(msgspec.Struct, forbid_unknown_fields=True, frozen=True, rename=document_key):
    """A complete load.

    `at_once`: number of closed-loop clients, each of which sends its next request after the previous response; 0
    selects an open loop with the times of `arrivals`. `late_ms`: limit on the 99th percentile of the generator's own
    send delay. `wait_s`: response timeout. `tenants`: API keys with their weights.
    """

    request_classes: Annotated[list[RequestClassLoad], Meta(min_length=1)]
    seconds: Positive = 10.0
    arrivals: ArrivalsConfig = ArrivalsConfig()
    at_once: Annotated[int, Meta(ge=0)] = 0
    tenants: dict[str, Positive] = {}
    seed: int = 1
    late_ms: Positive = 20.0
    wait_s: Positive = 60.0
