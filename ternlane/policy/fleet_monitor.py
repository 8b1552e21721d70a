"""Compares the servers of each role, at intervals, and lets each of them know how its peers do."""

from __future__ import annotations

from math import exp
from statistics import median

from ternlane.policy.actors import RouterContext
from ternlane.policy.endpoint_messages import EndpointTooSlow, FleetStats
from ternlane.policy.endpoint_state import EndpointSnapshot, EndpointState
from ternlane.policy.failure_avoidance import FailureAvoidance
from ternlane.policy.latency import LatencyModel
from ternlane.policy.messages import EndpointStatus, Role
from ternlane.policy.outlier_detection import MIN_PROGRESS
from ternlane.policy.prefix_affinity import PrefixAffinity
from ternlane.policy.slow_start import SlowStart

# Ticks between two comparisons: each costs time for every server, and loads change little from one tick to the next.
COMPARISON_TICKS = 4
# Of the idle servers, about so many are told of their peers at each comparison: their own state changes with nothing.
IDLE_SERVERS_UPDATED = 12
# The failure rates of all servers are remembered for this long.
FAILURE_RATE_MEMORY_MS = 60e3


class FleetMonitor:
    """The statistics of each role. Times are milliseconds."""

    def __init__(
        self,
        context: RouterContext,
        endpoints: dict[EndpointState, EndpointSnapshot],
        latency: LatencyModel,
        failures: FailureAvoidance,
        affinity: PrefixAffinity,
        slow_start: SlowStart,
    ) -> None:
        self._context = context
        self._endpoints = endpoints
        self._latency = latency
        self._failures = failures
        self._affinity = affinity
        self._slow_start = slow_start
        self._ticks = 0
        self.stats = {role: FleetStats() for role in Role}

    def tick(self) -> bool:
        """Compares the servers at every COMPARISON_TICKS-th call. True if there were any to compare."""
        self._ticks += 1
        if self._ticks % COMPARISON_TICKS != 1:
            return False
        self._failures.rates.fade(exp(-COMPARISON_TICKS * self._context.limits.tick_ms / FAILURE_RATE_MEMORY_MS))
        self._forget_removed()
        self._affinity.halve_counts()
        compared = False
        for role in Role:
            peers = [known for known in self._endpoints.values() if known.endpoint.server.role is role and known.ready]
            if peers:
                self._compare(role, peers)
                compared = True
        return compared

    def _forget_removed(self) -> None:
        """Drops servers that are gone once nothing of theirs is open: fleets change for ever."""
        removed = [
            endpoint
            for endpoint in self._endpoints
            if endpoint.server.status is EndpointStatus.REMOVED and not (endpoint.attempts or endpoint.reservations)
        ]
        for endpoint in removed:
            del self._endpoints[endpoint]
            self._failures.rates.forget(endpoint)

    def _compare(self, role: Role, peers: list[EndpointSnapshot]) -> None:
        able = [endpoint for endpoint, known in self._endpoints.items() if known.ready]
        self._slow_start.update(role, peers, sum(e.decodes if role is Role.DECODE else e.prefills for e in able))
        stats = self._summarize(self.stats[role], peers)
        self.stats[role] = stats
        for index, known in enumerate(peers):
            if known.progress < MIN_PROGRESS * stats.median_progress and not known.ejected and not known.half_open:
                known.endpoint.post(EndpointTooSlow())
            if self._needs_stats(index, known, len(peers)):
                known.endpoint.post(stats)

    def _needs_stats(self, index: int, known: EndpointSnapshot, servers: int) -> bool:
        """Idle servers take turns."""
        if known.open_requests or known.ejected or known.half_open or known.warm_at > self._context.now:
            return True
        return (index + self._ticks // COMPARISON_TICKS) % (servers // IDLE_SERVERS_UPDATED or 1) == 0

    def _summarize(self, before: FleetStats, peers: list[EndpointSnapshot]) -> FleetStats:
        """The load of all gateways is the own mean times the number of gateways, over warm servers, as warming ones
        would make the warm look full. It is smoothed; the more own requests are open, the sooner it is believed."""
        limits = self._context.limits
        now = self._context.now
        sound = [known for known in peers if not known.ejected and not known.half_open] or peers
        warm = [known for known in sound if known.warm_at <= now] or sound
        median_open = median(known.open_requests for known in sound)
        interval_ms = COMPARISON_TICKS * limits.tick_ms
        weight = min(1.0, (1 + median_open) * interval_ms / limits.memory_ms)
        scale = weight * limits.gateways / len(warm)
        return FleetStats(
            median_open=median_open,
            median_progress=min(1.0, median(known.progress for known in sound)),
            memory_level=(1 - weight) * before.memory_level + scale * sum(known.own_memory_share for known in warm),
            queue_ms=(1 - weight) * before.queue_ms + scale * sum(known.queue_ms for known in warm),
            mean_sent=sum(known.sent for known in warm) / len(warm),
            queue_trust=self._latency.queue_trust,
            mean_prefill_ms=self._latency.mean_prefill_ms,
        )
