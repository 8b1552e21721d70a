"""The scheduler: takes each request from its arrival to its final answer.

The way of a request: `_request_arrived`, `_enter`, `_place` (admission, then a pair of servers), `_start_attempt` (the
prefill), `_attempt_ended`, `_reselect`, `_hand_over`, `_start_attempt` (the decode), `_first_token`, `_attempt_ended`.
Every final answer that no attempt has given comes from `_give_up`.
"""

from __future__ import annotations


from ternlane.policy import messages
from ternlane.policy.actors import Actor, RouterContext
from ternlane.policy.admission import AdmissionPolicy
from ternlane.policy.admission_queue import AdmissionQueue
from ternlane.policy.attempt import Attempt, Stage
from ternlane.policy.congestion import CongestionDetector, memory_tokens
from ternlane.policy.endpoint_messages import (
    AttemptStarted,
    CapacityReleased,
    CapacityReserved,
    EndpointChanged,
    EndpointUnreachable,
    LoadReported,
    Reselect,
    StageEnded,
)
from ternlane.policy.endpoint_state import (
    EndpointReport,
    EndpointSnapshot,
    EndpointState,
    PrefillOvertaken,
    endpoint_of,
)
from ternlane.policy.failure_avoidance import FailureAvoidance
from ternlane.policy.fleet_monitor import FleetMonitor
from ternlane.policy.held_state import HeldState
from ternlane.policy.latency import LatencyModel
from ternlane.policy.lease import AttemptEnd
from ternlane.policy.limits import limits_from
from ternlane.policy.load_probes import LoadProbes
from ternlane.policy.messages import (
    AttemptOutcome,
    EndpointStatus,
    RejectReason,
    ReleaseReason,
    Request,
    RouterConfig,
    Server,
)
from ternlane.policy.outcome_recorder import OutcomeRecorder
from ternlane.policy.outlier_detection import health_sign
from ternlane.policy.placement import Placement, ServerPair
from ternlane.policy.prefix_affinity import PrefixAffinity
from ternlane.policy.random_draws import RandomDraws
from ternlane.policy.request_state import MayHaveRun, RequestState, state_of
from ternlane.policy.retry_policy import NEVER_RAN, RetryPolicy
from ternlane.policy.shutdown import ShutdownSchedule
from ternlane.policy.slow_start import SlowStart
from ternlane.policy.timeouts import start_attempt

# The least part of its estimate that a queue is believed to last, when the next prefill's time is foreseen.
MIN_QUEUE_TRUST = 1 / 16


