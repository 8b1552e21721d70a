"""Races of attempts and held state at model servers with drains, deadlines, deduplication windows and releases.

Each order of events is forced by gates in the fake servers, or by a patch at the one point of the gateway concerned.
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
from ternlane.testing.platform import DONE, EVENT, RESPONSE_HEAD, Gate, encode_chunk
from tests.conftest import ROUTER_CONFIG, FakeHost, action_types, make_host, started_attempt
from tests.gateway_cluster import FLEET_CONFIG, Reply, gateway_cluster
from tests.platform_gateway import PLATFORM_SETTINGS, Platform, fault_always, fault_once, platform
from tests.race_helpers import (
    RawClient,
    StreamWrapper,
    block_until_readable,
    client_request,
    connected_pair,
    wait_until,
)


def platform_settings(**limits: Any) -> dict[str, Any]:
    return PLATFORM_SETTINGS | {"limits": PLATFORM_SETTINGS["limits"] | limits}


async def ask_into(p: Platform, into: list[Reply], **headers: str) -> None:
    into.append(await p.ask(**headers))


class DelayedConnects:
    """Simulates a slow handshake: connections are established at once, but reported only when `gate` opens."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, address: str) -> None:
        self.gate, self.address, open_stream = Gate(), address, connection_pool_module.open_stream
        self.delays: Callable[[str], bool] = lambda address: address == self.address

        async def delayed_open_stream(host: str, number: int, source: str | None) -> trio.SocketStream:
            stream = await open_stream(host, number, source)
            if self.delays(f"{host}:{number}"):
                await self.gate.hold()
            return stream

        monkeypatch.setattr(connection_pool_module, "open_stream", delayed_open_stream)

    def after(self, p: Platform, role: str) -> None:
        """Delays connections to servers of this role once one of them has received a request."""
        addresses = {server.address for server in p.servers.values() if server.role == role}
        self.delays = lambda address: address in addresses and p.fleet.count(role) > 0


# -- draining servers


