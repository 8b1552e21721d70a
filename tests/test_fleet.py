"""Emulated engines and links: what is sent comes out once, whatever is cancelled, cut, lost or slow."""

from __future__ import annotations

from collections import Counter
from math import inf
from pathlib import Path

import msgspec
import pytest
from click.testing import CliRunner
from hypothesis import Phase, given, settings
from hypothesis import strategies as st

from ternlane.cli import main
from ternlane.config import read_config
from ternlane.emulator import (
    BatchConfig,
    BatchSequence,
    EmulatedEngine,
    EmulatedFleet,
    EngineTraits,
    Job,
    JobEvent,
    JobEventKind,
    Link,
    LinkTransfer,
    PlacedEngine,
    StepCost,
)
from ternlane.emulator.engine_kind import EngineKind
from ternlane.emulator.fit import fit

COST = StepCost(step_ms=5.0, decode_ms=0.1, prefill_ms=0.02, context_ms=0.0)
BUILD = BatchConfig(blocks=400, slots=8, step_tokens=256, queue=20, cost=COST)


def slowly(sizes: list[tuple[float, float]], rate: float) -> list[float]:
    """When each of (begin, tokens) ends if what is on the link shares it evenly: by going from event to event."""
    left, out, now = dict(enumerate(t for _, t in sizes)), [inf] * len(sizes), 0.0
    while left:
        on = [i for i in left if sizes[i][0] <= now]
        coming = min((sizes[i][0] for i in left if sizes[i][0] > now), default=inf)
        first = min((left[i] for i in on), default=inf)
        step = min(coming - now, first * len(on) / rate if on else inf)
        for i in on:
            left[i] -= step * rate / len(on)
        now += step
        for i in [i for i in on if left[i] <= 1e-9]:
            out[i] = now
            del left[i]
    return out


@given(st.lists(st.tuples(st.integers(0, 50), st.integers(1, 400)), min_size=1, max_size=12), st.integers(1, 40))
@settings(max_examples=150, deadline=None)
def test_transfers_share_a_link_evenly_and_none_is_lost(told: list[tuple[int, int]], rate: int) -> None:
    sizes = sorted((float(a), float(b)) for a, b in told)
    link, ends, jobs = Link(float(rate)), dict[int, float](), list[LinkTransfer]()
    for i, (at, tokens) in enumerate(sizes):
        for when, it in link.take_ended(at):
            ends[it.job] = when  # type: ignore[index]
        jobs.append(link.begin(at, tokens, i))
    for when, it in link.take_ended(1e9):
        ends[it.job] = when  # type: ignore[index]
    assert [ends[i] for i in range(len(sizes))] == pytest.approx(slowly(sizes, float(rate)), abs=1e-6)
    assert (
        link.carried_tokens == pytest.approx(sum(tokens for _, tokens in sizes))
        and link.active == 0
        and link.next_at() == inf
    )


def test_a_cancelled_transfer_gives_its_share_to_the_others_and_a_clock_that_jumps_back_moves_nothing() -> None:
    link = Link(10.0)
    gone, stays = link.begin(0.0, 1000.0, "a"), link.begin(0.0, 1000.0, "b")
    link.cancel(100.0, gone)  # each has 500 by now
    link.cancel(100.0, gone)
    link.advance(20.0)
    assert link.take_ended(149.0) == [] and link.take_ended(150.0) == [(150.0, stays)]
    link.begin(200.0, 100.0, "c")
    link.set_rate(205.0, 0.0)
    assert link.next_at() == inf
    link.set_rate(300.0, 50.0)
    assert link.next_at() == 301.0


def cell(
    fleet: EmulatedFleet, build: BatchConfig = BUILD, nature: EngineTraits | None = None, zone: str = "a", at: int = 0
) -> PlacedEngine:
    return fleet.add(EmulatedEngine(build, nature or EngineTraits(), 1), zone, at)


