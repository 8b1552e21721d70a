"""Clients' connections: what happens when a request, a leaving client or a shutdown meets a connection's end.

Each order of events is forced by gates in the stand-ins or by sockets whose bytes arrive at a chosen moment.
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
from tests.race_helpers import LateBytes, RawClient, Wrapped, arrived, client_request, pair, server_side, wait_until

LIMITS = ConnectionLimits(2**18, head_ms=3000, body_ms=3000, idle_ms=50, send_ms=3000)
PLAIN = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"


async def hello(exchange: Exchange) -> None:
    await exchange.answer(200, [], b"hello")


# -- the idle limit, and closing for descriptors


async def test_a_request_that_arrives_as_the_idle_time_ends_is_served(nursery: trio.Nursery) -> None:
    """A request arrives in the moment in which its connection's idle time ends. It is served: the connection is no
    longer idle."""
    stream, client = await pair()
    late = LateBytes(stream, lambda: client.send(PLAIN))
    nursery.start_soon(ServerConnection(cast(Any, late), hello, LIMITS).serve)
    assert (await client.answer()).startswith(b"HTTP/1.1 200 ")
    client.sock.close()


async def test_half_a_head_that_arrives_as_the_idle_time_ends_is_waited_for(nursery: trio.Nursery) -> None:
    """Half a head arrives in the moment in which the idle time ends. The other half is waited for."""
    stream, client = await pair()
    late = LateBytes(stream, lambda: client.send(PLAIN[:9]))
    nursery.start_soon(ServerConnection(cast(Any, late), hello, LIMITS).serve)
    await wait_until(lambda: not late.armed)
    client.send(PLAIN[9:])
    assert (await client.answer()).startswith(b"HTTP/1.1 200 ")
    client.sock.close()


@pytest.mark.parametrize("part", [1, 40, -5, None])
async def test_a_connection_on_which_a_request_has_begun_does_not_make_room_for_another(part: int | None) -> None:
    """Unread in the kernel, or read in part: a byte, half a head, all but the end of the body."""
    async with platform("r0", "w0", limits=ProcessLimits(sockets=100)) as p:
        client = RawClient(p.address)
        await wait_until(lambda: p.gateway.chat_server.idle)
        whole = client_request(p)
        side = server_side(p, client)
        client.send(whole[:part])
        arrived(side)
        assert not p.gateway.chat_server.close_longest_idle()  # before the gateway has had a turn to read it
        if part is not None:
            await wait_until(lambda: not p.gateway.chat_server.idle)
            assert not p.gateway.chat_server.close_longest_idle()  # and after that
            client.send(whole[part:])
        assert (await client.answer()).startswith(b"HTTP/1.1 200 ")
        client.sock.close()
        await p.wait_until_idle()


async def test_an_idle_connection_does_make_room() -> None:
    async with platform("r0", "w0") as p:
        client = RawClient(p.address)
        await wait_until(lambda: p.gateway.chat_server.idle)
        assert p.gateway.chat_server.close_longest_idle() and await client.rest() == b"" and not client.reset


async def test_a_request_behind_an_answer_whose_last_bytes_are_still_being_written_is_the_next_one(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The client has the whole answer, and asks again, before the gateway's own write of its end has returned."""
    async with platform("r0", "w0") as p:
        written, gate = exchange_module.Exchange.send, Gate()

        async def slow_end(self: Exchange, data: bytes) -> None:
            await written(self, data)
            if data.endswith(b"0\r\n\r\n") and not gate.opened.is_set():
                await gate.hold()

        monkeypatch.setattr(exchange_module.Exchange, "send", slow_end)
        client = RawClient(p.address)
        client.send(client_request(p))
        first = await client.answer()
        assert first.startswith(b"HTTP/1.1 200 ") and gate.reached.is_set()
        client.send(client_request(p, BODY[:-1] + b" " * 100_000 + b"}"))  # larger than what is kept ahead of its turn
        await wait_until(lambda: p.gateway.chat_server.connections == 1)
        for _ in range(20):  # turns for whoever reads meanwhile
            await trio.lowlevel.checkpoint()
        gate.open()
        assert (await client.answer()).startswith(b"HTTP/1.1 200 ")
        client.sock.close()
        await p.wait_until_idle()


