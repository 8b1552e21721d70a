"""Some streams are spoilt after their first events: a chunk that is said to have 3 GB and keeps coming."""

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
WITHIN_S = 5.0  # "provided the client's connection ends within 5 s and without the last chunk"
SLACK_S = 0.05  # "every time limit is 50 ms longer"
SPOILT_AFTER = 2
EVERY = 25  # one stream in so many
PLAY_S = 15.0


async def play(trouble: bool) -> tuple[bool, Record]:
    """Plays the case, with spoilt streams or without."""
    world = World(settings_of(CLASSES, drain_grace_ms=2000.0), 2, {"summary": 10.0, "case-note": 12.0})
    record = world.record

    def spoilt_after(request_id: str) -> int | None:
        return SPOILT_AFTER if trouble and int(request_id, 16) % EVERY == 0 else None

    try:
        await world.open(readers=2, writers=3)
        for server in world.servers.values():
            server.spoilt_after = spoilt_after
        await world.clients.load(world.gateways, 10.0, record.now() + PLAY_S)
        await world.clients.finish(20.0)  # what is open after that is ended from here
        ended = record.now()
        await asyncio.sleep(0.2)
    finally:
        await world.close()
    spoilt = {request_id: when for server in world.servers.values() for request_id, when in server.spoilt.items()}
    broken = 0
    for each in world.clients.answers:
        if each.request_id in spoilt:
            lasted = (each.ended_s or ended) - spoilt[each.request_id]
            is_broken = lasted > WITHIN_S + SLACK_S or each.end in ("streamed", "ended in part")
            what = f"{each.end}, {lasted:.2f} s after its stream was spoilt, {each.events} events"
        else:
            is_broken = each.end not in ("streamed", "refused", "failed")
            what = each.end
        if is_broken:
            broken += 1
            record.say(f"BROKEN: {each.request_id} ({each.request_class}): {what}")
    record.say(f"VERDICT: {broken} requests lost, {len(spoilt)} streams spoilt, {len(world.clients.answers)} requests")
    return bool(broken), record


if __name__ == "__main__":
    sys.exit(verdict(Path(__file__).resolve().parent, play))
