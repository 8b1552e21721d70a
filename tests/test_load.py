"""The load tool: its quantiles, what it sends and when, and that it is honest about stalls, its own included."""

from __future__ import annotations

import json
import random
import time
from pathlib import Path

import pytest
import trio
from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st

from ternlane.cli import main
from ternlane.load import ArrivalsConfig, LoadConfig, QuantileSketch, RequestMix, arrival_times, planned_requests
from ternlane.load.generator import LoadGenerator, NotLoopbackError, ScheduleMissedError, address_of
from tests.gateway_cluster import ENGINE_PROFILE, gateway_cluster, replace


@given(st.lists(st.floats(1e-6, 1e9), min_size=1, max_size=300), st.floats(0, 1), st.integers(0, 300))
@settings(max_examples=200, deadline=None)
def test_a_quantile_is_within_the_stated_error_merged_or_not(values: list[float], part: float, cut: int) -> None:
    one, two, whole = QuantileSketch(0.01), QuantileSketch(0.01), QuantileSketch(0.01)
    for i, value in enumerate(values):
        (one if i < cut else two).add(value)
        whole.add(value)
    one.merge(two)
    true = sorted(values)[int(part * (len(values) - 1))]
    for it in (one, whole):
        assert abs(it.quantile(part) - true) <= 0.0101 * true
    assert one.counts == whole.counts and one.count == whole.count == len(values)


def test_a_sketch_keeps_its_bounds_and_the_upper_quantiles_and_refuses_what_is_no_time() -> None:
    it, rng = QuantileSketch(0.01, buckets=100), random.Random(1)
    values = [10 ** rng.uniform(-3, 6) for _ in range(5000)]
    for value in values:
        it.add(value)
    assert len(it.counts) == 100
    assert it.quantile(0.99) == pytest.approx(sorted(values)[int(0.99 * 4999)], rel=0.011)
    for wrong in (-1.0, float("nan"), float("inf")):
        with pytest.raises(ValueError, match="not a finite non-negative time"):
            it.add(wrong)
    with pytest.raises(ValueError, match="different errors"):
        it.merge(QuantileSketch(0.02))


def config(**changes: object) -> LoadConfig:
    return LoadConfig(request_classes=[RequestMix("summary", answer_tokens=(6.0, 0.0))], **changes)  # type: ignore[arg-type]


@pytest.mark.parametrize(
    "arrivals",
    [
        ArrivalsConfig("poisson", 50.0),
        ArrivalsConfig("bursty", 50.0, times=5.0, part=0.1, period_s=10.0),
        ArrivalsConfig("diurnal", 50.0, swing=0.8, period_s=20.0),
    ],
)
def test_arrivals_have_the_rate_that_was_asked_for_and_their_shape(arrivals: ArrivalsConfig) -> None:
    told = LoadConfig(request_classes=[RequestMix("summary")], seconds=200.0, arrivals=arrivals)
    times = list(arrival_times(told, random.Random(3)))
    assert times == sorted(times) and len(times) == pytest.approx(10_000, rel=0.06)
    peak = {"poisson": 0.1, "bursty": 0.5, "diurnal": 0.18}[arrivals.kind]
    period = arrivals.period_s if arrivals.kind != "poisson" else 10.0
    high = (
        sum(1 for t in times if (t % period) / period < 0.1)
        if arrivals.kind != "diurnal"
        else sum(1 for t in times if 0.2 <= (t % period) / period < 0.3)
    )
    assert high / len(times) == pytest.approx(peak, rel=0.15)
    recorded = config(seconds=3.0, arrivals=ArrivalsConfig("recorded", recorded_s=[0.0, 2.0, 3.0, 8.0], faster=2.0))
    assert list(arrival_times(recorded, random.Random(1))) == [0.0, 1.0, 1.5]


def test_what_is_asked_does_not_depend_on_answers_and_popular_prefixes_come_by_zipf() -> None:
    mix = RequestMix("summary", turns=2.0, prefixes=20, prefix_words=5, zipf=1.0)
    told = LoadConfig(
        request_classes=[mix, RequestMix("note", share=0.25)],
        seconds=100.0,
        arrivals=ArrivalsConfig(rate=40.0),
        tenants={"a": 3.0, "b": 1.0},
    )
    first, again = list(planned_requests(told)), list(planned_requests(told))
    assert [(a.at_s, a.messages, a.api_key) for a in first] == [(a.at_s, a.messages, a.api_key) for a in again]
    seen = [a.messages[0]["content"] for a in first if a.mix is mix]
    often = sorted((seen.count(text) for text in set(seen)), reverse=True)
    assert len(often) == 20 and often[0] / often[9] == pytest.approx(10, rel=0.5)
    assert len(seen) / len(first) == pytest.approx(0.8, abs=0.03)
    assert sum(a.api_key == "a" for a in first) / len(first) == pytest.approx(0.75, abs=0.03)
    assert sum(a.turns_left for a in first if a.mix is mix) / len(seen) == pytest.approx(1.0, rel=0.15)


