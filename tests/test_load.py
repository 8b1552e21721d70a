"""The load generator: quantile sketch, arrivals, planned requests, latencies during stalls and its own delays."""

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
from ternlane.load import ArrivalsConfig, LoadConfig, QuantileSketch, RequestClassLoad, arrival_times, planned_requests
from ternlane.load.generator import LoadGenerator, NotLoopbackError, ScheduleMissedError, address_of
from tests.gateway_cluster import ENGINE_PROFILE, gateway_cluster, replace


@given(st.lists(st.floats(1e-6, 1e9), min_size=1, max_size=300), st.floats(0, 1), st.integers(0, 300))
@settings(max_examples=200, deadline=None)
def test_quantile_error_is_bounded_with_and_without_merging(values: list[float], part: float, cut: int) -> None:
    one, two, merged_directly = QuantileSketch(0.01), QuantileSketch(0.01), QuantileSketch(0.01)
    for i, value in enumerate(values):
        (one if i < cut else two).add(value)
        merged_directly.add(value)
    one.merge(two)
    true = sorted(values)[int(part * (len(values) - 1))]
    for sketch in (one, merged_directly):
        assert abs(sketch.quantile(part) - true) <= 0.0101 * true
    assert one.counts == merged_directly.counts and one.count == merged_directly.count == len(values)


def test_sketch_collapses_low_buckets_and_rejects_invalid_times() -> None:
    sketch, rng = QuantileSketch(0.01, buckets=100), random.Random(1)
    values = [10 ** rng.uniform(-3, 6) for _ in range(5000)]
    for value in values:
        sketch.add(value)
    assert len(sketch.counts) == 100
    assert sketch.quantile(0.99) == pytest.approx(sorted(values)[int(0.99 * 4999)], rel=0.011)
    for invalid in (-1.0, float("nan"), float("inf")):
        with pytest.raises(ValueError, match="not a finite non-negative time"):
            sketch.add(invalid)
    with pytest.raises(ValueError, match="different errors"):
        sketch.merge(QuantileSketch(0.02))


def config(**changes: object) -> LoadConfig:
    return LoadConfig(request_classes=[RequestClassLoad("summary", answer_tokens=(6.0, 0.0))], **changes)  # type: ignore[arg-type]


@pytest.mark.parametrize(
    "arrivals",
    [
        ArrivalsConfig("poisson", 50.0),
        ArrivalsConfig("bursty", 50.0, times=5.0, part=0.1, period_s=10.0),
        ArrivalsConfig("diurnal", 50.0, swing=0.8, period_s=20.0),
    ],
)
def test_arrivals_have_the_configured_rate_and_shape(arrivals: ArrivalsConfig) -> None:
    load_config = LoadConfig(request_classes=[RequestClassLoad("summary")], seconds=200.0, arrivals=arrivals)
    times = list(arrival_times(load_config, random.Random(3)))
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


def test_planned_requests_are_reproducible_and_prefixes_follow_zipf() -> None:
    request_class = RequestClassLoad("summary", turns=2.0, prefixes=20, prefix_words=5, zipf=1.0)
    load_config = LoadConfig(
        request_classes=[request_class, RequestClassLoad("note", share=0.25)],
        seconds=100.0,
        arrivals=ArrivalsConfig(rate=40.0),
        tenants={"a": 3.0, "b": 1.0},
    )
    first, again = list(planned_requests(load_config)), list(planned_requests(load_config))
    assert [(a.at_s, a.messages, a.api_key) for a in first] == [(a.at_s, a.messages, a.api_key) for a in again]
    prefix_texts = [a.messages[0]["content"] for a in first if a.request_class is request_class]
    prefix_counts = sorted((prefix_texts.count(text) for text in set(prefix_texts)), reverse=True)
    assert len(prefix_counts) == 20 and prefix_counts[0] / prefix_counts[9] == pytest.approx(10, rel=0.5)
    assert len(prefix_texts) / len(first) == pytest.approx(0.8, abs=0.03)
    assert sum(a.api_key == "a" for a in first) / len(first) == pytest.approx(0.75, abs=0.03)
    assert sum(a.turns_left for a in first if a.request_class is request_class) / len(prefix_texts) == pytest.approx(
        1.0, rel=0.15
    )


