"""The platform gateway under faults: outages of discovery, disconnected clients, silent servers, short descriptors."""

from __future__ import annotations

import json
from collections.abc import AsyncIterator
from typing import Any

import h11
import pytest
import trio
from hypothesis import given
from hypothesis import strategies as st

from ternlane.deployment import Deployment
from ternlane.http1 import ConnectionPool
from ternlane.platform import discovery_watch
from ternlane.platform.attempt import AttemptResult, ModelServerAttempt
from ternlane.platform.endpoint_list import EndpointList, EndpointListParser, parse_endpoint_list
from ternlane.platform.endpoint_registry import MAX_STALENESS_MS, EndpointRegistry
from ternlane.platform.model_server_client import ModelServerClient
from ternlane.platform.settings import ProcessLimits
from ternlane.policy.messages import AttemptOutcome, EndpointStatus, Role
from ternlane.testing.platform import DONE, EVENT, USAGE, FakeDiscovery, FakeFleet, FakeModelServer, Gate
from tests.platform_gateway import BODY, PLATFORM_SETTINGS, Platform, platform

# -- discovery


def test_worst_case_delay_of_a_change_is_within_the_limit() -> None:
    """The worst case: a call hangs from the moment when discovery is reachable again, and the longest backoff
    follows."""
    worst = (
        discovery_watch.WATCH_TIMEOUT_MS
        + discovery_watch.JITTER[1] * discovery_watch.MAX_BACKOFF_MS
        + discovery_watch.CONNECT_TIMEOUT_MS
        + discovery_watch.HEAD_TIMEOUT_MS
    )
    assert discovery_watch.WORST_CASE_MS == worst < discovery_watch.PROPAGATION_MS - discovery_watch.CONNECT_TIMEOUT_MS
    assert (
        discovery_watch.HEARTBEAT_MS < discovery_watch.WATCH_TIMEOUT_MS
        and discovery_watch.BACKOFF_MS <= discovery_watch.MAX_BACKOFF_MS
    )


