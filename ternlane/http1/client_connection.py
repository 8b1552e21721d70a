"""The calling side: one request at a time on a connection, connections kept and used again."""

from __future__ import annotations

import errno
from collections import OrderedDict
from ipaddress import ip_address
from math import inf
from typing import AsyncIterator, Callable, Sequence

import h11
import trio

from ternlane.http1.nonblocking import is_readable, receive_now, send
from ternlane.http1.connection_age import ConnectionAge

Headers = Sequence[tuple[str, str]]
CHUNK = 65536
PER_PEER = 64  # idle connections kept for each peer
HEAD_BYTES = 16384  # of an answer's head, or of a chunk's line
# Errors of socket, bind and connect that tell of this machine, not of the peer; what is short comes back in a moment.
LOCAL_SHORTAGES = frozenset(
    {errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.EAGAIN}
)
SHORTAGE_PAUSE_S = 0.01
INTERIM = 16  # heads that may come ahead of the answer's (1xx)


class ConnectError(Exception):
    """No connection was made, or it broke before the request's last byte was written: nothing can have run."""


class ReadTimeout(Exception):
    """The peer has sent nothing by the time that it had."""


class ClientConnection:
    """One connection. `ask` sends a request and gives the head of the answer; `chunks` its body."""

    def __init__(self, stream: trio.SocketStream, peer: str, local: tuple[str, int]) -> None:
        self.stream, self.peer, self.local = stream, peer, local
        self.conn = h11.Connection(h11.CLIENT, max_incomplete_event_size=HEAD_BYTES)
        self.idle_since = 0.0
        self.written = False  # the request's last byte
        self.silent_by = inf  # see `expect_by`
        self.overdue = False  # what had arrived by then has been read
        self.heard = self.broke = False  # any byte of the answer; an end ahead of it
        self.asked = False  # it has answered before
        self.idled_ms: float | None = None  # how long it lay idle before this request; None: it is new
        self.on_close: Callable[[ClientConnection], None] = lambda _: None

    async def ask(self, method: str, target: str, headers: Headers, body: bytes = b"") -> h11.Response:
        """Raises Unconnected where the connection breaks before the request's last byte is written, and after that
        trio.BrokenResourceError or h11.RemoteProtocolError where it or the peer breaks off."""
        await self.send_request(method, target, headers, body)
        return await self.read_head()

    async def send_request(self, method: str, target: str, headers: Headers, body: bytes = b"") -> None:
        """Raises Unconnected where the connection breaks before the request's last byte is written."""
        self.written = self.heard = self.broke = False
        head = [("Host", self.peer), *headers]
        if body or method != "GET":
            head.append(("Content-Length", str(len(body))))
        out = self.conn.send(h11.Request(method=method, target=target, headers=head)) or b""
        if body:
            out += self.conn.send(h11.Data(data=body)) or b""
        out += self.conn.send(h11.EndOfMessage()) or b""
        try:
            await send(self.stream, out)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as why:
            self.broke = True
            raise ConnectError(f"{self.peer}: broke before all was written: {why}") from None
        self.written = True

    async def read_head(self) -> h11.Response:
        """The head of the answer. Raises trio.BrokenResourceError or h11.RemoteProtocolError where there is none, and
        Silent."""
        for _ in range(INTERIM):
            event = await self.event()
            if isinstance(event, h11.Response):
                return event
            if not isinstance(event, h11.InformationalResponse):
                raise h11.RemoteProtocolError("the connection closed before the answer began")
        raise h11.RemoteProtocolError("interim answers without end")

    async def event(self) -> h11.Event | type[h11.PAUSED]:
        while True:
            event = self.conn.next_event()
            if event is not h11.NEED_DATA:
                return event  # type: ignore[return-value]
            try:
                data = await self._receive()
            except trio.BrokenResourceError:
                self.broke = not self.heard
                raise
            self.broke = not data and not self.heard
            self.heard = self.heard or bool(data)
            self.conn.receive_data(data)

    def expect_by(self, when: float) -> None:
        """Reads raise Silent from `when` on, by trio's clock, but for what has arrived by then: that is read, once."""
        self.silent_by, self.overdue = when, False

    async def _receive(self) -> bytes:
        if trio.current_time() < self.silent_by:
            with trio.CancelScope(deadline=self.silent_by):
                return await self.stream.receive_some(CHUNK)
        data = None if self.overdue else receive_now(self.stream, CHUNK)
        self.overdue = True  # one that never stops sending is not waited for either
        if data is None:
            raise ReadTimeout(f"{self.peer}: nothing came in time")
        return data

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
        """Is the answer whole, with nothing behind it? What comes unasked could be taken for the next answer."""
        return self.conn.our_state is h11.DONE and self.conn.their_state is h11.DONE and not self.conn.trailing_data[0]

    @property
    def dead(self) -> bool:
        """Has the peer closed, or said something unasked, while the connection lay idle?"""
        return is_readable(self.stream)

    def close_now(self) -> None:
        """Closes without waiting; what the peer still sends is answered by a reset."""
        self.stream.socket.close()
        self.on_close(self)


