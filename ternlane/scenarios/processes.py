"""The processes of a run beside its gateways, by the kind that `ternlane day part` is given."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from pathlib import Path

from ternlane.scenarios.clients_process import run_clients
from ternlane.scenarios.fleet_process import run_fleet
from ternlane.scenarios.front_process import run_front

# Each is given the run's folder, its index and how many of its kind there are.
PROCESSES: dict[str, Callable[[Path, int, int], Awaitable[None]]] = {
    "fleet": run_fleet,
    "clients": run_clients,
    "front": run_front,
}
