"""The document of a load (JSON5): request classes, sessions with turns, shared prefixes, lengths, tenants."""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from ternlane.document_keys import document_key

Positive = Annotated[float, Meta(gt=0)]
Fraction = Annotated[float, Meta(ge=0, le=1)]
Spread = tuple[Positive, float]  # median, and the spread as a part of it


class ArrivalsConfig(msgspec.Struct, forbid_unknown_fields=True, frozen=True, rename=document_key):
    """`rate` a second on the mean. Bursty: `times` of it for the first `part` of each `period_s`; diurnal: `swing`."""

    kind: Literal["poisson", "bursty", "diurnal", "recorded"] = "poisson"
    rate: Positive = 1.0
    times: Annotated[float, Meta(ge=1)] = 4.0
    part: Annotated[float, Meta(gt=0, lt=1)] = 0.1
    swing: Fraction = 0.5
    period_s: Positive = 60.0
    recorded_s: list[float] = []
    faster: Positive = 1.0


class RequestMix(msgspec.Struct, forbid_unknown_fields=True, frozen=True, rename=document_key):
    """The requests of one request class. Lengths are words of the prompt and tokens of the answer."""

    model: str
    share: Positive = 1.0
    turns: Annotated[float, Meta(ge=1)] = 1.0
    think_s: Positive = 2.0
    prompt_words: Spread = (60.0, 0.6)
    answer_tokens: Spread = (80.0, 0.5)
    prefixes: Annotated[int, Meta(ge=0)] = 0
    prefix_words: Annotated[int, Meta(ge=1)] = 200
    zipf: Annotated[float, Meta(ge=0)] = 1.0  # prefix number n is asked for 1 / n ** zipf as often as the first
    stream: bool = True


class LoadConfig(msgspec.Struct, forbid_unknown_fields=True, frozen=True, rename=document_key):
    """The whole document.

    `at_once`: that many clients, each sending its next request when it is answered (closed loop); 0: requests come by
    `arrivals`, whatever the answers do. `late_ms`: by how much the tool itself may be late for one request in a
    hundred. `wait_s`: for an answer. `tenants`: API keys, and the weight of each.
    """

    request_classes: Annotated[list[RequestMix], Meta(min_length=1)]
    seconds: Positive = 10.0
    arrivals: ArrivalsConfig = ArrivalsConfig()
    at_once: Annotated[int, Meta(ge=0)] = 0
    tenants: dict[str, Positive] = {}
    seed: int = 1
    late_ms: Positive = 20.0
    wait_s: Positive = 60.0
