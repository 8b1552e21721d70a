"""Stories of what went wrong, or must not, and what the decisions do about it."""

from __future__ import annotations

import pytest

from ternlane.policy import messages
from ternlane.policy.messages import AttemptOutcome, Effect, EndpointStatus, Server
from tests.conftest import FakeHost, action_types, make_host, started_attempt


def test_a_session_keeps_a_near_home(host: FakeHost) -> None:
    first, attempt = host.start_decode(session="s")
    prefill_server = first.router_state.prefill_server.server
    assert attempt.server.cell == prefill_server.cell
    host.first_token(first, attempt.server)
    host.end_attempt(first, attempt.server, AttemptOutcome.STREAMED, over=True)
    for _ in range(4):
        host.arrive(host.request())
    assert started_attempt(host.arrive(host.request(session="s"))).server is prefill_server


def test_a_full_home_is_left_for_the_next_best_pair(host: FakeHost) -> None:
    first, attempt = host.start_decode(session="s")
    for _ in range(3):
        host.end_attempt(first, attempt.server, AttemptOutcome.STREAMED, over=True)
    big = host.request(prompt_tokens=150e3, prefix=None, prefix_tokens=0.0)
    taken = started_attempt(host.arrive(big)).server
    again = host.request(session="s", prompt_tokens=60e3, prefix=None, prefix_tokens=0.0)
    assert started_attempt(host.arrive(again)).server is not taken


def test_a_prefill_that_breaks_is_made_elsewhere(host: FakeHost) -> None:
    """A connection breaks while a prompt is prefilled. Whether the server goes on is not known, so another one is
    asked, and what the first may leave is released."""
    request = host.request(Effect.SIDE_EFFECTING)
    attempt = started_attempt(host.arrive(request))
    said = host.end_attempt(request, attempt.server, AttemptOutcome.RESET)
    assert started_attempt(said).server is not attempt.server
    assert messages.Release in action_types(said)  # the read may have gone on unheard and left its state


@pytest.mark.parametrize("effect", [Effect.IDEMPOTENT, Effect.SIDE_EFFECTING])
def test_a_prefill_overtaken_by_a_later_one_at_its_server_is_made_elsewhere(effect: Effect) -> None:
    """The answer of a prefill gets lost. Its server works in turn and has answered a later one, so waiting is of no
    use: the prefill is cancelled and made at another server."""
    host = make_host()
    mute = host.request(effect, session="a")
    first = started_attempt(host.arrive(mute))
    later = host.request(session="a")
    assert (
        started_attempt(host.arrive(later, after=100.0)).server is first.server
    )  # not overdue yet: it may only be long
    said = host.end_attempt(later, first.server, AttemptOutcome.PREFILLED, after=20.0)
    assert started_attempt(said).server.role is messages.Role.DECODE and messages.CancelAttempt not in action_types(
        said
    )
    said = host.deliver(after=300.0)  # nothing else is sent there, and still it is not waited for to its time limit
    assert [a.request for a in said if isinstance(a, messages.CancelAttempt)] == [mute]
    again = started_attempt(host.end_attempt(mute, first.server, AttemptOutcome.CANCELLED))
    assert again.server.role is messages.Role.PREFILL and again.server is not first.server
    assert (
        started_attempt(host.end_attempt(mute, again.server, AttemptOutcome.PREFILLED)).server.role
        is messages.Role.DECODE
    )


def test_prefills_whose_answers_are_lost_do_not_make_their_prefill_server_look_full() -> None:
    """Answers get lost and no prefill may be cancelled. Were they counted as a queue, their server would look full
    and get nothing more until they time out."""
    host = make_host(max_attempts=2)  # none is cancelled
    prefill_server = started_attempt(host.arrive(host.request(session="a", prompt_tokens=3e3))).server
    full = host.router.scheduler.rules.endpoints[prefill_server.router_state].queue_ms
    later = host.request(session="a", prompt_tokens=100.0)
    assert full > 0 and started_attempt(host.arrive(later, after=10.0)).server is prefill_server
    host.end_attempt(later, prefill_server, AttemptOutcome.PREFILLED, after=10.0)
    assert (
        host.router.scheduler.rules.endpoints[prefill_server.router_state].queue_ms == 0
        and len(prefill_server.router_state.attempts) == 1
    )


