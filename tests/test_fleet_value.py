"""Simulations of a fleet of 200 independent gateways: enough of the traffic's value is served, even with faults.

The floors are the acceptance criteria, relative to a baseline that knows the true state of all servers with a
delay (`tests/fleet/baseline.py`): half of the share that the baseline serves in total and of each class, a fifth in
each third of the time, a third of each tenant. Without faults, the total may be at most a tenth lower.
"""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest

from ternlane.policy import messages
from ternlane.policy.messages import AttemptOutcome
from tests.conftest import FakeHost, action_types, make_host, started_attempt
from tests.fleet import (
    Fault,
    FleetSimulation,
    Scenario,
    degrade_servers,
    discovery_down,
    kill_gateways,
    partition_zone,
    replace_servers,
    restart_servers,
)

FLOORS = {"total": 1 / 2, "class": 1 / 2, "third": 1 / 5, "tenant": 1 / 3}
MAX_LOSS_WITHOUT_FAULTS = 0.1
MIN_BASELINE_SHARE = 0.3  # there is no floor where the baseline serves less than this
FLEET = Scenario(gateways=200, prefill_servers=24, decode_servers=16, duration_s=10.0, tenants=3)
UNEVEN = replace(FLEET, gateway_load_sigma=1.2, duration_s=15.0)


def below_floor(scenario: Scenario, *faults: Fault) -> dict[str, tuple[float, float]]:
    """The shares that are below their floors: name -> (served share, floor)."""
    served = FleetSimulation(scenario, "router", faults).run().served_shares()
    baseline = FleetSimulation(scenario, "baseline", faults).run().served_shares()
    floors = {name: FLOORS[name.split()[0]] * share for name, share in baseline.items() if share >= MIN_BASELINE_SHARE}
    if not faults:
        floors["total"] = baseline["total"] - MAX_LOSS_WITHOUT_FAULTS
    return {name: (round(served[name], 3), round(least, 3)) for name, least in floors.items() if served[name] < least}


def test_gateways_with_several_times_the_mean_load_serve_their_share() -> None:
    assert below_floor(UNEVEN) == {}


def test_remaining_gateways_serve_all_requests() -> None:
    """Nine in ten gateways crash and don't restart. The others get ten times the requests, and the servers have the
    capacity."""
    assert below_floor(FLEET, kill_gateways(0.9, 2000.0, 9000.0)) == {}


@pytest.mark.parametrize(
    "faults",
    [
        pytest.param((degrade_servers(0.2, 3000.0, 4000.0, silent=True),), id="silent servers"),
        pytest.param(
            (degrade_servers(0.25, 3000.0, 4000.0, error_rate=1.0), degrade_servers(0.2, 3000.0, 4000.0, slowdown=6.0)),
            id="errors and slow servers",
        ),
        pytest.param(
            (kill_gateways(0.7, 3000.0, 2500.0), restart_servers(0.3, 3000.0, 3000.0, 1000.0)),
            id="gateway crashes and server restarts",
        ),
        pytest.param(
            (degrade_servers(1.0, 3000.0, 3000.0, reset_rate=0.3), partition_zone(4000.0, 3000.0)),
            id="resets and partition",
        ),
    ],
)
def test_fleet_with_faults_serves_its_share(faults: tuple[Fault, ...]) -> None:
    assert below_floor(replace(FLEET, zones=2), *faults) == {}


def test_rolling_replacement_of_servers_in_a_burst_with_late_discovery_serves_its_share() -> None:
    """Model servers are replaced while discovery is down at first, some clients disconnect early, and the request rate
    is 1.5 times as high for a while."""
    scenario = replace(FLEET, propagation_ms=2000.0, abandon_share=0.1, burst=1.5, load=0.5)
    assert below_floor(scenario, discovery_down(2000.0, 3000.0), replace_servers(0.5, 3000.0, 3000.0, 2500.0)) == {}


MANY_PREFIXES = replace(
    FLEET,
    prefill_servers=60,
    decode_servers=24,
    decode_memory=600e3,
    prefixes=600,
    cached_share=0.8,
    load=0.7,
    duration_s=9.0,
    slo_ms=800.0,
    prompt_tokens=6000.0,
    answer_tokens=50.0,
    tenants=0,
    reports_on_probe=True,
)


def test_traffic_with_many_shared_prefixes_is_served() -> None:
    """Each gateway sees most prefixes at most once, and prefills are in time only at servers that have cached the
    prefix."""
    assert below_floor(MANY_PREFIXES) == {}


# -- decisions of a single gateway


def open_streams(host: FakeHost, count: int) -> None:
    """Opens streams, each with its first token already received."""
    for _ in range(count):
        request, attempt = host.start_decode(prefix=None, prefix_tokens=0.0)
        host.first_token(request, attempt.server, after=20.0)


