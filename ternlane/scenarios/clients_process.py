"""A process of a run, with a share of the fake clients."""

from __future__ import annotations

import json
from pathlib import Path

import trio

from ternlane.scenarios.fault_plan import FaultAction, fault_actions_of
from ternlane.scenarios.faults import Burst, HeavyTail, HotPrefix, TenantRush
from ternlane.scenarios.fleet_plan import behaviour_of, workloads_of
from ternlane.scenarios.layout import KEYS_FILE, RunLayout
from ternlane.scenarios.signals import run_until_signal
from ternlane.testing.client_workload import Tenant, TrafficConditions
from ternlane.testing.clients import FakeClients
from ternlane.testing.traffic import ProgressLog, TrafficLog

PROGRESS_EVERY_S = 0.5


async def run_clients(folder: Path, index: int, count: int) -> None:
    """Runs share `index` of `count` until all its requests have ended."""
    layout = RunLayout.load(folder)
    scenario = layout.scenario
    traffic = TrafficLog(folder / f"clients-{index}.jsonl")
    progress = ProgressLog(folder / f"clients-{index}.progress")
    clients = _clients(layout, index, traffic)

    async def show_progress() -> None:
        while True:
            progress.add({"open": clients.open, **clients.outcomes})
            await trio.sleep(PROGRESS_EVERY_S)

    async def inject_faults() -> None:
        for action in fault_actions_of(scenario):
            await layout.sleep_until(action.at_ms)
            _apply_fault(clients.conditions, action)

    async def run(nursery: trio.Nursery) -> None:
        (folder / f"clients-{index}.ready").touch()
        nursery.start_soon(show_progress)
        await layout.sleep_until(0)
        nursery.start_soon(inject_faults)
        async with trio.open_nursery() as sessions:
            await clients.run(lambda ms: scenario.rate_at(ms) / count, scenario.length_s * 1000, sessions)
        progress.add({"open": 0, **clients.outcomes})

    try:
        await run_until_signal(run)
    finally:
        traffic.close()
        progress.close()


def _clients(layout: RunLayout, index: int, traffic: TrafficLog) -> FakeClients:
    host, port = layout.front
    scenario = layout.scenario
    seed = scenario.seed * 1000 + index
    clients = FakeClients(f"c{index}", f"{host}:{port}", workloads_of(scenario), behaviour_of(scenario), traffic, seed)
    keys = layout.folder / KEYS_FILE
    if keys.exists():
        clients.set_tenants([Tenant(name, api_key) for name, api_key in json.loads(keys.read_text())])
    return clients


def _apply_fault(conditions: TrafficConditions, action: FaultAction) -> None:
    """Starts or ends a traffic fault."""
    on = action.begins
    match action.fault:
        case Burst(times=times):
            conditions.rate = times if on else 1.0
        case HeavyTail(share=share, times=times, request_class=request_class):
            conditions.long_prompt_share = share if on else 0.0
            conditions.long_prompt_factor = times if on else 1.0
            conditions.long_prompt_class = request_class if on else ""
        case TenantRush(share=share):
            conditions.rush_share = share if on else 0.0
        case HotPrefix(share=share, keys=keys, tokens=tokens):
            conditions.hot_prefix_share = share if on else 0.0
            conditions.hot_prefix_count = keys if on else 1
            conditions.hot_prefix_tokens = tokens
            conditions.hot_prefix_seed += on