def test_a_half_open_decode_server_is_sent_the_state_that_was_prefilled_for_it(host: FakeHost) -> None:
    """What the request itself had booked there barred it, so nothing ever found out that the decode server is well."""
    kept, attempt = host.start_decode(session="a")
    decode_server = attempt.server
    host.first_token(kept, decode_server)
    host.end_attempt(kept, decode_server, AttemptOutcome.STREAMED, over=True)
    other = host.request(session="a")
    host.end_attempt(other, started_attempt(host.arrive(other)).server, AttemptOutcome.PREFILLED)
    host.deliver(
        messages.AttemptEnded(other, decode_server, AttemptOutcome.CONNECT_FAILED, 1.0, True)
    )  # shut, and on trial after
    host.deliver(after=2000.0)
    found = host.request(session="a")
    prefill_server = started_attempt(host.arrive(found)).server
    assert started_attempt(host.end_attempt(found, prefill_server, AttemptOutcome.PREFILLED)).server is decode_server


def test_streams_begun_before_do_not_bar_a_half_open_decode_server_and_its_half_open_trial_is_one_attempt(
    host: FakeHost,
) -> None:
    """A decode server was ejected while it streamed. The streams from before go on for seconds and say nothing new:
    one attempt is sent to it beside them, and no second one."""
    begun, attempt = host.start_decode(session="a")
    decode_server = attempt.server
    host.first_token(begun, decode_server)  # streams on for long
    other = host.request(session="a")
    host.end_attempt(other, started_attempt(host.arrive(other)).server, AttemptOutcome.PREFILLED)
    host.deliver(messages.AttemptEnded(other, decode_server, AttemptOutcome.CONNECT_FAILED, 1.0, True))
    host.deliver(after=600.0)
    found, second = host.request(session="a"), host.request(session="a")
    prefill_server = started_attempt(host.arrive(found)).server
    assert started_attempt(host.end_attempt(found, prefill_server, AttemptOutcome.PREFILLED)).server is decode_server
    said = host.end_attempt(second, started_attempt(host.arrive(second)).server, AttemptOutcome.PREFILLED)
    assert started_attempt(said).server is not decode_server  # until the first has ended well


def test_a_prefill_is_not_cancelled_where_no_attempts_are_left_for_another_pair() -> None:
    host = make_host(max_attempts=2)
    mute, later = host.request(session="a"), host.request(session="a")
    first = started_attempt(host.arrive(mute))
    assert started_attempt(host.arrive(later, after=500.0)).server is first.server
    assert messages.CancelAttempt not in action_types(
        host.end_attempt(later, first.server, AttemptOutcome.PREFILLED, after=50.0)
    )


def test_a_state_goes_straight_to_another_decode_server_when_one_is_full(host: FakeHost) -> None:
    request, attempt = host.start_decode(Effect.SIDE_EFFECTING)
    other = started_attempt(host.end_attempt(request, attempt.server, AttemptOutcome.OVERLOADED)).server
    assert other.role is attempt.server.role and other is not attempt.server


def test_a_state_is_released_before_connections_that_never_come_up_outlast_its_release_time() -> None:
    host = make_host(("w2", "w3"))  # 250 ms to connect, 500 to release: one failed connection leaves time for one more
    request, attempt = host.start_decode()
    second = started_attempt(
        host.end_attempt(request, attempt.server, AttemptOutcome.CONNECT_FAILED, after=250.0)
    ).server
    assert second.role is messages.Role.DECODE
    said = host.end_attempt(request, second, AttemptOutcome.CONNECT_FAILED, after=250.0)
    assert [type(a) for a in said] == [messages.Release, messages.StartAttempt]
    assert started_attempt(said).server.role is messages.Role.PREFILL
    other = make_host(
        ("w2", "w3"), holds_expire_unless_arrived=False
    )  # where an outcome of any kind begins that time anew
    request, attempt = other.start_decode()
    second = started_attempt(
        other.end_attempt(request, attempt.server, AttemptOutcome.CONNECT_FAILED, after=250.0)
    ).server
    assert (
        started_attempt(other.end_attempt(request, second, AttemptOutcome.CONNECT_FAILED, after=250.0)).server.role
        is messages.Role.DECODE
    )
    request, attempt = host.start_decode()  # a decode server that refuses has answered: the time counts from then
    second = started_attempt(host.end_attempt(request, attempt.server, AttemptOutcome.OVERLOADED, after=400.0)).server
    assert (
        started_attempt(host.end_attempt(request, second, AttemptOutcome.OVERLOADED, after=400.0)).server.role
        is messages.Role.DECODE
    )


