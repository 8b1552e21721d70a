"""The lease of a request: when the state held for it is released. Tests of the class itself and of the router's
decisions."""

from __future__ import annotations

from math import inf
from typing import Any

import pytest

from ternlane.policy import messages
from ternlane.policy.lease import RELEASE_RESERVE, AttemptEnd, Lease, ReleaseSchedule
from ternlane.policy.messages import AttemptOutcome, Effect, ReleaseReason
from tests.conftest import ROUTER_CONFIG, FakeHost, action_types, make_host, started_attempt

RELEASE_AFTER_MS = (1 - RELEASE_RESERVE) * ROUTER_CONFIG.release_ms


def decode_ended(outcome: AttemptOutcome) -> AttemptEnd:
    return AttemptEnd(outcome, prefills=False, state_lost=False)


def lease_after_prefill(at: float = 100.0) -> Lease[str]:
    lease: Lease[str] = Lease()
    lease.attempt_started()
    lease.attempt_ended(AttemptEnd(AttemptOutcome.PREFILLED, prefills=True, state_lost=False), "p0", at)
    return lease


@pytest.mark.parametrize(
    "outcome, renewed",
    [
        (AttemptOutcome.OVERLOADED, True),  # a running server has answered
        (AttemptOutcome.ERROR, True),
        (AttemptOutcome.TIMED_OUT, False),  # no sign that it has arrived
        (AttemptOutcome.RESET, False),
        (AttemptOutcome.CANCELLED, False),
        (AttemptOutcome.CONNECT_FAILED, False),
        (AttemptOutcome.NOT_STARTED, False),
    ],
)
def test_only_an_answer_restarts_the_release_time(outcome: AttemptOutcome, renewed: bool) -> None:
    lease = lease_after_prefill(at=100.0)
    lease.attempt_started()
    lease.attempt_ended(decode_ended(outcome), "d0", 300.0)
    assert lease.since == (300.0 if renewed else 100.0) and lease.held_at == "p0" and lease.may_hold


@pytest.mark.parametrize("outcome", [AttemptOutcome.TIMED_OUT, AttemptOutcome.RESET])
def test_attempt_that_ends_after_a_confirmed_release_restarts_the_release_time(outcome: AttemptOutcome) -> None:
    lease = lease_after_prefill()
    lease.attempt_started()
    lease.released_early()
    lease.release_confirmed()
    lease.attempt_ended(decode_ended(outcome), "d0", 900.0)
    assert lease.since == 900.0 and lease.held_at == "p0"
    lease.attempt_started()  # the confirmation does not apply to the next attempt
    lease.attempt_ended(decode_ended(outcome), "d1", 1000.0)
    assert lease.since == 900.0


def test_confirmation_counts_only_for_a_release_during_the_attempt() -> None:
    lease = lease_after_prefill()
    lease.release_confirmed()
    lease.attempt_started()
    lease.release_confirmed()  # confirms an earlier release
    lease.attempt_ended(decode_ended(AttemptOutcome.TIMED_OUT), "d0", 900.0)
    assert lease.since == 100.0


def test_schedule_drops_replaced_times() -> None:
    schedule: ReleaseSchedule[str] = ReleaseSchedule()
    a, b = lease_after_prefill(), lease_after_prefill()
    assert schedule.add("a", a, 300.0) and not schedule.add("b", b, 400.0)
    assert schedule.add("a", a, 200.0)  # replaces the time
    a.attempt_answered()
    assert schedule.next_at() == 400.0 and schedule.take_due(399.0) == []
    assert schedule.take_due(400.0) == ["b"] and schedule.next_at() == inf


# -- decisions of the router


def make_platform_host(*extra: str, **router_config: Any) -> FakeHost:
    return make_host(extra, releases_spare_attempts=True, **router_config)


def release_reasons(actions: list[Any]) -> list[ReleaseReason]:
    return [action.why for action in actions if isinstance(action, messages.Release)]


@pytest.mark.parametrize("effect", list(Effect))
def test_state_of_an_unanswered_decode_attempt_is_released_once_and_the_attempt_continues(effect: Effect) -> None:
    host = make_platform_host()
    host.start_decode(effect)
    assert host.deliver(after=RELEASE_AFTER_MS - 1) == []
    actions = host.deliver(after=1)
    assert action_types(actions) == [messages.Release] and release_reasons(actions) == [ReleaseReason.ATTEMPT_SILENT]
    assert host.deliver(after=100) == []


