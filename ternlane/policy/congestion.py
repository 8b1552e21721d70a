"""Congestion: when a server is left for another one.

A server is congested when it should not be sent the request at hand: it is an outlier, it has far more open requests
than its peers, or its memory has no room for the request. What other gateways have there is an estimate; it counts as
far as answers come late, so that a wrong estimate alone refuses nothing.
"""

from __future__ import annotations

from ternlane.policy.actors import RouterContext
from ternlane.policy.endpoint_state import EndpointSnapshot, EndpointState
from ternlane.policy.messages import AttemptOutcome, Effect, Request, Role
from ternlane.policy.request_state import RequestState

# Congested: more open requests of this gateway than this many times the median of the servers of its role.
MAX_TIMES_MEDIAN_OPEN = 2.0
# The median counts as this many requests at least: below, one request more or less is chance.
MIN_MEDIAN_OPEN = 2.0
# The estimate of the others' load counts in full once half of the answers come late.
ESTIMATE_WEIGHT_PER_LATE_SHARE = 2.0
# An answer is late when it waited, beyond its own work, for more than one part of so many of the latency objective.
LATE_WAITS_PER_SLO = 4.0
# Weight of a new answer in the share of late ones: about the last sixteen count.
LATE_SHARE_WEIGHT = 1 / 16
# The part of its longest answer that a request is expected to fill. Few answers are as long as they may be.
EXPECTED_OUTPUT_SHARE = 0.25
# Outcomes that tell how long a request waited.
TIMED_OUTCOMES = frozenset({AttemptOutcome.PREFILLED, AttemptOutcome.TIMED_OUT, AttemptOutcome.OVERLOADED})


def memory_tokens(request: Request, endpoint: EndpointState) -> float:
    """The tokens of a server's memory that the request is expected to fill there."""
    if endpoint.decodes:
        return request.prompt_tokens + EXPECTED_OUTPUT_SHARE * request.max_tokens
    return request.prompt_tokens


class CongestionDetector:
    """Which servers are congested, and how many answers come late."""

    def __init__(self, context: RouterContext) -> None:
        self._context = context
        self.late_share = {role: 0.0 for role in Role}  # of the last answers of each role, refusals counted as late

    def record(self, endpoint: EndpointState, request: Request, outcome: AttemptOutcome, waited_ms: float) -> None:
        """Takes in how long an attempt waited beyond its own work. PREFILLED stands for any success."""
        if outcome not in TIMED_OUTCOMES:
            return
        late = outcome is AttemptOutcome.OVERLOADED or LATE_WAITS_PER_SLO * waited_ms > request.request_class.slo_ms
        role = endpoint.server.role
        self.late_share[role] += LATE_SHARE_WEIGHT * (late - self.late_share[role])

    def is_congested(self, known: EndpointSnapshot, state: RequestState) -> bool:
        """Whether the server should not be sent this request while another one could be."""
        if not self.accepts(known, state):
            return True
        if known.open_requests > MAX_TIMES_MEDIAN_OPEN * max(known.fleet.median_open, MIN_MEDIAN_OPEN):
            return True
        endpoint = known.endpoint
        trust = min(1.0, ESTIMATE_WEIGHT_PER_LATE_SHARE * self.late_share[endpoint.server.role])
        free = known.known_free + trust * (known.free - known.known_free)
        return free * endpoint.server.kv_capacity_tokens <= memory_tokens(state.request, endpoint)

    def accepts(self, known: EndpointSnapshot, state: RequestState) -> bool:
        """Whether the server is healthy, or half-open and free to try this request. It is tried with one attempt at a
        time, counted since its ejection: requests that were there before say nothing new. A decode is tried only where
        a failure can be made good by a retry."""
        if not known.half_open or known.ejected:
            return known.is_healthy()
        endpoint = known.endpoint
        if endpoint.decodes and state.request.request_class.effect is not Effect.IDEMPOTENT:
            return False
        ejected_until = endpoint.outliers.ejected_until
        return not any(
            entry.at >= ejected_until and request is not state.request
            for request, entry in endpoint.reservations.items()
        )