def run(fleet: EmulatedFleet, until: float = 1e7) -> list[tuple[PlacedEngine, JobEvent]]:
    """Lets time jump from event to event until nothing is left to do."""
    out: list[tuple[PlacedEngine, JobEvent]] = []
    for _ in range(100_000):
        at = fleet.next_at()
        if at > until:
            return out
        out += fleet.advance(at)
    raise AssertionError("it does not come to rest")


def counted(told: list[tuple[PlacedEngine, JobEvent]], what: JobEventKind) -> Counter[Job]:
    return Counter(t.job for _, t in told if t.kind is what)


def test_a_state_is_prefilled_moved_and_decoded_and_the_prefill_servers_memory_released() -> None:
    fleet = EmulatedFleet(port_rate=200.0, link_rate=100.0)
    prefill_server, near, far = cell(fleet), cell(fleet), cell(fleet, zone="b", at=1)
    ends: list[float] = []
    for target in (near, far):
        held, job = Job(BatchSequence(1000, 0)), Job(BatchSequence(1000, 20))
        assert fleet.prefill(fleet.now_ms, prefill_server, held)
        assert counted(run(fleet), JobEventKind.PREFILLED) == {held: 1} and prefill_server.engine.memory.used == 63
        since = fleet.now_ms
        assert fleet.decode(since, target, job, prefill_server, held)
        assert not fleet.decode(
            since, near, Job(BatchSequence(1000, 5)), prefill_server, held
        )  # it is promised already
        told = run(fleet)
        assert counted(told, JobEventKind.TOKEN) == {job: 20} and counted(told, JobEventKind.DONE) == {job: 1}
        assert prefill_server.engine.memory.used == target.engine.memory.used == 0
        ends.append(next(t.at_ms for _, t in told if t.kind is JobEventKind.TOKEN) - since)
    assert ends[0] == pytest.approx(5.0 + 5.1, abs=0.2) and ends[1] == pytest.approx(20.0 + 5.1, abs=0.2)


def test_a_cells_link_that_is_full_slows_all_that_leave_it_and_nothing_else() -> None:
    fleet = EmulatedFleet(port_rate=1000.0, link_rate=100.0)
    prefill_server, near, far = cell(fleet), cell(fleet), cell(fleet, at=1)
    helds, jobs = [Job(BatchSequence(500, 0)) for _ in range(6)], [Job(BatchSequence(500, 1)) for _ in range(6)]
    for held in helds:
        assert fleet.prefill(0.0, prefill_server, held)
    run(fleet)
    since = fleet.now_ms
    for i, (held, job) in enumerate(zip(helds, jobs, strict=False)):
        assert fleet.decode(since, near if i == 5 else far, job, prefill_server, held)
    first = {t.job: t.at_ms - since for _, t in run(fleet) if t.kind is JobEventKind.TOKEN}
    assert first[jobs[5]] < 7.0 and all(25.0 < first[job] < 37.0 for job in jobs[:5])


