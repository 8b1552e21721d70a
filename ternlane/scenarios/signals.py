"""Orderly termination of a run's processes on SIGTERM or SIGINT."""

from __future__ import annotations

import signal
from collections.abc import Awaitable, Callable

import trio


async def run_until_signal(run: Callable[[trio.Nursery], Awaitable[None]]) -> None:
    """Runs `run` until it returns, or cancels it on SIGTERM or SIGINT."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_cancel_on_signal, nursery.cancel_scope)
        await run(nursery)
        nursery.cancel_scope.cancel()


async def _cancel_on_signal(scope: trio.CancelScope) -> None:
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            scope.cancel()
            return
