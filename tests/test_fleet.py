"""Emulated fleets: every job ends at most once despite cancellations, faults and lost memory, and link sharing."""

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
CONFIG = BatchConfig(blocks=400, slots=8, step_tokens=256, queue=20, cost=COST)


def expected_end_times(transfers: list[tuple[float, float]], rate: float) -> list[float]:
    """Reference model: returns the end times of (begin, tokens) transfers that share the link equally."""
    remaining, end_times, now = dict(enumerate(t for _, t in transfers)), [inf] * len(transfers), 0.0
    while remaining:
        active = [i for i in remaining if transfers[i][0] <= now]
        next_begin = min((transfers[i][0] for i in remaining if transfers[i][0] > now), default=inf)
        least_remaining = min((remaining[i] for i in active), default=inf)
        step = min(next_begin - now, least_remaining * len(active) / rate if active else inf)
        for i in active:
            remaining[i] -= step * rate / len(active)
        now += step
        for i in [i for i in active if remaining[i] <= 1e-9]:
            end_times[i] = now
            del remaining[i]
    return end_times


@given(st.lists(st.tuples(st.integers(0, 50), st.integers(1, 400)), min_size=1, max_size=12), st.integers(1, 40))
@settings(max_examples=150, deadline=None)
def test_transfers_share_a_link_equally_and_all_end(drawn: list[tuple[int, int]], rate: int) -> None:
    transfers = sorted((float(a), float(b)) for a, b in drawn)
    link, ends, started = Link(float(rate)), dict[int, float](), list[LinkTransfer]()
    for i, (at, tokens) in enumerate(transfers):
        for when, transfer in link.take_ended(at):
            ends[transfer.owner] = when  # type: ignore[index]
        started.append(link.begin(at, tokens, i))
    for when, transfer in link.take_ended(1e9):
        ends[transfer.owner] = when  # type: ignore[index]
    assert [ends[i] for i in range(len(transfers))] == pytest.approx(
        expected_end_times(transfers, float(rate)), abs=1e-6
    )
    assert (
        link.carried_tokens == pytest.approx(sum(tokens for _, tokens in transfers))
        and link.active == 0
        and link.next_at() == inf
    )


def test_cancelled_transfer_frees_bandwidth_and_a_decreasing_clock_has_no_effect() -> None:
    link = Link(10.0)
    cancelled, remaining = link.begin(0.0, 1000.0, "a"), link.begin(0.0, 1000.0, "b")
    link.cancel(100.0, cancelled)  # each has moved 500 tokens by now
    link.cancel(100.0, cancelled)
    link.advance(20.0)
    assert link.take_ended(149.0) == [] and link.take_ended(150.0) == [(150.0, remaining)]
    link.begin(200.0, 100.0, "c")
    link.set_rate(205.0, 0.0)
    assert link.next_at() == inf
    link.set_rate(300.0, 50.0)
    assert link.next_at() == 301.0


def add_engine(
    fleet: EmulatedFleet,
    config: BatchConfig = CONFIG,
    traits: EngineTraits | None = None,
    zone: str = "a",
    cell: int = 0,
) -> PlacedEngine:
    return fleet.add(EmulatedEngine(config, traits or EngineTraits(), 1), zone, cell)


def run(fleet: EmulatedFleet, until: float = 1e7) -> list[tuple[PlacedEngine, JobEvent]]:
    """Advances from event to event until `until` or until no event is left; returns the events."""
    collected: list[tuple[PlacedEngine, JobEvent]] = []
    for _ in range(100_000):
        at = fleet.next_at()
        if at > until:
            return collected
        collected += fleet.advance(at)
    raise AssertionError("the fleet did not become idle")


def counted(events: list[tuple[PlacedEngine, JobEvent]], kind: JobEventKind) -> Counter[Job]:
    return Counter(event.job for _, event in events if event.kind is kind)


def test_state_is_prefilled_transferred_and_decoded_and_its_source_memory_released() -> None:
    fleet = EmulatedFleet(port_rate=200.0, link_rate=100.0)
    prefill_server, same_cell, other_cell = add_engine(fleet), add_engine(fleet), add_engine(fleet, zone="b", cell=1)
    ends: list[float] = []
    for target in (same_cell, other_cell):
        prefill_job, job = Job(BatchSequence(1000, 0)), Job(BatchSequence(1000, 20))
        assert fleet.prefill(fleet.now_ms, prefill_server, prefill_job)
        assert (
            counted(run(fleet), JobEventKind.PREFILLED) == {prefill_job: 1} and prefill_server.engine.memory.used == 63
        )
        start_ms = fleet.now_ms
        assert fleet.decode(start_ms, target, job, prefill_server, prefill_job)
        assert not fleet.decode(
            start_ms, same_cell, Job(BatchSequence(1000, 5)), prefill_server, prefill_job
        )  # claimed by the first decode job
        events = run(fleet)
        assert counted(events, JobEventKind.TOKEN) == {job: 20} and counted(events, JobEventKind.DONE) == {job: 1}
        assert prefill_server.engine.memory.used == target.engine.memory.used == 0
        ends.append(next(t.at_ms for _, t in events if t.kind is JobEventKind.TOKEN) - start_ms)
    assert ends[0] == pytest.approx(5.0 + 5.1, abs=0.2) and ends[1] == pytest.approx(20.0 + 5.1, abs=0.2)


