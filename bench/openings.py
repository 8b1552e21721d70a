"""The tree of shared prefixes against a plain dict of every beginning: bytes and time, in one run.

python -m bench.openings [--sessions 20000]
"""

from __future__ import annotations

import argparse
import random
import time
import tracemalloc
from array import array

from ternlane.chat.prefixes import PrefixHashTable, PrefixIndex

PREFIXES = 20
PREFIX_SHARE = 0.8  # of sessions that begin with one of them
UNBOUNDED = 10**9  # blocks
BOUND = 50_000  # blocks

Prompt = tuple[int, "array[int]"]  # session, and the hashes of its 256-byte blocks
Index = type[PrefixIndex] | type[PrefixHashTable]


def drawn_prompts(sessions: int, seed: int = 1) -> list[Prompt]:
    """Sessions of one to four turns, most of which share their prefix with others."""
    rng = random.Random(seed)
    prefixes = [drawn_blocks(rng, rng.randint(4, 30)) for _ in range(PREFIXES)]
    prompts: list[Prompt] = []
    for session in range(sessions):
        blocks = array("Q", rng.choice(prefixes)) if rng.random() < PREFIX_SHARE else array("Q")
        for _ in range(rng.randint(1, 4)):
            blocks = blocks + drawn_blocks(rng, rng.randint(2, 10))
            prompts.append((session, blocks))
    return prompts


def drawn_blocks(rng: random.Random, count: int) -> array[int]:
    """Hashes that nothing else has."""
    return array("Q", (rng.getrandbits(64) for _ in range(count)))


def held_bytes(kind: Index, limit: int, prompts: list[Prompt]) -> int:
    """What the index holds in the end."""
    tracemalloc.start()
    index = kind(limit)
    for session, blocks in prompts:
        index.match_and_add(blocks, session)
    held = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return held


def main() -> None:
    """Reads the command line and prints all figures."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--sessions", type=int, default=20000)
    sessions = parser.parse_args().sessions
    prompts = drawn_prompts(sessions)
    blocks = sum(len(prompt) for _, prompt in prompts)
    print(f"{sessions} sessions, {len(prompts)} prompts, {blocks} blocks of 256 bytes")
    print(f"{'':<28}{'us a prompt':>12}{'ns a block':>12}{'MB held':>10}{'said the same':>15}")
    for limit in (UNBOUNDED, BOUND):
        print_indexes(limit, prompts, blocks)


def print_indexes(limit: int, prompts: list[Prompt], blocks: int) -> None:
    """A line for each index with at most so many blocks."""
    bound = "unbounded" if limit == UNBOUNDED else f"{limit} blocks"
    by_tree: list[int] = []
    kinds: tuple[tuple[str, Index], ...] = (("tree", PrefixIndex), ("dict of beginnings", PrefixHashTable))
    for name, kind in kinds:
        held = held_bytes(kind, limit, prompts)
        index = kind(limit)
        begin_s = time.perf_counter()
        answers = [index.match_and_add(prompt, session) for session, prompt in prompts]
        took_s = time.perf_counter() - begin_s
        by_tree = by_tree or answers
        same = sum(a == b for a, b in zip(by_tree, answers, strict=True)) / len(answers)
        print(
            f"{name + ', ' + bound:<28}{took_s / len(prompts) * 1e6:>12.1f}{took_s / blocks * 1e9:>12.0f}"
            f"{held / 1e6:>10.1f}{same:>14.1%}"
        )


if __name__ == "__main__":
    main()
