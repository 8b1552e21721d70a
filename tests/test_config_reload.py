"""Tests of configuration reloads in a running gateway, and back: no request is lost, and none runs twice."""

from __future__ import annotations

import json
import signal
import subprocess
import sys
import time
from collections import Counter
from pathlib import Path

import httpx
import msgspec
import pytest
import trio

from ternlane import ConfigError, open_routing
from ternlane.chat import InvalidRequestError
from ternlane.config import GatewayConfig, RequestClassConfig
from ternlane.engine import SocketTransport
from ternlane.engine.load_report import load_from_metrics
from ternlane.policy import messages
from tests.conftest import ROUTER_CONFIG, FakeHost, action_types, make_host, started_attempt
from tests.gateway_cluster import (
    ENGINE_PROFILE,
    FLEET_CONFIG,
    GatewayCluster,
    Reply,
    gateway_cluster,
    replace,
    scaled_request_classes,
)
from tests.test_days import gateway_config, wait_for

SLOW = replace(ENGINE_PROFILE, token_ms=25.0, answer_tokens=(16, 16))


def changed_config(config: GatewayConfig) -> GatewayConfig:
    """A configuration with load probes, no Retry-After, fewer attempts, and one request class removed, changed and
    added."""
    fleet = msgspec.structs.replace(
        FLEET_CONFIG,
        ask_load=True,
        reports_mem=False,
        max_retry_after_ms=0.0,
        max_attempts=4,
        decode_servers_prefill=True,
        release_ms=250.0,
    )
    summary, note, _ = config.request_classes
    quote = RequestClassConfig(name="quote", effect="idempotent", slo_ms=2000, token_slo_ms=60, deadline_ms=8000)
    return msgspec.structs.replace(
        config,
        fleet=fleet,
        gateways=5,
        zone="hall",
        request_classes=[summary, msgspec.structs.replace(note, slo_ms=1500, deadline_ms=7000), quote],
    )


def decode_attempts(w: GatewayCluster) -> Counter[str]:
    """Number of decode attempts by request, as the engines recorded them."""
    return Counter(str(line["gen"]) for line in w.traffic_events("leg", stage="write"))


async def test_a_reload_and_its_reversal_lose_no_request_and_repeat_none() -> None:
    replies: list[Reply] = []
    async with gateway_cluster(profile=SLOW, request_classes=scaled_request_classes(4)) as w:
        before = w.gateway.config

        async def ask(model: str) -> None:
            replies.append(await w.ask(model))

        async def start_requests(*models: str) -> None:
            """Returns once all requests have arrived; the last two start once one streams."""
            held, due = (
                w.gateway.runtime.active_requests,
                len(replies) + len(w.gateway.runtime.active_requests) + len(models),
            )
            with trio.fail_after(5):
                for i, model in enumerate(models):
                    while i == len(models) - 2 and not any(
                        active_request.streaming for active_request in held.values()
                    ):
                        await trio.sleep(0.001)
                    nursery.start_soon(ask, model)
                while len(replies) + len(held) < due:
                    await trio.sleep(0.001)

        async with trio.open_nursery() as nursery:
            await start_requests("summary", "note", "form", "note", "summary", "note")
            changed, waits = w.gateway.reload(changed_config(before))
            assert set(changed) == {"products", "fleet", "gateways", "zone"} and not waits
            assert not w.traffic_events("asked")
            await start_requests("note", "quote", "summary", "note")
            assert (await w.ask("form")).status == 404
            with trio.fail_after(5):
                while not w.traffic_events("asked"):
                    await trio.sleep(0.001)
            assert w.gateway.reload(before) == (changed, [])
            await start_requests("form", "note", "summary")
            assert (await w.ask("quote")).status == 404
        await w.wait_until_idle(5)
        asked = len(w.traffic_events("asked"))
        await ask("form")
        assert len(w.traffic_events("asked")) == asked
        assert len(replies) == 14
        for reply in replies:  # each has exactly one final answer, which is complete
            assert reply.status == 200 and reply.done == 1 and reply.error is None and len(reply.text.split()) == 16
        assert len(decode_attempts(w)) == 14 and set(decode_attempts(w).values()) == {1}


