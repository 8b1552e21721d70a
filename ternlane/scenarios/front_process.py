"""The process of a run with the fake front layer."""

from __future__ import annotations

from pathlib import Path

import trio

from ternlane.scenarios.layout import RunLayout
from ternlane.scenarios.signals import run_until_signal
from ternlane.testing.front import FakeFrontLayer
from ternlane.testing.traffic import TrafficLog

LISTEN_BACKLOG = 4096


async def run_front(folder: Path, index: int, count: int) -> None:
    """Runs the front layer until SIGTERM or SIGINT. There is only one, so `count` is not used."""
    layout = RunLayout.load(folder)
    traffic = TrafficLog(folder / "front.jsonl")
    front = FakeFrontLayer(layout.gateways, layout.scenario.front_notice_ms, traffic)

    async def run(nursery: trio.Nursery) -> None:
        host, port = layout.front
        listeners = await trio.open_tcp_listeners(port, host=host, backlog=LISTEN_BACKLOG)
        (folder / f"front-{index}.ready").touch()
        await front.run(listeners)

    try:
        await run_until_signal(run)
    finally:
        traffic.close()
