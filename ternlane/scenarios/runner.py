"""Runs a scenario: starts every process, strikes as the scenario says, and judges what crossed the sockets."""

from __future__ import annotations

import json
import os
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec
import trio

from ternlane.rules import check_folder
from ternlane.scenarios.errors import RunError
from ternlane.scenarios.fault_plan import FaultAction, fault_actions_of
from ternlane.scenarios.faults import GatewayRestart, RegistryFails
from ternlane.scenarios.fleet_plan import PlannedEngine, engines_of
from ternlane.scenarios.layout import RunLayout
from ternlane.scenarios.registry_faults import RegistryFaults
from ternlane.scenarios.report import report_of
from ternlane.scenarios.report_table import table_of
from ternlane.scenarios.scenario import Scenario
from ternlane.scenarios.setup import limits_of, prepare_run
from ternlane.scenarios.supervisor import Supervisor
from ternlane.testing.registry import FakeRegistry, RegisteredEndpoint
from ternlane.testing.traffic import TrafficLog, clock_ms

LAST_REQUESTS_S = 20.0  # after the scenario's end, for the last requests to end
WATCH_POLL_S = 0.2
PROGRESS_EVERY_MS = 2000.0
REGISTRY_BACKLOG = 1024
ENGINES_PER_FLEET_PROCESS = 8


