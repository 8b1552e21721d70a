"""Server side of HTTP/1.1: reads requests from one connection, passes each to a handler, and closes the connection.

Only `ServerConnection` closes a client's connection. It never does so when bytes of a request have arrived: before
closing it checks for unread bytes and serves the request. After the last response it shuts down its sending side and
reads until end of file, because closing a socket with unread bytes resets the connection and can lose the response.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from enum import Enum, auto
from math import inf

import h11
import trio

from ternlane.http1.close_reason import CloseReason
from ternlane.http1.connection_limits import ConnectionLimits
from ternlane.http1.errors import BadRequest
from ternlane.http1.exchange import MAX_EARLY_BYTES, RECEIVE_BYTES, Exchange
from ternlane.http1.nonblocking import is_readable, receive_now
from ternlane.http1.request_reader import NO_MEMORY, RequestReader, check_head
from ternlane.http1.shared_limits import SharedLimits

# How long bytes are read and discarded before a connection is closed; longer than any round trip.
LINGER_S = 0.25
BROKEN = (trio.BrokenResourceError, trio.ClosedResourceError, OSError)

Handler = Callable[[Exchange], Awaitable[None]]
ErrorBody = Callable[[Exchange | None, BadRequest], tuple[bytes, str]]


def plain_text_error(_: Exchange | None, refusal: BadRequest) -> tuple[bytes, str]:
    """Body and content type of the response to a bad request: the reason as plain text."""
    return refusal.why.encode(), "text/plain"


class ConnectionState(Enum):
    """State of a client's connection."""

    READING = auto()  # a request has been received in part, or the connection has just been accepted
    IDLE = auto()  # waiting for the first byte of a request
    HANDLING = auto()  # a request has been received completely
    CLOSED = auto()


