"""What may be held for a request, since when, and by when it is released: the lease by itself, and in the decisions."""

from __future__ import annotations

from math import inf
from typing import Any

import pytest

from ternlane.policy import messages
from ternlane.policy.lease import RELEASE_RESERVE, AttemptEnd, Lease, ReleaseSchedule
from ternlane.policy.messages import AttemptOutcome, Effect, ReleaseReason
from tests.conftest import ROUTER_CONFIG, FakeHost, action_types, make_host, started_attempt

GUARD_MS = (1 - RELEASE_RESERVE) * ROUTER_CONFIG.release_ms


def decode_ended(outcome: AttemptOutcome) -> AttemptEnd:
    return AttemptEnd(outcome, prefills=False, state_lost=False)


def prefilled(at: float = 100.0) -> Lease[str]:
    lease: Lease[str] = Lease()
    lease.attempt_begins()
    lease.attempt_ended(AttemptEnd(AttemptOutcome.PREFILLED, prefills=True, state_lost=False), "p0", at)
    return lease


@pytest.mark.parametrize(
    "outcome, renewed",
    [
        (AttemptOutcome.OVERLOADED, True),  # a running server has answered
        (AttemptOutcome.ERROR, True),
        (AttemptOutcome.TIMED_OUT, False),  # nothing shows that it has arrived
        (AttemptOutcome.RESET, False),
        (AttemptOutcome.CANCELLED, False),
        (AttemptOutcome.CONNECT_FAILED, False),
        (AttemptOutcome.NOT_STARTED, False),
    ],
)
def test_only_an_answer_begins_the_release_time_anew(outcome: AttemptOutcome, renewed: bool) -> None:
    lease = prefilled(at=100.0)
    lease.attempt_begins()
    lease.attempt_ended(decode_ended(outcome), "d0", 300.0)
    assert lease.since == (300.0 if renewed else 100.0) and lease.held_at == "p0" and lease.may_hold


@pytest.mark.parametrize("outcome", [AttemptOutcome.TIMED_OUT, AttemptOutcome.RESET])
def test_what_outlasts_a_confirmed_release_was_kept_for_an_attempt_that_had_arrived(outcome: AttemptOutcome) -> None:
    lease = prefilled()
    lease.attempt_begins()
    lease.released_early()
    lease.release_confirmed()
    lease.attempt_ended(decode_ended(outcome), "d0", 900.0)
    assert lease.since == 900.0 and lease.held_at == "p0"
    lease.attempt_begins()  # what was heard for one attempt says nothing of the next
    lease.attempt_ended(decode_ended(outcome), "d1", 1000.0)
    assert lease.since == 900.0


def test_a_confirmation_counts_only_for_a_release_while_the_attempt_was_out() -> None:
    lease = prefilled()
    lease.release_confirmed()
    lease.attempt_begins()
    lease.release_confirmed()  # of an earlier release
    lease.attempt_ended(decode_ended(AttemptOutcome.TIMED_OUT), "d0", 900.0)
    assert lease.since == 100.0


def test_the_schedule_forgets_times_that_no_longer_hold() -> None:
    schedule: ReleaseSchedule[str] = ReleaseSchedule()
    a, b = prefilled(), prefilled()
    assert schedule.add("a", a, 300.0) and not schedule.add("b", b, 400.0)
    assert schedule.add("a", a, 200.0)  # another time for the same one
    a.attempt_answered()
    assert schedule.next_at() == 400.0 and schedule.take_due(399.0) == []
    assert schedule.take_due(400.0) == ["b"] and schedule.next_at() == inf


# -- in the decisions


def platform_like(*extra: str, **router_config: Any) -> FakeHost:
    return make_host(extra, releases_spare_attempts=True, **router_config)


def released(said: list[Any]) -> list[ReleaseReason]:
    return [action.why for action in said if isinstance(action, messages.Release)]


@pytest.mark.parametrize("effect", list(Effect))
def test_a_state_whose_decode_attempt_is_not_answered_is_released_once_and_the_attempt_goes_on(effect: Effect) -> None:
    host = platform_like()
    host.start_decode(effect)
    assert host.deliver(after=GUARD_MS - 1) == []
    said = host.deliver(after=1)
    assert action_types(said) == [messages.Release] and released(said) == [ReleaseReason.ATTEMPT_SILENT]
    assert host.deliver(after=100) == []