@pytest.mark.parametrize("how", ["silent", "shut"])
async def test_change_is_applied_in_time_after_an_outage_of_discovery(
    how: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Outages of discovery that end at different moments of the calls and backoffs, with all times divided by ten."""
    for name in (
        "HEARTBEAT_MS",
        "WATCH_TIMEOUT_MS",
        "CONNECT_TIMEOUT_MS",
        "HEAD_TIMEOUT_MS",
        "BACKOFF_MS",
        "MAX_BACKOFF_MS",
    ):
        monkeypatch.setattr(discovery_watch, name, getattr(discovery_watch, name) / 10)
    delays_ms: list[float] = []

    async def one(nth: int, nursery: trio.Nursery) -> None:
        discovery = FakeDiscovery(nursery, discovery_watch.HEARTBEAT_MS)
        await discovery.start()
        host, _, number = discovery.address.partition(":")
        applied, index = trio.Event(), [discovery.index]

        def apply_list_of_watch(listing: EndpointList) -> None:
            index[0] = listing.index
            if any(e.status == "DRAINING" for e in listing.endpoints):
                applied.set()

        watch = discovery_watch.DiscoveryWatch(
            (host, int(number)), lambda: index[0], apply_list_of_watch, lambda _: None, nth, nursery, None
        )
        watch.start()
        await trio.sleep(0.1)
        discovery.start_outage(silent=how == "silent", listening=how == "silent")
        await trio.sleep(0.3 + 0.05 * nth)
        await discovery.end_outage()
        discovery.put("w0", "127.0.0.1:1", "writer", "DRAINING")
        since = trio.current_time()
        await applied.wait()
        delays_ms.append((trio.current_time() - since) * 1000)

    async with trio.open_nursery() as nursery:
        async with trio.open_nursery() as inner:
            for nth in range(24):
                inner.start_soon(one, nth, nursery)
        nursery.cancel_scope.cancel()
    assert max(delays_ms) < discovery_watch.PROPAGATION_MS / 10


def listing(index: int, snapshot: bool = False, **statuses: str) -> bytes:
    return json.dumps(
        {
            "index": index,
            "snapshot": snapshot,
            "endpoints": [
                {
                    "name": name,
                    "address": "127.0.0.1:1",
                    "zone": 'hall {"a"',
                    "type": "writer",
                    "group": 2,
                    "status": status,
                    "weight": 1.0,
                    "since_ms": 0,
                }
                for name, status in statuses.items()
            ],
        }
    ).encode()


@given(st.data())
def test_lists_in_any_form_and_pieces_parse_equally(data: st.DataObject) -> None:
    lists = [json.loads(listing(n, n == 1, **{f"w{k}": "SERVING" for k in range(n)})) for n in range(1, 4)]
    text = b""
    for one in lists:
        indent = data.draw(st.sampled_from([None, 0, 2, "\t"]))
        end = data.draw(st.sampled_from([b"\n", b"\r\n", b"\n\n \n"]))
        text += json.dumps(one, indent=indent).encode() + end
    cuts = sorted(data.draw(st.lists(st.integers(0, len(text)), max_size=12)))
    parser, out = EndpointListParser(), list[bytes]()
    for begin, end_at in zip([0, *cuts], [*cuts, len(text)], strict=False):
        out += parser.feed(text[begin:end_at])
    assert [json.loads(raw) for raw in out] == lists
    assert [parse_endpoint_list(raw).index for raw in out] == [1, 2, 3]


@pytest.mark.parametrize("noise", [b"what is this\n", b"}\n", b"[1]\n", b'{"index":\n\n', b"{" + b"x" * 5_000_000])
def test_invalid_lists_are_refused(noise: bytes) -> None:
    with pytest.raises(ValueError):
        EndpointListParser().feed(noise)


async def test_indented_list_is_applied(monkeypatch: pytest.MonkeyPatch) -> None:
    async with platform("r0", "w0", "w1") as p:
        p.discovery.indent = 2
        p.discovery.put("w0", p.servers["w0"].address, "writer", "DRAINING")
        with trio.fail_after(2):
            while p.gateway.runtime.endpoint_registry.servers["w0"].status is not EndpointStatus.DRAINING:
                await trio.sleep(0.01)
        assert p.gateway.runtime.reporter.counts["watch broke"] == 0


def test_outdated_lists_are_ignored_and_a_restarted_index_is_followed() -> None:
    """An agent that lags behind sends an older list, which is ignored. If that lasts, discovery's index has restarted,
    and the full list is requested."""
    endpoint_registry = EndpointRegistry(Deployment(1, PLATFORM_SETTINGS))
    endpoint_registry.apply_list(parse_endpoint_list(listing(41, True, w0="SERVING", w1="SERVING")), 0.0, 0.0)
    endpoint_registry.apply_list(parse_endpoint_list(listing(43, False, w0="DRAINING")), 0.0, 10.0)
    old = parse_endpoint_list(listing(42, True, w0="SERVING", w2="SERVING"))
    assert not endpoint_registry.apply_list(old, 0.0, 20.0).servers
    assert (
        endpoint_registry.servers["w0"].status is EndpointStatus.DRAINING
        and set(endpoint_registry.servers) == {"w0", "w1"}
        and endpoint_registry.index == 43
    )
    assert endpoint_registry.apply_list(
        parse_endpoint_list(listing(44, False, w0="SERVING")), 0.0, 30.0
    ).servers  # newer, so it is applied
    assert not endpoint_registry.apply_list(parse_endpoint_list(listing(5, True, w0="DRAINING")), 0.0, 40.0).servers
    with pytest.raises(ValueError):  # for longer than an agent may lag behind
        endpoint_registry.apply_list(
            parse_endpoint_list(listing(6, False, w0="DRAINING")), 0.0, 41.0 + MAX_STALENESS_MS
        )
    assert endpoint_registry.index == 0  # so the full list is requested
    endpoint_registry.apply_list(parse_endpoint_list(listing(6, True, w0="DRAINING")), 0.0, 50.0 + MAX_STALENESS_MS)
    assert endpoint_registry.servers["w0"].status is EndpointStatus.DRAINING and set(endpoint_registry.servers) == {
        "w0"
    }


# -- disconnected clients


async def send_chat_request(p: Platform, how: str, extra_bytes: bytes = b"") -> trio.SocketStream:
    host, _, number = p.address.partition(":")
    stream = await trio.open_tcp_stream(host, int(number))
    head = "".join(f"{k}: {v}\r\n" for k, v in p.headers().items())
    await stream.send_all(
        f"POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nContent-Length: {len(BODY)}\r\n{head}\r\n".encode()
        + BODY
        + extra_bytes
    )
    if how == "closed at once":
        stream.socket.close()
    return stream


@pytest.mark.parametrize(
    "how, extra_bytes",
    [
        ("closed", b""),
        ("half-closed", b""),
        ("reset", b""),
        ("closed", b"GET / HTTP/1.1\r\n" * 9),
        ("closed", b"x" * 300_000),
    ],
)
async def test_no_attempt_starts_for_a_disconnected_client(how: str, extra_bytes: bytes) -> None:
    """A client disconnects during its prefill, in some cases after sending more unread bytes than the gateway keeps."""
    async with platform("r0", "w0") as p:
        prefill_gate = p.servers["r0"].gates["request"] = Gate()
        stream = await send_chat_request(p, how, extra_bytes)
        with trio.fail_after(2):
            await prefill_gate.reached.wait()
        if how == "half-closed":
            await stream.send_eof()
        elif how == "reset":
            stream.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            stream.socket.close()
        else:
            stream.socket.close()
        with trio.fail_after(0.1):  # no attempt may start more than 0.1 s after the client's close
            while not p.gateway.runtime.reporter.counts["client_gone"]:
                await trio.sleep(0.002)
        prefill_gate.open()  # lets the prefill run
        await p.wait_until_idle()
        await trio.sleep(0.2)
        assert p.fleet.count("read") == 1 and p.fleet.count("write") == 0
        assert p.gateway.runtime.reporter.counts["client_gone"] == 1


async def test_attempt_does_not_start_if_its_client_left_during_the_connect() -> None:
    """A client disconnects while the connection for its attempt is being made. The check before the first byte prevents
    the attempt, and the next one uses the connection."""
    async with platform("r0", "w0") as p:
        pool = p.gateway.runtime.model_servers.pool
        connect, opened = pool.connect, list[str]()

        async def slow(peer: str) -> Any:
            opened.append(peer)
            connection = await connect(peer)
            with trio.CancelScope(shield=True):  # so that only the check can prevent the attempt
                await trio.sleep(0.2)
            return connection

        pool.connect = slow  # type: ignore[method-assign]
        stream = await send_chat_request(p, "stays")
        await trio.sleep(0.1)
        stream.socket.close()
        await trio.sleep(0.3)
        assert p.fleet.count("read") == 0 and p.gateway.runtime.reporter.counts["prefill CLIENT_GONE"] == 1
        assert not p.gateway.runtime.router.scheduler.rules.endpoints[  # type: ignore[attr-defined]
            p.gateway.runtime.endpoint_registry.servers["r0"].router_state
        ].ejected  # the server is not at fault
        assert (await p.ask()).status == 200 and opened.count(p.servers["r0"].address) == 1
        await p.wait_until_idle()


async def test_request_of_a_client_that_left_before_it_was_read_is_not_forwarded() -> None:
    """Many clients disconnect right after they have sent their requests, before the gateway reads these."""
    async with platform("r0", "w0") as p:
        for _ in range(20):
            await send_chat_request(p, "closed at once")
        with trio.fail_after(2):
            while p.gateway.chat_server.connections or not p.gateway.runtime.reporter.counts["client_gone"]:
                await trio.sleep(0.01)
        await trio.sleep(0.1)
        assert p.fleet.count("read") == 0
        await p.wait_until_idle()


async def test_unread_bytes_do_not_reset_an_answer_during_a_drain() -> None:
    """A client keeps sending while it is answered during a drain. Closing the connection with unread bytes would reset
    it and lose the answer; the client must receive the complete answer."""
    async with platform("r0", "w0") as p:
        p.servers["w0"].event_ms = 100.0
        stream = await send_chat_request(p, "stays")
        with trio.fail_after(2):
            while not p.fleet.count("write"):
                await trio.sleep(0.005)
        p.gateway.chat_server.draining = True
        out = b""
        await trio.sleep(0.05)
        await stream.send_all(b"POST / HTTP/1.1\r\n" * 2000)
        await trio.sleep(0.2)
        await stream.send_all(b"x" * 2000)  # after the answer's end
        with trio.fail_after(2):
            while piece := await stream.receive_some():
                out += piece
        assert out.endswith(b"0\r\n\r\n")


# -- releases


async def test_state_is_released_in_time_although_most_servers_are_silent(
    nursery: trio.Nursery,
) -> None:
    """Sixteen of twenty servers have gone silent, and they answered last. The state is released within the release
    time."""
    fleet, deployment = FakeFleet(nursery), Deployment(1, PLATFORM_SETTINGS)
    client = ModelServerClient(ConnectionPool(150.0, 1000.0), deployment)
    servers = [FakeModelServer(f"w{n}", "write", fleet) for n in range(20)]
    for server in reversed(servers):
        await server.start()
        client.record_answer(server.address)  # the silent ones answered last
        server.never_reads = server in servers[:16]
    fleet.states["ab"] = "w19"
    with trio.move_on_after(deployment.router_config.release_ms / 1000):
        nursery.start_soon(client.release, "ab", [s.address for s in servers], deployment.router_config.release_ms)
        while "ab" in fleet.states:
            await trio.sleep(0.005)
    assert "ab" not in fleet.states


async def test_unreachable_server_is_called_last_for_a_release(nursery: trio.Nursery) -> None:
    """A server that has answered before can no longer be reached. It is called last."""
    fleet = FakeFleet(nursery)
    client = ModelServerClient(ConnectionPool(150.0, 1000.0), Deployment(1, PLATFORM_SETTINGS))
    reachable, unreachable = FakeModelServer("w0", "write", fleet), FakeModelServer("w1", "write", fleet)
    for server in (reachable, unreachable):
        await server.start()
        assert (await client.call(server.address, "GET", "/stats", 500.0)).outcome is AttemptOutcome.STREAMED
    unreachable.stop()
    client.pool.forget(unreachable.address)
    assert (await client.call(unreachable.address, "GET", "/stats", 500.0)).outcome is AttemptOutcome.CONNECT_FAILED
    assert client.answer_order.latest_first([unreachable.address, reachable.address], 2) == [
        reachable.address,
        unreachable.address,
    ]
    assert client.answer_order.latest_first([unreachable.address, reachable.address], 1) == [reachable.address]


async def test_unused_connection_is_kept(nursery: trio.Nursery) -> None:
    server = FakeModelServer("w0", "write", FakeFleet(nursery))
    await server.start()
    pool = ConnectionPool(500.0, 1000.0)
    connection = await pool.take(server.address)
    pool.give_back(connection)
    assert connection.conn.our_state is h11.IDLE and await pool.take(server.address) is connection and pool.made == 1


# -- streams


class ResponseWriter:
    def __init__(self) -> None:
        self.received: list[bytes] = []

    async def write_first_events(self, data: bytes) -> None:
        self.received.append(data)

    write_events = write_first_events


@pytest.mark.parametrize("timed_out", [False, True])
async def test_first_event_at_the_moment_of_the_timeout_starts_no_stream(timed_out: bool) -> None:
    """The timeout expires when the first event has already been read, which does not interrupt the task."""
    attempt, response_writer = (
        ModelServerAttempt("a:1", Role.DECODE, "POST", "/", "ab", b"", 1000.0, 1000.0),
        ResponseWriter(),
    )

    class Stub:
        def set_read_deadline(self, when: float) -> None:
            pass

        async def chunks(self) -> AsyncIterator[bytes]:
            if timed_out:
                attempt.scope.cancel()
            yield EVENT
            await trio.lowlevel.checkpoint()
            yield DONE

    end = AttemptResult()
    with attempt.scope:
        await ModelServerClient(ConnectionPool(1.0, 1.0), Deployment(1, PLATFORM_SETTINGS)).forward_stream(
            attempt, Stub(), response_writer, end
        )  # type: ignore[arg-type]
    assert (end.begun, len(response_writer.received)) == ((False, 0) if timed_out else (True, 2))


# -- requests and answers in pieces


async def test_request_and_answer_in_any_pieces() -> None:
    """The request is sent in two pieces, split at each of its bytes in turn; its answer arrives in a dozen pieces. The
    latency objective is long, as a slow machine would otherwise reject some of the 24 requests at once for waiting. So
    is the release time: a pause of the process that outlasts it costs a state, and there are no attempts to spare."""
    long_deadlines = [profile | {"aim": 10e3, "deadline": 20e3} for profile in PLATFORM_SETTINGS["profiles"]]
    # Few attempts, so that no prefill is cancelled when other requests overtake it.
    platform_settings = PLATFORM_SETTINGS | {
        "limits": PLATFORM_SETTINGS["limits"] | {"most_tries": 2},
        "profiles": long_deadlines,
        "specifics": PLATFORM_SETTINGS["specifics"] | {"release": 20e3},
    }
    async with platform("r0", "w0", platform_settings=platform_settings, w0=lambda _: "pieces") as p:
        replies: list[bytes] = []
        limiter = trio.CapacityLimiter(24)

        def request() -> bytes:
            head = "".join(f"{k}: {v}\r\n" for k, v in p.headers(Request_Timeout="20").items())
            return (
                f"POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nContent-Length: {len(BODY)}\r\n"
                f"Connection: close\r\n{head}\r\n"
            ).encode() + BODY

        async def one(at: int) -> None:
            async with limiter:
                message, out = request(), b""
                host, _, number = p.address.partition(":")
                stream = await trio.open_tcp_stream(host, int(number))
                await stream.send_all(message[:at])
                await trio.sleep(0.002)
                await stream.send_all(message[at:])
                with trio.fail_after(10):
                    while piece := await stream.receive_some():
                        out += piece
                await stream.aclose()
                replies.append(out)

        async with trio.open_nursery() as nursery:
            for at in range(1, len(request())):
                nursery.start_soon(one, at)
        assert len(replies) > 300 and all(r.startswith(b"HTTP/1.1 200 ") for r in replies)
        bodies = {unchunked(reply) for reply in replies}
        assert bodies == {EVENT * 2 + USAGE + DONE}
        await p.wait_until_idle()


def unchunked(reply: bytes) -> bytes:
    rest, out = reply.partition(b"\r\n\r\n")[2], b""
    while rest:
        size, _, rest = rest.partition(b"\r\n")
        if int(size, 16) == 0:
            assert rest == b"\r\n"
            return out
        out, rest = out + rest[: int(size, 16)], rest[int(size, 16) + 2 :]
    raise AssertionError("no last chunk")


# -- file descriptors


async def test_idle_clients_do_not_keep_new_ones_out_while_discovery_is_down() -> None:
    """Idle clients use all connections while discovery is down. A new client is served, and a server's drain is applied
    once discovery is back."""
    async with platform("r0", "w0", limits=ProcessLimits(sockets=100)) as p:
        p.discovery.start_outage(silent=False, listening=False)
        host, _, number = p.address.partition(":")
        idle = [await trio.open_tcp_stream(host, int(number)) for _ in range(120)]
        with trio.fail_after(2):
            while p.gateway.chat_server.connections < p.gateway.chat_server.connection_limit:
                await trio.sleep(0.01)
        assert p.gateway.chat_server.connections <= p.gateway.chat_server.connection_limit == 45
        assert (await p.ask()).status == 200  # an idle connection is closed for it at once
        await p.discovery.end_outage()
        p.discovery.put("w0", p.servers["w0"].address, "writer", "DRAINING")
        with trio.fail_after(discovery_watch.PROPAGATION_MS / 1000):
            while p.gateway.runtime.endpoint_registry.servers["w0"].status is not EndpointStatus.DRAINING:
                await trio.sleep(0.02)
        for stream in idle:
            stream.socket.close()


async def test_maximum_of_attempts_leaves_connections_for_releases() -> None:
    """The maximum number of attempts is in flight. A release still gets a connection."""
    async with platform("r0", "w0", "w1", limits=ProcessLimits(sockets=100)) as p:
        runtime, chat_server = p.gateway.runtime, p.gateway.chat_server
        out = [
            await runtime.model_servers.pool.connect(p.servers["r0"].address) for _ in range(chat_server.request_limit)
        ]
        assert len(out) == len(runtime.model_servers.pool.open) == 40
        assert await runtime.model_servers.release(
            "ab", runtime.addresses(), runtime.deployment.router_config.release_ms
        )
        for connection in out:
            connection.close_now()
