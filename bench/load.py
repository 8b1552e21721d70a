"""Measures the load generator: its quantile sketch against a sorted list, and the rate of drawing sessions.

python -m bench.load [--times 1000000]
"""

from __future__ import annotations

import argparse
import random
import time
import tracemalloc
from typing import Protocol

from ternlane.load import ArrivalsConfig, LoadConfig, QuantileSketch, RequestClassLoad, planned_requests

FRACTIONS = (0.5, 0.9, 0.99, 0.999)


class Times(Protocol):
    """Collects times and returns their quantiles."""

    def add(self, value: float) -> None:
        """Adds a time."""

    def quantile(self, fraction: float) -> float:
        """Returns the value below which this fraction of the times lies."""
        ...


class TimeList:
    """Keeps all times and sorts them for each quantile."""

    def __init__(self) -> None:
        self._values: list[float] = []
        self.add = self._values.append

    def quantile(self, fraction: float) -> float:
        """Returns the exact quantile."""
        return sorted(self._values)[int(fraction * (len(self._values) - 1))]


def held_bytes(times: Times, values: list[float]) -> int:
    """Returns the memory in use after adding all values."""
    tracemalloc.start()
    for value in values:
        times.add(value * 1.0)  # a new float object, so that its memory is counted
    held = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return held


def print_sketch_against_list(count: int) -> None:
    """Prints time, memory and error of the sketch and of the list."""
    rng = random.Random(1)
    values = [rng.lognormvariate(4.0, 1.2) for _ in range(count)]
    ordered = sorted(values)
    exact = [ordered[int(fraction * (count - 1))] for fraction in FRACTIONS]
    for name, make in (("sketch", QuantileSketch), ("list", TimeList)):
        held = held_bytes(make(), values)
        times: Times = make()
        add = times.add
        begin_s = time.perf_counter()
        for value in values:
            add(value)
        add_s = (time.perf_counter() - begin_s) / count
        begin_s = time.perf_counter()
        quantiles = [times.quantile(fraction) for fraction in FRACTIONS]
        quantile_s = (time.perf_counter() - begin_s) / len(FRACTIONS)
        error = max(abs(found / true - 1) for found, true in zip(quantiles, exact, strict=True))
        print(
            f"{name:<7}{add_s * 1e6:>7.2f} us a time{held:>12} bytes{quantile_s * 1e3:>10.2f} ms a quantile, "
            f"off at most {error:.2%}"
        )


def print_drawing_rate() -> None:
    """Prints the number of sessions drawn per second."""
    config = LoadConfig(
        request_classes=[RequestClassLoad("summary", turns=2.0, prefixes=50)],
        seconds=20.0,
        arrivals=ArrivalsConfig(rate=200.0),
    )
    begin_s = time.perf_counter()
    sessions = sum(1 for _ in planned_requests(config))
    print(f"{sessions / (time.perf_counter() - begin_s):.0f} sessions drawn per second")


def main() -> None:
    """Runs all measurements."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--times", type=int, default=1_000_000)
    print_sketch_against_list(parser.parse_args().times)
    print_drawing_rate()


if __name__ == "__main__":
    main()
