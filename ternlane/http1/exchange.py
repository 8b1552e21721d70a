"""One HTTP request on a client's connection and the response to it."""

from __future__ import annotations

from collections.abc import Callable, Sequence

import h11
import trio

from ternlane.http1.buffer_memory import BufferAccount, BufferMemory, do_nothing, has_nothing_unread
from ternlane.http1.nonblocking import has_hung_up, send_now

# Largest single read. Also what one connection may hold unparsed while others have their turns.
RECEIVE_BYTES = 16384
# Bytes buffered of what a client sends before its response is complete.
MAX_EARLY_BYTES = 65536


class Exchange:
    """A request and its response, which is written with `answer`, or with `begin`, `chunk` and `end`."""

    def __init__(
        self,
        stream: trio.SocketStream,
        conn: h11.Connection,
        request: h11.Request,
        send_ms: float,
        arrived: float | None = None,
        closing: Callable[[], bool] = lambda: False,
        account: BufferAccount | None = None,
    ) -> None:
        """`send_ms` is the send time-out and `arrived` when the request's first byte was received (s, trio's clock).
        `closing`, called when the response head is written, returns whether the connection closes after this
        response. `account` counts what the connection holds, with the body, until `body_dropped`."""
        self.stream = stream
        self.conn = conn
        self.request = request
        self.send_ms = send_ms
        self.closing = closing
        self.account = account or BufferMemory().open_account(do_nothing, has_nothing_unread)
        self.body = b""
        self.begun = False
        self.early_bytes = 0  # bytes received after the request while it was handled
        self.early_overflow = False  # they exceed the buffer
        self.pipelined = False  # bytes of a further request arrived before this response was complete
        self.finishing = False  # the last bytes of the response are being written, or have been
        self.arrived = trio.current_time() if arrived is None else arrived

    @property
    def peer(self) -> tuple[str, int]:
        """The client's address. Raises OSError once the connection is gone."""
        name: tuple[str, int] = self.stream.socket.getpeername()[:2]
        return name

    @property
    def method(self) -> str:
        """The request's method."""
        return self.request.method.decode("ascii")

    @property
    def path(self) -> str:
        """The request target without its query."""
        return self.request.target.partition(b"?")[0].decode("latin-1")

    @property
    def query(self) -> str:
        """The raw query of the request target, or "" for none."""
        return self.request.target.partition(b"?")[2].decode("latin-1")

    def header(self, name: bytes) -> str | None:
        """Returns the first header of this name (in lower case), or None."""
        return next((value.decode("latin-1") for key, value in self.request.headers if key == name), None)

    def body_dropped(self) -> None:
        """The body is not needed any more, and whoever has taken it has dropped it."""
        self.body = b""
        self.account.release(len(self.conn.trailing_data[0]))

    async def send(self, data: bytes) -> None:
        """Sends bytes to the client. Raises trio.BrokenResourceError if it has disconnected or does not read within
        `send_ms`."""
        sent = send_now(self.stream, data)
        if sent == len(data):
            return
        with trio.move_on_after(self.send_ms / 1000) as scope:
            await self.stream.send_all(memoryview(data)[sent:])
        if scope.cancelled_caught:
            raise trio.BrokenResourceError("the client did not read in time")

    async def answer(
        self, status: int, headers: Sequence[tuple[str, str]], body: bytes, content: str = "application/json"
    ) -> None:
        """Writes a complete response. Raises as `send` does."""
        self.begun = True
        head = [("Content-Type", content), ("Content-Length", str(len(body))), *headers, *self._connection_header()]
        out = self.conn.send(h11.Response(status_code=status, headers=head)) or b""
        out += self.conn.send(h11.Data(data=body)) or b""
        out += self.conn.send(h11.EndOfMessage()) or b""
        self._finish()
        await self.send(out)

    async def begin(self, status: int, headers: Sequence[tuple[str, str]], first: bytes = b"") -> None:
        """Writes the head of a streamed response together with its first bytes. Raises as `send` does."""
        self.begun = True
        head = [*headers, *self._connection_header()]
        out = self.conn.send(h11.Response(status_code=status, headers=head)) or b""
        if first:
            out += self.conn.send(h11.Data(data=first)) or b""
        await self.send(out)

    def _connection_header(self) -> list[tuple[str, str]]:
        return [("Connection", "close")] if self.closing() else []

    async def chunk(self, data: bytes) -> None:
        """Writes further bytes of a streamed response. Raises as `send` does."""
        await self.send(self.conn.send(h11.Data(data=data)) or b"")

    async def end(self, last: bytes = b"") -> None:
        """Ends a streamed response. Raises as `send` does."""
        out = (self.conn.send(h11.Data(data=last)) or b"") if last else b""
        out += self.conn.send(h11.EndOfMessage()) or b""
        self._finish()
        await self.send(out)

    def _finish(self) -> None:
        """Marks the point after which bytes from the client belong to its next request, as the client may have received
        the response by then."""
        self.finishing = True
        self.pipelined = bool(self.conn.trailing_data[0])

    def reset(self) -> None:
        """Closes the socket abruptly, as a faulty peer does. Only for the fake servers of tests."""
        self.stream.socket.close()

    async def wait_until_disconnected(self) -> None:
        """Returns when the client has closed its side.

        Bytes received meanwhile are buffered for the next request, up to a limit. Reading continues beyond the
        limit, since the disconnect could not be detected otherwise.
        """
        while True:
            try:
                data = await self.stream.receive_some(RECEIVE_BYTES)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                return
            if not data:
                return
            if self.finishing:  # the response's last bytes are still being written: this is the next request
                self.account.hold_small(len(data))
                self.conn.receive_data(data)
                await trio.sleep_forever()
            self.early_bytes += len(data)
            self.early_overflow = self.early_overflow or not self._has_room_for_early(len(data))
            if not self.early_overflow:
                self.conn.receive_data(data)

    def _has_room_for_early(self, more_bytes: int) -> bool:
        if self.early_bytes <= RECEIVE_BYTES:
            self.account.hold_small(self.early_bytes)
            return True
        return self.early_bytes <= MAX_EARLY_BYTES and self.account.try_reserve(
            self.account.reserved_bytes + more_bytes
        )

    @property
    def closed(self) -> bool:
        """Whether the client has closed its side, even if `wait_until_disconnected` has not run since."""
        return has_hung_up(self.stream)