async def test_a_client_that_resets_the_connection_as_its_request_is_read_is_no_fault(nursery: trio.Nursery) -> None:
    """A client resets its connection while its request is read. No fault is logged."""
    stream, client = await pair()

    class Reset(Wrapped):
        async def receive_some(self, max_bytes: int | None = None) -> bytes:
            data = bytes(await self.inner.receive_some(max_bytes))
            client.disconnect("reset")
            return data

    client.send(PLAIN)
    await ServerConnection(cast(Any, Reset(stream)), hello, LIMITS).serve()  # raises nothing


# -- an answer's end


async def test_what_a_client_sends_at_the_end_of_a_broken_stream_does_not_reset_its_events() -> None:
    """Unread bytes at the close would turn the end into a reset, which takes events with it."""
    async with platform("r0", "w0") as p:
        p.servers["w0"].script = lambda _: "later_cut"
        runtime, client = p.gateway.runtime, RawClient(p.address)
        settle = runtime.finish_request

        def at_the_end(active_request: Any, final: Any) -> None:
            client.send(b"x" * 100)  # still unread when the connection is ended, in this same turn
            arrived(active_request.exchange.stream)
            settle(active_request, final)

        runtime.finish_request = at_the_end  # type: ignore[method-assign]
        client.send(client_request(p))
        out = await client.rest()
        assert EVENT in out and not out.endswith(b"0\r\n\r\n") and not client.reset


@pytest.mark.parametrize("way", ["later_cut", "later_noise", "later_silent"])
async def test_a_stream_that_breaks_ends_without_its_last_chunk_and_without_a_reset(way: str) -> None:
    """A stream breaks while unread bytes of the client lie in the socket. The client reads all events, then the end,
    without a reset that would take them."""
    async with platform("r0", "w0") as p:
        p.servers["w0"].script = lambda _: way
        client = RawClient(p.address)
        client.send(client_request(p))
        out = await client.rest()
        assert EVENT in out and DONE not in out and not out.endswith(b"0\r\n\r\n") and not client.reset


# -- slow clients


async def test_a_slow_client_may_write_for_as_long_as_a_silent_one_may_stay() -> None:
    """The page ends those who send nothing 3 s after they connect; all of that is a slow client's, less the way."""
    async with platform("r0", "w0") as p:
        limits = p.gateway.chat_server.limits
        assert 2500 <= limits.first_ms == limits.head_ms == limits.body_ms < 3000 and limits.idle_ms < limits.first_ms


async def test_a_body_whose_last_byte_comes_late_is_waited_for(monkeypatch: pytest.MonkeyPatch) -> None:
    """One that took longer than 1.2 s was refused with 408."""
    async with platform("r0", "w0") as p:
        client, whole = RawClient(p.address), client_request(p)
        client.send(whole[:-1])
        await trio.sleep(1.6)
        client.send(whole[-1:])
        assert (await client.answer()).startswith(b"HTTP/1.1 200 ")
        client.sock.close()


# -- the shutdown


@pytest.mark.parametrize("sent", ["nothing", "unread", "half a head", "half a body"])
@pytest.mark.parametrize("served", [False, True])
async def test_what_a_shutdown_meets_on_a_connection_is_answered_or_ended_cleanly(sent: str, served: bool) -> None:
    """A shutdown meets a connection that is idle, or on which a request has begun. What has begun is answered, the
    rest ends without a reset."""
    async with platform("r0", "w0") as p:
        client = RawClient(p.address)
        if served:
            client.send(client_request(p))
            assert (await client.answer()).startswith(b"HTTP/1.1 200 ")
        await wait_until(lambda: p.gateway.chat_server.idle)
        whole, side = client_request(p), server_side(p, client)
        part = {"nothing": 0, "unread": len(whole), "half a head": 30, "half a body": len(whole) - 9}[sent]
        if part:
            client.send(whole[:part])
            arrived(side)
        if sent.startswith("half"):
            await wait_until(lambda: not p.gateway.chat_server.idle)  # it has been read
        p.gateway.begin_drain()  # in this very turn: nobody has read meanwhile
        p.nursery.start_soon(p.gateway.drain)
        if part:
            if part < len(whole):
                client.send(whole[part:])
            answer = await client.rest()
            assert answer.startswith((b"HTTP/1.1 200 ", b"HTTP/1.1 503 ")) and b"onnection: close" in answer
        else:
            assert await client.rest() == b""
        assert not client.reset
        client.sock.close()