def test_congested_cell_link_slows_only_transfers_to_other_cells() -> None:
    fleet = EmulatedFleet(port_rate=1000.0, link_rate=100.0)
    prefill_server, same_cell, other_cell = add_engine(fleet), add_engine(fleet), add_engine(fleet, cell=1)
    prefill_jobs, jobs = [Job(BatchSequence(500, 0)) for _ in range(6)], [Job(BatchSequence(500, 1)) for _ in range(6)]
    for prefill_job in prefill_jobs:
        assert fleet.prefill(0.0, prefill_server, prefill_job)
    run(fleet)
    start_ms = fleet.now_ms
    for i, (prefill_job, job) in enumerate(zip(prefill_jobs, jobs, strict=False)):
        assert fleet.decode(start_ms, same_cell if i == 5 else other_cell, job, prefill_server, prefill_job)
    first = {t.job: t.at_ms - start_ms for _, t in run(fleet) if t.kind is JobEventKind.TOKEN}
    assert first[jobs[5]] < 7.0 and all(25.0 < first[job] < 37.0 for job in jobs[:5])


@given(st.data())
@settings(max_examples=80, deadline=None, phases=(Phase.explicit, Phase.generate))
def test_memory_is_freed_and_tokens_are_complete_despite_cancellations_and_faults(data: st.DataObject) -> None:
    """Submits, cancels and releases jobs while engines crash, hang and lose memory, in random order. In the end no
    block is used, and each job that was neither cancelled nor lost has finished once with all its tokens."""
    fleet = EmulatedFleet(port_rate=200.0, link_rate=60.0)
    small = BatchConfig(blocks=40, slots=4, step_tokens=64, queue=6, cost=COST)
    prefill_servers, decode_servers = (
        [add_engine(fleet, small, cell=i) for i in range(2)],
        [add_engine(fleet, small, cell=i) for i in range(2)],
    )
    prefill_jobs: dict[Job, PlacedEngine] = {}
    jobs: dict[Job, PlacedEngine] = {}
    ended_early: set[Job] = set()
    events: list[tuple[PlacedEngine, JobEvent]] = []
    for _ in range(data.draw(st.integers(5, 40))):
        now = fleet.now_ms + data.draw(st.integers(0, 30))
        events += fleet.advance(now)
        operation = data.draw(
            st.sampled_from(["prefill", "decode", "cancel", "crash", "shrink", "decode locally", "release", "hang"])
        )
        placed = data.draw(
            st.sampled_from(
                decode_servers if operation in ("decode", "decode locally") else prefill_servers + decode_servers
            )
        )
        if operation == "prefill":
            job = Job(BatchSequence(data.draw(st.integers(1, 300)), 0))
            if fleet.prefill(now, data.draw(st.sampled_from(prefill_servers)), job):
                prefill_jobs[job] = next(
                    s for s in prefill_servers if job.sequence in s.engine.jobs or job in s.engine.states
                )
        elif operation == "decode" and prefill_jobs:
            prefill_job = data.draw(st.sampled_from(list(prefill_jobs)))
            job = Job(BatchSequence(prefill_job.sequence.prompt_tokens, data.draw(st.integers(0, 40))))
            if fleet.decode(now, placed, job, prefill_jobs[prefill_job], prefill_job):
                jobs[job] = placed
        elif operation == "decode locally":
            job = Job(BatchSequence(data.draw(st.integers(1, 300)), data.draw(st.integers(0, 40))))
            if fleet.decode(now, placed, job):
                jobs[job] = placed
        elif operation == "cancel" and jobs:
            job = data.draw(st.sampled_from(list(jobs)))
            fleet.cancel(now, jobs[job], job)
            ended_early.add(job)
        elif operation == "release" and prefill_jobs:
            prefill_job = data.draw(st.sampled_from(list(prefill_jobs)))
            fleet.release(now, prefill_jobs[prefill_job], prefill_job)
        elif operation == "crash":
            ended_early |= set(fleet.crash(now, placed))
            placed.engine.start(now)
        elif operation == "shrink":
            placed.engine.reserve_external(data.draw(st.sampled_from([0.0, 0.3, 0.5])))
        elif operation == "hang":
            placed.engine.fault.hung = not placed.engine.fault.hung
            fleet.fault_changed(now, placed)
    for placed in prefill_servers + decode_servers:
        placed.engine.fault.hung = False
        placed.engine.reserve_external(0.0)
        fleet.fault_changed(fleet.now_ms, placed)
    events += run(fleet)
    token_counts, done_counts = counted(events, JobEventKind.TOKEN), counted(events, JobEventKind.DONE)
    for job in jobs:
        assert done_counts[job] <= 1 and token_counts[job] <= job.sequence.answer_tokens
        if job not in ended_early:
            assert done_counts[job] == 1 and token_counts[job] == job.sequence.answer_tokens
    for _ in prefill_jobs:  # released memory admits prefills that were queued
        for prefill_job, placed in prefill_jobs.items():
            fleet.release(fleet.now_ms, placed, prefill_job)
        run(fleet)
    for placed in prefill_servers + decode_servers:
        memory = placed.engine.memory
        assert (
            memory.used == 0
            and memory.available == memory.total
            and not placed.engine.jobs
            and not placed.engine.batch.queue
        )
    assert not fleet.state_transfers and not fleet.claimed


