"""What emulated engines cost: simulated seconds a real second, time and bytes a block, against a plain dict in one run.

    python -m bench.lab [--seconds 20] [--blocks 1000000]
"""
from __future__ import annotations

import argparse
import random
import time
import tracemalloc

from ternlane.emulator import Batch, Blocks, Build, Course, chain


def one_engine(seconds: float, rate: float, seed: int) -> tuple[float, int, float]:
    """An engine under Poisson arrivals: simulated against real seconds, steps, and courses ended a simulated second."""
    rng, it, now, due, steps, ended = random.Random(seed), Batch(Build(blocks=8000)), 0.0, 0.0, 0, 0
    texts = [chain(rng.randbytes(4 * 600), 64) for _ in range(40)]
    since = time.perf_counter()
    while now < seconds * 1000:
        while due <= now:
            due += rng.expovariate(rate / 1000)
            keys = texts[min(39, int(rng.paretovariate(0.9)) - 1)]
            it.add(Course(600 + rng.randrange(400), rng.randrange(20, 200), keys))
        step = it.step()
        if step is None:
            now = due
            continue
        now, steps, ended = now + step.ms, steps + 1, ended + len(step.finished)
    return now / 1000 / (time.perf_counter() - since), steps, ended / (now / 1000)


def blocks_against_dict(many: int) -> None:
    """Take, know and give back every block once, then find them all again; a dict of hashes to counts beside it."""
    keys = [(i * 2654435761 % 2**64, i % 2**32) for i in range(many)]
    for name in ("blocks", "dict"):
        tracemalloc.start()
        begin = tracemalloc.get_traced_memory()[0]
        if name == "blocks":
            it = Blocks(many)
        else:
            plain: dict[tuple[int, int], int] = {}
        since = time.perf_counter()
        for at in range(0, many, 64):
            some = keys[at:at + 64]
            if name == "blocks":
                held = it.take(some, len(some))
                assert held is not None
                for i, key in enumerate(some):
                    it.seal(held, i, key)
                it.give_back(held)
                assert it.find(some) == len(some)
            else:
                for key in some:
                    plain[key] = plain.get(key, 0) + 1
                for key in some:
                    plain[key] -= 1
                assert all(key in plain for key in some)
        took = time.perf_counter() - since
        held_bytes = tracemalloc.get_traced_memory()[0] - begin
        tracemalloc.stop()
        print(f"{name:<8}{took / many * 1e6:>8.2f} us a block taken, known, given back and found"
              f"{held_bytes / many:>8.0f} bytes a block")


def main() -> None:
    args = argparse.ArgumentParser()
    args.add_argument("--seconds", type=float, default=20.0)
    args.add_argument("--blocks", type=int, default=1_000_000)
    told = args.parse_args()
    for rate in (2.0, 10.0, 40.0):
        ratio, steps, ended = one_engine(told.seconds, rate, 1)
        print(f"one engine, {rate:>4.0f} a second: {ratio:>7.1f} simulated seconds a real one, {steps} steps, "
              f"{ended:.1f} ended a second")
    blocks_against_dict(told.blocks)


if __name__ == "__main__":
    main()
