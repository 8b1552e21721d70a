"""The clients' side: connections taken and let go, requests read, answers given."""
from __future__ import annotations

import errno
from collections import OrderedDict
from typing import Any

import msgspec
import trio

from ternlane.http1 import BadRequest, Exchange, serve_connection
from ternlane.platform.node import Node, Streamed, Ticket
from ternlane.platform.protocol import BODY_BYTES, CHAT_PATH, READY_PATH, Wrong, wish_of
from ternlane.turns import Terminated, Throttled, now_ms

HEAD_BYTES = 16384
FIRST_MS = 2200.0    # from a connection's start to its first request's end: who sends nothing is owed an end within 3 s
HEAD_MS = BODY_MS = 1200.0
IDLE_MS = 2300.0     # the page lets a connection without an open request go after 2 s
SEND_MS = 3000.0     # a client that takes nothing for so long has left
SHORT_OF = (errno.EMFILE, errno.ENFILE, errno.ENOMEM, errno.ENOBUFS, errno.ECONNABORTED)


class Front:
    """`conn_limit` connections at most: a new one takes the place of the one that has been idle for longest.
    `open_limit` generations at most, and `held_bytes` of their bodies: what is beyond is turned away unheard."""

    def __init__(self, node: Node, log: Any, conn_limit: int, open_limit: int, held_bytes: int) -> None:
        self.node, self.log = node, log
        self.conn_limit, self.open_limit, self.held_bytes = conn_limit, open_limit, held_bytes
        self.conns = 0
        self.idle: OrderedDict[trio.SocketStream, bool] = OrderedDict()    # whether it has been served
        self.draining = False
        self.ready = False

    async def accept(self, listener: trio.SocketListener, nursery: trio.Nursery) -> None:
        while True:
            try:
                stream = await listener.accept()
            except trio.ClosedResourceError:
                return
            except OSError as why:
                if why.errno not in SHORT_OF:
                    raise
                self.node.counts["no descriptors"] += 1
                for _ in range(1 + len(self.idle) // 8):    # legs need some too
                    if not self.displace():
                        await trio.sleep(0.05)    # what closes meanwhile makes room
                continue
            if self.conns >= self.conn_limit and not self.displace():
                self.node.counts["refused conn_limit"] += 1
                stream.socket.close()
                continue
            self.conns += 1
            nursery.start_soon(self.connection, stream)

    def displace(self) -> bool:
        """Closes the connection that has been idle for longest, lest new clients find no door."""
        if not self.idle:
            return False
        stream, _ = self.idle.popitem(last=False)
        stream.socket.close()
        return True

    def close_idle(self, served: bool = False) -> None:
        for stream, was_served in list(self.idle.items()):
            if was_served or not served:
                del self.idle[stream]
                stream.socket.close()

    async def last(self, listener: trio.SocketListener, nursery: trio.Nursery) -> None:
        """Takes what waits at the listener."""
        while True:
            stream = None
            with trio.move_on_after(0.01):
                stream = await listener.accept()
            if stream is None:
                return
            self.conns += 1
            nursery.start_soon(self.connection, stream)

    async def connection(self, stream: trio.SocketStream) -> None:
        served = False

        def resting(rests: bool) -> None:
            nonlocal served
            if rests:
                self.idle[stream] = served
            else:
                self.idle.pop(stream, None)
                served = True

        try:
            await serve_connection(
                stream, self.handle, body_bytes=BODY_BYTES, head_ms=HEAD_MS, body_ms=BODY_MS, idle_ms=IDLE_MS,
                send_ms=SEND_MS, refusal=self.refusal, draining=lambda: self.draining, head_bytes=HEAD_BYTES,
                first_ms=FIRST_MS, resting=resting)
        except Exception:    # a fault of this program must not take the other connections with it
            self.log.exception("connection")
        finally:
            self.conns -= 1
            self.idle.pop(stream, None)

    def refusal(self, _: Exchange | None, bad: BadRequest) -> tuple[bytes, str]:
        self.node.counts[f"refused {bad.code}"] += 1
        return said(bad.code, bad.why), "application/json"

    async def handle(self, exchange: Exchange) -> None:
        route = exchange.method, exchange.path
        try:
            if route == ("POST", CHAT_PATH):
                await self.generation(exchange)
            elif route == ("GET", READY_PATH):
                status = 200 if self.ready and not self.draining else 503
                await exchange.answer(status, [], b"ready\n" if status == 200 else b"not ready\n", "text/plain")
            elif exchange.path in (CHAT_PATH, READY_PATH):
                raise Wrong(405, "method", "this path is not asked that way")
            else:
                raise Wrong(404, "path", "nothing is served at this path")
        except Wrong as bad:
            raise BadRequest(bad.status, bad.why, bad.code) from None

    async def generation(self, exchange: Exchange) -> None:
        headers: dict[bytes, str] = {}
        for name, value in exchange.request.headers:
            if name in headers and name.startswith((b"request-", b"affinity-")):
                raise Wrong(400, "twice", f"{name.decode()} is given twice")
            headers[bytes(name)] = value.decode("latin-1")
        node = self.node
        wish = wish_of(headers, exchange.body, node.deployment)
        if wish.ident in node.idents:
            raise Wrong(409, "open_id", "a request with this Request-Id is open")
        if len(node.tickets) >= self.open_limit or \
                sum(len(t.body) for t in node.tickets.values()) + len(exchange.body) > self.held_bytes:
            node.counts["refused room"] += 1
            await exchange.answer(503, self.closing(), said("room", "this gateway holds as much as it may"))
            return
        product = node.deployment.products[wish.product]
        since = exchange.arrived * 1000
        patience = (wish.patience_ms or product.limit_ms) - (now_ms() - since) - node.lag_ms()
        gen = node.deployment.generation(product, wish.session, wish.opening, wish.opening_toks, wish.prompt_toks,
                                         wish.max_toks, max(0.0, patience), wish.tenant)
        ticket = Ticket(wish.ident, gen, exchange, exchange.body, now_ms(), self.draining)
        exchange.body = b""
        node.arrived(ticket)
        await self.answer(exchange, ticket)

    def closing(self) -> list[tuple[str, str]]:
        return [("Connection", "close")] if self.draining else []

    async def answer(self, exchange: Exchange, ticket: Ticket) -> None:
        try:
            if not ticket.over:
                with ticket.watch:    # cancelled when the answer is settled
                    await exchange.until_left()
                    self.node.client_left(ticket)
        finally:
            if not ticket.over:    # ended from outside
                self.node.client_left(ticket)
        match ticket.final:
            case Streamed(whole=True):
                pass
            case Throttled(pause):
                head = [("Retry-After", f"{pause / 1000:.3f}")] if pause > 0 else []
                await exchange.answer(503, [*head, *self.closing()],
                                      said("throttled", "nothing has run; a new try does no harm"))
            case Terminated(why):
                await exchange.answer(502, self.closing(), said("terminated", why or "no server could finish it"))
            case _:    # it left, or its stream broke: it ends without the last chunk
                exchange.reset()


def said(code: str, why: str) -> bytes:
    return msgspec.json.encode({"error": {"code": code, "message": why}})
