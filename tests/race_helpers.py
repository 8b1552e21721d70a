"""What the tests of crossing events share: raw clients, sockets whose bytes arrive at a chosen moment, waits."""

from __future__ import annotations

import os
import select
import socket
import struct
from collections.abc import Callable
from typing import Any

import trio

from ternlane.http1.nonblocking import is_readable
from tests.platform_gateway import BODY, Platform

WITHIN_S = 5.0  # for what must happen; no order depends on it


async def wait_until(true: Callable[[], Any]) -> None:
    """Waits for something that is certain to come; fails when it does not."""
    with trio.fail_after(WITHIN_S):
        while not true():
            await trio.sleep(0.001)


def client_request(p: Platform, body: bytes = BODY, **headers: str) -> bytes:
    head = "".join(f"{name}: {value}\r\n" for name, value in p.headers(**headers).items())
    line = "POST /v1/chat/completions HTTP/1.1"
    return f"{line}\r\nHost: a\r\nContent-Length: {len(body)}\r\n{head}\r\n".encode() + body


class RawClient:
    """A client's connection whose sends take place at once, without a scheduler's turn in between."""

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self.sock = socket.create_connection((host, int(port)))
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sock.setblocking(False)
        self.got = b""
        self.reset = False

    def send(self, data: bytes) -> None:
        """What it writes has arrived at the other side's socket when this returns: loopback."""
        assert self.sock.send(data) == len(data)

    def disconnect(self, how: str) -> None:
        """By "close", "half-close" or "reset"."""
        if how == "half-close":
            return self.sock.shutdown(socket.SHUT_WR)
        if how == "reset":
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.sock.close()

    async def read_until(self, end: Callable[[bytes], int]) -> bytes:
        """What has come up to where `end` says, or to the connection's end; the rest is kept for the next call."""
        with trio.fail_after(WITHIN_S):
            while end(self.got) < 0:
                await trio.lowlevel.wait_readable(self.sock)
                try:
                    piece = self.sock.recv(65536)
                except ConnectionResetError:
                    self.reset = True
                    break
                if not piece:
                    break
                self.got += piece
        at = end(self.got)
        out, self.got = (self.got, b"") if at < 0 else (self.got[:at], self.got[at:])
        return out

    async def answer(self) -> bytes:
        """One answer, streamed or with a length."""
        return await self.read_until(answer_end)

    async def rest_of_answer(self) -> bytes:
        """The rest of a streamed answer whose beginning has been taken already."""
        return await self.read_until(lambda got: len(got) if got.endswith(b"\r\n0\r\n\r\n") else -1)

    async def rest(self) -> bytes:
        """Whatever comes until the other side ends the connection."""
        return await self.read_until(lambda _: -1)


def answer_end(got: bytes) -> int:
    """Where the first answer in these bytes ends, streamed or with a length; -1 where it has not ended yet."""
    head, found, body = got.partition(b"\r\n\r\n")
    if not found:
        return -1
    begin = len(head) + 4
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            end = begin + int(line[15:])
            return end if len(got) >= end else -1
    last = body.find(b"\r\n0\r\n\r\n")
    return begin + last + 7 if last >= 0 else -1


class Wrapped:
    """A stream of which a test replaces something."""

    def __init__(self, inner: trio.SocketStream) -> None:
        self.inner = inner

    def __getattr__(self, name: str) -> Any:
        return getattr(self.inner, name)


class LateBytes(Wrapped):
    """The server's side of a connection on which bytes arrive in the very moment in which its wait for them ends."""

    def __init__(self, inner: trio.SocketStream, arrive: Callable[[], None]) -> None:
        super().__init__(inner)
        self.arrive = arrive
        self.armed = True

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        if not self.armed:
            return bytes(await self.inner.receive_some(max_bytes))
        try:
            await trio.sleep_forever()
        finally:
            self.armed = False
            self.arrive()
            arrived(self.inner)
        raise AssertionError


def arrived(stream: trio.SocketStream) -> None:
    """Waits, without a scheduler's turn, until the kernel has handed over what the peer has sent."""
    poll = select.poll()
    poll.register(stream.socket.fileno(), select.POLLIN)
    assert poll.poll(WITHIN_S * 1000) and is_readable(stream)


async def pair() -> tuple[trio.SocketStream, RawClient]:
    """A connection: the server's side and the client's."""
    listener = (await trio.open_tcp_listeners(0, host="127.0.0.1"))[0]
    client = RawClient("127.0.0.1:%d" % listener.socket.getsockname()[1])
    stream = await listener.accept()
    listener.socket.close()
    return stream, client


def server_side(p: Platform, client: RawClient) -> trio.SocketStream:
    """The gateway's stream of this client's connection."""
    return next(
        c.stream for c in p.gateway.chat_server.idle if c.stream.socket.getpeername() == client.sock.getsockname()
    )


def descriptors() -> int:
    return len(os.listdir("/proc/self/fd"))


class Turnstile:
    """A gate that lets those who wait at it through one by one, in any order; `open` lets all through from then on."""

    def __init__(self) -> None:
        self.waiting: list[trio.Event] = []
        self.opened = False

    async def hold(self) -> None:
        if not self.opened:
            event = trio.Event()
            self.waiting.append(event)
            await event.wait()

    def let_through(self, nth: int) -> None:
        if self.waiting:
            self.waiting.pop(nth % len(self.waiting)).set()

    def open(self) -> None:
        self.opened = True
        while self.waiting:
            self.let_through(0)
