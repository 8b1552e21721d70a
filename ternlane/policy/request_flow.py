"""The steps of a request, from its arrival to its final answer.

In order: `request_arrived`, `_place_or_enqueue`, `_place` (admission, then a pair of servers), `_start_attempt` (the
prefill), `attempt_ended`, `reselect`, `_hand_over`, `_start_attempt` (the decode), `first_token`, `attempt_ended`.
`_finish` gives every final answer that does not come from an attempt.
"""

from __future__ import annotations

from ternlane.policy import messages
from ternlane.policy.actors import RouterContext
from ternlane.policy.attempt import InFlightAttempt, Stage
from ternlane.policy.congestion import memory_tokens
from ternlane.policy.endpoint_messages import (
    AttemptStarted,
    CapacityReleased,
    CapacityReserved,
    EndpointUnreachable,
    LoadReported,
    Reselect,
    StageEnded,
)
from ternlane.policy.endpoint_state import EndpointState, endpoint_of
from ternlane.policy.lease import AttemptEnd
from ternlane.policy.messages import AttemptOutcome, EndpointStatus, RejectReason, ReleaseReason, Request
from ternlane.policy.outlier_detection import health_sign
from ternlane.policy.placement import ServerPair
from ternlane.policy.request_state import MayHaveRun, RequestState, state_of
from ternlane.policy.retry_policy import NEVER_RAN
from ternlane.policy.rules import Rules
from ternlane.policy.timeouts import start_attempt_action

# Lower bound of `queue_correction` when the time of the next prefill is predicted.
MIN_QUEUE_CORRECTION = 1 / 16


def forward_report(endpoint: EndpointState, report: messages.Report | None) -> None:
    """Passes a load report to its endpoint, if it contains the memory use."""
    if report is not None and report.memory_share is not None:
        endpoint.post(LoadReported(report.memory_share, report.open_requests))


