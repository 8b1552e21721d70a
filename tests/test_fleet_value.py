"""Days of a fleet of 200 gateways that share nothing: enough of the traffic's value is served, whatever goes wrong.

The floors are those that the users' acceptance holds against a policy that sees every server's true state late
(`tests/fleet`): half of what it serves for the whole day and for each class, a fifth for each third of the day,
a third for each tenant; on a day without faults all but a tenth.
"""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest

from ternlane.policy import messages
from ternlane.policy.messages import AttemptOutcome
from tests.conftest import FakeHost, action_types, make_host, started_attempt
from tests.fleet import (
    Day,
    Fault,
    Scene,
    ail,
    cut_zone,
    discovery_down,
    kill_gateways,
    replace_servers,
    restart_servers,
)

FLOORS = {"day": 1 / 2, "class": 1 / 2, "third": 1 / 5, "tenant": 1 / 3}
CALM_LOSS = 0.1
LITTLE = 0.3  # where the baseline itself serves less, a class has no floor
FLEET = Scene(gateways=200, prefill_servers=24, decode_servers=16, seconds=10.0, tenants=3)
UNEVEN = replace(FLEET, unevenness=1.2, seconds=15.0)


def below_floor(scene: Scene, *faults: Fault) -> dict[str, tuple[float, float]]:
    """What falls below its floor: its share of the value served, and the share that is wanted."""
    served = Day(scene, "router", faults).play().shares()
    possible = Day(scene, "late", faults).play().shares()
    wanted = {name: FLOORS[name.split()[0]] * share for name, share in possible.items() if share >= LITTLE}
    if not faults:
        wanted["day"] = possible["day"] - CALM_LOSS
    return {name: (round(served[name], 3), round(least, 3)) for name, least in wanted.items() if served[name] < least}


def test_gateways_that_get_several_times_the_mean_serve_what_they_get() -> None:
    assert below_floor(UNEVEN) == {}


def test_the_few_gateways_that_are_left_serve_all_that_comes() -> None:
    """Nine in ten have died and stay dead. Who is left gets ten times as much as before, and the servers have room."""
    assert below_floor(FLEET, kill_gateways(0.9, 2000.0, 9000.0)) == {}


@pytest.mark.parametrize(
    "faults",
    [
        pytest.param((ail(0.2, 3000.0, 4000.0, silent=True),), id="silent"),
        pytest.param((ail(0.25, 3000.0, 4000.0, bad=1.0), ail(0.2, 3000.0, 4000.0, slow=6.0)), id="bad and slow"),
        pytest.param((kill_gateways(0.7, 3000.0, 2500.0), restart_servers(0.3, 3000.0, 3000.0, 1000.0)), id="release"),
        pytest.param((ail(1.0, 3000.0, 3000.0, resetting=0.3), cut_zone(4000.0, 3000.0)), id="resets and a cut"),
    ],
)
def test_a_fleet_in_trouble_serves_its_share(faults: tuple[Fault, ...]) -> None:
    assert below_floor(replace(FLEET, zones=2), *faults) == {}


def test_a_release_of_model_servers_in_a_burst_whose_news_comes_late_leaves_its_share() -> None:
    """Discovery is down as it begins, some clients leave early, and the rest is half as much again for a while."""
    scene = replace(FLEET, notice_ms=2000.0, leave_share=0.1, burst=1.5, load=0.5)
    assert below_floor(scene, discovery_down(2000.0, 3000.0), replace_servers(0.5, 3000.0, 3000.0, 2500.0)) == {}


MANY_TEXTS = replace(
    FLEET,
    prefill_servers=60,
    decode_servers=24,
    decode_memory=600e3,
    prefixes=600,
    kept_share=0.8,
    load=0.7,
    seconds=9.0,
    slo_ms=800.0,
    prompt_tokens=6000.0,
    answer_tokens=50.0,
    tenants=0,
    reports_on_probe=True,
)


def test_a_calm_day_of_many_shared_texts_is_served() -> None:
    """Each gateway meets most of the texts once at most; what it sends is in time only where they are kept."""
    assert below_floor(MANY_TEXTS) == {}


# -- one gateway of 200, its decisions alone


def streaming(host: FakeHost, count: int) -> None:
    """So many streams are open, each begun at once."""
    for _ in range(count):
        request, attempt = host.start_decode(prefix=None, prefix_tokens=0.0)
        host.first_token(request, attempt.server, after=20.0)


def test_open_streams_of_one_gateway_are_not_counted_once_for_each_gateway() -> None:
    host = make_host(gateways=200)
    streaming(host, 8)
    host.deliver(after=3000.0)
    assert (
        host.router.scheduler.rules.fleet.stats[messages.Role.DECODE].memory_level > 1.0
    )  # the guess: all of them are full
    assert started_attempt(host.arrive(host.request())).server.role is messages.Role.PREFILL


