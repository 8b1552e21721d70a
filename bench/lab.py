"""Measures the emulator's speed, its block pool against a plain dict, and the errors of fitted engines.

Speeds are simulated seconds per real second; the block pool is measured in time and bytes per block.

    python -m bench.lab [--seconds 20] [--blocks 1000000] [--no-fit]
"""

from __future__ import annotations

import argparse
import random
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from ternlane.config import read_config
from ternlane.emulator import (
    Batch,
    BatchConfig,
    BatchSequence,
    BlockPool,
    EmulatedEngine,
    EmulatedFleet,
    EngineTraits,
    Job,
    JobEventKind,
    PlacedEngine,
    block_keys,
)
from ternlane.emulator.blocks import BlockKey
from ternlane.emulator.engine_kind import EngineKind

KINDS = Path(__file__).parent.parent / "examples" / "engines"
CONFIG = BatchConfig(blocks=8000)
PREFIXES = 40
PREFIX_TOKENS = 600
TOKEN_BYTES = 4
BLOCK_BYTES = 64
PORT_RATE = 300.0  # tokens per ms
LINK_RATE = 600.0
ENGINES_A_CELL = 5
PREFILL_SERVERS_A_CELL = 2
KEYS_A_SEQUENCE = 64
MAX_FLEET_SECONDS = 10.0


def prefix_keys(rng: random.Random) -> list[list[BlockKey]]:
    """Returns the block keys of random prefix texts."""
    return [block_keys(rng.randbytes(TOKEN_BYTES * PREFIX_TOKENS), BLOCK_BYTES) for _ in range(PREFIXES)]


def drawn_prefix(rng: random.Random, prefixes: list[list[BlockKey]], alpha: float) -> list[BlockKey]:
    """Draws a prefix with Pareto-distributed popularity, the first being the most popular."""
    return prefixes[min(PREFIXES - 1, int(rng.paretovariate(alpha)) - 1)]


@dataclass(frozen=True)
class EngineRun:
    """Results of an engine under Poisson arrivals."""

    speed: float  # simulated seconds per real second
    steps: int
    ended_per_s: float  # sequences per simulated second


def run_engine(seconds: float, rate: float, seed: int) -> EngineRun:
    """Simulates one engine. `rate`: sequences per simulated second."""
    rng = random.Random(seed)
    batch = Batch(CONFIG)
    prefixes = prefix_keys(rng)
    now_ms = due_ms = 0.0
    steps = ended = 0
    begin_s = time.perf_counter()
    while now_ms < seconds * 1000:
        while due_ms <= now_ms:
            due_ms += rng.expovariate(rate / 1000)
            keys = drawn_prefix(rng, prefixes, 0.9)
            batch.add(BatchSequence(PREFIX_TOKENS + rng.randrange(400), rng.randrange(20, 200), keys))
        step = batch.step()
        if step is None:
            now_ms = due_ms
            continue
        now_ms += step.duration_ms
        steps += 1
        ended += len(step.finished)
    return EngineRun(now_ms / 1000 / (time.perf_counter() - begin_s), steps, ended / (now_ms / 1000))