class RequestFlow:
    """Moves requests through their phases (`request_state.py`), and consults the rules at each step."""

    def __init__(self, context: RouterContext, rules: Rules) -> None:
        self._context = context
        self._rules = rules
        self.unanswered: dict[RequestState, None] = {}  # without a first token and without a final answer

    # -- from arrival to the first attempt

    def request_arrived(self, request: Request) -> None:
        """Handles a new request: places it, probes servers for their load first, or queues it."""
        now = self._context.now
        request_class = request.request_class
        objective_ms = request_class.slo_ms or request.client_timeout_ms
        slo_ms = objective_ms + request_class.slo_per_1000_tokens_ms * request.prompt_tokens / 1000
        draw = self._rules.draws.slow_start_draw()
        state = RequestState(request, now + slo_ms - request.waited_ms, now + request.client_timeout_ms, draw)
        request.router_state = state
        self.unanswered[state] = None
        self._rules.latency.record_prompt(request)
        self._rules.affinity.request_arrived(request)
        if now >= self._rules.shutdown.admits_until:
            self._finish(state, RejectReason.SHUTDOWN)
            return
        if self._rules.reports_on_probe() and self._rules.probes.has_time(state):
            state.preferred = self._rules.affinity.preferred_servers(request)
            if self._rules.probes.probe_preferred(state):
                return  # it is placed once they have answered, at the next tick at the latest
        self._place_or_enqueue(state)

    def _place_or_enqueue(self, state: RequestState) -> None:
        """Queues a new request behind waiting ones; a request that had an attempt already is placed at once."""
        if self._rules.queue and not state.attempts:
            self._enqueue(state)
        else:
            self._place(state)

    def _enqueue(self, state: RequestState) -> None:
        latest_start = self._rules.admission.latest_start(state)
        if self._context.now >= latest_start:
            self._finish(state, RejectReason.QUEUED_TOO_LONG)
        else:
            self._rules.queue.add(state, latest_start)

    def _place(self, state: RequestState) -> None:
        """Sends the request to a pair of servers, or queues it if none has capacity."""
        reason = self._rules.admission.reject_reason(state)
        if reason is not None:
            self._finish(state, reason)
            return
        pair = self._rules.placement.choose(state)
        if pair is None:
            state.found_no_capacity = True
            if self._rules.admission.has_servers_for(state):
                self._enqueue(state)
            else:
                self._finish(state, RejectReason.NO_SERVER)
            return
        self._reserve(state, pair)
        if self._rules.reports_on_probe() and pair.decode_server is not pair.prefill_server:
            self._rules.probes.probe_if_stale(pair.decode_server)  # its report arrives during the prefill
        self._start_attempt(state, pair.prefill_server)

    def _reserve(self, state: RequestState, pair: ServerPair) -> None:
        self._rules.placement.set_home(state, pair)  # home: the pair of servers that the session prefers
        state.prefill_server = pair.prefill_server
        state.decode_server = pair.decode_server
        for endpoint in dict.fromkeys(pair):
            endpoint.post(CapacityReserved(state.request, memory_tokens(state.request, endpoint.decodes)))

    def expire_queued(self, state: RequestState) -> None:
        """Gives the final answer to a request that has waited in the queue beyond its latest start."""
        self._finish(state, RejectReason.QUEUED_TOO_LONG)

    def serve_queue(self) -> bool:
        """Places the first request for which there is capacity. Returns True if there may be more to place."""
        return self._rules.queue.drain(self._place, self.expire_queued)

    # -- attempts

    def _start_attempt(self, state: RequestState, endpoint: EndpointState) -> None:
        """Sends an attempt; nothing else does. Callers must have checked `Placement.is_eligible`."""
        assert state.attempt is None and endpoint.server.status is EndpointStatus.READY
        now = self._context.now
        snapshot = self._rules.endpoints[endpoint]
        decodes = endpoint is state.decode_server
        work_ms = 0.0 if decodes else self._rules.affinity.prefill_work_ms(endpoint, state)
        stage = Stage.FIRST_TOKEN if decodes else Stage.PREFILL
        usual_ms = max(self._rules.latency.usual_ms(state.request.request_class, stage), work_ms + snapshot.queue_ms)
        attempt = InFlightAttempt(
            server=endpoint.server,
            request=state.request,
            decodes=decodes,
            started_at=now,
            stage_started_at=now,
            usual_ms=usual_ms,
            prefill_work_ms=work_ms,
            expected_ms=work_ms
            + snapshot.total_queue_ms / max(self._rules.latency.queue_correction, MIN_QUEUE_CORRECTION),
            needs_connection=not snapshot.connected,
        )
        state.start(attempt)
        state.lease.attempt_started()
        endpoint.post(AttemptStarted(attempt))
        window_ms = self._rules.retries.repeat_window_ms(state)
        action = start_attempt_action(self._context, state, attempt, self._rules.reports_on_probe(), window_ms)
        self._context.actions.append(action)

    def first_token(self, state: RequestState, attempt: InFlightAttempt, took_ms: float) -> None:
        """Handles the first token, `took_ms` after the attempt was sent: the decode server has taken the state."""
        request = state.request
        endpoint = endpoint_of(attempt.server)
        state.lease.attempt_answered()
        self.unanswered.pop(state, None)
        if state.prefill_server is not None and state.prefill_server is not state.decode_server:
            state.prefill_server.post(CapacityReleased(request))
        self._rules.recorder.first_token(endpoint, request, took_ms)
        stream_ms = self._rules.latency.usual_ms(request.request_class, Stage.STREAM)
        endpoint.post(StageEnded(attempt, True, stream_ms))

    def attempt_ended(self, ended: messages.AttemptEnded) -> None:
        """Handles the end of an attempt: updates the models and the lease, and chooses the next step."""
        state = state_of(ended.request)
        endpoint = endpoint_of(ended.server)
        attempt = state.attempt
        state.attempt = None
        forward_report(endpoint, ended.report)
        if attempt is None:
            return  # a duplicate event
        outcome = ended.outcome
        endpoint.post(StageEnded(attempt, health_sign(outcome), None))
        if outcome in (AttemptOutcome.CONNECT_FAILED, AttemptOutcome.RESET):
            endpoint.post(EndpointUnreachable())
        self._rules.recorder.attempt_ended(endpoint, state, attempt, ended)
        if attempt.decodes and outcome not in NEVER_RAN and state.may_have_run is None:
            state.may_have_run = MayHaveRun(attempt.started_at, ended.server)
        state.lease.attempt_ended(AttemptEnd(outcome, endpoint.prefills, ended.state_lost), endpoint, self._context.now)
        if state.is_finished or ended.over:
            self.close(state)
        else:
            state.attempt_ended()
            self._after_attempt(state, endpoint, ended)

    def _after_attempt(self, state: RequestState, endpoint: EndpointState, ended: messages.AttemptEnded) -> None:
        """Chooses the next step while the client is still waiting."""
        self._rules.state_releaser.schedule_release(state)
        if ended.outcome is AttemptOutcome.CLIENT_GONE:
            self._finish(state, RejectReason.CLIENT_LEFT)
            return
        if ended.outcome is not AttemptOutcome.PREFILLED and not ended.state_lost:
            state.tried.add(endpoint)  # this includes overloaded servers
        if ended.broken:
            # The client has got its first token, so only the deadline applies. The host sends ResumeStream to resume.
            state.first_token_due = state.deadline
            self._rules.state_releaser.release(state, ReleaseReason.STREAM_BROKE)
            state.requeue()
            return
        endpoint.post(Reselect(state.request))

    def prefill_overtaken(self, attempt: InFlightAttempt) -> None:
        """Cancels a prefill whose answer was lost, if there are attempts left for another pair."""
        state = state_of(attempt.request)
        if (
            state.attempt is attempt
            and not attempt.overtaken
            and not state.is_finished
            and self._rules.config.may_cancel
            and self._rules.retries.has_attempts_for_pair(state)
        ):
            attempt.overtaken = True
            self._context.actions.append(messages.CancelAttempt(state.request))

    # -- between attempts

    def reselect(self, state: RequestState) -> None:
        """Starts the next attempt if the request's effect (idempotent, deduplicated or side-effecting) permits one: a
        decode if a state is held, else a prefill at a new pair. Otherwise gives the final answer."""
        if self._context.now >= self._rules.shutdown.answers_by:
            self._finish(state, RejectReason.SHUTDOWN)
        elif self._rules.retries.is_spent(state):
            self._finish(state, RejectReason.ATTEMPTS_SPENT)
        elif not self._rules.retries.permits_any(state):
            self._finish(state, RejectReason.MAY_HAVE_RUN)
        elif self._may_hand_over(state):
            self._hand_over(state)
        else:
            self._rules.state_releaser.release(state, ReleaseReason.BEFORE_NEW_PREFILL)
            state.requeue()
            self._place_or_enqueue(state)

    def _may_hand_over(self, state: RequestState) -> bool:
        """Whether a state is held that will not expire before a decode attempt can take it, even after one more failed
        connection."""
        lease = state.lease
        if lease.held_at is None:
            return False
        return self._context.now <= lease.since + self._context.limits.handover_within_ms

    def _hand_over(self, state: RequestState) -> None:
        """Sends the decode to the chosen server or, if that has become congested, to the next best one."""
        decode_server = state.decode_server
        assert decode_server is not None  # both servers are chosen before a prefill starts
        if self._still_takes_handover(decode_server, state):
            self._start_attempt(state, decode_server)
            return
        pair = self._rules.placement.best_pair(state, state.lease.held_at)
        if pair is not None:
            decode_server.post(CapacityReleased(state.request))
            state.decode_server = pair.decode_server
            tokens = memory_tokens(state.request, pair.decode_server.decodes)
            pair.decode_server.post(CapacityReserved(state.request, tokens))
            self._rules.placement.move_home(state)
            self._start_attempt(state, pair.decode_server)
        elif self._rules.placement.is_eligible(decode_server, state) and self._accepts(decode_server, state):
            self._start_attempt(state, decode_server)
        else:  # releases the state and prefills again; the prompt is now cached
            state.lease.held_at = None
            self.reselect(state)

    def _still_takes_handover(self, endpoint: EndpointState, state: RequestState) -> bool:
        if not self._rules.placement.is_eligible(endpoint, state) or not self._accepts(endpoint, state):
            return False
        if self._rules.failures.fails_mostly(endpoint, state.request):
            return False
        if not self._rules.reports_on_probe():
            return True  # its memory is reserved; only a newer report could show that there is no capacity
        return not self._rules.congestion.is_congested(self._rules.endpoints[endpoint], state)

    def _accepts(self, endpoint: EndpointState, state: RequestState) -> bool:
        return self._rules.congestion.accepts(self._rules.endpoints[endpoint], state)

    # -- end of a request

    def answer_before_shutdown(self) -> None:
        """Shortly before the process may be killed, gives the final answer to each request without a first token. If an
        attempt is in flight, cancels that instead: its outcome shows whether the request may be rejected, and
        `reselect` then gives the answer."""
        if self._context.now < self._rules.shutdown.answers_by:
            return
        for state in list(self.unanswered):
            attempt = state.attempt
            if attempt is not None and self._rules.config.may_cancel:
                self._context.actions.append(messages.CancelAttempt(state.request))
                continue
            if attempt is not None and state.may_have_run is None:  # it cannot be cancelled, and may run
                state.may_have_run = MayHaveRun(attempt.started_at, attempt.server)
            self._finish(state, RejectReason.SHUTDOWN)

    def _finish(self, state: RequestState, reason: RejectReason) -> None:
        """Gives the final answer: Reject if the client may safely retry, else Fail."""
        self._context.actions.append(self._rules.retries.final_answer(state, reason))
        self.close(state)

    def close(self, state: RequestState) -> None:
        """Ends the request for its client. The state held for an attempt in flight is released when that ends."""
        state.close()
        self.unanswered.pop(state, None)
        if state.attempt is None:
            self._rules.state_releaser.release(state, ReleaseReason.REQUEST_OVER)
        elif self._rules.config.may_cancel:
            self._context.actions.append(messages.CancelAttempt(state.request))
