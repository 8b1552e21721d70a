"""Endpoint lists that name a server or an address several times, and input of peers that must not end a gateway.

After an outage of discovery one list holds all changes that the gateway has missed.
"""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import msgspec
import pytest
import trio
from hypothesis import given
from hypothesis import strategies as st

from ternlane.config import NodeLine
from ternlane.deployment import Deployment
from ternlane.discovery import EndpointRegistry as ChatEndpointRegistry
from ternlane.discovery import nodes_from_health
from ternlane.http1 import ConnectError, ConnectionPool
from ternlane.platform.endpoint_list import EndpointEntry, EndpointList, parse_endpoint_list
from ternlane.platform.endpoint_registry import EndpointRegistry
from ternlane.platform.model_server_client import ModelServerClient
from ternlane.policy import messages
from ternlane.policy.messages import EndpointStatus, Role, Server
from tests.platform_gateway import PLATFORM_SETTINGS, Platform, platform
from tests.race_helpers import wait_until
from tests.test_hostile_peers import gateway_process

DEEPLY_NESTED = b'{"index":9,"endpoints":[],"more":' + b"[" * 100_000 + b"\n}\n"
LINE = NodeLine(id="m0", address="127.0.0.1:1", role="read", kv_capacity_tokens=1000.0)

entries = st.builds(
    EndpointEntry,
    name=st.sampled_from("ab"),
    address=st.sampled_from(["127.0.0.1:1", "127.0.0.1:2"]),
    type=st.sampled_from(["writer", "reader"]),
    status=st.sampled_from(["SERVING", "DRAINING", "DELETED"]),
    since_ms=st.sampled_from([0.0, 1000.0, 2000.0]),
)


class ListenedRegistry:
    """A registry, with what the router and the connections have heard of its changes."""

    def __init__(self) -> None:
        self.registry = EndpointRegistry(Deployment(1, PLATFORM_SETTINGS))
        self.heard: dict[Server, EndpointStatus] = {}
        self.handed_over: set[str] = set()

    def apply(self, listed: list[EndpointEntry], snapshot: bool = False) -> None:
        update = self.registry.apply_list(EndpointList(self.registry.index + 1, listed, snapshot), 5000.0, 5000.0)
        assert len(set(update.servers)) == len(update.servers)
        self.heard |= {server: server.status for server in update.servers}
        self.handed_over |= self.registry.handed_over_addresses

    def listed(self) -> dict[str, tuple[Any, ...]]:
        """What is listed. The router has heard of all of it, and of each removal."""
        servers = self.registry.servers
        remaining = {server for server, status in self.heard.items() if status is not EndpointStatus.REMOVED}
        assert remaining == set(servers.values()) == set(self.registry.endpoints)
        assert all(server.status is self.heard[server] for server in remaining)
        addresses = [endpoint.address for endpoint in self.registry.endpoints.values()]
        assert sorted(self.registry.addresses.elements()) == sorted(addresses)
        return {
            name: (self.registry.endpoints[server].address, server.role, server.status, server.started_ms)
            for name, server in servers.items()
        }


@given(st.lists(st.lists(entries, max_size=5), max_size=4))
def test_changes_have_the_same_result_in_one_list_as_in_several(lists: list[list[EndpointEntry]]) -> None:
    """Guards against the KeyError that ended all gateways when one list had two changes of a server."""
    one_by_one, grouped = ListenedRegistry(), ListenedRegistry()
    for changes in lists:
        for entry in changes:
            one_by_one.apply([entry])
        grouped.apply(changes)
        assert grouped.listed() == one_by_one.listed()
    assert grouped.handed_over >= one_by_one.handed_over


@given(st.lists(entries, max_size=4), st.lists(entries, max_size=5))
def test_the_last_entry_of_a_server_in_a_complete_list_applies(
    before: list[EndpointEntry], listed: list[EndpointEntry]
) -> None:
    registry = ListenedRegistry()
    registry.apply(before)
    registry.apply(listed, snapshot=True)
    expected = {entry.name: entry for entry in listed}
    assert registry.listed().keys() == {name for name, entry in expected.items() if entry.status != "DELETED"}
    for name, (address, *_) in registry.listed().items():
        assert address == expected[name].address
    heard = dict(registry.heard)
    registry.heard.clear()
    registry.apply(listed, snapshot=True)
    assert not registry.heard  # nothing has changed
    registry.heard = heard


def entry(name: str, address: int, status: str = "SERVING", since_ms: float = 0.0) -> EndpointEntry:
    return EndpointEntry(name, f"127.0.0.1:{address}", type="writer", status=status, since_ms=since_ms)


