"""Decisions of one router for single requests: placement, retries, releases, queueing and failure handling."""

from __future__ import annotations

import pytest

from ternlane.policy import messages
from ternlane.policy.messages import AttemptOutcome, Effect, EndpointStatus, Server
from tests.conftest import FakeHost, action_types, make_host, started_attempt


def test_session_keeps_its_home_pair_within_a_cell(host: FakeHost) -> None:
    first, attempt = host.start_decode(session="s")
    prefill_server = first.router_state.prefill_server.server
    assert attempt.server.cell == prefill_server.cell
    host.first_token(first, attempt.server)
    host.end_attempt(first, attempt.server, AttemptOutcome.STREAMED, over=True)
    for _ in range(4):
        host.arrive(host.request())
    assert started_attempt(host.arrive(host.request(session="s"))).server is prefill_server


def test_full_home_pair_is_replaced_by_the_next_best_pair(host: FakeHost) -> None:
    first, attempt = host.start_decode(session="s")
    for _ in range(3):
        host.end_attempt(first, attempt.server, AttemptOutcome.STREAMED, over=True)
    big = host.request(prompt_tokens=150e3, prefix=None, prefix_tokens=0.0)
    taken = started_attempt(host.arrive(big)).server
    again = host.request(session="s", prompt_tokens=60e3, prefix=None, prefix_tokens=0.0)
    assert started_attempt(host.arrive(again)).server is not taken


def test_reset_prefill_is_retried_at_another_server(host: FakeHost) -> None:
    """A connection is reset during a prefill. The server may still complete the prefill, so the request is retried at
    another server, and the state that the first one may leave is released."""
    request = host.request(Effect.SIDE_EFFECTING)
    attempt = started_attempt(host.arrive(request))
    actions = host.end_attempt(request, attempt.server, AttemptOutcome.RESET)
    assert started_attempt(actions).server is not attempt.server
    assert messages.Release in action_types(actions)  # the prefill may have completed and left its state


@pytest.mark.parametrize("effect", [Effect.IDEMPOTENT, Effect.SIDE_EFFECTING])
def test_overtaken_prefill_is_cancelled_and_retried_at_another_server(effect: Effect) -> None:
    """The answer of a prefill is lost. Its server prefills in order of arrival and has answered a later request, so the
    prefill is cancelled and retried at another server instead of waiting for the time-out."""
    host = make_host()
    unanswered = host.request(effect, session="a")
    first = started_attempt(host.arrive(unanswered))
    later = host.request(session="a")
    # The first prefill is not overdue yet.
    assert started_attempt(host.arrive(later, after=100.0)).server is first.server
    actions = host.end_attempt(later, first.server, AttemptOutcome.PREFILLED, after=20.0)
    assert started_attempt(actions).server.role is messages.Role.DECODE and messages.CancelAttempt not in action_types(
        actions
    )
    actions = host.deliver(after=300.0)  # cancelled before its time-out, without further attempts at its server
    assert [a.request for a in actions if isinstance(a, messages.CancelAttempt)] == [unanswered]
    again = started_attempt(host.end_attempt(unanswered, first.server, AttemptOutcome.CANCELLED))
    assert again.server.role is messages.Role.PREFILL and again.server is not first.server
    assert (
        started_attempt(host.end_attempt(unanswered, again.server, AttemptOutcome.PREFILLED)).server.role
        is messages.Role.DECODE
    )


def test_prefills_with_lost_answers_do_not_count_as_queue() -> None:
    """The answers of prefills are lost, and the prefills may not be cancelled. If they counted as queued
    work, their server would look full and get no requests until they time out."""
    host = make_host(max_attempts=2)  # too few for cancelling a prefill
    prefill_server = started_attempt(host.arrive(host.request(session="a", prompt_tokens=3e3))).server
    full = host.router.scheduler.rules.endpoints[prefill_server.router_state].queue_ms
    later = host.request(session="a", prompt_tokens=100.0)
    assert full > 0 and started_attempt(host.arrive(later, after=10.0)).server is prefill_server
    host.end_attempt(later, prefill_server, AttemptOutcome.PREFILLED, after=10.0)
    assert (
        host.router.scheduler.rules.endpoints[prefill_server.router_state].queue_ms == 0
        and len(prefill_server.router_state.attempts) == 1
    )