@given(st.data())
@settings(max_examples=80, deadline=None, phases=(Phase.explicit, Phase.generate))
def test_whatever_is_cancelled_cut_or_lost_memory_comes_back_and_tokens_add_up(data: st.DataObject) -> None:
    """Jobs are sent, cancelled and released, engines die, hang and lose memory, in any order. In the end no block is
    used, and each job that was not stopped has ended once with all its tokens."""
    fleet = EmulatedFleet(port_rate=200.0, link_rate=60.0)
    small = BatchConfig(blocks=40, slots=4, step_tokens=64, queue=6, cost=COST)
    prefill_servers, decode_servers = (
        [cell(fleet, small, at=i) for i in range(2)],
        [cell(fleet, small, at=i) for i in range(2)],
    )
    helds: dict[Job, PlacedEngine] = {}
    jobs: dict[Job, PlacedEngine] = {}
    stopped: set[Job] = set()
    told: list[tuple[PlacedEngine, JobEvent]] = []
    for _ in range(data.draw(st.integers(5, 40))):
        now = fleet.now_ms + data.draw(st.integers(0, 30))
        told += fleet.advance(now)
        what = data.draw(st.sampled_from(["read", "write", "cancel", "die", "cut", "place", "release", "hang"]))
        seat = data.draw(
            st.sampled_from(decode_servers if what in ("write", "place") else prefill_servers + decode_servers)
        )
        if what == "read":
            job = Job(BatchSequence(data.draw(st.integers(1, 300)), 0))
            if fleet.prefill(now, data.draw(st.sampled_from(prefill_servers)), job):
                helds[job] = next(s for s in prefill_servers if job.sequence in s.engine.jobs or job in s.engine.states)
        elif what == "write" and helds:
            held = data.draw(st.sampled_from(list(helds)))
            job = Job(BatchSequence(held.sequence.prompt_tokens, data.draw(st.integers(0, 40))))
            if fleet.decode(now, seat, job, helds[held], held):
                jobs[job] = seat
        elif what == "place":
            job = Job(BatchSequence(data.draw(st.integers(1, 300)), data.draw(st.integers(0, 40))))
            if fleet.decode(now, seat, job):
                jobs[job] = seat
        elif what == "cancel" and jobs:
            job = data.draw(st.sampled_from(list(jobs)))
            fleet.cancel(now, jobs[job], job)
            stopped.add(job)
        elif what == "release" and helds:
            held = data.draw(st.sampled_from(list(helds)))
            fleet.release(now, helds[held], held)
        elif what == "die":
            stopped |= set(fleet.crash(now, seat))
            seat.engine.start(now)
        elif what == "cut":
            seat.engine.reserve_external(data.draw(st.sampled_from([0.0, 0.3, 0.5])))
        elif what == "hang":
            seat.engine.fault.hung = not seat.engine.fault.hung
            fleet.fault_changed(now, seat)
    for seat in prefill_servers + decode_servers:
        seat.engine.fault.hung = False
        seat.engine.reserve_external(0.0)
        fleet.fault_changed(fleet.now_ms, seat)
    told += run(fleet)
    wrote, done = counted(told, JobEventKind.TOKEN), counted(told, JobEventKind.DONE)
    for job in jobs:
        assert done[job] <= 1 and wrote[job] <= job.sequence.answer_tokens
        if job not in stopped:
            assert done[job] == 1 and wrote[job] == job.sequence.answer_tokens
    for _ in helds:  # what is released makes room for reads that waited
        for held, seat in helds.items():
            fleet.release(fleet.now_ms, seat, held)
        run(fleet)
    for seat in prefill_servers + decode_servers:
        memory = seat.engine.memory
        assert (
            memory.used == 0
            and memory.available == memory.total
            and not seat.engine.jobs
            and not seat.engine.batch.queue
        )
    assert not fleet.state_transfers and not fleet.claimed


def test_an_answer_longer_than_memory_is_rejected_and_an_empty_one_ends() -> None:
    fleet = EmulatedFleet(100.0, 100.0)
    seat = cell(fleet, BatchConfig(blocks=10, cost=COST))
    assert not fleet.decode(0.0, seat, Job(BatchSequence(100, 61)))
    empty = Job(BatchSequence(100, 0))
    assert fleet.decode(0.0, seat, empty)
    told = run(fleet)
    assert counted(told, JobEventKind.DONE) == {empty: 1} and not counted(told, JobEventKind.TOKEN)


def test_a_cold_engine_is_slow_and_empty_and_warms() -> None:
    fleet = EmulatedFleet(100.0, 100.0)
    seat = cell(fleet, nature=EngineTraits(slow_start_ms=1000.0, slow_start_share=0.25))
    keys = [(i, i) for i in range(60)]
    times: list[float] = []
    for at in (0.0, 5000.0, 10_000.0, 15_000.0):
        if at == 10_000.0:
            fleet.crash(at, seat)
            seat.engine.start(at)
        job = Job(BatchSequence(960, 0, keys))
        assert fleet.decode(at, seat, job)
        times.append(next(t.at_ms for _, t in run(fleet) if t.kind is JobEventKind.DONE) - at)
    warm, kept, cold, again = times
    assert kept < warm / 3 and again == pytest.approx(kept) and cold > 3 * warm