async def test_a_request_that_meets_the_end_of_an_answer_during_a_shutdown_is_answered_and_is_the_last(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The head of that answer could not say yet that the connection ends, so its client may ask again at once."""
    async with platform("r0", "w0") as p:
        gate = p.servers["w0"].gates["end"] = Gate()
        client, written = RawClient(p.address), Exchange.send

        async def send(self: Exchange, data: bytes) -> None:
            await written(self, data)
            if data.endswith(b"0\r\n\r\n") and self.stream.socket.getpeername() == client.sock.getsockname():
                client.send(client_request(p))  # arrives while this answer's last bytes are written
                arrived(self.stream)

        monkeypatch.setattr(Exchange, "send", send)
        client.send(client_request(p))
        await gate.reached.wait()
        p.nursery.start_soon(p.gateway.drain)
        await wait_until(lambda: p.gateway.chat_server.draining)
        gate.open()
        assert (await client.answer()).startswith(b"HTTP/1.1 200 ")
        monkeypatch.setattr(Exchange, "send", written)
        answer = await client.rest()
        assert answer.startswith((b"HTTP/1.1 200 ", b"HTTP/1.1 503 ")) and b"onnection: close" in answer
        assert not client.reset
        client.sock.close()


async def test_a_stream_whose_server_finishes_during_a_shutdown_reaches_its_end() -> None:
    """A server finishes its stream while the gateway shuts down. The client has the whole of it."""
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
        await wait_until(lambda: p.gateway.listener.socket.fileno() < 0)  # all that the drain closes is closed
        assert not done.is_set()
        gate.open()
        out = await client.rest()
        assert out.endswith(b"0\r\n\r\n") and DONE in out and not client.reset
        client.sock.close()
        await wait_until(done.is_set)


class ShortOfDescriptors:
    """A listener that fails some times, as where descriptors have run out, before it goes on."""

    def __init__(self, listener: trio.SocketListener, fails: int, number: int) -> None:
        self.listener, self.fails, self.number, self.socket = listener, fails, number, listener.socket

    async def accept(self) -> trio.SocketStream:
        if self.fails:
            self.fails -= 1
            raise OSError(self.number, "short")
        return await self.listener.accept()


@pytest.mark.parametrize("number", [errno.EMFILE, errno.ENFILE, errno.ECONNABORTED])
async def test_a_shutdown_while_descriptors_are_short_takes_what_waits_at_the_listener(number: int) -> None:
    """A client waits in the listener's queue, and accept fails for want of descriptors as the gateway shuts down.
    The client is answered."""
    async with platform("r0", "w0") as p:
        p.gateway.accept_scope.cancel()
        idle = p.gateway.chat_server
        await trio.testing.wait_all_tasks_blocked()
        client = RawClient(p.address)  # left to the listener's queue
        client.send(client_request(p))
        p.gateway.listener = ShortOfDescriptors(p.gateway.listener, 3, number)  # type: ignore[assignment]
        p.nursery.start_soon(p.gateway.drain)
        assert (await client.answer()).startswith((b"HTTP/1.1 200 ", b"HTTP/1.1 503 "))
        assert idle.runtime.reporter.counts["no descriptors"] == (0 if number == errno.ECONNABORTED else 3)
        client.sock.close()


async def test_a_shutdown_ends_though_no_descriptor_comes_free(monkeypatch: pytest.MonkeyPatch) -> None:
    """accept fails for want of descriptors for ever. The shutdown ends all the same."""
    monkeypatch.setattr(acceptor_module, "SHORTAGE_PAUSE_MS", 1.0)
    async with platform("r0", "w0") as p:
        p.gateway.listener = ShortOfDescriptors(p.gateway.listener, 10**9, errno.EMFILE)  # type: ignore[assignment]
        with trio.fail_after(4):
            await p.gateway.drain()


async def test_a_shutdown_ends_though_a_late_connection_rests_after_the_last_look() -> None:
    """It is taken from the queue, says nothing, and must not be waited for until its first request is overdue."""
    async with platform("r0", "w0") as p:
        p.gateway.accept_scope.cancel()
        await trio.testing.wait_all_tasks_blocked()
        clients = [RawClient(p.address) for _ in range(3)]
        with trio.fail_after(1.5):  # a silent connection would rest for 2.3 s
            await p.gateway.drain()
        for client in clients:
            assert await client.rest() == b"" and not client.reset
            client.sock.close()


# -- clients that leave


@pytest.mark.parametrize("how", ["close", "half-close", "reset"])
@pytest.mark.parametrize("where", ["read", "hand-over", "stream"])
async def test_a_client_that_leaves_is_sent_on_no_more_and_nothing_stays_held(how: str, where: str) -> None:
    """A client leaves before its request is forwarded. Nothing is sent, and nothing stays held."""
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


async def test_many_clients_that_leave_while_they_wait_are_none_of_them_sent_on() -> None:
    """They wait for a place while every server is believed full; then they leave, and places come free."""
    patient = [
        profile | {"aim": 5000.0, "deadline": 10e3} for profile in PLATFORM_SETTINGS["profiles"]
    ]  # none is rejected meanwhile
    async with platform("r0", "w0", platform_settings=PLATFORM_SETTINGS | {"profiles": patient}) as p:
        gate = p.servers["r0"].gates["request"] = Gate()
        scheduler = p.gateway.runtime.router.scheduler  # type: ignore[attr-defined]
        p.discovery.put("r0", p.servers["r0"].address, "reader", "DRAINING")
        await wait_until(lambda: p.gateway.runtime.endpoint_registry.servers["r0"].status.name == "DRAINING")
        scheduler.rules.admission.has_servers_for = lambda course: True  # it waits, rather than being rejected at once
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


async def test_bad_requests_in_half_are_ended_within_three_seconds() -> None:
    async with platform("r0", "w0") as p:
        said = await p.send_raw(HEAD + b"Content-Length: 9\r\n\r\n{", within=3.0)
        assert said.startswith(b"HTTP/1.1 408 ")


# -- events as they come


async def test_an_event_reaches_its_client_before_its_server_writes_the_next_one() -> None:
    """Never gathered: the server holds behind the first event until the client has it."""
    async with platform("r0", "w0") as p:
        gate = p.servers["w0"].gates["event"] = Gate()
        client = RawClient(p.address)
        client.send(client_request(p))
        await gate.reached.wait()
        first = await client.read_until(lambda got: got.find(EVENT) + len(EVENT) if EVENT in got else -1)
        assert first.endswith(EVENT) and not gate.opened.is_set()
        gate.open()
        assert (await client.rest_of_answer()).endswith(b"0\r\n\r\n")
        client.sock.close()


async def test_small_writes_are_held_back_on_neither_side() -> None:
    async with platform("r0", "w0") as p:
        client = RawClient(p.address)
        await wait_until(lambda: p.gateway.chat_server.idle)
        streams = [server_side(p, client)]
        client.send(client_request(p))
        assert (await client.answer()).startswith(b"HTTP/1.1 200 ")
        streams += [caller.stream for caller in p.gateway.pool.open]
        assert len(streams) == 3
        for stream in streams:
            assert stream.getsockopt(trio.socket.IPPROTO_TCP, trio.socket.TCP_NODELAY) == 1
        client.sock.close()
