"""Arrival processes for open-loop load. Arrival times do not depend on responses. Performs no I/O."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator
from math import inf, pi, sin


def poisson(rng: random.Random, rate: float) -> Iterator[float]:
    """Yields an endless Poisson process: seconds since the start, at `rate` arrivals per second."""
    at_s = 0.0
    while rate > 0:
        at_s += rng.expovariate(rate)
        yield at_s


def thinned(rng: random.Random, highest_rate: float, rate_at: Callable[[float], float]) -> Iterator[float]:
    """Yields a Poisson process with a time-varying rate by thinning one that runs at `highest_rate`."""
    for at_s in poisson(rng, highest_rate):
        if rng.random() * highest_rate < rate_at(at_s):
            yield at_s


class Diurnal:
    """A sinusoidal rate between `rate * (1 - swing)` and `rate * (1 + swing)` with the period `period_s`."""

    def __init__(self, rate: float, swing: float, period_s: float) -> None:
        """`rate`: mean requests per second."""
        self.rate = rate
        self.swing = swing
        self.period_s = period_s

    def __call__(self, at_s: float) -> float:
        """Returns the rate at `at_s` in requests per second."""
        return self.rate * (1 + self.swing * sin(2 * pi * at_s / self.period_s))


class Bursty:
    """`burst_factor` times `rate` in the first `burst_share` of each `period_s`, then less to keep the mean."""

    def __init__(self, rate: float, burst_factor: float, burst_share: float, period_s: float) -> None:
        """`rate`: mean requests per second."""
        self.high = rate * burst_factor
        self.burst_share = burst_share
        self.period_s = period_s
        self.low = (
            max(0.0, rate * (1 - burst_factor * burst_share) / (1 - burst_share)) if burst_share < 1 else self.high
        )

    def __call__(self, at_s: float) -> float:
        """Returns the rate at `at_s` in requests per second."""
        return self.high if at_s % self.period_s < self.burst_share * self.period_s else self.low


def recorded(times_s: list[float], speedup: float = 1.0) -> Iterator[float]:
    """Replays recorded times `speedup` times as fast. Raises ValueError if they decrease."""
    last_s = -inf
    for at_s in times_s:
        if at_s < last_s:
            raise ValueError(f"recorded times decrease at {at_s}")
        last_s = at_s
        yield at_s / speedup