class Scheduler(Actor[messages.Event | EndpointReport]):
    """Owns the requests, and decides by the endpoints' last snapshots only."""

    def __init__(self, context: RouterContext, config: RouterConfig) -> None:
        super().__init__(context)
        self._config = config
        self._watching = False  # the endpoint list's changes were asked for
        self.endpoints: dict[EndpointState, EndpointSnapshot] = {}  # in the order in which they were listed
        self.unanswered: dict[RequestState, None] = {}  # without a first token and without a final answer
        draws = RandomDraws(config.seed)
        self._draws = draws
        self.shutdown = ShutdownSchedule()
        self.latency = LatencyModel(context.limits.min_slo_ms)
        self.affinity = PrefixAffinity(self.endpoints, self.latency)
        self.failures = FailureAvoidance(context)
        self.slow_start = SlowStart(context)
        self.congestion = CongestionDetector(context)
        self.retries = RetryPolicy(context, self.endpoints)
        self.placement = Placement(
            context,
            self.endpoints,
            draws,
            self.slow_start,
            self.congestion,
            self.failures,
            self.affinity,
            self.retries,
        )
        self.admission = AdmissionPolicy(
            context, self.endpoints, self.latency, self.congestion, self.retries, self.shutdown
        )
        self.queue = AdmissionQueue(context, draws)
        self.probes = LoadProbes(context)
        self.held_state = HeldState(context)
        self.fleet = FleetMonitor(context, self.endpoints, self.latency, self.failures, self.affinity, self.slow_start)
        self._recorder = OutcomeRecorder(context, self.latency, self.congestion, self.failures, self.affinity)

    # -- messages

    def handle(self, message: messages.Event | EndpointReport) -> None:
        """Acts on what an endpoint reports, or on an event of the host."""
        match message:
            case EndpointSnapshot():
                self.endpoints[message.endpoint] = message
            case Reselect(request):
                self._reselect(state_of(request))
            case PrefillOvertaken(attempt):
                self._prefill_overtaken(attempt)
            case (
                messages.EndpointsUpdated()
                | messages.ConfigChanged()
                | messages.ShutdownStarted()
                | messages.EndpointListFailed()
                | messages.ProbeResult()
                | messages.TimerFired()
            ):
                self._handle_gateway_event(message)
            case _:
                self._handle_request_event(message)

    def _handle_request_event(self, event: messages.Event) -> None:
        match event:
            case messages.RequestArrived(request):
                self._request_arrived(request)
            case messages.FirstToken(request, _, took_ms):
                state = state_of(request)
                if state.attempt is not None:
                    self._first_token(state, state.attempt, took_ms)
            case messages.AttemptEnded():
                self.queue.room_may_have_changed()
                self._attempt_ended(event)
            case messages.ClientDisconnected(request):
                client_left = request._router_state
                if client_left is not None and not client_left.over:
                    self._close(client_left)
            case messages.ResumeStream(request):
                state = state_of(request)
                if not state.over and state.attempt is None:
                    self._reselect(state)
            case messages.ReleaseConfirmed(request):
                if request._router_state is not None:
                    request._router_state.lease.release_heard()

    def _handle_gateway_event(self, event: messages.Event) -> None:
        match event:
            case messages.EndpointsUpdated(servers):
                self._endpoints_updated(servers)
            case messages.ConfigChanged(config):
                self._config_changed(config)
            case messages.ShutdownStarted(times):
                self.shutdown.begin(self.context.now, times)
                self.queue.try_all()
                self.context.actions.append(messages.StartTimer(self.shutdown.answers_by, False))
            case messages.EndpointListFailed():
                self._watching = False
            case messages.ProbeResult(server, _, report):
                self._probe_answered(endpoint_of(server), report)
            case messages.TimerFired(True):
                self._tick()
            case messages.TimerFired(False):
                self.held_state.release_due()
                self._answer_before_the_end()

    # -- the gateway's own events

    def _endpoints_updated(self, servers: tuple[Server, ...]) -> None:
        for server in servers:
            endpoint = server._router_state
            if endpoint is None:
                endpoint = EndpointState(self.context, self, server)
                server._router_state = endpoint
            self.slow_start.forget(endpoint)
            endpoint.post(EndpointChanged())

    def _config_changed(self, config: RouterConfig) -> None:
        self.context.limits = limits_from(config)
        self.queue.room_may_have_changed()
        self._config = config
        request_classes = set(config.request_classes)
        self.latency.keep_only(request_classes)
        self.affinity.keep_only(request_classes)
        for endpoint in self.endpoints:
            endpoint.post(EndpointChanged())

    def _tick(self) -> None:
        """Does what is due from time to time, whatever happens."""
        self.context.actions.append(messages.StartTimer(self.context.now + self.context.limits.tick_ms, True))
        if self._config.must_subscribe and not self._watching:
            self._watching = True
            self.context.actions.append(messages.WatchEndpoints())
        self.placement.forget_idle_homes()
        for state in self.probes.stop_waiting():
            self._reselect(state)
        if self.fleet.tick():
            self.queue.room_may_have_changed()

    def _answer_before_the_end(self) -> None:
        """The final answer for all that have no first token shortly before this gateway may be killed. An attempt that
        is out is cancelled first: whether its request may be called rejected shows only once it has ended."""
        if self.context.now < self.shutdown.answers_by:
            return
        for state in list(self.unanswered):
            attempt = state.attempt
            if attempt is not None and self._config.may_cancel:
                self.context.actions.append(messages.CancelAttempt(state.request))
                continue
            if attempt is not None and state.may_have_run is None:
                state.may_have_run = MayHaveRun(attempt.started_at, attempt.server)
            self._give_up(state, RejectReason.SHUTDOWN)

    # -- load probes

    def _reports_on_probe(self) -> bool:
        return self._config.may_probe and self._config.reports_on_probe

    def _probe_answered(self, endpoint: EndpointState, report: messages.Report | None) -> None:
        self._take_report(endpoint, report)
        for state in self.probes.answered(endpoint):
            endpoint.post(Reselect(state.request))

    def _take_report(self, endpoint: EndpointState, report: messages.Report | None) -> None:
        if report is not None and report.memory_share is not None:
            endpoint.post(LoadReported(report.memory_share, report.open_requests))

    # -- from arrival to the first attempt

    def _request_arrived(self, request: Request) -> None:
        now = self.context.now
        request_class = request.request_class
        objective_ms = request_class.slo_ms or request.client_timeout_ms
        slo_ms = objective_ms + request_class.slo_per_1000_tokens_ms * request.prompt_tokens / 1000
        draw = self._draws.slow_start_draw()
        state = RequestState(request, now + slo_ms, now + request.client_timeout_ms, draw)
        request._router_state = state
        self.unanswered[state] = None
        self.latency.learn_prompt(request)
        self.affinity.request_arrived(request)
        if now >= self.shutdown.admits_until:
            self._give_up(state, RejectReason.SHUTDOWN)
            return
        if self._reports_on_probe() and self.probes.has_time(state):
            state.preferred = self.affinity.preferred_servers(request)
            if self.probes.ask_preferred(state):
                return  # it is placed when they have answered, at the next tick at the latest
        self._enter(state)

    def _enter(self, state: RequestState) -> None:
        """A new request queues behind those that wait; one that had an attempt already goes first."""
        if self.queue and not state.attempts:
            self._enqueue(state)
        else:
            self._place(state)

    def _enqueue(self, state: RequestState) -> None:
        latest_start = self.admission.latest_start(state)
        if self.context.now >= latest_start:
            self._give_up(state, RejectReason.QUEUED_TOO_LONG)
        else:
            self.queue.add(state, latest_start)

    def _place(self, state: RequestState) -> None:
        """Sends the request to a pair of servers; where none has room, it waits before its prefill."""
        reason = self.admission.reject_reason(state)
        if reason is not None:
            self._give_up(state, reason)
            return
        pair = self.placement.choose(state)
        if pair is None:
            state.found_no_room = True
            if self.admission.has_servers_for(state):
                self._enqueue(state)
            else:
                self._give_up(state, RejectReason.NO_SERVER)
            return
        self._reserve(state, pair)
        if self._reports_on_probe() and pair.decode_server is not pair.prefill_server:
            self.probes.ask(pair.decode_server)  # its report comes while the prompt is prefilled
        self._start_attempt(state, pair.prefill_server)

    def _reserve(self, state: RequestState, pair: ServerPair) -> None:
        self.placement.set_home(state, pair)
        state.prefill_server = pair.prefill_server
        state.decode_server = pair.decode_server
        for endpoint in dict.fromkeys(pair):
            endpoint.post(CapacityReserved(state.request, memory_tokens(state.request, endpoint)))

    def expire_queued(self, state: RequestState) -> None:
        """It has waited for room until its time was too short."""
        self._give_up(state, RejectReason.QUEUED_TOO_LONG)

    def serve_queue(self) -> bool:
        """Places the first request that finds room. True while there may be more to place."""
        return self.queue.drain(self._place, self.expire_queued)

    # -- attempts

    def _start_attempt(self, state: RequestState, endpoint: EndpointState) -> None:
        """The only place that sends. Its callers have asked `Placement.is_eligible`."""
        assert state.attempt is None and endpoint.server.status is EndpointStatus.READY
        now = self.context.now
        known = self.endpoints[endpoint]
        decodes = endpoint is state.decode_server
        work_ms = 0.0 if decodes else self.affinity.prefill_work_ms(endpoint, state)
        stage = Stage.FIRST_TOKEN if decodes else Stage.PREFILL
        usual_ms = max(self.latency.usual_ms(state.request.request_class, stage), work_ms + known.queue_ms)
        attempt = Attempt(
            server=endpoint.server,
            request=state.request,
            decodes=decodes,
            started_at=now,
            stage_started_at=now,
            usual_ms=usual_ms,
            prefill_work_ms=work_ms,
            expected_ms=work_ms + known.total_queue_ms / max(self.latency.queue_trust, MIN_QUEUE_TRUST),
            needs_connection=not known.connected,
        )
        state.start(attempt)
        state.lease.attempt_begins()
        endpoint.post(AttemptStarted(attempt))
        window_ms = self.retries.repeat_window_ms(state)
        action = start_attempt(self.context, state, attempt, self._reports_on_probe(), window_ms)
        self.context.actions.append(action)

    def _first_token(self, state: RequestState, attempt: Attempt, took_ms: float) -> None:
        request = state.request
        endpoint = endpoint_of(attempt.server)
        state.lease.attempt_answered()
        self.unanswered.pop(state, None)
        if state.prefill_server is not None and state.prefill_server is not state.decode_server:
            state.prefill_server.post(CapacityReleased(request))
        self._recorder.first_token(endpoint, request, took_ms)
        stream_ms = self.latency.usual_ms(request.request_class, Stage.STREAM)
        endpoint.post(StageEnded(attempt, True, stream_ms))

    def _attempt_ended(self, ended: messages.AttemptEnded) -> None:
        state = state_of(ended.request)
        endpoint = endpoint_of(ended.server)
        attempt = state.attempt
        state.attempt = None
        self._take_report(endpoint, ended.report)
        if attempt is None:
            return  # the host has told of this end before
        outcome = ended.outcome
        endpoint.post(StageEnded(attempt, health_sign(outcome), None))
        if outcome in (AttemptOutcome.CONNECT_FAILED, AttemptOutcome.RESET):
            endpoint.post(EndpointUnreachable())
        self._recorder.attempt_ended(endpoint, state, attempt, ended)
        if attempt.decodes and outcome not in NEVER_RAN and state.may_have_run is None:
            state.may_have_run = MayHaveRun(attempt.started_at, ended.server)
        state.lease.attempt_ended(AttemptEnd(outcome, endpoint.prefills, ended.state_lost), endpoint, self.context.now)
        if state.over or ended.over:
            self._close(state)
        else:
            state.attempt_ended()
            self._after_attempt(state, endpoint, ended)

    def _after_attempt(self, state: RequestState, endpoint: EndpointState, ended: messages.AttemptEnded) -> None:
        """What follows an attempt whose client waits on."""
        self.held_state.schedule_release(state)
        if ended.outcome is AttemptOutcome.CLIENT_GONE:
            self._give_up(state, RejectReason.CLIENT_LEFT)
            return
        if ended.outcome is not AttemptOutcome.PREFILLED and not ended.state_lost:
            state.tried.add(endpoint)  # a server that was full is not asked again either
        if ended.broken:
            # Its client has its first token, so only the deadline binds. The host says when to resume.
            state.first_token_due = state.deadline
            self.held_state.release(state, ReleaseReason.STREAM_BROKE)
            state.requeue()
            return
        endpoint.post(Reselect(state.request))

    def _prefill_overtaken(self, attempt: Attempt) -> None:
        """Cancels a prefill whose answer will not come, if attempts for another pair are left."""
        state = state_of(attempt.request)
        if (
            state.attempt is attempt
            and not attempt.overtaken
            and not state.over
            and self._config.may_cancel
            and self.retries.has_attempts_for_pair(state)
        ):
            attempt.overtaken = True
            self.context.actions.append(messages.CancelAttempt(state.request))

    # -- between two attempts

    def _reselect(self, state: RequestState) -> None:
        """The next attempt, if the effect permits one: with a state at hand a decode, else a pair anew."""
        if self.context.now >= self.shutdown.answers_by:
            self._give_up(state, RejectReason.SHUTDOWN)
        elif self.retries.is_spent(state):
            self._give_up(state, RejectReason.ATTEMPTS_SPENT)
        elif not any(self.retries.permits(state, endpoint) for endpoint in self.endpoints):
            self._give_up(state, RejectReason.MAY_HAVE_RUN)
        elif self._may_hand_over(state):
            self._hand_over(state)
        else:
            self.held_state.release(state, ReleaseReason.BEFORE_NEW_PREFILL)
            state.requeue()
            self._enter(state)

    def _may_hand_over(self, state: RequestState) -> bool:
        """Whether a state is held, and one more connection that never comes up would not outlast its release time."""
        lease = state.lease
        if lease.held_at is None:
            return False
        return self.context.now <= lease.since + self.context.limits.handover_within_ms

    def _hand_over(self, state: RequestState) -> None:
        """The state goes to the chosen decode server, or, if that has congested since, straight to the next best."""
        chosen = state.decode_server
        assert chosen is not None  # a prefill begins only once both servers are chosen
        if self._still_takes_handover(chosen, state):
            self._start_attempt(state, chosen)
            return
        pair = self.placement.best_pair(state, state.lease.held_at)
        if pair is not None:
            chosen.post(CapacityReleased(state.request))
            state.decode_server = pair.decode_server
            tokens = memory_tokens(state.request, pair.decode_server)
            pair.decode_server.post(CapacityReserved(state.request, tokens))
            self.placement.move_home(state)
            self._start_attempt(state, pair.decode_server)
        elif self.placement.is_eligible(chosen, state) and self._accepts(chosen, state):
            self._start_attempt(state, chosen)
        else:  # the state is released, and the prompt, now cached, prefilled again
            state.lease.held_at = None
            self._reselect(state)

    def _still_takes_handover(self, endpoint: EndpointState, state: RequestState) -> bool:
        if not self.placement.is_eligible(endpoint, state) or not self._accepts(endpoint, state):
            return False
        if self.failures.fails_mostly(endpoint, state.request):
            return False
        if not self._reports_on_probe():
            return True  # its memory is reserved; only a report that came since could say that there is no room
        return not self.congestion.is_congested(self.endpoints[endpoint], state)

    def _accepts(self, endpoint: EndpointState, state: RequestState) -> bool:
        return self.congestion.accepts(self.endpoints[endpoint], state)

    # -- the end

    def _give_up(self, state: RequestState, reason: RejectReason) -> None:
        """The final answer, given at once: rejected wherever that is true, else failed."""
        self.context.actions.append(self.retries.final_answer(state, reason))
        self._close(state)

    def _close(self, state: RequestState) -> None:
        """It is over for its client. What an attempt that is out holds is released when it ends."""
        state.close()
        self.unanswered.pop(state, None)
        if state.attempt is None:
            self.held_state.release(state, ReleaseReason.REQUEST_OVER)
        elif self._config.may_cancel:
            self.context.actions.append(messages.CancelAttempt(state.request))