def test_half_open_decode_server_gets_the_state_prefilled_for_it(host: FakeHost) -> None:
    """The request's own reservation must not count as an attempt in flight at a half-open server. Otherwise no attempt
    would ever reach the server to readmit it."""
    first, attempt = host.start_decode(session="a")
    decode_server = attempt.server
    host.first_token(first, decode_server)
    host.end_attempt(first, decode_server, AttemptOutcome.STREAMED, over=True)
    other = host.request(session="a")
    host.end_attempt(other, started_attempt(host.arrive(other)).server, AttemptOutcome.PREFILLED)
    # The server is ejected, and half-open afterwards.
    host.deliver(messages.AttemptEnded(other, decode_server, AttemptOutcome.CONNECT_FAILED, 1.0, True))
    host.deliver(after=2000.0)
    new = host.request(session="a")
    prefill_server = started_attempt(host.arrive(new)).server
    assert started_attempt(host.end_attempt(new, prefill_server, AttemptOutcome.PREFILLED)).server is decode_server


def test_half_open_decode_server_gets_one_attempt_despite_older_streams(
    host: FakeHost,
) -> None:
    """A decode server is ejected while it streams. The older streams continue for seconds and give no new information,
    so the half-open server gets one attempt besides them, and no second one."""
    streaming, attempt = host.start_decode(session="a")
    decode_server = attempt.server
    host.first_token(streaming, decode_server)  # this stream continues
    other = host.request(session="a")
    host.end_attempt(other, started_attempt(host.arrive(other)).server, AttemptOutcome.PREFILLED)
    host.deliver(messages.AttemptEnded(other, decode_server, AttemptOutcome.CONNECT_FAILED, 1.0, True))
    host.deliver(after=600.0)
    new, second = host.request(session="a"), host.request(session="a")
    prefill_server = started_attempt(host.arrive(new)).server
    assert started_attempt(host.end_attempt(new, prefill_server, AttemptOutcome.PREFILLED)).server is decode_server
    actions = host.end_attempt(second, started_attempt(host.arrive(second)).server, AttemptOutcome.PREFILLED)
    assert started_attempt(actions).server is not decode_server  # until the first attempt has succeeded


def test_overtaken_prefill_is_not_cancelled_without_attempts_for_another_pair() -> None:
    host = make_host(max_attempts=2)
    unanswered, later = host.request(session="a"), host.request(session="a")
    first = started_attempt(host.arrive(unanswered))
    assert started_attempt(host.arrive(later, after=500.0)).server is first.server
    assert messages.CancelAttempt not in action_types(
        host.end_attempt(later, first.server, AttemptOutcome.PREFILLED, after=50.0)
    )


def test_state_is_handed_over_to_another_decode_server_if_one_is_overloaded(host: FakeHost) -> None:
    request, attempt = host.start_decode(Effect.SIDE_EFFECTING)
    other = started_attempt(host.end_attempt(request, attempt.server, AttemptOutcome.OVERLOADED)).server
    assert other.role is attempt.server.role and other is not attempt.server


def test_state_is_released_if_another_failed_connection_would_exceed_its_release_time() -> None:
    # 250 ms to connect, 500 ms to release: after a failed connection there is time for one more.
    host = make_host(("w2", "w3"))
    request, attempt = host.start_decode()
    second = started_attempt(
        host.end_attempt(request, attempt.server, AttemptOutcome.CONNECT_FAILED, after=250.0)
    ).server
    assert second.role is messages.Role.DECODE
    actions = host.end_attempt(request, second, AttemptOutcome.CONNECT_FAILED, after=250.0)
    assert [type(a) for a in actions] == [messages.Release, messages.StartAttempt]
    assert started_attempt(actions).server.role is messages.Role.PREFILL
    other = make_host(("w2", "w3"), holds_expire_unless_arrived=False)  # states are held without a time limit
    request, attempt = other.start_decode()
    second = started_attempt(
        other.end_attempt(request, attempt.server, AttemptOutcome.CONNECT_FAILED, after=250.0)
    ).server
    assert (
        started_attempt(other.end_attempt(request, second, AttemptOutcome.CONNECT_FAILED, after=250.0)).server.role
        is messages.Role.DECODE
    )
    request, attempt = host.start_decode()  # an overloaded decode server has answered, which restarts the release time
    second = started_attempt(host.end_attempt(request, attempt.server, AttemptOutcome.OVERLOADED, after=400.0)).server
    assert (
        started_attempt(host.end_attempt(request, second, AttemptOutcome.OVERLOADED, after=400.0)).server.role
        is messages.Role.DECODE
    )


