"""What all processes of a run share: the folder, the scenario, when it begins, and who listens where."""

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
KEYS_FILE = "keys.json"  # the tenants' names and API keys, for the clients alone

HostPort = tuple[str, int]


@dataclass(frozen=True)
class RunLayout:
    """The same in every process of a run."""

    folder: Path
    scenario: Scenario
    begin_ms: float  # of the machine's clock
    engine_port: int  # of engine number 0; the others follow
    gateways: dict[str, HostPort]  # by name
    front: HostPort
    registry: HostPort

    @classmethod
    def load(cls, folder: Path) -> RunLayout:
        """As the runner has saved it."""
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
        """Writes all but the scenario, which has a file of its own."""
        raw = {
            "begin_ms": self.begin_ms,
            "engine_port": self.engine_port,
            "gateways": self.gateways,
            "front": self.front,
            "registry": self.registry,
        }
        (self.folder / LAYOUT_FILE).write_text(json.dumps(raw))

    async def sleep_until(self, at_ms: float) -> None:
        """Until so many milliseconds after the run's begin."""
        await trio.sleep(max(0.0, self.begin_ms + at_ms - clock_ms()) / 1000)
