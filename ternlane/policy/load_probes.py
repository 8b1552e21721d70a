"""Load probes: if servers report their load on request only, they are probed before a request is placed."""

from __future__ import annotations

from collections import defaultdict

from ternlane.policy.actors import RouterContext
from ternlane.policy.endpoint_state import EndpointState
from ternlane.policy.messages import Probe
from ternlane.policy.request_state import RequestState

# Number of preferred prefill servers to probe: the best one, and an alternative if that is full.
PROBED_SERVERS = 2
# A request with less time left, in ticks, is placed without a probe.
MIN_TICKS_LEFT = 2.0


class LoadProbes:
    """Tracks the requests that wait for load reports. A report is fresh for one tick, and no request waits longer than
    until the next tick."""

    def __init__(self, context: RouterContext) -> None:
        self._context = context
        self._waiting: dict[RequestState, None] = {}  # in the order of their arrival
        self._waiting_for: defaultdict[EndpointState, dict[RequestState, None]] = defaultdict(dict)

    def has_time(self, state: RequestState) -> bool:
        """Whether the request has enough time left for a probe."""
        return state.deadline > self._context.now + MIN_TICKS_LEFT * self._context.limits.tick_ms

    def probe_if_stale(self, endpoint: EndpointState) -> bool:
        """Probes the server unless its latest report is fresh. Returns True if it was probed."""
        report = endpoint.last_report
        if report is not None and self._context.now - report.at <= self._context.limits.tick_ms:
            return False
        self._context.actions.append(Probe(endpoint.server))
        return True

    def probe_preferred(self, state: RequestState) -> bool:
        """Probes the preferred prefill servers of the request. Returns True if it has to wait for a report."""
        state.probed = {
            endpoint for endpoint in state.preferred.ranked[:PROBED_SERVERS] if self.probe_if_stale(endpoint)
        }
        if state.probed:
            self._waiting[state] = None
        for endpoint in state.probed:
            self._waiting_for[endpoint][state] = None
        return bool(state.probed)

    def report_received(self, endpoint: EndpointState) -> list[RequestState]:
        """Handles a report. Returns the open requests that were waiting for this report only."""
        ready = []
        for state in self._waiting_for.pop(endpoint, {}):
            if endpoint not in state.probed:  # it has been probed for anew meanwhile
                continue
            state.probed.discard(endpoint)
            if not state.probed:
                del self._waiting[state]
                if not state.is_finished:
                    ready.append(state)
        return ready

    def stop_waiting(self) -> list[RequestState]:
        """Ends all waiting, as servers may not answer. Returns the open requests that were waiting."""
        waiting = [state for state in self._waiting if not state.is_finished]
        self._waiting.clear()
        self._waiting_for.clear()
        return waiting
