"""The choice of a pair of servers by comparing all pairs: slow, simple, and what the index must agree with."""

from __future__ import annotations

import copy
import zlib

from ternlane.policy.candidate_filter import PREFILL_WORK_WEIGHT
from ternlane.policy.endpoint_state import EndpointSnapshot, EndpointState
from ternlane.policy.messages import Role
from ternlane.policy.pair_search import DISTANCE_COST
from ternlane.policy.placement import ServerPair
from ternlane.policy.preferred_servers import MAX_COMPARED_SERVERS, MAX_RANKED_SERVERS, ORDER_MARGIN
from ternlane.policy.request_state import RequestState
from ternlane.policy.rules import Rules


class FullScan:
    """Chooses from the snapshots of all endpoints, without the index, and changes nothing."""

    def __init__(self, rules: Rules) -> None:
        self.rules = rules
        self.snapshots = dict(rules.endpoints)

    def preferred(self, state: RequestState) -> tuple[list[EndpointState], set[EndpointState]]:
        """The ranked servers of the request, and all servers that cache its prefix."""
        request = state.request
        healthy = [e for e, s in self.snapshots.items() if e.prefills and s.ready and s.is_healthy()]
        session_key = zlib.crc32((request.session or "").encode())
        if request.prefix is None:
            compared = self.following(session_key, healthy, MAX_COMPARED_SERVERS)
            return self.in_hash_order(session_key, compared)[:MAX_RANKED_SERVERS], set()
        key = zlib.crc32(request.prefix.encode())
        count = min(len(healthy), self.rules.affinity._server_count(request.prefix, len(healthy)))
        compared = self.following(key, healthy, max(MAX_COMPARED_SERVERS, ORDER_MARGIN * count))
        sharing = self.in_hash_order(key, compared)[:count]
        first = session_key % count if count > MAX_COMPARED_SERVERS else 0
        compared = (sharing[first:] + sharing[:first])[:MAX_COMPARED_SERVERS]
        return self.in_hash_order(session_key, compared)[:MAX_RANKED_SERVERS], set(sharing)

    def following(self, key: int, servers: list[EndpointState], count: int) -> list[EndpointState]:
        """All servers, or in a large fleet those that follow the key in the order of their hash keys."""
        if len(servers) <= count or key == 0:
            return servers[:count]
        return sorted(servers, key=lambda endpoint: (endpoint.server.hash_key - key) % 2**32)[:count]

    def in_hash_order(self, key: int, servers: list[EndpointState]) -> list[EndpointState]:
        return sorted(servers, key=lambda endpoint: key * (endpoint.server.hash_key | 1) % 2**32)

    def best_pair(self, state: RequestState, holder: EndpointState | None) -> ServerPair | None:
        """The available pair with the highest score."""
        self.request = state.request
        self.ranked, self.sharing = self.preferred(state)
        self.draw = copy.copy(self.rules.draws).tie_breaker()
        available = self.available(state)
        prefill_servers = [self.snapshots[holder]] if holder else available
        pairs = [
            (self.score(prefill, decode), prefill, decode)
            for prefill in prefill_servers
            for decode in self.decode_servers(prefill, available)
        ]
        if not pairs:
            return None
        _, prefill, decode = max(pairs, key=lambda pair: pair[0])
        return ServerPair(prefill.endpoint, decode.endpoint)

    def available(self, state: RequestState) -> list[EndpointSnapshot]:
        rules = self.rules
        eligible = [s for e, s in self.snapshots.items() if rules.placement.is_eligible(e, state)]
        failing = {s.endpoint for s in eligible if rules.failures.fails_mostly(s.endpoint, state.request)}
        for role in Role:
            if all(s.endpoint in failing for s in eligible if s.endpoint.server.role is role):
                failing = {endpoint for endpoint in failing if endpoint.server.role is not role}
        unhealthy_roles = {
            role
            for role in Role
            if not any(s.ready and e.server.role is role and s.is_healthy() for e, s in self.snapshots.items())
        }
        return [
            s
            for s in eligible
            if s.endpoint.server.role in unhealthy_roles
            or (s.endpoint not in failing and not rules.congestion.is_congested(s, state))
        ]

    def decode_servers(self, prefill: EndpointSnapshot, available: list[EndpointSnapshot]) -> list[EndpointSnapshot]:
        """The best decode server of the cell, of the zone and overall; for a server with both roles, itself."""
        endpoint = prefill.endpoint
        if endpoint.decodes:
            return [prefill] if endpoint.prefills else []
        server = endpoint.server
        decode = [s for s in available if s.endpoint.decodes and not s.endpoint.prefills]
        near = [s for s in decode if s.endpoint.server.cell == server.cell]
        in_zone = [s for s in decode if s.endpoint.server.zone == server.zone]
        return [max(group, key=self.decode_rank) for group in (near, in_zone, decode) if group]

    def decode_rank(self, snapshot: EndpointSnapshot) -> tuple[float, int]:
        connect_cost = 0.0 if snapshot.connected else self.rules.failures.connect_failure_share
        rank = snapshot.free - self.failure_cost(snapshot) - connect_cost
        return rank, self.draw * snapshot.endpoint.server.hash_key % 2**32

    def failure_cost(self, snapshot: EndpointSnapshot) -> float:
        return self.rules.failures.expected_cost(snapshot.endpoint, self.request)

    def score(self, prefill: EndpointSnapshot, decode: EndpointSnapshot) -> tuple[float, float]:
        first = prefill.endpoint.server
        second = decode.endpoint.server
        score = min(prefill.free, decode.free)
        if first is not second and first.cell != second.cell:
            score -= DISTANCE_COST if first.zone == second.zone else 2 * DISTANCE_COST
        score -= (
            self.work_cost(prefill.endpoint)
            + (0.0 if prefill.endpoint.decodes else self.failure_cost(prefill))
            + self.failure_cost(decode)
        )
        new_connections = (not prefill.connected) + (first is not second and not decode.connected)
        score -= self.rules.failures.connect_failure_share * new_connections
        return score, prefill.free + decode.free

    def work_cost(self, endpoint: EndpointState) -> float:
        request = self.request
        known = 0.0
        if endpoint in self.ranked:
            rank = 1 + self.ranked.index(endpoint)
            known = request.prefix_tokens + (request.prompt_tokens - request.prefix_tokens) / rank
        elif endpoint in self.sharing:
            known = request.prefix_tokens
        tokens = request.prompt_tokens - self.rules.affinity.cached_share[request.request_class] * known
        work_ms = self.rules.latency.prefill_ms_per_token * tokens
        return PREFILL_WORK_WEIGHT * work_ms / self.rules.placement._context.limits.min_slo_ms
