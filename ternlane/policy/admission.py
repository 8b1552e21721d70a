"""Admission: whether a prefill should begin for a request, and until when it may wait for that."""

from __future__ import annotations

from ternlane.policy.actors import RouterContext
from ternlane.policy.attempt import Stage
from ternlane.policy.congestion import CongestionDetector
from ternlane.policy.endpoint_state import EndpointSnapshot, EndpointState
from ternlane.policy.latency import LatencyModel
from ternlane.policy.messages import EndpointStatus, RejectReason, Role
from ternlane.policy.request_state import RequestState
from ternlane.policy.retry_policy import RetryPolicy
from ternlane.policy.shutdown import ShutdownSchedule

# Usual times to the first token that must be left when a prefill begins: half of all requests take longer than one.
MIN_USUAL_TIMES_LEFT = 2.0
# Usual times are believed for this many of the limits' memories; then a request is admitted to find out how it is now.
USUAL_TIMES_FRESH_SPANS = 4.0
# Late prefills give way once more than this share of all is late; one in ten is no overload.
MIN_LATE_SHARE = 1.5 / 16


class AdmissionPolicy:
    """Rejects requests that a prefill would no longer help, or that would cost others more. Times are milliseconds."""

    def __init__(
        self,
        context: RouterContext,
        endpoints: dict[EndpointState, EndpointSnapshot],
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
        """Why no prefill should begin for it any more; None where one may."""
        if self._retries.is_spent(state) or self._retries.lacks_attempts_for_pair(state):
            return RejectReason.ATTEMPTS_SPENT
        if self._misses_deadline(state):
            return RejectReason.DEADLINE_TOO_CLOSE
        if self._delays_others(state):
            return RejectReason.OVERLOAD
        if self._outlasts_shutdown(state):
            return RejectReason.SHUTDOWN
        return None

    def latest_start(self, state: RequestState) -> float:
        """The last time at which a prefill may begin and the first token still come in time."""
        end = min(state.first_token_due, state.deadline) - self._context.limits.tick_ms
        return end - MIN_USUAL_TIMES_LEFT * self._latency.first_token_ms(state.request.request_class)

    def _misses_deadline(self, state: RequestState) -> bool:
        """Clients retry with what is left of their time. A retry with less than the latency objective left would be
        prefilled and thrown away, and teach that prefills take as long as it had."""
        if state.deadline >= state.first_token_due:
            return False
        now = self._context.now
        request_class = state.request.request_class
        needed_ms = MIN_USUAL_TIMES_LEFT * self._latency.first_token_ms(request_class)
        fresh_ms = USUAL_TIMES_FRESH_SPANS * self._context.limits.memory_ms
        return now + needed_ms > state.deadline and self._latency.since_learnt_ms(request_class, now) < fresh_ms

    def _delays_others(self, state: RequestState) -> bool:
        """A request that is late already earns less, and where many are late its prefill makes others late that earn
        more: the overload would outlast its cause."""
        least = max(MIN_LATE_SHARE, state.request.request_class.late_value_share)
        return self._context.now >= state.first_token_due and self._congestion.late_share[Role.PREFILL] > least

    def _outlasts_shutdown(self, state: RequestState) -> bool:
        """A stream that this gateway would not see to its end is cut off by the kill. Another gateway may serve it, if
        its client is told now."""
        request_class = state.request.request_class
        usual_ms = self._latency.first_token_ms(request_class) + self._latency.usual_ms(request_class, Stage.STREAM)
        return self._context.now + usual_ms > self._shutdown.ends_at

    def has_servers_for(self, state: RequestState) -> bool:
        """Whether a server of each role is left that could take the request once it has room."""
        able = [
            endpoint
            for endpoint in self._endpoints
            if endpoint.server.status is EndpointStatus.READY
            and endpoint not in state.tried
            and self._retries.permits(state, endpoint)
        ]
        return any(endpoint.prefills for endpoint in able) and any(endpoint.decodes for endpoint in able)
