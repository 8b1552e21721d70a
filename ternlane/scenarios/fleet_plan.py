"""The engines of a scenario's fleet and the behaviour of its clients.

Every process of a run computes the same plan from the seed.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

from ternlane.config import FleetConfig
from ternlane.scenarios.scenario import EngineKind, Scenario
from ternlane.testing.client_workload import ClientBehaviour, ClientWorkload
from ternlane.testing.engine_profile import EngineProfile

# Loopback networks; the third octet of an address is the zone's index plus 1.
ENGINE_NET = "127.0"
GATEWAY_NET = "127.1"


@dataclass(frozen=True)
class PlannedEngine:
    """An engine of the fleet, with its address and its performance."""

    number: int
    ident: str
    role: str
    zone: str
    cell: int
    host: str
    profile: EngineProfile


def zones_of(scenario: Scenario) -> list[str]:
    """The names of the zones, in the order of the document."""
    return list(dict.fromkeys(cell.zone for cell in scenario.cells))


def address_of(net: str, zone_index: int) -> str:
    """The loopback address that all processes of the network share in a zone."""
    return f"{net}.{zone_index + 1}.1"


def engines_of(scenario: Scenario) -> list[PlannedEngine]:
    """All engines, ordered by number."""
    rng = random.Random(f"{scenario.seed} engines")
    zones = zones_of(scenario)
    engines: list[PlannedEngine] = []
    for cell_number, cell in enumerate(scenario.cells):
        host = address_of(ENGINE_NET, zones.index(cell.zone))
        for role, kind, count in (
            ("read", scenario.prefill_server, cell.prefill_servers),
            ("write", scenario.decode_server, cell.decode_servers),
            ("both", scenario.mixed, cell.mixed),
        ):
            for _ in range(count):
                number = len(engines)
                profile = _profile_of(kind, scenario.terms, _draw_speed(kind, rng))
                ident = f"{role}-{number}"
                engines.append(PlannedEngine(number, ident, role, cell.zone, cell_number, host, profile))
    return engines


def _draw_speed(kind: EngineKind, rng: random.Random) -> float:
    least, most = kind.speeds
    return least + (most - least) * rng.random()


def _profile_of(kind: EngineKind, fleet: FleetConfig, speed: float) -> EngineProfile:
    return EngineProfile(
        slots=kind.slots,
        queue=kind.queue,
        kv_capacity_tokens=kind.kv_capacity_tokens,
        prefill_tokens_per_s=kind.prefill_tokens_per_s * speed,
        token_ms=kind.token_ms / speed,
        token_growth=kind.token_growth,
        near_tokens_per_s=kind.near_tokens_per_s,
        far_tokens_per_s=kind.far_tokens_per_s,
        slow_start_ms=fleet.slow_start_ms,
        slow_start_share=fleet.slow_start_share,
        fall_multiple=fleet.fall_multiple,
        fall_ms=fleet.fall_ms,
        answer_tokens=kind.answer_tokens,
    )


def workloads_of(scenario: Scenario) -> list[ClientWorkload]:
    """The workload of each request class."""
    request_classes = {request_class.name: request_class for request_class in scenario.request_classes}
    return [
        ClientWorkload(
            request_class=workload.request_class,
            effect=request_classes[workload.request_class].effect,
            share=workload.share,
            deadline_ms=request_classes[workload.request_class].deadline_ms,
            turns=workload.turns,
            adds=workload.adds,
            prefixes=workload.prefixes,
            prefix_tokens=workload.prefix_tokens,
            prefix_share=workload.prefix_share,
            max_tokens=workload.max_tokens,
            think_ms=workload.think_ms,
            session_key_share=workload.key_part,
            unstreamed_share=workload.plain_part,
        )
        for workload in scenario.uses
    ]


def behaviour_of(scenario: Scenario) -> ClientBehaviour:
    """How clients wait, retry and disconnect."""
    clients = scenario.clients
    return ClientBehaviour(
        try_timeout_share=clients.try_share,
        retries=clients.retries,
        backoff_ms=clients.backoff_ms,
        retry_after_share=clients.honour,
        leave_share=clients.leave_part,
        leave_ms=clients.leave_ms,
    )
