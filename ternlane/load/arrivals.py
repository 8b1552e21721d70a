"""When requests are due: known ahead of any answer, so that a slow server can't slow the load down. Free of I/O."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator
from math import inf, pi, sin


def poisson(rng: random.Random, rate: float) -> Iterator[float]:
    """Seconds from the start; `rate` a second."""
    at = 0.0
    while rate > 0:
        at += rng.expovariate(rate)
        yield at


def thinned(rng: random.Random, top: float, rate_at: Callable[[float], float]) -> Iterator[float]:
    """A rate that changes with time, so many a second at a time, drawn from the highest by leaving arrivals out."""
    for at in poisson(rng, top):
        if rng.random() * top < rate_at(at):
            yield at


class Diurnal:
    """A day of `period_s`, from `rate * (1 - swing)` to `rate * (1 + swing)`."""

    def __init__(self, rate: float, swing: float, period_s: float) -> None:
        self.rate, self.swing, self.period_s = rate, swing, period_s

    def __call__(self, at: float) -> float:
        return self.rate * (1 + self.swing * sin(2 * pi * at / self.period_s))


class Bursty:
    """`times` the rate for the first `part` of each `period_s`, and so little else that the mean is `rate`."""

    def __init__(self, rate: float, times: float, part: float, period_s: float) -> None:
        self.high, self.part, self.period_s = rate * times, part, period_s
        self.low = max(0.0, rate * (1 - times * part) / (1 - part)) if part < 1 else self.high

    def __call__(self, at: float) -> float:
        return self.high if at % self.period_s < self.part * self.period_s else self.low


def recorded(times: list[float], faster: float = 1.0) -> Iterator[float]:
    """As they were recorded, seconds, `faster` times as fast. Raises ValueError where they go back."""
    last = -inf
    for at in times:
        if at < last:
            raise ValueError(f"recorded times go back at {at}")
        last = at
        yield at / faster