@pytest.mark.parametrize("outcome", [AttemptOutcome.CONNECT_FAILED, AttemptOutcome.OVERLOADED])
def test_a_prefill_that_never_ran_left_nothing_to_release(host: FakeHost, outcome: AttemptOutcome) -> None:
    request = host.request()
    said = host.end_attempt(request, started_attempt(host.arrive(request)).server, outcome)
    assert action_types(said) == [messages.StartAttempt]
    assert messages.Release in action_types(
        host.end_attempt(request, started_attempt(said).server, AttemptOutcome.TIMED_OUT)
    )  # it may have run


@pytest.mark.parametrize("outcome", [AttemptOutcome.TIMED_OUT, AttemptOutcome.CANCELLED, AttemptOutcome.RESET])
def test_what_a_prefill_may_yet_leave_is_released_once_more_when_nothing_follows_it(
    host: FakeHost, outcome: AttemptOutcome
) -> None:
    """It ended unheard, its state came after the first release, and nobody was left for another read."""
    request = host.request()
    prefill_server = started_attempt(host.arrive(request)).server
    host.update_endpoints(
        **{
            name: EndpointStatus.REMOVED
            for name, s in host.servers.items()
            if s.role is messages.Role.PREFILL and s is not prefill_server
        }
    )
    said = host.end_attempt(request, prefill_server, outcome)
    assert [a.again for a in said if isinstance(a, messages.Release)] == [
        False,
        True,
    ] and messages.Reject in action_types(said)
    assert host.deliver(after=3000.0) == []


def test_a_lost_state_is_read_again(host: FakeHost) -> None:
    request, attempt = host.start_decode()
    said = host.end_attempt(request, attempt.server, AttemptOutcome.OVERLOADED, state_lost=True)
    assert started_attempt(said).server.role is messages.Role.PREFILL
    assert messages.Release in action_types(said)  # its prefill server may only be cut off from that decode server


@pytest.mark.parametrize(
    "outcome", [AttemptOutcome.TIMED_OUT, AttemptOutcome.RESET, AttemptOutcome.ERROR, AttemptOutcome.CANCELLED]
)
def test_a_side_effect_that_may_have_happened_is_not_tried_again(host: FakeHost, outcome: AttemptOutcome) -> None:
    request, attempt = host.start_decode(Effect.SIDE_EFFECTING)
    assert action_types(host.end_attempt(request, attempt.server, outcome)) == [messages.Fail, messages.Release]
    assert host.deliver(after=3000.0) == []


def test_a_deduplicated_request_is_repeated_only_in_its_group_and_window(host: FakeHost) -> None:
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


def test_nobody_to_read_or_write_is_answered_at_once(host: FakeHost) -> None:
    host.update_endpoints(w0=EndpointStatus.REMOVED, w1=EndpointStatus.DRAINING)
    assert action_types(host.arrive(host.request())) == [messages.Reject]


def test_no_time_left_is_answered_at_once(host: FakeHost) -> None:
    assert action_types(host.arrive(host.request(client_timeout_ms=0.0))) == [messages.Reject]


def test_a_draining_decode_server_gets_nothing_new(host: FakeHost) -> None:
    request = host.request()
    attempt = started_attempt(host.arrive(request))
    home = request.router_state.decode_server.server
    host.update_endpoints(**{name: EndpointStatus.DRAINING for name, s in host.servers.items() if s is home})
    assert started_attempt(host.end_attempt(request, attempt.server, AttemptOutcome.PREFILLED)).server is not home
    later = host.request()
    for server in host.servers.values():  # told in this batch, but after the arrival
        server.status = EndpointStatus.REMOVED
    assert action_types(
        host.deliver(messages.RequestArrived(later), messages.EndpointsUpdated(tuple(host.servers.values())))
    ) == [messages.Reject]


def test_a_state_read_for_a_client_that_left_is_released(host: FakeHost) -> None:
    request = host.request()
    attempt = started_attempt(host.arrive(request))
    assert action_types(host.deliver(messages.ClientDisconnected(request))) == [messages.CancelAttempt]
    assert action_types(host.end_attempt(request, attempt.server, AttemptOutcome.PREFILLED, over=True)) == [
        messages.Release
    ]


