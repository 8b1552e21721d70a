"""How full a server is, and how long its prefill queue: what is known, and what is estimated of other gateways.

This gateway knows its own requests and the server's last report. What the other gateways send is estimated from the own
mean over all servers, times the number of gateways, times how much more than its peers this server has been sent. With
many gateways the estimate is mostly chance. So it orders servers, and it makes one congested only as far as answers
come late (`congestion.py`).
"""

from __future__ import annotations

from math import exp
from typing import NamedTuple

from ternlane.policy.endpoint_messages import FleetStats
from ternlane.policy.limits import Limits

# Sends that a server is credited with when its part is compared to the mean, so that one send is no crowd.
CROWDING_PRIOR_SENDS = 2.0
# This gateway's own queue counts twice: what it has just sent, peers that choose alike have likely sent too.
OWN_QUEUE_WEIGHT = 2.0


class LoadReport(NamedTuple):
    """The last report of a server."""

    at: float  # milliseconds
    memory_share: float
    open_requests: float | None


class OwnLoad(NamedTuple):
    """What this gateway has given a server."""

    memory_share: float  # of the server's memory, reserved for this gateway's requests
    memory_share_since_report: float  # the part of it that the last report can't know of
    queue_ms: float  # prefill work that is out
    sent: float  # requests that it got lately


class LoadEstimate(NamedTuple):
    """Shares of the server that are free; below 0 where more is asked of it than it has."""

    free: float  # of its memory, or of its prefill time if that is scarcer, all gateways counted
    known_free: float  # the same without the estimate of the other gateways' load
    queue_ms: float  # prefill work that all gateways are thought to have given it


def estimate_load(
    own: OwnLoad, report: LoadReport | None, fleet: FleetStats, limits: Limits, prefills: bool, now: float
) -> LoadEstimate:
    """The load of a server. An old report fades into the estimate, as it says less than the mean does by then."""
    crowding = (own.sent + CROWDING_PRIOR_SENDS) / (fleet.mean_sent + CROWDING_PRIOR_SENDS) * (1 - 1 / limits.gateways)
    used = own.memory_share + fleet.memory_level * crowding
    free = 1 - used
    known_free = 1 - own.memory_share
    queue_ms = OWN_QUEUE_WEIGHT * own.queue_ms + fleet.queue_trust * (fleet.queue_ms * crowding)
    if report is not None:
        fresh = exp((report.at - now) / limits.memory_ms)
        reported = fresh * (report.memory_share + own.memory_share_since_report)
        known_free = min(known_free, 1 - reported)
        free = min(free, 1 - reported - (1 - fresh) * used)
        if report.open_requests is not None:
            queue_ms = fresh * report.open_requests * fleet.mean_prefill_ms + (1 - fresh) * queue_ms
    if prefills:
        free = min(free, 1 - queue_ms / limits.min_slo_ms)
        known_free = min(known_free, 1 - own.queue_ms / limits.min_slo_ms)
    return LoadEstimate(free, known_free, queue_ms)
