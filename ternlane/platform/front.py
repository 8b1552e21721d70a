"""The clients' side: connections taken and closed, requests read, answers given."""

from __future__ import annotations

import errno
from typing import Any, Callable

import msgspec
import trio

from ternlane.http1 import BadRequest, CloseReason, Exchange, ServerConnection, ServerLimits
from ternlane.platform.node import Node
from ternlane.platform.protocol import BODY_BYTES, CHAT_PATH, READY_PATH, Wrong, parse_request
from ternlane.platform.active_request import Streamed, ActiveRequest
from ternlane.event_loop import Failed, Rejected, now_ms

HEAD_BYTES = 16384
# Who connects and sends no request is owed an end within 3 s of connecting (users' page); the rest is for the way.
# A slow client that goes on writing gets all of that time, on each of its connections and for each of its requests.
REQUEST_MS = 2700.0
IDLE_MS = 2300.0  # the users' page lets a connection without an open request go after 2 s
SEND_MS = 3000.0  # a client that takes nothing for so long has left
SHORT_OF = (errno.EMFILE, errno.ENFILE, errno.ENOMEM, errno.ENOBUFS)
ABORTED_MS = 10.0  # a pause of the accept loop, where the kernel says that a connection has gone already
SHORT_MS = 50.0  # and where descriptors or memory are short: what closes meanwhile makes room
QUEUE_EMPTY_MS = 10.0  # no connection for so long: the listener's queue is empty


