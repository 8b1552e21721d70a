"""Serves client connections, up to a limit."""

from __future__ import annotations

import socket
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import Any

import trio

from ternlane.chat import error_body
from ternlane.config import ServerLimits
from ternlane.gateway.metrics import GatewayMetrics
from ternlane.http1 import BadRequest, Exchange, ParseTurns, serve_connection


class ClientConnections:
    """`open`: number of open connections. A change of `limits` applies from the next connection on."""

    def __init__(
        self,
        limits: ServerLimits,
        handle: Callable[[Exchange], Awaitable[None]],
        is_draining: Callable[[], bool],
        metrics: GatewayMetrics,
        log: Any,
        parse_turns: ParseTurns,
    ) -> None:
        self.limits = limits
        self.handle = handle
        self.is_draining = is_draining
        self.metrics = metrics
        self.log = log
        self.parse_turns = parse_turns
        self.open = 0

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serves one client connection; closes it at once if the limit is reached."""
        if self.open >= self.limits.conn_limit:
            stream.socket.close()
            self.metrics.refused.labels("conn_limit").inc()
            return
        self.open += 1
        self.metrics.conns.set(self.open)
        with suppress(OSError):
            stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)  # send each token without delay
        try:
            await self._serve(stream)
        except Exception:  # a defect in this program must not end the other connections
            self.log.exception("connection")
        finally:
            self.open -= 1
            self.metrics.conns.set(self.open)

    async def _serve(self, stream: trio.SocketStream) -> None:
        limits = self.limits
        await serve_connection(
            stream,
            self.handle,
            body_bytes=limits.body_bytes,
            head_ms=limits.head_ms,
            body_ms=limits.body_ms,
            idle_ms=limits.idle_ms,
            send_ms=limits.send_ms,
            error_body=self._bad_request,
            draining=self.is_draining,
            parse_turns=self.parse_turns,
        )

    def _bad_request(self, _: Exchange | None, bad: BadRequest) -> tuple[bytes, str]:
        self.metrics.refused.labels(bad.code).inc()
        return error_body(bad.status, bad.why, bad.code), "application/json"