async def test_a_load_is_answered_and_counted_as_the_engines_saw_it() -> None:
    async with gateway_cluster() as w:
        lines: list[dict[str, object]] = []
        told = LoadConfig(
            request_classes=[
                RequestMix("summary", turns=2.0, think_s=0.05, prefixes=2),
                RequestMix("note", stream=False),
            ],
            seconds=1.0,
            arrivals=ArrivalsConfig(rate=30.0),
            late_ms=1000.0,
        )
        tally = await LoadGenerator(told, f"http://{w.gateway.address}/v1", lines.append).run()
        assert tally.outcomes["streamed"] == len(lines) > 20 and set(tally.outcomes) == {"streamed"}
        assert tally.tokens == 6 * len(lines) and len(w.traffic_events("effect")) >= len(lines)
        assert tally.first_token_ms.count and 0 < tally.first_token_ms.quantile(0.5) < tally.complete_ms.quantile(0.9)
        await w.wait_until_idle()


async def test_a_stall_is_seen_by_all_that_were_due_in_it() -> None:
    """All engines hang for most of a second. A closed loop would ask less meanwhile, and its median would hide the
    stall; an open one must not."""
    async with gateway_cluster(profile=replace(ENGINE_PROFILE, slots=2)) as w:

        async def stall() -> None:
            await trio.sleep(0.4)
            for engine in w.engines.values():
                engine.fault.hung = True
            await trio.sleep(0.9)
            for engine in w.engines.values():
                engine.fault.hung = False

        w.nursery.start_soon(stall)
        tally = await LoadGenerator(
            config(seconds=1.2, arrivals=ArrivalsConfig(rate=20.0), late_ms=1000.0), w.gateway.address
        ).run()
        due = sum(tally.outcomes.values())
        planned = list(planned_requests(config(seconds=1.2, arrivals=ArrivalsConfig(rate=20.0))))
        assert due == len(planned)  # none was left out
        assert tally.first_token_ms.count >= tally.outcomes["streamed"] > 0  # each that was answered has its time
        slow = sum(n for at, n in tally.first_token_ms.counts.items() if tally.first_token_ms.gamma**at > 300.0)
        assert slow + due - tally.outcomes["streamed"] > due / 4


async def test_a_tool_slower_than_its_schedule_says_so_and_reports_nothing() -> None:
    """Another task keeps the tool's process busy, so that requests go out late. Their times would be the tool's own."""
    async with gateway_cluster() as w:

        async def hog() -> None:
            for _ in range(40):
                time.sleep(0.03)  # noqa: ASYNC251
                await trio.lowlevel.checkpoint()

        w.nursery.start_soon(hog)
        with pytest.raises(ScheduleMissedError, match="1% of requests were sent at least"):
            await LoadGenerator(
                config(seconds=0.5, arrivals=ArrivalsConfig(rate=100.0), late_ms=5.0), w.gateway.address
            ).run()


async def test_clients_of_a_closed_loop_ask_one_at_a_time() -> None:
    async with gateway_cluster() as w:
        load = LoadGenerator(config(seconds=0.4, at_once=3), w.gateway.address)
        most = 0

        async def watch() -> None:
            nonlocal most
            while True:
                most = max(most, load.open)
                await trio.sleep(0.001)

        w.nursery.start_soon(watch)
        tally = await load.run()
        assert most == 3 and tally.outcomes["streamed"] >= 6


def test_only_loopback_is_asked_and_wrong_documents_are_named(tmp_path: Path) -> None:
    assert address_of("http://127.0.0.1:8080/v1") == ("127.0.0.1:8080", "/v1/chat/completions")
    assert address_of("localhost:81") == ("localhost:81", "/v1/chat/completions")
    for wrong in ("http://192.0.2.1/v1", "https://127.0.0.1", "http://example.com", "http://[2001:db8::1]:80"):
        with pytest.raises(NotLoopbackError):
            address_of(wrong)
    path = tmp_path / "load.json5"
    for text, word in (
        ("{products: []}", "products"),
        ("{products: [{model: 'a', share: -1}]}", "share"),
        ("{products: [{model: 'a'}], arrivals: {kind: 'sudden'}}", "kind"),
    ):
        path.write_text(text)
        told = CliRunner().invoke(main, ["load", str(path), "127.0.0.1:1", "--quiet"])
        assert told.exit_code == 65 and word in told.output
    path.write_text("{products: [{model: 'a'}], seconds: 0.3, arrivals: {rate: 20}, late_ms: 1000}")
    told = CliRunner().invoke(main, ["load", str(path), "http://192.0.2.1", "--quiet"])
    assert told.exit_code == 2 and "loopback" in told.output
    told = CliRunner().invoke(main, ["load", str(path), "127.0.0.1:1", "--quiet", "--out", str(tmp_path / "out")])
    assert told.exit_code == 0 and set(json.loads(told.output)["outcomes"]) == {"unconnected"}
    assert all(json.loads(line)["outcome"] == "unconnected" for line in (tmp_path / "out").read_text().splitlines())
