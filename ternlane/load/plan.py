"""Draws requests and their times. The same seed gives the same requests, independent of responses. Performs no I/O."""

from __future__ import annotations

import random
from bisect import bisect
from collections.abc import Iterator
from dataclasses import dataclass, field
from itertools import accumulate
from math import log, sqrt
from typing import Any

from ternlane.load.arrivals import Bursty, Diurnal, poisson, recorded, thinned
from ternlane.load.load_config import LoadConfig, RequestClassLoad, Spread

WORDS = ("folder", "plan", "wall", "stair", "deed", "permit", "north", "cubic", "survey", "line")


@dataclass(slots=True)
class PlannedRequest:
    """A request scheduled `at_s` seconds after the start."""

    at_s: float
    request_class: RequestClassLoad
    messages: list[dict[str, str]]
    max_tokens: int
    api_key: str = ""
    turns_left: int = 0
    later_turns: list[str] = field(default_factory=list)  # user messages of the following turns

    def body(self) -> dict[str, Any]:
        """Returns the body of the chat request."""
        return {
            "model": self.request_class.model,
            "messages": self.messages,
            "stream": self.request_class.stream,
            "max_tokens": self.max_tokens,
        }

    def next_turn(self, answer: str, at_s: float) -> PlannedRequest:
        """Returns the session's next request, with `answer` in its history. Requires `turns_left` above 0."""
        user_message = {"role": "user", "content": self.later_turns[0]}
        return PlannedRequest(
            at_s=at_s,
            request_class=self.request_class,
            messages=[*self.messages, {"role": "assistant", "content": answer}, user_message],
            max_tokens=self.max_tokens,
            api_key=self.api_key,
            turns_left=self.turns_left - 1,
            later_turns=self.later_turns[1:],
        )


def arrival_times(config: LoadConfig, rng: random.Random) -> Iterator[float]:
    """Yields the start times of sessions, in seconds since the start, up to the configured duration."""
    for at_s in _endless_times(config, rng):
        if at_s >= config.seconds:
            return
        yield at_s


def _endless_times(config: LoadConfig, rng: random.Random) -> Iterator[float]:
    arrivals = config.arrivals
    match arrivals.kind:
        case "recorded":
            return recorded(arrivals.recorded_s, arrivals.faster)
        case "bursty":
            bursty = Bursty(arrivals.rate, arrivals.times, arrivals.part, arrivals.period_s)
            return thinned(rng, max(bursty.high, bursty.low), bursty)
        case "diurnal":
            diurnal = Diurnal(arrivals.rate, arrivals.swing, arrivals.period_s)
            return thinned(rng, arrivals.rate * (1 + arrivals.swing), diurnal)
        case "poisson":
            return poisson(rng, arrivals.rate)


def planned_requests(config: LoadConfig) -> Iterator[PlannedRequest]:
    """Yields the first request of each open-loop session in order of time."""
    times_rng = random.Random(f"{config.seed} when")
    source = SessionSource(config, random.Random(f"{config.seed} what"))
    for at_s in arrival_times(config, times_rng):
        yield source.next(at_s)


def _drawn_length(rng: random.Random, spread: Spread) -> int:
    """Draws a log-normal length with the given median, at least 1."""
    median, relative_spread = spread
    sigma = sqrt(log(1 + relative_spread**2))
    if not sigma:
        return max(1, round(median))
    return max(1, round(median * rng.lognormvariate(0.0, sigma)))


def _random_words(rng: random.Random, count: int) -> str:
    return " ".join(rng.choice(WORDS) + str(rng.randrange(1000)) for _ in range(count))


def _drawn_index(rng: random.Random, sums: list[float]) -> int:
    """Draws an index by weight; `sums` are the cumulative weights."""
    return bisect(sums, rng.random() * sums[-1])


class SessionSource:
    """Draws new sessions."""

    def __init__(self, config: LoadConfig, rng: random.Random) -> None:
        """`rng` draws everything except prefix texts, which depend only on the seed, model and prefix number."""
        self.config = config
        self.rng = rng
        self._class_sums = list(accumulate(request_class.share for request_class in config.request_classes))
        self._prefix_sums = [
            list(accumulate(1 / (rank + 1) ** request_class.zipf for rank in range(request_class.prefixes)))
            for request_class in config.request_classes
        ]
        self._tenant_sums = list(accumulate(config.tenants.values()))

    def next(self, at_s: float) -> PlannedRequest:
        """Draws a session and returns its first request, due at `at_s`."""
        rng = self.rng
        class_index = min(_drawn_index(rng, self._class_sums), len(self._class_sums) - 1)
        request_class = self.config.request_classes[class_index]
        messages = self._prefix(request_class)
        turns = 1
        while rng.random() < 1 - 1 / request_class.turns:
            turns += 1
        user_messages = [_random_words(rng, _drawn_length(rng, request_class.prompt_words)) for _ in range(turns)]
        api_key = self._api_key()
        return PlannedRequest(
            at_s=at_s,
            request_class=request_class,
            messages=[*messages, {"role": "user", "content": user_messages[0]}],
            max_tokens=_drawn_length(rng, request_class.answer_tokens),
            api_key=api_key,
            turns_left=turns - 1,
            later_turns=user_messages[1:],
        )

    def _prefix(self, request_class: RequestClassLoad) -> list[dict[str, str]]:
        """Returns a shared system message, or none if the request class has no prefixes."""
        if not request_class.prefixes:
            return []
        sums = self._prefix_sums[self.config.request_classes.index(request_class)]
        number = _drawn_index(self.rng, sums)
        text_rng = random.Random(f"{self.config.seed} {request_class.model} {number}")
        return [{"role": "system", "content": _random_words(text_rng, request_class.prefix_words)}]

    def _api_key(self) -> str:
        if not self._tenant_sums:
            return ""
        index = _drawn_index(self.rng, self._tenant_sums)
        return list(self.config.tenants)[min(index, len(self._tenant_sums) - 1)]
