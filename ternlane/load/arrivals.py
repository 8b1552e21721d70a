"""When requests are due: known ahead of any answer, so that a slow server can't slow the load down. Free of I/O."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator
from math import inf, pi, sin


def poisson(rng: random.Random, rate: float) -> Iterator[float]:
    """Seconds from the start, without end; `rate` a second."""
    at_s = 0.0
    while rate > 0:
        at_s += rng.expovariate(rate)
        yield at_s


def thinned(rng: random.Random, highest_rate: float, rate_at: Callable[[float], float]) -> Iterator[float]:
    """Arrivals at a rate that changes with time: drawn at the highest rate, and left out where it is lower."""
    for at_s in poisson(rng, highest_rate):
        if rng.random() * highest_rate < rate_at(at_s):
            yield at_s


class Diurnal:
    """A rate that goes from `rate * (1 - swing)` to `rate * (1 + swing)` and back in `period_s`."""

    def __init__(self, rate: float, swing: float, period_s: float) -> None:
        """`rate`: requests a second on the mean."""
        self.rate = rate
        self.swing = swing
        self.period_s = period_s

    def __call__(self, at_s: float) -> float:
        """Requests a second at this time."""
        return self.rate * (1 + self.swing * sin(2 * pi * at_s / self.period_s))


class Bursty:
    """`times` the rate for the first `part` of each `period_s`, and so little else that the mean is `rate`."""

    def __init__(self, rate: float, times: float, part: float, period_s: float) -> None:
        """`rate`: requests a second on the mean."""
        self.high = rate * times
        self.part = part
        self.period_s = period_s
        self.low = max(0.0, rate * (1 - times * part) / (1 - part)) if part < 1 else self.high

    def __call__(self, at_s: float) -> float:
        """Requests a second at this time."""
        return self.high if at_s % self.period_s < self.part * self.period_s else self.low


def recorded(times_s: list[float], faster: float = 1.0) -> Iterator[float]:
    """As they were recorded, `faster` times as fast. Raises ValueError where they go back."""
    last_s = -inf
    for at_s in times_s:
        if at_s < last_s:
            raise ValueError(f"recorded times go back at {at_s}")
        last_s = at_s
        yield at_s / faster
