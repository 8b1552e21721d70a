"""The serving side: reads requests off one connection and hands each to a handler."""
from __future__ import annotations

import select
from math import inf
from typing import Awaitable, Callable, Sequence

import h11
import trio

from ternlane.http1.sending import send_now

CHUNK = 65536
EARLY_BYTES = 65536    # kept of what a client sends ahead of its turn
LINGER_S = 0.25        # for which what still comes is read off before a connection is closed


class BadRequest(Exception):
    """A request that is refused as it stands; the connection closes after the answer."""

    def __init__(self, status: int, why: str, code: str = "invalid_request") -> None:
        super().__init__(why)
        self.status, self.why, self.code = status, why, code


class Exchange:
    """One request and its answer."""

    def __init__(self, stream: trio.SocketStream, conn: h11.Connection, request: h11.Request, send_ms: float) -> None:
        self.stream, self.conn, self.request, self.send_ms = stream, conn, request, send_ms
        self.body = b""
        self.begun = False
        self.early = 0    # bytes that came behind the request while it was served
        self.overrun = False    # more of them than are kept
        self.arrived = trio.current_time()    # when its first byte was there
        self.peer: tuple[str, int] = stream.socket.getpeername()[:2]

    @property
    def method(self) -> str:
        return self.request.method.decode("ascii")

    @property
    def path(self) -> str:
        return self.request.target.partition(b"?")[0].decode("latin-1")

    @property
    def query(self) -> str:
        return self.request.target.partition(b"?")[2].decode("latin-1")

    def header(self, name: bytes) -> str | None:
        return next((value.decode("latin-1") for key, value in self.request.headers if key == name), None)

    async def send(self, data: bytes) -> None:
        """A client that does not take its bytes in time counts as one that has left (trio.BrokenResourceError)."""
        sent = send_now(self.stream, data)
        if sent == len(data):
            return
        with trio.move_on_after(self.send_ms / 1000) as scope:
            await self.stream.send_all(memoryview(data)[sent:])
        if scope.cancelled_caught:
            raise trio.BrokenResourceError("the client takes nothing")

    async def answer(self, status: int, headers: Sequence[tuple[str, str]], body: bytes,
                     content: str = "application/json") -> None:
        """A whole answer at once."""
        self.begun = True
        head = [("Content-Type", content), ("Content-Length", str(len(body))), *headers]
        out = self.conn.send(h11.Response(status_code=status, headers=head)) or b""
        out += self.conn.send(h11.Data(data=body)) or b""
        out += self.conn.send(h11.EndOfMessage()) or b""
        await self.send(out)

    async def begin(self, status: int, headers: Sequence[tuple[str, str]], first: bytes = b"") -> None:
        """The head of a streamed answer, together with its first bytes."""
        self.begun = True
        out = self.conn.send(h11.Response(status_code=status, headers=list(headers))) or b""
        if first:
            out += self.conn.send(h11.Data(data=first)) or b""
        await self.send(out)

    async def chunk(self, data: bytes) -> None:
        await self.send(self.conn.send(h11.Data(data=data)) or b"")

    async def end(self, last: bytes = b"") -> None:
        out = (self.conn.send(h11.Data(data=last)) or b"") if last else b""
        await self.send(out + (self.conn.send(h11.EndOfMessage()) or b""))

    def reset(self) -> None:
        self.stream.socket.close()

    async def until_left(self) -> None:
        """Returns when the client has closed its side. What it sends meanwhile is kept for its turn, up to a bound;
        reading goes on beyond that too, or such a client could not be seen leaving."""
        while True:
            try:
                data = await self.stream.receive_some(CHUNK)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                return
            if not data:
                return
            self.early += len(data)
            self.overrun = self.overrun or self.early > EARLY_BYTES
            if not self.overrun:
                self.conn.receive_data(data)

    @property
    def closed(self) -> bool:
        """Has the client closed its side already? For the moment before `until_left` has heard of it."""
        fd = self.stream.socket.fileno()
        if fd < 0:
            return True
        poll = select.poll()
        poll.register(fd, select.POLLRDHUP)
        return bool(poll.poll(0))


Handler = Callable[[Exchange], Awaitable[None]]
Refuser = Callable[[Exchange | None, BadRequest], tuple[bytes, str]]


def plain_refusal(_: Exchange | None, bad: BadRequest) -> tuple[bytes, str]:
    return bad.why.encode(), "text/plain"


