"""Reads the requests of one connection, within the memory that all connections of an event loop share."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager

import h11
import trio

from ternlane.http1.body_buffer import BodyBuffer
from ternlane.http1.connection_limits import ConnectionLimits
from ternlane.http1.errors import BadRequest
from ternlane.http1.exchange import RECEIVE_BYTES, Exchange
from ternlane.http1.line_limits import MAX_LINES, TrailerLimit, has_too_many_lines
from ternlane.http1.nonblocking import is_readable
from ternlane.http1.parse_turns import MessageParser
from ternlane.http1.shared_limits import SharedLimits

# A body that may become longer than this is read on only once there is room for all of it.
FREE_BODY_BYTES = 2 * RECEIVE_BYTES
# Error code of a request that was given up because its connection would hold too much.
NO_MEMORY = "room"


class RequestReader:
    """Reads heads and bodies. `account` counts what the connection holds of them."""

    def __init__(
        self, stream: trio.SocketStream, conn: h11.Connection, limits: ConnectionLimits, shared_limits: SharedLimits
    ) -> None:
        self.stream = stream
        self.conn = conn
        self.limits = limits
        self.parser = MessageParser(shared_limits.parse_turns)
        self.account = shared_limits.memory.open_account(self._give_up_request, self._has_unread)
        self._stopped = False
        self._body = BodyBuffer()  # of the request being read
        self._waits_for_memory = False  # the body being read is not read on until there is room for it
        self._given_up = False  # the request being read was given up for lack of memory
        self._reading_scope: trio.CancelScope | None = None  # set while a request is read, from its first byte on

    def stop(self) -> None:
        """Refuses the request being read, and any later one that is not complete at once."""
        self._stopped = True
        if self._reading_scope is not None:
            self._reading_scope.cancel()

    def drop(self) -> None:
        """Drops what has been read."""
        self._body.clear()
        self.account.release()

    async def read_head(self, deadline: float) -> h11.Request | None:
        """Returns the request's head, or None if the client has closed the connection. Raises BadRequest if it is
        incomplete at the deadline."""
        self.parser.begin_message()
        with self._reading_until(deadline) as limit:
            while True:
                self.account.hold_small(len(self.conn.trailing_data[0]))
                if has_too_many_lines(self.conn.trailing_data[0]):
                    raise BadRequest(431, f"the head has more than {MAX_LINES} lines", "head_too_large")
                event = self.conn.next_event()
                if event is not h11.NEED_DATA:
                    break
                self.conn.receive_data(await self.stream.receive_some(RECEIVE_BYTES))
        if limit.cancelled_caught:
            raise self._incomplete("head")
        return event if isinstance(event, h11.Request) else None

    async def read_body(self, exchange: Exchange, deadline: float) -> bytes | None:
        """Returns the request body, or None if the client disconnected within it."""
        body = self._body
        is_chunked = exchange.header(b"transfer-encoding") is not None
        trailer_limit = TrailerLimit() if is_chunked else None
        expected_bytes = self.limits.body_bytes if is_chunked else int(exchange.header(b"content-length") or 0)
        with self._reading_until(deadline):
            while not self._given_up:
                if trailer_limit is not None and trailer_limit.is_exceeded(self.conn.trailing_data[0]):
                    raise BadRequest(431, f"the trailer has more than {MAX_LINES} lines", "head_too_large")
                event = await self.parser.next_event(self.conn.next_event)
                if event is h11.NEED_DATA:
                    self.parser.pause()
                    await self._receive_body_bytes(expected_bytes)
                elif isinstance(event, h11.Data):
                    body.add(event.data)
                    if len(body) > self.limits.body_bytes:
                        raise BadRequest(
                            413, f"the body is longer than {self.limits.body_bytes} bytes", "body_too_large"
                        )
                    if trailer_limit is not None:
                        trailer_limit.observe(event)
                elif isinstance(event, h11.EndOfMessage) and not self._given_up:
                    return self._take_body()
                elif not isinstance(event, h11.EndOfMessage):
                    return None
        raise self._incomplete("body")

    async def _receive_body_bytes(self, expected_bytes: int) -> None:
        """Receives more of a body, for a large one once there is room for all of it."""
        is_large = min(expected_bytes, len(self._body) + RECEIVE_BYTES) > FREE_BODY_BYTES
        if is_large and not self.account.reserved_bytes:
            self._waits_for_memory = True
            await self.account.reserve(expected_bytes)
            self._waits_for_memory = False
        data = await self.stream.receive_some(RECEIVE_BYTES)
        self.conn.receive_data(data)
        if is_large:
            self.account.received()
        else:
            self.account.hold_small(len(self._body) + len(self.conn.trailing_data[0]))

    def _take_body(self) -> bytes:
        """Returns the complete body, which the account counts until the exchange says that it has been dropped.

        Raises BadRequest if there is no room for it, which is not known if it has come together with its head.
        """
        body = self._body.take()
        if not body:
            self.account.release()
        elif not self.account.complete(len(body)):
            raise BadRequest(503, "this server holds as many requests as it may", NO_MEMORY)
        return body

    @contextmanager
    def _reading_until(self, deadline: float) -> Iterator[trio.CancelScope]:
        with trio.CancelScope(deadline=deadline) as self._reading_scope:
            if self._stopped:
                self._reading_scope.cancel()
            try:
                yield self._reading_scope
            finally:
                self._reading_scope = None
                self.parser.pause()

    def _has_unread(self) -> bool:
        return is_readable(self.stream)

    def _give_up_request(self) -> None:
        """Drops what has been read of the body. The request is then refused."""
        self._given_up = True
        self._body.clear()
        if self._reading_scope is not None:
            self._reading_scope.cancel()

    def _incomplete(self, part: str) -> BadRequest:
        if self._given_up or self._waits_for_memory:
            return BadRequest(503, f"no memory is left for the rest of the request's {part}", NO_MEMORY)
        if self._stopped:
            return BadRequest(503, f"the server is shutting down, and the request's {part} is not whole", "draining")
        return BadRequest(408, f"the request's {part} did not come in time", "slow_request")


def check_head(exchange: Exchange, limits: ConnectionLimits) -> None:
    """Checks the lengths that a head has and states. Raises BadRequest."""
    request = exchange.request
    length = len(request.target) + sum(len(name) + len(value) for name, value in request.headers)
    if length > limits.head_bytes:
        raise BadRequest(431, f"the head is longer than {limits.head_bytes} bytes", "head_too_large")
    stated = exchange.header(b"content-length")
    if stated is None:
        return
    if exchange.header(b"transfer-encoding") is not None:  # request smuggling: peers may disagree on the length
        raise BadRequest(400, "both Content-Length and Transfer-Encoding", "two_lengths")
    if int(stated) > limits.body_bytes:
        raise BadRequest(413, f"the body is longer than {limits.body_bytes} bytes", "body_too_large")
