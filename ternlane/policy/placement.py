"""Placement: chooses the prefill and the decode server of a request.

A request goes to the home pair of its session until one of the two servers is congested. A new session, or one with a
congested home pair, gets the pair with the largest free share minus the costs of distance, prefill work and risk of
failure (after "ACES", section V-A; see docs/design.md).
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterator
from typing import NamedTuple

from ternlane.policy.actors import RouterContext
from ternlane.policy.congestion import CongestionDetector
from ternlane.policy.endpoint_state import EndpointSnapshot, EndpointState
from ternlane.policy.failure_avoidance import FailureAvoidance
from ternlane.policy.messages import EndpointStatus, Role
from ternlane.policy.prefix_affinity import PrefixAffinity
from ternlane.policy.random_draws import RandomDraws
from ternlane.policy.request_state import RequestState
from ternlane.policy.retry_policy import RetryPolicy
from ternlane.policy.slow_start import SlowStart

# Reduction of the score per step of distance between the servers: 0 steps within a cell, 1 within a zone, 2 across
# zones.
DISTANCE_COST = 0.1
# Weight of the prefill work relative to the free share. All requests compete for prefill time, and a cached prefix
# saves it.
PREFILL_WORK_WEIGHT = 4.0
# The home pair of a session is dropped after this idle time.
HOME_MAX_IDLE_MS = 60e3
# Upper bound of the number of home pairs, as the number of sessions is unbounded.
MAX_HOMES = 8192

# Prefill, decode. A plain tuple for speed, as each choice creates hundreds.
Pair = tuple[EndpointSnapshot, EndpointSnapshot]


class Home(NamedTuple):
    """The home pair of a session."""

    prefill_server: EndpointState
    decode_server: EndpointState
    used_at: float  # milliseconds


class ServerPair(NamedTuple):
    """The servers chosen for a request; the same one twice if it has both roles."""

    prefill_server: EndpointState
    decode_server: EndpointState


class Placement:
    """Chooses servers, and keeps the home pairs of sessions."""

    def __init__(
        self,
        context: RouterContext,
        endpoints: dict[EndpointState, EndpointSnapshot],
        draws: RandomDraws,
        slow_start: SlowStart,
        congestion: CongestionDetector,
        failures: FailureAvoidance,
        affinity: PrefixAffinity,
        retries: RetryPolicy,
    ) -> None:
        self._context = context
        self._endpoints = endpoints
        self._draws = draws
        self._slow_start = slow_start
        self._congestion = congestion
        self._failures = failures
        self._affinity = affinity
        self._retries = retries
        self.homes: OrderedDict[str, Home] = OrderedDict()  # by session, least recently used first

    # -- single servers

    def is_eligible(self, endpoint: EndpointState, state: RequestState) -> bool:
        """Whether the request may be sent to this server at all: the server is ready, was not tried before, has
        slow-start quota for the request, and a repeat at it cannot have a second effect."""
        snapshot = self._endpoints.get(endpoint)
        if snapshot is None or endpoint.server.status is not EndpointStatus.READY or endpoint in state.tried:
            return False
        if snapshot.warm_at > self._context.now and not self._slow_start.admits(endpoint, state):
            return False
        return self._retries.permits(state, endpoint)

    def _is_available(self, endpoint: EndpointState, state: RequestState) -> bool:
        return (
            self.is_eligible(endpoint, state)
            and not self._congestion.is_congested(self._endpoints[endpoint], state)
            and not self._failures.fails_mostly(endpoint, state.request)
        )

    # -- pairs of servers

    def choose(self, state: RequestState) -> ServerPair | None:
        """The home pair of the session if both servers are available, else the best pair; None if there is none."""
        home = self.homes.get(state.request.session or "")
        if home and self._is_available(home.prefill_server, state) and self._is_available(home.decode_server, state):
            return ServerPair(home.prefill_server, home.decode_server)
        return self.best_pair(state)

    def set_home(self, state: RequestState, pair: ServerPair) -> None:
        """Makes the pair the home pair of the session."""
        session = state.request.session
        if session:
            self.homes[session] = Home(pair.prefill_server, pair.decode_server, self._context.now)
            self.homes.move_to_end(session)

    def move_home(self, state: RequestState) -> None:
        """Updates the decode server in the home pair of the session, if it still has one."""
        session = state.request.session
        if session and session in self.homes and state.prefill_server and state.decode_server:
            self.homes[session] = Home(state.prefill_server, state.decode_server, self._context.now)

    def forget_idle_homes(self) -> None:
        """Drops the home pairs of idle sessions, and the least recently used ones above MAX_HOMES."""
        oldest = self._context.now - HOME_MAX_IDLE_MS
        while self.homes and (len(self.homes) > MAX_HOMES or next(iter(self.homes.values())).used_at < oldest):
            self.homes.popitem(last=False)

    def best_pair(self, state: RequestState, holder: EndpointState | None = None) -> ServerPair | None:
        """The pair of available servers with the highest score. `holder`: the prefill server that holds the state of
        the request, if only a decode server is to be chosen."""
        available = self._available_servers(state)
        state.preferred = self._affinity.preferred_servers(state.request)
        prefill_servers = [self._endpoints[holder]] if holder else available
        any_failures = self._failures.any_known()
        failure_costs = {
            snapshot.endpoint: self._failures.expected_cost(snapshot.endpoint, state.request) if any_failures else 0.0
            for snapshot in available
        }
        costs = self._prefill_costs(prefill_servers, state, failure_costs)
        best = max(
            self._pairs(prefill_servers, available, failure_costs),
            default=None,
            key=lambda pair: self._score(pair[0], pair[1], costs[pair[0].endpoint] + failure_costs[pair[1].endpoint]),
        )
        return ServerPair(best[0].endpoint, best[1].endpoint) if best else None

    def _available_servers(self, state: RequestState) -> list[EndpointSnapshot]:
        """The eligible servers that are neither congested nor failing this kind of request. If no server of a role is
        healthy, the cause is probably at this gateway, for example a network partition, and all eligible servers of
        that role are returned."""
        eligible = [snapshot for snapshot in self._endpoints.values() if self.is_eligible(snapshot.endpoint, state)]
        failing = self._failing_servers(eligible, state) if self._failures.any_known() else set()
        available = [
            snapshot
            for snapshot in eligible
            if snapshot.endpoint not in failing and not self._congestion.is_congested(snapshot, state)
        ]
        for role in Role:
            if not any(
                snapshot.ready and endpoint.server.role is role and snapshot.is_healthy()
                for endpoint, snapshot in self._endpoints.items()
            ):
                available += [
                    snapshot
                    for snapshot in eligible
                    if snapshot.endpoint.server.role is role and snapshot not in available
                ]
        return available

    def _failing_servers(self, eligible: list[EndpointSnapshot], state: RequestState) -> set[EndpointState]:
        """The servers that fail most requests of this kind. If all servers of a role do, the cause is the request."""
        failing = {
            snapshot.endpoint for snapshot in eligible if self._failures.fails_mostly(snapshot.endpoint, state.request)
        }
        if failing:
            for role in Role:
                if all(snapshot.endpoint in failing for snapshot in eligible if snapshot.endpoint.server.role is role):
                    failing = {endpoint for endpoint in failing if endpoint.server.role is not role}
        return failing

    def _prefill_costs(
        self, prefill_servers: list[EndpointSnapshot], state: RequestState, failure_costs: dict[EndpointState, float]
    ) -> dict[EndpointState, float]:
        """The cost of each prefill server in the scores of its pairs, for prefill work and risk of failure. The risk of
        a server with both roles is counted as that of the decode server."""
        costs = {}
        slo_ms = self._context.limits.min_slo_ms
        for snapshot in prefill_servers:
            endpoint = snapshot.endpoint
            work = PREFILL_WORK_WEIGHT * self._affinity.prefill_work_ms(endpoint, state) / slo_ms
            costs[endpoint] = work + (0.0 if endpoint.decodes else failure_costs.get(endpoint, 0.0))
        return costs

    def _pairs(
        self,
        prefill_servers: list[EndpointSnapshot],
        decode_servers: list[EndpointSnapshot],
        failure_costs: dict[EndpointState, float],
    ) -> Iterator[Pair]:
        """The candidate pairs: each prefill server with the best decode server of its cell, of its zone and overall, as
        no other decode server can have a higher score. A server with both roles is paired with itself."""
        best = self._best_decode_servers(decode_servers, failure_costs)
        for snapshot in prefill_servers:
            endpoint = snapshot.endpoint
            if endpoint.decodes and endpoint.prefills:
                yield snapshot, snapshot
            elif endpoint.prefills:
                for place in (endpoint.server.cell, endpoint.server.zone, None):
                    if place in best:
                        yield snapshot, best[place][2]

    def _best_decode_servers(
        self, decode_servers: list[EndpointSnapshot], failure_costs: dict[EndpointState, float]
    ) -> dict[int | str | None, tuple[float, int, EndpointSnapshot]]:
        """The decode server with the largest free share by cell, by zone and overall (key None). Ties are broken at
        random; otherwise all gateways would choose the first server of the list."""
        best: dict[int | str | None, tuple[float, int, EndpointSnapshot]] = {}
        draw = self._draws.tie_breaker()
        connect_cost = self._failures.connect_failure_share
        for snapshot in decode_servers:
            endpoint = snapshot.endpoint
            if not endpoint.decodes or endpoint.prefills:
                continue
            server = endpoint.server
            rank = snapshot.free - failure_costs[endpoint] - (0.0 if snapshot.connected else connect_cost)
            candidate = (rank, draw * server.hash_key % 2**32, snapshot)
            for place in (server.cell, server.zone, None):
                if place not in best or candidate[:2] > best[place][:2]:
                    best[place] = candidate
        return best

    def _score(self, prefill: EndpointSnapshot, decode: EndpointSnapshot, cost: float) -> tuple[float, float]:
        """The smaller free share of the two minus all costs; ties are broken by the sum of the free shares. Each new
        connection costs the recent share of failed ones, as slow handshakes end in time-outs."""
        prefill_server = prefill.endpoint.server
        decode_server = decode.endpoint.server
        score = min(prefill.free, decode.free)
        if prefill_server is not decode_server and prefill_server.cell != decode_server.cell:
            score -= DISTANCE_COST if prefill_server.zone == decode_server.zone else 2 * DISTANCE_COST
        score -= cost
        connect_cost = self._failures.connect_failure_share
        if connect_cost:
            new_connections = (not prefill.connected) + (prefill_server is not decode_server and not decode.connected)
            score -= connect_cost * new_connections
        return score, prefill.free + decode.free
