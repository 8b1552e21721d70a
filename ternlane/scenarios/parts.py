"""The processes of a day beside the gateways: a part of the fleet, a part of the clients, the front layer."""

from __future__ import annotations

import json
import signal
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Awaitable, Callable

import trio

from ternlane.scenarios.plan import Act, acts_of, address_of, engines_of, habits_of, talks_of, zones_of, ENGINE_NET
from ternlane.scenarios.script import (
    AnswerLost,
    Burst,
    DayScript,
    HandshakeSlow,
    HeavyTail,
    HotKey,
    Neighbour,
    OriginSlow,
    Pauses,
    Slow,
    StreamBroken,
    TenantRush,
    ZoneCut,
)
from ternlane.config import read_config
from ternlane.testing.clients import Clients, Tenant
from ternlane.testing.engine import FakeEngine
from ternlane.testing.front import Front
from ternlane.testing.traffic import Progress, Traffic, clock_ms


@dataclass(frozen=True)
class Scene:
    """What all processes of a run share: the folder, the script, when it begins, and who listens where."""

    folder: Path
    day: DayScript
    begin_ms: float
    engine_port: int
    gateways: dict[str, tuple[str, int]]
    front: tuple[str, int]
    registry: tuple[str, int]

    @classmethod
    def load(cls, folder: Path) -> Scene:
        raw = json.loads((folder / "scene.json").read_text())
        return cls(
            folder,
            read_config(folder / "day.json5", DayScript),
            raw["begin_ms"],
            raw["engine_port"],
            {k: (v[0], v[1]) for k, v in raw["gateways"].items()},
            tuple(raw["front"]),
            tuple(raw["registry"]),
        )

    def save(self) -> None:
        raw = {
            "begin_ms": self.begin_ms,
            "engine_port": self.engine_port,
            "gateways": self.gateways,
            "front": self.front,
            "registry": self.registry,
        }
        (self.folder / "scene.json").write_text(json.dumps(raw))

    async def until(self, at_ms: float) -> None:
        """Sleeps until so many milliseconds after the day's begin."""
        await trio.sleep(max(0.0, self.begin_ms + at_ms - clock_ms()) / 1000)


async def stopped_by_signal(scope: trio.CancelScope) -> None:
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            scope.cancel()
            return


async def until_signal(run: Callable[[trio.Nursery], Awaitable[None]]) -> None:
    async with trio.open_nursery() as nursery:
        nursery.start_soon(stopped_by_signal, nursery.cancel_scope)
        await run(nursery)
        nursery.cancel_scope.cancel()


# -- the fleet


def strike(engine: FakeEngine, act: Act, zone_number: int) -> None:
    """Lets a trouble begin, turn or end at one engine."""
    how, _, kind = act.what.partition(" ")
    on, t = how != "end", engine.fault
    match act.trouble:
        case Slow(times=times):
            t.slowdown = times if on else 1.0
        case Pauses(pause_ms=pause):
            t.paused_until_ms = clock_ms() + pause if on else 0.0
        case Neighbour(share=share):
            t.cpu_taken_share = share if on and not (act.args and act.args[0] % 2) else 0.0
        case AnswerLost(share=share, how=way):
            t.lost_answer_share, t.lost_by_reset = (share, way == "reset") if on else (0.0, False)
        case StreamBroken(share=share, how=by):
            t.broken_stream_share, t.broken_by = share if on else 0.0, by
        case HandshakeSlow(added_ms=added):
            t.handshake_delay_ms = added if on else 0.0
        case OriginSlow(times=times):
            t.link_slowdown = times if on else 1.0
        case ZoneCut():
            cut_zone: int = act.args[0]

            def cut(peer: str) -> bool:
                return (int(peer.split(".")[2]) - 1 == cut_zone) != (zone_number == cut_zone)

            t.is_cut_off = cut if on else (lambda _: False)
            engine.close_cut_off()
        case _ if kind == "hang":
            t.hung = on
        case _ if kind == "flush":
            engine.prefix_cache.clear()
    engine.speed_changed()