def test_reads_of_one_gateway_are_not_counted_once_for_each_gateway() -> None:
    host = make_host(gateways=200)
    for _ in range(3):
        started_attempt(host.arrive(host.request(prefix=None, prefix_tokens=0.0), after=50.0))
    host.deliver(after=300.0)
    assert (
        host.router.scheduler.rules.fleet.stats[messages.Role.PREFILL].queue_ms > 1000.0
    )  # the guess: longer than the latency objective
    assert started_attempt(host.arrive(host.request())).server.role is messages.Role.PREFILL


def test_the_guess_counts_once_answers_come_late() -> None:
    """Overload is real then, and what would be late is refused at once."""
    host = make_host(gateways=200, max_attempts=2)
    streaming(host, 8)
    served = 0
    while served < 32:
        request = host.request(prefix=None, prefix_tokens=0.0)
        said = host.arrive(request) + host.deliver(after=1000.0)
        attempts = [action for action in said if isinstance(action, messages.StartAttempt)]
        if not attempts:
            break
        write = started_attempt(host.end_attempt(request, attempts[0].server, AttemptOutcome.PREFILLED, after=10.0))
        host.end_attempt(request, write.server, AttemptOutcome.TIMED_OUT, after=500.0, over=True)
        served += 1
    assert 0 < served < 32 and messages.Reject in action_types(said)


def test_an_opening_that_one_gateway_of_many_has_met_once_does_not_pass_for_a_popular_one() -> None:
    """The request at hand tells nothing of how many others share its text, which would be read at many servers."""
    host = make_host(extra=tuple(f"r{n}" for n in range(2, 90)), gateways=200)
    request = host.request(prefix="new")
    host.arrive(request)
    assert len(request.router_state.preferred) == 2
    for _ in range(20):
        request = host.request(prefix="new")
        host.arrive(request)
    assert len(request.router_state.preferred) > 20  # it is popular by now


def late_request(host: FakeHost) -> list[Any]:
    """What is done about a request whose read has taken all of its latency objective."""
    request = host.request(prefix=None, prefix_tokens=0.0)
    attempt = started_attempt(host.arrive(request, after=100.0))
    said = host.end_attempt(request, attempt.server, AttemptOutcome.TIMED_OUT, after=1200.0)
    for further in [action for action in said if isinstance(action, messages.StartAttempt)]:
        host.end_attempt(request, further.server, AttemptOutcome.PREFILLED, after=20.0, over=True)
    return said


def test_requests_that_are_late_already_give_way_to_others_where_reads_come_late() -> None:
    host = make_host(gateways=200)
    assert messages.StartAttempt in action_types(late_request(host))  # one slow read is no overload
    for _ in range(8):
        last = late_request(host)
    assert messages.StartAttempt not in action_types(last) and messages.Reject in action_types(last)
    request = host.request(prefix=None, prefix_tokens=0.0)
    attempt = started_attempt(host.arrive(request, after=3000.0))  # what is still in time goes on
    host.end_attempt(request, attempt.server, AttemptOutcome.PREFILLED, after=20.0, over=True)
    for _ in range(32):
        request = host.request(prefix=None, prefix_tokens=0.0)
        host.end_attempt(
            request,
            started_attempt(host.arrive(request, after=100.0)).server,
            AttemptOutcome.PREFILLED,
            after=20.0,
            over=True,
        )
    assert messages.StartAttempt in action_types(late_request(host))  # and once reads come in time again, so do they


def test_a_single_late_answer_is_no_overload_also_where_late_answers_earn_nothing() -> None:
    host = make_host(gateways=200)
    for request_class in host.request_classes.values():
        request_class.late_value_share = 0.0
    assert messages.StartAttempt in action_types(late_request(host))
    for _ in range(16):  # in time again
        request = host.request(prefix=None, prefix_tokens=0.0)
        host.end_attempt(
            request,
            started_attempt(host.arrive(request, after=100.0)).server,
            AttemptOutcome.PREFILLED,
            after=20.0,
            over=True,
        )
    assert messages.StartAttempt in action_types(late_request(host))


def test_what_a_server_reports_and_what_is_booked_there_count_without_a_guess() -> None:
    host = make_host(gateways=200)
    request, attempt = host.start_decode(prefix=None, prefix_tokens=0.0)
    for name in ("w0", "w1"):
        full = messages.Report(open_requests=40.0, memory_share=1.0)
        host.deliver(messages.ProbeResult(host.servers[name], AttemptOutcome.STREAMED, full))
    said = host.arrive(host.request())
    assert messages.StartAttempt not in action_types(said)


def test_one_gateway_alone_knows_all_of_the_load() -> None:
    host = make_host(gateways=1)
    for _ in range(2):
        started_attempt(host.arrive(host.request(prompt_tokens=180e3, prefix=None, prefix_tokens=0.0)))
    assert messages.StartAttempt not in action_types(
        host.arrive(host.request(prompt_tokens=180e3, prefix=None, prefix_tokens=0.0))
    )
