"""Races on clients' connections: a request, a disconnecting client or a shutdown coincides with a connection's end.

Each order of events is forced by gates in the fake servers or by sockets whose bytes arrive at a chosen moment.
"""

from __future__ import annotations

import errno
from typing import Any, cast

import pytest
import trio
import trio.testing

from ternlane.http1 import ConnectionLimits, Exchange, ServerConnection
from ternlane.http1 import exchange as exchange_module
from ternlane.platform import acceptor as acceptor_module
from ternlane.platform.settings import ProcessLimits
from ternlane.testing.platform import DONE, EVENT, Gate
from tests.platform_gateway import BODY, HEAD, PLATFORM_SETTINGS, platform
from tests.race_helpers import (
    BytesAtTimeout,
    RawClient,
    StreamWrapper,
    block_until_readable,
    client_request,
    connected_pair,
    gateway_stream,
    wait_until,
)

LIMITS = ConnectionLimits(2**18, head_ms=3000, body_ms=3000, idle_ms=50, send_ms=3000)
PLAIN = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"


async def hello(exchange: Exchange) -> None:
    await exchange.answer(200, [], b"hello")


# -- idle time-out, and closing idle connections to free descriptors


async def test_a_request_that_arrives_as_the_idle_time_ends_is_served(nursery: trio.Nursery) -> None:
    """A request arrives just as its connection's idle time-out expires. It is served, since the connection is not idle
    any more."""
    stream, client = await connected_pair()
    late = BytesAtTimeout(stream, lambda: client.send(PLAIN))
    nursery.start_soon(ServerConnection(cast(Any, late), hello, LIMITS).serve)
    assert (await client.answer()).startswith(b"HTTP/1.1 200 ")
    client.sock.close()


async def test_half_a_head_that_arrives_as_the_idle_time_ends_is_waited_for(nursery: trio.Nursery) -> None:
    """Half a request head arrives just as the idle time-out expires. The gateway waits for the other half."""
    stream, client = await connected_pair()
    late = BytesAtTimeout(stream, lambda: client.send(PLAIN[:9]))
    nursery.start_soon(ServerConnection(cast(Any, late), hello, LIMITS).serve)
    await wait_until(lambda: not late.armed)
    client.send(PLAIN[9:])
    assert (await client.answer()).startswith(b"HTTP/1.1 200 ")
    client.sock.close()


@pytest.mark.parametrize("part", [1, 40, -5, None])
async def test_a_connection_on_which_a_request_has_begun_is_not_closed_for_another(part: int | None) -> None:
    """The begun request is still in the kernel's buffer or read in part: a byte, half a head, or nearly the whole."""
    async with platform("r0", "w0", limits=ProcessLimits(sockets=100)) as p:
        client = RawClient(p.address)
        await wait_until(lambda: p.gateway.chat_server.idle)
        data = client_request(p)
        stream = gateway_stream(p, client)
        client.send(data[:part])
        block_until_readable(stream)
        assert not p.gateway.chat_server.close_longest_idle()  # before the gateway has read it
        if part is not None:
            await wait_until(lambda: not p.gateway.chat_server.idle)
            assert not p.gateway.chat_server.close_longest_idle()  # and afterwards
            client.send(data[part:])
        assert (await client.answer()).startswith(b"HTTP/1.1 200 ")
        client.sock.close()
        await p.wait_until_idle()


async def test_an_idle_connection_is_closed_for_another() -> None:
    async with platform("r0", "w0") as p:
        client = RawClient(p.address)
        await wait_until(lambda: p.gateway.chat_server.idle)
        assert p.gateway.chat_server.close_longest_idle() and await client.rest() == b"" and not client.reset