def test_open_streams_of_one_gateway_do_not_congest_all_servers() -> None:
    host = make_host(gateways=200)
    open_streams(host, 8)
    host.deliver(after=3000.0)
    # According to the estimate, all servers are full.
    assert host.router.scheduler.rules.fleet.stats[messages.Role.DECODE].memory_level > 1.0
    assert started_attempt(host.arrive(host.request())).server.role is messages.Role.PREFILL


def test_prefills_of_one_gateway_do_not_congest_all_servers() -> None:
    host = make_host(gateways=200)
    for _ in range(3):
        started_attempt(host.arrive(host.request(prefix=None, prefix_tokens=0.0), after=50.0))
    host.deliver(after=300.0)
    # According to the estimate, the queues are longer than the latency objective.
    assert host.router.scheduler.rules.fleet.stats[messages.Role.PREFILL].queue_ms > 1000.0
    assert started_attempt(host.arrive(host.request())).server.role is messages.Role.PREFILL


def test_load_estimate_counts_once_answers_are_late() -> None:
    """Late answers show that there is an overload, so requests that would be late are rejected at once."""
    host = make_host(gateways=200, max_attempts=2)
    open_streams(host, 8)
    served = 0
    while served < 32:
        request = host.request(prefix=None, prefix_tokens=0.0)
        actions = host.arrive(request) + host.deliver(after=1000.0)
        attempts = [action for action in actions if isinstance(action, messages.StartAttempt)]
        if not attempts:
            break
        decode = started_attempt(host.end_attempt(request, attempts[0].server, AttemptOutcome.PREFILLED, after=10.0))
        host.end_attempt(request, decode.server, AttemptOutcome.TIMED_OUT, after=500.0, over=True)
        served += 1
    assert 0 < served < 32 and messages.Reject in action_types(actions)


def test_prefix_seen_once_by_one_gateway_is_not_popular() -> None:
    """The current request is no evidence that others share its prefix. If it counted, the prefix would be prefilled at
    many servers."""
    host = make_host(extra=tuple(f"r{n}" for n in range(2, 90)), gateways=200)
    request = host.request(prefix="new")
    host.arrive(request)
    assert len(request.router_state.preferred) == 2
    for _ in range(20):
        request = host.request(prefix="new")
        host.arrive(request)
    assert len(request.router_state.preferred) > 20  # the prefix is popular now


def late_request(host: FakeHost) -> list[Any]:
    """The actions for a request whose prefill has timed out after its latency objective."""
    request = host.request(prefix=None, prefix_tokens=0.0)
    attempt = started_attempt(host.arrive(request, after=100.0))
    actions = host.end_attempt(request, attempt.server, AttemptOutcome.TIMED_OUT, after=1200.0)
    for next_attempt in [action for action in actions if isinstance(action, messages.StartAttempt)]:
        host.end_attempt(request, next_attempt.server, AttemptOutcome.PREFILLED, after=20.0, over=True)
    return actions


def test_late_requests_are_rejected_while_prefills_are_late() -> None:
    host = make_host(gateways=200)
    assert messages.StartAttempt in action_types(late_request(host))  # a single slow prefill is not an overload
    for _ in range(8):
        last = late_request(host)
    assert messages.StartAttempt not in action_types(last) and messages.Reject in action_types(last)
    request = host.request(prefix=None, prefix_tokens=0.0)
    attempt = started_attempt(host.arrive(request, after=3000.0))  # a request that is still in time is served
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
    # Late requests are served again once prefills are in time.
    assert messages.StartAttempt in action_types(late_request(host))


def test_single_late_answer_is_no_overload_even_if_late_answers_have_no_value() -> None:
    host = make_host(gateways=200)
    for request_class in host.request_classes.values():
        request_class.late_value_share = 0.0
    assert messages.StartAttempt in action_types(late_request(host))
    for _ in range(16):  # prefills are in time again
        request = host.request(prefix=None, prefix_tokens=0.0)
        host.end_attempt(
            request,
            started_attempt(host.arrive(request, after=100.0)).server,
            AttemptOutcome.PREFILLED,
            after=20.0,
            over=True,
        )
    assert messages.StartAttempt in action_types(late_request(host))


def test_reported_load_and_reservations_count_regardless_of_late_answers() -> None:
    host = make_host(gateways=200)
    request, attempt = host.start_decode(prefix=None, prefix_tokens=0.0)
    for name in ("w0", "w1"):
        full = messages.Report(open_requests=40.0, memory_share=1.0)
        host.deliver(messages.ProbeResult(host.servers[name], AttemptOutcome.STREAMED, full))
    actions = host.arrive(host.request())
    assert messages.StartAttempt not in action_types(actions)


def test_single_gateway_rejects_requests_when_its_own_load_fills_all_servers() -> None:
    host = make_host(gateways=1)
    for _ in range(2):
        started_attempt(host.arrive(host.request(prompt_tokens=180e3, prefix=None, prefix_tokens=0.0)))
    assert messages.StartAttempt not in action_types(
        host.arrive(host.request(prompt_tokens=180e3, prefix=None, prefix_tokens=0.0))
    )
