"""Updates the models of the router at the first token and at the end of an attempt."""

from __future__ import annotations

from ternlane.policy.actors import RouterContext
from ternlane.policy.attempt import InFlightAttempt, Stage
from ternlane.policy.congestion import CongestionDetector
from ternlane.policy.endpoint_state import EndpointState
from ternlane.policy.failure_avoidance import FailureAvoidance
from ternlane.policy.latency import LatencyModel
from ternlane.policy.messages import AttemptEnded, AttemptOutcome, Request
from ternlane.policy.outlier_detection import health_sign
from ternlane.policy.prefix_affinity import PrefixAffinity
from ternlane.policy.request_state import RequestState


class OutcomeRecorder:
    """Passes outcomes to the models for latency, congestion, failures and prefix caches."""

    def __init__(
        self,
        context: RouterContext,
        latency: LatencyModel,
        congestion: CongestionDetector,
        failures: FailureAvoidance,
        affinity: PrefixAffinity,
    ) -> None:
        self._context = context
        self._latency = latency
        self._congestion = congestion
        self._failures = failures
        self._affinity = affinity

    def first_token(self, endpoint: EndpointState, request: Request, took_ms: float) -> None:
        """Handles the start of an answer, which counts as a success like a completed prefill."""
        self._latency.record_stage(request.request_class, Stage.FIRST_TOKEN, took_ms, self._context.now)
        self._record(endpoint, request, AttemptOutcome.PREFILLED, took_ms)

    def attempt_ended(
        self, endpoint: EndpointState, state: RequestState, attempt: InFlightAttempt, ended: AttemptEnded
    ) -> None:
        """Handles the end of an attempt, with any outcome."""
        outcome = ended.outcome
        conclusive = health_sign(outcome) is not None  # whether it shows if the server is healthy
        if not ended.state_lost:  # a lost state says nothing about the load and failures of this server
            # An overtaken prefill was cancelled because its answer was missing, so it is recorded as timed out.
            recorded = AttemptOutcome.TIMED_OUT if attempt.overtaken and not conclusive else outcome
            # Without the expected prefill work, what remains is the time that the attempt waited at the server.
            self._record(endpoint, state.request, recorded, ended.took_ms - attempt.prefill_work_ms)
        if attempt.needs_connection and conclusive:
            self._failures.record_connection(outcome is AttemptOutcome.CONNECT_FAILED)
        self._record_times(state, attempt, ended)

    def _record(self, endpoint: EndpointState, request: Request, outcome: AttemptOutcome, waited_ms: float) -> None:
        self._congestion.record(endpoint, request, outcome, waited_ms)
        self._failures.record(endpoint, request, outcome)

    def _record_times(self, state: RequestState, attempt: InFlightAttempt, ended: AttemptEnded) -> None:
        now = self._context.now
        outcome = ended.outcome
        request_class = state.request.request_class
        if outcome is AttemptOutcome.STREAMED:
            self._latency.record_stage(request_class, Stage.STREAM, now - attempt.stage_started_at, now)
        if not attempt.decodes and outcome in (AttemptOutcome.PREFILLED, AttemptOutcome.TIMED_OUT):
            self._latency.record_prefill(attempt, ended, now)
            self._affinity.record_cached(state, attempt, ended)
        elif outcome is AttemptOutcome.TIMED_OUT:
            self._latency.record_stage(request_class, Stage.FIRST_TOKEN, ended.took_ms, now)