def test_state_taken_by_a_decode_attempt_is_not_released() -> None:
    host = make_platform_host()
    request, attempt = host.start_decode()
    host.first_token(request, attempt.server)
    assert not release_reasons(host.deliver(after=2 * ROUTER_CONFIG.release_ms))


def test_timed_out_attempt_does_not_extend_the_release_time() -> None:
    host = make_platform_host("w2", "w3")
    request, attempt = host.start_decode()
    actions = host.end_attempt(request, attempt.server, AttemptOutcome.TIMED_OUT, after=RELEASE_AFTER_MS / 2)
    attempt = started_attempt(actions)
    # Another attempt may still take the state.
    assert attempt.server.role is messages.Role.DECODE and not release_reasons(actions)
    assert release_reasons(host.deliver(after=RELEASE_AFTER_MS / 2)) == [ReleaseReason.ATTEMPT_SILENT]
    # The release was not confirmed.
    actions = host.end_attempt(request, attempt.server, AttemptOutcome.TIMED_OUT, after=50.0)
    assert (
        release_reasons(actions) == [ReleaseReason.BEFORE_NEW_PREFILL]
        and started_attempt(actions).server.role is messages.Role.PREFILL
    )


def test_state_is_handed_over_after_a_confirmed_release() -> None:
    """If the attempt has arrived and is only slow, the servers keep the state for it despite the release."""
    host = make_platform_host("w2")
    request, attempt = host.start_decode()
    assert release_reasons(host.deliver(after=RELEASE_AFTER_MS)) == [ReleaseReason.ATTEMPT_SILENT]
    host.deliver(messages.ReleaseConfirmed(request))
    actions = host.end_attempt(request, attempt.server, AttemptOutcome.TIMED_OUT, after=250.0)
    assert started_attempt(actions).server.role is messages.Role.DECODE and not release_reasons(actions)
    # The new attempt has its own release time.
    assert release_reasons(host.deliver(after=RELEASE_AFTER_MS)) == [ReleaseReason.ATTEMPT_SILENT]


def test_no_prefill_is_started_as_the_last_attempt() -> None:
    host = make_platform_host(max_attempts=3)
    request, attempt = host.start_decode()
    actions = host.end_attempt(request, attempt.server, AttemptOutcome.OVERLOADED, state_lost=True)
    assert (
        action_types(actions) == [messages.Release, messages.Reject]
        and actions[-1].why is messages.RejectReason.ATTEMPTS_SPENT
    )


def test_nothing_is_released_during_a_prefill() -> None:
    """A release would drop the state that the prefill is about to leave."""
    host = make_platform_host()
    request = host.request()
    first = started_attempt(host.arrive(request))
    actions = host.end_attempt(request, first.server, AttemptOutcome.RESET)
    assert (
        release_reasons(actions) == [ReleaseReason.BEFORE_NEW_PREFILL]
        and started_attempt(actions).server is not first.server
    )
    assert not release_reasons(host.deliver(after=2 * ROUTER_CONFIG.release_ms))


def test_state_of_an_unconfirmed_prefill_is_released_again_while_the_request_is_queued() -> None:
    host = make_platform_host()
    host.update_endpoints(r0=messages.EndpointStatus.DRAINING)
    occupying = started_attempt(host.arrive(host.request(prompt_tokens=190e3, prefix=None)))
    host.update_endpoints(r0=messages.EndpointStatus.READY)
    request = host.request(prefix=None)
    first = started_attempt(host.arrive(request))
    assert first.server is not occupying.server
    actions = host.end_attempt(request, first.server, AttemptOutcome.RESET)
    assert action_types(actions) == [messages.Release]  # no prefill server has capacity
    assert release_reasons(host.deliver(after=RELEASE_AFTER_MS)) == [ReleaseReason.ATTEMPT_SILENT]


def test_state_is_released_after_a_client_disconnect_if_attempts_cannot_be_cancelled() -> None:
    host = make_platform_host(may_cancel=False)
    request, _ = host.start_decode(Effect.SIDE_EFFECTING)
    host.deliver(messages.ClientDisconnected(request))
    assert release_reasons(host.deliver(after=RELEASE_AFTER_MS)) == [ReleaseReason.ATTEMPT_SILENT]


@pytest.mark.parametrize("router_config", [{"releases_spare_attempts": False}, {"holds_expire_unless_arrived": False}])
def test_no_early_release_if_it_would_harm_an_attempt_or_states_do_not_expire(
    router_config: dict[str, bool],
) -> None:
    host = make_host(**({"releases_spare_attempts": True} | router_config))
    host.start_decode()
    assert not release_reasons(host.deliver(after=2 * ROUTER_CONFIG.release_ms))
