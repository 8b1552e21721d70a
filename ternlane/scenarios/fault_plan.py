"""The actions that carry out a scenario's faults: when, on which targets and how.

Every process of a run computes the same plan from the seed.
"""

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
    Pauses,
    Preemption,
    RollingUpgrade,
    SlowLinks,
    ZoneCut,
)
from ternlane.scenarios.fleet_plan import PlannedEngine, engines_of, zones_of
from ternlane.scenarios.scenario import Scenario

# Argument of a "die" that a drain has announced: the registry publishes it with the short delay of drains.
ANNOUNCED = "told"

Targets = tuple[int, ...]  # indices of engines or of gateways


@dataclass(frozen=True)
class FaultAction:
    """An action on some engines or gateways at a given time.

    `what` is "begin KIND", "turn KIND" or "end KIND" of a fault; "drain", "die" or "live" for engines; "start gateway",
    "stop gateway", "kill gateway" or "relieve gateway" (handover to a new process). "turn KIND" pauses the engines
    again, or switches a noisy neighbour off or on.
    """

    at_ms: float
    what: str
    on: Targets
    fault: AnyFault
    args: tuple[Any, ...] = ()

    @property
    def begins(self) -> bool:
        """Whether this action starts the fault."""
        return self.what.startswith("begin")

    @property
    def concerns_gateways(self) -> bool:
        """Whether the targets are gateways."""
        return self.what.endswith("gateway")


def fault_actions_of(scenario: Scenario) -> list[FaultAction]:
    """The actions of all faults, ordered by time."""
    engines = engines_of(scenario)
    actions: list[FaultAction] = []
    for index, fault in enumerate(scenario.troubles):
        rng = random.Random(zlib.crc32(f"{scenario.seed} trouble {index}".encode()))
        if isinstance(fault, GatewayCrash):
            actions += _gateway_crash(fault, _sample(rng, range(scenario.gateways), fault.part))
        elif isinstance(fault, GatewayRestart):
            batch = max(1, round(fault.batch * scenario.gateways))
            actions += _gateway_restart(fault, _sample(rng, range(scenario.gateways), fault.part), batch)
        elif isinstance(fault, EngineFaultConfig):
            actions += _engine_fault(fault, _affected_engines(fault, rng, engines), rng)
        else:
            actions += _other_fault(scenario, fault, engines)
    return sorted(actions, key=lambda action: action.at_ms)


def _sample(rng: random.Random, candidates: range | list[int], part: float) -> Targets:
    """A random sample; at least one target if there are any and `part` is above 0."""
    sample_size = max(1, round(part * len(candidates))) if candidates and part > 0 else 0
    return tuple(sorted(rng.sample(candidates, min(sample_size, len(candidates)))))


def _affected_engines(fault: EngineFaultConfig, rng: random.Random, engines: list[PlannedEngine]) -> Targets:
    if fault.on is not None:
        return tuple(fault.on)
    candidates = [engine for engine in engines if fault.role in ("any", engine.role)]
    part = fault.part
    if isinstance(fault, MassRestart) and fault.role == "any":  # all targets have the same role
        role = rng.choice(sorted({engine.role for engine in candidates}))
        same_role = [engine for engine in candidates if engine.role == role]
        part = min(1.0, fault.part * len(candidates) / max(1, len(same_role)))
        candidates = same_role
    return _sample(rng, [engine.number for engine in candidates], part)


def _batches(targets: Targets, size: int) -> list[Targets]:
    return [targets[begin : begin + size] for begin in range(0, len(targets), size)]


def _gateway_crash(fault: GatewayCrash, gateways: Targets) -> Iterator[FaultAction]:
    yield FaultAction(fault.at_ms, "kill gateway", gateways, fault)
    yield FaultAction(fault.end_ms, "start gateway", gateways, fault)


def _gateway_restart(fault: GatewayRestart, gateways: Targets, batch_size: int) -> Iterator[FaultAction]:
    """Restarts the batches at equal intervals over the fault's duration."""
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
    elif isinstance(fault, RollingUpgrade):
        yield from _rolling_upgrade(fault, engines)
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
    fault: Preemption | RollingUpgrade, engines: Targets, at_ms: float, drain_s: float, down_s: float
) -> Iterator[FaultAction]:
    yield FaultAction(at_ms, "drain", engines, fault)
    yield FaultAction(at_ms + drain_s * 1000, "die", engines, fault, (ANNOUNCED,))
    yield FaultAction(at_ms + (drain_s + down_s) * 1000, "live", engines, fault)


def _preemption(fault: Preemption, engines: Targets) -> Iterator[FaultAction]:
    """Each wave starts to drain when the previous one is terminated."""
    size = -(-len(engines) // fault.waves)
    for wave in range(fault.waves):
        at_ms = fault.at_ms + wave * fault.notice_s * 1000
        affected = engines[wave * size : (wave + 1) * size]
        yield from _announced_restart(fault, affected, at_ms, fault.notice_s, fault.for_s)


def _rolling_upgrade(fault: RollingUpgrade, engines: Targets) -> Iterator[FaultAction]:
    """Restarts the batches at equal intervals over the fault's duration."""
    batches = _batches(engines, max(1, round(fault.batch * len(engines))))
    for index, batch in enumerate(batches):
        at_ms = fault.at_ms + (fault.end_ms - fault.at_ms) * index / len(batches)
        yield from _announced_restart(fault, batch, at_ms, fault.drain_s, fault.down_s)


def _lasting_fault(fault: EngineFaultConfig, engines: Targets) -> Iterator[FaultAction]:
    """A fault with a begin and, except for a cache flush, an end. Some repeat or switch on and off in between: `args`
    of such a "turn" is its number, from 1."""
    assert isinstance(fault, AnyFault)
    yield FaultAction(fault.at_ms, f"begin {fault.kind}", engines, fault)
    if not isinstance(fault, CacheFlush):
        yield FaultAction(fault.end_ms, f"end {fault.kind}", engines, fault)
    if isinstance(fault, Pauses):
        yield from _repeated_actions(fault, engines, fault.every_s)
    elif isinstance(fault, NoisyNeighbour):
        yield from _repeated_actions(fault, engines, fault.turn_s)


def _repeated_actions(fault: Pauses | NoisyNeighbour, engines: Targets, every_s: float) -> Iterator[FaultAction]:
    for turn in count(1):
        at_ms = fault.at_ms + turn * every_s * 1000
        if at_ms >= fault.end_ms:
            return
        yield FaultAction(at_ms, f"turn {fault.kind}", engines, fault, (turn,))


def _other_fault(scenario: Scenario, fault: AnyFault, engines: list[PlannedEngine]) -> Iterator[FaultAction]:
    """Faults of the traffic, the network or the registry. `args`: the index of the zone that is cut off, or None."""
    cut_zone = zones_of(scenario).index(fault.zone) if isinstance(fault, ZoneCut) else None
    affected: Targets = ()
    if isinstance(fault, (ZoneCut, SlowLinks)):
        affected = tuple(engine.number for engine in engines)
    yield FaultAction(fault.at_ms, f"begin {fault.kind}", affected, fault, (cut_zone,))
    yield FaultAction(fault.end_ms, f"end {fault.kind}", affected, fault, (cut_zone,))
