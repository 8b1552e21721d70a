"""What a load is made of (JSON5): products, sessions with turns, shared openings, lengths, tenants. Free of I/O."""

from __future__ import annotations

import random
from bisect import bisect
from collections.abc import Iterator
from dataclasses import dataclass, field
from itertools import accumulate
from math import log, sqrt
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta

from ternlane.document_keys import document_key

from ternlane.load.arrivals import Bursty, Diurnal, poisson, recorded, thinned

Positive = Annotated[float, Meta(gt=0)]
Part = Annotated[float, Meta(ge=0, le=1)]
WORDS = ("folder", "plan", "wall", "stair", "deed", "permit", "north", "cubic", "survey", "line")


class Arrivals(msgspec.Struct, forbid_unknown_fields=True, frozen=True, rename=document_key):
    """`rate` a second on the mean. Bursty: `times` of it for the first `part` of each `period_s`; diurnal: `swing`."""

    kind: Literal["poisson", "bursty", "diurnal", "recorded"] = "poisson"
    rate: Positive = 1.0
    times: Annotated[float, Meta(ge=1)] = 4.0
    part: Annotated[float, Meta(gt=0, lt=1)] = 0.1
    swing: Part = 0.5
    period_s: Positive = 60.0
    recorded_s: list[float] = []
    faster: Positive = 1.0


class Mix(msgspec.Struct, forbid_unknown_fields=True, frozen=True, rename=document_key):
    """One product's requests. Words of the prompt and tokens of the answer: median, and spread as a part of it."""

    model: str
    share: Positive = 1.0
    turns: Annotated[float, Meta(ge=1)] = 1.0
    think_s: Positive = 2.0
    prompt_words: tuple[Positive, float] = (60.0, 0.6)
    answer_tokens: tuple[Positive, float] = (80.0, 0.5)
    prefixes: Annotated[int, Meta(ge=0)] = 0
    prefix_words: Annotated[int, Meta(ge=1)] = 200
    zipf: Annotated[float, Meta(ge=0)] = 1.0
    stream: bool = True


class LoadConfig(msgspec.Struct, forbid_unknown_fields=True, frozen=True, rename=document_key):
    """`at_once`: that many clients, each asking anew when answered (closed loop); else requests come by `arrivals`,
    whatever the answers do. `late_ms`: by how much the tool itself may be late for one request in a hundred. `tenants`:
    keys, and the weight of each."""

    request_classes: Annotated[list[Mix], Meta(min_length=1)]
    seconds: Positive = 10.0
    arrivals: Arrivals = Arrivals()
    at_once: Annotated[int, Meta(ge=0)] = 0
    tenants: dict[str, Positive] = {}
    seed: int = 1
    late_ms: Positive = 20.0
    wait_s: Positive = 60.0


@dataclass(slots=True)
class Ask:
    """A request that is due `at_s` after the start. `then`: a later turn of the same session, due `think_s` after its
    answer."""

    at_s: float
    mix: Mix
    messages: list[dict[str, str]]
    max_tokens: int
    key: str = ""
    turns_left: int = 0
    more: list[str] = field(default_factory=list)  # what the later turns say

    def body(self) -> dict[str, Any]:
        return {
            "model": self.mix.model,
            "messages": self.messages,
            "stream": self.mix.stream,
            "max_tokens": self.max_tokens,
        }


def times_of(config: LoadConfig, rng: random.Random) -> Iterator[float]:
    """When requests are due, seconds from the start, up to the end of the load."""
    a = config.arrivals
    if a.kind == "recorded":
        times = recorded(a.recorded_s, a.faster)
    elif a.kind == "bursty":
        bursty = Bursty(a.rate, a.times, a.part, a.period_s)
        times = thinned(rng, max(bursty.high, bursty.low), bursty)
    elif a.kind == "diurnal":
        times = thinned(rng, a.rate * (1 + a.swing), Diurnal(a.rate, a.swing, a.period_s))
    else:
        times = poisson(rng, a.rate)
    for at in times:
        if at >= config.seconds:
            return
        yield at


def drawn(rng: random.Random, told: tuple[float, float]) -> int:
    """Log-normal about the median."""
    spread = sqrt(log(1 + told[1] ** 2))
    return max(1, round(told[0] * rng.lognormvariate(0.0, spread))) if spread else max(1, round(told[0]))


def words(rng: random.Random, many: int) -> str:
    return " ".join(rng.choice(WORDS) + str(rng.randrange(1000)) for _ in range(many))


class Drawer:
    """Draws sessions; the same seed gives the same ones, whatever the answers do."""

    def __init__(self, config: LoadConfig, rng: random.Random) -> None:
        self.config, self.rng = config, rng
        self.shares = list(accumulate(m.share for m in config.request_classes))
        self.zipf = [list(accumulate(1 / (i + 1) ** m.zipf for i in range(m.prefixes))) for m in config.request_classes]
        self.tenants = list(accumulate(config.tenants.values()))

    def ask(self, at_s: float) -> Ask:
        rng = self.rng
        at = bisect(self.shares, rng.random() * self.shares[-1])
        mix = self.config.request_classes[min(at, len(self.shares) - 1)]
        messages: list[dict[str, str]] = []
        if mix.prefixes:
            sums = self.zipf[self.config.request_classes.index(mix)]
            which = bisect(sums, rng.random() * sums[-1])
            own = random.Random(f"{self.config.seed} {mix.model} {which}")
            messages.append({"role": "system", "content": words(own, mix.prefix_words)})
        turns = 1
        while rng.random() < 1 - 1 / mix.turns:
            turns += 1
        said = [words(rng, drawn(rng, mix.prompt_words)) for _ in range(turns)]
        key = ""
        if self.tenants:
            at = bisect(self.tenants, rng.random() * self.tenants[-1])
            key = list(self.config.tenants)[min(at, len(self.tenants) - 1)]
        return Ask(
            at_s,
            mix,
            [*messages, {"role": "user", "content": said[0]}],
            drawn(rng, mix.answer_tokens),
            key,
            turns - 1,
            said[1:],
        )


def asks(config: LoadConfig) -> Iterator[Ask]:
    """The first turns of an open loop's sessions, in order of time."""
    rng = random.Random(f"{config.seed} when")
    drawer = Drawer(config, random.Random(f"{config.seed} what"))
    for at in times_of(config, rng):
        yield drawer.ask(at)