async def fleet_part(folder: Path, index: int, of: int) -> None:
    scene = Scene.load(folder)
    traffic = Traffic(folder / f"fleet-{index}.jsonl")
    zones = zones_of(scene.day)
    lines = {e.number: e for e in engines_of(scene.day) if e.number % of == index}
    engines = {
        n: FakeEngine(
            e.ident,
            e.role,
            e.zone,
            e.cell,
            e.host,
            scene.engine_port + n,
            e.build,
            traffic,
            scene.day.seed,
            address_of(ENGINE_NET, zones.index(e.zone)),
        )
        for n, e in lines.items()
    }

    async def run(nursery: trio.Nursery) -> None:
        for engine in engines.values():
            nursery.start_soon(engine.run, nursery)
        (folder / f"fleet-{index}.ready").touch()
        for act in acts_of(scene.day):
            await scene.until(act.at_ms)
            for n in act.on:
                if n not in engines or act.what.endswith("gateway"):
                    continue
                engine = engines[n]
                if act.what == "die":
                    engine.die()
                elif act.what == "live":
                    engine.started_ms = clock_ms()
                    nursery.start_soon(engine.run, nursery)
                elif act.what != "drain":
                    strike(engine, act, zones.index(engine.zone))
        await trio.sleep_forever()

    try:
        await until_signal(run)
    finally:
        traffic.close()


# -- the clients


def weather_acts(clients: Clients, act: Act) -> None:
    on, w = act.what.startswith("begin"), clients.conditions
    match act.trouble:
        case Burst(times=times):
            w.rate = times if on else 1.0
        case HeavyTail(share=share, times=times, request_class=request_class):
            w.long_part, w.long_times, w.long_request_class = (share, times, request_class) if on else (0.0, 1.0, "")
        case TenantRush(share=share):
            w.rush_part = share if on else 0.0
        case HotKey(share=share, keys=keys, tokens=tokens):
            w.hot_part, w.hot_keys, w.hot_tokens, w.hot_seed = (
                (share, keys, tokens, w.hot_seed + 1) if on else (0.0, 1, tokens, w.hot_seed)
            )


async def clients_part(folder: Path, index: int, of: int) -> None:
    scene = Scene.load(folder)
    traffic = Traffic(folder / f"clients-{index}.jsonl")
    shown = Progress(folder / f"clients-{index}.progress")
    host, port = scene.front
    clients = Clients(
        f"c{index}", f"{host}:{port}", talks_of(scene.day), habits_of(scene.day), traffic, scene.day.seed * 1000 + index
    )
    if (folder / "keys.json").exists():
        clients.set_tenants([Tenant(name, key) for name, key in json.loads((folder / "keys.json").read_text())])

    async def progress() -> None:
        while True:
            shown.add({"open": clients.open, **clients.outcomes})
            await trio.sleep(0.5)

    async def weather() -> None:
        for act in acts_of(scene.day):
            await scene.until(act.at_ms)
            weather_acts(clients, act)

    async def run(nursery: trio.Nursery) -> None:
        (folder / f"clients-{index}.ready").touch()
        nursery.start_soon(progress)
        await scene.until(0)
        nursery.start_soon(weather)
        async with trio.open_nursery() as talks:
            await clients.run(lambda ms: scene.day.rate_at(ms) / of, scene.day.length_s * 1000, talks)
        shown.add({"open": 0, **clients.outcomes})

    try:
        await until_signal(run)
    finally:
        traffic.close()
        shown.close()


# -- the front layer


async def front_part(folder: Path, index: int, of: int) -> None:
    scene = Scene.load(folder)
    traffic = Traffic(folder / "front.jsonl")
    front = Front(scene.gateways, scene.day.front_notice_ms, traffic)

    async def run(nursery: trio.Nursery) -> None:
        listeners = await trio.open_tcp_listeners(scene.front[1], host=scene.front[0], backlog=4096)
        (folder / f"front-{index}.ready").touch()
        await front.run(listeners)

    try:
        await until_signal(run)
    finally:
        traffic.close()


PARTS: dict[str, Callable[[Path, int, int], Awaitable[Any]]] = {
    "fleet": fleet_part,
    "clients": clients_part,
    "front": front_part,
}


def wall_of(clock: float) -> float:
    """Seconds since 1970 of a moment on the machine's clock."""
    return time.time() - (clock_ms() - clock) / 1000
