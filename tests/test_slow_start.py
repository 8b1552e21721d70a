"""Slow start of servers behind many routers, in virtual time: the sum over all routers stays within the quota, and uses
it."""

from __future__ import annotations

import heapq
import zlib
from collections import Counter
from dataclasses import dataclass, field, replace
from itertools import count
from math import exp, floor, sqrt
from typing import Any, NamedTuple

import pytest

from ternlane.policy import messages
from ternlane.policy.limits import SLOW_START_SAFETY
from ternlane.policy.messages import AttemptOutcome, Effect, EndpointStatus, Group, Request, RequestClass, Role, Server
from ternlane.policy.router import Router
from tests.conftest import ROUTER_CONFIG
from tests.fleet.server import SEED_WORDS

REQUEST_CLASS = RequestClass(Effect.IDEMPOTENT, Group.CELL, 3000.0, 2000.0, 40.0, 70.0, 10000.0, 1.0, 0.1)
PREFILL_MS, FIRST_TOKEN_MS, STREAM_MS = 120.0, 60.0, 1500.0
WARM_UP_MS, SLOW_START_MS, OVERLOAD_WINDOW_MS, OVERLOAD_MULTIPLE, SLOW_START_SHARE = 20e3, 10e3, 3000.0, 4.0, 0.31


class Attempt(NamedTuple):
    at: float
    server: Server
    router: int
    informed: bool  # its router knew of the restart of the server