@pytest.mark.parametrize("name, other, kind", [("r0", "r1", "reader"), ("w0", "w1", "writer")])
async def test_a_server_that_begins_to_drain_during_the_connect_is_sent_nothing(
    name: str, other: str, kind: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The attempt was decided before the drain, but drains are checked again when the attempt begins."""
    async with platform("r0", "w0", platform_settings=platform_settings(connect_timeout=1000.0)) as p:
        held = DelayedConnects(monkeypatch, p.servers[name].address)
        replies: list[Reply] = []
        p.nursery.start_soon(partial(ask_into, p, replies))
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
    """An attempt waits for the release of an earlier one, and its server begins to drain. Nothing is sent there."""
    async with platform(
        "r0", "w0", platform_settings=platform_settings(connect_timeout=1000.0), w0=fault_once("gone_410")
    ) as p:
        gates = [server.gates for server in p.servers.values()]
        gate = Gate()
        for each in gates:
            each["lease"] = gate
        replies: list[Reply] = []
        p.nursery.start_soon(partial(ask_into, p, replies))
        await gate.reached.wait()  # the prefill is to be repeated after the release
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
async def test_the_chat_gateway_sends_nothing_to_a_server_that_began_to_drain_during_the_connect(
    name: str, other: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A server begins to drain during a connect, here in the chat gateway."""
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
        servers_reached = {line["id"] for line in w.traffic_events("leg")}
        assert name not in servers_reached and other in servers_reached
        await w.wait_until_idle()


def test_an_attempt_that_was_not_started_neither_stops_the_release_timer_nor_counts_as_a_failure() -> None:
    """A decode attempt is not started because its server drains. The state is still held, so its release timer keeps
    running, and the server is not ejected."""
    host = make_host(("w2", "w3"))
    request, attempt = host.start_decode(Effect.SIDE_EFFECTING)
    second = started_attempt(host.end_attempt(request, attempt.server, AttemptOutcome.NOT_STARTED, after=200.0))
    assert second.server is not attempt.server and second.server.role is messages.Role.DECODE
    actions = host.end_attempt(
        request, second.server, AttemptOutcome.NOT_STARTED, after=200.0
    )  # 400 of 500 ms, and 250 to connect
    assert messages.Release in action_types(actions) and started_attempt(actions).server.role is messages.Role.PREFILL
    assert not host.router.scheduler.rules.endpoints[attempt.server.router_state].ejected


# -- remaining time


async def test_the_stated_time_out_is_the_remaining_time_also_after_a_wait_for_a_release() -> None:
    async with platform(
        "r0", "w0", platform_settings=platform_settings(connect_timeout=1000.0), w0=fault_once("gone_410")
    ) as p:
        gate = Gate()
        for server in p.servers.values():
            server.gates["lease"] = gate
        replies: list[Reply] = []
        since = trio.current_time()
        p.nursery.start_soon(partial(ask_into, p, replies, Request_Timeout="1.5"))
        await gate.reached.wait()
        await trio.sleep(0.2)  # the elapsed time matters here, not the order
        gate.open()
        await wait_until(lambda: len(p.fleet.stated_timeouts_s) > 2)
        assert p.fleet.stated_timeouts_s[2] <= 1.5 - (trio.current_time() - since) + 0.1
        await wait_until(lambda: replies)
        assert replies[0].status == 200


async def test_an_answer_that_arrives_as_its_time_out_expires_is_read(nursery: trio.Nursery) -> None:
    """An answer arrives just as its time-out expires. It is read."""
    stream, peer = await connected_pair()

    class Late(StreamWrapper):
        async def receive_some(self, max_bytes: int | None = None) -> bytes:
            try:
                await trio.sleep_forever()
            finally:
                peer.send(b"HTTP/1.1 204 \r\n\r\n")
                block_until_readable(self.inner)
            raise AssertionError

    connection = ClientConnection(Late(stream), "a:1", ("", 0))  # type: ignore[arg-type]
    await connection.send_request("DELETE", "/kv/leases/ab", [])
    connection.set_read_deadline(trio.current_time() + 0.05)
    assert (await connection.read_head()).status_code == 204
    connection.close_now()


async def test_a_peer_that_never_stops_sending_is_read_only_once_after_the_deadline() -> None:
    """A server keeps sending after its read deadline. It is read once more, not for ever."""
    stream, peer = await connected_pair()
    connection = ClientConnection(stream, "a:1", ("", 0))
    await connection.send_request("GET", "/", [])
    peer.send(RESPONSE_HEAD + encode_chunk(EVENT))
    assert (await connection.read_head()).status_code == 200
    connection.set_read_deadline(trio.current_time() - 1)
    received: list[bytes] = []
    with pytest.raises(ReadTimeout):
        async for chunk in connection.chunks():
            received.append(chunk)
            peer.send(encode_chunk(b": comment\n\n"))  # there are always unread bytes
            block_until_readable(stream)
    assert received[0] == EVENT and len(received) <= 2
    connection.close_now()


async def test_an_event_that_arrives_as_the_idle_time_out_expires_is_forwarded_with_the_rest(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """An event arrives just as the stream's idle time-out expires. It is forwarded, and the stream goes on."""
    async with platform("r0", "w0") as p:
        gate = p.servers["w0"].gates["event"] = Gate()
        receive, held = ClientConnection._receive, Gate()
        now = trio.current_time

        async def at_the_limit(self: ClientConnection) -> bytes:
            """After the first event has been forwarded, lets all the rest arrive and the idle time-out expire."""
            if self.peer == p.servers["w0"].address and gate.reached.is_set() and not held.opened.is_set():
                held.open()
                gate.open()
                arrived_at = now() + 5
                while now() < arrived_at and not connection_module.is_readable(self.stream):
                    await trio.sleep(0.001)
                self.set_read_deadline(now() - 1)
            return await receive(self)

        monkeypatch.setattr(ClientConnection, "_receive", at_the_limit)
        reply = await p.ask()
        assert reply.status == 200 and reply.done == 1 and held.opened.is_set()
        await p.wait_until_idle()


# -- deduplication windows

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


async def test_a_window_that_ends_between_the_decision_and_the_send_forbids_the_retry(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The servers no longer deduplicate the first attempt by then, so a second one would take effect again."""
    async with platform("r0", "w0", platform_settings=KEYED, w0=fault_once("opening_cut")) as p:
        replies: list[Reply] = []
        gate = p.servers["w0"].gates["request"] = Gate()
        p.nursery.start_soon(partial(ask_into, p, replies, Request_Timeout="4"))
        await gate.reached.wait()
        second = await p.add("w1")
        await wait_until(lambda: "w1" in p.gateway.runtime.endpoint_registry.servers)
        held = DelayedConnects(monkeypatch, second.address)
        gate.open()  # the attempt breaks off, so it may have run
        await held.gate.reached.wait()  # a retry was allowed, and its connection is slow
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


def test_a_retry_may_begin_only_within_the_window() -> None:
    host = keyed(3000.0)
    request, attempt = host.start_decode(Effect.DEDUPLICATED)
    assert attempt.start_within_ms == float("inf")  # nothing may have run yet
    again = started_attempt(host.end_attempt(request, attempt.server, AttemptOutcome.RESET, after=1000.0))
    assert again.start_within_ms == pytest.approx(2000.0)


@pytest.mark.parametrize("after, answer", [(100.0, messages.Reject), (2900.0, messages.Fail), (3100.0, messages.Fail)])
def test_a_request_is_rejected_as_retryable_only_if_the_client_would_retry_within_the_window(
    after: float, answer: type
) -> None:
    """The client may retry after the time in Retry-After, and the request then runs again."""
    host = keyed(3000.0)
    request, attempt = host.start_decode(Effect.DEDUPLICATED)
    host.update_endpoints(w0=messages.EndpointStatus.DRAINING, w1=messages.EndpointStatus.DRAINING)
    assert answer in action_types(host.end_attempt(request, attempt.server, AttemptOutcome.RESET, after=after))


# -- second answers, reused connections


async def test_a_late_second_answer_is_not_taken_for_the_next_request(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A server answers a request twice, the second time some milliseconds late. The second is not taken for the next
    request's answer."""
    monkeypatch.setattr(client_module, "REUSE_DELAY_MS", 60e3)  # long enough on a slow machine
    async with platform("r0", "w0", w0=fault_once("second_answer")) as p:
        gate = p.servers["w0"].gates["second"] = Gate()
        assert (await p.ask()).status == 200
        await gate.reached.wait()
        replies: list[Reply] = []
        p.nursery.start_soon(partial(ask_into, p, replies))
        await wait_until(lambda: p.fleet.count("read") == 2 and not p.fleet.open["r0"])
        await wait_until(lambda: p.fleet.conns["w0"] == 2 or replies)  # on a new connection
        gate.open()
        await wait_until(lambda: replies)
        assert replies[0].status == 200
        assert replies[0].body.endswith(b": Server-Load: inflight=2,x0=0.2\n\n")  # its own answer
        await p.wait_until_idle()


def test_the_reuse_delay_exceeds_the_delay_of_a_late_answer() -> None:
    assert 20 <= client_module.REUSE_DELAY_MS <= 100


@pytest.mark.parametrize("request_class, status", [("summary", 200), ("note", 502)])
async def test_an_idle_connection_that_its_server_closes_as_it_is_reused_counts_as_a_reset(
    request_class: str, status: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The connection passes the check before reuse and is then closed before the request is written. The gateway
    has to assume that the request may have run."""
    monkeypatch.setattr(client_module, "REUSE_DELAY_MS", 0.0)
    # Neither time-outs nor the release timer may expire: finding the server's side of the connection blocks the loop.
    profiles = [one | {"aim": 5000.0, "deadline": 20e3} for one in PLATFORM_SETTINGS["profiles"]]
    platform_settings = PLATFORM_SETTINGS | {
        "profiles": profiles,
        "specifics": PLATFORM_SETTINGS["specifics"] | {"release": 10e3},
    }
    async with platform("r0", "w0", "w1", platform_settings=platform_settings) as p:
        for _ in range(4):
            assert (await p.ask(Request_Timeout="15")).status == 200
        is_stale, closing = ClientConnection.is_stale.fget, [p.servers[n].address for n in ("w0", "w1")]  # type: ignore[attr-defined]

        def dead_then_closed(self: ClientConnection) -> bool:
            was_dead: bool = is_stale(self)
            if not was_dead and self.peer in closing:
                closing.clear()
                self.stream.socket.shutdown(trio.socket.SHUT_RD)  # no answer is read
                _reset_by_peer(p, self)
            return was_dead

        monkeypatch.setattr(ClientConnection, "is_stale", property(dead_then_closed))
        before = p.fleet.count("write")
        reply = await p.ask(Request_Class=request_class, Request_Timeout="15")
        assert reply.status == status and not closing
        assert p.fleet.count("write") - before == (1 if request_class == "summary" else 0)
        await p.wait_until_idle()


def _reset_by_peer(p: Platform, connection: ClientConnection) -> None:
    """Closes the server's side of this connection."""
    import gc

    local_address = connection.stream.socket.getsockname()
    for stream in gc.get_objects():
        if isinstance(stream, trio.SocketStream) and stream.socket.fileno() >= 0 and stream is not connection.stream:
            try:
                if stream.socket.getpeername() == local_address:
                    stream.socket.close()
            except OSError:
                pass


async def test_a_request_that_is_partly_written_when_its_client_disconnects_is_never_completed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """This holds even if attempts may not be cancelled, since the attempt has not begun at the server."""
    async with platform("r0", "w0", platform_settings=platform_settings(cancel=False)) as p:
        gate, send = Gate(), connection_module.send

        async def send_in_two_parts(stream: trio.SocketStream, data: bytes) -> None:
            if data.startswith(b"POST /v1/"):
                send_now(stream, data[:-3])
                await gate.hold()
            await send(stream, data[-3:] if data.startswith(b"POST /v1/") else data)

        monkeypatch.setattr(connection_module, "send", send_in_two_parts)
        client = RawClient(p.address)
        client.send(client_request(p))
        await gate.reached.wait()
        client.disconnect("close")
        await wait_until(lambda: p.gateway.runtime.reporter.counts["client_gone"])
        gate.open()
        await p.wait_until_idle()
        assert p.fleet.count("read") == 0 and p.gateway.runtime.reporter.counts["prefill CLIENT_GONE"] == 1


# -- handovers and releases


async def test_a_release_that_is_overtaken_by_a_new_prefill_costs_only_one_prefill() -> None:
    """A server delays a DELETE, which then releases the state of the following prefill."""
    async with platform("r0", "w0", platform_settings=platform_settings(most_tries=8), w0=fault_once("gone_410")) as p:
        lease, write = Gate(), Gate()
        for server in p.servers.values():
            server.gates["lease"] = lease
        replies: list[Reply] = []
        p.nursery.start_soon(partial(ask_into, p, replies))
        await lease.reached.wait()  # the first state is to be released and the prefill repeated
        p.servers["w0"].gates["request"] = write
        await write.reached.wait()  # the second state is held for the decode
        lease.open()
        await wait_until(lambda: not p.fleet.states)  # and now it is released
        write.open()
        await wait_until(lambda: replies)
        assert replies[0].status == 200 and replies[0].done == 1 and p.fleet.count("read") == 3
        await p.wait_until_idle()


@pytest.mark.parametrize("way", ["full_503", "gone_410", "status_500", "opening_cut"])
async def test_the_state_of_a_failed_decode_does_not_stay_held(way: str) -> None:
    """A decode fails while its state is held. The state is taken by another decode server or released."""
    async with platform("r0", "w0", w0=fault_always(way)) as p:
        assert (await p.ask(Request_Class="note")).status in (502, 503)
        await p.wait_until_idle()
        assert not p.fleet.states and not p.gateway.runtime.reporter.counts["release unconfirmed"]


async def test_the_state_for_a_decode_server_that_dies_is_taken_by_another(monkeypatch: pytest.MonkeyPatch) -> None:
    """A decode server dies as the prefill ends. Another decode server takes the state."""
    async with platform("r0", "w0", platform_settings=platform_settings(connect_timeout=1000.0)) as p:
        held = DelayedConnects(monkeypatch, p.servers["w0"].address)
        replies: list[Reply] = []
        p.nursery.start_soon(partial(ask_into, p, replies))
        await held.gate.reached.wait()
        await p.add("w1")
        p.servers["w0"].stop()
        p.discovery.put("w0", "", "writer", "DELETED")
        await wait_until(lambda: set(p.gateway.runtime.endpoint_registry.servers) == {"r0", "w1"})
        held.gate.open()
        await wait_until(lambda: replies)
        assert replies[0].status == 200 and [n for n, k, _ in p.fleet.seen if k == "write"] == ["w1"]
        await p.wait_until_idle()


# -- shutdown


async def test_a_shutdown_waits_for_a_release_in_flight() -> None:
    """A gateway shuts down while a release is in flight. It waits for its confirmation."""
    slow = PLATFORM_SETTINGS | {"specifics": PLATFORM_SETTINGS["specifics"] | {"release": 5000.0}}
    async with platform("r0", "w0", platform_settings=slow, w0=fault_always("status_500")) as p:
        gate = Gate()
        for server in p.servers.values():
            server.gates["lease"] = gate
        assert (await p.ask(Request_Class="note")).status == 502
        await gate.reached.wait()
        done, last_call, close_idle = trio.Event(), trio.Event(), p.gateway.chat_server.close_idle

        def record_last_call(served_only: bool = False) -> None:
            close_idle(served_only)
            if not served_only:
                last_call.set()  # called by the last loop of the drain: only the release is left to wait for

        p.gateway.chat_server.close_idle = record_last_call  # type: ignore[method-assign]

        async def drain() -> None:
            await p.gateway.drain()
            done.set()

        p.nursery.start_soon(drain)
        await wait_until(lambda: last_call.is_set() or done.is_set())
        assert p.gateway.runtime.releases_in_flight and not done.is_set()
        gate.open()
        await wait_until(done.is_set)
        assert not p.fleet.states


@pytest.mark.parametrize("point, server", [("request", "r0"), ("request", "w0"), ("event", "w0")])
async def test_requests_in_progress_when_a_shutdown_begins_are_finished(point: str, server: str) -> None:
    """The shutdown begins during the prefill, between prefill and decode, or within the stream."""
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


async def test_a_shutdown_while_all_servers_hang_answers_all_requests_and_ends() -> None:
    """All model servers hang as a gateway shuts down. Each client is answered, and the shutdown ends in time."""
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


# -- reuse delay


async def test_the_pool_does_not_reuse_a_connection_within_the_reuse_delay() -> None:
    stream, peer = await connected_pair()
    pool = ConnectionPool(100.0, 10_000.0)
    connection = ClientConnection(stream, "127.0.0.1:9", ("", 0))
    pool.open.add(connection)
    peer.send(b"HTTP/1.1 204 \r\n\r\n")
    assert (await connection.ask("DELETE", "/", [])).status_code == 204
    assert await connection.body(10) == b""
    pool.give_back(connection)
    assert connection.conn.our_state is h11.IDLE
    refused: Callable[[], Any] = partial(pool.take, "127.0.0.1:9", 60e3)
    with pytest.raises(
        connection_module.ConnectError
    ):  # a new connection is refused there, and the idle one is not used
        await refused()
    assert await pool.take("127.0.0.1:9") is connection
    connection.close_now()
