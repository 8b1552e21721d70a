"""Computes statistics over the servers of each role periodically, and sends them to the endpoint states."""

from __future__ import annotations

from math import exp
from statistics import median

from ternlane.policy.actors import RouterContext
from ternlane.policy.endpoint_messages import EndpointTooSlow, FleetStats
from ternlane.policy.endpoint_state import EndpointSnapshot
from ternlane.policy.endpoint_table import EndpointTable
from ternlane.policy.failure_avoidance import FailureAvoidance
from ternlane.policy.latency import LatencyModel
from ternlane.policy.messages import Role
from ternlane.policy.outlier_detection import MIN_PROGRESS
from ternlane.policy.prefix_affinity import PrefixAffinity
from ternlane.policy.slow_start import SlowStart

# Ticks between two comparisons. A comparison takes time for every server, and loads change little within a tick.
COMPARISON_TICKS = 4
# About this many idle servers are sent the statistics at each comparison. The state of an idle server hardly changes.
IDLE_SERVERS_UPDATED = 12
# Time constant of the decay of the failure rates over all servers.
FAILURE_RATE_MEMORY_MS = 60e3


class FleetMonitor:
    """Compares the servers of each role. Times are milliseconds."""

    def __init__(
        self,
        context: RouterContext,
        endpoints: EndpointTable,
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
        """Compares the servers at every COMPARISON_TICKS-th call. Returns True if any were compared."""
        self._ticks += 1
        if self._ticks % COMPARISON_TICKS != 1:
            return False
        self._failures.rates.decay(exp(-COMPARISON_TICKS * self._context.limits.tick_ms / FAILURE_RATE_MEMORY_MS))
        self._forget_removed()
        self._affinity.halve_counts()
        compared = False
        for role in Role:
            peers = self._endpoints.ready_snapshots(role)
            if peers:
                self._compare(role, peers)
                compared = True
        return compared

    def _forget_removed(self) -> None:
        """Drops removed servers that have no open attempt or reservation, as otherwise the tables would grow without
        bound."""
        for endpoint in self._endpoints.removed():
            if not endpoint.attempts and not endpoint.reservations:
                self._endpoints.remove(endpoint)
                self._failures.rates.forget(endpoint)

    def _compare(self, role: Role, peers: list[EndpointSnapshot]) -> None:
        other_role = Role.DECODE if role is Role.DECODE else Role.PREFILL
        capable = self._endpoints.ready_count(Role.BOTH) + self._endpoints.ready_count(other_role)
        self._slow_start.update(role, peers, capable)
        stats = self._summarize(self.stats[role], peers)
        self.stats[role] = stats
        idle_turn = set(self._idle_servers_updated(len(peers)))
        min_progress = MIN_PROGRESS * stats.median_progress
        not_idle = self._not_idle(peers)
        too_slow = {
            index
            for index, snapshot in enumerate(peers)
            if snapshot.progress < min_progress and not snapshot.ejected and not snapshot.half_open
        }
        for index in sorted(not_idle | idle_turn | too_slow):
            endpoint = peers[index].endpoint
            if index in too_slow:
                endpoint.post(EndpointTooSlow())
            if index in not_idle or index in idle_turn:
                endpoint.post(stats)

    def _not_idle(self, peers: list[EndpointSnapshot]) -> set[int]:
        """The indexes of the servers that are sent the statistics at each comparison."""
        now = self._context.now
        return {
            index
            for index, snapshot in enumerate(peers)
            if snapshot.open_requests or snapshot.ejected or snapshot.half_open or snapshot.warm_at > now
        }

    def _idle_servers_updated(self, servers: int) -> range:
        """The indexes of the servers that are sent the statistics now even if they are idle; all take turns."""
        step = servers // IDLE_SERVERS_UPDATED or 1
        return range(-(self._ticks // COMPARISON_TICKS) % step, servers, step)

    def _summarize(self, before: FleetStats, peers: list[EndpointSnapshot]) -> FleetStats:
        """Estimates the load of all gateways as this gateway's mean over the warm servers times the number of gateways.
        Servers in slow start are left out, as they would make the warm ones look full. The estimate is smoothed, the
        less the more open requests this gateway has."""
        limits = self._context.limits
        now = self._context.now
        healthy = [snapshot for snapshot in peers if not snapshot.ejected and not snapshot.half_open] or peers
        warm = [snapshot for snapshot in healthy if snapshot.warm_at <= now] or healthy
        median_open = median([snapshot.open_requests for snapshot in healthy])
        interval_ms = COMPARISON_TICKS * limits.tick_ms
        weight = min(1.0, (1 + median_open) * interval_ms / limits.memory_ms)
        scale = weight * limits.gateways / len(warm)
        return FleetStats(
            median_open=median_open,
            median_progress=min(1.0, median([snapshot.progress for snapshot in healthy])),
            memory_level=(1 - weight) * before.memory_level
            + scale * sum([snapshot.own_memory_share for snapshot in warm]),
            queue_ms=(1 - weight) * before.queue_ms + scale * sum([snapshot.queue_ms for snapshot in warm]),
            mean_sent=sum([snapshot.sent for snapshot in warm]) / len(warm),
            queue_correction=self._latency.queue_correction,
            mean_prefill_ms=self._latency.mean_prefill_ms,
        )
