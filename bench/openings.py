"""The tree of shared openings against a plain dict of every beginning: bytes and time, in one run.

python -m bench.openings [--sessions 20000]
"""

from __future__ import annotations

import argparse
import random
import time
import tracemalloc
from array import array

from ternlane.chat.prefixes import PrefixIndex, WholePrefixes


def prompts(sessions: int, seed: int = 1) -> list[tuple[int, array[int]]]:
    """Sessions of one to four turns that share twenty openings, as prompts of 256-byte blocks."""
    rng = random.Random(seed)
    prefixes = [array("Q", (rng.getrandbits(64) for _ in range(rng.randint(4, 30)))) for _ in range(20)]
    out = []
    for session in range(sessions):
        run = array("Q", rng.choice(prefixes)) if rng.random() < 0.8 else array("Q")
        for _ in range(rng.randint(1, 4)):
            run = run + array("Q", (rng.getrandbits(64) for _ in range(rng.randint(2, 10))))
            out.append((session, run))
    return out


def main() -> None:
    args = argparse.ArgumentParser()
    args.add_argument("--sessions", type=int, default=20000)
    told = args.parse_args()
    met = prompts(told.sessions)
    blocks = sum(len(run) for _, run in met)
    print(f"{told.sessions} sessions, {len(met)} prompts, {blocks} blocks of 256 bytes")
    print(f"{'':<28}{'us a prompt':>12}{'ns a block':>12}{'MB held':>10}{'said the same':>15}")
    for limit in (10**9, 50_000):
        said: list[list[int]] = []
        for name, kind in (("tree", PrefixIndex), ("dict of beginnings", WholePrefixes)):
            tracemalloc.start()
            it = kind(limit)
            for session, run in met:
                it.meet(run, session)
            held = tracemalloc.get_traced_memory()[0]
            tracemalloc.stop()
            it, got = kind(limit), []
            since = time.perf_counter()
            for session, run in met:
                got.append(it.meet(run, session))
            took = time.perf_counter() - since
            said.append(got)
            same = sum(a == b for a, b in zip(said[0], got, strict=True)) / len(got)
            bound = "unbounded" if limit > 10**8 else f"{limit} blocks"
            print(
                f"{name + ', ' + bound:<28}{took / len(met) * 1e6:>12.1f}{took / blocks * 1e9:>12.0f}"
                f"{held / 1e6:>10.1f}{same:>14.1%}"
            )


if __name__ == "__main__":
    main()
