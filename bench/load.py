"""What the load tool costs: its sketch against all times kept in a list, and how many requests a second it draws.

python -m bench.load [--times 1000000]
"""

from __future__ import annotations

import argparse
import random
import time
import tracemalloc

from ternlane.load import ArrivalsConfig, LoadConfig, QuantileSketch, RequestMix, planned_requests


def sketch_against_list(many: int) -> None:
    rng = random.Random(1)
    values = [rng.lognormvariate(4.0, 1.2) for _ in range(many)]
    true = sorted(values)
    for name in ("sketch", "list"):
        tracemalloc.start()
        it, kept = QuantileSketch(0.01), list[float]()
        add = it.add if name == "sketch" else kept.append
        for value in values:
            add(value * 1.0)
        held = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        it, kept = QuantileSketch(0.01), []
        add = it.add if name == "sketch" else kept.append
        since = time.perf_counter()
        for value in values:
            add(value)
        took = time.perf_counter() - since
        since = time.perf_counter()
        found = (
            [it.quantile(p) for p in (0.5, 0.9, 0.99, 0.999)]
            if name == "sketch"
            else [sorted(kept)[int(p * (many - 1))] for p in (0.5, 0.9, 0.99, 0.999)]
        )
        asked = (time.perf_counter() - since) / 4
        off = max(abs(f / true[int(p * (many - 1))] - 1) for f, p in zip(found, (0.5, 0.9, 0.99, 0.999)))
        print(
            f"{name:<7}{took / many * 1e6:>7.2f} us a time{held:>12} bytes{asked * 1e3:>10.2f} ms a quantile, "
            f"off at most {off:.2%}"
        )


def drawn() -> None:
    told = LoadConfig(
        request_classes=[RequestMix("summary", turns=2.0, prefixes=50)],
        seconds=20.0,
        arrivals=ArrivalsConfig(rate=200.0),
    )
    since = time.perf_counter()
    many = sum(1 for _ in planned_requests(told))
    print(f"{many / (time.perf_counter() - since):.0f} sessions drawn a second")


def main() -> None:
    args = argparse.ArgumentParser()
    args.add_argument("--times", type=int, default=1_000_000)
    sketch_against_list(args.parse_args().times)
    drawn()


if __name__ == "__main__":
    main()
