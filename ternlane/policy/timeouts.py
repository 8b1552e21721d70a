"""The time-outs of attempts."""

from __future__ import annotations

from math import inf

from ternlane.policy.actors import RouterContext
from ternlane.policy.attempt import InFlightAttempt
from ternlane.policy.messages import Effect, StartAttempt
from ternlane.policy.request_state import RequestState

# Minimum time-out of a prefill that may be retried, in latency objectives.
PREFILL_TIMEOUT_SLOS = 1.0
# The same if servers report their load on request. Then a slow prefill is due to a queue rather than a silent server,
# and a time-out would only repeat the prefill at servers that are full already.
REPORTED_PREFILL_TIMEOUT_SLOS = 2.0
# The same for a decode. After the prefill, a first token arrives soon or not at all, and another server can still
# produce it in time.
DECODE_TIMEOUT_SLOS = 0.5
# Minimum time-out of these attempts in usual times, so that attempts don't time out when all servers are slow.
TIMEOUT_USUAL_TIMES = 4
# A stream counts as broken after this many token objectives (`token_slo_ms`) without a token.
STREAM_IDLE_TOKEN_SLOS = 4.0


def start_attempt_action(
    context: RouterContext, state: RequestState, attempt: InFlightAttempt, reports_on_probe: bool, window_ms: float
) -> StartAttempt:
    """The action that sends the attempt, with its time-outs in milliseconds. `window_ms`: see
    `RetryPolicy.repeat_window_ms`."""
    limits = context.limits
    request = state.request
    request_class = request.request_class
    left_ms = state.deadline - context.now
    total_ms = left_ms if request.whole else inf  # a complete answer is useless after the deadline
    timeout_ms = left_ms
    may_retry = not attempt.decodes or request_class.effect is Effect.IDEMPOTENT
    if may_retry and state.attempts < limits.max_attempts:
        objectives = _timeout_slos(attempt, reports_on_probe) * request_class.slo_ms
        timeout_ms = min(left_ms, max(objectives, TIMEOUT_USUAL_TIMES * attempt.usual_ms))
    idle_ms = max(limits.memory_ms, STREAM_IDLE_TOKEN_SLOS * request_class.token_slo_ms)
    return StartAttempt(request, attempt.server, timeout_ms, idle_ms, total_ms, window_ms)


def _timeout_slos(attempt: InFlightAttempt, reports_on_probe: bool) -> float:
    if attempt.decodes:
        return DECODE_TIMEOUT_SLOS
    return REPORTED_PREFILL_TIMEOUT_SLOS if reports_on_probe else PREFILL_TIMEOUT_SLOS
