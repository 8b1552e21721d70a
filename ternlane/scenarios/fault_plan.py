"""What a scenario's faults come to: who is struck, how and when. The same in every process, by the seed."""

from __future__ import annotations

import random
import zlib
from collections.abc import Iterator
from dataclasses import dataclass
from itertools import count
from typing import Any

from ternlane.scenarios.faults import (
    AnyFault,
    CacheFlush,
    Crash,
    EngineFaultConfig,
    GatewayCrash,
    GatewayRestart,
    MassRestart,
    NoisyNeighbour,
    OriginSlow,
    Pauses,
    Preemption,
    Release,
    ZoneCut,
)
from ternlane.scenarios.fleet_plan import PlannedEngine, engines_of, zones_of
from ternlane.scenarios.scenario import Scenario

# The argument of a "die" that the registry learns of as soon as of a drain.
ANNOUNCED = "told"

Targets = tuple[int, ...]  # numbers of engines or gateways


@dataclass(frozen=True)
class FaultAction:
    """One thing that is done at a time: `what` to the engines or gateways numbered.

    `what` is "begin KIND", "turn KIND" or "end KIND" of a fault; "drain", "die" or "live" of engines; "start gateway",
    "stop gateway", "kill gateway" or "relieve gateway".
    """

    at_ms: float
    what: str
    on: Targets
    fault: AnyFault
    args: tuple[Any, ...] = ()

    @property
    def begins(self) -> bool:
        """Whether the fault begins with it."""
        return self.what.startswith("begin")

    @property
    def concerns_gateways(self) -> bool:
        """Whether `on` numbers gateways."""
        return self.what.endswith("gateway")


def fault_actions_of(scenario: Scenario) -> list[FaultAction]:
    """Every action of every fault, in the order of time."""
    engines = engines_of(scenario)
    actions: list[FaultAction] = []
    for index, fault in enumerate(scenario.troubles):
        rng = random.Random(zlib.crc32(f"{scenario.seed} trouble {index}".encode()))
        if isinstance(fault, GatewayCrash):
            actions += _gateway_crash(fault, _drawn(rng, range(scenario.gateways), fault.part))
        elif isinstance(fault, GatewayRestart):
            batch = max(1, round(fault.batch * scenario.gateways))
            actions += _gateway_restart(fault, _drawn(rng, range(scenario.gateways), fault.part), batch)
        elif isinstance(fault, EngineFaultConfig):
            actions += _engine_fault(fault, _struck_engines(fault, rng, engines), rng)
        else:
            actions += _other_fault(scenario, fault, engines)
    return sorted(actions, key=lambda action: action.at_ms)


def _drawn(rng: random.Random, among: range | list[int], part: float) -> Targets:
    """At least one, where there is any and the part is not nought."""
    many = max(1, round(part * len(among))) if among and part > 0 else 0
    return tuple(sorted(rng.sample(among, min(many, len(among)))))


def _struck_engines(fault: EngineFaultConfig, rng: random.Random, engines: list[PlannedEngine]) -> Targets:
    if fault.on is not None:
        return tuple(fault.on)
    among = [engine for engine in engines if fault.role in ("any", engine.role)]
    part = fault.part
    if isinstance(fault, MassRestart) and fault.role == "any":  # those struck are of one role
        role = rng.choice(sorted({engine.role for engine in among}))
        of_role = [engine for engine in among if engine.role == role]
        part = min(1.0, fault.part * len(among) / max(1, len(of_role)))
        among = of_role
    return _drawn(rng, [engine.number for engine in among], part)


def _batches(targets: Targets, size: int) -> list[Targets]:
    return [targets[begin : begin + size] for begin in range(0, len(targets), size)]


def _gateway_crash(fault: GatewayCrash, gateways: Targets) -> Iterator[FaultAction]:
    yield FaultAction(fault.at_ms, "kill gateway", gateways, fault)
    yield FaultAction(fault.end_ms, "start gateway", gateways, fault)


def _gateway_restart(fault: GatewayRestart, gateways: Targets, batch_size: int) -> Iterator[FaultAction]:
    """The batches follow each other evenly over the fault's time."""
    batches = _batches(gateways, batch_size)
    for index, batch in enumerate(batches):
        at_ms = fault.at_ms + (fault.end_ms - fault.at_ms) * index / len(batches)
        if fault.handover:
            yield FaultAction(at_ms, "relieve gateway", batch, fault)
            continue
        yield FaultAction(at_ms, "kill gateway" if fault.killed else "stop gateway", batch, fault)
        yield FaultAction(at_ms + fault.down_s * 1000, "start gateway", batch, fault)