async def test_load_results_match_the_engine_traffic() -> None:
    async with gateway_cluster() as cluster:
        lines: list[dict[str, object]] = []
        load_config = LoadConfig(
            request_classes=[
                RequestClassLoad("summary", turns=2.0, think_s=0.05, prefixes=2),
                RequestClassLoad("note", stream=False),
            ],
            seconds=1.0,
            arrivals=ArrivalsConfig(rate=30.0),
            late_ms=1000.0,
        )
        tally = await LoadGenerator(load_config, f"http://{cluster.gateway.address}/v1", lines.append).run()
        assert tally.outcomes["streamed"] == len(lines) > 20 and set(tally.outcomes) == {"streamed"}
        assert tally.tokens == 6 * len(lines) and len(cluster.traffic_events("effect")) >= len(lines)
        assert tally.first_token_ms.count and 0 < tally.first_token_ms.quantile(0.5) < tally.complete_ms.quantile(0.9)
        await cluster.wait_until_idle()


async def test_open_loop_latencies_include_a_stall() -> None:
    """All engines hang for 0.9 s. Closed-loop clients would send fewer requests meanwhile, and their median would hide
    the stall; open-loop latencies have to show it."""
    async with gateway_cluster(profile=replace(ENGINE_PROFILE, slots=2)) as cluster:

        async def stall() -> None:
            await trio.sleep(0.4)
            for engine in cluster.engines.values():
                engine.fault.hung = True
            await trio.sleep(0.9)
            for engine in cluster.engines.values():
                engine.fault.hung = False

        cluster.nursery.start_soon(stall)
        tally = await LoadGenerator(
            config(seconds=1.2, arrivals=ArrivalsConfig(rate=20.0), late_ms=1000.0), cluster.gateway.address
        ).run()
        due = sum(tally.outcomes.values())
        planned = list(planned_requests(config(seconds=1.2, arrivals=ArrivalsConfig(rate=20.0))))
        assert due == len(planned)  # no planned request was skipped
        assert tally.first_token_ms.count >= tally.outcomes["streamed"] > 0  # each complete response has a latency
        slow = sum(n for at, n in tally.first_token_ms.counts.items() if tally.first_token_ms.gamma**at > 300.0)
        assert slow + due - tally.outcomes["streamed"] > due / 4


async def test_missed_schedule_raises_an_error() -> None:
    """Another task blocks the event loop, so requests are sent late and latencies would include the delay."""
    async with gateway_cluster() as cluster:

        async def block_event_loop() -> None:
            for _ in range(40):
                time.sleep(0.03)  # noqa: ASYNC251
                await trio.lowlevel.checkpoint()

        cluster.nursery.start_soon(block_event_loop)
        with pytest.raises(ScheduleMissedError, match="1% of requests were sent at least"):
            await LoadGenerator(
                config(seconds=0.5, arrivals=ArrivalsConfig(rate=100.0), late_ms=5.0), cluster.gateway.address
            ).run()


async def test_closed_loop_clients_send_one_request_at_a_time() -> None:
    async with gateway_cluster() as cluster:
        load = LoadGenerator(config(seconds=0.4, at_once=3), cluster.gateway.address)
        max_open = 0

        async def watch() -> None:
            nonlocal max_open
            while True:
                max_open = max(max_open, load.open)
                await trio.sleep(0.001)

        cluster.nursery.start_soon(watch)
        tally = await load.run()
        assert max_open == 3 and tally.outcomes["streamed"] >= 6


def test_only_loopback_is_allowed_and_errors_name_invalid_fields(tmp_path: Path) -> None:
    assert address_of("http://127.0.0.1:8080/v1") == ("127.0.0.1:8080", "/v1/chat/completions")
    assert address_of("localhost:81") == ("localhost:81", "/v1/chat/completions")
    for invalid in ("http://192.0.2.1/v1", "https://127.0.0.1", "http://example.com", "http://[2001:db8::1]:80"):
        with pytest.raises(NotLoopbackError):
            address_of(invalid)
    path = tmp_path / "load.json5"
    for text, word in (
        ("{products: []}", "products"),
        ("{products: [{model: 'a', share: -1}]}", "share"),
        ("{products: [{model: 'a'}], arrivals: {kind: 'sudden'}}", "kind"),
    ):
        path.write_text(text)
        result = CliRunner().invoke(main, ["load", str(path), "127.0.0.1:1", "--quiet"])
        assert result.exit_code == 65 and word in result.output
    path.write_text("{products: [{model: 'a'}], seconds: 0.3, arrivals: {rate: 20}, late_ms: 1000}")
    result = CliRunner().invoke(main, ["load", str(path), "http://192.0.2.1", "--quiet"])
    assert result.exit_code == 2 and "loopback" in result.output
    result = CliRunner().invoke(main, ["load", str(path), "127.0.0.1:1", "--quiet", "--out", str(tmp_path / "out")])
    assert result.exit_code == 0 and set(json.loads(result.output)["outcomes"]) == {"unconnected"}
    assert all(json.loads(line)["outcome"] == "unconnected" for line in (tmp_path / "out").read_text().splitlines())