class ConnectionPool:
    """Connections to many peers. A borrowed one comes back by `give_back`, or is closed. With `limit` open the one
    that has been idle for longest makes room for a new one."""

    def __init__(self, connect_ms: float, idle_ms: float, source: str | None = None, limit: float = inf) -> None:
        self.connect_ms, self.idle_ms, self.source, self.limit = connect_ms, idle_ms, source, limit
        self.idle: dict[str, OrderedDict[ClientConnection, None]] = {}  # of each peer, the most recently used last
        self.resting: OrderedDict[ClientConnection, None] = OrderedDict()  # the idle ones of all
        self.open: set[ClientConnection] = set()
        self.prefix = 0
        self.made = 0
        self.shortages = 0  # tries for a connection that failed for want of something on this machine
        self.wear = ConnectionAge(idle_ms)

    def set_limits(self, connect_ms: float, idle_ms: float, limit: float) -> None:
        """Other limits from now on, also for connections that are kept already; more of them than `limit` close."""
        self.connect_ms, self.limit = connect_ms, limit
        if idle_ms != self.idle_ms:
            self.idle_ms, self.wear = idle_ms, ConnectionAge(idle_ms)
        while self.resting and len(self.open) + self.prefix > limit:
            next(iter(self.resting)).close_now()
        self.sweep()

    async def take(self, peer: str, rest_ms: float = 0.0) -> ClientConnection:
        """A kept connection that has been idle for `rest_ms`, or else a new one. Raises Unconnected when none could be
        made in time."""
        now = trio.current_time() * 1000
        for caller in list(reversed(self.idle.get(peer, ()))):
            idled = now - caller.idle_since * 1000
            if caller.asked and idled < rest_ms:
                continue
            if idled >= self.idle_ms or caller.dead or self.wear.shuns(idled, now):
                caller.close_now()
            else:
                self._rested(caller)
                caller.idled_ms = idled
                return caller
        return await self.connect(peer)

    async def connect(self, peer: str) -> ClientConnection:
        host, _, port = peer.rpartition(":")
        while len(self.open) + self.prefix >= self.limit:
            if not self.resting:
                raise ConnectError(f"{peer}: {len(self.open)} connections are out, as many as may be")
            next(iter(self.resting)).close_now()
        self.prefix += 1
        try:
            with trio.fail_after(self.connect_ms / 1000):
                stream = await self._reach(host.strip("[]"), int(port))
        except (OSError, trio.TooSlowError) as why:
            raise ConnectError(f"{peer}: {why!r}") from None
        finally:
            self.prefix -= 1
        self.made += 1
        name = stream.socket.getsockname()
        caller = ClientConnection(stream, peer, (name[0], name[1]))
        self.open.add(caller)
        caller.on_close = self._closed
        return caller

    async def _reach(self, host: str, port: int) -> trio.SocketStream:
        """A connection, tried again while this machine is short of something: that is no fault of the peer's."""
        while True:
            try:
                return await reach(host, port, self.source)
            except OSError as why:
                if why.errno not in LOCAL_SHORTAGES:
                    raise
            self.shortages += 1
            await trio.sleep(SHORTAGE_PAUSE_S)

    def _rested(self, caller: ClientConnection) -> None:
        """It lies idle no more."""
        if self.resting.pop(caller, self) is None:
            kept = self.idle[caller.peer]
            del kept[caller]
            if not kept:
                del self.idle[caller.peer]

    def _closed(self, caller: ClientConnection) -> None:
        if caller in self.open and caller.broke:
            self._used(caller)
        self.open.discard(caller)
        self._rested(caller)

    def _used(self, caller: ClientConnection) -> None:
        if caller.idled_ms is not None:
            self.wear.note(caller.idled_ms, caller.broke, trio.current_time() * 1000)

    def give_back(self, caller: ClientConnection) -> None:
        """One on which nothing was asked is as good as before."""
        caller.expect_by(inf)
        asked = caller.conn.our_state is not h11.IDLE
        if asked:
            self._used(caller)
        if (asked and not caller.reusable) or len(self.idle.get(caller.peer, ())) >= PER_PEER:
            caller.close_now()
            return
        if asked:
            caller.conn.start_next_cycle()
        caller.asked = caller.asked or asked
        caller.idle_since = trio.current_time()
        self.idle.setdefault(caller.peer, OrderedDict())[caller] = None
        self.resting[caller] = None

    def forget(self, peer: str) -> None:
        """Closes what lies idle to a peer that is no longer there."""
        for caller in list(self.idle.get(peer, ())):
            caller.close_now()

    def sweep(self) -> None:
        """Closes what has lain idle too long."""
        now = trio.current_time()
        while self.resting:
            caller = next(iter(self.resting))
            if now - caller.idle_since < self.idle_ms / 1000:
                break
            caller.close_now()

    def close(self) -> None:
        for caller in list(self.resting):
            caller.close_now()


async def reach(host: str, port: int, source: str | None) -> trio.SocketStream:
    """A connection to an address; names take the long way."""
    try:
        family = trio.socket.AF_INET6 if ip_address(host).version == 6 else trio.socket.AF_INET
    except ValueError:
        return await trio.open_tcp_stream(host, port, local_address=source)
    sock = trio.socket.socket(family, trio.socket.SOCK_STREAM)
    try:
        if source is not None:
            await sock.bind((source, 0))
        await sock.connect((host, port))
        return trio.SocketStream(sock)
    except BaseException:
        sock.close()
        raise
