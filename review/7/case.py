"""Discovery is down while a model server drains and leaves; at its return the gateways are told both changes."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "standin2"))

from world import Record, World, settings_of, verdict  # noqa: E402

CLASSES = [
    {"name": "summary", "semantics": "idempotent", "aim": 2000.0, "deadline": 10000.0, "worth": 3.0},
    {"name": "case-note", "semantics": "at_most_once", "aim": 2500.0, "deadline": 12000.0, "worth": 2.0},
]
OUTAGE_S = 8.0  # "discovery is down for 8 s"


async def play(trouble: bool) -> tuple[bool, Record]:
    """Plays the case, with the outage or without it."""
    world = World(settings_of(CLASSES, drain_grace_ms=2000.0), 2, {"summary": 10.0, "case-note": 12.0})
    record = world.record
    try:
        await world.open(readers=2, writers=3)
        began = record.now()
        load = asyncio.ensure_future(world.clients.load(world.gateways, 20.0, began + 20.0))
        await asyncio.sleep(3.0)
        if trouble:
            world.set_down(True)
        await asyncio.sleep(2.0)
        world.change("s-w2", "DRAINING")
        await asyncio.sleep(4.0)  # it has finished its work by now
        world.change("s-w2", "DELETED")
        await asyncio.sleep(OUTAGE_S - 6.0)
        if trouble:
            world.set_down(False)
        await load
        await world.clients.finish(15.0)
        crashed = [gateway.name for gateway in world.gateways if gateway.crashed]
        for gateway in world.gateways:
            code = gateway.process.returncode if gateway.process is not None else None
            record.say(f"{gateway.name}: exit status {code}")
    finally:
        await world.close()
    lost = [each for each in world.clients.answers if each.end in ("closed", "cut", "nothing", "left waiting")]
    for each in lost:
        record.say(f"BROKEN: {each.request_id} ({each.request_class}) at {each.gateway} ended as {each.end}")
    for name in crashed:
        record.say(f"BROKEN: {name} ended by itself")
    record.say(f"VERDICT: {len(crashed)} gateways crashed, {len(lost)} of {len(world.clients.answers)} requests lost")
    return bool(crashed), record


if __name__ == "__main__":
    sys.exit(verdict(Path(__file__).resolve().parent, play))