def test_a_state_that_a_decode_server_did_not_take_is_released_after_the_client_left(host: FakeHost) -> None:
    request, attempt = host.start_decode()
    assert action_types(host.deliver(messages.ClientDisconnected(request))) == [messages.CancelAttempt]
    assert action_types(host.end_attempt(request, attempt.server, AttemptOutcome.CANCELLED, over=True)) == [
        messages.Release
    ]


def test_a_restarted_server_gets_its_cold_share_only() -> None:
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


def test_a_silent_decode_server_loses_its_sessions(host: FakeHost) -> None:
    """A decode server stops answering without an error. It falls behind its peers, is ejected, and its sessions go
    elsewhere."""
    mute = None
    for i in range(8):
        request, attempt = host.start_decode(session=f"s{i}", prefix=f"o{i}")
        mute = mute or attempt.server
        if attempt.server is not mute:
            host.first_token(request, attempt.server, after=20.0)
    host.deliver(after=900.0)
    later = [host.start_decode(session=f"t{i}")[1].server for i in range(3)]
    assert mute not in later


def test_bursts_wait_and_are_rejected_before_the_slo_time_is_lost(host: FakeHost) -> None:
    big = [host.request(prompt_tokens=90e3, prefix=None, prefix_tokens=0.0, max_tokens=0.0) for _ in range(4)]
    said = [a for request in big for a in host.arrive(request)]
    assert messages.Reject not in action_types(said)
    waiting = [g for g in big if g.router_state.attempt is None]
    late = host.deliver(after=6000.0)
    assert waiting and {a.request for a in late if isinstance(a, messages.Reject)} == set(waiting)


def test_a_request_with_hardly_any_time_left_does_not_wait(host: FakeHost) -> None:
    crowd = [host.request(prompt_tokens=90e3, prefix=None, prefix_tokens=0.0) for _ in range(6)]
    for request in crowd:
        host.arrive(request)
    assert action_types(host.arrive(host.request(client_timeout_ms=30.0))) == [messages.Reject]


def test_a_prefill_server_that_fails_fast_does_not_draw_everything(host: FakeHost) -> None:
    """A server that fails at once has a short queue and looks free. It must not draw all requests for that."""
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


def test_servers_that_all_came_back_cold_are_used_again(host: FakeHost) -> None:
    """All servers restart together. Their slow-start quotas must not leave a request without any server."""
    for _ in range(10):
        request, attempt = host.start_decode(prefix=None)
        host.first_token(request, attempt.server, after=20.0)
        host.end_attempt(request, attempt.server, AttemptOutcome.STREAMED, over=True)
    for server in host.servers.values():
        server.started_ms = host.now
    host.update_endpoints()
    host.deliver(after=3000.0)
    assert action_types(host.arrive(host.request())) == [messages.StartAttempt]


def test_one_request_does_not_fill_a_server_for_a_hundred_gateways() -> None:
    host = make_host(gateways=130)
    for _ in range(3):  # one's own count times 130 would be several times each server's memory
        assert action_types(host.arrive(host.request())) == [messages.StartAttempt]


def test_gateways_that_know_nothing_do_not_all_take_the_same_decode_server() -> None:
    chosen = set()
    for seed in range(12):
        host = make_host(extra=("w0a", "w0b", "w1a", "w1b"), gateways=130, seed=seed)
        request = host.request(session="s")
        host.arrive(request)
        chosen.add(next(name for name, s in host.servers.items() if s is request.router_state.decode_server.server))
    assert len(chosen) == 3  # all in the cell of the one prefill server that they agree on


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


def test_a_handful_of_requests_does_not_make_a_prefix_popular() -> None:
    prefill_servers = tuple(f"r{i % 2}{letter}" for i, letter in enumerate("abcdefghijkl"))
    seen: list[set[int]] = []
    for seed in range(6):  # gateways that have met one prefix, or six others before it
        host = make_host(extra=prefill_servers, gateways=90, seed=seed)
        for i in range(seed):
            host.arrive(host.request(prefix=f"x{i}"))
        request = host.request(session="s", prefix="shared")
        host.arrive(request)
        seen.append({endpoint.server.hash_key for endpoint in request.router_state.preferred})
    assert all(marks == seen[0] for marks in seen) and len(seen[0]) <= 4


