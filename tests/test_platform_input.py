"""Requests that the platform gateway can't serve get an error, or their connection is closed, in time."""

from __future__ import annotations

from typing import Any

import pytest
import trio

from ternlane.platform.settings import ProcessLimits
from tests.gateway_cluster import Reply, send_request
from tests.platform_gateway import BODY, HEAD, platform

VALID_HEADERS = (
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
        (HEAD + VALID_HEADERS + b"Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n", 400),
        (HEAD + VALID_HEADERS + VALID_HEADERS + b"Content-Length: 2\r\n\r\n{}", 400),
        (HEAD + b"X: " + b"y" * 20000 + b"\r\n\r\n", 431),
        (HEAD + VALID_HEADERS + b"Content-Length: 262145\r\n\r\n{", 413),
        (HEAD + VALID_HEADERS + b"Content-Length: 99999999999999999999999\r\n\r\n{", 400),
        (
            HEAD
            + VALID_HEADERS
            + b"Transfer-Encoding: chunked\r\n\r\n"
            + b"ffff\r\n"
            + b"x" * 65535
            + b"\r\n"
            + (b"ffff\r\n" + b"x" * 65535 + b"\r\n") * 5,
            413,
        ),
        (HEAD + VALID_HEADERS + b"Content-Length: 9\r\n\r\n{", 408),
        (HEAD + b"X: y\r\n", 408),
    ],
)
async def test_invalid_http_gets_an_error_and_a_close(data: bytes, status: int) -> None:
    """A client sends invalid HTTP or exceeds a limit. It gets an error, its connection is closed, and other clients are
    served."""
    async with platform() as p:
        answer = await p.send_raw(data)
        assert answer.startswith(b"HTTP/1.1 %d " % status), answer[:100]
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
async def test_invalid_requests_never_reach_a_model_server(more: dict[str, Any], status: int) -> None:
    """A request's headers or body are invalid. It gets an error, and nothing reaches a model server."""
    async with platform() as p:
        reply = await p.ask(**more)
        assert reply.status == status and not p.fleet.seen and not p.gateway.runtime.reporter.counts["received"]
        assert p.gateway.chat_server.connections <= 1


async def test_incomplete_requests_and_silent_connections_time_out() -> None:
    """A client sends part of a request, or nothing, and then goes silent. Its connection is closed within 3 s, as the
    platform protocol requires."""
    async with platform() as p:
        assert await p.send_raw(HEAD + VALID_HEADERS + b"Content-Length: 9\r\n\r\n{", ends=True) is not None
        assert await p.send_raw(b"") == b""
        connection = await p.pool.connect(p.address)
        assert (await send_request(connection, BODY, p.headers(), "/v1/chat/completions")).done == 1
        await connection.stream.send_all(HEAD)  # of a second request, which stays incomplete
        with trio.fail_after(3):
            assert (await connection.stream.receive_some()).startswith(b"HTTP/1.1 408 ")
            connection.close_now()
        host, _, number = p.address.partition(":")
        slow = await trio.open_tcp_stream(host, int(number))
        with trio.fail_after(3):  # counted from the connect, whenever it sends something
            await trio.sleep(2.0)
            await slow.send_all(HEAD)
            while await slow.receive_some():
                pass
        await p.wait_until_idle()
        with trio.fail_after(0.5):
            while p.gateway.chat_server.connections:
                await trio.sleep(0.01)


async def test_id_of_an_active_request_is_refused() -> None:
    """A client uses the id of an active request. The second request is refused, and the first one continues."""
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


async def test_pipelined_request_is_refused() -> None:
    """A client sends a second request before the first is answered. The first is answered, the second one refused."""
    async with platform() as p:
        one = HEAD + VALID_HEADERS + b"Content-Length: %d\r\n\r\n" % len(BODY) + BODY
        answer = await p.send_raw(one + one.replace(b"ff\r", b"fe\r"))
        assert answer.count(b"HTTP/1.1 200 ") == 1 and answer.count(b"HTTP/1.1 400 ") == 1
        assert p.fleet.count("write") == 1


async def test_silent_connections_make_room_for_new_ones() -> None:
    """Silent clients use all connections. The next client is served, as the longest idle connection is closed."""
    async with platform(limits=ProcessLimits(sockets=64)) as p:
        host, _, number = p.address.partition(":")
        silent_streams = [await trio.open_tcp_stream(host, int(number)) for _ in range(60)]
        assert (await p.ask()).status == 200
        assert p.gateway.chat_server.connections <= p.gateway.chat_server.connection_limit
        with trio.fail_after(3):
            for stream in silent_streams:
                assert await stream.receive_some() == b""