class FleetRun:
    """Cells of two prefill and three decode servers with one request per second and engine.

    Decode servers are drawn at random: from the same cell with probability 1/2, otherwise from all.
    """

    def __init__(self, engines: int, seed: int) -> None:
        self.rng = random.Random(seed)
        self.fleet = EmulatedFleet(PORT_RATE, LINK_RATE)
        tracemalloc.start()
        placed = [self._engine(number) for number in range(engines)]
        self.engine_bytes = tracemalloc.get_traced_memory()[0] // engines
        tracemalloc.stop()
        self.prefill_servers = [p for i, p in enumerate(placed) if i % ENGINES_A_CELL < PREFILL_SERVERS_A_CELL]
        self.decode_servers = [p for i, p in enumerate(placed) if i % ENGINES_A_CELL >= PREFILL_SERVERS_A_CELL]
        self.prefixes = prefix_keys(self.rng)
        self.rate_per_ms = engines / 1000
        self.tokens = 0
        self._states: dict[Job, PlacedEngine] = {}

    def _engine(self, number: int) -> PlacedEngine:
        engine = EmulatedEngine(CONFIG, EngineTraits(jitter=0.05), number)
        return self.fleet.add(engine, "a", number // ENGINES_A_CELL)

    def run(self, seconds: float) -> float:
        """Returns the speed in simulated seconds per real second."""
        due_ms = 0.0
        begin_s = time.perf_counter()
        while True:
            at_ms = min(due_ms, self.fleet.next_at())
            if at_ms > seconds * 1000:
                return seconds / (time.perf_counter() - begin_s)
            for placed, event in self.fleet.advance(at_ms):
                if event.kind is JobEventKind.PREFILLED:
                    self._decode(at_ms, placed, event.job)
                self.tokens += event.kind is JobEventKind.TOKEN
            while due_ms <= at_ms:
                due_ms += self.rng.expovariate(self.rate_per_ms)
                self._prefill(at_ms)

    def _decode(self, at_ms: float, source: PlacedEngine, held: Job) -> None:
        same_cell = [placed for placed in self.decode_servers if placed.cell == source.cell]
        job = Job(BatchSequence(held.sequence.prompt_tokens, self.rng.randrange(20, 200)))
        target = self.rng.choice(same_cell if self.rng.random() < 0.5 else self.decode_servers)
        if not self.fleet.decode(at_ms, target, job, self._states[held], held):
            self.fleet.release(at_ms, source, held)
        del self._states[held]

    def _prefill(self, at_ms: float) -> None:
        prompt_tokens = PREFIX_TOKENS + self.rng.randrange(400)
        job = Job(BatchSequence(prompt_tokens, 0, drawn_prefix(self.rng, self.prefixes, 0.9)))
        prefill_server = self.rng.choice(self.prefill_servers)
        if self.fleet.prefill(at_ms, prefill_server, job):
            self._states[job] = prefill_server


def print_fits() -> None:
    """Prints the errors of the fits to the example kinds of engines."""
    from ternlane.emulator.fit import fit

    for path in sorted(KINDS.glob("*.json5")):
        begin_s = time.perf_counter()
        fitted = fit(read_config(path, EngineKind))
        median, tail = fitted.worst(False)
        held_out_median, held_out_tail = fitted.worst(True)
        print(
            f"{path.stem:<14} off at most {median:.1%} and {tail:.1%} (median, 99th percentile) at points of the fit, "
            f"{held_out_median:.1%} and {held_out_tail:.1%} at those held out; {time.perf_counter() - begin_s:.0f} s"
        )


def pool_benchmark(keys: list[BlockKey]) -> Callable[[], None]:
    """Returns a run that allocates, registers, releases and looks up every block."""
    pool = BlockPool(len(keys))

    def run() -> None:
        for begin in range(0, len(keys), KEYS_A_SEQUENCE):
            group_keys = keys[begin : begin + KEYS_A_SEQUENCE]
            allocation = pool.allocate(group_keys, len(group_keys))
            assert allocation is not None
            for index, key in enumerate(group_keys):
                pool.register(allocation, index, key)
            pool.release(allocation)
            assert pool.count_cached(group_keys) == len(group_keys)

    return run


def dict_benchmark(keys: list[BlockKey]) -> Callable[[], None]:
    """Returns the same run on a dict of reference counts, without eviction."""
    counts: dict[BlockKey, int] = {}

    def run() -> None:
        for begin in range(0, len(keys), KEYS_A_SEQUENCE):
            group_keys = keys[begin : begin + KEYS_A_SEQUENCE]
            for key in group_keys:
                counts[key] = counts.get(key, 0) + 1
            for key in group_keys:
                counts[key] -= 1
            assert all(key in counts for key in group_keys)

    return run


def print_blocks_against_dict(blocks: int) -> None:
    """Prints time and memory of each."""
    keys = [(i * 2654435761 % 2**64, i % 2**32) for i in range(blocks)]
    for name, make in (("blocks", pool_benchmark), ("dict", dict_benchmark)):
        tracemalloc.start()
        before_bytes = tracemalloc.get_traced_memory()[0]
        run = make(keys)
        begin_s = time.perf_counter()
        run()
        took_s = time.perf_counter() - begin_s
        held_bytes = tracemalloc.get_traced_memory()[0] - before_bytes
        tracemalloc.stop()
        print(
            f"{name:<8}{took_s / blocks * 1e6:>8.2f} us a block allocated, registered, released and looked up"
            f"{held_bytes / blocks:>8.0f} bytes a block"
        )


def main() -> None:
    """Runs all measurements."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--blocks", type=int, default=1_000_000)
    parser.add_argument("--no-fit", action="store_true")
    options = parser.parse_args()
    for rate in (2.0, 10.0, 40.0):
        engine = run_engine(options.seconds, rate, 1)
        print(
            f"one engine, {rate:>4.0f} requests/s: {engine.speed:>7.1f} simulated seconds per real second, "
            f"{engine.steps} steps, {engine.ended_per_s:.1f} ended per simulated second"
        )
    for engines in (20, 75, 300):
        fleet = FleetRun(engines, 1)
        speed = fleet.run(min(options.seconds, MAX_FLEET_SECONDS))
        print(
            f"{engines:>3} engines: {speed:>6.2f} simulated seconds per real second, {fleet.tokens} tokens, "
            f"{fleet.engine_bytes} bytes per idle engine"
        )
    print_blocks_against_dict(options.blocks)
    if not options.no_fit:
        print_fits()


if __name__ == "__main__":
    main()
