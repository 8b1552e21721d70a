"""Attempts and what is held at model servers: drains, deadlines, windows and releases that meet them half-way.

Each order of events is forced by gates in the stand-ins, or at the one point of ours that the event has to meet.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Any

import h11
import msgspec
import pytest
import trio

from ternlane.http1 import ClientConnection, ConnectionPool, ReadTimeout
from ternlane.http1 import client_connection as connection_module
from ternlane.http1 import connection_pool as connection_pool_module
from ternlane.http1.nonblocking import send_now
from ternlane.platform import model_server_client as client_module
from ternlane.policy import messages
from ternlane.policy.messages import AttemptOutcome, Effect, Group
from ternlane.testing.platform import DONE, EVENT, HEAD, Gate, framed
from tests.conftest import ROUTER_CONFIG, FakeHost, action_types, make_host, started_attempt
from tests.gateway_cluster import FLEET_CONFIG, Reply, gateway_cluster
from tests.platform_gateway import PLATFORM_SETTINGS, Platform, fault_always, fault_once, platform
from tests.race_helpers import RawClient, Wrapped, arrived, client_request, pair, wait_until


def platform_settings(**limits: Any) -> dict[str, Any]:
    return PLATFORM_SETTINGS | {"limits": PLATFORM_SETTINGS["limits"] | limits}


async def asked(p: Platform, into: list[Reply], **headers: str) -> None:
    into.append(await p.ask(**headers))


class DelayedConnects:
    """Connections come up at once, and nobody hears of it before `gate` opens: a slow handshake."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, address: str) -> None:
        self.gate, self.address, reach = Gate(), address, connection_pool_module.open_stream
        self.holds: Callable[[str], bool] = lambda address: address == self.address

        async def slow(host: str, number: int, source: str | None) -> trio.SocketStream:
            stream = await reach(host, number, source)
            if self.holds(f"{host}:{number}"):
                await self.gate.hold()
            return stream

        monkeypatch.setattr(connection_pool_module, "open_stream", slow)

    def after(self, p: Platform, role: str) -> None:
        """Holds the connections to servers of this duty once one of them has been asked."""
        addresses = {server.address for server in p.servers.values() if server.role == role}
        self.holds = lambda address: address in addresses and p.fleet.count(role) > 0


# -- draining x send


