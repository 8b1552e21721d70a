"""Helpers of the race tests: raw clients, sockets whose bytes arrive at a chosen moment, gates and waits."""

from __future__ import annotations

import select
import socket
import struct
from collections.abc import Callable
from typing import Any

import trio

from ternlane.http1.nonblocking import is_readable
from tests.platform_gateway import BODY, Platform

TIMEOUT_S = 5.0  # bounds waits for what must happen; no order of events depends on it


async def wait_until(condition: Callable[[], Any]) -> None:
    """Polls until the condition is true; fails after `TIMEOUT_S`."""
    with trio.fail_after(TIMEOUT_S):
        while not condition():
            await trio.sleep(0.001)


def client_request(p: Platform, body: bytes = BODY, **headers: str) -> bytes:
    head = "".join(f"{name}: {value}\r\n" for name, value in p.headers(**headers).items())
    line = "POST /v1/chat/completions HTTP/1.1"
    return f"{line}\r\nHost: a\r\nContent-Length: {len(body)}\r\n{head}\r\n".encode() + body


class RawClient:
    """A client's connection that sends at once, without yielding to the scheduler."""

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self.sock = socket.create_connection((host, int(port)))
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sock.setblocking(False)
        self.received = b""
        self.reset = False

    def send(self, data: bytes) -> None:
        """Sends all bytes. Over loopback they have arrived at the peer's socket when this returns."""
        assert self.sock.send(data) == len(data)

    def disconnect(self, how: str) -> None:
        """Ends the connection; `how` is "close", "half-close" or "reset"."""
        if how == "half-close":
            return self.sock.shutdown(socket.SHUT_WR)
        if how == "reset":
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.sock.close()

    async def read_until(self, end: Callable[[bytes], int]) -> bytes:
        """Reads up to the offset that `end` returns, or to end of file; keeps the rest for the next call."""
        with trio.fail_after(TIMEOUT_S):
            while end(self.received) < 0:
                await trio.lowlevel.wait_readable(self.sock)
                try:
                    chunk = self.sock.recv(65536)
                except ConnectionResetError:
                    self.reset = True
                    break
                if not chunk:
                    break
                self.received += chunk
        at = end(self.received)
        out, self.received = (self.received, b"") if at < 0 else (self.received[:at], self.received[at:])
        return out

    async def answer(self) -> bytes:
        """Reads one response, chunked or with a length."""
        return await self.read_until(answer_end)

    async def read_to_last_chunk(self) -> bytes:
        """Reads the rest of a chunked response whose beginning has been read already."""
        return await self.read_until(lambda received: len(received) if received.endswith(b"\r\n0\r\n\r\n") else -1)

    async def rest(self) -> bytes:
        """Reads until the peer closes the connection."""
        return await self.read_until(lambda _: -1)


def answer_end(received: bytes) -> int:
    """Returns the offset at which the first response ends, chunked or with a length, or -1 if it is incomplete."""
    head, found, body = received.partition(b"\r\n\r\n")
    if not found:
        return -1
    begin = len(head) + 4
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            end = begin + int(line[15:])
            return end if len(received) >= end else -1
    last = body.find(b"\r\n0\r\n\r\n")
    return begin + last + 7 if last >= 0 else -1


class StreamWrapper:
    """A stream of which a test overrides single methods."""

    def __init__(self, inner: trio.SocketStream) -> None:
        self.inner = inner

    def __getattr__(self, name: str) -> Any:
        return getattr(self.inner, name)


class BytesAtTimeout(StreamWrapper):
    """The server's side of a connection on which bytes arrive just as the first wait for them times out."""

    def __init__(self, inner: trio.SocketStream, on_timeout: Callable[[], None]) -> None:
        super().__init__(inner)
        self.on_timeout = on_timeout
        self.armed = True

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        if not self.armed:
            return bytes(await self.inner.receive_some(max_bytes))
        try:
            await trio.sleep_forever()
        finally:
            self.armed = False
            self.on_timeout()
            block_until_readable(self.inner)
        raise AssertionError


def block_until_readable(stream: trio.SocketStream) -> None:
    """Blocks, without yielding to the scheduler, until the kernel has received what the peer has sent."""
    poll = select.poll()
    poll.register(stream.socket.fileno(), select.POLLIN)
    assert poll.poll(TIMEOUT_S * 1000) and is_readable(stream)


async def connected_pair() -> tuple[trio.SocketStream, RawClient]:
    """Opens a connection and returns the server's side and the client's."""
    listener = (await trio.open_tcp_listeners(0, host="127.0.0.1"))[0]
    client = RawClient("127.0.0.1:%d" % listener.socket.getsockname()[1])
    stream = await listener.accept()
    listener.socket.close()
    return stream, client


def gateway_stream(p: Platform, client: RawClient) -> trio.SocketStream:
    """Returns the gateway's stream of this client's connection."""
    return next(
        c.stream for c in p.gateway.chat_server.idle if c.stream.socket.getpeername() == client.sock.getsockname()
    )


class StepGate:
    """A gate that releases waiting tasks one by one, in any order; after `open` it blocks no task."""

    def __init__(self) -> None:
        self.waiting: list[trio.Event] = []
        self.opened = False

    async def hold(self) -> None:
        if not self.opened:
            event = trio.Event()
            self.waiting.append(event)
            await event.wait()

    def release_one(self, nth: int) -> None:
        if self.waiting:
            self.waiting.pop(nth % len(self.waiting)).set()

    def open(self) -> None:
        self.opened = True
        while self.waiting:
            self.release_one(0)
