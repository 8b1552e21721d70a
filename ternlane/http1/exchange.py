"""One HTTP request on a client's connection, and the answer to it."""

from __future__ import annotations

from collections.abc import Callable, Sequence

import h11
import trio

from ternlane.http1.nonblocking import has_hung_up, send_now

# Of one read.
RECEIVE_BYTES = 65536
# Kept of what a client sends before its answer; as much as one read may bring.
EARLY_BYTES = 65536


class Exchange:
    """One request and its answer. The answer is written by `answer`, or by `begin`, `chunk` and `end`."""

    def __init__(
        self,
        stream: trio.SocketStream,
        conn: h11.Connection,
        request: h11.Request,
        send_ms: float,
        arrived: float | None = None,
        closing: Callable[[], bool] = lambda: False,
    ) -> None:
        """`send_ms`: for how long a client may take nothing. `arrived`: when the request's first byte was there (s,
        trio's clock). `closing`: whether the connection is to end with this answer, asked when its head is written."""
        self.stream = stream
        self.conn = conn
        self.request = request
        self.send_ms = send_ms
        self.closing = closing
        self.body = b""
        self.begun = False
        self.early = 0  # bytes that came behind the request while it was served
        self.overrun = False  # more of them than are kept
        self.pipelined = False  # a further request began to come before this one's answer was complete
        self.finishing = False  # the last bytes of the answer are being written, or have been
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
        """The request's target up to its query."""
        return self.request.target.partition(b"?")[0].decode("latin-1")

    @property
    def query(self) -> str:
        """The request's query, as it stands; "" for none."""
        return self.request.target.partition(b"?")[2].decode("latin-1")

    def header(self, name: bytes) -> str | None:
        """The first header of this name, which is in small letters; None where there is none."""
        return next((value.decode("latin-1") for key, value in self.request.headers if key == name), None)

    async def send(self, data: bytes) -> None:
        """Raises trio.BrokenResourceError where the client has left, or does not take its bytes in time."""
        sent = send_now(self.stream, data)
        if sent == len(data):
            return
        with trio.move_on_after(self.send_ms / 1000) as scope:
            await self.stream.send_all(memoryview(data)[sent:])
        if scope.cancelled_caught:
            raise trio.BrokenResourceError("the client takes nothing")

    async def answer(
        self, status: int, headers: Sequence[tuple[str, str]], body: bytes, content: str = "application/json"
    ) -> None:
        """Writes a whole answer. Raises as `send` does."""
        self.begun = True
        head = [("Content-Type", content), ("Content-Length", str(len(body))), *headers, *self._connection_header()]
        out = self.conn.send(h11.Response(status_code=status, headers=head)) or b""
        out += self.conn.send(h11.Data(data=body)) or b""
        out += self.conn.send(h11.EndOfMessage()) or b""
        self._finish()
        await self.send(out)

    async def begin(self, status: int, headers: Sequence[tuple[str, str]], first: bytes = b"") -> None:
        """Writes the head of a streamed answer, together with its first bytes. Raises as `send` does."""
        self.begun = True
        head = [*headers, *self._connection_header()]
        out = self.conn.send(h11.Response(status_code=status, headers=head)) or b""
        if first:
            out += self.conn.send(h11.Data(data=first)) or b""
        await self.send(out)

    def _connection_header(self) -> list[tuple[str, str]]:
        return [("Connection", "close")] if self.closing() else []

    async def chunk(self, data: bytes) -> None:
        """Writes further bytes of a streamed answer. Raises as `send` does."""
        await self.send(self.conn.send(h11.Data(data=data)) or b"")

    async def end(self, last: bytes = b"") -> None:
        """Ends a streamed answer. Raises as `send` does."""
        out = (self.conn.send(h11.Data(data=last)) or b"") if last else b""
        out += self.conn.send(h11.EndOfMessage()) or b""
        self._finish()
        await self.send(out)

    def _finish(self) -> None:
        """From here on the client may have the whole answer, and what it sends is its next request."""
        self.finishing = True
        self.pipelined = bool(self.conn.trailing_data[0])

    def reset(self) -> None:
        """Breaks the connection off, as a faulty peer does; for fake servers alone."""
        self.stream.socket.close()

    async def wait_until_disconnected(self) -> None:
        """Returns when the client has closed its side. What it sends meanwhile is kept for its turn, up to a bound;
        reading goes on beyond that too, or such a client could not be seen leaving."""
        while True:
            try:
                data = await self.stream.receive_some(RECEIVE_BYTES)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                return
            if not data:
                return
            if self.finishing:  # the answer's last bytes are still being written: this is the next request
                self.conn.receive_data(data)
                await trio.sleep_forever()
            self.early += len(data)
            self.overrun = self.overrun or self.early > EARLY_BYTES
            if not self.overrun:
                self.conn.receive_data(data)

    @property
    def closed(self) -> bool:
        """Has the client closed its side already? For the moment before `wait_until_disconnected` has heard of it."""
        return has_hung_up(self.stream)