def test_a_state_that_a_decode_attempt_has_taken_is_not_released() -> None:
    host = platform_like()
    request, attempt = host.start_decode()
    host.first_token(request, attempt.server)
    assert not released(host.deliver(after=2 * ROUTER_CONFIG.release_ms))


def test_an_attempt_that_timed_out_does_not_prolong_the_release_time() -> None:
    host = platform_like("w2", "w3")
    request, attempt = host.start_decode()
    said = host.end_attempt(request, attempt.server, AttemptOutcome.TIMED_OUT, after=GUARD_MS / 2)
    attempt = started_attempt(said)
    assert attempt.server.role is messages.Role.DECODE and not released(said)  # another may still take it
    assert released(host.deliver(after=GUARD_MS / 2)) == [ReleaseReason.ATTEMPT_SILENT]
    said = host.end_attempt(
        request, attempt.server, AttemptOutcome.TIMED_OUT, after=50.0
    )  # nobody has heard the release
    assert (
        released(said) == [ReleaseReason.BEFORE_NEW_PREFILL]
        and started_attempt(said).server.role is messages.Role.PREFILL
    )


def test_a_state_that_survives_a_heard_release_is_handed_on() -> None:
    """The servers kept it for the attempt, if that had arrived and was merely slow."""
    host = platform_like("w2")
    request, attempt = host.start_decode()
    assert released(host.deliver(after=GUARD_MS)) == [ReleaseReason.ATTEMPT_SILENT]
    host.deliver(messages.ReleaseConfirmed(request))
    said = host.end_attempt(request, attempt.server, AttemptOutcome.TIMED_OUT, after=250.0)
    assert started_attempt(said).server.role is messages.Role.DECODE and not released(said)
    assert released(host.deliver(after=GUARD_MS)) == [ReleaseReason.ATTEMPT_SILENT]  # that one has its own time


def test_no_prefill_begins_that_would_be_the_last_attempt() -> None:
    host = platform_like(max_attempts=3)
    request, attempt = host.start_decode()
    said = host.end_attempt(request, attempt.server, AttemptOutcome.OVERLOADED, state_lost=True)
    assert (
        action_types(said) == [messages.Release, messages.Reject]
        and said[-1].why is messages.RejectReason.ATTEMPTS_SPENT
    )


def test_nothing_is_released_while_a_prefill_is_out() -> None:
    """It would take with it what that prefill is about to leave."""
    host = platform_like()
    request = host.request()
    first = started_attempt(host.arrive(request))
    said = host.end_attempt(request, first.server, AttemptOutcome.RESET)
    assert released(said) == [ReleaseReason.BEFORE_NEW_PREFILL] and started_attempt(said).server is not first.server
    assert not released(host.deliver(after=2 * ROUTER_CONFIG.release_ms))


def test_what_an_unheard_prefill_may_leave_is_released_again_while_its_request_queues() -> None:
    host = platform_like()
    host.update_endpoints(r0=messages.EndpointStatus.DRAINING)
    large = started_attempt(host.arrive(host.request(prompt_tokens=190e3, prefix=None)))
    host.update_endpoints(r0=messages.EndpointStatus.READY)
    request = host.request(prefix=None)
    first = started_attempt(host.arrive(request))
    assert first.server is not large.server
    said = host.end_attempt(request, first.server, AttemptOutcome.RESET)
    assert action_types(said) == [messages.Release]  # no prefill server has room
    assert released(host.deliver(after=GUARD_MS)) == [ReleaseReason.ATTEMPT_SILENT]


def test_a_client_that_has_left_changes_nothing_where_attempts_can_not_be_cancelled() -> None:
    host = platform_like(may_cancel=False)
    request, _ = host.start_decode(Effect.SIDE_EFFECTING)
    host.deliver(messages.ClientDisconnected(request))
    assert released(host.deliver(after=GUARD_MS)) == [ReleaseReason.ATTEMPT_SILENT]


@pytest.mark.parametrize("router_config", [{"releases_spare_attempts": False}, {"holds_expire_unless_arrived": False}])
def test_where_a_release_would_harm_an_attempt_or_sends_can_not_be_lost_none_is_early(
    router_config: dict[str, bool],
) -> None:
    host = make_host(**({"releases_spare_attempts": True} | router_config))
    host.start_decode()
    assert not released(host.deliver(after=2 * ROUTER_CONFIG.release_ms))
