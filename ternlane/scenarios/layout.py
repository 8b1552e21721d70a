"""The data that all processes of a run share: the folder, the scenario, the start time and the addresses."""

from __future__ import annotations

import json
from dataclasses import dataclass
from pathlib import Path

import trio

from ternlane.config import read_config
from ternlane.scenarios.scenario import Scenario
from ternlane.testing.traffic import clock_ms

SCENARIO_FILE = "day.json5"
LAYOUT_FILE = "scene.json"
KEYS_FILE = "keys.json"  # the tenants' names and API keys, which only the clients read

HostPort = tuple[str, int]


@dataclass(frozen=True)
class RunLayout:
    """The folder, scenario, start time and addresses of a run."""

    folder: Path
    scenario: Scenario
    begin_ms: float  # the start of the run by the machine's clock
    engine_port: int  # of engine number 0; the others follow
    gateways: dict[str, HostPort]  # by name
    front: HostPort
    registry: HostPort

    @classmethod
    def load(cls, folder: Path) -> RunLayout:
        """Reads what `save` has written."""
        raw = json.loads((folder / LAYOUT_FILE).read_text())
        return cls(
            folder=folder,
            scenario=read_config(folder / SCENARIO_FILE, Scenario),
            begin_ms=raw["begin_ms"],
            engine_port=raw["engine_port"],
            gateways={name: (address[0], address[1]) for name, address in raw["gateways"].items()},
            front=tuple(raw["front"]),
            registry=tuple(raw["registry"]),
        )

    def save(self) -> None:
        """Writes everything but the scenario, which has its own file."""
        raw = {
            "begin_ms": self.begin_ms,
            "engine_port": self.engine_port,
            "gateways": self.gateways,
            "front": self.front,
            "registry": self.registry,
        }
        (self.folder / LAYOUT_FILE).write_text(json.dumps(raw))

    async def sleep_until(self, at_ms: float) -> None:
        """Sleeps until `at_ms` after the start of the run; returns at once if that has passed."""
        await trio.sleep(max(0.0, self.begin_ms + at_ms - clock_ms()) / 1000)
