"""Estimates the memory use and the prefill queue of a server, including the load from other gateways.

This gateway knows its own requests and the latest report of the server. The load from other gateways is estimated as
this gateway's mean over all servers, times the number of gateways, times the ratio of the requests sent to this server
to the mean of its peers. With many gateways the estimate is mostly noise. So it is used to rank servers, and it counts
towards congestion only to the extent that answers are late (`congestion.py`).
"""

from __future__ import annotations

from math import exp
from typing import NamedTuple

from ternlane.policy.endpoint_messages import FleetStats
from ternlane.policy.limits import Limits

# Added to the number of sent requests before it is compared with the mean, so that one more request has little effect.
CROWDING_PRIOR_SENDS = 2.0
# Weight of this gateway's own queue: other gateways choose alike and have probably sent similar requests just now.
OWN_QUEUE_WEIGHT = 2.0


class LoadReport(NamedTuple):
    """The latest load report of a server."""

    at: float  # milliseconds
    memory_share: float
    open_requests: float | None


class OwnLoad(NamedTuple):
    """The load on a server from this gateway."""

    memory_share: float  # of the server's memory, reserved for this gateway's requests
    memory_share_since_report: float  # the part of it that is newer than the latest report
    queue_ms: float  # unfinished prefill work
    sent: float  # recent requests, decayed over time


class LoadEstimate(NamedTuple):
    """Free shares of the server; negative if the demand exceeds its capacity."""

    free: float  # the smaller of the free memory and the free prefill time, with the load of all gateways
    known_free: float  # the same without the estimated load of other gateways
    queue_ms: float  # estimated unfinished prefill work from all gateways


def estimate_load(
    own: OwnLoad, report: LoadReport | None, fleet: FleetStats, limits: Limits, prefills: bool, now: float
) -> LoadEstimate:
    """Estimates the load of a server. The weight of a report decays with its age in favour of the estimate without
    it."""
    crowding = (own.sent + CROWDING_PRIOR_SENDS) / (fleet.mean_sent + CROWDING_PRIOR_SENDS) * (1 - 1 / limits.gateways)
    used = own.memory_share + fleet.memory_level * crowding
    free = 1 - used
    known_free = 1 - own.memory_share
    queue_ms = OWN_QUEUE_WEIGHT * own.queue_ms + fleet.queue_correction * (fleet.queue_ms * crowding)
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
