"""Requests that the platform's gateway can't serve get their error, or a close, in time."""

from __future__ import annotations

from typing import Any

import pytest
import trio

from ternlane.platform.settings import ProcessLimits
from tests.platform_gateway import BODY, HEAD, platform
from tests.gateway_cluster import Reply, send_request

GIVEN = (
    b"Request-Id: 00000000000000ff\r\nRequest-Class: summary\r\nRequest-Timeout: 1\r\nRequest-Info: prompt_len=5\r\n"
)


@pytest.mark.parametrize(
    "data, status",
    [
        (b"\x00\x01\x02\r\n\r\n", 400),
        (b"GET\r\n\r\n", 400),
        (HEAD + b"Content-Length: -5\r\n\r\n", 400),
        (HEAD + b"Content-Length: 5x\r\n\r\n", 400),
        (HEAD + b"Content-Length: 5\r\nContent-Length: 6\r\n\r\n", 400),
        (HEAD + GIVEN + b"Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n", 400),
        (HEAD + GIVEN + GIVEN + b"Content-Length: 2\r\n\r\n{}", 400),
        (HEAD + b"X: " + b"y" * 20000 + b"\r\n\r\n", 431),
        (HEAD + GIVEN + b"Content-Length: 262145\r\n\r\n{", 413),
        (HEAD + GIVEN + b"Content-Length: 99999999999999999999999\r\n\r\n{", 400),
        (
            HEAD
            + GIVEN
            + b"Transfer-Encoding: chunked\r\n\r\n"
            + b"ffff\r\n"
            + b"x" * 65535
            + b"\r\n"
            + (b"ffff\r\n" + b"x" * 65535 + b"\r\n") * 5,
            413,
        ),
        (HEAD + GIVEN + b"Content-Length: 9\r\n\r\n{", 408),
        (HEAD + b"X: y\r\n", 408),
    ],
)
async def test_what_is_not_http_gets_its_error_and_a_close(data: bytes, status: int) -> None:
    """A client sends what is no HTTP, or not what is served. It has an error, the connection ends, and usual clients
    are served."""
    async with platform() as p:
        said = await p.send_raw(data)
        assert said.startswith(b"HTTP/1.1 %d " % status), said[:100]
        assert not p.fleet.seen and (await p.ask()).status == 200


@pytest.mark.parametrize(
    "more, status",
    [
        ({"Request_Id": "-"}, 400),
        ({"Request_Id": "xyz"}, 400),
        ({"Request_Class": "none"}, 400),
        ({"Request_Timeout": "soon"}, 400),
        ({"Request_Timeout": "nan"}, 400),
        ({"Request_Timeout": "inf"}, 400),
        ({"Request_Timeout": "-1"}, 400),
        ({"Request_Timeout": "0"}, 400),
        ({"Request_Info": "prompt_len=-4"}, 400),
        ({"Request_Info": "prompt_len"}, 400),
        ({"Request_Info": "prompt_len=x"}, 400),
        ({"path": "/v1/else"}, 404),
        ({"method": "PUT"}, 405),
        ({"path": "/health/ready"}, 405),
        ({"body": b"[]"}, 400),
        ({"body": b"{"}, 400),
        ({"body": b""}, 400),
        ({"body": b"\xff\xfe"}, 400),
    ],
)
async def test_what_can_not_be_served_is_never_taken(more: dict[str, Any], status: int) -> None:
    """A request's head or body can't be read. It has an error, and nothing reaches a model server."""
    async with platform() as p:
        reply = await p.ask(**more)
        assert reply.status == status and not p.fleet.seen and not p.gateway.runtime.reporter.counts["received"]
        assert p.gateway.chat_server.connections <= 1


async def test_half_a_request_and_silence_are_ended_in_time() -> None:
    """A client sends half a request, or nothing, and then falls silent. Its connection ends in the users' time."""
    async with platform() as p:
        assert await p.send_raw(HEAD + GIVEN + b"Content-Length: 9\r\n\r\n{", ends=True) is not None
        assert await p.send_raw(b"") == b""
        caller = await p.pool.connect(p.address)
        assert (await send_request(caller, BODY, p.headers(), "/v1/chat/completions")).done == 1
        await caller.stream.send_all(HEAD)  # of a second request, that does not go on
        with trio.fail_after(3):
            assert (await caller.stream.receive_some()).startswith(b"HTTP/1.1 408 ")
            caller.close_now()
        host, _, number = p.address.partition(":")
        slow = await trio.open_tcp_stream(host, int(number))
        with trio.fail_after(3):  # from its connecting on, however it spends it
            await trio.sleep(2.0)
            await slow.send_all(HEAD)
            while await slow.receive_some():
                pass
        await p.wait_until_idle()
        with trio.fail_after(0.5):
            while p.gateway.chat_server.connections:
                await trio.sleep(0.01)


async def test_the_id_of_an_open_generation_is_refused_and_the_open_one_untouched() -> None:
    """A client uses the id of a request that is active. The second is refused, and the first goes on."""
    async with platform("r0", "w0") as p:
        p.servers["w0"].events, p.servers["w0"].event_ms = 10, 20.0
        replies: list[Reply] = []

        async def first() -> None:
            replies.append(await p.ask(Request_Id="00000000000000aa"))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(first)
            await trio.sleep(0.1)
            assert (await p.ask(Request_Id="00000000000000aa")).status == 409
        assert replies[0].done == 1 and p.fleet.count("write") == 1


async def test_a_second_request_before_the_first_is_answered_is_not_served() -> None:
    """A client sends a second request before the first is answered. The first is answered, the second refused."""
    async with platform() as p:
        one = HEAD + GIVEN + b"Content-Length: %d\r\n\r\n" % len(BODY) + BODY
        said = await p.send_raw(one + one.replace(b"ff\r", b"fe\r"))
        assert said.count(b"HTTP/1.1 200 ") == 1 and said.count(b"HTTP/1.1 400 ") == 1
        assert p.fleet.count("write") == 1


async def test_connections_that_say_nothing_do_not_block_the_door() -> None:
    """As many clients as may connect say nothing. The next client is served: the longest idle connection makes room."""
    async with platform(limits=ProcessLimits(sockets=64)) as p:
        host, _, number = p.address.partition(":")
        mute = [await trio.open_tcp_stream(host, int(number)) for _ in range(60)]
        assert (await p.ask()).status == 200
        assert p.gateway.chat_server.connections <= p.gateway.chat_server.connection_limit
        with trio.fail_after(3):
            for stream in mute:
                assert await stream.receive_some() == b""
