"""The process around one gateway: signals, reload, an orderly end."""
from __future__ import annotations

import signal
from typing import Any, Callable

import structlog
import trio

from ternlane.choice import Router
from ternlane.gateway.gateway import open_gateway
from ternlane.paper import GatewayPaper, PaperError, read_paper


async def run_gateway(path: str, paper: GatewayPaper, chooser: Callable[..., Any] | None = None) -> None:
    """Serves until SIGTERM or SIGINT, then drains; a second one ends it at once. SIGHUP reads the document again and
    takes over what can change without a restart."""
    log = structlog.get_logger(gateway=paper.name)
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
        async with open_gateway(paper, chooser or Router, log) as gateway:
            async for number in signals:
                if number != signal.SIGHUP:
                    break
                try:
                    changed, kept = gateway.reload(read_paper(path, GatewayPaper))
                    log.info("reloaded", changed=changed, needs_restart=kept)
                except PaperError as why:
                    log.error("reload refused", why=str(why))
            log.info("draining", open=len(gateway.host.tickets))
            async with trio.open_nursery() as nursery:
                async def at_once() -> None:
                    async for number in signals:
                        if number != signal.SIGHUP:
                            nursery.cancel_scope.cancel()
                            return
                nursery.start_soon(at_once)
                await gateway.drain()
                nursery.cancel_scope.cancel()
            log.info("ended")