async def test_a_stream_that_breaks_after_a_reload_follows_its_old_request_class() -> None:
    replies: dict[str, Reply] = {}
    async with gateway_cluster(("r0", "w0", "w1", "w2"), profile=SLOW) as w, trio.open_nursery() as nursery:

        async def ask(model: str) -> None:
            replies[model] = await w.ask(model)

        first = w.gateway.config.request_classes[0]
        for model in ("summary", "note"):
            nursery.start_soon(ask, model)
        await trio.sleep(0.25)
        w.gateway.reload(
            msgspec.structs.replace(
                w.gateway.config,
                request_classes=[  # the two classes swap their effects
                    msgspec.structs.replace(first, effect="side-effecting"),
                    msgspec.structs.replace(first, name="note"),
                ],
            )
        )
        for name in {line["id"] for line in w.traffic_events("leg", stage="write")}:
            w.engines[name].die()
        nursery.cancel_scope.deadline = trio.current_time() + 4
        while len(replies) < 2:
            await trio.sleep(0.02)
    assert replies["summary"].done == 1 and len(replies["summary"].text.split()) == 16
    assert replies["note"].done == 0 and replies["note"].error is not None
    assert sorted(decode_attempts(w).values()) == [1, 2]


async def test_the_library_reloads_and_an_invalid_configuration_changes_nothing() -> None:
    async with gateway_cluster() as w:
        config = w.gateway.config
        async with open_routing(config, SocketTransport(w.pool, "t")) as routing:
            async with routing.request({"model": "form", "messages": [{"role": "user", "content": "a"}]}) as stream:
                with pytest.raises(ConfigError, match="leg_limit"):
                    routing.alter(
                        msgspec.structs.replace(config, fleet=msgspec.structs.replace(FLEET_CONFIG, max_attempts=0))
                    )
                routing.alter(changed_config(config))
                assert len((await stream.text()).split()) == 6
            with pytest.raises(InvalidRequestError, match="does not exist"):
                async with routing.request({"model": "form", "messages": [{"role": "user", "content": "b"}]}):
                    pass


def test_an_invalid_configuration_changes_nothing_and_is_logged(tmp_path: Path) -> None:
    path, number = gateway_config(tmp_path)
    old = path.read_text()
    new = json.dumps(
        json.loads(old)
        | {
            "fleet": {"ask_load": True},
            "gateways": 7,
            "products": [
                {"name": "summary", "slo_ms": 700, "limit_ms": 2500},
                {"name": "quote", "slo_ms": 500, "limit_ms": 2000},
            ],
        }
    )
    process = subprocess.Popen(
        [sys.executable, "-m", "ternlane", "serve", str(path)], text=True, stderr=subprocess.PIPE
    )

    def told(document: str) -> list[str]:
        path.write_text(document)
        process.send_signal(signal.SIGHUP)
        time.sleep(0.25)
        return [m["id"] for m in httpx.get(f"http://127.0.0.1:{number}/v1/models").json()["data"]]

    try:
        wait_for(number)
        assert told(new.replace('"ask_load": true', '"ask_load": "yes"')) == ["summary"]
        assert told(new) == ["summary", "quote"]
        assert told(old.replace('"slo_ms": 500', '"slo_ms": -5')) == ["summary", "quote"]
        assert told(old) == ["summary"]
        process.send_signal(signal.SIGTERM)
        _, said = process.communicate(timeout=10)
    finally:
        if process.poll() is None:
            process.kill()
    lines = [json.loads(line) for line in said.splitlines()]
    refused = [line["why"] for line in lines if line["event"] == "reload refused"]
    taken = [line["changed"] for line in lines if line["event"] == "reloaded"]
    assert len(refused) == 2 and "ask_load" in refused[0] and "slo_ms" in refused[1]
    assert [set(fields) for fields in taken] == [{"gateways", "products", "fleet"}] * 2


