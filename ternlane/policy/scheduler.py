"""The scheduler: the actor that handles all events of the host and all messages of the endpoints.

It passes events of single requests to `request_flow.py`, and handles those of the whole gateway itself.
"""

from __future__ import annotations

from ternlane.policy import messages
from ternlane.policy.actors import Actor, RouterContext
from ternlane.policy.endpoint_messages import EndpointChanged, Reselect
from ternlane.policy.endpoint_state import (
    EndpointReport,
    EndpointSnapshot,
    EndpointState,
    PrefillOvertaken,
    endpoint_of,
)
from ternlane.policy.limits import limits_from
from ternlane.policy.messages import RouterConfig, Server, TimerKind
from ternlane.policy.request_flow import RequestFlow, forward_report
from ternlane.policy.request_state import state_of
from ternlane.policy.rules import Rules


class Scheduler(Actor[messages.Event | EndpointReport]):
    """Makes decisions from the latest snapshots of the endpoints only."""

    def __init__(self, context: RouterContext, config: RouterConfig) -> None:
        super().__init__(context)
        self.rules = Rules(context, config)
        self.request_flow = RequestFlow(context, self.rules)
        self._watching = False  # a watch on the endpoint list was requested

    # -- messages

    def handle(self, message: messages.Event | EndpointReport) -> None:
        """Handles a message of an endpoint, or an event of the host."""
        match message:
            case EndpointSnapshot():
                self.rules.endpoints.update(message)
            case Reselect(request):
                self.request_flow.reselect(state_of(request))
            case PrefillOvertaken(attempt):
                self.request_flow.prefill_overtaken(attempt)
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
        """Handles an event of one request; other events need no reaction."""
        match event:
            case messages.RequestArrived(request):
                self.request_flow.request_arrived(request)
            case messages.FirstToken(request, _, took_ms):
                state = state_of(request)
                if state.attempt is not None:
                    self.request_flow.first_token(state, state.attempt, took_ms)
            case messages.AttemptEnded():
                self.rules.queue.capacity_may_have_changed()
                self.request_flow.attempt_ended(event)
            case messages.ClientDisconnected(request):
                state_or_none = request.router_state
                if state_or_none is not None and not state_or_none.is_finished:
                    self.request_flow.close(state_or_none)
            case messages.ResumeStream(request):
                state = state_of(request)
                if not state.is_finished and state.attempt is None:
                    self.request_flow.reselect(state)
            case messages.ReleaseConfirmed(request):
                if request.router_state is not None:
                    request.router_state.lease.release_confirmed()

    def _handle_gateway_event(self, event: messages.Event) -> None:
        match event:
            case messages.EndpointsUpdated(servers):
                self._endpoints_updated(servers)
            case messages.ConfigChanged(config):
                self._config_changed(config)
            case messages.ShutdownStarted(times):
                self.rules.shutdown.begin(self.context.now, times)
                self.rules.queue.try_all()
                self.context.actions.append(messages.StartTimer(self.rules.shutdown.answers_by, TimerKind.DEADLINE))
            case messages.EndpointListFailed():
                self._watching = False
            case messages.ProbeResult(server, _, report):
                self._probe_answered(endpoint_of(server), report)
            case messages.TimerFired(TimerKind.TICK):
                self._tick()
            case messages.TimerFired(TimerKind.DEADLINE):
                self.rules.state_releaser.release_due()
                self.request_flow.answer_before_shutdown()

    # -- events of the whole gateway

    def _endpoints_updated(self, servers: tuple[Server, ...]) -> None:
        for server in servers:
            endpoint = server.router_state
            if endpoint is None:
                endpoint = EndpointState(self.context, self, server)
                server.router_state = endpoint
            self.rules.slow_start.forget(endpoint)  # the server may have restarted
            endpoint.post(EndpointChanged())

    def _config_changed(self, config: RouterConfig) -> None:
        self.context.limits = limits_from(config)
        self.rules.queue.capacity_may_have_changed()
        self.rules.config = config
        request_classes = set(config.request_classes)
        self.rules.latency.keep_only(request_classes)
        self.rules.affinity.keep_only(request_classes)
        for endpoint in self.rules.endpoints:
            endpoint.post(EndpointChanged())

    def _tick(self) -> None:
        """Does the periodic work."""
        self.context.actions.append(messages.StartTimer(self.context.now + self.context.limits.tick_ms, TimerKind.TICK))
        if self.rules.config.must_subscribe and not self._watching:
            self._watching = True
            self.context.actions.append(messages.WatchEndpoints())
        self.rules.placement.forget_idle_homes()
        for state in self.rules.probes.stop_waiting():
            self.request_flow.reselect(state)
        if self.rules.fleet.tick():  # it has compared the servers, which may change which of them are eligible
            self.rules.queue.capacity_may_have_changed()

    def _probe_answered(self, endpoint: EndpointState, report: messages.Report | None) -> None:
        forward_report(endpoint, report)
        for state in self.rules.probes.report_received(endpoint):
            endpoint.post(Reselect(state.request))

    def serve_queue(self) -> bool:
        """Places the first queued request for which there is capacity. Returns True if there may be more to place."""
        return self.request_flow.serve_queue()