class Front:
    """`conn_limit` connections at most: a new one takes the place of the one that has been idle for longest.
    `open_limit` requests at most, and `held_bytes` of their bodies: what is beyond is turned away unheard."""

    conn_limit: int
    open_limit: int
    held_bytes: int

    def __init__(self, node: Node, unseen_ms: Callable[[], float], log: Any) -> None:
        self.node, self.unseen_ms, self.log = node, unseen_ms, log
        self.open: set[ServerConnection] = set()
        self.idle: dict[ServerConnection, None] = {}  # the longest idle first
        self.draining = False
        self.reading_stopped = False
        self.ready = False
        self.limits = ServerLimits(
            BODY_BYTES,
            head_ms=REQUEST_MS,
            body_ms=REQUEST_MS,
            idle_ms=IDLE_MS,
            send_ms=SEND_MS,
            head_bytes=HEAD_BYTES,
            first_ms=REQUEST_MS,
        )

    async def accept(self, listener: trio.SocketListener, nursery: trio.Nursery) -> None:
        """Takes connections until the listener is closed."""
        while True:
            try:
                stream = await listener.accept()
            except trio.ClosedResourceError as why:
                if listener.socket.fileno() < 0:
                    return
                await self.accept_failed(why)
                continue
            except OSError as why:
                await self.accept_failed(why)
                continue
            if self.conns >= self.conn_limit and not self.displace():
                self.node.counts["refused conn_limit"] += 1
                stream.socket.close()
                continue
            self.take(stream, nursery)

    async def accept_the_rest(self, listener: trio.SocketListener, nursery: trio.Nursery, within_ms: float) -> None:
        """Takes what waits in the listener's queue, and returns once that is empty, or after `within_ms`, as where
        descriptors stay short or connections go on coming. Never raises."""
        by = trio.current_time() + within_ms / 1000
        while True:
            stream: trio.SocketStream | None = None
            failed: Exception | None = None
            with trio.move_on_after(QUEUE_EMPTY_MS / 1000):
                try:
                    stream = await listener.accept()
                except (OSError, trio.ClosedResourceError) as why:
                    failed = why
            if stream is not None:
                self.take(stream, nursery)
            if trio.current_time() >= by or (stream is None and failed is None):
                return
            if failed is not None:
                await self.accept_failed(failed)

    async def accept_failed(self, why: Exception) -> None:
        """Makes room where descriptors are short, and else waits for a moment: no failure to take one connection may
        end the others, and none is for ever while the listener is open."""
        number = why.errno if isinstance(why, OSError) else None
        self.node.counts[f"accept {errno.errorcode.get(number or 0, type(why).__name__)}"] += 1
        if number == errno.ECONNABORTED:  # it was reset while it waited to be taken
            await trio.sleep(ABORTED_MS / 1000)
            return
        if number not in SHORT_OF:
            self.log.error("accept", why=repr(why))
            await trio.sleep(SHORT_MS / 1000)
            return
        self.node.counts["no descriptors"] += 1
        for _ in range(1 + len(self.idle) // 8):  # attempts need some too
            if not self.displace():
                await trio.sleep(SHORT_MS / 1000)
                return

    def take(self, stream: trio.SocketStream, nursery: trio.Nursery) -> None:
        """Serves a connection in a task of its own."""
        connection = ServerConnection(
            stream,
            self.handle,
            self.limits,
            reject_reason=self.reject_reason,
            draining=lambda: self.draining,
            on_idle=self.idle_changed,
            on_close=self.closed,
        )
        if self.reading_stopped:
            connection.stop_reading()
        self.open.add(connection)
        nursery.start_soon(self.serve, connection)

    @property
    def conns(self) -> int:
        """How many clients' connections are open."""
        return len(self.open)

    def displace(self) -> bool:
        """Closes the connection that has been idle for longest, lest new clients find no way in."""
        return next((True for connection in list(self.idle) if connection.close_if_idle()), False)

    def close_idle(self, served_only: bool = False) -> None:
        """Closes the idle connections on which nothing has arrived; the others are answered, and end with that."""
        for connection in list(self.idle):
            if connection.served or not served_only:
                connection.close_if_idle(CloseReason.DRAINING)

    def idle_changed(self, connection: ServerConnection) -> None:
        if connection.idle:
            self.idle[connection] = None
        else:
            self.idle.pop(connection, None)

    def closed(self, reason: CloseReason) -> None:
        self.node.counts[f"connection {reason.name}"] += 1

    async def serve(self, connection: ServerConnection) -> None:
        """Serves one client's connection to its end."""
        try:
            await connection.serve()
        except Exception:  # a fault of this program must not take the other connections with it
            self.log.exception("connection")
        finally:
            self.open.discard(connection)

    def stop_reading(self) -> None:
        """Refuses what is not a whole request yet, from here on."""
        self.reading_stopped = True
        for connection in list(self.open):
            connection.stop_reading()

    def reject_reason(self, _: Exchange | None, bad: BadRequest) -> tuple[bytes, str]:
        self.node.counts[f"refused {bad.code}"] += 1
        return said(bad.code, bad.why), "application/json"

    async def handle(self, exchange: Exchange) -> None:
        route = exchange.method, exchange.path
        try:
            if route == ("POST", CHAT_PATH):
                await self.request(exchange)
            elif route == ("GET", READY_PATH):
                status = 200 if self.ready and not self.draining else 503
                await exchange.answer(status, [], b"ready\n" if status == 200 else b"not ready\n", "text/plain")
            elif exchange.path in (CHAT_PATH, READY_PATH):
                raise Wrong(405, "method", "this path is not asked that way")
            else:
                raise Wrong(404, "path", "nothing is served at this path")
        except Wrong as bad:
            raise BadRequest(bad.status, bad.why, bad.code) from None

    async def request(self, exchange: Exchange) -> None:
        headers: dict[bytes, str] = {}
        for name, value in exchange.request.headers:
            if name in headers and name.startswith((b"request-", b"affinity-")):
                raise Wrong(400, "twice", f"{name.decode()} is given twice")
            headers[bytes(name)] = text_of(value)
        node = self.node
        wish = parse_request(headers, exchange.body, node.deployment)
        if wish.ident in node.idents:
            raise Wrong(409, "open_id", "a request with this Request-Id is open")
        if (
            len(node.active_requests) >= self.open_limit
            or sum(len(t.body) for t in node.active_requests.values()) + len(exchange.body) > self.held_bytes
        ):
            node.counts["refused room"] += 1
            await exchange.answer(503, [], said("room", "this gateway holds as much as it may"))
            return
        request_class = node.deployment.request_classes[wish.request_class]
        # Counted from the request's last byte, as the users' page does: a slow client's time has only begun, and one
        # that came while this loop was busy has lost some of it already.
        patience = (
            (wish.client_timeout_ms or request_class.deadline_ms) - self.unseen_ms() - node.expected_lateness_ms()
        )
        request = node.deployment.request(
            request_class,
            wish.session,
            wish.prefix,
            wish.prefix_tokens,
            wish.prompt_tokens,
            wish.max_tokens,
            max(0.0, patience),
            wish.tenant,
        )
        active_request = ActiveRequest(wish.ident, request, exchange, exchange.body, now_ms())
        exchange.body = b""
        node.arrived(active_request)
        await self.answer(exchange, active_request)

    async def answer(self, exchange: Exchange, active_request: ActiveRequest) -> None:
        try:
            if not active_request.over:
                with active_request.watch:  # cancelled when the answer is settled
                    await exchange.until_left()
                    self.node.client_left(active_request)
        finally:
            if not active_request.over:  # ended from outside
                self.node.client_left(active_request)
        match active_request.final:
            case Streamed(whole=True):
                pass
            case Rejected(pause):
                head = [("Retry-After", f"{pause / 1000:.3f}")] if pause > 0 else []
                await exchange.answer(503, head, said("throttled", "nothing has run; a new try does no harm"))
            case Failed(why):
                await exchange.answer(502, [], said("terminated", why or "no server could finish it"))
            case _:  # it left, or its stream broke: the connection ends without the last chunk
                pass


def text_of(value: bytes) -> str:
    """A header's value: UTF-8 where it is that, as names in the settings are, else the letters of ISO 8859-1."""
    try:
        return value.decode()
    except UnicodeDecodeError:
        return value.decode("latin-1")


def said(code: str, why: str) -> bytes:
    return msgspec.json.encode({"error": {"code": code, "message": why}})
