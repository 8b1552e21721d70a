"""Serves the gateway's metrics over HTTP on a separate listener."""

from __future__ import annotations

import trio

from ternlane.gateway.metrics import GatewayMetrics
from ternlane.http1 import Exchange, serve_connection

METRICS_PATH = "/metrics"
MAX_BODY_BYTES = 1024  # a scrape has no body
READ_TIMEOUT_MS = 5e3  # each for reading the head, reading the body and sending the answer; scrapers are close by
IDLE_TIMEOUT_MS = 60e3  # longer than the usual scrape interval


async def serve_metrics(metrics: GatewayMetrics, stream: trio.SocketStream) -> None:
    """Serves one connection."""

    async def handle(exchange: Exchange) -> None:
        """Answers one scrape."""
        if exchange.path == METRICS_PATH:
            await exchange.answer(200, [], metrics.text(), "text/plain; version=0.0.4")
        else:
            await exchange.answer(404, [], b"")

    await serve_connection(
        stream,
        handler=handle,
        body_bytes=MAX_BODY_BYTES,
        head_ms=READ_TIMEOUT_MS,
        body_ms=READ_TIMEOUT_MS,
        idle_ms=IDLE_TIMEOUT_MS,
        send_ms=READ_TIMEOUT_MS,
    )
