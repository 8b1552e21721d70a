"""Load probes: where servers report their load only when asked, they are asked before a request is placed."""

from __future__ import annotations

from ternlane.policy.actors import RouterContext
from ternlane.policy.endpoint_state import EndpointState
from ternlane.policy.messages import Probe
from ternlane.policy.request_state import RequestState

# Preferred prefill servers that are asked: the best, and the one to take where that is full.
PROBED_SERVERS = 2
# A request is placed without asking where its client has no more than this many ticks left.
MIN_TICKS_LEFT = 2.0


class LoadProbes:
    """Requests that wait for reports. A report is fresh for one tick, and nobody waits longer than to the next tick."""

    def __init__(self, context: RouterContext) -> None:
        self._context = context
        self._waiting: list[RequestState] = []

    def has_time(self, state: RequestState) -> bool:
        """Whether the request's client has time left for asking."""
        return state.deadline > self._context.now + MIN_TICKS_LEFT * self._context.limits.tick_ms

    def ask(self, endpoint: EndpointState) -> bool:
        """Probes the server unless its last report is fresh. True if it was probed."""
        report = endpoint.last_report
        if report is not None and self._context.now - report.at <= self._context.limits.tick_ms:
            return False
        self._context.actions.append(Probe(endpoint.server))
        return True

    def ask_preferred(self, state: RequestState) -> bool:
        """Probes the request's preferred prefill servers. True if it has to wait for a report."""
        state.probed = {endpoint for endpoint in state.preferred[:PROBED_SERVERS] if self.ask(endpoint)}
        if state.probed:
            self._waiting.append(state)
        return bool(state.probed)

    def answered(self, endpoint: EndpointState) -> list[RequestState]:
        """The open requests that waited for this server's report alone."""
        ready = []
        for state in [state for state in self._waiting if endpoint in state.probed]:
            state.probed.discard(endpoint)
            if not state.probed:
                self._waiting.remove(state)
                if not state.is_finished:
                    ready.append(state)
        return ready

    def stop_waiting(self) -> list[RequestState]:
        """The open requests that still wait: a server that does not answer holds nobody up."""
        waiting = [state for state in self._waiting if not state.is_finished]
        self._waiting = []
        return waiting
