"""Retry policy: which attempts may follow another one, and which final answer is correct.

If an attempt may have run, the request must not have its effect twice. The request class
defines which servers drop repeats, and for how long. Beyond that, no further attempt is sent, and the request is failed
rather than rejected.
"""

from __future__ import annotations

from math import inf

from ternlane.policy.actors import RouterContext
from ternlane.policy.endpoint_state import EndpointState
from ternlane.policy.endpoint_table import EndpointTable
from ternlane.policy.messages import AttemptOutcome, Effect, Fail, Group, Reject, RejectReason, Role, Server
from ternlane.policy.request_state import RequestState

# Outcomes that prove that a decode attempt had no effect.
NEVER_RAN = frozenset(
    {
        AttemptOutcome.OVERLOADED,
        AttemptOutcome.CONNECT_FAILED,
        AttemptOutcome.CLIENT_GONE,
        AttemptOutcome.NOT_STARTED,
        AttemptOutcome.PREFILLED,
    }
)
# A prefill, and the decode after it.
ATTEMPTS_FOR_A_PAIR = 2
# Retry-After as a share of the latency objective. One half gives an overload time to pass while an answer is still
# useful.
RETRY_AFTER_SLO_SHARE = 1 / 2


class RetryPolicy:
    """Limits the number of attempts, and prevents repeated effects."""

    def __init__(self, context: RouterContext, endpoints: EndpointTable) -> None:
        self._context = context
        self._endpoints = endpoints

    def is_spent(self, state: RequestState) -> bool:
        """Whether there are no attempts or no time left."""
        return self._context.now >= state.deadline or state.attempts >= self._context.limits.max_attempts

    def lacks_attempts_for_pair(self, state: RequestState) -> bool:
        """Whether a prefill would be the last attempt, so that no decode could follow. If there are servers with both
        roles, one attempt is enough."""
        if state.attempts == 0 or state.attempts + ATTEMPTS_FOR_A_PAIR <= self._context.limits.max_attempts:
            return False
        return not self._endpoints.count(Role.BOTH)

    def has_attempts_for_pair(self, state: RequestState) -> bool:
        """Whether there are enough attempts left for another pair of servers."""
        return state.attempts + ATTEMPTS_FOR_A_PAIR <= self._context.limits.max_attempts

    def permits(self, state: RequestState, endpoint: EndpointState) -> bool:
        """Whether an attempt at this server cannot repeat an effect."""
        if state.may_have_run is None:
            return True
        window_ms = self.repeat_window_ms(state)
        if window_ms == inf:
            return True
        return window_ms > 0 and self._same_group(state, state.may_have_run.server, endpoint.server)

    def permits_any(self, state: RequestState) -> bool:
        """Whether there is a server at which an attempt cannot repeat an effect."""
        if state.may_have_run is not None and self.repeat_window_ms(state) <= 0:
            return False
        return any(self.permits(state, endpoint) for endpoint in self._endpoints)

    def _same_group(self, state: RequestState, first: Server, other: Server) -> bool:
        match state.request.request_class.group:
            case Group.ALL:
                return True
            case Group.ZONE:
                return first.zone == other.zone
            case Group.CELL:
                return first.cell == other.cell

    def repeat_window_ms(self, state: RequestState) -> float:
        """For how long servers of the same group drop a repeat (ms): infinite if repeating is safe, 0 or less if it
        would have a second effect."""
        request_class = state.request.request_class
        if state.may_have_run is None or request_class.effect is Effect.IDEMPOTENT:
            return inf
        if request_class.effect is Effect.DEDUPLICATED:
            return state.may_have_run.started_at + request_class.window_ms - self._context.now
        return -inf

    def final_answer(self, state: RequestState, reason: RejectReason) -> Reject | Fail:
        """Reject, which states that the client may safely retry, if that is still true when it does; else Fail."""
        request_class = state.request.request_class
        window_ms = self.repeat_window_ms(state)
        pause_ms = min(self._context.limits.max_retry_after_ms, request_class.slo_ms * RETRY_AFTER_SLO_SHARE)
        harmless = window_ms == inf or (request_class.group is Group.ALL and window_ms > pause_ms)
        return Reject(state.request, pause_ms, reason) if harmless else Fail(state.request, reason)
