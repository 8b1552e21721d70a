"""The candidate index gives the choices of a scan of all pairs, and a choice costs no more in a large fleet.

Guards against a fleet of thousands of model servers in which each choice took tens of milliseconds, so that most
requests got no answer in time (issue 62).
"""

from __future__ import annotations

import sys
from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import pytest

from ternlane.policy import messages
from ternlane.policy.endpoint_state import EndpointState
from ternlane.policy.messages import AttemptOutcome, Effect, Group, RequestClass, Role, Server
from ternlane.policy.placement import ServerPair
from ternlane.policy.request_state import RequestState
from ternlane.policy.router import Router
from tests.conftest import ROUTER_CONFIG
from tests.decision_digests import RandomHost
from tests.full_scan import FullScan

STREAMS: dict[str, dict[str, Any]] = {
    "two roles": {},
    "three roles": {"decode_servers_prefill": True},
    "reports on request": {"may_probe": True, "reports_mem": True, "reports_on_probe": True},
    "few attempts, releases spare attempts": {"max_attempts": 3, "releases_spare_attempts": True},
}


class CheckedHost(RandomHost):
    """A random event stream to a router, each of whose choices is compared with a full scan."""

    def __init__(self, seed: int, server_count: int, cells: int, **router_config: Any) -> None:
        self.server_count = server_count
        self.cells = cells
        super().__init__(seed, **router_config)

    def server(self, number: int) -> Server:
        server = super().server(number)
        server.cell = number % self.cells
        server.zone = f"zone-{server.cell % 3}"
        return server

    def deliver(self, *events: Any) -> None:
        if not self.now > 1000.0 and len(self.servers) < self.server_count:  # the first list
            self.servers += [self.server(number) for number in range(len(self.servers), self.server_count)]
            self.check_choices()
            events = (type(events[0])(tuple(self.servers)),)
        super().deliver(*events)

    def check_choices(self) -> None:
        self.choices = 0
        self.found = 0
        rules = self.recorder.router.scheduler.rules
        best_pair = rules.placement.best_pair

        def checked_best_pair(state: RequestState, holder: EndpointState | None = None) -> ServerPair | None:
            expected = FullScan(rules).best_pair(state, holder)
            pair = best_pair(state, holder)
            assert pair == expected, f"choice {self.choices} at {self.now}: {describe(pair)}, not {describe(expected)}"
            self.choices += 1
            self.found += pair is not None
            return pair

        rules.placement.best_pair = checked_best_pair  # type: ignore[method-assign]


def describe(pair: ServerPair | None) -> str:
    return "none" if pair is None else " ".join(str(endpoint.server.hash_key) for endpoint in pair)


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("name", STREAMS)
def test_each_choice_is_that_of_a_full_scan(name: str, seed: int) -> None:
    host = CheckedHost(seed, server_count=(14, 40, 90, 200)[seed], cells=(7, 40, 1, 40)[seed], **STREAMS[name])
    host.run(12.0)
    assert host.choices > 50 and host.found > 20


# The usual size, and the largest that the router is meant for.
USUAL_SERVERS = 200
MAX_SERVERS = 3200
REQUEST_CLASS = RequestClass(Effect.IDEMPOTENT, Group.CELL, 3000.0, 1000.0, 50.0, 60.0, 5000.0, 1.0, 0.2)
# What a request costs in the large fleet, relative to the usual one.
MAX_COST_RATIO = 1.4


class CallCounter:
    """Counts the calls of functions while it is active: a measure of work that is the same in each run."""

    def __init__(self) -> None:
        self.calls = 0

    def __enter__(self) -> CallCounter:
        sys.setprofile(self.count)
        return self

    def __exit__(self, *_: object) -> None:
        sys.setprofile(None)

    def count(self, _: Any, event: str, __: Any) -> None:
        self.calls += event in ("call", "c_call")


# Requests that are open at a time.
OPEN_REQUESTS = 20


