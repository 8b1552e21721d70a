"""A process of a run, with a share of the fake engines, whose faults it injects."""

from __future__ import annotations

from pathlib import Path

import trio

from ternlane.scenarios.fault_plan import FaultAction, fault_actions_of
from ternlane.scenarios.faults import (
    BrokenStream,
    CacheFlush,
    Hang,
    LostAnswer,
    NoisyNeighbour,
    Pauses,
    Slowdown,
    SlowHandshake,
    SlowLinks,
    ZoneCut,
)
from ternlane.scenarios.fleet_plan import ENGINE_NET, PlannedEngine, address_of, engines_of, zones_of
from ternlane.scenarios.layout import RunLayout
from ternlane.scenarios.signals import run_until_signal
from ternlane.testing.engine import FakeEngine
from ternlane.testing.traffic import TrafficLog, clock_ms


async def run_fleet(folder: Path, index: int, count: int) -> None:
    """Runs share `index` of `count` until SIGTERM or SIGINT."""
    layout = RunLayout.load(folder)
    zones = zones_of(layout.scenario)
    traffic = TrafficLog(folder / f"fleet-{index}.jsonl")
    engines = {
        planned.number: _engine(layout, planned, zones, traffic)
        for planned in engines_of(layout.scenario)
        if planned.number % count == index
    }

    async def run(nursery: trio.Nursery) -> None:
        for engine in engines.values():
            nursery.start_soon(engine.run, nursery)
        (folder / f"fleet-{index}.ready").touch()
        for action in fault_actions_of(layout.scenario):
            await layout.sleep_until(action.at_ms)
            if action.concerns_gateways:
                continue
            for number in action.on:
                if number in engines:
                    _apply_action(engines[number], action, zones, nursery)
        await trio.sleep_forever()

    try:
        await run_until_signal(run)
    finally:
        traffic.close()


def _engine(layout: RunLayout, planned: PlannedEngine, zones: list[str], traffic: TrafficLog) -> FakeEngine:
    return FakeEngine(
        ident=planned.ident,
        role=planned.role,
        zone=planned.zone,
        cell=planned.cell,
        host=planned.host,
        port=layout.engine_port + planned.number,
        profile=planned.profile,
        traffic=traffic,
        seed=layout.scenario.seed,
        source=address_of(ENGINE_NET, zones.index(planned.zone)),
    )


def _apply_action(engine: FakeEngine, action: FaultAction, zones: list[str], nursery: trio.Nursery) -> None:
    match action.what:
        case "die":
            engine.die()
        case "live":
            engine.started_ms = clock_ms()
            nursery.start_soon(engine.run, nursery)
        case "drain":  # only the registry lists it
            pass
        case _:
            _apply_fault(engine, action, zones.index(engine.zone))


def _apply_fault(engine: FakeEngine, action: FaultAction, zone: int) -> None:
    """Starts, switches or ends a fault at one engine."""
    on = not action.what.startswith("end")
    fault = engine.fault
    match action.fault:
        case Hang():
            fault.hung = on
        case Slowdown(times=times):
            fault.slowdown = times if on else 1.0
        case Pauses(pause_ms=pause_ms):
            fault.paused_until_ms = clock_ms() + pause_ms if on else 0.0
        case NoisyNeighbour(share=share):
            odd_turn = bool(action.args) and action.args[0] % 2 == 1
            fault.cpu_taken_share = share if on and not odd_turn else 0.0
        case LostAnswer(share=share, how=how):
            fault.lost_answer_share = share if on else 0.0
            fault.lost_by_reset = on and how == "reset"
        case BrokenStream(share=share, how=how):
            fault.broken_stream_share = share if on else 0.0
            fault.broken_by = how
        case SlowHandshake(added_ms=added_ms):
            fault.handshake_delay_ms = added_ms if on else 0.0
        case SlowLinks(times=times):
            fault.link_slowdown = times if on else 1.0
        case ZoneCut():
            _cut_zone(engine, action.args[0], zone, on)
        case CacheFlush():
            engine.prefix_cache.clear()
    engine.notify_speed_changed()


def _cut_zone(engine: FakeEngine, cut_zone: int, own_zone: int, on: bool) -> None:
    """Cuts off one zone from all others. The zone of a peer is known from its address."""

    def is_cut_off(peer: str) -> bool:
        peer_zone = int(peer.split(".")[2]) - 1
        return (peer_zone == cut_zone) != (own_zone == cut_zone)

    engine.fault.is_cut_off = is_cut_off if on else (lambda _: False)
    engine.reset_cut_off_connections()