@pytest.mark.parametrize("outcome", [AttemptOutcome.CONNECT_FAILED, AttemptOutcome.OVERLOADED])
def test_prefill_that_never_ran_needs_no_release(host: FakeHost, outcome: AttemptOutcome) -> None:
    request = host.request()
    actions = host.end_attempt(request, started_attempt(host.arrive(request)).server, outcome)
    assert action_types(actions) == [messages.StartAttempt]
    assert messages.Release in action_types(
        host.end_attempt(request, started_attempt(actions).server, AttemptOutcome.TIMED_OUT)
    )  # it may have run


@pytest.mark.parametrize("outcome", [AttemptOutcome.TIMED_OUT, AttemptOutcome.CANCELLED, AttemptOutcome.RESET])
def test_state_of_an_unconfirmed_prefill_is_released_again_if_no_attempt_follows(
    host: FakeHost, outcome: AttemptOutcome
) -> None:
    """The end of the prefill is not confirmed, so its state may appear after the first release, and no server is left
    for another attempt."""
    request = host.request()
    prefill_server = started_attempt(host.arrive(request)).server
    host.update_endpoints(
        **{
            name: EndpointStatus.REMOVED
            for name, s in host.servers.items()
            if s.role is messages.Role.PREFILL and s is not prefill_server
        }
    )
    actions = host.end_attempt(request, prefill_server, outcome)
    assert [a.again for a in actions if isinstance(a, messages.Release)] == [
        False,
        True,
    ] and messages.Reject in action_types(actions)
    assert host.deliver(after=3000.0) == []


def test_lost_state_is_prefilled_again(host: FakeHost) -> None:
    request, attempt = host.start_decode()
    actions = host.end_attempt(request, attempt.server, AttemptOutcome.OVERLOADED, state_lost=True)
    assert started_attempt(actions).server.role is messages.Role.PREFILL
    # The prefill server may still hold it and only be unreachable for that decode server.
    assert messages.Release in action_types(actions)


@pytest.mark.parametrize(
    "outcome", [AttemptOutcome.TIMED_OUT, AttemptOutcome.RESET, AttemptOutcome.ERROR, AttemptOutcome.CANCELLED]
)
def test_possible_side_effect_is_not_retried(host: FakeHost, outcome: AttemptOutcome) -> None:
    request, attempt = host.start_decode(Effect.SIDE_EFFECTING)
    assert action_types(host.end_attempt(request, attempt.server, outcome)) == [messages.Fail, messages.Release]
    assert host.deliver(after=3000.0) == []


def test_deduplicated_request_is_repeated_only_within_its_group_and_window(host: FakeHost) -> None:
    request, attempt = host.start_decode(Effect.DEDUPLICATED)
    assert action_types(host.end_attempt(request, attempt.server, AttemptOutcome.RESET)) == [
        messages.Release,
        messages.Fail,
    ]
    request, attempt = host.start_decode(Effect.IDEMPOTENT)
    assert (
        started_attempt(host.end_attempt(request, attempt.server, AttemptOutcome.RESET)).server.role
        is messages.Role.DECODE
    )


def test_request_without_a_decode_server_is_rejected_at_once(host: FakeHost) -> None:
    host.update_endpoints(w0=EndpointStatus.REMOVED, w1=EndpointStatus.DRAINING)
    assert action_types(host.arrive(host.request())) == [messages.Reject]


def test_request_without_time_left_is_rejected_at_once(host: FakeHost) -> None:
    assert action_types(host.arrive(host.request(client_timeout_ms=0.0))) == [messages.Reject]


def test_draining_decode_server_gets_no_new_attempts(host: FakeHost) -> None:
    request = host.request()
    attempt = started_attempt(host.arrive(request))
    home = request.router_state.decode_server.server
    host.update_endpoints(**{name: EndpointStatus.DRAINING for name, s in host.servers.items() if s is home})
    assert started_attempt(host.end_attempt(request, attempt.server, AttemptOutcome.PREFILLED)).server is not home
    later = host.request()
    for server in host.servers.values():  # reported in the same batch, after the arrival
        server.status = EndpointStatus.REMOVED
    assert action_types(
        host.deliver(messages.RequestArrived(later), messages.EndpointsUpdated(tuple(host.servers.values())))
    ) == [messages.Reject]


