"""The emulator's memory: blocks are never lost or doubled, whatever is taken, shared, cut and given back."""

from __future__ import annotations

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ternlane.emulator import Batch, BatchConfig, BatchSequence, BlockAllocation, BlockPool, block_keys

STEPS = st.lists(
    st.tuples(st.sampled_from(["take", "grow", "seal", "back", "cut"]), st.integers(0, 11), st.integers(0, 7)),
    max_size=120,
)


def whole(it: BlockPool, open_: list[BlockAllocation]) -> None:
    """Every block is in exactly one place, and is counted as often as it is held."""
    held = [b for h in open_ for b in h.blocks]
    assert sorted([*it.free, *it.idle, *it.reclaimed, *set(held)]) == list(range(it.total))
    assert all(it.references[b] == held.count(b) for b in range(it.total))
    assert it.used == len(set(held)) and len(it.reclaimed) + it.pending_reclaim == it.external_blocks
    assert all(it.keys[b] is not None and it.cached[it.keys[b][0]] == b for b in it.idle)  # type: ignore[index]
    assert all(it.keys[b] is None for b in it.free)


@pytest.mark.parametrize("policy", ["lru", "clock"])
@given(STEPS)
@settings(max_examples=120, deadline=None)
def test_no_block_is_lost_or_doubled(policy: str, steps: list[tuple[str, int, int]]) -> None:
    it, open_, keys = BlockPool(12, policy), list[BlockAllocation](), block_keys(bytes(range(96)), 8)  # type: ignore[arg-type]
    for what, a, b in steps:
        if what == "take":
            before = (it.available, it.used)
            got = it.allocate(keys[: a % 5], a % 5 + b % 3)
            if got is None:
                assert (it.available, it.used) == before
            else:
                assert len(got.blocks) == a % 5 + b % 3
                open_.append(got)
        elif what == "cut":
            it.reserve_external(a)
        elif open_:
            held = open_[a % len(open_)]
            if what == "grow":
                it.grow(held, b % 3)
            elif what == "seal" and held.blocks:
                at = b % len(held.blocks)
                if at >= held.cached and it.keys[held.blocks[at]] is None:
                    it.register(held, at, keys[at])
            else:
                it.release(held)
                open_.remove(held)
        whole(it, open_)
    for held in open_:
        it.release(held)
    it.reserve_external(0)
    whole(it, [])
    assert it.available == it.total


def test_equal_prefixes_share_blocks_and_ends_are_evicted_before_beginnings() -> None:
    it, keys = BlockPool(6), block_keys(b"abcdefgh" * 4, 8)
    first = it.allocate(keys, 4)
    assert first is not None and first.cached == 0
    for i, key in enumerate(keys):
        it.register(first, i, key)
    second = it.allocate(keys, 5)
    assert second is not None and second.cached == 4 and it.used == 5
    it.release(first)
    it.release(second)
    assert it.count_cached(keys) == 4 and it.used == 0
    other = it.allocate(block_keys(b"z" * 32, 8), 4)  # two are free; two of the kept ones must go: the ends
    assert other is not None and it.count_cached(keys) == 2 and it.evictions == 2
    assert it.allocate(block_keys(b"y" * 32, 8), 4) is None


def test_another_text_with_the_same_hash_is_not_read_as_ones_own() -> None:
    """Two prompts have one hash. The second must not be given the blocks of the first, nor hide them."""
    it = BlockPool(4)
    held = it.allocate([], 1)
    assert held is not None
    it.register(held, 0, (7, 1))
    assert it.count_cached([(7, 1)]) == 1 and it.count_cached([(7, 2)]) == 0
    again = it.allocate([(7, 2)], 1)
    assert again is not None and again.cached == 0
    it.register(again, 0, (7, 2))
    assert it.collisions == 1 and it.count_cached([(7, 2)]) == 0 and it.count_cached([(7, 1)]) == 1


def test_memory_that_is_cut_below_its_use_is_owed_until_it_is_given_back() -> None:
    """Another program takes memory that sequences still use. They keep it, and what they give back
    goes to the program."""
    it = BlockPool(10)
    held = it.allocate([], 8)
    assert held is not None
    it.reserve_external(5)
    assert it.overcommitted == 3 and it.available == 0 and it.pending_reclaim == 3
    it.release(held)
    assert it.overcommitted == 0 and it.available == 5
    it.reserve_external(0)
    assert it.available == 10