async def test_a_request_that_arrives_while_the_last_bytes_of_an_answer_are_written_is_the_next_one(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The client has the complete answer and sends its next request before the gateway's last write has returned."""
    async with platform("r0", "w0") as p:
        send_all, gate = exchange_module.Exchange.send, Gate()

        async def slow_end(self: Exchange, data: bytes) -> None:
            await send_all(self, data)
            if data.endswith(b"0\r\n\r\n") and not gate.opened.is_set():
                await gate.hold()

        monkeypatch.setattr(exchange_module.Exchange, "send", slow_end)
        client = RawClient(p.address)
        client.send(client_request(p))
        first = await client.answer()
        assert first.startswith(b"HTTP/1.1 200 ") and gate.reached.is_set()
        client.send(client_request(p, BODY[:-1] + b" " * 100_000 + b"}"))  # larger than the early-data buffer
        await wait_until(lambda: p.gateway.chat_server.connections == 1)
        for _ in range(20):  # lets the reading task run
            await trio.lowlevel.checkpoint()
        gate.open()
        assert (await client.answer()).startswith(b"HTTP/1.1 200 ")
        client.sock.close()
        await p.wait_until_idle()


async def test_a_client_that_resets_its_connection_during_a_request_raises_no_error(nursery: trio.Nursery) -> None:
    """A client resets its connection while its request is read. Serving it raises no exception."""
    stream, client = await connected_pair()

    class Reset(StreamWrapper):
        async def receive_some(self, max_bytes: int | None = None) -> bytes:
            data = bytes(await self.inner.receive_some(max_bytes))
            client.disconnect("reset")
            return data

    client.send(PLAIN)
    await ServerConnection(cast(Any, Reset(stream)), hello, LIMITS).serve()  # raises nothing


# -- end of an answer


async def test_bytes_from_a_client_at_the_end_of_a_broken_stream_do_not_lose_its_events() -> None:
    """Unread bytes at the close would cause a reset, which can discard events that the client has not read yet."""
    async with platform("r0", "w0") as p:
        p.servers["w0"].fault_of = lambda _: "later_cut"
        runtime, client = p.gateway.runtime, RawClient(p.address)
        finish_request = runtime.finish_request

        def send_then_finish(active_request: Any, final: Any) -> None:
            client.send(b"x" * 100)  # still unread when the connection is ended, without a scheduler cycle in between
            block_until_readable(active_request.exchange.stream)
            finish_request(active_request, final)

        runtime.finish_request = send_then_finish  # type: ignore[method-assign]
        client.send(client_request(p))
        out = await client.rest()
        assert EVENT in out and not out.endswith(b"0\r\n\r\n") and not client.reset


@pytest.mark.parametrize("way", ["later_cut", "later_noise", "later_silent"])
async def test_a_stream_that_breaks_ends_without_its_last_chunk_and_without_a_reset(way: str) -> None:
    """A model server's stream breaks. The client reads all events and then the end of the connection, without a reset
    that would discard them."""
    async with platform("r0", "w0") as p:
        p.servers["w0"].fault_of = lambda _: way
        client = RawClient(p.address)
        client.send(client_request(p))
        out = await client.rest()
        assert EVENT in out and DONE not in out and not out.endswith(b"0\r\n\r\n") and not client.reset


# -- slow clients


async def test_a_slow_client_has_as_much_time_as_a_silent_one() -> None:
    """The platform closes connections without a request after 3 s; a slow client has all of that, less the transit."""
    async with platform("r0", "w0") as p:
        limits = p.gateway.chat_server.limits
        assert 2500 <= limits.first_ms == limits.head_ms == limits.body_ms < 3000 and limits.idle_ms < limits.first_ms


async def test_a_body_whose_last_byte_comes_late_is_waited_for(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a too short body time-out: bodies that took longer than 1.2 s were refused with 408."""
    async with platform("r0", "w0") as p:
        client, data = RawClient(p.address), client_request(p)
        client.send(data[:-1])
        await trio.sleep(1.6)
        client.send(data[-1:])
        assert (await client.answer()).startswith(b"HTTP/1.1 200 ")
        client.sock.close()


# -- shutdown


@pytest.mark.parametrize("sent", ["nothing", "unread", "half a head", "half a body"])
@pytest.mark.parametrize("served", [False, True])
async def test_a_shutdown_answers_begun_requests_and_closes_idle_connections_cleanly(sent: str, served: bool) -> None:
    """A shutdown begins while a connection is idle or has received a request in part. A begun request is answered; an
    idle connection is closed without a reset."""
    async with platform("r0", "w0") as p:
        client = RawClient(p.address)
        if served:
            client.send(client_request(p))
            assert (await client.answer()).startswith(b"HTTP/1.1 200 ")
        await wait_until(lambda: p.gateway.chat_server.idle)
        data, stream = client_request(p), gateway_stream(p, client)
        part = {"nothing": 0, "unread": len(data), "half a head": 30, "half a body": len(data) - 9}[sent]
        if part:
            client.send(data[:part])
            block_until_readable(stream)
        if sent.startswith("half"):
            await wait_until(lambda: not p.gateway.chat_server.idle)  # it has been read
        p.gateway.begin_drain()  # without a scheduler cycle: no task has read meanwhile
        p.nursery.start_soon(p.gateway.drain)
        if part:
            if part < len(data):
                client.send(data[part:])
            answer = await client.rest()
            assert answer.startswith((b"HTTP/1.1 200 ", b"HTTP/1.1 503 ")) and b"onnection: close" in answer
        else:
            assert await client.rest() == b""
        assert not client.reset
        client.sock.close()


async def test_a_request_that_arrives_with_the_end_of_an_answer_during_a_shutdown_is_answered_as_the_last(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The first answer's head was written before the shutdown and without `Connection: close`, so the client may send
    another request at once."""
    async with platform("r0", "w0") as p:
        gate = p.servers["w0"].gates["end"] = Gate()
        client, send_all = RawClient(p.address), Exchange.send

        async def send(self: Exchange, data: bytes) -> None:
            await send_all(self, data)
            if data.endswith(b"0\r\n\r\n") and self.stream.socket.getpeername() == client.sock.getsockname():
                client.send(client_request(p))  # arrives while this answer's last bytes are written
                block_until_readable(self.stream)

        monkeypatch.setattr(Exchange, "send", send)
        client.send(client_request(p))
        await gate.reached.wait()
        p.nursery.start_soon(p.gateway.drain)
        await wait_until(lambda: p.gateway.chat_server.draining)
        gate.open()
        assert (await client.answer()).startswith(b"HTTP/1.1 200 ")
        monkeypatch.setattr(Exchange, "send", send_all)
        answer = await client.rest()
        assert answer.startswith((b"HTTP/1.1 200 ", b"HTTP/1.1 503 ")) and b"onnection: close" in answer
        assert not client.reset
        client.sock.close()


async def test_a_stream_whose_server_finishes_during_a_shutdown_reaches_its_end() -> None:
    """A model server finishes its stream while the gateway shuts down. The client receives all of it."""
    async with platform("r0", "w0") as p:
        gate = p.servers["w0"].gates["end"] = Gate()
        client = RawClient(p.address)
        client.send(client_request(p))
        await gate.reached.wait()
        done = trio.Event()

        async def drain() -> None:
            await p.gateway.drain()
            done.set()

        p.nursery.start_soon(drain)
        await wait_until(lambda: p.gateway.listener.socket.fileno() < 0)  # the drain has closed its listener
        assert not done.is_set()
        gate.open()
        out = await client.rest()
        assert out.endswith(b"0\r\n\r\n") and DONE in out and not client.reset
        client.sock.close()
        await wait_until(done.is_set)


class FailingListener:
    """A listener whose accept fails `fails` times, as without free descriptors, and then works."""

    def __init__(self, listener: trio.SocketListener, fails: int, number: int) -> None:
        self.listener, self.fails, self.number, self.socket = listener, fails, number, listener.socket

    async def accept(self) -> trio.SocketStream:
        if self.fails:
            self.fails -= 1
            raise OSError(self.number, "short")
        return await self.listener.accept()


@pytest.mark.parametrize("number", [errno.EMFILE, errno.ENFILE, errno.ECONNABORTED])
async def test_a_shutdown_without_free_descriptors_accepts_queued_connections(number: int) -> None:
    """A client waits in the listener's queue, and accept fails for lack of descriptors as the gateway shuts down. The
    client is answered."""
    async with platform("r0", "w0") as p:
        p.gateway.accept_scope.cancel()
        idle = p.gateway.chat_server
        await trio.testing.wait_all_tasks_blocked()
        client = RawClient(p.address)  # stays in the listener's queue
        client.send(client_request(p))
        p.gateway.listener = FailingListener(p.gateway.listener, 3, number)  # type: ignore[assignment]
        p.nursery.start_soon(p.gateway.drain)
        assert (await client.answer()).startswith((b"HTTP/1.1 200 ", b"HTTP/1.1 503 "))
        assert idle.runtime.reporter.counts["no descriptors"] == (0 if number == errno.ECONNABORTED else 3)
        client.sock.close()


async def test_a_shutdown_ends_although_no_descriptor_becomes_free(monkeypatch: pytest.MonkeyPatch) -> None:
    """accept keeps failing for lack of descriptors. The shutdown completes nevertheless."""
    monkeypatch.setattr(acceptor_module, "SHORTAGE_PAUSE_MS", 1.0)
    async with platform("r0", "w0") as p:
        p.gateway.listener = FailingListener(p.gateway.listener, 10**9, errno.EMFILE)  # type: ignore[assignment]
        with trio.fail_after(4):
            await p.gateway.drain()


async def test_a_shutdown_does_not_wait_for_silent_connections_accepted_late() -> None:
    """A connection accepted from the queue sends nothing. The shutdown must not wait for its first-request time-out."""
    async with platform("r0", "w0") as p:
        p.gateway.accept_scope.cancel()
        await trio.testing.wait_all_tasks_blocked()
        clients = [RawClient(p.address) for _ in range(3)]
        with trio.fail_after(1.5):  # a silent connection would stay open for 2.3 s
            await p.gateway.drain()
        for client in clients:
            assert await client.rest() == b"" and not client.reset
            client.sock.close()


# -- clients that disconnect


@pytest.mark.parametrize("how", ["close", "half-close", "reset"])
@pytest.mark.parametrize("where", ["read", "hand-over", "stream"])
async def test_a_request_whose_client_disconnects_is_not_forwarded_and_holds_no_state(how: str, where: str) -> None:
    """A client disconnects during the prefill, before the decode or within the stream. No further attempt is sent, and
    no state stays held."""
    async with platform("r0", "w0") as p:
        server, point = {"read": ("r0", "request"), "hand-over": ("w0", "request"), "stream": ("w0", "event")}[where]
        gate = p.servers[server].gates[point] = Gate()
        client = RawClient(p.address)
        client.send(client_request(p))
        await gate.reached.wait()
        client.disconnect(how)
        await wait_until(lambda: p.gateway.runtime.reporter.counts["client_gone"])
        gate.open()
        await p.wait_until_idle()
        assert p.fleet.count("write") == (0 if where == "read" else 1)
        await wait_until(lambda: not p.gateway.chat_server.connections)


async def test_requests_of_clients_that_disconnect_while_queued_are_not_forwarded() -> None:
    """Requests are queued because every server seems full. The clients disconnect before capacity becomes free."""
    long_deadlines = [
        profile | {"aim": 5000.0, "deadline": 10e3} for profile in PLATFORM_SETTINGS["profiles"]
    ]  # none is rejected meanwhile
    async with platform("r0", "w0", platform_settings=PLATFORM_SETTINGS | {"profiles": long_deadlines}) as p:
        gate = p.servers["r0"].gates["request"] = Gate()
        scheduler = p.gateway.runtime.router.scheduler  # type: ignore[attr-defined]
        p.discovery.put("r0", p.servers["r0"].address, "reader", "DRAINING")
        await wait_until(lambda: p.gateway.runtime.endpoint_registry.servers["r0"].status.name == "DRAINING")
        scheduler.rules.admission.has_servers_for = lambda course: True  # queued instead of rejected at once
        clients = [RawClient(p.address) for _ in range(40)]
        for client in clients:
            client.send(client_request(p, Request_Timeout="10"))
        await wait_until(lambda: len(p.gateway.runtime.active_requests) == 40)
        for nth, client in enumerate(clients):
            client.disconnect(("close", "reset", "half-close")[nth % 3])
        await wait_until(lambda: p.gateway.runtime.reporter.counts["client_gone"] == 40)
        p.discovery.put("r0", p.servers["r0"].address, "reader")
        await wait_until(lambda: p.gateway.runtime.endpoint_registry.servers["r0"].status.name == "READY")
        gate.open()
        client = RawClient(p.address)
        client.send(client_request(p, Request_Timeout="10"))
        assert (await client.answer()).startswith(b"HTTP/1.1 200 ")
        assert p.fleet.count("read") == 1
        client.sock.close()
        await p.wait_until_idle()


async def test_an_incomplete_request_is_refused_within_three_seconds() -> None:
    async with platform("r0", "w0") as p:
        response = await p.send_raw(HEAD + b"Content-Length: 9\r\n\r\n{", within=3.0)
        assert response.startswith(b"HTTP/1.1 408 ")


# -- events are forwarded at once


async def test_an_event_reaches_its_client_before_its_server_writes_the_next_one() -> None:
    """Events are not buffered: the server waits after the first event until the client has it."""
    async with platform("r0", "w0") as p:
        gate = p.servers["w0"].gates["event"] = Gate()
        client = RawClient(p.address)
        client.send(client_request(p))
        await gate.reached.wait()
        first = await client.read_until(lambda got: got.find(EVENT) + len(EVENT) if EVENT in got else -1)
        assert first.endswith(EVENT) and not gate.opened.is_set()
        gate.open()
        assert (await client.read_to_last_chunk()).endswith(b"0\r\n\r\n")
        client.sock.close()


async def test_small_writes_are_not_delayed_on_either_side() -> None:
    async with platform("r0", "w0") as p:
        client = RawClient(p.address)
        await wait_until(lambda: p.gateway.chat_server.idle)
        streams = [gateway_stream(p, client)]
        client.send(client_request(p))
        assert (await client.answer()).startswith(b"HTTP/1.1 200 ")
        streams += [connection.stream for connection in p.gateway.pool.open]
        assert len(streams) == 3
        for stream in streams:
            assert stream.getsockopt(trio.socket.IPPROTO_TCP, trio.socket.TCP_NODELAY) == 1
        client.sock.close()
