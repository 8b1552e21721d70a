"""What emulated engines cost: simulated seconds a real second, time and bytes a block, against a plain dict in one run;
and how near those fitted to the described curves come.

    python -m bench.lab [--seconds 20] [--blocks 1000000] [--no-fit]
"""

from __future__ import annotations

import argparse
import random
import time
import tracemalloc
from pathlib import Path

from ternlane.emulator import (
    Batch,
    BlockPool,
    BatchConfig,
    BatchSequence,
    EmulatedEngine,
    EmulatedFleet,
    Job,
    EngineTraits,
    PlacedEngine,
    JobEventKind,
    block_keys,
)
from ternlane.emulator.engine_kind import EngineKind
from ternlane.config import read_config


def one_engine(seconds: float, rate: float, seed: int) -> tuple[float, int, float]:
    """An engine under Poisson arrivals: simulated against real seconds, steps, and courses ended a simulated second."""
    rng, it, now, due, steps, ended = random.Random(seed), Batch(BatchConfig(blocks=8000)), 0.0, 0.0, 0, 0
    texts = [block_keys(rng.randbytes(4 * 600), 64) for _ in range(40)]
    since = time.perf_counter()
    while now < seconds * 1000:
        while due <= now:
            due += rng.expovariate(rate / 1000)
            keys = texts[min(39, int(rng.paretovariate(0.9)) - 1)]
            it.add(BatchSequence(600 + rng.randrange(400), rng.randrange(20, 200), keys))
        step = it.step()
        if step is None:
            now = due
            continue
        now, steps, ended = now + step.ms, steps + 1, ended + len(step.finished)
    return now / 1000 / (time.perf_counter() - since), steps, ended / (now / 1000)


def a_fleet(many: int, seconds: float, seed: int) -> tuple[float, int, int]:
    """So many engines, two readers for three writers, a generation a second for each: simulated against real seconds,
    tokens written, and bytes an engine. Pairs are drawn by chance, half of them within a cell."""
    rng, fleet = random.Random(seed), EmulatedFleet(300.0, 600.0)
    tracemalloc.start()
    seats = [
        fleet.add(EmulatedEngine(BatchConfig(blocks=8000), EngineTraits(jitter=0.05), i), "a", i // 5)
        for i in range(many)
    ]
    size = tracemalloc.get_traced_memory()[0] // many
    tracemalloc.stop()
    prefill_servers = [s for i, s in enumerate(seats) if i % 5 < 2]
    decode_servers = [s for i, s in enumerate(seats) if i % 5 >= 2]
    texts = [block_keys(rng.randbytes(4 * 600), 64) for _ in range(40)]
    due, wrote, held = 0.0, 0, dict[Job, PlacedEngine]()
    since = time.perf_counter()
    while True:
        at = min(due, fleet.next_at())
        if at > seconds * 1000:
            return seconds / (time.perf_counter() - since), wrote, size
        for seat, told in fleet.advance(at):
            if told.kind is JobEventKind.PREFILLED:
                near = [w for w in decode_servers if w.cell == seat.cell]
                job = Job(BatchSequence(told.job.sequence.prompt_tokens, rng.randrange(20, 200)))
                decode_server = rng.choice(near if rng.random() < 0.5 else decode_servers)
                if not fleet.decode(at, decode_server, job, held[told.job], told.job):
                    fleet.release(at, seat, told.job)
                del held[told.job]
            wrote += told.kind is JobEventKind.TOKEN
        while due <= at:
            due += rng.expovariate(many / 1000)
            read = Job(BatchSequence(600 + rng.randrange(400), 0, texts[min(39, int(rng.paretovariate(0.9)) - 1)]))
            prefill_server = rng.choice(prefill_servers)
            if fleet.prefill(at, prefill_server, read):
                held[read] = prefill_server


def fits() -> None:
    from ternlane.emulator.fit import fit

    for path in sorted((Path(__file__).parent.parent / "examples" / "engines").glob("*.json5")):
        since = time.perf_counter()
        found = fit(read_config(path, EngineKind))
        (a, b), (c, d) = found.worst(False), found.worst(True)
        print(
            f"{path.stem:<14} off at most {a:.1%} and {b:.1%} (median, 99th percentile) at points of the fit, "
            f"{c:.1%} and {d:.1%} at those held out; {time.perf_counter() - since:.0f} s"
        )


def blocks_against_dict(many: int) -> None:
    """Take, know and give back every block once, then find them all again; a dict of hashes to counts beside it."""
    keys = [(i * 2654435761 % 2**64, i % 2**32) for i in range(many)]
    for name in ("blocks", "dict"):
        tracemalloc.start()
        begin = tracemalloc.get_traced_memory()[0]
        if name == "blocks":
            it = BlockPool(many)
        else:
            plain: dict[tuple[int, int], int] = {}
        since = time.perf_counter()
        for at in range(0, many, 64):
            some = keys[at : at + 64]
            if name == "blocks":
                held = it.allocate(some, len(some))
                assert held is not None
                for i, key in enumerate(some):
                    it.register(held, i, key)
                it.give_back(held)
                assert it.count_cached(some) == len(some)
            else:
                for key in some:
                    plain[key] = plain.get(key, 0) + 1
                for key in some:
                    plain[key] -= 1
                assert all(key in plain for key in some)
        took = time.perf_counter() - since
        held_bytes = tracemalloc.get_traced_memory()[0] - begin
        tracemalloc.stop()
        print(
            f"{name:<8}{took / many * 1e6:>8.2f} us a block taken, known, given back and found"
            f"{held_bytes / many:>8.0f} bytes a block"
        )


def main() -> None:
    args = argparse.ArgumentParser()
    args.add_argument("--seconds", type=float, default=20.0)
    args.add_argument("--blocks", type=int, default=1_000_000)
    args.add_argument("--no-fit", action="store_true")
    told = args.parse_args()
    for rate in (2.0, 10.0, 40.0):
        ratio, steps, ended = one_engine(told.seconds, rate, 1)
        print(
            f"one engine, {rate:>4.0f} a second: {ratio:>7.1f} simulated seconds a real one, {steps} steps, "
            f"{ended:.1f} ended a second"
        )
    for many in (20, 75, 300):
        ratio, wrote, size = a_fleet(many, min(told.seconds, 10.0), 1)
        print(
            f"{many:>3} engines: {ratio:>6.2f} simulated seconds a real one, {wrote} tokens, "
            f"{size} bytes an engine at rest"
        )
    blocks_against_dict(told.blocks)
    if not told.no_fit:
        fits()


if __name__ == "__main__":
    main()
