"""Races of endpoint lists and configuration with a first request, a reload, a silent agent or a move of discovery.

The order is forced by gates in the fake agent. Time-outs are those of the discovery watch, shortened where a test waits
for them.
"""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest
import trio

from ternlane import deployment as deployment_module
from ternlane.deployment import Deployment
from ternlane.http1 import ConnectionPool
from ternlane.platform import discovery_watch
from ternlane.platform import gateway as gateway_module
from ternlane.platform.endpoint_list import EndpointList, parse_endpoint_list
from ternlane.platform.settings import GatewayConfiguration, ProcessLimits
from ternlane.policy.attempt import Stage
from ternlane.policy.messages import EndpointStatus
from ternlane.testing.platform import FakeDiscovery, Gate
from tests.platform_gateway import PLATFORM_SETTINGS, Platform, platform, wait_until_ready
from tests.race_helpers import RawClient, client_request, wait_until
from tests.test_platform_bounds import reload


def status(p: Platform, name: str) -> EndpointStatus:
    return p.gateway.runtime.endpoint_registry.servers[name].status


# -- first list and first request


async def new_gateway(p: Platform, known: bytes) -> gateway_module.Gateway:
    """Returns a new gateway that is not started yet and whose configuration has an older endpoint list."""
    host, _, number = p.discovery.address.partition(":")
    configuration = GatewayConfiguration(
        "n1",
        ("127.0.0.1", 0),
        (host, int(number)),
        ProcessLimits(),
        parse_endpoint_list(known),
        Deployment(1, PLATFORM_SETTINGS),
    )
    return gateway_module.Gateway(configuration, p.nursery, p.log)


async def test_a_first_request_does_not_go_to_a_server_that_began_to_drain_before_the_start() -> None:
    """The agent's list takes effect before the first request, although the configured list is older."""
    async with platform("r0", "w0", "w1") as p:
        known = json.dumps(p.discovery.listing()).encode()
        p.discovery.put("w0", p.servers["w0"].address, "writer", "DRAINING")
        gate = p.discovery.gates["watch"] = Gate()
        gateway = await new_gateway(p, known)
        p.nursery.start_soon(gateway.start)
        await gate.reached.wait()
        assert not gateway.chat_server.ready  # and accepts no connection yet, not even for a readiness check
        p.address = "127.0.0.1:%d" % gateway.listener.socket.getsockname()[1]
        client = RawClient(p.address)
        client.send(client_request(p))  # waits in the listener's queue
        gate.open()
        assert (await client.answer()).startswith(b"HTTP/1.1 200 ")
        assert gateway.chat_server.ready and [n for n, k, _ in p.fleet.seen if k == "write"] == ["w1"]
        client.sock.close()


async def test_a_start_does_not_wait_for_a_silent_agent(monkeypatch: pytest.MonkeyPatch) -> None:
    """Discovery is silent as a gateway starts. After a bounded time it serves with the list of its configuration."""
    monkeypatch.setattr(gateway_module, "FIRST_LIST_MS", 100.0)
    async with platform("r0", "w0") as p:
        p.discovery.silent = True
        gateway = await new_gateway(p, json.dumps(p.discovery.listing()).encode())
        with trio.fail_after(1):
            await gateway.start()
        assert gateway.chat_server.ready
        p.address = "127.0.0.1:%d" % gateway.listener.socket.getsockname()[1]
        assert (await p.ask()).status == 200
    assert discovery_watch.FIRST_LIST_MS < 2000


# -- worst-case delays


def test_the_list_of_a_new_address_arrives_in_time_although_the_first_call_hangs() -> None:
    call = discovery_watch.CONNECT_TIMEOUT_MS + discovery_watch.HEAD_TIMEOUT_MS
    assert (
        discovery_watch.ADDRESS_CHANGE_WORST_CASE_MS
        == 2 * call + discovery_watch.JITTER[1] * discovery_watch.BACKOFF_MS
        < discovery_watch.ADDRESS_CHANGE_PROPAGATION_MS
    )
    assert discovery_watch.ADDRESS_CHANGE_PROPAGATION_MS == 4000.0 and discovery_watch.PROPAGATION_MS == 6000.0