def mixed_cell(number: int, server_count: int) -> int:
    """The cell of a server in a fleet whose cells have servers of both roles."""
    return number % (server_count // 5)


def cell_of_one_role(number: int, server_count: int) -> int:
    """The cell of a server in a fleet whose cells have servers of one role: all idle ones of a zone are equal."""
    return number // 5


def fleet(server_count: int, cell_of: Callable[[int, int], int]) -> tuple[Server, ...]:
    """Idle servers, half of them for each role."""
    half = server_count // 2
    return tuple(
        Server(
            "z",
            cell_of(number, server_count),
            Role.PREFILL if number < half else Role.DECODE,
            2e5,
            hash_key=number * 0x9E3779B1 % 2**32,
        )
        for number in range(server_count)
    )


def calls_per_request(servers: tuple[Server, ...], requests: int = 100) -> float:
    """Serves requests one after another, and counts once OPEN_REQUESTS are open and the servers are indexed."""
    router = Router(replace(ROUTER_CONFIG, request_classes=(REQUEST_CLASS,)))
    router.take(1000.0, [messages.EndpointsUpdated(servers)])
    counter = CallCounter()
    open_requests: list[tuple[messages.Request, Server]] = []
    for number in range(requests + OPEN_REQUESTS):
        now = 1000.0 + 25.0 * number
        request = messages.Request(REQUEST_CLASS, f"s{number}", None, 0.0, 600.0, 200.0, REQUEST_CLASS.deadline_ms)
        with counter:
            prefill = attempt_at(router, now, messages.RequestArrived(request))
            decode = attempt_at(
                router, now, messages.AttemptEnded(request, prefill, AttemptOutcome.PREFILLED, 5.0, False)
            )
            router.take(now, [messages.FirstToken(request, decode, 5.0)])
        open_requests.append((request, decode))
        if number < OPEN_REQUESTS:
            counter.calls = 0
            continue
        done, server = open_requests.pop(0)
        with counter:
            router.take(now, [messages.AttemptEnded(done, server, AttemptOutcome.STREAMED, 400.0, True)])
    return counter.calls / requests


def attempt_at(router: Router, now: float, event: messages.Event) -> Server:
    """The server of the attempt that the event leads to."""
    return next(a.server for a in router.take(now, [event]) if isinstance(a, messages.StartAttempt))


@pytest.mark.parametrize("cell_of", [mixed_cell, cell_of_one_role])
def test_a_request_costs_no_more_in_a_large_fleet(cell_of: Callable[[int, int], int]) -> None:
    usual = calls_per_request(fleet(USUAL_SERVERS, cell_of))
    assert calls_per_request(fleet(MAX_SERVERS, cell_of)) <= MAX_COST_RATIO * usual


def test_requests_are_spread_over_all_equally_free_servers() -> None:
    """Only some of very many idle servers are compared. Each must still get about its share of requests."""
    router = Router(replace(ROUTER_CONFIG, request_classes=(REQUEST_CLASS,)))
    servers = fleet(1000, cell_of_one_role)
    router.take(1000.0, [messages.EndpointsUpdated(servers)])
    counts: Counter[Server] = Counter()
    for number in range(5000):
        now = 1000.0 + number
        request = messages.Request(REQUEST_CLASS, f"s{number}", None, 0.0, 600.0, 200.0, REQUEST_CLASS.deadline_ms)
        prefill = attempt_at(router, now, messages.RequestArrived(request))
        decode = attempt_at(router, now, messages.AttemptEnded(request, prefill, AttemptOutcome.PREFILLED, 5.0, False))
        router.take(now, [messages.FirstToken(request, decode, 5.0)])
        router.take(now, [messages.AttemptEnded(request, decode, AttemptOutcome.STREAMED, 400.0, True)])
        counts[decode] += 1
    decode_servers = [server for server in servers if server.role is Role.DECODE]
    mean = 5000 / len(decode_servers)
    assert min(counts[server] for server in decode_servers) > 0
    assert max(counts.values()) <= 3 * mean
