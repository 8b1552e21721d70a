"""The calling side: one request at a time on a connection, connections kept and used again."""
from __future__ import annotations

import select
from collections import deque
from typing import AsyncIterator, Sequence

import h11
import trio

from ternlane.http1.sending import send

Headers = Sequence[tuple[str, str]]
CHUNK = 65536
PER_PEER = 64    # idle connections kept for each peer


class Unconnected(Exception):
    """No connection was made: nothing was sent."""


class Caller:
    """One connection. `ask` sends a request and gives the head of the answer; `chunks` its body."""

    def __init__(self, stream: trio.SocketStream, peer: str, local: tuple[str, int]) -> None:
        self.stream, self.peer, self.local = stream, peer, local
        self.conn = h11.Connection(h11.CLIENT)
        self.idle_since = 0.0

    async def ask(self, method: str, target: str, headers: Headers, body: bytes = b"") -> h11.Response:
        """Raises trio.BrokenResourceError or h11.RemoteProtocolError where the connection or the peer breaks off."""
        head = [("Host", self.peer), *headers]
        if body or method != "GET":
            head.append(("Content-Length", str(len(body))))
        out = self.conn.send(h11.Request(method=method, target=target, headers=head)) or b""
        if body:
            out += self.conn.send(h11.Data(data=body)) or b""
        out += self.conn.send(h11.EndOfMessage()) or b""
        await send(self.stream, out)
        while True:
            event = await self.event()
            if isinstance(event, h11.Response):
                return event
            if not isinstance(event, h11.InformationalResponse):
                raise h11.RemoteProtocolError("the connection closed before the answer began")

    async def event(self) -> h11.Event | type[h11.PAUSED]:
        while True:
            event = self.conn.next_event()
            if event is not h11.NEED_DATA:
                return event    # type: ignore[return-value]
            self.conn.receive_data(await self.stream.receive_some(CHUNK))

    async def chunks(self) -> AsyncIterator[bytes]:
        """The body's bytes. Raises h11.RemoteProtocolError where it ends short of its stated length."""
        while True:
            event = await self.event()
            if isinstance(event, h11.Data):
                yield bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                return
            else:
                raise h11.RemoteProtocolError("the connection closed within the answer")

    async def body(self, limit: int) -> bytes:
        whole = bytearray()
        async for chunk in self.chunks():
            whole += chunk
            if len(whole) > limit:
                raise h11.RemoteProtocolError(f"the answer is longer than {limit} bytes")
        return bytes(whole)

    @property
    def reusable(self) -> bool:
        return self.conn.our_state is h11.DONE and self.conn.their_state is h11.DONE

    @property
    def dead(self) -> bool:
        """Has the peer closed, or said something unasked, while the connection lay idle?"""
        fd = self.stream.socket.fileno()
        if fd < 0:
            return True
        poll = select.poll()
        poll.register(fd, select.POLLIN | select.POLLHUP | select.POLLERR)
        return bool(poll.poll(0))

    def close_now(self) -> None:
        """Closes without waiting; what the peer still sends is answered by a reset."""
        self.stream.socket.close()


class Pool:
    """Connections to many peers. A borrowed one comes back by `give_back`, or is closed."""

    def __init__(self, connect_ms: float, idle_ms: float, source: str | None = None) -> None:
        self.connect_ms, self.idle_ms, self.source = connect_ms, idle_ms, source
        self.idle: dict[str, deque[Caller]] = {}
        self.made = 0

    async def take(self, peer: str) -> Caller:
        """Raises Unconnected when none could be made in time."""
        kept, now = self.idle.get(peer), trio.current_time()
        while kept:
            caller = kept.pop()
            if now - caller.idle_since < self.idle_ms / 1000 and not caller.dead:
                return caller
            caller.close_now()
        return await self.connect(peer)

    async def connect(self, peer: str) -> Caller:
        host, _, port = peer.rpartition(":")
        try:
            with trio.fail_after(self.connect_ms / 1000):
                stream = await trio.open_tcp_stream(host.strip("[]"), int(port), local_address=self.source)
        except (OSError, trio.TooSlowError) as why:
            raise Unconnected(f"{peer}: {why!r}") from None
        self.made += 1
        name = stream.socket.getsockname()
        return Caller(stream, peer, (name[0], name[1]))

    def give_back(self, caller: Caller) -> None:
        kept = self.idle.setdefault(caller.peer, deque())
        if not caller.reusable or len(kept) >= PER_PEER:
            caller.close_now()
            return
        caller.conn.start_next_cycle()
        caller.idle_since = trio.current_time()
        kept.append(caller)

    def sweep(self) -> None:
        """Closes what has lain idle too long or was closed by its peer."""
        now = trio.current_time()
        for peer, kept in list(self.idle.items()):
            while kept and now - kept[0].idle_since >= self.idle_ms / 1000:
                kept.popleft().close_now()
            if not kept:
                del self.idle[peer]

    def close(self) -> None:
        for kept in self.idle.values():
            for caller in kept:
                caller.close_now()
        self.idle.clear()