@pytest.mark.parametrize("when", ["at once", "after a line", "late", "within a line"])
async def test_a_watch_that_becomes_silent_is_reopened_in_time(when: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """The list changes while the watch is silent. All time-outs are a tenth of the real ones."""
    for name in (
        "HEARTBEAT_MS",
        "WATCH_TIMEOUT_MS",
        "CONNECT_TIMEOUT_MS",
        "HEAD_TIMEOUT_MS",
        "FIRST_BACKOFF_MS",
        "BACKOFF_MS",
        "MAX_BACKOFF_MS",
    ):
        monkeypatch.setattr(discovery_watch, name, getattr(discovery_watch, name) / 10)
    async with trio.open_nursery() as nursery:
        discovery = FakeDiscovery(nursery, discovery_watch.HEARTBEAT_MS)
        discovery.put("w0", "127.0.0.1:1", "writer")
        await discovery.start()
        host, _, number = discovery.address.partition(":")
        draining_received, index = trio.Event(), [discovery.index]

        def on_list(listing: EndpointList) -> None:
            index[0] = listing.index
            if any(entry.status == "DRAINING" for entry in listing.endpoints):
                draining_received.set()

        if when == "at once":
            discovery.silent = True
        watch = discovery_watch.DiscoveryWatch(
            (host, int(number)), lambda: index[0], on_list, lambda _: None, 7, nursery, None
        )
        watch.start()
        await wait_until(lambda: discovery.asked)
        if when == "late":
            await watch.opened.wait()
            await watch.opened.wait()
        if when == "after a line":
            discovery.put("w1", "127.0.0.1:2", "writer")
            await wait_until(lambda: index[0] == discovery.index)
        if when == "within a line":
            discovery.garbage = b'{"index":9,"snapshot":false,"endpo'
            discovery.put("w1", "127.0.0.1:2", "writer")
            await wait_until(lambda: not discovery.garbage)
        discovery.silence_open_watches()  # new watches are served
        discovery.put("w0", "127.0.0.1:1", "writer", "DRAINING")
        since = trio.current_time()
        await wait_until(draining_received.is_set)
        assert (trio.current_time() - since) * 1000 < discovery_watch.PROPAGATION_MS / 10
        nursery.cancel_scope.cancel()


async def test_a_watch_that_is_reset_is_reopened_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """The agent runs on the same machine and its list counts as known to the gateway, so there is no time to wait."""
    pauses: list[float] = []

    async def pause(_: Any, usual_ms: float) -> None:
        pauses.append(usual_ms)
        await trio.sleep(usual_ms / 1000)

    monkeypatch.setattr(discovery_watch.DiscoveryWatch, "_pause", pause)
    monkeypatch.setattr(discovery_watch, "WATCH_TIMEOUT_MS", 250.0)
    async with platform("r0", "w0") as p:
        await p.gateway.watch.opened.wait()
        await trio.sleep(0.3)  # the watch has worked for longer than its time-out
        for stream in list(p.discovery.conns):
            stream.socket.close()
        await wait_until(lambda: len(p.discovery.asked) == 2)
        assert (
            pauses == [discovery_watch.FIRST_BACKOFF_MS]
            and discovery_watch.JITTER[1] * discovery_watch.FIRST_BACKOFF_MS <= 50
        )


async def test_a_list_truncated_within_a_line_is_requested_again() -> None:
    """A watch ends within a line. Nothing of it is used, and the change is requested again from the same index."""
    async with platform("r0", "w0") as p:
        p.discovery.truncate_at = 60
        p.discovery.put("w0", p.servers["w0"].address, "writer", "DRAINING")
        await wait_until(lambda: status(p, "w0") is EndpointStatus.DRAINING)
        assert p.discovery.asked == [str(p.discovery.index - 1)] * 2


# -- discovery moves to another address


async def test_an_old_agent_whose_watch_is_in_backoff_during_the_move_is_not_queried_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Discovery moves while the watch of the old agent waits to be reopened. The old agent is not queried again."""
    gate = Gate()

    async def held(*_: Any) -> None:
        await gate.hold()

    async with platform("r0", "w0") as p:
        monkeypatch.setattr(discovery_watch.DiscoveryWatch, "_pause", held)
        other = FakeDiscovery(p.nursery, 100.0)
        other.index, other.log, other.entries = p.discovery.index, p.discovery.log, p.discovery.entries
        await other.start()
        await p.gateway.watch.opened.wait()
        for stream in list(p.discovery.conns):
            stream.socket.close()
        await gate.reached.wait()  # the old watch has ended and is in backoff
        other.gates["watch"] = Gate()  # holds back the new agent's list
        asked = len(p.discovery.asked)
        host, _, number = other.address.partition(":")
        p.gateway.watch.change_address((host, int(number)))
        await other.gates["watch"].reached.wait()
        gate.open()
        await wait_until(lambda: len(p.gateway.watch.watch_scopes) == 1)
        other.gates["watch"].open()
        other.put("w0", p.servers["w0"].address, "writer", "DRAINING")
        await wait_until(lambda: status(p, "w0") is EndpointStatus.DRAINING)
        assert len(p.discovery.asked) == asked


async def test_a_drain_reported_only_by_the_new_agent_takes_effect_while_the_old_one_is_silent() -> None:
    """Discovery moves, the old agent is silent, and only the new one reports a drain. The drain takes effect."""
    async with platform("r0", "w0", "w1") as p:
        await p.gateway.watch.opened.wait()
        p.discovery.silence_open_watches()
        other = FakeDiscovery(p.nursery, 100.0)
        other.index, other.log, other.entries = p.discovery.index, list(p.discovery.log), dict(p.discovery.entries)
        await other.start()
        other.put("w0", p.servers["w0"].address, "writer", "DRAINING")
        host, _, number = other.address.partition(":")
        p.gateway.watch.change_address((host, int(number)))
        await wait_until(lambda: status(p, "w0") is EndpointStatus.DRAINING)
        await wait_until(lambda: len(p.gateway.watch.watch_scopes) == 1)


async def test_a_late_list_of_the_old_agent_is_ignored() -> None:
    """An older list of the old agent arrives after a newer one of the new agent. It is ignored."""
    async with platform("r0", "w0", "w1") as p:
        await p.gateway.watch.opened.wait()
        old = json.dumps(p.discovery.listing()).encode()
        other = FakeDiscovery(p.nursery, 100.0)
        other.index, other.log, other.entries = p.discovery.index, list(p.discovery.log), dict(p.discovery.entries)
        await other.start()
        gate = p.discovery.gates["list"] = Gate()
        p.discovery.put("w9", "127.0.0.1:9", "writer")  # the old agent is about to send a change
        await gate.reached.wait()
        other.put("w0", p.servers["w0"].address, "writer", "DRAINING")
        host, _, number = other.address.partition(":")
        p.gateway.watch.change_address((host, int(number)))
        await wait_until(lambda: status(p, "w0") is EndpointStatus.DRAINING)
        gate.open()
        p.gateway.runtime.update_endpoints(parse_endpoint_list(old))  # as it would arrive from the old agent
        assert status(p, "w0") is EndpointStatus.DRAINING


# -- reloads


async def test_a_reload_applies_the_connection_limits(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """A reload replaces the limits, and a second reload restores the first ones."""
    async with platform("r0", "w0") as p:
        pool, chat_server = p.gateway.pool, p.gateway.chat_server
        first = (
            pool.connect_ms,
            pool.idle_ms,
            pool.limit,
            chat_server.connection_limit,
            chat_server.request_limit,
            p.gateway.shared_limits.memory.limit_bytes,
        )
        assert first[:2] == (150.0, 0.9 * 2000.0)
        assert (await p.ask()).status == 200
        limits = PLATFORM_SETTINGS["limits"] | {"conn_idle": 800.0, "connect_timeout": 90.0}
        small = {"sockets": 200, "memory_mb": 64}
        reload(p, tmp_path, monkeypatch, PLATFORM_SETTINGS | {"limits": limits}, limits=small)
        assert (pool.connect_ms, pool.idle_ms, pool.limit) == (90.0, 720.0, 90)
        assert (
            chat_server.connection_limit,
            chat_server.request_limit,
            p.gateway.shared_limits.memory.limit_bytes,
        ) == (
            90,
            80,
            int(64 * 2**20 * 0.2),
        )
        reload(p, tmp_path, monkeypatch, PLATFORM_SETTINGS)
        assert (
            pool.connect_ms,
            pool.idle_ms,
            pool.limit,
            chat_server.connection_limit,
            chat_server.request_limit,
            p.gateway.shared_limits.memory.limit_bytes,
        ) == first


async def test_idle_connections_beyond_a_shortened_idle_time_out_are_closed() -> None:
    pool = ConnectionPool(100.0, 1000.0)
    async with platform("r0", "w0") as p:
        for server in p.servers.values():
            pool.give_back(await pool.connect(server.address))
        assert len(pool.idle_of_all) == 2
        for connection in pool.idle_of_all:
            connection.idle_since -= 0.5
        pool.set_limits(100.0, 1000.0, 10)
        assert len(pool.idle_of_all) == 2
        pool.set_limits(100.0, 400.0, 10)
        assert not pool.idle_of_all and not pool.open


async def test_a_reload_that_changes_only_memory_or_tenants_is_applied(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against reloads without effect: one that changed only the memory of a kind of server, tenants or report
    columns was ignored."""
    async with platform("r0", "w0") as p:
        kinds = PLATFORM_SETTINGS["specifics"] | {"tokens_by_kind": [1000, 3000]}
        reload(p, tmp_path, monkeypatch, PLATFORM_SETTINGS | {"specifics": kinds, "tenants": [{"name": "a"}]})
        servers, first = p.gateway.runtime.endpoint_registry.servers, p.gateway.runtime.deployment.tenants["a"]
        assert servers["r0"].kv_capacity_tokens == 1000 and servers["w0"].kv_capacity_tokens == 3000
        reload(p, tmp_path, monkeypatch, PLATFORM_SETTINGS | {"tenants": [{"name": "a"}, {"name": "b"}]})
        assert p.gateway.runtime.deployment.tenants["a"] is first  # unchanged tenants are kept
        assert servers["r0"].kv_capacity_tokens == 200000 and len(p.gateway.runtime.deployment.tenants) == 2


async def test_estimates_learnt_under_other_settings_are_not_used_under_new_ones(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with platform("r0", "w0") as p:
        runtime, scheduler = p.gateway.runtime, p.gateway.runtime.router.scheduler  # type: ignore[attr-defined]
        for _ in range(3):
            assert (await p.ask()).status == 200
        old = runtime.deployment.request_classes["summary"]
        assert old in scheduler.rules.latency.mean_prompt_tokens
        other = [profile | {"aim": 700.0} for profile in PLATFORM_SETTINGS["profiles"]]
        reload(p, tmp_path, monkeypatch, PLATFORM_SETTINGS | {"profiles": other})
        new = runtime.deployment.request_classes["summary"]
        tables = (
            scheduler.rules.latency.mean_prompt_tokens,
            scheduler.rules.latency.last_sample_at,
            scheduler.rules.affinity.cached_share,
        )
        assert new is not old and not any(request_class in table for request_class in (old, new) for table in tables)
        assert scheduler.rules.latency.usual_ms(new, Stage.PREFILL) == 700.0 / 8  # the default without observations
        reload(p, tmp_path, monkeypatch, PLATFORM_SETTINGS)  # the restored settings start without observations too
        assert (
            scheduler.rules.latency.usual_ms(runtime.deployment.request_classes["summary"], Stage.PREFILL) == 500.0 / 8
        )
        assert (await p.ask()).status == 200
        await p.wait_until_idle()


async def test_a_request_open_during_a_reload_ends_under_the_settings_it_started_with(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with platform("r0", "w0") as p:
        gate = p.servers["w0"].gates["request"] = Gate()
        client = RawClient(p.address)
        client.send(client_request(p))
        await gate.reached.wait()
        other = [profile | {"name": profile["name"] + "-2"} for profile in PLATFORM_SETTINGS["profiles"]]
        reload(p, tmp_path, monkeypatch, PLATFORM_SETTINGS | {"profiles": other})
        assert (await p.ask()).status == 400  # the request class no longer exists
        gate.open()
        assert (await client.answer()).startswith(b"HTTP/1.1 200 ")
        assert (await p.ask(Request_Class="summary-2")).status == 200
        client.sock.close()
        await p.wait_until_idle()


# -- start-up

# Packages imported beside the standard library: each costs start-up time and memory in every gateway.
PACKAGES = {
    "ternlane",
    "trio",
    "h11",
    "msgspec",
    "structlog",
    "attr",
    "attrs",
    "outcome",
    "sniffio",
    "sortedcontainers",
    "idna",
    "typing_extensions",
    "exceptiongroup",
}
MODULES = {"deployment", "http1", "log_output", "platform", "policy", "event_loop", "version", "wire_names"}


def test_the_process_imports_no_more_than_it_needs() -> None:
    program = (
        "import sys, json; before = set(sys.modules); import ternlane.platform.process; "
        "print(json.dumps(sorted(set(sys.modules) - before)))"
    )
    out = subprocess.run([sys.executable, "-c", program], capture_output=True, text=True, timeout=60, check=True)
    names = json.loads(out.stdout)
    tops = {name.partition(".")[0] for name in names} - set(sys.stdlib_module_names)
    assert {top for top in tops if not top.startswith("_")} <= PACKAGES
    ours = {name.split(".")[1] for name in names if name.startswith("ternlane.")}
    assert ours <= MODULES
    assert deployment_module.__name__ in names


def cpu_time_s(pid: int) -> float:
    """Returns the processor time used by a process: fields 14 and 15 of /proc/PID/stat, see proc(5)."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def test_a_restarted_gateway_is_ready_within_its_processor_time_budget(tmp_path: Path) -> None:
    """Nine in ten restarts have to be ready within 10 s on a small share of a core. Processor time is measured because
    a busy machine delays the wall clock. The process is killed right after its first connection and starts again at the
    same address."""
    async with platform("r0", "w0") as p:
        p.reserve_address()
        config = tmp_path / "config.json"
        config.write_text(
            json.dumps(
                {
                    "name": "n0",
                    "listen": p.address,
                    "discovery": p.discovery.address,
                    "seed": "ff",
                    "known": p.discovery.listing(),
                    "settings": PLATFORM_SETTINGS,
                }
            )
        )
        env = os.environ | {"NODE_CONFIG": str(config)}
        for _ in range(5):
            process_ = await trio.lowlevel.open_process(
                [sys.executable, "-m", "ternlane.platform"], env=env, stderr=subprocess.DEVNULL
            )
            try:
                await wait_until_ready(p)
                used_s = cpu_time_s(process_.pid)
                client = RawClient(p.address)
                client.send(client_request(p)[:40])
            finally:
                process_.send_signal(signal.SIGKILL)  # with an accepted connection that has sent half a request
                await process_.wait()
            assert await client.rest() == b""
            client.sock.close()
            assert used_s < 1.0  # ready within 10 s on a tenth of a core