def test_answer_that_exceeds_memory_is_rejected_and_empty_answer_finishes() -> None:
    fleet = EmulatedFleet(100.0, 100.0)
    placed = add_engine(fleet, BatchConfig(blocks=10, cost=COST))
    assert not fleet.decode(0.0, placed, Job(BatchSequence(100, 61)))
    empty = Job(BatchSequence(100, 0))
    assert fleet.decode(0.0, placed, empty)
    events = run(fleet)
    assert counted(events, JobEventKind.DONE) == {empty: 1} and not counted(events, JobEventKind.TOKEN)


def test_started_engine_has_slow_start_and_an_empty_cache() -> None:
    fleet = EmulatedFleet(100.0, 100.0)
    placed = add_engine(fleet, traits=EngineTraits(slow_start_ms=1000.0, slow_start_share=0.25))
    keys = [(i, i) for i in range(60)]
    times: list[float] = []
    for at in (0.0, 5000.0, 10_000.0, 15_000.0):
        if at == 10_000.0:
            fleet.crash(at, placed)
            placed.engine.start(at)
        job = Job(BatchSequence(960, 0, keys))
        assert fleet.decode(at, placed, job)
        times.append(next(t.at_ms for _, t in run(fleet) if t.kind is JobEventKind.DONE) - at)
    warm, cached, cold, again = times
    assert cached < warm / 3 and again == pytest.approx(cached) and cold > 3 * warm


def test_load_reports_are_delayed_and_formatted_for_orca_and_prometheus() -> None:
    fleet = EmulatedFleet(100.0, 100.0)
    placed = add_engine(fleet, traits=EngineTraits(report_interval_ms=100.0, report_delay_ms=40.0, report_noise=0.0))
    for _ in range(4):
        assert fleet.decode(0.0, placed, Job(BatchSequence(300, 60)))
    assert placed.engine.reported_load(10.0).running == 0
    run(fleet, until=130.0)
    assert placed.engine.reported_load(130.0).running == 0 and placed.engine.reported_load(145.0).running == 4
    assert "vllm:num_requests_running 4" in placed.engine.reported_load(150.0).metrics()
    assert '"num_requests_running": 4' in placed.engine.reported_load(150.0).header()
    run(fleet)
    assert (
        placed.engine.current_load().running == 0 and placed.engine.reported_load(fleet.now_ms).running == 4
    )  # the report is delayed


def test_advance_to_an_earlier_time_repeats_no_event() -> None:
    """The caller advances to times before the last one: no event is repeated or lost."""
    fleet = EmulatedFleet(100.0, 100.0)
    placed, job = add_engine(fleet), Job(BatchSequence(100, 30))
    assert fleet.decode(0.0, placed, job)
    events = fleet.advance(60.0) + fleet.advance(20.0) + fleet.advance(0.0) + fleet.advance(61.0) + run(fleet)
    assert counted(events, JobEventKind.TOKEN) == {job: 30} and [t.at_ms for _, t in events] == sorted(
        t.at_ms for _, t in events
    )


# -- engines fitted to latency curves

ENGINES = Path(__file__).parent.parent / "examples" / "engines"


def test_engine_fitted_to_a_curve_matches_held_out_points() -> None:
    result = CliRunner().invoke(main, ["lab", "fit", str(ENGINES / "prefill.json5")])
    assert result.exit_code == 0, result.output  # within 5% at medians and 10% at 99th percentiles
    assert result.output.count("held out") == 3
    described = read_config(ENGINES / "prefill.json5", EngineKind)
    unfittable = msgspec.structs.replace(
        described,
        curve=[  # no step cost makes steps shorter with more sequences
            msgspec.structs.replace(p, between_ms=(40.0 / p.at_once, 50.0 / p.at_once)) for p in described.curve
        ],
    )
    assert fit(unfittable).worst(held_out=True)[0] > 0.3


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
def test_error_for_an_invalid_description_names_the_field(tmp_path: Path, change: str, word: str) -> None:
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
    result = CliRunner().invoke(main, ["lab", "fit", str(path)])
    assert result.exit_code == 65 and word in result.output
