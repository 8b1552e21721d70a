"""The emulator's block pool and batch: block accounting, prefix cache, eviction, preemption."""

from __future__ import annotations

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ternlane.emulator import Batch, BatchConfig, BatchSequence, BlockAllocation, BlockPool, block_keys

OPERATIONS = st.lists(
    st.tuples(
        st.sampled_from(["allocate", "grow", "register", "release", "reserve external"]),
        st.integers(0, 11),
        st.integers(0, 7),
    ),
    max_size=120,
)


def check_blocks(pool: BlockPool, allocations: list[BlockAllocation]) -> None:
    """Checks that each block is in exactly one state and has the correct reference count."""
    used = [b for allocation in allocations for b in allocation.blocks]
    assert sorted([*pool.free, *pool.idle, *pool.handed_over, *set(used)]) == list(range(pool.total))
    assert all(pool.references[b] == used.count(b) for b in range(pool.total))
    assert pool.used == len(set(used)) and len(pool.handed_over) + pool.pending_handover == pool.external_blocks
    assert all(pool.keys[b] is not None and pool.block_by_hash[pool.keys[b][0]] == b for b in pool.idle)  # type: ignore[index]
    assert all(pool.keys[b] is None for b in pool.free)


@pytest.mark.parametrize("policy", ["lru", "clock"])
@given(OPERATIONS)
@settings(max_examples=120, deadline=None)
def test_each_block_has_one_owner_after_random_operations(policy: str, operations: list[tuple[str, int, int]]) -> None:
    pool, allocations, keys = BlockPool(12, policy), list[BlockAllocation](), block_keys(bytes(range(96)), 8)  # type: ignore[arg-type]
    for operation, a, b in operations:
        if operation == "allocate":
            before = (pool.available, pool.used)
            allocation = pool.allocate(keys[: a % 5], a % 5 + b % 3)
            if allocation is None:
                assert (pool.available, pool.used) == before
            else:
                assert len(allocation.blocks) == a % 5 + b % 3
                allocations.append(allocation)
        elif operation == "reserve external":
            pool.reserve_external(a)
        elif allocations:
            allocation = allocations[a % len(allocations)]
            if operation == "grow":
                pool.grow(allocation, b % 3)
            elif operation == "register" and allocation.blocks:
                at = b % len(allocation.blocks)
                if at >= allocation.cached_blocks and pool.keys[allocation.blocks[at]] is None:
                    pool.register(allocation, at, keys[at])
            else:
                pool.release(allocation)
                allocations.remove(allocation)
        check_blocks(pool, allocations)
    for allocation in allocations:
        pool.release(allocation)
    pool.reserve_external(0)
    check_blocks(pool, [])
    assert pool.available == pool.total


def test_equal_prefixes_share_blocks_and_last_blocks_are_evicted_first() -> None:
    pool, keys = BlockPool(6), block_keys(b"abcdefgh" * 4, 8)
    first = pool.allocate(keys, 4)
    assert first is not None and first.cached_blocks == 0
    for i, key in enumerate(keys):
        pool.register(first, i, key)
    second = pool.allocate(keys, 5)
    assert second is not None and second.cached_blocks == 4 and pool.used == 5
    pool.release(first)
    pool.release(second)
    assert pool.count_cached(keys) == 4 and pool.used == 0
    other = pool.allocate(block_keys(b"z" * 32, 8), 4)  # two are free, and two cached blocks are evicted: the last ones
    assert other is not None and pool.count_cached(keys) == 2 and pool.evictions == 2
    assert pool.allocate(block_keys(b"y" * 32, 8), 4) is None


def test_hash_collision_does_not_share_blocks() -> None:
    """Two prompts have the same chained hash. The second must not get the blocks of the first, nor replace them."""
    pool = BlockPool(4)
    allocation = pool.allocate([], 1)
    assert allocation is not None
    pool.register(allocation, 0, (7, 1))
    assert pool.count_cached([(7, 1)]) == 1 and pool.count_cached([(7, 2)]) == 0
    again = pool.allocate([(7, 2)], 1)
    assert again is not None and again.cached_blocks == 0
    pool.register(again, 0, (7, 2))
    assert pool.collisions == 1 and pool.count_cached([(7, 2)]) == 0 and pool.count_cached([(7, 1)]) == 1


