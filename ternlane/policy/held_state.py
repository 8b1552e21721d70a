"""Releases what servers hold for requests: when they are over, before a new prefill, and before a lease runs out."""

from __future__ import annotations

from math import inf

from ternlane.policy.actors import RouterContext
from ternlane.policy.endpoint_messages import CapacityReleased
from ternlane.policy.lease import ReleaseSchedule
from ternlane.policy.messages import Release, ReleaseReason, StartTimer, TimerKind
from ternlane.policy.request_state import RequestState


class StateReleaser:
    """Sends the releases that the requests' leases call for."""

    def __init__(self, context: RouterContext) -> None:
        self._context = context
        self._schedule: ReleaseSchedule[RequestState] = ReleaseSchedule()

    def release(self, state: RequestState, reason: ReleaseReason) -> None:
        """Releases what may be held, also what a prefill may yet leave behind whose end was not heard, and the memory
        reserved for the request."""
        lease = state.lease
        if lease.may_hold:
            again = state.is_finished and lease.prefill_unconfirmed
            self._context.actions.append(Release(state.request, again, reason))
            lease.released(state.is_finished)
        for endpoint in (state.prefill_server, state.decode_server):
            if endpoint is not None:
                endpoint.post(CapacityReleased(state.request))

    def schedule_release(self, state: RequestState) -> None:
        """Has what may be held released in time, should nothing show by then that a decode attempt has arrived. Such an
        attempt can be lost without an error; the state would be held past its release time."""
        limits = self._context.limits
        if limits.release_unconfirmed_ms == inf or not state.lease.may_hold:
            return
        at = state.lease.since + limits.release_unconfirmed_ms
        if self._schedule.add(state, state.lease, at):
            self._context.actions.append(StartTimer(at, TimerKind.DEADLINE))

    def release_due(self) -> None:
        """Releases what was neither taken nor released so far, though a decode attempt may be out for it. A prefill
        that is out would lose what it is about to leave, and gets its own release when it ends."""
        for state in self._schedule.take_due(self._context.now):
            if state.attempt is not None and not state.attempt.decodes:
                continue
            state.lease.released_early()
            self._context.actions.append(Release(state.request, why=ReleaseReason.ATTEMPT_SILENT))
        at = self._schedule.next_at()
        if at < inf:
            self._context.actions.append(StartTimer(at, TimerKind.DEADLINE))
