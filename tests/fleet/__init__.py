"""Simulation of a fleet in virtual time: the decisions of many gateways in front of emulated model servers.

Each gateway is an `EventLoop` with a `Router`, or with a baseline policy, and shares no state with the others. All
random numbers come from the seed of the scenario, so that each run gives the same result. The result is the value of
the requests whose first token was in time, by class, by third of the simulated time and by tenant.
"""

from tests.fleet.faults import (
    Fault,
    degrade_servers,
    discovery_down,
    kill_gateways,
    partition_zone,
    replace_servers,
    restart_servers,
)
from tests.fleet.scenario import ClientRequest, Scenario
from tests.fleet.simulation import FleetSimulation

__all__ = [
    "FleetSimulation",
    "Fault",
    "ClientRequest",
    "Scenario",
    "degrade_servers",
    "partition_zone",
    "discovery_down",
    "kill_gateways",
    "replace_servers",
    "restart_servers",
]
