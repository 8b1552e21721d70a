"""The emulator's memory: blocks are never lost or doubled, whatever is taken, shared, cut and given back."""

from __future__ import annotations

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ternlane.emulator import Batch, Blocks, Build, Course, HostedRequest, chain

STEPS = st.lists(
    st.tuples(st.sampled_from(["take", "grow", "seal", "back", "cut"]), st.integers(0, 11), st.integers(0, 7)),
    max_size=120,
)


def whole(it: Blocks, open_: list[HostedRequest]) -> None:
    """Every block is in exactly one place, and is counted as often as it is held."""
    held = [b for h in open_ for b in h.blocks]
    assert sorted([*it.free, *it.idle, *it.lost, *set(held)]) == list(range(it.total))
    assert all(it.refs[b] == held.count(b) for b in range(it.total))
    assert it.used == len(set(held)) and len(it.lost) + it.missing == it.gone
    assert all(it.keys[b] is not None and it.known[it.keys[b][0]] == b for b in it.idle)  # type: ignore[index]
    assert all(it.keys[b] is None for b in it.free)


@pytest.mark.parametrize("policy", ["lru", "clock"])
@given(STEPS)
@settings(max_examples=120, deadline=None)
def test_no_block_is_lost_or_doubled(policy: str, steps: list[tuple[str, int, int]]) -> None:
    it, open_, keys = Blocks(12, policy), list[HostedRequest](), chain(bytes(range(96)), 8)  # type: ignore[arg-type]
    for what, a, b in steps:
        if what == "take":
            before = (it.room, it.used)
            got = it.take(keys[: a % 5], a % 5 + b % 3)
            if got is None:
                assert (it.room, it.used) == before
            else:
                assert len(got.blocks) == a % 5 + b % 3
                open_.append(got)
        elif what == "cut":
            it.cut(a)
        elif open_:
            held = open_[a % len(open_)]
            if what == "grow":
                it.grow(held, b % 3)
            elif what == "seal" and held.blocks:
                at = b % len(held.blocks)
                if at >= held.kept and it.keys[held.blocks[at]] is None:
                    it.seal(held, at, keys[at])
            else:
                it.give_back(held)
                open_.remove(held)
        whole(it, open_)
    for held in open_:
        it.give_back(held)
    it.cut(0)
    whole(it, [])
    assert it.room == it.total


def test_equal_beginnings_share_blocks_and_ends_go_before_beginnings() -> None:
    it, keys = Blocks(6), chain(b"abcdefgh" * 4, 8)
    first = it.take(keys, 4)
    assert first is not None and first.kept == 0
    for i, key in enumerate(keys):
        it.seal(first, i, key)
    second = it.take(keys, 5)
    assert second is not None and second.kept == 4 and it.used == 5
    it.give_back(first)
    it.give_back(second)
    assert it.find(keys) == 4 and it.used == 0
    other = it.take(chain(b"z" * 32, 8), 4)  # two are free; two of the kept ones must go: the ends
    assert other is not None and it.find(keys) == 2 and it.evicted == 2
    assert it.take(chain(b"y" * 32, 8), 4) is None


def test_another_text_with_the_same_hash_is_not_read_as_ones_own() -> None:
    it = Blocks(4)
    held = it.take([], 1)
    assert held is not None
    it.seal(held, 0, (7, 1))
    assert it.find([(7, 1)]) == 1 and it.find([(7, 2)]) == 0
    again = it.take([(7, 2)], 1)
    assert again is not None and again.kept == 0
    it.seal(again, 0, (7, 2))
    assert it.collided == 1 and it.find([(7, 2)]) == 0 and it.find([(7, 1)]) == 1


def test_memory_that_is_cut_below_its_use_is_owed_until_it_is_given_back() -> None:
    it = Blocks(10)
    held = it.take([], 8)
    assert held is not None
    it.cut(5)
    assert it.over == 3 and it.room == 0 and it.missing == 3
    it.give_back(held)
    assert it.over == 0 and it.room == 5
    it.cut(0)
    assert it.room == 10


def test_blocks_that_are_shared_outlive_others_by_the_clock() -> None:
    rng, hits = random.Random(3), {}
    texts = [chain(bytes([i]) * 64, 16) for i in range(40)]
    for policy in ("lru", "clock"):
        it, found, asked = Blocks(64, policy), 0, 0  # type: ignore[arg-type]
        for n in range(4000):
            keys = texts[min(39, int(rng.paretovariate(0.8)) - 1)] if n % 2 else chain(b"%032d" % n * 2, 16)
            held = it.take(keys, len(keys))
            assert held is not None
            found, asked = found + held.kept * (n % 2), asked + len(keys) * (n % 2)
            for i in range(held.kept, len(keys)):
                it.seal(held, i, keys[i])
            it.give_back(held)
        hits[policy] = found / asked
    assert hits["clock"] > hits["lru"] > 0.2


# -- batches

LOADS = st.lists(st.tuples(st.integers(1, 150), st.integers(0, 60), st.integers(0, 3)), min_size=1, max_size=25)


@given(LOADS, st.integers(4, 30), st.integers(1, 6), st.integers(8, 64), st.data())
@settings(max_examples=150, deadline=None)
def test_every_sequence_comes_to_its_end_or_was_refused_and_none_passes_memory(
    loads: list[tuple[int, int, int]], blocks: int, slots: int, step_tokens: int, data: st.DataObject
) -> None:
    it = Batch(Build(blocks=blocks, block_tokens=16, slots=slots, step_tokens=step_tokens))
    texts = [bytes([i]) * 400 for i in range(4)]
    taken: list[Course] = []
    for prompt, answer, text in loads:
        course = Course(prompt, answer, chain(texts[text][:prompt], 16))
        if it.add(course):
            taken.append(course)
        else:
            assert -(-(prompt + answer) // 16) > blocks
    wrote = {c: 0 for c in taken}
    finished: list[Course] = []
    leaves = data.draw(st.integers(0, 40))
    for n in range(20_000):
        step = it.step()
        if step is None:
            break
        assert len(it.running) <= slots and step.read_tokens + len(step.wrote) <= step_tokens + slots and step.ms > 0
        for course in step.wrote:
            wrote[course] += 1
        finished += step.finished
        whole(it.memory, [c.held for c in it.running if c.held is not None])
        if n == leaves and it.running:
            it.cancel(it.running[0])
    left = [c for c in taken if c not in finished]
    assert all(c.ended for c in taken) and len(left) <= 1 and not it.queue
    assert all(wrote[c] == c.answer == c.made for c in finished)
    assert it.memory.used == 0 and it.memory.room == blocks


def test_a_batch_grows_slower_with_each_that_writes_and_a_long_prompt_is_read_between_them() -> None:
    it = Batch(Build(blocks=4000, slots=32, step_tokens=128))
    for _ in range(8):
        it.add(Course(10, 400))
    it.step()
    alone = it.step()
    it.add(Course(1000, 5))
    steps = [it.step() for _ in range(9)]
    assert alone is not None and len(alone.wrote) == 8
    assert all(s is not None and len(s.wrote) >= 8 and s.read_tokens <= 120 for s in steps)  # nobody waits for it
    assert all(s is not None and s.ms > alone.ms for s in steps[:8])


def test_what_was_put_back_is_written_on_not_anew() -> None:
    it = Batch(Build(blocks=6, block_tokens=16, slots=4, step_tokens=64))
    courses = [Course(20, 50), Course(20, 50)]
    for course in courses:
        assert it.add(course)
    while it.step() is not None:
        pass
    assert [c.made for c in courses] == [50, 50] and courses[1].preempted >= 1 and courses[0].preempted == 0
