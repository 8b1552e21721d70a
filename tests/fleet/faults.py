"""Faults of a simulation. A fault is a function that is called before the start and schedules its events."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

from ternlane.policy.messages import Role
from tests.fleet.gateway import Gateway
from tests.fleet.server import ModelServer
from tests.fleet.simulation import FleetSimulation

Fault = Callable[[FleetSimulation], None]


def kill_gateways(share: float, start_ms: float, duration_ms: float) -> Fault:
    """A share of the gateways crash at the same time, and restart later."""

    def schedule(simulation: FleetSimulation) -> None:
        rng = random.Random(simulation.scenario.seed + 3)
        chosen = rng.sample(simulation.gateways, round(share * len(simulation.gateways)))
        for gateway in chosen:
            simulation.schedule_at(1000.0 + start_ms, gateway.kill)

            def recover(gateway: Gateway = gateway) -> None:
                gateway.alive = True
                gateway.start()

            simulation.schedule_at(1000.0 + start_ms + duration_ms + rng.uniform(0, 2000), recover)

    return schedule


def degrade_servers(share: float, start_ms: float, duration_ms: float, role: Role | None = None, **state: Any) -> Fault:
    """A share of the model servers have these attribute values for a while, such as `error_rate=1.0` or
    `silent=True`."""

    def schedule(simulation: FleetSimulation) -> None:
        rng = random.Random(simulation.scenario.seed + 4)
        candidates = [m for m in simulation.models if role is None or m.role is role]
        chosen = rng.sample(candidates, round(share * len(candidates)))

        def set_state(values: dict[str, Any]) -> None:
            for model in chosen:
                for name, value in values.items():
                    setattr(model, name, value)
                if not model.hung:
                    model.resume()

        healthy_state = {
            name: {"slowdown": 1.0, "error_rate": 0.0, "reset_rate": 0.0}.get(name, False) for name in state
        }
        simulation.schedule_at(1000.0 + start_ms, lambda: set_state(state))
        simulation.schedule_at(1000.0 + start_ms + duration_ms, lambda: set_state(healthy_state))

    return schedule


def restart_servers(share: float, start_ms: float, spread_ms: float, down_ms: float) -> Fault:
    """A share of the model servers crash one after the other, and restart in slow start."""

    def schedule(simulation: FleetSimulation) -> None:
        rng = random.Random(simulation.scenario.seed + 5)
        chosen = rng.sample(simulation.models, round(share * len(simulation.models)))
        for n, model in enumerate(chosen):
            when = 1000.0 + start_ms + spread_ms * n / len(chosen)

            def recover(model: ModelServer = model) -> None:
                model.start()

            simulation.schedule_at(when, model.crash)
            simulation.schedule_at(when + down_ms, recover)

    return schedule


def partition_zone(start_ms: float, duration_ms: float) -> Fault:
    """A network partition between the first zone and the others."""

    def schedule(simulation: FleetSimulation) -> None:
        others = [f"zone-{n}" for n in range(1, simulation.scenario.zones)]
        pairs = {(a, b) for z in others for a, b in (("zone-0", z), (z, "zone-0"))}
        simulation.schedule_at(1000.0 + start_ms, lambda: simulation.partitions.update(pairs))
        simulation.schedule_at(1000.0 + start_ms + duration_ms, simulation.partitions.clear)

    return schedule


def replace_servers(share: float, start_ms: float, spread_ms: float, grace_ms: float) -> Fault:
    """A share of the model servers are drained one after the other and stop after a grace time; each is replaced by a
    new one in slow start."""

    def schedule(simulation: FleetSimulation) -> None:
        rng = random.Random(simulation.scenario.seed + 6)
        chosen = rng.sample(simulation.models, round(share * len(simulation.models)))
        for n, model in enumerate(chosen):

            def drain(model: ModelServer = model) -> None:
                model.draining = True
                simulation.publish(model)
                successor = ModelServer(simulation, len(simulation.models), model.role)
                successor.cell, successor.zone, successor.started = model.cell, model.zone, simulation.now
                simulation.models.append(successor)
                simulation.views_updated_at = float("-inf")
                simulation.publish(successor)
                simulation.schedule_after(grace_ms, model.crash)

            simulation.schedule_at(1000.0 + start_ms + spread_ms * n / len(chosen), drain)

    return schedule


def discovery_down(start_ms: float, duration_ms: float) -> Fault:
    """Discovery is unreachable; all changes are delivered at the end."""

    def schedule(simulation: FleetSimulation) -> None:
        def disable() -> None:
            simulation.discovery_up_at = simulation.now + duration_ms

        simulation.schedule_at(1000.0 + start_ms, disable)

    return schedule
