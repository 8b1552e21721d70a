"""The processes of a run besides its gateways, by the KIND argument of `ternlane day part`."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from pathlib import Path

from ternlane.scenarios.clients_process import run_clients
from ternlane.scenarios.fleet_process import run_fleet
from ternlane.scenarios.front_process import run_front

# Arguments: the run's folder, the index of the process and the number of processes of its kind.
PROCESSES: dict[str, Callable[[Path, int, int], Awaitable[None]]] = {
    "fleet": run_fleet,
    "clients": run_clients,
    "front": run_front,
}
