"""Admission: decides whether to start a prefill for a request, and how long the request may wait in the queue."""

from __future__ import annotations

from ternlane.policy.actors import RouterContext
from ternlane.policy.attempt import Stage
from ternlane.policy.congestion import CongestionDetector
from ternlane.policy.endpoint_table import EndpointTable
from ternlane.policy.latency import LatencyModel
from ternlane.policy.messages import EndpointStatus, RejectReason, Role
from ternlane.policy.request_state import RequestState
from ternlane.policy.retry_policy import RetryPolicy
from ternlane.policy.shutdown import ShutdownSchedule

# Required time at the start of a prefill, as a multiple of the usual time to first token. About half of all requests
# take longer than the usual time.
MIN_USUAL_TIMES_LEFT = 2.0
# Turns of the event loop from the arrival of a request to its first token: the start of two attempts, a connection and
# an answer for each, and the write to the client.
TURNS_TO_FIRST_TOKEN = 8.0
# Usual times are used for this many multiples of `Limits.memory_ms` after the last sample. After that a request is
# admitted in any case, to get a new sample.
USUAL_TIMES_FRESH_SPANS = 4.0
# Requests that are late already are rejected once more than this share of the prefills is late. One late prefill
# in ten is not an overload.
MIN_LATE_SHARE = 1.5 / 16


class AdmissionPolicy:
    """Rejects requests that cannot be answered in time, or whose prefill would make more valuable requests late. Times
    are milliseconds."""

    def __init__(
        self,
        context: RouterContext,
        endpoints: EndpointTable,
        latency: LatencyModel,
        congestion: CongestionDetector,
        retries: RetryPolicy,
        shutdown: ShutdownSchedule,
    ) -> None:
        self._context = context
        self._endpoints = endpoints
        self._latency = latency
        self._congestion = congestion
        self._retries = retries
        self._shutdown = shutdown

    def reject_reason(self, state: RequestState) -> RejectReason | None:
        """Why no prefill should start for this request; None if one may."""
        if self._retries.is_spent(state) or self._retries.lacks_attempts_for_pair(state):
            return RejectReason.ATTEMPTS_SPENT
        if self._misses_deadline(state):
            return RejectReason.DEADLINE_TOO_CLOSE
        if self._gateway_is_behind(state):
            return RejectReason.GATEWAY_BEHIND
        if self._delays_others(state):
            return RejectReason.OVERLOAD
        if self._outlasts_shutdown(state):
            return RejectReason.SHUTDOWN
        return None

    def latest_start(self, state: RequestState) -> float:
        """The latest start of a prefill at which the first token can be expected in time."""
        end = min(state.first_token_due, state.deadline) - self._context.limits.tick_ms
        return end - MIN_USUAL_TIMES_LEFT * self._latency.first_token_ms(state.request.request_class)

    def _misses_deadline(self, state: RequestState) -> bool:
        """Whether too little time is left. Clients retry within their remaining timeout. A retry with less time than
        the latency objective would be prefilled for nothing, and its time-out would be recorded as a prefill time."""
        if state.deadline >= state.first_token_due:
            return False
        now = self._context.now
        request_class = state.request.request_class
        needed_ms = MIN_USUAL_TIMES_LEFT * self._latency.first_token_ms(request_class)
        fresh_ms = USUAL_TIMES_FRESH_SPANS * self._context.limits.memory_ms
        return now + needed_ms > state.deadline and self._latency.sample_age_ms(request_class, now) < fresh_ms

    def _gateway_is_behind(self, state: RequestState) -> bool:
        """Whether this gateway's event loop is too late for the request: it has waited here, and each step up to the
        first token waits for a turn of the loop. The usual times may be from before the loop fell behind."""
        request = state.request
        usual_ms = self._latency.first_token_ms(request.request_class)
        ahead_ms = TURNS_TO_FIRST_TOKEN * request.turn_ms
        if state.attempts or request.waited_ms + ahead_ms <= usual_ms:
            return False
        return self._context.now + max(MIN_USUAL_TIMES_LEFT * usual_ms, ahead_ms) > state.deadline

    def _delays_others(self, state: RequestState) -> bool:
        """Whether the request is late already during an overload. It has a lower value now, and its prefill would delay
        requests of full value, so that the overload would outlast its cause."""
        least = max(MIN_LATE_SHARE, state.request.request_class.late_value_share)
        return self._context.now >= state.first_token_due and self._congestion.late_share[Role.PREFILL] > least

    def _outlasts_shutdown(self, state: RequestState) -> bool:
        """Whether the process would probably be killed before the stream ends. If the request is rejected now, another
        gateway can serve it."""
        request_class = state.request.request_class
        usual_ms = self._latency.first_token_ms(request_class) + self._latency.usual_ms(request_class, Stage.STREAM)
        return self._context.now + usual_ms > self._shutdown.ends_at

    def has_servers_for(self, state: RequestState) -> bool:
        """Whether for each role there is a server that may be sent the request once it has capacity."""
        has_both = self._has_server(Role.BOTH, state)
        return has_both or all(self._has_server(role, state) for role in (Role.PREFILL, Role.DECODE))

    def _has_server(self, role: Role, state: RequestState) -> bool:
        return any(
            endpoint.server.status is EndpointStatus.READY
            and endpoint not in state.tried
            and self._retries.permits(state, endpoint)
            for endpoint in self._endpoints.each_ready(role)
        )
