"""Runs a scenario: starts all processes, injects the faults, and checks the recorded traffic against the rules."""

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
from ternlane.scenarios.faults import GatewayRestart, RegistryFailure
from ternlane.scenarios.fleet_plan import PlannedEngine, engines_of
from ternlane.scenarios.layout import RunLayout
from ternlane.scenarios.ports import reserve_ports
from ternlane.scenarios.registry_faults import RegistryFaults
from ternlane.scenarios.report import report_of
from ternlane.scenarios.report_table import table_of
from ternlane.scenarios.scenario import Scenario
from ternlane.scenarios.setup import limits_of, ports_needed, prepare_run
from ternlane.scenarios.supervisor import Supervisor
from ternlane.testing.registry import FakeRegistry, RegisteredEndpoint
from ternlane.testing.traffic import TrafficLog, clock_ms

FINISH_TIMEOUT_S = 20.0  # from the end of the scenario until the last requests must have ended
PROCESS_POLL_S = 0.2
PROGRESS_EVERY_MS = 2000.0
REGISTRY_BACKLOG = 1024
ENGINES_PER_FLEET_PROCESS = 8


@dataclass(frozen=True)
class ProcessCounts:
    """The number of processes of each kind, without gateways."""

    fleet: int
    clients: int
    front: int = 1  # the load balancer in front of the gateways

    @classmethod
    def for_machine(cls, engines: int) -> ProcessCounts:
        """Few enough for the CPU cores, so that the processes do not delay each other."""
        cores = os.cpu_count() or 2
        return cls(
            fleet=max(1, min(3, engines // ENGINES_PER_FLEET_PROCESS, cores // 2)),
            clients=max(1, min(2, cores // 3)),
        )

    def by_kind(self) -> list[tuple[str, int]]:
        """Kinds and counts, in the order in which the processes are started."""
        return [("fleet", self.fleet), ("front", self.front), ("clients", self.clients)]


class ScenarioRunner:
    """Runs a scenario once, with all files in one folder."""

    def __init__(
        self,
        scenario: Scenario,
        text: str,
        folder: Path,
        chooser: str = "",
        write_output: Callable[[str], None] = print,
    ) -> None:
        """`text`: the text of the scenario document. `chooser`: `module:name` of a baseline policy for the gateways;
        empty: their own."""
        self.scenario = scenario
        self.text = text
        self.folder = folder
        self.chooser = chooser
        self.write_output = write_output

    async def run(self) -> dict[str, Any]:
        """Runs the scenario and returns the report, which is also written to the folder. Raises RunError."""
        with reserve_ports(ports_needed(self.scenario)) as ports:
            return await self._run(ports.first)

    async def _run(self, first_port: int) -> dict[str, Any]:
        self.layout = prepare_run(self.folder, self.scenario, self.text, first_port)
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
            await self._run_processes(ProcessCounts.for_machine(len(engines)))
        finally:
            self.supervisor.stop_all()
            self.traffic.close()
            self.registry.traffic.close()
        return self._report()

    async def _run_processes(self, counts: ProcessCounts) -> None:
        async with trio.open_nursery() as nursery:
            host, port = self.layout.registry
            listeners = await trio.open_tcp_listeners(port, host=host, backlog=REGISTRY_BACKLOG)
            nursery.start_soon(self.registry.serve, listeners)
            names = self._start_processes(counts)
            for name in self.layout.gateways:
                self.supervisor.start_gateway(name)
            await self.supervisor.wait_until_ready(names)
            nursery.start_soon(self._inject_faults, nursery)
            await self._wait_for_clients([f"clients-{index}" for index in range(counts.clients)])
            nursery.cancel_scope.cancel()

    def _start_processes(self, counts: ProcessCounts) -> list[str]:
        names = []
        for kind, count in counts.by_kind():
            for index in range(count):
                name = f"{kind}-{index}"
                self.supervisor.start(name, "day", "part", kind, str(self.folder), str(index), str(count))
                names.append(name)
        return names

    async def _inject_faults(self, nursery: trio.Nursery) -> None:
        """Applies the faults of gateways and the registry; the other processes apply theirs by the same plan."""
        for action in fault_actions_of(self.scenario):
            await self.layout.sleep_until(action.at_ms)
            self.traffic.line("trouble", what=action.what, on=list(action.on), trouble=action.fault.kind)
            if action.concerns_gateways:
                await self._run_gateway_action(action)
            elif isinstance(action.fault, RegistryFailure):
                self.registry_faults.apply_fault(action, action.fault)
            elif action.what in ("drain", "die", "live"):
                nursery.start_soon(self.registry_faults.list_engines, action)

    async def _run_gateway_action(self, action: FaultAction) -> None:
        names = list(self.layout.gateways)
        for number in action.on:
            match action.what:
                case "start gateway":
                    await self.supervisor.start_gateway_after_exit(names[number])
                case "relieve gateway":
                    await self.supervisor.hand_over_gateway(names[number])
                case "kill gateway":
                    self.supervisor.kill_gateway(names[number])
                case _:
                    self.supervisor.stop_gateway(names[number])

    async def _wait_for_clients(self, client_processes: list[str]) -> None:
        """Shows progress until all client processes have ended. Raises RunError on failure or time-out."""
        deadline_ms = self.layout.begin_ms + (self.scenario.length_s + FINISH_TIMEOUT_S) * 1000
        shown_ms = 0.0
        while any(self.supervisor.is_running(name) for name in client_processes):
            await trio.sleep(PROCESS_POLL_S)
            for name in self.supervisor.processes:
                if name not in self.layout.gateways and self.supervisor.has_failed(name):
                    raise RunError(f"{name} failed: {self.supervisor.log_tail(name)}")
            if clock_ms() > deadline_ms:
                raise RunError("the clients did not end in time")
            if clock_ms() - shown_ms > PROGRESS_EVERY_MS:
                shown_ms = clock_ms()
                self.write_output(self._progress(client_processes))

    def _progress(self, client_processes: list[str]) -> str:
        total: dict[str, int] = {}
        for name in client_processes:
            try:
                last_line = (self.folder / f"{name}.progress").read_text().splitlines()[-1]
                counts = json.loads(last_line)
            except (OSError, ValueError, IndexError):
                continue  # there is no file yet, or its last line is incomplete
            for outcome, count in counts.items():
                total[outcome] = total.get(outcome, 0) + count
        at_s = (clock_ms() - self.layout.begin_ms) / 1000
        counts_text = "  ".join(f"{outcome} {count}" for outcome, count in total.items())
        return f"{at_s:6.1f} s of {self.scenario.length_s:g}  {counts_text}"

    def _report(self) -> dict[str, Any]:
        findings = check_folder(self.folder, limits_of(self.scenario))
        report = report_of(self.folder, self.scenario, findings)
        (self.folder / "report.json").write_bytes(msgspec.json.format(msgspec.json.encode(report), indent=1))
        self.write_output(table_of(report))
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
