"""How a run's registry fails, and how late it learns of engines."""

from __future__ import annotations

import time

import trio

from ternlane.scenarios.fault_plan import ANNOUNCED, FaultAction
from ternlane.scenarios.faults import RegistryFails
from ternlane.scenarios.scenario import RegistryDelays
from ternlane.testing.registry import FakeRegistry, RegisteredEndpoint
from ternlane.testing.traffic import clock_ms

# The state that the registry lists after each action.
LISTED_STATES = {"drain": "draining", "die": "gone", "live": "up"}


def wall_clock_s(at_ms: float) -> float:
    """Seconds since 1970 of a moment on the machine's clock."""
    return time.time() - (clock_ms() - at_ms) / 1000


class RegistryFaults:
    """Plays the faults that concern the registry."""

    def __init__(self, registry: FakeRegistry, delays: RegistryDelays, idents: dict[int, str]) -> None:
        """`idents`: engines by number."""
        self.registry = registry
        self.delays = delays
        self.idents = idents
        self._emptied: dict[str, RegisteredEndpoint] = {}

    def strike(self, action: FaultAction, fault: RegistryFails) -> None:
        """Lets a fault begin or end."""
        if fault.how == "restart":
            if action.begins:
                self.registry.restart()
        elif fault.how == "empty":
            self._empty_or_refill(action.begins)
        else:
            self.registry.failing = fault.how if action.begins else None
            self.registry.notify()

    def _empty_or_refill(self, empty: bool) -> None:
        endpoints = self.registry.endpoints
        if empty:
            self._emptied = dict(endpoints)
            endpoints.clear()
        else:
            missing = {ident: endpoint for ident, endpoint in self._emptied.items() if ident not in endpoints}
            endpoints.update(missing)
        self.registry.notify()

    async def list_engines(self, action: FaultAction) -> None:
        """Lists the state of engines late: soon what is announced, later what died silently."""
        started_s = wall_clock_s(clock_ms())
        silent = action.what == "die" and ANNOUNCED not in action.args
        await trio.sleep((self.delays.silent_ms if silent else self.delays.notice_ms) / 1000)
        changes: dict[str, str | float] = {"state": LISTED_STATES[action.what]}
        if action.what == "live":
            changes["started"] = started_s
        for number in action.on:
            if self.idents[number] in self.registry.endpoints:
                self.registry.update(self.idents[number], **changes)
