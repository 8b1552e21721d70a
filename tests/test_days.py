"""Scenario runs with processes and sockets, the daemon's signals, and the OpenAI client library."""

from __future__ import annotations

import json
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import httpx
import openai
import pytest
import trio

from ternlane.config import read_config
from ternlane.scenarios.fault_plan import fault_actions_of
from ternlane.scenarios.fleet_plan import engines_of
from ternlane.scenarios.scenario import Scenario
from tests.gateway_cluster import ENGINE_PROFILE, gateway_cluster, replace

DAYS = Path(__file__).parent.parent / "days"
FAULT_KINDS = {
    "burst",
    "crash",
    "hang",
    "slow",
    "pauses",
    "neighbour",
    "flush",
    "answer_lost",
    "handshake_slow",
    "heavy_tail",
    "hot_key",
    "origin_slow",
    "zone_cut",
    "mass_restart",
    "preempt",
    "balancer_crash",
    "balancer_roll",
    "registry_fails",
    "release",
    "tenant_rush",
    "stream_broken",
}


def run(*args: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run([sys.executable, "-m", "ternlane", *args], capture_output=True, text=True, timeout=120)


def test_the_short_scenario_breaks_no_rule(tmp_path: Path) -> None:
    """Engines crash and lose answers, a zone is cut off, a gateway is killed, and engines are upgraded. Each request
    must still get one answer and have its effect once, and no state may stay held."""
    completed = run("day", "play", str(DAYS / "short.json5"), "--quiet", "--out", str(tmp_path / "run"))
    assert completed.returncode == 0, completed.stdout[-3000:] + completed.stderr[-2000:]
    report = json.loads((tmp_path / "run" / "report.json").read_text())
    assert report["rules_kept"] and report["judged"]["asked"] > 200
    assert report["judged"]["states"] > 100 and report["judged"]["drains told"] > 0
    assert run("rules", "check", str(tmp_path / "run")).returncode == 0


def test_shipped_scenarios_contain_every_kind_of_fault_and_are_deterministic() -> None:
    kinds_found = set()
    for path in DAYS.glob("*.json5"):
        scenario = read_config(path, Scenario)
        kinds_found |= {fault.kind for fault in scenario.troubles}
        assert fault_actions_of(scenario) == fault_actions_of(scenario) and engines_of(scenario) == engines_of(scenario)
    assert kinds_found == FAULT_KINDS


def test_an_invalid_scenario_is_refused_with_line_and_field(tmp_path: Path) -> None:
    text = (DAYS / "short.json5").read_text().replace('kind: "crash"', 'kind: "crahs"')
    (tmp_path / "d.json5").write_text(text)
    completed = run("day", "play", str(tmp_path / "d.json5"))
    assert completed.returncode == 65 and "d.json5:" in completed.stderr and "troubles[1]" in completed.stderr


def gateway_config(tmp_path: Path, **more: Any) -> tuple[Path, int]:
    """Writes a configuration without servers. Returns its path and its port, which is free."""
    with socket.socket() as s:
        s.bind(("127.0.0.1", 0))
        port = s.getsockname()[1]
    path = tmp_path / "g.json5"
    path.write_text(
        json.dumps(
            {
                "name": "g1",
                "listen": f"127.0.0.1:{port}",
                "products": [{"name": "summary", "slo_ms": 500, "limit_ms": 2000}],
                "nodes": {"from": "inline", "nodes": []},
            }
            | more
        )
    )
    return path, port


def wait_for(port: int) -> None:
    for _ in range(200):
        try:
            httpx.get(f"http://127.0.0.1:{port}/healthz", timeout=1)
            return
        except httpx.HTTPError:
            time.sleep(0.02)
    raise AssertionError("the gateway does not listen")


def test_an_invalid_reload_is_refused_and_sigterm_drains(tmp_path: Path) -> None:
    """An operator reloads a configuration whose deadline is shorter than the latency objective. The gateway must refuse
    it, keep the previous one, and shut down gracefully on SIGTERM."""
    path, port = gateway_config(tmp_path)
    process = subprocess.Popen(
        [sys.executable, "-m", "ternlane", "serve", str(path)], text=True, stderr=subprocess.PIPE
    )
    try:
        wait_for(port)
        models = httpx.get(f"http://127.0.0.1:{port}/v1/models").json()
        assert [m["id"] for m in models["data"]] == ["summary"]
        path.write_text(path.read_text().replace('"limit_ms": 2000', '"limit_ms": 1'))
        process.send_signal(signal.SIGHUP)
        time.sleep(0.3)
        assert httpx.get(f"http://127.0.0.1:{port}/healthz").json() == {"ready": True}
        process.send_signal(signal.SIGTERM)
        _, log = process.communicate(timeout=10)
    finally:
        if process.poll() is None:
            process.kill()
    events = [json.loads(line)["event"] for line in log.splitlines()]
    assert process.returncode == 0 and "reload refused" in events and events[-1] == "ended"


def test_a_port_in_use_is_reported(tmp_path: Path) -> None:
    """Another process already listens on the port. The gateway must report this and exit at once."""
    path, port = gateway_config(tmp_path)
    with socket.socket() as s:
        s.bind(("127.0.0.1", port))
        s.listen()
        completed = run("serve", str(path))
    assert completed.returncode == 69 and "in use" in completed.stderr


async def test_the_openai_client_is_served() -> None:
    async with gateway_cluster(
        ("r0", "w0"), profile=replace(ENGINE_PROFILE, token_ms=10.0, answer_tokens=(12, 12))
    ) as cluster:
        base = f"http://{cluster.gateway.address}/v1"
        messages: Any = [{"role": "user", "content": "tell me"}]

        def use_client() -> tuple[str, str, list[str], Any]:
            with openai.OpenAI(api_key="none", base_url=base, max_retries=0) as client:
                plain = client.chat.completions.create(model="summary", messages=messages)
                streamed = client.chat.completions.create(
                    model="summary", messages=messages, stream=True, stream_options={"include_usage": True}
                )
                chunks = list(streamed)
                text = "".join(c.choices[0].delta.content or "" for c in chunks if c.choices)
                with pytest.raises(openai.NotFoundError) as not_found:
                    client.chat.completions.create(model="unknown", messages=messages)
                broken = client.chat.completions.create(model="summary", messages=messages, stream=True)
                next(iter(broken))
                broken.close()  # cancelled during the stream
                assert chunks[-1].usage is not None and chunks[-1].usage.completion_tokens == 12
                names = [m.id for m in client.models.list()]
                return plain.choices[0].message.content or "", text, names, not_found.value.code

        plain, text, models, code = await trio.to_thread.run_sync(use_client)
        assert plain == text and len(text.split()) == 12
        assert models == ["summary", "note", "form"] and code == "model_not_found"
        await cluster.wait_until_idle()

        def rejected_once() -> str:
            with openai.OpenAI(api_key="none", base_url=base, max_retries=2) as client:
                return client.chat.completions.create(model="note", messages=messages).choices[0].message.content or ""

        cluster.gateway.found([])  # no server: status 429, and retries by the client library

        async def list_servers_again() -> None:
            await trio.sleep(0.2)
            cluster.publish_endpoints()

        cluster.nursery.start_soon(list_servers_again)
        assert await trio.to_thread.run_sync(rejected_once) == text
        assert len(cluster.traffic_events("effect")) == 4


def bench_day() -> dict[str, Any]:
    """A synthetic day in the benchmark's form: two zones, eight servers, four faults."""
    classes = [
        {
            "name": n,
            "effect": e,
            "group": "cell",
            "window": 4e6,
            "aim": 1e6,
            "deadline": 5e6,
            "worth": w,
            "late_worth": 0.1,
            "share": 0.5,
        }
        for n, e, w in (("ask", "safe", 2), ("file", "unsafe", 3))
    ]
    use_client = {
        "aim_ms_per_k": 40,
        "token_ms": 60,
        "new_tokens": 300,
        "prefix_tokens": 900,
        "prefix_share": 0.7,
        "prefixes": 4,
        "turns": 2,
        "think_s": 1,
    }
    no_details = {"size": 0.0, "extra": 0.0, "which": 0, "steps": []}
    return {
        "family": "twostage",
        "site": "made up",
        "kind": "trouble",
        "noise": 11,
        "length": 20e6,
        "zones": ["a", "b"],
        "front_notice": 1e6,
        "drain_grace": 1e6,
        "fall_multiple": 3,
        "fall_for": 2e6,
        "classes": classes,
        "traffic": {"load": 0.5, "shape": [[0, 1.0]]},
        "balancers": [{}] * 4,
        "servers": [{"zone": i // 4, "cell": i // 4, "kind": i % 2} for i in range(8)],
        "clients": {"retries": 2, "try_share": 0.8, "honour": 0.5, "impatient": 0, "max_retry_after": 5e5},
        "discovery": {"notice": 5e5, "silent_notice": 2e6},
        "allow": {"max_attempts": 4, "cancel": True},
        "tiers": [{"connect_timeout": 2.5e5, "stated_cold": 8e6, "stated_cold_from": 0.3, "report_fields": ["x0"]}],
        "fam": {
            "roles": ["read", "write"],
            "near": 3e5,
            "far": 1e5,
            "release": 5e5,
            "talks": [use_client, use_client],
            "engines": [{"queue": 40}, {"queue": 20}],
        },
        "troubles": [
            {"kind": "crash", "at": 4e6, "len": 6e6, "on": [0, 1]} | no_details,
            {"kind": "zone_cut", "at": 6e6, "len": 5e6, "on": []} | no_details | {"which": 1},
            {"kind": "preempt", "at": 7e6, "len": 5e6, "on": []}
            | no_details
            | {"size": 2.0, "extra": 6.0, "steps": [{"stop": [3], "start": [8]}, {"stop": [5], "start": [9]}]},
            {"kind": "unknown-kind", "at": 8e6, "len": 1e6, "on": [1]} | no_details,
        ],
    }


def test_a_benchmark_day_is_converted_to_a_scenario(tmp_path: Path) -> None:
    (tmp_path / "day.json").write_text(json.dumps(bench_day()))
    completed = run("day", "from-bench", str(tmp_path / "day.json"), "--speed", "2", "--engines", "8")
    assert completed.returncode == 0, completed.stderr
    (tmp_path / "d.json5").write_text(completed.stdout)
    scenario = read_config(tmp_path / "d.json5", Scenario)
    assert [(fault.kind, fault.at_s) for fault in scenario.troubles] == [
        ("crash", 2.0),
        ("zone_cut", 3.0),
        ("preempt", 3.5),
    ]
    assert [request_class.effect for request_class in scenario.request_classes] == ["idempotent", "side-effecting"]
    assert scenario.request_classes[0].slo_ms == 500
    assert sorted(e.role for e in engines_of(scenario)) == ["read"] * 4 + ["write"] * 4
    assert sum(action.what == "drain" for action in fault_actions_of(scenario)) == 2
    (tmp_path / "day.json").write_text('{"family": "web"}')
    assert run("day", "from-bench", str(tmp_path / "day.json")).returncode == 65
