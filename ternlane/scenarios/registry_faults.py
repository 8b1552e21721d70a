"""Faults of a run's registry, and the delay with which it lists changes of engines."""

from __future__ import annotations

import time

import trio

from ternlane.scenarios.fault_plan import ANNOUNCED, FaultAction
from ternlane.scenarios.faults import RegistryFailure
from ternlane.scenarios.scenario import RegistryDelays
from ternlane.testing.registry import FakeRegistry, RegisteredEndpoint
from ternlane.testing.traffic import clock_ms

# The state that the registry lists after an action on an engine.
LISTED_STATES = {"drain": "draining", "die": "gone", "live": "up"}


def wall_clock_s(at_ms: float) -> float:
    """Converts a time of the machine's clock to seconds since 1970."""
    return time.time() - (clock_ms() - at_ms) / 1000


class RegistryFaults:
    """Applies the actions that concern the registry."""

    def __init__(self, registry: FakeRegistry, delays: RegistryDelays, idents: dict[int, str]) -> None:
        """`idents`: the ids of the engines, by number."""
        self.registry = registry
        self.delays = delays
        self.idents = idents
        self._removed_endpoints: dict[str, RegisteredEndpoint] = {}

    def apply_fault(self, action: FaultAction, fault: RegistryFailure) -> None:
        """Starts or ends a fault."""
        if fault.how == "restart":
            if action.begins:
                self.registry.restart()
        elif fault.how == "empty":
            self._empty_or_restore(action.begins)
        else:
            self.registry.failing = fault.how if action.begins else None
            self.registry.notify()

    def _empty_or_restore(self, empty: bool) -> None:
        endpoints = self.registry.endpoints
        if empty:
            self._removed_endpoints = dict(endpoints)
            endpoints.clear()
        else:
            missing = {ident: endpoint for ident, endpoint in self._removed_endpoints.items() if ident not in endpoints}
            endpoints.update(missing)
        self.registry.notify()

    async def list_engines(self, action: FaultAction) -> None:
        """Lists the new state of engines after a delay, which is longer for a crash than for an announced change."""
        started_s = wall_clock_s(clock_ms())
        silent = action.what == "die" and ANNOUNCED not in action.args
        await trio.sleep((self.delays.silent_ms if silent else self.delays.notice_ms) / 1000)
        changes: dict[str, str | float] = {"state": LISTED_STATES[action.what]}
        if action.what == "live":
            changes["started"] = started_s
        for number in action.on:
            if self.idents[number] in self.registry.endpoints:
                self.registry.update(self.idents[number], **changes)