@dataclass(frozen=True)
class ProcessCounts:
    """How many processes of each kind a run has; gateways aside."""

    fleet: int
    clients: int
    front: int = 1

    @classmethod
    def for_machine(cls, engines: int) -> ProcessCounts:
        """No more than the cores carry: the processes must not wait for each other."""
        cores = os.cpu_count() or 2
        return cls(
            fleet=max(1, min(3, engines // ENGINES_PER_FLEET_PROCESS, cores // 2)),
            clients=max(1, min(2, cores // 3)),
        )

    def by_kind(self) -> list[tuple[str, int]]:
        """In the order in which they are started."""
        return [("fleet", self.fleet), ("front", self.front), ("clients", self.clients)]


class ScenarioRunner:
    """One run of a scenario in a folder."""

    def __init__(
        self, scenario: Scenario, text: str, folder: Path, chooser: str = "", say: Callable[[str], None] = print
    ) -> None:
        """`text`: of the scenario's document; `chooser`: `module:name` of a baseline to measure against."""
        self.scenario = scenario
        self.text = text
        self.folder = folder
        self.chooser = chooser
        self.say = say

    async def run(self) -> dict[str, Any]:
        """Gives the report, which is written to the folder too. Raises RunError."""
        self.layout = prepare_run(self.folder, self.scenario, self.text)
        self.traffic = TrafficLog(self.folder / "day.jsonl")
        self.registry = FakeRegistry(TrafficLog(self.folder / "registry.jsonl"))
        self.supervisor = Supervisor(self.folder, self.traffic, self.chooser)
        engines = engines_of(self.scenario)
        idents = {engine.number: engine.ident for engine in engines}
        self.registry_faults = RegistryFaults(self.registry, self.scenario.lists, idents)
        for engine in engines:
            self.registry.put(_endpoint(self.layout, engine))
        try:
            if any(isinstance(fault, GatewayRestart) and fault.handover for fault in self.scenario.troubles):
                self.supervisor.keep_listeners(self.layout.gateways)
            await self._play(ProcessCounts.for_machine(len(engines)))
        finally:
            self.supervisor.stop_all()
            self.traffic.close()
            self.registry.traffic.close()
        return self._report()

    async def _play(self, counts: ProcessCounts) -> None:
        async with trio.open_nursery() as nursery:
            host, port = self.layout.registry
            listeners = await trio.open_tcp_listeners(port, host=host, backlog=REGISTRY_BACKLOG)
            nursery.start_soon(self.registry.serve, listeners)
            names = self._start_processes(counts)
            for name in self.layout.gateways:
                self.supervisor.start_gateway(name)
            await self.supervisor.wait_until_ready(names)
            nursery.start_soon(self._play_faults, nursery)
            await self._watch([f"clients-{index}" for index in range(counts.clients)])
            nursery.cancel_scope.cancel()

    def _start_processes(self, counts: ProcessCounts) -> list[str]:
        names = []
        for kind, count in counts.by_kind():
            for index in range(count):
                name = f"{kind}-{index}"
                self.supervisor.start(name, "day", "part", kind, str(self.folder), str(index), str(count))
                names.append(name)
        return names

    async def _play_faults(self, nursery: trio.Nursery) -> None:
        """The faults of gateways and registry; engines and clients play theirs themselves, by the same plan."""
        for action in fault_actions_of(self.scenario):
            await self.layout.sleep_until(action.at_ms)
            self.traffic.line("trouble", what=action.what, on=list(action.on), trouble=action.fault.kind)
            if action.concerns_gateways:
                await self._strike_gateways(action)
            elif isinstance(action.fault, RegistryFails):
                self.registry_faults.strike(action, action.fault)
            elif action.what in ("drain", "die", "live"):
                nursery.start_soon(self.registry_faults.list_engines, action)

    async def _strike_gateways(self, action: FaultAction) -> None:
        names = list(self.layout.gateways)
        for number in action.on:
            match action.what:
                case "start gateway":
                    await self.supervisor.restart_gateway(names[number])
                case "relieve gateway":
                    await self.supervisor.hand_over_gateway(names[number])
                case "kill gateway":
                    self.supervisor.kill_gateway(names[number])
                case _:
                    self.supervisor.stop_gateway(names[number])

    async def _watch(self, clients: list[str]) -> None:
        """Shows progress until all client processes have ended. Raises RunError where a process fails."""
        deadline_ms = self.layout.begin_ms + (self.scenario.length_s + LAST_REQUESTS_S) * 1000
        shown_ms = 0.0
        while any(self.supervisor.is_running(name) for name in clients):
            await trio.sleep(WATCH_POLL_S)
            for name in self.supervisor.processes:
                if name not in self.layout.gateways and self.supervisor.has_failed(name):
                    raise RunError(f"{name} ended: {self.supervisor.log_tail(name)}")
            if clock_ms() > deadline_ms:
                raise RunError("clients did not end in time")
            if clock_ms() - shown_ms > PROGRESS_EVERY_MS:
                shown_ms = clock_ms()
                self.say(self._progress(clients))

    def _progress(self, clients: list[str]) -> str:
        total: dict[str, int] = {}
        for name in clients:
            try:
                last_line = (self.folder / f"{name}.progress").read_text().splitlines()[-1]
                counts = json.loads(last_line)
            except (OSError, ValueError, IndexError):
                continue  # it has not written a whole line yet
            for outcome, count in counts.items():
                total[outcome] = total.get(outcome, 0) + count
        at_s = (clock_ms() - self.layout.begin_ms) / 1000
        counted = "  ".join(f"{outcome} {count}" for outcome, count in total.items())
        return f"{at_s:6.1f} s of {self.scenario.length_s:g}  {counted}"

    def _report(self) -> dict[str, Any]:
        findings = check_folder(self.folder, limits_of(self.scenario))
        report = report_of(self.folder, self.scenario, findings)
        (self.folder / "report.json").write_bytes(msgspec.json.format(msgspec.json.encode(report), indent=1))
        self.say(table_of(report))
        return report


def _endpoint(layout: RunLayout, engine: PlannedEngine) -> RegisteredEndpoint:
    return RegisteredEndpoint(
        ident=engine.ident,
        address=engine.host,
        port=layout.engine_port + engine.number,
        role=engine.role,
        zone=engine.zone,
        cell=engine.cell,
        kv_capacity_tokens=engine.profile.kv_capacity_tokens,
    )