def test_prefilled_state_is_released_after_a_client_disconnect(host: FakeHost) -> None:
    request = host.request()
    attempt = started_attempt(host.arrive(request))
    assert action_types(host.deliver(messages.ClientDisconnected(request))) == [messages.CancelAttempt]
    assert action_types(host.end_attempt(request, attempt.server, AttemptOutcome.PREFILLED, over=True)) == [
        messages.Release
    ]


def test_untaken_state_is_released_after_a_client_disconnect(host: FakeHost) -> None:
    request, attempt = host.start_decode()
    assert action_types(host.deliver(messages.ClientDisconnected(request))) == [messages.CancelAttempt]
    assert action_types(host.end_attempt(request, attempt.server, AttemptOutcome.CANCELLED, over=True)) == [
        messages.Release
    ]


def test_restarted_server_gets_only_its_slow_start_share() -> None:
    host = make_host(gateways=3)
    host.deliver(after=20e3)
    host.servers["r0"].started_ms = host.servers["w0"].started_ms = host.now
    host.update_endpoints()
    attempts = []
    for _ in range(40):
        request, attempt = host.start_decode(prefix=None)
        attempts.append(attempt.server)
        host.first_token(request, attempt.server, after=20.0)
        host.end_attempt(request, attempt.server, AttemptOutcome.STREAMED, over=True)
    assert 1 <= sum(s is host.servers["w0"] for s in attempts) <= 16


def test_silent_decode_server_loses_its_sessions(host: FakeHost) -> None:
    """A decode server stops answering without an error. Its progress falls behind its peers, so it is ejected and its
    sessions move to other servers."""
    silent = None
    for i in range(8):
        request, attempt = host.start_decode(session=f"s{i}", prefix=f"o{i}")
        silent = silent or attempt.server
        if attempt.server is not silent:
            host.first_token(request, attempt.server, after=20.0)
    host.deliver(after=900.0)
    later = [host.start_decode(session=f"t{i}")[1].server for i in range(3)]
    assert silent not in later


def test_burst_is_queued_and_rejected_in_time(host: FakeHost) -> None:
    big = [host.request(prompt_tokens=90e3, prefix=None, prefix_tokens=0.0, max_tokens=0.0) for _ in range(4)]
    actions = [a for request in big for a in host.arrive(request)]
    assert messages.Reject not in action_types(actions)
    waiting = [g for g in big if g.router_state.attempt is None]
    late = host.deliver(after=6000.0)
    assert waiting and {a.request for a in late if isinstance(a, messages.Reject)} == set(waiting)


def test_request_with_little_time_left_is_not_queued(host: FakeHost) -> None:
    crowd = [host.request(prompt_tokens=90e3, prefix=None, prefix_tokens=0.0) for _ in range(6)]
    for request in crowd:
        host.arrive(request)
    assert action_types(host.arrive(host.request(client_timeout_ms=30.0))) == [messages.Reject]


def test_fast_failing_prefill_server_does_not_attract_all_requests(host: FakeHost) -> None:
    """A server that fails immediately has a short queue and looks free, but must not attract all requests."""
    failing, hits = host.servers["r0"], 0
    for _ in range(30):
        request = host.request(prefix=None)
        attempt = started_attempt(host.arrive(request, after=60.0))
        hits += attempt.server is failing
        if attempt.server is failing:
            attempt = started_attempt(host.end_attempt(request, failing, AttemptOutcome.ERROR, after=4.0))
        attempt = started_attempt(host.end_attempt(request, attempt.server, AttemptOutcome.PREFILLED, after=60.0))
        host.first_token(request, attempt.server, after=20.0)
        host.end_attempt(request, attempt.server, AttemptOutcome.STREAMED, over=True)
    assert 1 <= hits <= 12


def test_servers_that_all_restarted_are_used(host: FakeHost) -> None:
    """All servers restart together. The slow-start quotas must still leave each request a server."""
    for _ in range(10):
        request, attempt = host.start_decode(prefix=None)
        host.first_token(request, attempt.server, after=20.0)
        host.end_attempt(request, attempt.server, AttemptOutcome.STREAMED, over=True)
    for server in host.servers.values():
        server.started_ms = host.now
    host.update_endpoints()
    host.deliver(after=3000.0)
    assert action_types(host.arrive(host.request())) == [messages.StartAttempt]