@pytest.mark.parametrize("name, other, kind", [("r0", "r1", "reader"), ("w0", "w1", "writer")])
async def test_a_server_that_begins_to_drain_during_the_connect_is_sent_nothing(
    name: str, other: str, kind: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The attempt was decided before; it is judged where it begins."""
    async with platform("r0", "w0", platform_settings=platform_settings(connect_timeout=1000.0)) as p:
        held = DelayedConnects(monkeypatch, p.servers[name].address)
        replies: list[Reply] = []
        p.nursery.start_soon(partial(asked, p, replies))
        await held.gate.reached.wait()
        await p.add(other)
        p.discovery.put(name, p.servers[name].address, kind, "DRAINING")
        servers = p.gateway.runtime.endpoint_registry.servers
        await wait_until(lambda: servers[name].status is messages.EndpointStatus.DRAINING and other in servers)
        held.gate.open()
        await wait_until(lambda: replies)
        assert replies[0].status == 200
        assert [n for n, k, _ in p.fleet.seen if n in (name, other)] == [other]
        assert not p.gateway.runtime.router.scheduler.rules.endpoints[servers[name].router_state].ejected  # type: ignore[attr-defined]
        await p.wait_until_idle()


async def test_a_server_that_begins_to_drain_while_an_attempt_waits_for_a_release_is_sent_nothing() -> None:
    """An attempt waits for an earlier one's release, and its server begins to drain meanwhile. It is sent nothing."""
    async with platform(
        "r0", "w0", platform_settings=platform_settings(connect_timeout=1000.0), w0=fault_once("gone_410")
    ) as p:
        gates = [server.gates for server in p.servers.values()]
        gate = Gate()
        for each in gates:
            each["lease"] = gate
        replies: list[Reply] = []
        p.nursery.start_soon(partial(asked, p, replies))
        await gate.reached.wait()  # the prompt is to be read anew, once what was held is released
        await p.add("r1")
        p.discovery.put("r0", p.servers["r0"].address, "reader", "DRAINING")
        await wait_until(
            lambda: p.gateway.runtime.endpoint_registry.servers["r0"].status is messages.EndpointStatus.DRAINING
        )
        gate.open()
        await wait_until(lambda: replies)
        assert replies[0].status == 200 and [n for n, k, _ in p.fleet.seen if k == "read"] == ["r0", "r1"]
        await p.wait_until_idle()


@pytest.mark.parametrize("name, other", [("r0", "r1"), ("w0", "w1")])
async def test_the_chat_gateway_too_sends_nothing_to_a_server_that_began_to_drain_during_the_connect(
    name: str, other: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """As above: a server begins to drain during a connect, here in the chat gateway."""
    async with gateway_cluster(("r0", "w0"), fleet=msgspec.structs.replace(FLEET_CONFIG, connect_ms=1000)) as w:
        engine = w.engines[name]
        held = DelayedConnects(monkeypatch, f"{engine.host}:{engine.port}")
        replies: list[Reply] = []

        async def ask() -> None:
            replies.append(await w.ask())

        w.nursery.start_soon(ask)
        await held.gate.reached.wait()
        await w.add(other)
        w.publish_endpoints(**{name: "draining"})
        held.gate.open()
        await wait_until(lambda: replies)
        assert replies[0].status == 200 and replies[0].done == 1
        asked_of = {line["id"] for line in w.traffic_events("leg")}
        assert name not in asked_of and other in asked_of
        await w.wait_until_idle()


def test_an_attempt_that_was_withheld_lets_the_release_time_run_on_and_blames_no_server() -> None:
    """A decode attempt was not started, as its server drained. That proves nothing of the held state, whose release
    time runs on."""
    host = make_host(("w2", "w3"))
    request, attempt = host.start_decode(Effect.SIDE_EFFECTING)
    second = started_attempt(host.end_attempt(request, attempt.server, AttemptOutcome.NOT_STARTED, after=200.0))
    assert second.server is not attempt.server and second.server.role is messages.Role.DECODE
    said = host.end_attempt(
        request, second.server, AttemptOutcome.NOT_STARTED, after=200.0
    )  # 400 of 500 ms, and 250 to connect
    assert messages.Release in action_types(said) and started_attempt(said).server.role is messages.Role.PREFILL
    assert not host.router.scheduler.rules.endpoints[attempt.server.router_state].ejected


# -- the time that is left


async def test_the_time_told_is_what_is_left_also_after_a_wait_for_a_release() -> None:
    async with platform(
        "r0", "w0", platform_settings=platform_settings(connect_timeout=1000.0), w0=fault_once("gone_410")
    ) as p:
        gate = Gate()
        for server in p.servers.values():
            server.gates["lease"] = gate
        replies: list[Reply] = []
        since = trio.current_time()
        p.nursery.start_soon(partial(asked, p, replies, Request_Timeout="1.5"))
        await gate.reached.wait()
        await trio.sleep(0.2)  # the time that passes, not the order, is the matter here
        gate.open()
        await wait_until(lambda: len(p.fleet.stated_timeouts_s) > 2)
        assert p.fleet.stated_timeouts_s[2] <= 1.5 - (trio.current_time() - since) + 0.1
        await wait_until(lambda: replies)
        assert replies[0].status == 200


async def test_an_answer_that_arrives_as_its_time_ends_is_read(nursery: trio.Nursery) -> None:
    """An answer arrives in the moment in which its timeout strikes. It is read."""
    stream, peer = await pair()

    class Late(Wrapped):
        async def receive_some(self, max_bytes: int | None = None) -> bytes:
            try:
                await trio.sleep_forever()
            finally:
                peer.send(b"HTTP/1.1 204 \r\n\r\n")
                arrived(self.inner)
            raise AssertionError

    caller = ClientConnection(Late(stream), "a:1", ("", 0))  # type: ignore[arg-type]
    await caller.send_request("DELETE", "/kv/leases/ab", [])
    caller.set_read_deadline(trio.current_time() + 0.05)
    assert (await caller.read_head()).status_code == 204
    caller.close_now()


async def test_a_peer_that_never_stops_sending_is_not_waited_for_beyond_its_time() -> None:
    """A server sends on without end after its timeout. It is read once more, not for ever."""
    stream, peer = await pair()
    caller = ClientConnection(stream, "a:1", ("", 0))
    await caller.send_request("GET", "/", [])
    peer.send(HEAD + framed(EVENT))
    assert (await caller.read_head()).status_code == 200
    caller.set_read_deadline(trio.current_time() - 1)
    got: list[bytes] = []
    with pytest.raises(ReadTimeout):
        async for piece in caller.chunks():
            got.append(piece)
            peer.send(framed(b": comment\n\n"))  # there is always something to read
            arrived(stream)
    assert got[0] == EVENT and len(got) <= 2
    caller.close_now()


async def test_an_event_that_arrives_as_a_stream_counts_as_silent_is_passed_on_and_so_is_the_rest(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """An event arrives in the moment in which its stream counts as silent. It is forwarded, and the stream goes on."""
    async with platform("r0", "w0") as p:
        gate = p.servers["w0"].gates["event"] = Gate()
        receive, held = ClientConnection._receive, Gate()
        now = trio.current_time

        async def at_the_limit(self: ClientConnection) -> bytes:
            """Once the first event has been passed on: all of the rest is there, and the time is over."""
            if self.peer == p.servers["w0"].address and gate.reached.is_set() and not held.opened.is_set():
                held.open()
                gate.open()
                arrived_at = now() + 5
                while now() < arrived_at and not connection_module.is_readable(self.stream):
                    await trio.sleep(0.001)
                self.silent_by = now() - 1
            return await receive(self)

        monkeypatch.setattr(ClientConnection, "_receive", at_the_limit)
        reply = await p.ask()
        assert reply.status == 200 and reply.done == 1 and held.opened.is_set()
        await p.wait_until_idle()


# -- windows of repeats

KEYED = PLATFORM_SETTINGS | {
    "limits": PLATFORM_SETTINGS["limits"] | {"connect_timeout": 1500.0},
    "profiles": [
        {
            "aim": 500.0,
            "deadline": 4000.0,
            "name": "summary",
            "semantics": "deduplicated",
            "group": "all",
            "key_ttl": 400.0,
            "worth": 1.0,
        }
    ],
}


async def test_a_window_that_ends_between_the_decision_and_the_send_forbids_the_repeat(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Its servers have forgotten the first attempt by then, and would let the second one take effect."""
    async with platform("r0", "w0", platform_settings=KEYED, w0=fault_once("opening_cut")) as p:
        replies: list[Reply] = []
        gate = p.servers["w0"].gates["request"] = Gate()
        p.nursery.start_soon(partial(asked, p, replies, Request_Timeout="4"))
        await gate.reached.wait()
        second = await p.add("w1")
        await wait_until(lambda: "w1" in p.gateway.runtime.endpoint_registry.servers)
        held = DelayedConnects(monkeypatch, second.address)
        gate.open()  # it breaks off: it may have run
        await held.gate.reached.wait()  # a repeat was allowed, and its connection is slow
        await trio.sleep(0.45)  # the window is over
        held.gate.open()
        await wait_until(lambda: replies)
        assert replies[0].status == 502 and p.fleet.count("write") == 1 and second.name == "w1"
        await p.wait_until_idle()


def keyed(window_ms: float, group: Group = Group.ALL) -> FakeHost:
    host = make_host()
    request_class = messages.RequestClass(Effect.DEDUPLICATED, group, window_ms, 1000.0, 50.0, 60.0, 5000.0, 1.0, 0.2)
    host.request_classes[Effect.DEDUPLICATED] = request_class
    host.deliver(messages.ConfigChanged(ROUTER_CONFIG))
    return host


def test_a_repeat_may_begin_only_while_the_window_lasts() -> None:
    host = keyed(3000.0)
    request, attempt = host.start_decode(Effect.DEDUPLICATED)
    assert attempt.start_within_ms == float("inf")  # nothing may have run yet
    again = started_attempt(host.end_attempt(request, attempt.server, AttemptOutcome.RESET, after=1000.0))
    assert again.start_within_ms == pytest.approx(2000.0)


@pytest.mark.parametrize("after, answer", [(100.0, messages.Reject), (2900.0, messages.Fail), (3100.0, messages.Fail)])
def test_a_repeat_by_its_client_is_called_harmless_only_where_it_would_come_within_the_window(
    after: float, answer: type
) -> None:
    """The client may come back after the return time that it is told, and then runs again."""
    host = keyed(3000.0)
    request, attempt = host.start_decode(Effect.DEDUPLICATED)
    host.update_endpoints(w0=messages.EndpointStatus.DRAINING, w1=messages.EndpointStatus.DRAINING)
    assert answer in action_types(host.end_attempt(request, attempt.server, AttemptOutcome.RESET, after=after))


# -- second answers, kept connections


async def test_a_second_answer_that_comes_late_is_not_taken_for_the_next_requests(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A server answers a request twice, the second time some milliseconds late. The second is not taken for the next
    request's answer."""
    monkeypatch.setattr(client_module, "REUSE_DELAY_MS", 60e3)  # so that a slow machine is still within it
    async with platform("r0", "w0", w0=fault_once("second_answer")) as p:
        gate = p.servers["w0"].gates["second"] = Gate()
        assert (await p.ask()).status == 200
        await gate.reached.wait()
        replies: list[Reply] = []
        p.nursery.start_soon(partial(asked, p, replies))
        await wait_until(lambda: p.fleet.count("read") == 2 and not p.fleet.open["r0"])
        await wait_until(lambda: p.fleet.conns["w0"] == 2 or replies)  # over a connection of its own
        gate.open()
        await wait_until(lambda: replies)
        assert replies[0].status == 200
        assert replies[0].body.endswith(b": Server-Load: inflight=2,x0=0.2\n\n")  # its own answer, not that one
        await p.wait_until_idle()


def test_a_connection_rests_for_longer_than_a_late_answer_takes() -> None:
    assert 20 <= client_module.REUSE_DELAY_MS <= 100


@pytest.mark.parametrize("request_class, status", [("summary", 200), ("note", 502)])
async def test_a_kept_connection_that_its_server_closes_as_it_is_used_is_a_reset(
    request_class: str, status: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Looked at and found well, then closed before the request is written: it may have run, for all one can tell."""
    monkeypatch.setattr(client_module, "REUSE_DELAY_MS", 0.0)
    # So that no time-out plays a part, nor the release time: finding the server's side holds the loop up for long.
    profiles = [one | {"aim": 5000.0, "deadline": 20e3} for one in PLATFORM_SETTINGS["profiles"]]
    platform_settings = PLATFORM_SETTINGS | {
        "profiles": profiles,
        "specifics": PLATFORM_SETTINGS["specifics"] | {"release": 10e3},
    }
    async with platform("r0", "w0", "w1", platform_settings=platform_settings) as p:
        for _ in range(4):
            assert (await p.ask(Request_Timeout="15")).status == 200
        dead, closing = ClientConnection.dead.fget, [p.servers[n].address for n in ("w0", "w1")]  # type: ignore[attr-defined]

        def well(self: ClientConnection) -> bool:
            said: bool = dead(self)
            if not said and self.peer in closing:
                closing.clear()
                self.stream.socket.shutdown(trio.socket.SHUT_RD)  # what it is sent is answered by nothing
                _reset_by_peer(p, self)
            return said

        monkeypatch.setattr(ClientConnection, "dead", property(well))
        before = p.fleet.count("write")
        reply = await p.ask(Request_Class=request_class, Request_Timeout="15")
        assert reply.status == status and not closing
        assert p.fleet.count("write") - before == (1 if request_class == "summary" else 0)
        await p.wait_until_idle()


def _reset_by_peer(p: Platform, caller: ClientConnection) -> None:
    """The server's side of this connection is closed."""
    import gc

    ours = caller.stream.socket.getsockname()
    for it in gc.get_objects():
        if isinstance(it, trio.SocketStream) and it.socket.fileno() >= 0 and it is not caller.stream:
            try:
                if it.socket.getpeername() == ours:
                    it.socket.close()
            except OSError:
                pass


async def test_a_request_that_is_half_written_when_its_client_leaves_is_never_whole(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Also where attempts may not be called off: this one has not begun."""
    async with platform("r0", "w0", platform_settings=platform_settings(cancel=False)) as p:
        gate, send = Gate(), connection_module.send

        async def half(stream: trio.SocketStream, data: bytes) -> None:
            if data.startswith(b"POST /v1/"):
                send_now(stream, data[:-3])
                await gate.hold()
            await send(stream, data[-3:] if data.startswith(b"POST /v1/") else data)

        monkeypatch.setattr(connection_module, "send", half)
        client = RawClient(p.address)
        client.send(client_request(p))
        await gate.reached.wait()
        client.disconnect("close")
        await wait_until(lambda: p.gateway.runtime.reporter.counts["client_gone"])
        gate.open()
        await p.wait_until_idle()
        assert p.fleet.count("read") == 0 and p.gateway.runtime.reporter.counts["prefill CLIENT_GONE"] == 1


# -- hand-overs and releases


async def test_a_release_that_is_overtaken_by_a_new_read_costs_a_read_and_nothing_else() -> None:
    """A DELETE that a server held up takes the state of the read that came after it."""
    async with platform("r0", "w0", platform_settings=platform_settings(most_tries=8), w0=fault_once("gone_410")) as p:
        lease, write = Gate(), Gate()
        for server in p.servers.values():
            server.gates["lease"] = lease
        replies: list[Reply] = []
        p.nursery.start_soon(partial(asked, p, replies))
        await lease.reached.wait()  # the first state is to be released, and the prompt read anew
        p.servers["w0"].gates["request"] = write
        await write.reached.wait()  # the second state is at hand for its writer
        lease.open()
        await wait_until(lambda: not p.fleet.states)  # and now it is gone
        write.open()
        await wait_until(lambda: replies)
        assert replies[0].status == 200 and replies[0].done == 1 and p.fleet.count("read") == 3
        await p.wait_until_idle()


@pytest.mark.parametrize("way", ["full_503", "gone_410", "status_500", "opening_cut"])
async def test_a_state_whose_writer_fails_it_in_any_way_is_not_left_behind(way: str) -> None:
    """A decode server fails in any way with a state at hand. The state is taken by another one, or released."""
    async with platform("r0", "w0", w0=fault_always(way)) as p:
        assert (await p.ask(Request_Class="note")).status in (502, 503)
        await p.wait_until_idle()
        assert not p.fleet.states and not p.gateway.runtime.reporter.counts["release unconfirmed"]


async def test_a_writer_that_dies_as_the_state_is_at_hand_leaves_it_to_another(monkeypatch: pytest.MonkeyPatch) -> None:
    """A decode server dies as its prefill ends. Another one takes the state."""
    async with platform("r0", "w0", platform_settings=platform_settings(connect_timeout=1000.0)) as p:
        held = DelayedConnects(monkeypatch, p.servers["w0"].address)
        replies: list[Reply] = []
        p.nursery.start_soon(partial(asked, p, replies))
        await held.gate.reached.wait()
        await p.add("w1")
        p.servers["w0"].stop()
        p.discovery.put("w0", "", "writer", "DELETED")
        await wait_until(lambda: set(p.gateway.runtime.endpoint_registry.servers) == {"r0", "w1"})
        held.gate.open()
        await wait_until(lambda: replies)
        assert replies[0].status == 200 and [n for n, k, _ in p.fleet.seen if k == "write"] == ["w1"]
        await p.wait_until_idle()


# -- the shutdown


async def test_a_shutdown_waits_for_a_release_that_is_under_way() -> None:
    """A gateway shuts down while a release is in flight. It waits for it."""
    slow = PLATFORM_SETTINGS | {"specifics": PLATFORM_SETTINGS["specifics"] | {"release": 5000.0}}
    async with platform("r0", "w0", platform_settings=slow, w0=fault_always("status_500")) as p:
        gate = Gate()
        for server in p.servers.values():
            server.gates["lease"] = gate
        assert (await p.ask(Request_Class="note")).status == 502
        await gate.reached.wait()
        done, looked, close_idle = trio.Event(), trio.Event(), p.gateway.chat_server.close_idle

        def look(served_only: bool = False) -> None:
            close_idle(served_only)
            if not served_only:
                looked.set()  # by the last loop: nothing but the release is left to wait for

        p.gateway.chat_server.close_idle = look  # type: ignore[method-assign]

        async def drain() -> None:
            await p.gateway.drain()
            done.set()

        p.nursery.start_soon(drain)
        await wait_until(lambda: looked.is_set() or done.is_set())
        assert p.gateway.runtime.releases_in_flight and not done.is_set()
        gate.open()
        await wait_until(done.is_set)
        assert not p.fleet.states


@pytest.mark.parametrize("point, server", [("request", "r0"), ("request", "w0"), ("event", "w0")])
async def test_what_is_under_way_when_a_shutdown_begins_is_finished(point: str, server: str) -> None:
    """A read under way, between prefill and decode, within the stream."""
    async with platform("r0", "w0") as p:
        gate = p.servers[server].gates[point] = Gate()
        client = RawClient(p.address)
        client.send(client_request(p))
        await gate.reached.wait()
        p.gateway.begin_drain()
        gate.open()
        out = await client.rest()
        assert out.startswith(b"HTTP/1.1 200 ") and DONE in out and out.endswith(b"0\r\n\r\n")
        assert not client.reset
        await p.wait_until_idle()


async def test_a_shutdown_while_all_servers_hang_answers_everything_and_ends() -> None:
    """All model servers hang as a gateway shuts down. Each client has its answer, and the process ends in time."""
    async with platform("r0", "w0", r0=fault_always("silent")) as p:
        clients = [RawClient(p.address) for _ in range(12)]
        for client in clients:
            client.send(client_request(p, Request_Timeout="1.0"))
        await wait_until(lambda: p.fleet.count("read") >= 1 and len(p.gateway.runtime.active_requests) == 12)
        with trio.fail_after(4):
            await p.gateway.drain()
        for client in clients:
            assert (await client.rest()).startswith(b"HTTP/1.1 503 ") and not client.reset
            client.sock.close()
        await p.wait_until_idle()


# -- errors are what they were


async def test_pool_gives_no_connection_before_it_has_rested() -> None:
    stream, peer = await pair()
    pool = ConnectionPool(100.0, 10_000.0)
    caller = ClientConnection(stream, "127.0.0.1:9", ("", 0))
    pool.open.add(caller)
    peer.send(b"HTTP/1.1 204 \r\n\r\n")
    assert (await caller.ask("DELETE", "/", [])).status_code == 204
    assert await caller.body(10) == b""
    pool.give_back(caller)
    assert caller.conn.our_state is h11.IDLE
    refused: Callable[[], Any] = partial(pool.take, "127.0.0.1:9", 60e3)
    with pytest.raises(connection_module.ConnectError):  # nobody listens there; the kept one is not used
        await refused()
    assert await pool.take("127.0.0.1:9") is caller
    caller.close_now()