def test_a_lowered_attempt_limit_ends_a_request_at_its_next_outcome(host: FakeHost) -> None:
    request, attempt = host.start_decode()
    assert host.deliver(messages.ConfigChanged(replace(ROUTER_CONFIG, max_attempts=1))) == []
    assert action_types(host.end_attempt(request, attempt.server, messages.AttemptOutcome.OVERLOADED)) == [
        messages.Reject,
        messages.Release,
    ]


def test_home_pairs_survive_a_reload(host: FakeHost) -> None:
    request, attempt = host.start_decode(session="s")
    home = request.router_state.prefill_server.server
    host.first_token(request, attempt.server)
    host.end_attempt(request, attempt.server, messages.AttemptOutcome.STREAMED, over=True)
    host.deliver(
        messages.ConfigChanged(
            replace(ROUTER_CONFIG, gateways=50, max_attempts=4, max_retry_after_ms=0.0, may_send_retry_after=False)
        )
    )
    assert started_attempt(host.arrive(host.request(session="s"))).server is home


def test_load_is_probed_before_a_pair_is_chosen_and_delays_requests_briefly() -> None:
    host = make_host(may_probe=True, reports_on_probe=True)
    request = host.request()
    asked = [a.server for a in host.arrive(request)]
    assert len(asked) == 2 and all(server.role is messages.Role.PREFILL for server in asked)
    busy, idle = asked
    assert host.deliver(messages.ProbeResult(busy, messages.AttemptOutcome.STREAMED, messages.Report(30.0, 0.99))) == []
    said = host.deliver(messages.ProbeResult(idle, messages.AttemptOutcome.STREAMED, messages.Report(0.0, 0.05)))
    attempt = next(a for a in said if isinstance(a, messages.StartAttempt))
    assert (
        attempt.server is idle and attempt.timeout_ms == 2000.0
    )  # twice the latency objective, as the server is known to be slow, not silent
    assert started_attempt(make_host().arrive(request)).timeout_ms == 1000.0
    late = host.request(prefix="other")
    said = host.arrive(late, after=3000.0)
    assert messages.Probe in action_types(said) and messages.StartAttempt not in action_types(said)
    assert messages.StartAttempt in action_types(host.deliver(after=100.0))  # no probe has been answered


@pytest.mark.parametrize("client_timeout_ms", [20.0, 40.0, 80.0, 150.0])
def test_waiting_for_probes_ends_well_before_the_client_timeout(client_timeout_ms: float) -> None:
    host = make_host(may_probe=True, reports_on_probe=True)
    request = host.request(client_timeout_ms=client_timeout_ms)
    said = host.arrive(request, after=20.0)  # between two timer ticks
    answered = host.now
    while not any(isinstance(a, (messages.StartAttempt, messages.Reject)) for a in said):
        said = host.deliver(after=50.0)  # no engine reports its load
        answered = host.now
    assert answered <= request.router_state.deadline - 0.5 * client_timeout_ms


@pytest.mark.parametrize(
    "text, report",
    [
        ("vllm:num_requests_running 3\nvllm:num_requests_waiting 2\nvllm:kv_cache_usage_perc 0.25\n", (5.0, 0.25)),
        ('sglang:num_requests_running{model="a"} 1\nsglang:num_requests_running{model="b"} 2\n', (3.0, None)),
        ("kv_cache_usage_perc 7\n", None),
        ("<html>", None),
        ("", None),
    ],
)
def test_metrics_without_a_load_are_no_report(text: str, report: tuple[float, float | None] | None) -> None:
    said = load_from_metrics(text)
    assert (None if said is None else (said.open_requests, said.memory_share)) == report
