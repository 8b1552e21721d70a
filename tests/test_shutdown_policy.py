"""Decisions during a graceful shutdown: which requests are admitted, and when all have their final answers."""

from __future__ import annotations

from typing import Any

import pytest
import trio

from ternlane.platform.gateway import KILL_GRACE_MS, LONGEST_DEADLINE_MS
from ternlane.policy import messages
from ternlane.policy.messages import AttemptOutcome, Effect, RejectReason, ShutdownTimes
from ternlane.policy.shutdown import STALL_MS, ShutdownSchedule, shutdown_times
from ternlane.testing.platform import Gate
from tests.conftest import FakeHost, action_types, make_host, started_attempt
from tests.platform_gateway import PLATFORM_SETTINGS, fault_always, platform
from tests.race_helpers import RawClient, client_request, wait_until
from tests.test_final_answers import replace_decisions

TIMES = ShutdownTimes(admits_ms=500.0, answers_ms=3000.0, ends_ms=3700.0)


@pytest.mark.parametrize("release_ms", [0.0, 500.0, 5000.0])
@pytest.mark.parametrize("longest_ms", [100.0, 900.0, LONGEST_DEADLINE_MS])
@pytest.mark.parametrize("since_ms", [0.0, 150.0, 1600.0, 9000.0])
def test_no_request_is_admitted_that_could_be_unanswered_at_the_kill(
    release_ms: float, longest_ms: float, since_ms: float
) -> None:
    """Whether the signal is handled at once or after a stall, and for any settings."""
    times = shutdown_times(longest_ms, KILL_GRACE_MS, release_ms, since_ms)
    assert times.admits_ms + since_ms + STALL_MS <= KILL_GRACE_MS
    assert times.ends_ms + since_ms == longest_ms + KILL_GRACE_MS
    reserve = times.ends_ms - times.answers_ms
    assert reserve >= min(2 * STALL_MS, (longest_ms + KILL_GRACE_MS) / 2)
    assert times.answers_ms + since_ms >= (longest_ms + KILL_GRACE_MS) / 2  # admitted requests are not ended too early


def test_repeated_shutdown_does_not_extend_the_first() -> None:
    schedule = ShutdownSchedule()
    schedule.begin(1000.0, TIMES)
    schedule.begin(2000.0, TIMES)
    assert (schedule.admits_until, schedule.answers_by, schedule.ends_at) == (1500.0, 4000.0, 4700.0)
    schedule.begin(2000.0, ShutdownTimes(0.0, 100.0, 200.0))
    assert schedule.ends_at == 2200.0 and schedule.admits_until == 1500.0


def final_answers(actions: list[Any]) -> list[Any]:
    return [action for action in actions if isinstance(action, (messages.Reject, messages.Fail))]


def record_short_streams(host: FakeHost, effect: Effect) -> None:
    """Makes the usual stream time short, so that no estimate prevents the router from starting a stream."""
    for _ in range(60):
        request, attempt = host.start_decode(effect)
        host.first_token(request, attempt.server, after=1.0)
        host.end_attempt(request, attempt.server, AttemptOutcome.STREAMED, after=1.0, over=True)


@pytest.mark.parametrize("effect", Effect)
def test_request_late_in_a_shutdown_is_rejected_at_once(effect: Effect) -> None:
    host = make_host()
    record_short_streams(host, effect)
    host.deliver(messages.ShutdownStarted(TIMES))
    early = host.request(effect)
    assert action_types(host.arrive(early, after=TIMES.admits_ms - 10)) == [messages.StartAttempt]
    late = host.request(effect)
    actions = host.arrive(late, after=20.0)
    assert [type(action) for action in actions if action.request is late] == [messages.Reject]
    assert actions[-1].why is RejectReason.SHUTDOWN and actions[-1].pause_ms > 0
    assert late not in host.router.scheduler.request_flow.unanswered


@pytest.mark.parametrize("effect", Effect)
def test_requests_without_a_first_token_get_the_correct_final_answer(effect: Effect) -> None:
    """A request is answered only after its attempt has ended, as the outcome shows whether it may have run."""
    host = make_host()
    record_short_streams(host, effect)
    host.deliver(messages.ShutdownStarted(ShutdownTimes(admits_ms=500.0, answers_ms=600.0, ends_ms=1500.0)))
    streamed, stream = host.start_decode(effect, client_timeout_ms=9000.0)
    host.first_token(streamed, stream.server)
    decoded, decode = host.start_decode(effect, client_timeout_ms=9000.0)
    prefilling = host.request(effect, client_timeout_ms=9000.0)
    prefill = started_attempt(host.arrive(prefilling))
    actions = host.deliver(after=300.0)
    cancelled = {action.request for action in actions if isinstance(action, messages.CancelAttempt)}
    # The client of the streamed request has part of the answer.
    assert cancelled == {decoded, prefilling} and not final_answers(actions)
    after_prefill = final_answers(host.end_attempt(prefilling, prefill.server, AttemptOutcome.CANCELLED, after=1.0))
    assert action_types(after_prefill) == [messages.Reject]  # a prefill has no effect, whatever its outcome
    actions = host.end_attempt(decoded, decode.server, AttemptOutcome.CANCELLED, after=1.0)
    may_repeat = effect is Effect.IDEMPOTENT
    assert action_types(final_answers(actions)) == [messages.Reject if may_repeat else messages.Fail]
    assert messages.Release in action_types(actions) and not host.router.scheduler.request_flow.unanswered