def test_load_reports_are_late_and_off_and_in_the_usual_forms() -> None:
    fleet = EmulatedFleet(100.0, 100.0)
    seat = cell(fleet, nature=EngineTraits(report_ms=100.0, lag_ms=40.0, noise=0.0))
    for _ in range(4):
        assert fleet.decode(0.0, seat, Job(BatchSequence(300, 60)))
    assert seat.engine.reported_load(10.0).running == 0
    run(fleet, until=130.0)
    assert seat.engine.reported_load(130.0).running == 0 and seat.engine.reported_load(145.0).running == 4
    assert "vllm:num_requests_running 4" in seat.engine.reported_load(150.0).metrics()
    assert '"num_requests_running": 4' in seat.engine.reported_load(150.0).header()
    run(fleet)
    assert (
        seat.engine.current_load().running == 0 and seat.engine.reported_load(fleet.now_ms).running == 4
    )  # it has not heard yet


def test_a_driver_whose_clock_jumps_back_sees_nothing_twice() -> None:
    """Whoever drives the fleet asks for times before the last one: nothing happens again, and nothing is lost."""
    fleet = EmulatedFleet(100.0, 100.0)
    seat, job = cell(fleet), Job(BatchSequence(100, 30))
    assert fleet.decode(0.0, seat, job)
    told = fleet.advance(60.0) + fleet.advance(20.0) + fleet.advance(0.0) + fleet.advance(61.0) + run(fleet)
    assert counted(told, JobEventKind.TOKEN) == {job: 30} and [t.at_ms for _, t in told] == sorted(
        t.at_ms for _, t in told
    )


# -- kinds of engines, fitted to curves

KINDS = Path(__file__).parent.parent / "examples" / "engines"


def test_an_engine_fitted_to_a_curve_has_the_points_left_out_too() -> None:
    told = CliRunner().invoke(main, ["lab", "fit", str(KINDS / "prefill.json5")])
    assert told.exit_code == 0, told.output  # within 5% at medians and 10% at 99th percentiles
    assert told.output.count("held out") == 3
    strict = read_config(KINDS / "prefill.json5", EngineKind)
    crooked = msgspec.structs.replace(
        strict,
        curve=[  # no pace has shorter steps with more in them
            msgspec.structs.replace(p, between_ms=(40.0 / p.at_once, 50.0 / p.at_once)) for p in strict.curve
        ],
    )
    assert fit(crooked).worst(held_out=True)[0] > 0.3


@pytest.mark.parametrize(
    "change, word",
    [
        ("slots: 0", "slots"),
        ("step_toks: 'many'", "step_toks"),
        ("evicts: 'fifo'", "evicts"),
        ("curve: []", "curve"),
        ("curve: [{at_once: 1, prompt: 10, answer: 5, first_ms: [1, 0], between_ms: [1, 1]}]", "first_ms"),
        ("curve: [{at_once: 1, prompt: 10, answer: 5, first_ms: [1, 2], between_ms: [1, 1]}]", "at least two points"),
        ("colour: 'red'", "colour"),
    ],
)
def test_a_wrong_description_is_named_by_its_field(tmp_path: Path, change: str, word: str) -> None:
    path = tmp_path / "kind.json5"
    path.write_text(
        "{name: 'a', memory_toks: 1000, slots: 4, step_toks: 64, curve: "
        "[{at_once: 1, prompt: 10, answer: 5, first_ms: [1, 2], between_ms: [1, 1]},"
        " {at_once: 2, prompt: 10, answer: 5, first_ms: [1, 2], between_ms: [1, 1]}]}"
    )
    text = path.read_text()
    field = change.split(":")[0]
    at = text.find(f"{field}:")
    end = len(text) - 1 if field == "curve" else text.find(",", at)
    path.write_text(text[:at] + change + text[end:] if at > 0 else text[:-1] + ", " + change + "}")
    told = CliRunner().invoke(main, ["lab", "fit", str(path)])
    assert told.exit_code == 65 and word in told.output
