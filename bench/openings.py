"""Compares the prefix tree with a dict of the hashes of all prefixes, in time and memory.

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
PREFIX_SHARE = 0.8  # share of sessions that start with a shared prefix
UNBOUNDED = 10**9  # blocks
BLOCK_LIMIT = 50_000  # blocks

Prompt = tuple[int, "array[int]"]  # session, and the hashes of its 256-byte blocks
Index = type[PrefixIndex] | type[PrefixHashTable]


def drawn_prompts(sessions: int, seed: int = 1) -> list[Prompt]:
    """Returns the prompts of sessions with one to four turns, most of which start with a shared prefix."""
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
    """Returns `count` random block hashes."""
    return array("Q", (rng.getrandbits(64) for _ in range(count)))


def held_bytes(kind: Index, limit: int, prompts: list[Prompt]) -> int:
    """Returns the memory in use after adding all prompts."""
    tracemalloc.start()
    index = kind(limit)
    for session, blocks in prompts:
        index.match_and_add(blocks, session)
    held = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return held


def main() -> None:
    """Runs the comparison."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--sessions", type=int, default=20000)
    sessions = parser.parse_args().sessions
    prompts = drawn_prompts(sessions)
    blocks = sum(len(prompt) for _, prompt in prompts)
    print(f"{sessions} sessions, {len(prompts)} prompts, {blocks} blocks of 256 bytes")
    print(f"{'':<28}{'us a prompt':>12}{'ns a block':>12}{'MB held':>10}{'same result':>15}")
    for limit in (UNBOUNDED, BLOCK_LIMIT):
        print_indexes(limit, prompts, blocks)


def print_indexes(limit: int, prompts: list[Prompt], blocks: int) -> None:
    """Prints a line for each index with at most `limit` blocks."""
    limit_text = "unbounded" if limit == UNBOUNDED else f"{limit} blocks"
    tree_results: list[int] = []
    kinds: tuple[tuple[str, Index], ...] = (("tree", PrefixIndex), ("dict of prefixes", PrefixHashTable))
    for name, kind in kinds:
        held = held_bytes(kind, limit, prompts)
        index = kind(limit)
        begin_s = time.perf_counter()
        results = [index.match_and_add(prompt, session) for session, prompt in prompts]
        took_s = time.perf_counter() - begin_s
        tree_results = tree_results or results
        same = sum(a == b for a, b in zip(tree_results, results, strict=True)) / len(results)
        print(
            f"{name + ', ' + limit_text:<28}{took_s / len(prompts) * 1e6:>12.1f}{took_s / blocks * 1e9:>12.0f}"
            f"{held / 1e6:>10.1f}{same:>14.1%}"
        )


if __name__ == "__main__":
    main()
