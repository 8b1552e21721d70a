"""A day of a whole fleet in virtual time: the true decisions of many gateways before emulated model servers.

Each gateway is a `Turns` loop around a `Router`, or around a baseline chooser, and shares nothing with the others. All
draws come from the day's seed, so that a day is the same each time it is played. What is counted is the value of the
requests whose first token came in time, by class, by third of the day and by tenant.
"""

from tests.fleet.day import Day
from tests.fleet.faults import Fault, ail, cut_zone, discovery_down, kill_gateways, replace_servers, restart_servers
from tests.fleet.scene import ClientRequest, Scene

__all__ = [
    "Day",
    "Fault",
    "ClientRequest",
    "Scene",
    "ail",
    "cut_zone",
    "discovery_down",
    "kill_gateways",
    "replace_servers",
    "restart_servers",
]