def test_own_requests_alone_do_not_congest_servers_with_many_gateways() -> None:
    host = make_host(gateways=130)
    for _ in range(3):  # the own load times 130 would exceed each server's memory several times
        assert action_types(host.arrive(host.request())) == [messages.StartAttempt]


def test_gateways_without_load_data_choose_different_decode_servers() -> None:
    chosen = set()
    for seed in range(12):
        host = make_host(extra=("w0a", "w0b", "w1a", "w1b"), gateways=130, seed=seed)
        request = host.request(session="s")
        host.arrive(request)
        chosen.add(next(name for name, s in host.servers.items() if s is request.router_state.decode_server.server))
    assert len(chosen) == 3  # all decode servers in the cell of the prefill server that all gateways choose


def test_gateways_agree_on_the_prefill_servers_of_a_prefix() -> None:
    prefill_servers = [f"r{i % 2}{letter}" for i, letter in enumerate("abcdefgh")]
    taken = set()
    for seed in range(20):
        host = make_host(extra=tuple(prefill_servers), gateways=130, seed=seed)
        attempt = started_attempt(host.arrive(host.request(session=f"s{seed}", prefix="shared")))
        taken.add(next(name for name, s in host.servers.items() if s is attempt.server))
    assert len(taken) <= 12 and len(taken) >= 2
    first, second = (make_host(extra=tuple(prefill_servers), seed=seed) for seed in (1, 2))
    for prefix in "abcdef":
        attempts = [
            started_attempt(h.arrive(h.request(session=prefix, prefix=prefix), after=3000.0)) for h in (first, second)
        ]
        assert len({attempt.server.hash_key for attempt in attempts}) == 1


def test_few_requests_do_not_make_a_prefix_popular() -> None:
    prefill_servers = tuple(f"r{i % 2}{letter}" for i, letter in enumerate("abcdefghijkl"))
    seen: list[set[int]] = []
    for seed in range(6):  # gateways that have seen up to five other prefixes before
        host = make_host(extra=prefill_servers, gateways=90, seed=seed)
        for i in range(seed):
            host.arrive(host.request(prefix=f"x{i}"))
        request = host.request(session="s", prefix="shared")
        host.arrive(request)
        seen.append({endpoint.server.hash_key for endpoint in request.router_state.preferred})
    assert all(keys == seen[0] for keys in seen) and len(seen[0]) <= 4


def serve(host: FakeHost, request: messages.Request, failing: Server, outcome: AttemptOutcome | None) -> bool:
    """Serves a request to its end, with `outcome` for attempts at `failing`. Returns whether there was such an
    attempt."""
    actions, was_used = host.arrive(request, after=60.0), False
    while any(isinstance(a, messages.StartAttempt) for a in actions):
        attempt = started_attempt(actions)
        was_used = was_used or attempt.server is failing
        if attempt.server is failing and outcome is not None:
            actions = host.end_attempt(request, failing, outcome, after=20.0)
        elif attempt.server.role is messages.Role.PREFILL:
            actions = host.end_attempt(request, attempt.server, AttemptOutcome.PREFILLED, after=20.0)
        else:
            host.first_token(request, attempt.server, after=20.0)
            actions = host.end_attempt(request, attempt.server, AttemptOutcome.STREAMED, over=True)
    return was_used


@pytest.mark.parametrize("name, outcome", [("w0", AttemptOutcome.ERROR), ("r0", AttemptOutcome.OVERLOADED)])
def test_server_that_fails_one_class_or_tenant_serves_the_others(name: str, outcome: AttemptOutcome) -> None:
    host, uses = make_host(gateways=50), {True: 0, False: 0}
    failing, tenants = host.servers[name], (messages.Tenant(), messages.Tenant())
    for i in range(60):
        affected = bool(i % 2)
        effect = Effect.SIDE_EFFECTING if affected and outcome is AttemptOutcome.ERROR else Effect.IDEMPOTENT
        request = host.request(effect, prefix=None, tenant=tenants[affected])
        uses[affected] += serve(host, request, failing, outcome if affected else None)
    assert uses[True] <= 4 and uses[False] >= 8