async def serve_connection(stream: trio.SocketStream, handler: Handler, *, body_bytes: int, head_ms: float,
                           body_ms: float, idle_ms: float, send_ms: float,
                           refusal: Refuser = plain_refusal, draining: Callable[[], bool] = lambda: False,
                           early_ok: bool = False, head_bytes: int = 65536, first_ms: float = inf,
                           resting: Callable[[bool], None] = lambda _: None) -> None:
    """Serves one connection until either side ends it. Never raises for what the client does. A request that comes
    before the one ahead of it is answered is refused, or with `early_ok` served in its turn. The first request must be
    there within `first_ms`; `resting` is told when the wait for a request begins, and when one is there."""
    conn = h11.Connection(h11.SERVER, max_incomplete_event_size=head_bytes)
    first_by = trio.current_time() + first_ms / 1000
    exchange: Exchange | None = None
    try:
        while True:
            exchange = None
            resting(True)
            exchange = await next_request(stream, conn, body_bytes, head_ms, body_ms, idle_ms, send_ms, first_by,
                                          head_bytes)
            if exchange is None:
                return
            resting(False)
            first_by = inf
            await handler(exchange)
            if conn.our_state is not h11.DONE or conn.their_state is not h11.DONE or draining():
                await linger(stream)
                return
            if exchange.overrun:
                exchange = None
                conn.start_next_cycle()
                raise BadRequest(413, f"more than {EARLY_BYTES} bytes came ahead of their turn", "sent_ahead")
            early = bool(conn.trailing_data[0])
            conn.start_next_cycle()
            if early and not early_ok:
                exchange = None
                raise BadRequest(400, "a second request came before the first was answered (pipelining)", "pipelined")
    except BadRequest as bad:
        if conn.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            body, content = refusal(exchange, bad)
            head = [("Content-Type", content), ("Content-Length", str(len(body))), ("Connection", "close")]
            out = (conn.send(h11.Response(status_code=bad.status, headers=head)) or b"") + \
                (conn.send(h11.Data(data=body)) or b"") + (conn.send(h11.EndOfMessage()) or b"")
            with trio.move_on_after(send_ms / 1000):
                try:
                    await stream.send_all(out)
                except (trio.BrokenResourceError, trio.ClosedResourceError, OSError):
                    return
                await linger(stream)
    except (trio.BrokenResourceError, trio.ClosedResourceError, h11.LocalProtocolError):
        pass
    finally:
        stream.socket.close()


async def linger(stream: trio.SocketStream) -> None:
    """Ends our side and reads off what still comes: closed over unread bytes, the connection would be reset, and an
    answer that the client has not read yet would go with it."""
    with trio.move_on_after(LINGER_S):
        try:
            await stream.send_eof()
            while await stream.receive_some(CHUNK):
                pass
        except (trio.BrokenResourceError, trio.ClosedResourceError, OSError):
            pass


async def next_request(stream: trio.SocketStream, conn: h11.Connection, body_bytes: int, head_ms: float,
                       body_ms: float, idle_ms: float, send_ms: float, by: float = inf,
                       head_bytes: int = 65536) -> Exchange | None:
    begun, arrived = bool(conn.trailing_data[0]), trio.current_time()
    try:
        scope = trio.CancelScope(deadline=min(by, trio.current_time() + (head_ms if begun else idle_ms) / 1000))
        with scope:
            event = conn.next_event()
            while event is h11.NEED_DATA:
                data = await stream.receive_some(CHUNK)
                if data and not begun:
                    begun, arrived = True, trio.current_time()
                    scope.deadline = min(by, arrived + head_ms / 1000)    # counted from its first byte
                conn.receive_data(data)
                event = conn.next_event()
        if scope.cancelled_caught:
            if begun:
                raise BadRequest(408, "the request's head did not come in time", "slow_request")
            return None
        if not isinstance(event, h11.Request):
            return None
        if sum(len(name) + len(value) for name, value in event.headers) + len(event.target) > head_bytes:
            raise BadRequest(431, f"the head is longer than {head_bytes} bytes", "head_too_large")
        exchange = Exchange(stream, conn, event, send_ms)
        exchange.arrived = arrived
        stated = exchange.header(b"content-length")
        if stated is not None and exchange.header(b"transfer-encoding") is not None:
            raise BadRequest(400, "both Content-Length and Transfer-Encoding", "two_lengths")    # one may hide another
        if stated is not None and int(stated) > body_bytes:
            raise BadRequest(413, f"the body is longer than {body_bytes} bytes", "body_too_large")
        if conn.they_are_waiting_for_100_continue:
            await exchange.send(conn.send(h11.InformationalResponse(status_code=100, headers=[])) or b"")
        with trio.move_on_at(min(by, trio.current_time() + body_ms / 1000)) as limit:
            parts, length = [], 0
            while True:
                event = conn.next_event()
                if event is h11.NEED_DATA:
                    conn.receive_data(await stream.receive_some(CHUNK))
                elif isinstance(event, h11.Data):
                    parts.append(bytes(event.data))
                    length += len(event.data)
                    if length > body_bytes:
                        raise BadRequest(413, f"the body is longer than {body_bytes} bytes", "body_too_large")
                elif isinstance(event, h11.EndOfMessage):
                    exchange.body = b"".join(parts)
                    return exchange
                else:
                    return None
        if limit.cancelled_caught:
            raise BadRequest(408, "the request's body did not come in time", "slow_request")
    except h11.RemoteProtocolError as why:
        raise BadRequest(why.error_status_hint or 400, f"not HTTP/1.1: {why}", "bad_http") from None
    return None
