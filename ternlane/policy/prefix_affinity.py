"""Prefix affinity: the prefill servers that probably cache the prefix of a request, and the remaining prefill work
there.

Gateways share no state, and the requests of a session arrive at any of them. So the prefill servers of a prefix are
chosen by a hash that is the same at every gateway, and a second hash orders them for each session. The number of
servers of a prefix grows with its share of this gateway's traffic.
"""

from __future__ import annotations

import zlib
from collections import Counter, defaultdict

from ternlane.policy.attempt import InFlightAttempt
from ternlane.policy.endpoint_state import EndpointState
from ternlane.policy.endpoint_table import EndpointTable
from ternlane.policy.latency import LatencyModel
from ternlane.policy.messages import AttemptEnded, AttemptOutcome, Request, RequestClass
from ternlane.policy.preferred_servers import PreferredServers, PrefixOrders, preferred_for_session
from ternlane.policy.request_state import RequestState

# Minimum number of prefill servers of a prefix, so that it is still cached if one of them fails.
MIN_PREFIX_SERVERS = 2.0
# Prefill servers of a prefix, as a multiple of its share of the traffic times all prefill servers: more than one, as
# traffic is uneven.
PREFIX_SERVERS_PER_SHARE = 2.0
# Added to the number of all requests, so that a few requests do not make a prefix look popular.
POPULARITY_PRIOR_REQUESTS = 64
# Above this number of prefixes all counts are halved, as the number of prefixes is unbounded.
MAX_COUNTED_PREFIXES = 4096
# Before the first sample, this share of the known tokens is assumed to be cached at the preferred prefill server.
INITIAL_CACHED_SHARE = 0.5
# Weight of a new sample in the mean cached share: a flushed cache shows after about sixteen requests.
CACHED_SHARE_WEIGHT = 1 / 16


class PrefixAffinity:
    """Tracks the popularity of prefixes and the cached share of prompts."""

    def __init__(self, endpoints: EndpointTable, latency: LatencyModel) -> None:
        self._endpoints = endpoints
        self._latency = latency
        self._prefix_orders = PrefixOrders()
        self.prefix_popularity: Counter[str | None] = Counter()  # number of requests by prefix
        # Share of a prompt that its preferred prefill server had cached.
        self.cached_share: defaultdict[RequestClass, float] = defaultdict(lambda: INITIAL_CACHED_SHARE)

    def request_arrived(self, request: Request) -> None:
        """Counts the prefix of the request."""
        self.prefix_popularity[request.prefix] += request.prefix is not None

    def preferred_servers(self, request: Request) -> PreferredServers:
        """The healthy prefill servers for the prefix of the request, the same at all gateways, in the order for its
        session. Without a prefix, these are all healthy prefill servers."""
        session_key = zlib.crc32((request.session or "").encode())
        healthy = self._endpoints.healthy_prefill_servers()
        if request.prefix is None:
            return preferred_for_session(session_key, healthy)
        count = self._server_count(request.prefix, len(healthy))
        return self._prefix_orders.preferred_servers(healthy, request.prefix, count, session_key)

    def _server_count(self, prefix: str, servers: int) -> int:
        # Without the current request, which is no evidence of popularity.
        others = max(1, self.prefix_popularity[prefix]) - 1
        share = others / (self.prefix_popularity.total() + POPULARITY_PRIOR_REQUESTS)
        return round(MIN_PREFIX_SERVERS + PREFIX_SERVERS_PER_SHARE * servers * share)

    def prefill_work_ms(self, endpoint: EndpointState, state: RequestState) -> float:
        """The time to prefill the tokens that the server probably has not cached. The first preferred server is assumed
        to know the whole prompt, the second one half of the tokens after the prefix, the third one a third, and so on;
        those without a rank only know the prefix."""
        rank = state.preferred.ranks.get(endpoint)
        if rank is not None:
            return self.ranked_work_ms(rank, state)
        known_tokens = state.request.prefix_tokens if state.preferred.caches_prefix(endpoint) else 0.0
        return self._work_ms(state.request, known_tokens)

    def ranked_work_ms(self, rank: int, state: RequestState) -> float:
        """The same for a server with this rank."""
        request = state.request
        return self._work_ms(request, request.prefix_tokens + (request.prompt_tokens - request.prefix_tokens) / rank)

    def min_unranked_work_ms(self, state: RequestState) -> float:
        """A lower bound of `prefill_work_ms` for the servers without a rank."""
        known_tokens = state.request.prefix_tokens if state.preferred.has_more_for_prefix else 0.0
        return self._work_ms(state.request, max(0.0, known_tokens))

    def _work_ms(self, request: Request, known_tokens: float) -> float:
        cached_tokens = self.cached_share[request.request_class] * known_tokens
        return self._latency.prefill_ms_per_token * (request.prompt_tokens - cached_tokens)

    def record_cached(self, state: RequestState, attempt: InFlightAttempt, ended: AttemptEnded) -> None:
        """Records which share of a prompt the first preferred server had cached."""
        completed = ended.outcome is AttemptOutcome.PREFILLED
        if not completed or attempt.server.router_state not in state.preferred.ranked[:1]:
            return
        request = ended.request
        uncached = request.prompt_tokens - ended.kept_tokens
        before = self.cached_share[request.request_class]
        share = 1 - uncached / max(request.prompt_tokens, 1.0)
        self.cached_share[request.request_class] += CACHED_SHARE_WEIGHT * (share - before)

    def halve_counts(self) -> None:
        """Halves the counts once there are too many prefixes, and drops prefixes with a single request."""
        if len(self.prefix_popularity) > MAX_COUNTED_PREFIXES:
            halved = {prefix: count // 2 for prefix, count in self.prefix_popularity.items() if count > 1}
            self.prefix_popularity = Counter(halved)

    def keep_only(self, request_classes: set[RequestClass]) -> None:
        """Drops the classes that a new configuration no longer has."""
        for request_class in self.cached_share.keys() - request_classes:
            del self.cached_share[request_class]
