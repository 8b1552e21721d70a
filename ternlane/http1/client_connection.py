"""The calling side: one connection to a server, one request at a time."""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable, Sequence
from enum import Enum, auto
from math import inf

import h11
import trio

from ternlane.http1.errors import ConnectError, ReadTimeout
from ternlane.http1.nonblocking import is_readable, receive_now, send

Headers = Sequence[tuple[str, str]]

# Of one read.
CHUNK_BYTES = 65536
# Of an answer's head, or of a chunk's line.
HEAD_BYTES = 16384
# Heads that may come ahead of the answer's (status 1xx).
MAX_INTERIM_HEADS = 16


class CallState(Enum):
    """How far the present request has come."""

    NOT_SENT = auto()
    SENT = auto()  # to its last byte: it may run
    ANSWERED = auto()  # at least a byte of the answer is there
    BROKE_SENDING = auto()  # the connection broke before the last byte was written
    BROKE_UNANSWERED = auto()  # it broke after that, and before any byte of the answer


class ClientConnection:
    """One connection. `ask` sends a request and gives the head of the answer, `chunks` or `body` the rest."""

    def __init__(self, stream: trio.SocketStream, peer: str, local: tuple[str, int]) -> None:
        self.stream = stream
        self.peer = peer
        self.local = local
        self.conn = h11.Connection(h11.CLIENT, max_incomplete_event_size=HEAD_BYTES)
        self.state = CallState.NOT_SENT
        self.idle_since = 0.0  # s, trio's clock; set by the pool
        self.idled_ms: float | None = None  # how long it lay idle before this request; None: it is new
        self.has_served = False  # it has answered a request before
        self.on_close: Callable[[ClientConnection], None] = lambda _: None
        self._read_deadline_s = inf  # see `set_read_deadline`
        self._drained_after_deadline = False

    @property
    def written(self) -> bool:
        """Has the request's last byte been written, so that it may run?"""
        return self.state in (CallState.SENT, CallState.ANSWERED, CallState.BROKE_UNANSWERED)

    @property
    def broke(self) -> bool:
        """Did the connection break ahead of the answer, as one does that the peer had dropped while it was idle?"""
        return self.state in (CallState.BROKE_SENDING, CallState.BROKE_UNANSWERED)

    @property
    def reusable(self) -> bool:
        """Is the answer whole, with nothing behind it? What comes unasked could be taken for the next answer."""
        is_done = self.conn.our_state is h11.DONE and self.conn.their_state is h11.DONE
        return is_done and not self.conn.trailing_data[0]

    @property
    def dead(self) -> bool:
        """Has the peer closed, or sent something unasked, while the connection was idle?"""
        return is_readable(self.stream)

    async def ask(self, method: str, target: str, headers: Headers, body: bytes = b"") -> h11.Response:
        """Sends a request and returns the head of the answer. Raises what `send_request` and `read_head` raise."""
        await self.send_request(method, target, headers, body)
        return await self.read_head()

    async def send_request(self, method: str, target: str, headers: Headers, body: bytes = b"") -> None:
        """Raises ConnectError where the connection breaks before the request's last byte is written."""
        self.state = CallState.NOT_SENT
        head = [("Host", self.peer), *headers]
        if body or method != "GET":
            head.append(("Content-Length", str(len(body))))
        data = self.conn.send(h11.Request(method=method, target=target, headers=head)) or b""
        if body:
            data += self.conn.send(h11.Data(data=body)) or b""
        data += self.conn.send(h11.EndOfMessage()) or b""
        try:
            await send(self.stream, data)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            self.state = CallState.BROKE_SENDING
            raise ConnectError(f"{self.peer}: broke before all was written: {error}") from None
        self.state = CallState.SENT

    async def read_head(self) -> h11.Response:
        """The head of the answer.

        Raises ReadTimeout, and trio.BrokenResourceError or h11.RemoteProtocolError where the connection breaks or the
        peer breaks off.
        """
        for _ in range(MAX_INTERIM_HEADS):
            event = await self.event()
            if isinstance(event, h11.Response):
                return event
            if not isinstance(event, h11.InformationalResponse):
                raise h11.RemoteProtocolError("the connection closed before the answer began")
        raise h11.RemoteProtocolError("interim answers without end")

    async def event(self) -> h11.Event | type[h11.PAUSED]:
        """The next event of the answer. Raises as `read_head` does."""
        while True:
            event = self.conn.next_event()
            if event is not h11.NEED_DATA:
                return event  # type: ignore[return-value]
            self.conn.receive_data(await self._receive())

    def set_read_deadline(self, when_s: float) -> None:
        """Reads raise ReadTimeout from then on (trio's clock), but for what has arrived by then: that is read, once."""
        self._read_deadline_s = when_s
        self._drained_after_deadline = False

    async def chunks(self) -> AsyncIterator[bytes]:
        """The body's bytes. Raises as `read_head` does, also where the body ends short of its stated length."""
        while True:
            event = await self.event()
            if isinstance(event, h11.Data):
                yield bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                return
            else:
                raise h11.RemoteProtocolError("the connection closed within the answer")

    async def body(self, limit: int) -> bytes:
        """The whole body. Raises as `chunks` does, and h11.RemoteProtocolError for more than `limit` bytes."""
        whole = bytearray()
        async for chunk in self.chunks():
            whole += chunk
            if len(whole) > limit:
                raise h11.RemoteProtocolError(f"the answer is longer than {limit} bytes")
        return bytes(whole)

    def close_now(self) -> None:
        """Closes without waiting; what the peer still sends is answered by a reset."""
        self.stream.socket.close()
        self.on_close(self)

    async def _receive(self) -> bytes:
        """Bytes of the answer; b"" where the peer has ended its side."""
        try:
            data = await self._receive_in_time()
        except trio.BrokenResourceError:
            self._note_end()
            raise
        if data:
            self.state = CallState.ANSWERED
        else:
            self._note_end()
        return data

    async def _receive_in_time(self) -> bytes:
        if trio.current_time() < self._read_deadline_s:
            with trio.CancelScope(deadline=self._read_deadline_s):
                return await self.stream.receive_some(CHUNK_BYTES)
        # The deadline has passed: what the kernel holds has arrived by then, but was not read in time.
        data = None if self._drained_after_deadline else receive_now(self.stream, CHUNK_BYTES)
        self._drained_after_deadline = True  # one that never stops sending is not waited for either
        if data is None:
            raise ReadTimeout(f"{self.peer}: nothing came in time")
        return data

    def _note_end(self) -> None:
        if self.state is not CallState.ANSWERED:
            self.state = CallState.BROKE_UNANSWERED