@dataclass(eq=False)
class Fleet:
    """Servers with fixed answer times, and routers that get `rate` requests per second, distributed at random."""

    routers: int
    rate: float
    peers: int = 6
    uneven: bool = False  # a few routers get most of the requests
    overloaded_share: float = 0.0  # of the attempts, which are rejected and retried at another server
    now: float = 1000.0
    sent: list[Attempt] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.servers = [
            Server("east", n // 2, role, 300e3, hash_key=zlib.crc32(b"%d %s" % (n, SEED_WORDS[role].encode())))
            for n in range(self.peers)
            for role in (Role.PREFILL, Role.DECODE)
        ]
        self.sequence, self.event_queue = count(), list[tuple[float, int, int, messages.Event | tuple[Server, ...]]]()
        self.router_list = [self.make_router(n) for n in range(self.routers)]

    def make_router(self, nth: int) -> Router:
        router_config = replace(
            ROUTER_CONFIG,
            seed=nth * 7919 + 1,
            gateways=self.routers,
            request_classes=(REQUEST_CLASS,),
            idle_ms=30e3,
            fall_multiple=OVERLOAD_MULTIPLE,
            slow_start_share=SLOW_START_SHARE,
            slow_start_ms=SLOW_START_MS,
            fall_ms=OVERLOAD_WINDOW_MS,
        )
        router = Router(router_config)
        self.servers_by_router = getattr(self, "servers_by_router", {})
        self.servers_by_router[nth] = [replace(s, router_state=None) for s in self.servers]
        self.execute(nth, router.take(self.now, [messages.EndpointsUpdated(tuple(self.servers_by_router[nth]))]))
        return router

    def schedule(self, when: float, nth: int, event: messages.Event) -> None:
        heapq.heappush(self.event_queue, (when, next(self.sequence), nth, event))

    def execute(self, nth: int, actions: list[Any]) -> None:
        for action in actions:
            if isinstance(action, messages.StartTimer):
                self.schedule(action.at_ms, nth, messages.TimerFired(action.timer))
            elif isinstance(action, messages.StartAttempt):
                request, server = action.request, action.server
                true_server = self.servers[self.servers_by_router[nth].index(server)]
                informed = server.started_ms == true_server.started_ms
                self.sent.append(Attempt(self.now, true_server, nth, informed))
                if zlib.crc32(b"room %d" % len(self.sent)) < self.overloaded_share * 2**32:
                    self.schedule(
                        self.now + 5.0,
                        nth,
                        messages.AttemptEnded(request, server, AttemptOutcome.OVERLOADED, 5.0, False),
                    )
                elif server.role is Role.PREFILL:
                    self.schedule(
                        self.now + PREFILL_MS,
                        nth,
                        messages.AttemptEnded(request, server, AttemptOutcome.PREFILLED, PREFILL_MS, False, 300.0),
                    )
                else:
                    self.schedule(self.now + FIRST_TOKEN_MS, nth, messages.FirstToken(request, server, FIRST_TOKEN_MS))
                    self.schedule(
                        self.now + STREAM_MS,
                        nth,
                        messages.AttemptEnded(request, server, AttemptOutcome.STREAMED, STREAM_MS, True),
                    )

    def run(self, ms: float) -> None:
        until, arrivals = self.now + ms, int(ms / 1000 * self.rate)
        for n in range(arrivals):
            draw = zlib.crc32(b"arrival %d %f" % (n, self.now))
            request = Request(REQUEST_CLASS, f"{n} {self.now}", None, 0.0, 400.0, 200.0, 10000.0)
            nth = int(self.routers * (draw / 2**32) ** 3) if self.uneven else draw % self.routers
            self.schedule(self.now + ms * n / arrivals, nth, messages.RequestArrived(request))
        while self.event_queue and self.event_queue[0][0] <= until:
            self.now, _, nth, event = heapq.heappop(self.event_queue)
            if isinstance(event, tuple):
                self.deliver(nth, event)
            else:
                self.execute(nth, self.router_list[nth].take(self.now, [event]))
        self.now = until

    def restart(self, *servers: Server, propagation_ms: float = 0.0) -> None:
        """Restarts servers. The routers are informed one after the other within `propagation_ms`."""
        for server in servers:
            server.started_ms = self.now
        for nth in range(self.routers):
            delay_ms = propagation_ms * zlib.crc32(b"notice %d" % nth) / 2**32
            if delay_ms:
                heapq.heappush(self.event_queue, (self.now + delay_ms, next(self.sequence), nth, servers))
            else:
                self.deliver(nth, servers)

    def deliver(self, nth: int, servers: tuple[Server, ...]) -> None:
        changed = [self.servers_by_router[nth][self.servers.index(s)] for s in servers]
        for own_server, server in zip(changed, servers, strict=False):
            own_server.started_ms, own_server.status = server.started_ms, EndpointStatus.READY
        self.execute(nth, self.router_list[nth].take(self.now, [messages.EndpointsUpdated(tuple(changed))]))

    def windows(self, server: Server, since: float, span: float) -> list[list[Attempt]]:
        """The attempts at the server within each time window of `span` that begins with an attempt."""
        sent = [a for a in self.sent if a.server is server and a.at >= since]
        return [[a for a in sent if first.at <= a.at < first.at + span] for first in sent]

    def most(self, server: Server, since: float, span: float) -> int:
        """The largest number of attempts at the server within any time window of `span`."""
        return max((len(window) for window in self.windows(server, since, span)), default=0)


def capacity(fleet: Fleet, since: float) -> dict[Role, float]:
    """Attempts per millisecond at a warm server of each role; its capacity is at least that."""
    counts = Counter(a.server.role for a in fleet.sent if a.at >= since)
    return {role: n / fleet.peers / (fleet.now - since) for role, n in counts.items()}


def allowed(calls: float) -> float:
    """The maximum number of attempts at a server in slow start for a quota of `calls`. This is the stricter one of the
    platform's two formulas; for less than 30 calls, it allows 3 sqrt(calls) + 3 more than the quota."""
    return calls + 2 * sqrt(calls) + 2


@pytest.mark.parametrize("routers", [2, 7, 200])
@pytest.mark.parametrize("rate", [12.0, 120.0])  # quotas of 7 and 74 calls
def test_quota_holds_if_a_few_routers_get_most_requests(rate: float, routers: int) -> None:
    fleet = Fleet(routers, rate, uneven=True)
    fleet.run(WARM_UP_MS)
    rates = capacity(fleet, WARM_UP_MS / 2)
    cold = [s for role in (Role.PREFILL, Role.DECODE) for s in [s for s in fleet.servers if s.role is role][:3]]
    start = fleet.now
    fleet.restart(*cold)
    fleet.run(OVERLOAD_WINDOW_MS)
    quota = OVERLOAD_MULTIPLE * SLOW_START_SHARE * rates[Role.PREFILL] * OVERLOAD_WINDOW_MS
    attempts = {server: fleet.most(server, start, OVERLOAD_WINDOW_MS) for server in cold}
    assert max(attempts.values()) <= allowed(quota), (sorted(attempts.values()), quota)


@pytest.mark.parametrize("routers", [1, 2, 6, 7, 30, 200])
@pytest.mark.parametrize("together", [1, 3, 6])
def test_sum_over_all_routers_stays_within_the_quota_and_uses_it(routers: int, together: int) -> None:
    fleet = Fleet(routers, rate=120.0)
    fleet.run(WARM_UP_MS)
    rates = capacity(fleet, WARM_UP_MS / 2)
    cold = [s for role in (Role.PREFILL, Role.DECODE) for s in [s for s in fleet.servers if s.role is role][:together]]
    start = fleet.now
    fleet.restart(*cold)
    fleet.run(OVERLOAD_WINDOW_MS)
    attempts, quota = {}, OVERLOAD_MULTIPLE * SLOW_START_SHARE * rates[Role.PREFILL] * OVERLOAD_WINDOW_MS
    for server in cold:  # at the start of the slow start
        attempts[server] = fleet.most(server, start, OVERLOAD_WINDOW_MS)
        assert attempts[server] <= allowed(quota), (server.role, attempts[server], quota)
    # If the cold servers are needed, the quota is used, even if it is less than one call.
    least = quota / 4 if together == fleet.peers else 1
    assert min(attempts.values()) >= least, (sorted(attempts.values()), quota)
    fleet.run(SLOW_START_MS - OVERLOAD_WINDOW_MS)
    for server in cold:  # at any time less than what would overload a warm server of its size
        quota = OVERLOAD_MULTIPLE * rates[server.role] * OVERLOAD_WINDOW_MS
        assert fleet.most(server, start, OVERLOAD_WINDOW_MS) <= allowed(quota)


@pytest.mark.parametrize("routers", [6, 200])
def test_quota_holds_if_routers_restart_too_and_the_request_rate_triples(routers: int) -> None:
    """Routers restart at the same time as a server, so that they know nothing but the endpoint list, and the request
    rate triples."""
    fleet = Fleet(routers, rate=120.0)
    fleet.run(WARM_UP_MS)
    quota = OVERLOAD_MULTIPLE * SLOW_START_SHARE * capacity(fleet, WARM_UP_MS / 2)[Role.PREFILL] * OVERLOAD_WINDOW_MS
    cold = fleet.servers[:2]
    for server in cold:
        server.started_ms = fleet.now
    fleet.event_queue.clear()
    fleet.router_list = [fleet.make_router(n) for n in range(routers)]
    start, fleet.rate = fleet.now, 3 * fleet.rate
    fleet.run(OVERLOAD_WINDOW_MS)
    for server in cold:
        assert fleet.most(server, start, OVERLOAD_WINDOW_MS) <= allowed(quota)


@pytest.mark.parametrize("routers", [2, 30, 200])
@pytest.mark.parametrize("overloaded_share", [0.0, 0.3])
def test_quota_holds_if_routers_are_informed_one_after_the_other(routers: int, overloaded_share: float) -> None:
    """A server fails if it gets more than its quota. Routers are to blame if more than two thirds of the attempts came
    from informed ones. The attempts of informed routers, including retries and handovers, stay within the quota on
    their own."""
    fleet = Fleet(routers, rate=120.0, overloaded_share=overloaded_share)
    fleet.run(WARM_UP_MS)
    warm_rate = capacity(fleet, WARM_UP_MS / 2)[Role.PREFILL] * (1 - overloaded_share)
    quota = OVERLOAD_MULTIPLE * SLOW_START_SHARE * warm_rate * OVERLOAD_WINDOW_MS
    cold = fleet.servers[:4]
    start = fleet.now
    fleet.restart(*cold, propagation_ms=2000.0)
    fleet.run(2 * OVERLOAD_WINDOW_MS)
    for server in cold:
        for window in fleet.windows(server, start, OVERLOAD_WINDOW_MS):
            informed = sum(attempt.informed for attempt in window)
            assert informed <= allowed(quota), (server.role, informed, len(window), quota)
            assert len(window) <= allowed(quota) or informed <= len(window) * 2 / 3


def test_safety_factor_covers_random_variation_for_any_quota() -> None:
    """Independent routers send a warming server a Poisson-distributed number of requests, whose mean is
    SLOW_START_SAFETY times the quota."""

    def excess_probability(mean: float, most: int) -> float:
        """The probability that a Poisson-distributed number exceeds `most`."""
        term = total = exp(-mean)
        for n in range(1, most + 1):
            term *= mean / n
            total += term
        return max(0.0, 1 - total)

    def platform_limit(calls: float) -> float:
        return calls + 3 * sqrt(calls) + 3 if calls < 30 else calls + 2 * sqrt(calls) + 2

    assert (
        max(excess_probability(SLOW_START_SAFETY * calls, floor(platform_limit(calls))) for calls in range(1, 700))
        < 1e-6
    )