@pytest.mark.parametrize("snapshot", [False, True])
@pytest.mark.parametrize(
    "changes, handed_over",
    [
        ([entry("a", 1, "DRAINING")], set()),
        ([entry("a", 1, "DELETED"), entry("b", 1)], {1}),  # handed on to another server
        ([entry("b", 1), entry("a", 1, "DELETED")], {1}),
        ([entry("a", 3), entry("b", 1)], {1}),  # moved away, and handed on
        ([entry("b", 1), entry("a", 3)], {1}),
        ([entry("a", 1, since_ms=1000.0)], {1}),  # restarted
        ([entry("b", 1), entry("a", 1)], set()),  # two servers at one address
    ],
)
def test_connections_to_an_address_that_was_handed_over_are_dropped(
    changes: list[EndpointEntry], handed_over: set[int], snapshot: bool
) -> None:
    registry = ListenedRegistry()
    registry.apply([entry("a", 1)])
    registry.apply(changes, snapshot)
    assert registry.handed_over == {f"127.0.0.1:{address}" for address in handed_over}


def test_a_server_that_came_and_went_within_a_list_is_not_reported() -> None:
    registry = ListenedRegistry()
    registry.apply([entry("a", 1), entry("a", 1, "DRAINING"), entry("a", 1, "DELETED")])
    assert not registry.heard and not registry.registry.servers


# -- the platform gateway


def put_changes(p: Platform, changes: list[tuple[str, str, str]]) -> None:
    """Sends changes (name, server at whose address, status) in one list."""
    for name, at, status in changes:
        p.discovery.put(name, p.servers[at].address, "writer", status)


@pytest.mark.parametrize(
    "changes, names",
    [
        ([("w1", "w1", "DRAINING"), ("w1", "w1", "DELETED")], {"w0"}),
        ([("w1", "w1", "DELETED"), ("w1", "w1", "DRAINING"), ("w1", "w1", "DELETED")], {"w0"}),
        ([("w2", "w1", "SERVING"), ("w2", "w1", "DELETED")], {"w0", "w1"}),
        ([("w1", "w1", "DELETED"), ("w1", "w1", "SERVING")], {"w0", "w1"}),
        ([("w1", "w1", "DELETED"), ("w2", "w1", "SERVING")], {"w0", "w2"}),
        ([("w2", "w1", "SERVING"), ("w1", "w1", "DELETED")], {"w0", "w2"}),
    ],
)
async def test_a_list_with_several_changes_of_a_server_is_applied(
    changes: list[tuple[str, str, str]], names: set[str]
) -> None:
    """The gateway serves on, its router knows exactly the listed servers, and no idle connection to a former server is
    kept."""
    async with platform("r0", "w0", "w1") as p:
        runtime = p.gateway.runtime
        for _ in range(4):
            assert (await p.ask()).status == 200
        pool = runtime.model_servers.pool
        before = set(pool.idle[p.servers["w1"].address])
        put_changes(p, changes)
        await wait_until(lambda: runtime.endpoint_registry.index == p.discovery.index)
        servers = runtime.endpoint_registry.servers
        assert set(servers) == names | {"r0"}
        table = runtime.router.scheduler.rules.endpoints  # type: ignore[attr-defined]
        ready = {endpoint.server for role in Role for endpoint in table.ready(role)}
        assert ready == set(servers.values())
        if ("w1", "w1", "DELETED") in changes:
            assert not before & pool.open
        for _ in range(4):
            assert (await p.ask()).status == 200
        assert runtime.reporter.counts["watch broke"] == 0 and not p.log_lines("fault")


async def test_a_gateway_process_survives_a_drain_and_a_removal_that_it_hears_of_at_once(tmp_path: Path) -> None:
    """Discovery is down while a server drains and leaves. At its return all gateways ended with a KeyError."""
    async with platform("r0", "w0", "w1") as p, gateway_process(p, tmp_path) as gateway:
        assert (await p.ask()).status == 200
        p.discovery.start_outage(silent=True, listening=False)
        put_changes(p, [("w1", "w1", "DRAINING"), ("w1", "w1", "DELETED")])
        watches = len(p.discovery.asked)
        await p.discovery.end_outage()
        await wait_until(lambda: len(p.discovery.asked) > watches and p.discovery.watching)
        for _ in range(4):
            assert (await p.ask()).status == 200
        assert gateway.poll() is None and p.fleet.seen[-1][0] == "w0"


async def test_a_connection_in_use_is_not_kept_after_its_address_was_handed_over() -> None:
    async with platform("r0", "w0") as p:
        pool = ConnectionPool(500.0, 1000.0)
        address = p.servers["w0"].address
        connection = await pool.take(address)
        ModelServerClient(pool, Deployment(1, PLATFORM_SETTINGS)).forget({address}, set())
        pool.give_back(connection)
        assert not pool.open and not pool.idle


