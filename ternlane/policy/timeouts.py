"""How long an attempt may take."""

from __future__ import annotations

from math import inf

from ternlane.policy.actors import RouterContext
from ternlane.policy.attempt import InFlightAttempt
from ternlane.policy.messages import Effect, StartAttempt
from ternlane.policy.request_state import RequestState

# An attempt that a retry may follow is given at least this part of the latency objective until it answers.
PREFILL_TIMEOUT_SLOS = 1.0
# Where servers report their load on request, a slow prefill is a queue and not a silent server: giving it up would have
# the same prompt prefilled again by servers that are full already.
REPORTED_PREFILL_TIMEOUT_SLOS = 2.0
# A first token after its prefill comes soon or not at all, and another server can still give it in time.
DECODE_TIMEOUT_SLOS = 0.5
# The same attempt is given this many usual times, if that is longer: servers that are all slow are not all silent.
TIMEOUT_USUAL_TIMES = 4
# A stream without a token for this many times the objective between two tokens has broken.
STREAM_IDLE_TOKEN_SLOS = 4.0


def start_attempt_action(
    context: RouterContext, state: RequestState, attempt: InFlightAttempt, reports_on_probe: bool, window_ms: float
) -> StartAttempt:
    """The action that sends the attempt, with its time-outs in milliseconds. `window_ms`: see RetryPolicy."""
    limits = context.limits
    request = state.request
    request_class = request.request_class
    left_ms = state.deadline - context.now
    total_ms = left_ms if request.whole else inf  # such a client hears nothing before its deadline otherwise
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
