"""The scheduler: the actor that hears every event of the host and every report of the endpoints.

It passes what concerns one request on to `request_flow.py`, and does itself what concerns the gateway as a whole.
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
from ternlane.policy.request_flow import RequestFlow, take_report
from ternlane.policy.request_state import state_of
from ternlane.policy.rules import Rules


class Scheduler(Actor[messages.Event | EndpointReport]):
    """Decides by the endpoints' last snapshots only."""

    def __init__(self, context: RouterContext, config: RouterConfig) -> None:
        super().__init__(context)
        self.rules = Rules(context, config)
        self.requests = RequestFlow(context, self.rules)
        self._watching = False  # the endpoint list's changes were asked for

    # -- messages

    def handle(self, message: messages.Event | EndpointReport) -> None:
        """Acts on what an endpoint reports, or on an event of the host."""
        match message:
            case EndpointSnapshot():
                self.rules.endpoints[message.endpoint] = message
            case Reselect(request):
                self.requests.reselect(state_of(request))
            case PrefillOvertaken(attempt):
                self.requests.prefill_overtaken(attempt)
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
                self.requests.request_arrived(request)
            case messages.FirstToken(request, _, took_ms):
                state = state_of(request)
                if state.attempt is not None:
                    self.requests.first_token(state, state.attempt, took_ms)
            case messages.AttemptEnded():
                self.rules.queue.room_may_have_changed()
                self.requests.attempt_ended(event)
            case messages.ClientDisconnected(request):
                client_left = request.router_state
                if client_left is not None and not client_left.is_finished:
                    self.requests.close(client_left)
            case messages.ResumeStream(request):
                state = state_of(request)
                if not state.is_finished and state.attempt is None:
                    self.requests.reselect(state)
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
                self.rules.held_state.release_due()
                self.requests.answer_before_the_end()

    # -- the gateway's own events

    def _endpoints_updated(self, servers: tuple[Server, ...]) -> None:
        for server in servers:
            endpoint = server.router_state
            if endpoint is None:
                endpoint = EndpointState(self.context, self, server)
                server.router_state = endpoint
            self.rules.slow_start.forget(endpoint)
            endpoint.post(EndpointChanged())

    def _config_changed(self, config: RouterConfig) -> None:
        self.context.limits = limits_from(config)
        self.rules.queue.room_may_have_changed()
        self.rules.config = config
        request_classes = set(config.request_classes)
        self.rules.latency.keep_only(request_classes)
        self.rules.affinity.keep_only(request_classes)
        for endpoint in self.rules.endpoints:
            endpoint.post(EndpointChanged())

    def _tick(self) -> None:
        """Does what is due from time to time, whatever happens."""
        self.context.actions.append(messages.StartTimer(self.context.now + self.context.limits.tick_ms, TimerKind.TICK))
        if self.rules.config.must_subscribe and not self._watching:
            self._watching = True
            self.context.actions.append(messages.WatchEndpoints())
        self.rules.placement.forget_idle_homes()
        for state in self.rules.probes.stop_waiting():
            self.requests.reselect(state)
        if self.rules.fleet.tick():
            self.rules.queue.room_may_have_changed()

    def _probe_answered(self, endpoint: EndpointState, report: messages.Report | None) -> None:
        take_report(endpoint, report)
        for state in self.rules.probes.answered(endpoint):
            endpoint.post(Reselect(state.request))

    def serve_queue(self) -> bool:
        """Places the first queued request that finds room. True while there may be more to place."""
        return self.requests.serve_queue()