async def test_an_exception_while_a_list_is_applied_ends_only_that_watch(monkeypatch: pytest.MonkeyPatch) -> None:
    """Any defect in the handling of a list ended the process."""
    async with platform("r0", "w0") as p:
        apply_list = p.gateway.watch.on_list

        def fail_once(endpoint_list: EndpointList) -> None:
            p.gateway.watch.on_list = apply_list
            raise KeyError(endpoint_list.index)

        p.gateway.watch.on_list = fail_once
        p.discovery.put("w0", p.servers["w0"].address, "writer", "DRAINING")
        server = p.gateway.runtime.endpoint_registry.servers["w0"]
        await wait_until(lambda: server.status is EndpointStatus.DRAINING)
        assert len(p.log_lines("watch fault")) == 1


async def test_a_list_that_is_nested_too_deeply_ends_only_its_watch() -> None:
    with pytest.raises(ValueError):
        parse_endpoint_list(DEEPLY_NESTED)
    async with platform("r0", "w0") as p:
        p.discovery.garbage = DEEPLY_NESTED.replace(b"\n}", b"]" * 100_000 + b"}")
        p.discovery.put("w0", p.servers["w0"].address, "writer", "DRAINING")
        server = p.gateway.runtime.endpoint_registry.servers["w0"]
        await wait_until(lambda: server.status is EndpointStatus.DRAINING)
        assert p.gateway.runtime.reporter.counts["watch broke"] == 1 and not p.log_lines("fault")


@pytest.mark.parametrize("host", ["a" * 70, "a\0b", "[::1", "."])
async def test_a_listed_address_that_is_none_is_a_failed_connection(host: str) -> None:
    """A probe or a reservation there ended the process."""
    with pytest.raises(ConnectError):
        await ConnectionPool(200.0, 1000.0).connect(f"{host}:80")
    with pytest.raises(ConnectError):
        await ConnectionPool(200.0, 1000.0).connect("127.0.0.1:99999")
    async with platform("r0", "w0") as p:
        runtime = p.gateway.runtime
        p.discovery.put("w9", f"{host}:80", "writer")
        await wait_until(lambda: "w9" in runtime.endpoint_registry.servers)
        runtime.execute_host_action(messages.Probe(runtime.endpoint_registry.servers["w9"]))
        for _ in range(4):
            assert (await p.ask()).status == 200
        assert not p.log_lines("fault")


async def test_a_server_that_is_removed_just_before_its_reservation_ends_nothing() -> None:
    """The reservation is a task that starts a moment after the decision."""
    async with platform("r0", "w0", "w1") as p:
        runtime = p.gateway.runtime
        async with trio.open_nursery() as nursery:
            nursery.start_soon(p.ask)
            await wait_until(lambda: runtime.active_requests)
            request = next(iter(runtime.active_requests))
            runtime.execute_host_action(messages.Reserve(request, runtime.endpoint_registry.servers["w1"]))
            runtime.update_endpoints(
                EndpointList(runtime.endpoint_registry.index, [EndpointEntry("w1", "", status="DELETED")])
            )
        assert (await p.ask()).status == 200 and not p.log_lines("fault")


# -- the chat gateway


def test_a_chat_gateways_list_may_name_a_server_twice() -> None:
    """With two roles, each reading of the list replaced the server twice."""
    registry = ChatEndpointRegistry()
    lines = [LINE, msgspec.structs.replace(LINE, role="write", address="127.0.0.1:2")]
    (server,) = registry.update(lines, 0.0, 0.0).servers
    assert server.role is Role.DECODE and not registry.update(lines, 0.0, 0.0).servers
    assert registry.lines() == lines[1:]


def test_a_chat_gateways_connections_hear_of_addresses_that_were_handed_over() -> None:
    registry = ChatEndpointRegistry()
    registry.update([LINE], 0.0, 0.0)
    assert not registry.handed_over_addresses
    registry.update([msgspec.structs.replace(LINE, state="draining")], 0.0, 0.0)
    assert not registry.handed_over_addresses
    registry.update([msgspec.structs.replace(LINE, id="m1")], 0.0, 0.0)
    assert registry.handed_over_addresses == {LINE.address}
    registry.update([msgspec.structs.replace(LINE, id="m1", started=5.0)], 0.0, 0.0)
    assert registry.handed_over_addresses == {LINE.address}
    registry.update([msgspec.structs.replace(LINE, id="m1", started=5.0, state="gone")], 0.0, 0.0)
    assert registry.handed_over_addresses == {LINE.address}


def test_a_service_that_consul_lists_at_two_agents_is_reported() -> None:
    def service(port: int) -> dict[str, Any]:
        meta = {"duty": "read", "mem_toks": "1000"}
        return {"Service": {"ID": "m0", "Address": "127.0.0.1", "Port": port, "Meta": meta}}

    lines, invalid = nodes_from_health(json.dumps([service(1), service(2)]).encode())
    assert [line.address for line in lines] == ["127.0.0.1:2"] and invalid == ["m0: listed twice"]
