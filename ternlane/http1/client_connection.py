"""Client side of HTTP/1.1: one connection to a server, with one request in flight at a time."""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable, Sequence
from enum import Enum, auto
from math import inf

import h11
import trio

from ternlane.http1.body_size import BodySizeLimit
from ternlane.http1.buffer_memory import has_nothing_unread
from ternlane.http1.errors import ConnectError, ReadTimeout
from ternlane.http1.line_limits import MAX_LINES, TrailerLimit, has_too_many_lines
from ternlane.http1.nonblocking import is_readable, receive_now, send
from ternlane.http1.parse_turns import MessageParser
from ternlane.http1.shared_limits import SharedLimits

Headers = Sequence[tuple[str, str]]

# Largest single read. Also what one connection may hold unparsed while others have their turns.
CHUNK_BYTES = 16384
# What a connection may hold of a response even if the shared memory is used up: a read, and an ordinary response.
SMALL_RESPONSE_BYTES = CHUNK_BYTES
# Largest response head or chunk-size line.
HEAD_BYTES = 16384
# A larger request body is sent by itself. A smaller one is joined to the head, which saves a system call.
MAX_JOINED_BYTES = 8192
# Interim responses (status 1xx) accepted ahead of the final one.
MAX_INTERIM_HEADS = 16


class CallState(Enum):
    """Progress of the current request."""

    NOT_SENT = auto()
    SENT = auto()  # up to its last byte, so the server may execute it
    ANSWERED = auto()  # at least one byte of the response has been received
    BROKE_SENDING = auto()  # the connection broke before the last byte was written
    BROKE_UNANSWERED = auto()  # the connection broke after that, before any byte of the response