@pytest.mark.parametrize("effect", Effect)
def test_requests_are_failed_if_attempts_cannot_be_cancelled_and_may_run(effect: Effect) -> None:
    """The outcome of an attempt in flight is unknown, so requests that may run only once are failed."""
    host = make_host(may_cancel=False)
    record_short_streams(host, effect)
    host.deliver(messages.ShutdownStarted(ShutdownTimes(admits_ms=500.0, answers_ms=600.0, ends_ms=1500.0)))
    requests = [host.request(effect, client_timeout_ms=9000.0), host.start_decode(effect, client_timeout_ms=9000.0)[0]]
    host.arrive(requests[0])
    actions = host.deliver(after=500.0)
    may_repeat = effect is Effect.IDEMPOTENT
    assert action_types(final_answers(actions)) == [messages.Reject if may_repeat else messages.Fail] * 2
    assert messages.CancelAttempt not in action_types(actions) and not host.router.scheduler.request_flow.unanswered


def test_queued_requests_are_answered_before_the_end(host: FakeHost) -> None:
    for name in ("r0", "r1"):
        host.update_endpoints(**{name: messages.EndpointStatus.DRAINING})
    waiting = host.request(client_timeout_ms=9000.0)
    host.router.scheduler.rules.admission.has_servers_for = lambda state: True  # type: ignore[method-assign]
    host.arrive(waiting)
    host.deliver(messages.ShutdownStarted(TIMES))
    actions = host.deliver(after=TIMES.answers_ms)
    assert [type(action) for action in actions] == [
        messages.Reject
    ] and not host.router.scheduler.request_flow.unanswered


def test_finished_requests_are_dropped(host: FakeHost) -> None:
    streamed, attempt = host.start_decode()
    host.first_token(streamed, attempt.server)
    left, _ = host.start_decode()
    host.deliver(messages.ClientDisconnected(left))
    whole, attempt = host.start_decode()
    # A host that forwards answers only when they are complete delivers no FirstToken.
    host.end_attempt(whole, attempt.server, AttemptOutcome.STREAMED, over=True)
    failed, attempt = host.start_decode(Effect.SIDE_EFFECTING)
    host.end_attempt(failed, attempt.server, AttemptOutcome.ERROR)
    assert not host.router.scheduler.request_flow.unanswered


async def test_gateway_answers_a_request_without_a_decision_before_the_kill() -> None:
    """The router fails to decide during the shutdown, and the deadline of the request is later than the end of the
    process."""
    async with platform("r0", "w0", w0=fault_always("silent")) as p:
        client = RawClient(p.address)
        client.send(client_request(p, Request_Class="note", Request_Timeout="1.5"))
        await wait_until(lambda: p.fleet.count("write"))
        replace_decisions(p, lambda events: [])
        active_request = next(iter(p.gateway.runtime.active_requests.values()))
        active_request.request.client_timeout_ms = 60e3
        since = trio.current_time()
        p.nursery.start_soon(p.gateway.drain)
        answer = await client.rest()
        longest_ms = max(
            request_class.deadline_ms for request_class in p.gateway.runtime.deployment.request_classes.values()
        )
        assert answer.startswith(b"HTTP/1.1 502 ") and (trio.current_time() - since) * 1000 < longest_ms + KILL_GRACE_MS


async def test_attempt_that_waits_for_a_release_is_cancelled_at_once() -> None:
    """No server confirms the release, and the attempt waits for it up to the connect time-out, which is long."""
    platform_settings = PLATFORM_SETTINGS | {"limits": PLATFORM_SETTINGS["limits"] | {"connect_timeout": 8000.0}}
    async with platform("r0", "w0", platform_settings=platform_settings, w0=fault_always("gone_410")) as p:
        for server in p.servers.values():
            server.lease_call_fault = "silent"
        client = RawClient(p.address)
        client.send(client_request(p, Request_Timeout="9"))
        await wait_until(
            lambda: any(
                active_request.attempt_count == 3 for active_request in p.gateway.runtime.active_requests.values()
            )
        )
        p.nursery.start_soon(p.gateway.drain)
        answer = await client.rest()
        assert answer.startswith(b"HTTP/1.1 503 ") and not p.gateway.runtime.reporter.counts["overdue"]


async def test_answer_that_starts_after_the_signal_has_connection_close() -> None:
    """This includes requests that arrived before the signal, so that their clients use another gateway next."""
    async with platform("r0", "w0") as p:
        client = RawClient(p.address)
        gate = p.servers["w0"].gates["request"] = Gate()
        client.send(client_request(p))
        await gate.reached.wait()
        p.gateway.begin_drain()
        gate.open()
        answer = await client.rest()
        assert answer.startswith(b"HTTP/1.1 200 ") and b"\r\nConnection: close\r\n" in answer