class ServerConnection:
    """A client's connection. `has_received_request` is set once a request has been received.

    `on_idle_changed` is called each time `idle` changes and `on_close` once, with the reason. A request that arrives
    before the previous one is answered is refused, or with `allow_pipelining` served in turn. While `draining()` is
    true the connection closes after its next response. All connections of an event loop should share `shared_limits`.
    `retry_after_ms` returns the pause that a client is told whose request was given up for lack of memory; 0 for none.
    """

    def __init__(
        self,
        stream: trio.SocketStream,
        handler: Handler,
        limits: ConnectionLimits,
        *,
        error_body: ErrorBody = plain_text_error,
        draining: Callable[[], bool] = lambda: False,
        allow_pipelining: bool = False,
        shared_limits: SharedLimits | None = None,
        retry_after_ms: Callable[[], float] = lambda: 0.0,
        on_idle_changed: Callable[[ServerConnection], None] = lambda _: None,
        on_close: Callable[[CloseReason], None] = lambda _: None,
    ) -> None:
        self.stream = stream
        self.handler = handler
        self.limits = limits
        self.error_body = error_body
        self.draining = draining
        self.allow_pipelining = allow_pipelining
        self.on_idle_changed = on_idle_changed
        self.on_close = on_close
        self.conn = h11.Connection(h11.SERVER, max_incomplete_event_size=limits.head_bytes)
        shared_limits = shared_limits or SharedLimits()
        self.reader = RequestReader(stream, self.conn, limits, shared_limits)
        self.retry_after_ms = retry_after_ms
        self.state = ConnectionState.READING
        self.has_received_request = False
        self.close_reason = CloseReason.CANCELLED
        self._handling_last_request = False  # the request being handled is the last one, as the server is draining

    @property
    def idle(self) -> bool:
        """Whether the connection waits for the first byte of a request."""
        return self.state is ConnectionState.IDLE

    async def serve(self) -> None:
        """Serves requests until either side closes the connection.

        Never raises for what the client does. An exception of the handler is re-raised after the error response.
        """
        try:
            await self._serve_requests()
        except (*BROKEN, h11.LocalProtocolError):
            if self.close_reason not in (
                CloseReason.MADE_ROOM,
                CloseReason.DRAINING,
            ):  # with these, this side has closed it
                self.close_reason = CloseReason.BROKEN
        finally:
            self._set_state(ConnectionState.CLOSED)
            self.reader.account.close()
            self.stream.socket.close()
            self.on_close(self.close_reason)

    async def _serve_requests(self) -> None:
        first_request_deadline = trio.current_time() + self.limits.first_ms / 1000
        exchange: Exchange | None = None
        try:
            while True:
                exchange = None
                exchange = await self._next_request(first_request_deadline)
                if exchange is None:
                    return
                first_request_deadline = inf
                self.has_received_request = True
                self._set_state(ConnectionState.HANDLING)
                await self.handler(exchange)
                exchange.body_dropped()
                if not await self._can_continue(exchange):
                    return
                self._set_state(ConnectionState.READING)
                answered = exchange
                exchange = None
                self.conn.start_next_cycle()
                self._check_early_bytes(answered)
        except BadRequest as refusal:
            self.close_reason = CloseReason.REFUSED
            await self._refuse(exchange, refusal)
        except (*BROKEN, h11.LocalProtocolError):
            raise
        except Exception:
            self.close_reason = CloseReason.FAULT
            await self._refuse(exchange, BadRequest(500, "a fault of this server", "fault"))
            raise

    def _check_early_bytes(self, exchange: Exchange) -> None:
        """Checks what the client sent during the previous request. Raises BadRequest if it is more than is accepted."""
        if exchange.early_overflow:
            raise BadRequest(413, f"more than {MAX_EARLY_BYTES} bytes came ahead of their turn", "sent_ahead")
        if exchange.pipelined and not self.allow_pipelining:
            raise BadRequest(400, "a second request came before the first was answered (pipelining)", "pipelined")

    def close_if_idle(self, reason: CloseReason = CloseReason.MADE_ROOM) -> bool:
        """Closes the connection unless a request is being handled or any byte of one has arrived. True if closed."""
        if not self.idle or is_readable(self.stream):
            return False
        self.close_reason = reason
        self.stream.socket.close()  # wakes `serve`, which ends
        return True

    def stop_reading(self) -> None:
        """Refuses the request being read, and any later one that is not complete at once, with a 503 response.

        Nothing has been done for such requests. Requests that have been read completely and idle connections are not
        affected.
        """
        self.reader.stop()

    def _set_state(self, state: ConnectionState) -> None:
        was_idle = self.idle
        self.state = state
        if self.idle != was_idle:
            self.on_idle_changed(self)

    async def _can_continue(self, exchange: Exchange) -> bool:
        """After a response, returns whether a further request may follow; otherwise the connection has been ended."""
        complete = self.conn.our_state is h11.DONE and self.conn.their_state is h11.DONE
        if complete and not self.draining():
            return True
        # A request that arrived together with the end of the response is still served.
        if complete and not self._handling_last_request and not exchange.pipelined:
            self._handling_last_request = True
            unread = receive_now(self.stream, RECEIVE_BYTES)
            if unread:
                self.conn.receive_data(unread)
            if self.conn.trailing_data[0]:
                return True
        ended = self.conn.our_state in (h11.DONE, h11.MUST_CLOSE)
        self.close_reason = CloseReason.ANSWERED if ended else CloseReason.CUT
        await linger(self.stream)
        return False

    async def _refuse(self, exchange: Exchange | None, refusal: BadRequest) -> None:
        """Sends the error response, unless a response has begun, and ends the connection."""
        self.reader.drop()
        if self.conn.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        body, content = self.error_body(exchange, refusal)
        head = [("Content-Type", content), ("Content-Length", str(len(body))), ("Connection", "close")]
        if refusal.code == NO_MEMORY and self.retry_after_ms() > 0:
            head.append(("Retry-After", f"{self.retry_after_ms() / 1000:.3f}"))
        out = self.conn.send(h11.Response(status_code=refusal.status, headers=head)) or b""
        out += self.conn.send(h11.Data(data=body)) or b""
        out += self.conn.send(h11.EndOfMessage()) or b""
        with trio.move_on_after(self.limits.send_ms / 1000):
            try:
                await self.stream.send_all(out)
            except BROKEN:
                return
            await linger(self.stream)

    async def _next_request(self, deadline: float) -> Exchange | None:
        """Returns the next complete request, or None if the connection is to end without one. Raises BadRequest."""
        if not self.conn.trailing_data[0] and not await self._receive_first_bytes(deadline):
            return None
        arrived = trio.current_time()
        try:
            request = await self.reader.read_head(min(deadline, arrived + self.limits.head_ms / 1000))
            if request is None:
                self.close_reason = CloseReason.CLIENT_ENDED
                return None
            exchange = Exchange(
                self.stream, self.conn, request, self.limits.send_ms, arrived, self.draining, self.reader.account
            )
            check_head(exchange, self.limits)
            if self.conn.they_are_waiting_for_100_continue:
                await exchange.send(self.conn.send(h11.InformationalResponse(status_code=100, headers=[])) or b"")
            body = await self.reader.read_body(
                exchange, min(deadline, trio.current_time() + self.limits.body_ms / 1000)
            )
        except h11.RemoteProtocolError as why:
            raise BadRequest(why.error_status_hint or 400, f"not HTTP/1.1: {why}", "bad_http") from None
        if body is None:
            self.close_reason = CloseReason.CLIENT_ENDED
            return None
        exchange.body = body
        return exchange

    async def _receive_first_bytes(self, deadline: float) -> bool:
        """Receives the first bytes of the next request. False if the client has closed, or after the idle time-out.

        Bytes that arrive just as the time-out expires count as a request."""
        self._set_state(ConnectionState.IDLE)
        data: bytes | None = None
        with trio.CancelScope(deadline=min(deadline, trio.current_time() + self.limits.idle_ms / 1000)) as wait:
            data = await self.stream.receive_some(RECEIVE_BYTES)
        if wait.cancelled_caught:
            data = receive_now(self.stream, RECEIVE_BYTES)
        self._set_state(ConnectionState.READING)
        if not data:
            self.close_reason = CloseReason.IDLE if data is None else CloseReason.CLIENT_ENDED
            return False
        self.conn.receive_data(data)
        return True


async def serve_connection(
    stream: trio.SocketStream,
    handler: Handler,
    *,
    body_bytes: int,
    head_ms: float,
    body_ms: float,
    idle_ms: float,
    send_ms: float,
    error_body: ErrorBody = plain_text_error,
    draining: Callable[[], bool] = lambda: False,
    allow_pipelining: bool = False,
    shared_limits: SharedLimits | None = None,
    retry_after_ms: Callable[[], float] = lambda: 0.0,
) -> None:
    """Serves one connection until either side closes it. Never raises for what the client does."""
    limits = ConnectionLimits(body_bytes, head_ms, body_ms, idle_ms, send_ms)
    await ServerConnection(
        stream,
        handler,
        limits,
        error_body=error_body,
        draining=draining,
        allow_pipelining=allow_pipelining,
        shared_limits=shared_limits,
        retry_after_ms=retry_after_ms,
    ).serve()


async def linger(stream: trio.SocketStream) -> None:
    """Shuts down the sending side, then reads and discards bytes until end of file or for `LINGER_S`."""
    with trio.move_on_after(LINGER_S):
        try:
            await stream.send_eof()
            while await stream.receive_some(RECEIVE_BYTES):
                pass
        except BROKEN:
            pass