def test_failure_rates_are_kept_only_after_failures(host: FakeHost) -> None:
    failing = host.servers["w0"]
    for _ in range(30):
        serve(host, host.request(prefix=None, tenant=messages.Tenant()), failing, None)
    assert not host.router.scheduler.rules.failures.any_known()  # type: ignore[attr-defined]
    while not serve(host, host.request(prefix=None), failing, AttemptOutcome.ERROR):
        pass
    assert host.router.scheduler.rules.failures.any_known()  # type: ignore[attr-defined]
    for _ in range(60):
        serve(host, host.request(prefix=None), failing, None)
    assert not host.router.scheduler.rules.failures.any_known()  # type: ignore[attr-defined]


def test_request_without_time_for_a_first_token_is_rejected_at_once(host: FakeHost) -> None:
    for _ in range(20):
        request = host.request()
        attempt = started_attempt(host.arrive(request))
        attempt = started_attempt(host.end_attempt(request, attempt.server, AttemptOutcome.PREFILLED, after=400.0))
        host.first_token(request, attempt.server, after=100.0)
        host.end_attempt(request, attempt.server, AttemptOutcome.STREAMED, over=True)
    assert action_types(host.arrive(host.request(client_timeout_ms=600.0))) == [messages.Reject]
    assert action_types(host.arrive(host.request(client_timeout_ms=3000.0))) == [messages.StartAttempt]
    # After some time without samples, a request is admitted to get a new one.
    assert action_types(host.arrive(host.request(client_timeout_ms=600.0), after=9000.0)) == [messages.StartAttempt]


def test_queue_is_tried_once_for_a_batch_of_events(host: FakeHost) -> None:
    small = [host.request(prompt_tokens=50.0, prefix=None, prefix_tokens=0.0) for _ in range(8)]
    in_flight = [(request, started_attempt(host.arrive(request)).server) for request in small]
    for i in range(40):  # no server has capacity for them
        host.arrive(host.request(prompt_tokens=250e3 + i, prefix=None, prefix_tokens=0.0, client_timeout_ms=60e3))
    scheduler, placements = host.router.scheduler, 0
    best_pair = scheduler.rules.placement.best_pair  # type: ignore[attr-defined]

    def counting_best_pair(state: object) -> None:
        nonlocal placements
        placements += 1
        return best_pair(state)

    scheduler.rules.placement.best_pair = counting_best_pair  # type: ignore[attr-defined]
    host.deliver(
        *(
            messages.AttemptEnded(request, server, AttemptOutcome.CLIENT_GONE, 10.0, True)
            for request, server in in_flight
        )
    )
    assert len(scheduler.rules.queue) == 40 and 1 <= placements <= 3  # type: ignore[attr-defined]


def test_short_prompt_overtakes_a_long_prompt_without_capacity(host: FakeHost) -> None:
    long = host.request(prompt_tokens=250e3, prefix=None, prefix_tokens=0.0, max_tokens=0.0, client_timeout_ms=60e3)
    host.arrive(long)
    assert long.router_state.attempt is None
    assert action_types(host.arrive(host.request(prompt_tokens=200.0, prefix=None, prefix_tokens=0.0))) == [
        messages.StartAttempt
    ]


def test_connected_servers_are_preferred_while_connections_fail() -> None:
    """New connections time out. Servers with an open connection are preferred."""
    host = make_host(extra=("r0a", "w0a"), gateways=130)
    known = host.servers["r0"], host.servers["w0"]
    served, attempt_count = [], 0
    for _ in range(30):
        request = host.request(session=f"s{attempt_count}")
        actions = host.arrive(request, after=2000.0)
        while any(isinstance(a, messages.StartAttempt) for a in actions):
            attempt = started_attempt(actions)
            attempt_count += 1
            if attempt.server not in known:
                actions = host.end_attempt(request, attempt.server, AttemptOutcome.CONNECT_FAILED, after=250.0)
            elif attempt.server.role is messages.Role.PREFILL:
                actions = host.end_attempt(request, attempt.server, AttemptOutcome.PREFILLED)
            else:
                host.first_token(request, attempt.server)
                host.end_attempt(request, attempt.server, AttemptOutcome.STREAMED, over=True)
                served.append(request)
                break
    # About three attempts for each request; a random choice would need five or more.
    assert len(served) > 20 and attempt_count < 100