def _engine_fault(fault: EngineFaultConfig, engines: Targets, rng: random.Random) -> Iterator[FaultAction]:
    if isinstance(fault, Crash):
        yield from _restarts(fault, engines, 0.0, rng)
    elif isinstance(fault, MassRestart):
        yield from _restarts(fault, engines, fault.within_s, rng)
    elif isinstance(fault, Preemption):
        yield from _preemption(fault, engines)
    elif isinstance(fault, Release):
        yield from _release(fault, engines)
    else:
        yield from _lasting_fault(fault, engines)


def _restarts(
    fault: Crash | MassRestart, engines: Targets, within_s: float, rng: random.Random
) -> Iterator[FaultAction]:
    for engine in engines:
        delay_ms = rng.random() * within_s * 1000
        yield FaultAction(fault.at_ms + delay_ms, "die", (engine,), fault)
        yield FaultAction(fault.end_ms + delay_ms, "live", (engine,), fault)


def _announced_restart(
    fault: Preemption | Release, engines: Targets, at_ms: float, drain_s: float, down_s: float
) -> Iterator[FaultAction]:
    yield FaultAction(at_ms, "drain", engines, fault)
    yield FaultAction(at_ms + drain_s * 1000, "die", engines, fault, (ANNOUNCED,))
    yield FaultAction(at_ms + (drain_s + down_s) * 1000, "live", engines, fault)


def _preemption(fault: Preemption, engines: Targets) -> Iterator[FaultAction]:
    """Each wave is drained when the one before it dies."""
    size = -(-len(engines) // fault.waves)
    for wave in range(fault.waves):
        at_ms = fault.at_ms + wave * fault.notice_s * 1000
        struck = engines[wave * size : (wave + 1) * size]
        yield from _announced_restart(fault, struck, at_ms, fault.notice_s, fault.for_s)


def _release(fault: Release, engines: Targets) -> Iterator[FaultAction]:
    """The batches follow each other evenly over the fault's time."""
    batches = _batches(engines, max(1, round(fault.batch * len(engines))))
    for index, batch in enumerate(batches):
        at_ms = fault.at_ms + (fault.end_ms - fault.at_ms) * index / len(batches)
        yield from _announced_restart(fault, batch, at_ms, fault.drain_s, fault.down_s)


def _lasting_fault(fault: EngineFaultConfig, engines: Targets) -> Iterator[FaultAction]:
    """One that begins, may turn off and on, and ends. `args` of a turn: its number, from 1."""
    assert isinstance(fault, AnyFault)
    yield FaultAction(fault.at_ms, f"begin {fault.kind}", engines, fault)
    if not isinstance(fault, CacheFlush):
        yield FaultAction(fault.end_ms, f"end {fault.kind}", engines, fault)
    if isinstance(fault, Pauses):
        yield from _turns(fault, engines, fault.every_s)
    elif isinstance(fault, NoisyNeighbour):
        yield from _turns(fault, engines, fault.turn_s)


def _turns(fault: Pauses | NoisyNeighbour, engines: Targets, every_s: float) -> Iterator[FaultAction]:
    for turn in count(1):
        at_ms = fault.at_ms + turn * every_s * 1000
        if at_ms >= fault.end_ms:
            return
        yield FaultAction(at_ms, f"turn {fault.kind}", engines, fault, (turn,))


def _other_fault(scenario: Scenario, fault: AnyFault, engines: list[PlannedEngine]) -> Iterator[FaultAction]:
    """Faults of traffic, network or registry. `args`: the index of the zone that is cut off, or None."""
    cut_zone = zones_of(scenario).index(fault.zone) if isinstance(fault, ZoneCut) else None
    struck: Targets = ()
    if isinstance(fault, (ZoneCut, OriginSlow)):
        struck = tuple(engine.number for engine in engines)
    yield FaultAction(fault.at_ms, f"begin {fault.kind}", struck, fault, (cut_zone,))
    yield FaultAction(fault.end_ms, f"end {fault.kind}", struck, fault, (cut_zone,))
