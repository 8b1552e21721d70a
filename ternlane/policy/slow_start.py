"""Slow start: a server that has started lately is sent a quota of this gateway's requests only.

The users' rule limits the sum of all gateways, which know nothing of each other. So each gives the server a share of
its own requests by chance: nothing is saved up, and the sum keeps to the limit however many gateways there are.
Whole sends saved up out of fractions would come from all gateways in the same second.
"""

from __future__ import annotations

from typing import NamedTuple

from ternlane.policy.actors import RouterContext
from ternlane.policy.endpoint_state import EndpointSnapshot, EndpointState
from ternlane.policy.messages import Role
from ternlane.policy.request_state import RequestState

# How far a request's draw moves with each attempt: as far as can be from all draws before (the golden ratio), so that
# a retry is neither sent to the same warming server again nor kept from all of them.
DRAW_STEP_PER_ATTEMPT = 0.618
# The quota of a warm server is one plus this, in quotas of a cold one. It grows with the square of the time.
QUOTA_GROWTH = 3


class Quota(NamedTuple):
    """The requests whose draw lies within `share` after `start`, around the circle from 0 to 1."""

    start: float
    share: float


class SlowStart:
    """The quotas of all warming servers."""

    def __init__(self, context: RouterContext) -> None:
        self._context = context
        self._quotas: dict[Role, dict[EndpointState, Quota]] = {role: {} for role in Role}

    def admits(self, endpoint: EndpointState, state: RequestState) -> bool:
        """Whether a warming server may be sent this request's next attempt. A server that was chosen for it stays."""
        if endpoint is state.prefill_server or endpoint is state.decode_server:
            return True
        quota = self._quotas[endpoint.server.role].get(endpoint)
        if quota is None:
            return False
        return (state.slow_start_draw + state.attempts * DRAW_STEP_PER_ATTEMPT - quota.start) % 1 < quota.share

    def update(self, role: Role, peers: list[EndpointSnapshot], able: int) -> None:
        """Sets the quotas of one role. `able`: the servers that can do its work, of which each would get an even share.
        Servers that warm up together have their quotas side by side, so that one request fits one of them."""
        now = self._context.now
        limits = self._context.limits
        warming = [peer for peer in peers if peer.warm_at > now]
        quotas: dict[EndpointState, Quota] = {}
        for index, peer in enumerate(warming):
            warmth = max(0.0, 1 - (peer.warm_at - now) / max(limits.slow_start_ms, 1.0))
            share = limits.slow_start_share / able * (1 + QUOTA_GROWTH * warmth**2)
            quotas[peer.endpoint] = Quota(index / len(warming), share)
        self._quotas[role] = quotas

    def forget(self, endpoint: EndpointState) -> None:
        """Takes the quota away until the next update: its server may have started again."""
        self._quotas[endpoint.server.role].pop(endpoint, None)