def test_prefill_timeout_grows_after_timeouts(host: FakeHost) -> None:
    timeouts_ms = []
    for _ in range(8):
        request = host.request(client_timeout_ms=30e3)
        attempt = started_attempt(host.arrive(request, after=4000.0))
        timeouts_ms.append(attempt.timeout_ms)
        host.end_attempt(request, attempt.server, AttemptOutcome.TIMED_OUT, after=attempt.timeout_ms)
        host.deliver(messages.ClientDisconnected(request))
    assert timeouts_ms[-1] > timeouts_ms[0]


def test_queue_of_a_warming_prefill_server_does_not_count_for_warm_ones() -> None:
    """Requests wait at a server in slow start. They must not count in the load estimate of warm servers, which would
    make those look full."""
    host = make_host(gateways=14)
    host.deliver(after=20e3)
    cold = host.servers["r0"]
    cold.started_ms = host.now
    host.update_endpoints()
    for _ in range(12):
        request = host.request(prefix=None, prefix_tokens=0.0)
        actions = host.arrive(request, after=400.0)
        assert action_types(actions) == [messages.StartAttempt]
        if started_attempt(actions).server is not cold:  # attempts at the cold server stay in flight
            attempt = started_attempt(
                host.end_attempt(request, host.servers["r1"], AttemptOutcome.PREFILLED, after=50.0)
            )
            host.first_token(request, attempt.server, after=20.0)
            host.end_attempt(request, attempt.server, AttemptOutcome.STREAMED, over=True)


def test_load_estimate_follows_a_burst_quickly(host: FakeHost) -> None:
    for i in range(16):
        request, attempt = host.start_decode(session=f"s{i}", prefix=f"o{i}")
        host.first_token(request, attempt.server, after=5.0)
    host.deliver(after=600.0)
    endpoints = [host.servers[name].router_state for name in ("w0", "w1")]
    held = sum(share for endpoint in endpoints for _, share in endpoint.reservations.values()) / 2
    assert held > 0 and endpoints[0].fleet.memory_level > 0.9 * 2 * held  # two gateways with equal load


def test_shutdown_rejects_new_requests_and_finishes_the_rest(host: FakeHost) -> None:
    streaming, attempt = host.start_decode()
    prefilling = host.request(Effect.SIDE_EFFECTING)
    prefill = started_attempt(host.arrive(prefilling))
    assert not host.deliver(messages.ShutdownStarted(messages.ShutdownTimes(500.0, 800.0, 1000.0)))
    actions = host.arrive(host.request(Effect.SIDE_EFFECTING))
    assert action_types(actions) == [messages.Reject]  # nothing has run, so another gateway may serve it
    assert (
        started_attempt(host.end_attempt(prefilling, prefill.server, AttemptOutcome.PREFILLED)).server.role
        is messages.Role.DECODE
    )
    host.first_token(streaming, attempt.server)
    assert not action_types(host.end_attempt(streaming, attempt.server, AttemptOutcome.STREAMED, over=True))


def test_removed_servers_and_old_prefixes_are_dropped(host: FakeHost) -> None:
    endpoints = host.router.scheduler.rules.endpoints
    busy, attempt = host.start_decode()
    for turn in range(300):
        new = Server("east", 0, messages.Role.PREFILL, 200e3, hash_key=turn)
        host.deliver(messages.EndpointsUpdated((new,)))
        new.status = EndpointStatus.REMOVED
        host.deliver(messages.EndpointsUpdated((new,)))
        host.router.scheduler.rules.affinity.prefix_popularity.update(f"{turn}.{i}" for i in range(50))
        host.deliver(messages.TimerFired(messages.TimerKind.TICK), after=100.0)
    assert len(endpoints) < 20 and len(host.router.scheduler.rules.affinity.prefix_popularity) <= 4096 + 200
    attempt.server.status = EndpointStatus.REMOVED  # a removed server is kept until its last attempt has ended
    host.deliver(messages.EndpointsUpdated((attempt.server,)))
    for _ in range(8):
        host.deliver(messages.TimerFired(messages.TimerKind.TICK), after=100.0)
    assert attempt.server.router_state in endpoints
    host.end_attempt(busy, attempt.server, AttemptOutcome.RESET, over=True)
    for _ in range(8):
        host.deliver(messages.TimerFired(messages.TimerKind.TICK), after=100.0)
    assert attempt.server.router_state not in endpoints
