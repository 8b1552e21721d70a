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

    def release(self, request_state: RequestState, reason: ReleaseReason) -> None:
        """Releases the KV state that servers may hold for the request, and the memory reserved for it. This includes a
        KV state that a prefill may still leave if it is not known whether the prefill has ended."""
        lease = request_state.lease
        if lease.may_hold:
            # The host repeats the release, as the prefill may leave a KV state after the first one.
            must_repeat = request_state.is_finished and lease.prefill_unconfirmed
            self._context.actions.append(Release(request_state.request, must_repeat, reason))
            lease.released(request_state.is_finished)
        for endpoint in (request_state.prefill_server, request_state.decode_server):
            if endpoint is not None:
                endpoint.post(CapacityReleased(request_state.request))

    def schedule_release(self, request_state: RequestState) -> None:
        """Schedules a release in case nothing shows in time that a decode attempt has reached its server. An attempt
        can be lost without an error, and the KV state would then be held beyond its release time."""
        limits = self._context.limits
        if limits.release_unconfirmed_ms == inf or not request_state.lease.may_hold:
            return
        at = request_state.lease.since + limits.release_unconfirmed_ms
        if self._schedule.add(request_state, request_state.lease, at):
            self._context.actions.append(StartTimer(at, TimerKind.DEADLINE))

    def release_due(self) -> None:
        """Releases the KV states that are due and were neither taken nor released, even if a decode attempt is in
        flight. While a prefill is in flight nothing is released, as that would drop the KV state that the prefill is
        about to leave; it is released after the prefill."""
        for request_state in self._schedule.take_due(self._context.now):
            if request_state.attempt is not None and not request_state.attempt.decodes:
                continue
            request_state.lease.released_early()
            self._context.actions.append(Release(request_state.request, why=ReleaseReason.ATTEMPT_SILENT))
        at = self._schedule.next_at()
        if at < inf:
            self._context.actions.append(StartTimer(at, TimerKind.DEADLINE))
