"""Prefix affinity: which prefill servers are likely to cache a request's prefix, and what is left to prefill there.

Gateways share nothing, and the turns of a session come to all of them. So the prefill servers of a prefix are found
by a hash that every gateway computes alike, and those of a session by a second one among them. A popular prefix gets
more servers, by its part of this gateway's traffic.
"""

from __future__ import annotations

import zlib
from collections import Counter, defaultdict

from ternlane.policy.attempt import InFlightAttempt
from ternlane.policy.endpoint_state import EndpointSnapshot, EndpointState
from ternlane.policy.latency import LatencyModel
from ternlane.policy.messages import AttemptEnded, AttemptOutcome, Request, RequestClass
from ternlane.policy.request_state import RequestState

# A prefix has two prefill servers at least, so that it is still cached when one of them fails.
MIN_PREFIX_SERVERS = 2.0
# A prefix that is all of the traffic has this many times all prefill servers: twice its part, as traffic is uneven.
PREFIX_SERVERS_PER_SHARE = 2.0
# Requests without the prefix that are added to the count, lest a handful of requests make a prefix look popular.
POPULARITY_PRIOR_REQUESTS = 64
# Prefixes that are counted before all counts are halved: prefixes change for ever, and the table must not grow.
MAX_COUNTED_PREFIXES = 4096
# Before the first sample, half of a known prompt is thought to be cached at its preferred prefill server.
INITIAL_CACHED_SHARE = 0.5
# Weight of a new sample in the mean cached share: a flushed cache shows after about sixteen requests.
CACHED_SHARE_WEIGHT = 1 / 16


class PrefixAffinity:
    """The popularity of prefixes, and how much of prompts has been found cached."""

    def __init__(self, endpoints: dict[EndpointState, EndpointSnapshot], latency: LatencyModel) -> None:
        self._endpoints = endpoints
        self._latency = latency
        self.prefix_popularity: Counter[str | None] = Counter()  # requests of each prefix
        # The part of a prompt's known tokens that its preferred prefill server had cached.
        self.cached_share: defaultdict[RequestClass, float] = defaultdict(lambda: INITIAL_CACHED_SHARE)

    def request_arrived(self, request: Request) -> None:
        """Counts its prefix."""
        self.prefix_popularity[request.prefix] += request.prefix is not None

    def preferred_servers(self, request: Request) -> list[EndpointState]:
        """The healthy prefill servers that all gateways choose for the request's prefix, the session's first. All of
        them where it has no prefix."""
        servers = [e for e, known in self._endpoints.items() if e.prefills and known.ready and known.is_healthy()]
        if request.prefix is not None:
            key = zlib.crc32(request.prefix.encode())
            servers.sort(key=lambda endpoint: key * (endpoint.server.hash_key | 1) % 2**32)
            servers = servers[: self._server_count(request.prefix, len(servers))]
        session_key = zlib.crc32((request.session or "").encode())
        return sorted(servers, key=lambda endpoint: session_key * (endpoint.server.hash_key | 1) % 2**32)

    def _server_count(self, prefix: str, servers: int) -> int:
        others = max(1, self.prefix_popularity[prefix]) - 1  # the request at hand is no sign of popularity
        share = others / (self.prefix_popularity.total() + POPULARITY_PRIOR_REQUESTS)
        return round(MIN_PREFIX_SERVERS + PREFIX_SERVERS_PER_SHARE * servers * share)

    def prefill_work_ms(self, endpoint: EndpointState, state: RequestState) -> float:
        """The time to prefill what the server is not thought to have cached. The first preferred server counts as
        caching the whole session, the next half of what goes beyond the prefix, and so on."""
        request = state.request
        ms_per_token = self._latency.prefill_ms_per_token
        if endpoint not in state.preferred:
            return ms_per_token * request.prompt_tokens
        rank = 1 + state.preferred.index(endpoint)
        known_tokens = request.prefix_tokens + (request.prompt_tokens - request.prefix_tokens) / rank
        return ms_per_token * (request.prompt_tokens - self.cached_share[request.request_class] * known_tokens)

    def learn_cached(self, state: RequestState, attempt: InFlightAttempt, ended: AttemptEnded) -> None:
        """Takes in how much of a prompt the first preferred server had cached."""
        completed = ended.outcome is AttemptOutcome.PREFILLED
        if not completed or attempt.server.router_state not in state.preferred[:1]:
            return
        request = ended.request
        uncached = request.prompt_tokens - ended.kept_tokens
        before = self.cached_share[request.request_class]
        share = 1 - uncached / max(request.prompt_tokens, 1.0)
        self.cached_share[request.request_class] += CACHED_SHARE_WEIGHT * (share - before)

    def halve_counts(self) -> None:
        """Halves the counts once there are many prefixes, and forgets those of one request."""
        if len(self.prefix_popularity) > MAX_COUNTED_PREFIXES:
            halved = {prefix: count // 2 for prefix, count in self.prefix_popularity.items() if count > 1}
            self.prefix_popularity = Counter(halved)

    def keep_only(self, request_classes: set[RequestClass]) -> None:
        """Forgets the classes that a new configuration no longer has."""
        for request_class in self.cached_share.keys() - request_classes:
            del self.cached_share[request_class]
