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
from ternlane.gateway.request_admission import RETRY_AFTER_S
from ternlane.http1 import BadRequest, Exchange, SharedLimits, serve_connection

# What all connections together may hold of request bodies and incomplete messages: so many of the largest bodies, and
# at least so many bytes.
MAX_LARGEST_BODIES = 64
MIN_MESSAGES_BYTES = 256 * 2**20


class ClientConnections:
    """`open`: number of open connections. A change of the limits applies from the next connection on, that of the
    shared memory at once."""

    def __init__(
        self,
        limits: ServerLimits,
        handle: Callable[[Exchange], Awaitable[None]],
        is_draining: Callable[[], bool],
        metrics: GatewayMetrics,
        log: Any,
        shared_limits: SharedLimits,
    ) -> None:
        self.shared_limits = shared_limits
        self.alter(limits)
        self.handle = handle
        self.is_draining = is_draining
        self.metrics = metrics
        self.log = log
        self.open = 0

    def alter(self, limits: ServerLimits) -> None:
        """Applies changed limits."""
        self.limits = limits
        self.shared_limits.memory.limit_bytes = max(MIN_MESSAGES_BYTES, MAX_LARGEST_BODIES * limits.body_bytes)

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
            shared_limits=self.shared_limits,
            retry_after_ms=lambda: RETRY_AFTER_S * 1000,
        )

    def _bad_request(self, _: Exchange | None, bad: BadRequest) -> tuple[bytes, str]:
        self.metrics.refused.labels(bad.code).inc()
        return error_body(bad.status, bad.why, bad.code), "application/json"