def serve(host: FakeHost, request: messages.Request, failing: Server, outcome: AttemptOutcome | None) -> bool:
    """Plays it to its end, with `outcome` wherever it meets `failing`; was that so?"""
    said, met = host.arrive(request, after=60.0), False
    while any(isinstance(a, messages.StartAttempt) for a in said):
        attempt = started_attempt(said)
        met = met or attempt.server is failing
        if attempt.server is failing and outcome is not None:
            said = host.end_attempt(request, failing, outcome, after=20.0)
        elif attempt.server.role is messages.Role.PREFILL:
            said = host.end_attempt(request, attempt.server, AttemptOutcome.PREFILLED, after=20.0)
        else:
            host.first_token(request, attempt.server, after=20.0)
            said = host.end_attempt(request, attempt.server, AttemptOutcome.STREAMED, over=True)
    return met


@pytest.mark.parametrize("name, outcome", [("w0", AttemptOutcome.ERROR), ("r0", AttemptOutcome.OVERLOADED)])
def test_what_fails_one_request_class_or_refuses_one_tenant_serves_the_rest(name: str, outcome: AttemptOutcome) -> None:
    host, met = make_host(gateways=50), {True: 0, False: 0}
    failing, tenants = host.servers[name], (messages.Tenant(), messages.Tenant())
    for i in range(60):
        struck = bool(i % 2)
        effect = Effect.SIDE_EFFECTING if struck and outcome is AttemptOutcome.ERROR else Effect.IDEMPOTENT
        request = host.request(effect, prefix=None, tenant=tenants[struck])
        met[struck] += serve(host, request, failing, outcome if struck else None)
    assert met[True] <= 4 and met[False] >= 8


def test_what_has_not_failed_leaves_nothing_behind(host: FakeHost) -> None:
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


def test_a_last_try_without_time_for_a_first_token_is_answered_at_once(host: FakeHost) -> None:
    for _ in range(20):
        request = host.request()
        attempt = started_attempt(host.arrive(request))
        attempt = started_attempt(host.end_attempt(request, attempt.server, AttemptOutcome.PREFILLED, after=400.0))
        host.first_token(request, attempt.server, after=100.0)
        host.end_attempt(request, attempt.server, AttemptOutcome.STREAMED, over=True)
    assert action_types(host.arrive(host.request(client_timeout_ms=600.0))) == [messages.Reject]
    assert action_types(host.arrive(host.request(client_timeout_ms=3000.0))) == [messages.StartAttempt]
    assert action_types(host.arrive(host.request(client_timeout_ms=600.0), after=9000.0)) == [
        messages.StartAttempt
    ]  # is it still so?


def test_a_batch_of_many_ends_costs_what_waits_few_tries(host: FakeHost) -> None:
    small = [host.request(prompt_tokens=50.0, prefix=None, prefix_tokens=0.0) for _ in range(8)]
    out = [(request, started_attempt(host.arrive(request)).server) for request in small]
    for i in range(40):  # none of them fits anywhere
        host.arrive(host.request(prompt_tokens=250e3 + i, prefix=None, prefix_tokens=0.0, client_timeout_ms=60e3))
    scheduler, tries = host.router.scheduler, 0
    best = scheduler.rules.placement.best_pair  # type: ignore[attr-defined]

    def counted(state: object) -> None:
        nonlocal tries
        tries += 1
        return best(state)

    scheduler.rules.placement.best_pair = counted  # type: ignore[attr-defined]
    host.deliver(
        *(messages.AttemptEnded(request, server, AttemptOutcome.CLIENT_GONE, 10.0, True) for request, server in out)
    )
    assert len(scheduler.rules.queue) == 40 and 1 <= tries <= 3  # type: ignore[attr-defined]


def test_a_short_prompt_passes_a_long_one_that_finds_no_room(host: FakeHost) -> None:
    long = host.request(prompt_tokens=250e3, prefix=None, prefix_tokens=0.0, max_tokens=0.0, client_timeout_ms=60e3)
    host.arrive(long)
    assert long.router_state.attempt is None
    assert action_types(host.arrive(host.request(prompt_tokens=200.0, prefix=None, prefix_tokens=0.0))) == [
        messages.StartAttempt
    ]