class ClientConnection:
    """An HTTP/1.1 connection. `ask` sends a request and returns the response head; `chunks` or `body` read the rest.

    All connections of an event loop should share `shared_limits`.
    """

    def __init__(
        self, stream: trio.SocketStream, peer: str, local: tuple[str, int], shared_limits: SharedLimits | None = None
    ) -> None:
        self.stream = stream
        self.peer = peer
        self.local = local
        self.conn = h11.Connection(h11.CLIENT, max_incomplete_event_size=HEAD_BYTES)
        shared_limits = shared_limits or SharedLimits()
        self.parser = MessageParser(shared_limits.parse_turns)
        self.account = shared_limits.memory.open_account(self.close_now, has_nothing_unread)
        self.kept_bytes = 0  # of the response, held by the caller
        self.is_essential = False  # its responses are held even if the shared memory is used up
        self.state = CallState.NOT_SENT
        self.idle_since = 0.0  # s, trio's clock; set by the pool
        self.idled_ms: float | None = None  # idle time before this request; None for a new connection
        self.has_completed_request = False  # has completed a request before
        self.is_retired = False  # takes no further request
        self.on_close: Callable[[ClientConnection], None] = lambda _: None
        self._read_deadline_s = inf  # see `set_read_deadline`
        self._read_after_deadline = False
        self._trailer_limit: TrailerLimit | None = None  # for a chunked response
        self._size_limit: BodySizeLimit | None = None  # see `limit_body`
        self._stated_bytes = 0  # Content-Length of the response; 0 for none
        self._is_complete = False  # the response's last byte has been parsed
        self._deferred_error: h11.RemoteProtocolError | None = None  # follows the chunks that have been yielded

    @property
    def written(self) -> bool:
        """Whether the request's last byte has been written, so that the server may execute it."""
        return self.state in (CallState.SENT, CallState.ANSWERED, CallState.BROKE_UNANSWERED)

    @property
    def broke(self) -> bool:
        """Whether the connection broke before the response, for example because the peer had closed it while it was
        idle."""
        return self.state in (CallState.BROKE_SENDING, CallState.BROKE_UNANSWERED)

    @property
    def reusable(self) -> bool:
        """Whether the response is complete and nothing follows it.

        Unsolicited bytes could be mistaken for the response to the next request.
        """
        is_done = self.conn.our_state is h11.DONE and self.conn.their_state is h11.DONE
        return is_done and not self.conn.trailing_data[0]

    @property
    def is_stale(self) -> bool:
        """Whether the peer has closed, or sent unsolicited bytes, while the connection was idle."""
        return is_readable(self.stream)

    async def ask(self, method: str, target: str, headers: Headers, body: bytes = b"") -> h11.Response:
        """Sends a request and returns the response head. Raises what `send_request` and `read_head` raise."""
        await self.send_request(method, target, headers, body)
        return await self.read_head()

    async def send_request(self, method: str, target: str, headers: Headers, body: bytes = b"") -> None:
        """Writes a request. Raises ConnectError if the connection breaks before the last byte is written."""
        self.state = CallState.NOT_SENT
        self.parser.begin_message()
        self._is_complete = False
        self._deferred_error = None
        self._size_limit = None
        self.kept_bytes = 0
        head = [("Host", self.peer), *headers]
        if body or method != "GET":
            head.append(("Content-Length", str(len(body))))
        data = self.conn.send(h11.Request(method=method, target=target, headers=head)) or b""
        if body:
            self.conn.send(h11.Data(data=body))  # has a stated length, so that it is sent as it is
        self.conn.send(h11.EndOfMessage())
        try:
            if len(body) <= MAX_JOINED_BYTES:
                await send(self.stream, data + body)
            else:  # not copied, as it may have to wait for the peer to read
                await send(self.stream, data)
                await send(self.stream, body)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            self.state = CallState.BROKE_SENDING
            raise ConnectError(f"{self.peer}: broke before all was written: {error}") from None
        self.state = CallState.SENT

    async def read_head(self) -> h11.Response:
        """Returns the head of the final response.

        Raises ReadTimeout, and trio.BrokenResourceError or h11.RemoteProtocolError if the connection breaks, the peer
        closes early or violates the protocol.
        """
        for _ in range(MAX_INTERIM_HEADS):
            event = await self._head_event()
            if isinstance(event, h11.Response):
                is_chunked = any(name == b"transfer-encoding" for name, _ in event.headers)
                self._trailer_limit = TrailerLimit() if is_chunked else None
                lengths = (int(value) for name, value in event.headers if name == b"content-length")
                self._stated_bytes = 0 if is_chunked else next(lengths, 0)
                return event
            if not isinstance(event, h11.InformationalResponse):
                raise h11.RemoteProtocolError("the connection closed before the answer began")
        raise h11.RemoteProtocolError("interim answers without end")

    def set_read_deadline(self, when_s: float) -> None:
        """Sets the time (trio's clock) from which reads raise ReadTimeout.

        Data that is already in the kernel's buffer at that time is still returned by one more read.
        """
        self._read_deadline_s = when_s
        self._read_after_deadline = False

    def limit_body(self, max_bytes: float) -> None:
        """Limits the body of the response whose head has been read. Raises BodyTooLargeError if the head states more.

        `chunks` raises it if a chunk states more, and beyond that many bytes.
        """
        self._size_limit = BodySizeLimit(max_bytes, is_chunked=self._trailer_limit is not None)
        self._size_limit.check_stated(self._stated_bytes)

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yields the body. Raises as `read_head` does, also if the body is shorter than its stated length."""
        while not self._is_complete:
            for chunk in await self._next_chunks():
                yield chunk
            if self._deferred_error is not None:
                raise self._deferred_error

    async def _next_chunks(self) -> list[bytes]:
        """Returns the next chunks of the body, none at its end. An error behind them is deferred.

        Parses as many as it may at once, since it must not keep its turn while the caller uses them.
        """
        chunks: list[bytes] = []
        try:
            while not (chunks and self.parser.must_wait):
                event = await self._body_event()
                if isinstance(event, h11.Data):
                    chunks.append(bytes(event.data))
                elif isinstance(event, h11.EndOfMessage):
                    self._is_complete = True
                    break
                elif event is not h11.NEED_DATA:
                    raise h11.RemoteProtocolError("the connection closed within the answer")
                elif chunks:
                    break
                else:
                    self.parser.pause()
                    await self._receive_more()
        except h11.RemoteProtocolError as error:
            self._deferred_error = error
        finally:
            self.parser.pause()
        return chunks

    async def _head_event(self) -> h11.Event | type[h11.PAUSED]:
        while True:
            if has_too_many_lines(self.conn.trailing_data[0]):
                raise h11.RemoteProtocolError(f"a head of more than {MAX_LINES} lines")
            event = self.conn.next_event()
            if event is not h11.NEED_DATA:
                return event  # type: ignore[return-value]
            await self._receive_more()

    async def _body_event(self) -> h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]:
        if self._trailer_limit is not None:
            self._check_chunked(self._trailer_limit, self.conn.trailing_data[0])
        event = await self.parser.next_event(self.conn.next_event)
        if not isinstance(event, h11.Data):
            return event
        if self._trailer_limit is not None:
            self._trailer_limit.observe(event)
        if self._size_limit is not None:
            self._size_limit.observe(event)
        return event

    def _check_chunked(self, trailer_limit: TrailerLimit, unparsed: bytes) -> None:
        """Checks what is about to be parsed of a chunked response. Raises h11.RemoteProtocolError."""
        if trailer_limit.is_exceeded(unparsed):
            raise h11.RemoteProtocolError(f"a trailer of more than {MAX_LINES} lines")
        if self._size_limit is not None:
            self._size_limit.check_next(unparsed)

    async def _receive_more(self) -> None:
        """Waits for more bytes of the response. Raises as `read_head` does."""
        data = await self._receive()
        self.parser.allow_free_events()
        self.conn.receive_data(data)
        held_bytes = self.kept_bytes + len(self.conn.trailing_data[0])
        if self.is_essential or held_bytes <= SMALL_RESPONSE_BYTES:
            self.account.release(held_bytes)
        elif self.account.try_reserve(held_bytes):
            self.account.received()
        else:
            raise h11.RemoteProtocolError("no memory is left for so long an answer")

    async def body(self, limit: int) -> bytes:
        """Returns the whole body. Raises as `chunks` does, and h11.RemoteProtocolError beyond `limit` bytes."""
        whole = bytearray()
        async for chunk in self.chunks():
            whole += chunk
            self.kept_bytes = len(whole)
            if len(whole) > limit:
                raise h11.RemoteProtocolError(f"the answer is longer than {limit} bytes")
        return bytes(whole)

    def close_now(self) -> None:
        """Closes without waiting; the kernel answers later bytes from the peer with a reset."""
        self.account.close()
        self.stream.socket.close()
        self.on_close(self)

    async def _receive(self) -> bytes:
        """Returns bytes of the response, or b"" once the peer has closed its sending side."""
        try:
            data = await self._receive_in_time()
        except trio.BrokenResourceError:
            self._record_end()
            raise
        if data:
            self.state = CallState.ANSWERED
        else:
            self._record_end()
        return data

    async def _receive_in_time(self) -> bytes:
        if trio.current_time() < self._read_deadline_s:
            with trio.CancelScope(deadline=self._read_deadline_s):
                return await self.stream.receive_some(CHUNK_BYTES)
        # The deadline has passed, but data that arrived before it may still be unread in the kernel's buffer.
        data = None if self._read_after_deadline else receive_now(self.stream, CHUNK_BYTES)
        self._read_after_deadline = True  # only once: a peer that never stops sending must time out too
        if data is None:
            raise ReadTimeout(f"{self.peer}: nothing came in time")
        return data

    def _record_end(self) -> None:
        if self.state is not CallState.ANSWERED:
            self.state = CallState.BROKE_UNANSWERED
