"""Slow start: a server that was started recently gets only a quota of this gateway's requests.

The platform limits the requests to such a server, summed over all gateways, which share no state. So each gateway sends
the server a random share of its own requests. It does not accumulate fractions of a request until they make a whole
one, as then all gateways would send theirs in the same second. So the sum stays within the limit for any number of
gateways.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from typing import NamedTuple

from ternlane.policy.actors import RouterContext
from ternlane.policy.endpoint_state import EndpointSnapshot, EndpointState
from ternlane.policy.messages import Role
from ternlane.policy.request_state import RequestState

# Added to the draw of a request for each attempt. The golden ratio keeps successive values as far apart as possible, so
# that retries neither hit the same warming server again nor are excluded from all of them.
DRAW_STEP_PER_ATTEMPT = 0.618
# Rounding errors of a draw.
DRAW_PRECISION = 1e-9
# The quota grows with the square of the time, up to (1 + this) times the initial quota.
QUOTA_GROWTH = 3


class Quota(NamedTuple):
    """The requests whose draw lies between `start` and `start + share`, modulo 1."""

    start: float
    share: float


class OrderedQuotas:
    """The quotas of one role in the order of their starts, to find those that contain a draw."""

    def __init__(self, quotas: dict[EndpointState, Quota]) -> None:
        self._endpoints = list(quotas)  # `SlowStart.update` adds them in the order of their starts
        self._starts = [quota.start for quota in quotas.values()]
        self.max_share = max((quota.share for quota in quotas.values()), default=0.0)

    def between(self, first: float, last: float) -> list[EndpointState]:
        """The servers whose quota starts between the two."""
        return self._endpoints[bisect_left(self._starts, first) : bisect_right(self._starts, last)]


class SlowStart:
    """The quotas of all warming servers, which are those in slow start."""

    def __init__(self, context: RouterContext) -> None:
        self._context = context
        self._quotas: dict[Role, dict[EndpointState, Quota]] = {role: {} for role in Role}
        self._ordered = {role: OrderedQuotas({}) for role in Role}

    def admits(self, endpoint: EndpointState, state: RequestState) -> bool:
        """Whether a warming server may be sent the next attempt of this request. A server that was chosen for it
        remains allowed."""
        if endpoint is state.prefill_server or endpoint is state.decode_server:
            return True
        quota = self._quotas[endpoint.server.role].get(endpoint)
        if quota is None:
            return False
        return (state.slow_start_draw + state.attempts * DRAW_STEP_PER_ATTEMPT - quota.start) % 1 < quota.share

    def admitted(self, role: Role, state: RequestState) -> list[EndpointState]:
        """The warming servers of a role that may be sent the next attempt of this request, and its chosen ones."""
        quotas = self._ordered[role]
        draw = self._draw(state)
        first = draw - quotas.max_share - DRAW_PRECISION
        found = quotas.between(first, draw) + (quotas.between(first + 1, 1.0) if first < 0 else [])
        chosen = [server for server in (state.prefill_server, state.decode_server) if server is not None]
        found += [endpoint for endpoint in chosen if endpoint.server.role is role]
        return [endpoint for endpoint in found if self.admits(endpoint, state)]

    def _draw(self, state: RequestState) -> float:
        return (state.slow_start_draw + state.attempts * DRAW_STEP_PER_ATTEMPT) % 1

    def update(self, role: Role, peers: list[EndpointSnapshot], server_count: int) -> None:
        """Sets the quotas of one role. `server_count` is the number of servers that can do its work, which determines
        the even share of each. The quotas of servers that warm up together are spread over the range, so that a request
        usually fits at most one of them."""
        now = self._context.now
        limits = self._context.limits
        warming = [peer for peer in peers if peer.warm_at > now]
        quotas: dict[EndpointState, Quota] = {}
        for index, peer in enumerate(warming):
            warmth = max(0.0, 1 - (peer.warm_at - now) / max(limits.slow_start_ms, 1.0))
            share = limits.slow_start_share / server_count * (1 + QUOTA_GROWTH * warmth**2)
            quotas[peer.endpoint] = Quota(index / len(warming), share)
        self._quotas[role] = quotas
        self._ordered[role] = OrderedQuotas(quotas)

    def forget(self, endpoint: EndpointState) -> None:
        """Removes the quota until the next update, as the server may have restarted."""
        self._quotas[endpoint.server.role].pop(endpoint, None)
