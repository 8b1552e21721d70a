"""Releases the state that servers hold for requests: at their end, before a new prefill, and before a lease expires."""

from __future__ import annotations

from math import inf

from ternlane.policy.actors import RouterContext
from ternlane.policy.endpoint_messages import CapacityReleased
from ternlane.policy.lease import ReleaseSchedule
from ternlane.policy.messages import Release, ReleaseReason, StartTimer, TimerKind
from ternlane.policy.request_state import RequestState


class StateReleaser:
    """Issues the releases required by the leases of the requests."""

    def __init__(self, context: RouterContext) -> None:
        self._context = context
        self._schedule: ReleaseSchedule[RequestState] = ReleaseSchedule()

    def release(self, state: RequestState, reason: ReleaseReason) -> None:
        """Releases the state that may be held for the request, including one that a prefill of unconfirmed end may
        still leave, and the memory reserved for it."""
        lease = state.lease
        if lease.may_hold:
            again = state.is_finished and lease.prefill_unconfirmed
            self._context.actions.append(Release(state.request, again, reason))
            lease.released(state.is_finished)
        for endpoint in (state.prefill_server, state.decode_server):
            if endpoint is not None:
                endpoint.post(CapacityReleased(state.request))

    def schedule_release(self, state: RequestState) -> None:
        """Schedules a release in case nothing shows in time that a decode attempt has reached its server. An attempt
        can be lost without an error, and the state would then be held beyond its release time."""
        limits = self._context.limits
        if limits.release_unconfirmed_ms == inf or not state.lease.may_hold:
            return
        at = state.lease.since + limits.release_unconfirmed_ms
        if self._schedule.add(state, state.lease, at):
            self._context.actions.append(StartTimer(at, TimerKind.DEADLINE))

    def release_due(self) -> None:
        """Releases the states that are due and were neither taken nor released, even if a decode attempt is in flight.
        While a prefill is in flight nothing is released, as that would drop the state that the prefill is about to
        leave; it is released after the prefill."""
        for state in self._schedule.take_due(self._context.now):
            if state.attempt is not None and not state.attempt.decodes:
                continue
            state.lease.released_early()
            self._context.actions.append(Release(state.request, why=ReleaseReason.ATTEMPT_SILENT))
        at = self._schedule.next_at()
        if at < inf:
            self._context.actions.append(StartTimer(at, TimerKind.DEADLINE))
