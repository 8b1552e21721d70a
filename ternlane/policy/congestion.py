"""Congestion: when to choose another server.

A server is congested for a request if it is an outlier, has far more open requests than its peers, or has not enough
free memory for the request. The load from other gateways is only an estimate. It is weighted by the share of late
answers, so that a wrong estimate alone rejects no request.
"""

from __future__ import annotations

from ternlane.policy.actors import RouterContext
from ternlane.policy.endpoint_state import EndpointSnapshot, EndpointState
from ternlane.policy.messages import AttemptOutcome, Effect, Request, Role
from ternlane.policy.request_state import RequestState

# Weight of the estimated load of other gateways per share of late answers: full weight at one half.
ESTIMATE_WEIGHT_PER_LATE_SHARE = 2.0
# An answer is late if it waited longer, beyond its own work, than the latency objective divided by this.
LATE_WAITS_PER_SLO = 4.0
# Weight of a new answer in the moving average of late answers, which covers about the last sixteen.
LATE_SHARE_WEIGHT = 1 / 16
# Expected length of an answer as a share of `max_tokens`. Few answers reach the maximum.
EXPECTED_OUTPUT_SHARE = 0.25
# Outcomes that show how long a request waited.
TIMED_OUTCOMES = frozenset({AttemptOutcome.PREFILLED, AttemptOutcome.TIMED_OUT, AttemptOutcome.OVERLOADED})


def memory_tokens(request: Request, decodes: bool) -> float:
    """The memory, in tokens, that the request is expected to use at a server that decodes it, or only prefills it."""
    if decodes:
        return request.prompt_tokens + EXPECTED_OUTPUT_SHARE * request.max_tokens
    return request.prompt_tokens


class CongestionDetector:
    """Detects congested servers, and tracks the share of late answers."""

    def __init__(self, context: RouterContext) -> None:
        self._context = context
        self.late_share = {role: 0.0 for role in Role}  # by role; overloaded servers' refusals count as late

    def record(self, endpoint: EndpointState, request: Request, outcome: AttemptOutcome, waited_ms: float) -> None:
        """Records how long an attempt waited beyond its own work. PREFILLED stands for any success."""
        if outcome not in TIMED_OUTCOMES:
            return
        late = outcome is AttemptOutcome.OVERLOADED or LATE_WAITS_PER_SLO * waited_ms > request.request_class.slo_ms
        role = endpoint.server.role
        self.late_share[role] += LATE_SHARE_WEIGHT * (late - self.late_share[role])

    def estimate_weight(self, role: Role) -> float:
        """The weight of the estimated load of other gateways on servers of this role, from 0 to 1."""
        return min(1.0, ESTIMATE_WEIGHT_PER_LATE_SHARE * self.late_share[role])

    def is_congested(self, snapshot: EndpointSnapshot, state: RequestState) -> bool:
        """Whether the request should not be sent to this server while another one is available."""
        if not self.accepts(snapshot, state):
            return True
        if snapshot.has_too_many_requests():
            return True
        endpoint = snapshot.endpoint
        estimate_weight = self.estimate_weight(endpoint.server.role)
        free = snapshot.known_free + estimate_weight * (snapshot.free - snapshot.known_free)
        return free * endpoint.server.kv_capacity_tokens <= memory_tokens(state.request, endpoint.decodes)

    def accepts(self, snapshot: EndpointSnapshot, state: RequestState) -> bool:
        """Whether the server is healthy, or half-open and available to probe with this request.

        A half-open server gets one attempt at a time. Requests from before its ejection don't count, as they give no
        new information. A decode is used as a probe only if the request can be retried after a failure.
        """
        if not snapshot.half_open or snapshot.ejected:
            return snapshot.is_healthy()
        endpoint = snapshot.endpoint
        if endpoint.decodes and state.request.request_class.effect is not Effect.IDEMPOTENT:
            return False
        ejected_until = endpoint.outliers.ejected_until
        return not any(
            entry.at >= ejected_until and request is not state.request
            for request, entry in endpoint.reservations.items()
        )