def test_external_reservation_of_used_blocks_completes_on_release() -> None:
    """Another program reserves memory that sequences still use. They keep it, and blocks that they release go to the
    other program."""
    pool = BlockPool(10)
    allocation = pool.allocate([], 8)
    assert allocation is not None
    pool.reserve_external(5)
    assert pool.overcommitted == 3 and pool.available == 0 and pool.pending_handover == 3
    pool.release(allocation)
    assert pool.overcommitted == 0 and pool.available == 5
    pool.reserve_external(0)
    assert pool.available == 10


def test_clock_eviction_keeps_shared_blocks_longer_than_lru() -> None:
    rng, hits = random.Random(3), {}
    texts = [block_keys(bytes([i]) * 64, 16) for i in range(40)]
    for policy in ("lru", "clock"):
        pool, found, requested = BlockPool(64, policy), 0, 0  # type: ignore[arg-type]
        for n in range(4000):
            keys = texts[min(39, int(rng.paretovariate(0.8)) - 1)] if n % 2 else block_keys(b"%032d" % n * 2, 16)
            allocation = pool.allocate(keys, len(keys))
            assert allocation is not None
            found, requested = found + allocation.cached_blocks * (n % 2), requested + len(keys) * (n % 2)
            for i in range(allocation.cached_blocks, len(keys)):
                pool.register(allocation, i, keys[i])
            pool.release(allocation)
        hits[policy] = found / requested
    assert hits["clock"] > hits["lru"] > 0.2


# -- batches

LOADS = st.lists(st.tuples(st.integers(1, 150), st.integers(0, 60), st.integers(0, 3)), min_size=1, max_size=25)


@given(LOADS, st.integers(4, 30), st.integers(1, 6), st.integers(8, 64), st.data())
@settings(max_examples=150, deadline=None)
def test_every_sequence_finishes_or_is_rejected_and_memory_limit_holds(
    loads: list[tuple[int, int, int]], blocks: int, slots: int, step_tokens: int, data: st.DataObject
) -> None:
    batch = Batch(BatchConfig(blocks=blocks, block_tokens=16, slots=slots, step_tokens=step_tokens))
    texts = [bytes([i]) * 400 for i in range(4)]
    accepted: list[BatchSequence] = []
    for prompt, answer, text in loads:
        sequence = BatchSequence(prompt, answer, block_keys(texts[text][:prompt], 16))
        if batch.add(sequence):
            accepted.append(sequence)
        else:
            assert -(-(prompt + answer) // 16) > blocks
    token_counts = {c: 0 for c in accepted}
    finished: list[BatchSequence] = []
    cancel_step = data.draw(st.integers(0, 40))
    for n in range(20_000):
        step = batch.step()
        if step is None:
            break
        assert (
            len(batch.running) <= slots
            and step.prefilled_tokens + len(step.decoded) <= step_tokens + slots
            and step.duration_ms > 0
        )
        for sequence in step.decoded:
            token_counts[sequence] += 1
        finished += step.finished
        check_blocks(batch.memory, [c.allocation for c in batch.running if c.allocation is not None])
        if n == cancel_step and batch.running:
            batch.cancel(batch.running[0])
    unfinished = [c for c in accepted if c not in finished]
    assert all(c.ended for c in accepted) and len(unfinished) <= 1 and not batch.queue
    assert all(token_counts[c] == c.answer_tokens == c.output_tokens for c in finished)
    assert batch.memory.used == 0 and batch.memory.available == blocks


def test_steps_slow_down_with_more_work_and_long_prompts_are_prefilled_in_chunks() -> None:
    batch = Batch(BatchConfig(blocks=4000, slots=32, step_tokens=128))
    for _ in range(8):
        batch.add(BatchSequence(10, 400))
    batch.step()
    alone = batch.step()
    batch.add(BatchSequence(1000, 5))
    steps = [batch.step() for _ in range(9)]
    assert alone is not None and len(alone.decoded) == 8
    assert all(
        s is not None and len(s.decoded) >= 8 and s.prefilled_tokens <= 120 for s in steps
    )  # all sequences decode during the prefill
    assert all(s is not None and s.duration_ms > alone.duration_ms for s in steps[:8])


def test_preempted_sequence_keeps_its_output() -> None:
    batch = Batch(BatchConfig(blocks=6, block_tokens=16, slots=4, step_tokens=64))
    sequences = [BatchSequence(20, 50), BatchSequence(20, 50)]
    for sequence in sequences:
        assert batch.add(sequence)
    while batch.step() is not None:
        pass
    assert (
        [c.output_tokens for c in sequences] == [50, 50]
        and sequences[1].preemptions >= 1
        and sequences[0].preemptions == 0
    )