def test_where_connections_fail_the_connected_servers_are_nearer() -> None:
    """New connections run into their time-out. Servers that are connected already are chosen before the others."""
    host = make_host(extra=("r0a", "w0a"), gateways=130)
    known = host.servers["r0"], host.servers["w0"]
    linked, tries = [], 0
    for _ in range(30):
        request = host.request(session=f"s{tries}")
        said = host.arrive(request, after=2000.0)
        while any(isinstance(a, messages.StartAttempt) for a in said):
            attempt = started_attempt(said)
            tries += 1
            if attempt.server not in known:
                said = host.end_attempt(request, attempt.server, AttemptOutcome.CONNECT_FAILED, after=250.0)
            elif attempt.server.role is messages.Role.PREFILL:
                said = host.end_attempt(request, attempt.server, AttemptOutcome.PREFILLED)
            else:
                host.first_token(request, attempt.server)
                host.end_attempt(request, attempt.server, AttemptOutcome.STREAMED, over=True)
                linked.append(request)
                break
    assert len(linked) > 20 and tries < 100  # three tries each, where chance would need five and more


def test_prefills_that_run_out_of_time_make_the_next_ones_more_patient(host: FakeHost) -> None:
    patience = []
    for _ in range(8):
        request = host.request(client_timeout_ms=30e3)
        attempt = started_attempt(host.arrive(request, after=4000.0))
        patience.append(attempt.timeout_ms)
        host.end_attempt(request, attempt.server, AttemptOutcome.TIMED_OUT, after=attempt.timeout_ms)
        host.deliver(messages.ClientDisconnected(request))
    assert patience[-1] > patience[0]


def test_what_waits_at_a_cold_prefill_server_does_not_make_a_warm_one_look_full() -> None:
    """Requests wait at a server that has just started. They count for that one only, or the warm ones would look full
    too."""
    host = make_host(gateways=14)
    host.deliver(after=20e3)
    cold = host.servers["r0"]
    cold.started_ms = host.now
    host.update_endpoints()
    for _ in range(12):
        request = host.request(prefix=None, prefix_tokens=0.0)
        said = host.arrive(request, after=400.0)
        assert action_types(said) == [messages.StartAttempt]
        if started_attempt(said).server is not cold:  # the cold one keeps what it was given
            attempt = started_attempt(
                host.end_attempt(request, host.servers["r1"], AttemptOutcome.PREFILLED, after=50.0)
            )
            host.first_token(request, attempt.server, after=20.0)
            host.end_attempt(request, attempt.server, AttemptOutcome.STREAMED, over=True)


def test_a_burst_is_counted_soon_where_many_requests_are_open(host: FakeHost) -> None:
    for i in range(16):
        request, attempt = host.start_decode(session=f"s{i}", prefix=f"o{i}")
        host.first_token(request, attempt.server, after=5.0)
    host.deliver(after=600.0)
    endpoints = [host.servers[name].router_state for name in ("w0", "w1")]
    held = sum(share for endpoint in endpoints for _, share in endpoint.reservations.values()) / 2
    assert held > 0 and endpoints[0].fleet.memory_level > 0.9 * 2 * held  # two gateways that do alike


def test_a_gateway_that_goes_rejects_what_it_could_not_finish_and_finishes_the_rest(host: FakeHost) -> None:
    streams, attempt = host.start_decode()
    prefills = host.request(Effect.SIDE_EFFECTING)
    read = started_attempt(host.arrive(prefills))
    assert not host.deliver(messages.ShutdownStarted(messages.ShutdownTimes(500.0, 800.0, 1000.0)))
    said = host.arrive(host.request(Effect.SIDE_EFFECTING))
    assert action_types(said) == [messages.Reject]  # another gateway may do it: nothing has run
    assert (
        started_attempt(host.end_attempt(prefills, read.server, AttemptOutcome.PREFILLED)).server.role
        is messages.Role.DECODE
    )
    host.first_token(streams, attempt.server)
    assert not action_types(host.end_attempt(streams, attempt.server, AttemptOutcome.STREAMED, over=True))


def test_servers_that_went_and_prefixes_of_old_are_forgotten(host: FakeHost) -> None:
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
    attempt.server.status = EndpointStatus.REMOVED  # one that still has an attempt stays until it has ended
    host.deliver(messages.EndpointsUpdated((attempt.server,)))
    for _ in range(8):
        host.deliver(messages.TimerFired(messages.TimerKind.TICK), after=100.0)
    assert attempt.server.router_state in endpoints
    host.end_attempt(busy, attempt.server, AttemptOutcome.RESET, over=True)
    for _ in range(8):
        host.deliver(messages.TimerFired(messages.TimerKind.TICK), after=100.0)
    assert attempt.server.router_state not in endpoints