def test_blocks_that_are_shared_outlive_others_by_the_clock() -> None:
    rng, hits = random.Random(3), {}
    texts = [block_keys(bytes([i]) * 64, 16) for i in range(40)]
    for policy in ("lru", "clock"):
        it, found, asked = BlockPool(64, policy), 0, 0  # type: ignore[arg-type]
        for n in range(4000):
            keys = texts[min(39, int(rng.paretovariate(0.8)) - 1)] if n % 2 else block_keys(b"%032d" % n * 2, 16)
            held = it.allocate(keys, len(keys))
            assert held is not None
            found, asked = found + held.cached * (n % 2), asked + len(keys) * (n % 2)
            for i in range(held.cached, len(keys)):
                it.register(held, i, keys[i])
            it.release(held)
        hits[policy] = found / asked
    assert hits["clock"] > hits["lru"] > 0.2


# -- batches

LOADS = st.lists(st.tuples(st.integers(1, 150), st.integers(0, 60), st.integers(0, 3)), min_size=1, max_size=25)


@given(LOADS, st.integers(4, 30), st.integers(1, 6), st.integers(8, 64), st.data())
@settings(max_examples=150, deadline=None)
def test_every_sequence_comes_to_its_end_or_was_refused_and_none_passes_memory(
    loads: list[tuple[int, int, int]], blocks: int, slots: int, step_tokens: int, data: st.DataObject
) -> None:
    it = Batch(BatchConfig(blocks=blocks, block_tokens=16, slots=slots, step_tokens=step_tokens))
    texts = [bytes([i]) * 400 for i in range(4)]
    taken: list[BatchSequence] = []
    for prompt, answer, text in loads:
        course = BatchSequence(prompt, answer, block_keys(texts[text][:prompt], 16))
        if it.add(course):
            taken.append(course)
        else:
            assert -(-(prompt + answer) // 16) > blocks
    wrote = {c: 0 for c in taken}
    finished: list[BatchSequence] = []
    leaves = data.draw(st.integers(0, 40))
    for n in range(20_000):
        step = it.step()
        if step is None:
            break
        assert (
            len(it.running) <= slots
            and step.prefilled_tokens + len(step.decoded) <= step_tokens + slots
            and step.ms > 0
        )
        for course in step.decoded:
            wrote[course] += 1
        finished += step.finished
        whole(it.memory, [c.allocation for c in it.running if c.allocation is not None])
        if n == leaves and it.running:
            it.cancel(it.running[0])
    left = [c for c in taken if c not in finished]
    assert all(c.ended for c in taken) and len(left) <= 1 and not it.queue
    assert all(wrote[c] == c.answer_tokens == c.output_tokens for c in finished)
    assert it.memory.used == 0 and it.memory.available == blocks


def test_a_batch_grows_slower_with_each_that_decodes_and_a_long_prompt_is_prefilled_between_them() -> None:
    it = Batch(BatchConfig(blocks=4000, slots=32, step_tokens=128))
    for _ in range(8):
        it.add(BatchSequence(10, 400))
    it.step()
    alone = it.step()
    it.add(BatchSequence(1000, 5))
    steps = [it.step() for _ in range(9)]
    assert alone is not None and len(alone.decoded) == 8
    assert all(
        s is not None and len(s.decoded) >= 8 and s.prefilled_tokens <= 120 for s in steps
    )  # nobody waits for it
    assert all(s is not None and s.ms > alone.ms for s in steps[:8])


def test_a_preempted_sequence_continues_where_it_was() -> None:
    it = Batch(BatchConfig(blocks=6, block_tokens=16, slots=4, step_tokens=64))
    courses = [BatchSequence(20, 50), BatchSequence(20, 50)]
    for course in courses:
        assert it.add(course)
    while it.step() is not None:
        pass
    assert (
        [c.output_tokens for c in courses] == [50, 50] and courses[1].preemptions >= 1 and courses[0].preemptions == 0
    )
