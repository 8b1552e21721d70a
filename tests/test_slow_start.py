"""Many routers and one cold server, in virtual time: the sum of all keeps to what the settings allow, and uses it."""

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
READ_MS, FIRST_MS, STREAM_MS = 120.0, 60.0, 1500.0
WARM_MS, COLD_MS, FALL_MS, MULTIPLE, COLD_FROM = 20e3, 10e3, 3000.0, 4.0, 0.31


class Attempt(NamedTuple):
    at: float
    server: Server
    by: int
    told: bool  # its router had heard of the server's start


@dataclass(eq=False)
class Fleet:
    """Servers that answer in fixed times, and routers that share `rate` requests a second as evenly as chance does."""

    routers: int
    rate: float
    peers: int = 6
    uneven: bool = False  # a few routers get most of the requests
    turned_away: float = 0.0  # the share of the attempts that find no room, and are made again elsewhere
    now: float = 1000.0
    sent: list[Attempt] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.servers = [
            Server("east", n // 2, role, 300e3, hash_key=zlib.crc32(b"%d %s" % (n, SEED_WORDS[role].encode())))
            for n in range(self.peers)
            for role in (Role.PREFILL, Role.DECODE)
        ]
        self.order, self.due = count(), list[tuple[float, int, int, messages.Event | tuple[Server, ...]]]()
        self.all = [self.router(n) for n in range(self.routers)]

    def router(self, nth: int) -> Router:
        router_config = replace(
            ROUTER_CONFIG,
            seed=nth * 7919 + 1,
            gateways=self.routers,
            request_classes=(REQUEST_CLASS,),
            idle_ms=30e3,
            fall_multiple=MULTIPLE,
            slow_start_share=COLD_FROM,
            slow_start_ms=COLD_MS,
            fall_ms=FALL_MS,
        )
        made = Router(router_config)
        self.mine = getattr(self, "mine", {})
        self.mine[nth] = [replace(s, router_state=None) for s in self.servers]
        self.act(nth, made.take(self.now, [messages.EndpointsUpdated(tuple(self.mine[nth]))]))
        return made

    def at(self, when: float, nth: int, event: messages.Event) -> None:
        heapq.heappush(self.due, (when, next(self.order), nth, event))

    def act(self, nth: int, actions: list[Any]) -> None:
        for action in actions:
            if isinstance(action, messages.StartTimer):
                self.at(action.at_ms, nth, messages.TimerFired(action.timer))
            elif isinstance(action, messages.StartAttempt):
                request, server = action.request, action.server
                true_server = self.servers[self.mine[nth].index(server)]
                told = server.started_ms == true_server.started_ms
                self.sent.append(Attempt(self.now, true_server, nth, told))
                if zlib.crc32(b"room %d" % len(self.sent)) < self.turned_away * 2**32:
                    self.at(
                        self.now + 5.0,
                        nth,
                        messages.AttemptEnded(request, server, AttemptOutcome.OVERLOADED, 5.0, False),
                    )
                elif server.role is Role.PREFILL:
                    self.at(
                        self.now + READ_MS,
                        nth,
                        messages.AttemptEnded(request, server, AttemptOutcome.PREFILLED, READ_MS, False, 300.0),
                    )
                else:
                    self.at(self.now + FIRST_MS, nth, messages.FirstToken(request, server, FIRST_MS))
                    self.at(
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
            self.at(self.now + ms * n / arrivals, nth, messages.RequestArrived(request))
        while self.due and self.due[0][0] <= until:
            self.now, _, nth, event = heapq.heappop(self.due)
            if isinstance(event, tuple):
                self.tell(nth, event)
            else:
                self.act(nth, self.all[nth].take(self.now, [event]))
        self.now = until

    def restart(self, *servers: Server, notice_ms: float = 0.0) -> None:
        """They are new, and the routers are told one after the other within `notice_ms`."""
        for server in servers:
            server.started_ms = self.now
        for nth in range(self.routers):
            delay = notice_ms * zlib.crc32(b"notice %d" % nth) / 2**32
            if delay:
                heapq.heappush(self.due, (self.now + delay, next(self.order), nth, servers))
            else:
                self.tell(nth, servers)

    def tell(self, nth: int, servers: tuple[Server, ...]) -> None:
        news = [self.mine[nth][self.servers.index(s)] for s in servers]
        for mine, server in zip(news, servers, strict=False):
            mine.started_ms, mine.status = server.started_ms, EndpointStatus.READY
        self.act(nth, self.all[nth].take(self.now, [messages.EndpointsUpdated(tuple(news))]))

    def windows(self, server: Server, since: float, span: float) -> list[list[Attempt]]:
        """What it was sent within each `span` that begins with an attempt."""
        sent = [a for a in self.sent if a.server is server and a.at >= since]
        return [[a for a in sent if first.at <= a.at < first.at + span] for first in sent]

    def most(self, server: Server, since: float, span: float) -> int:
        """The most that it was sent within any `span`."""
        return max((len(window) for window in self.windows(server, since, span)), default=0)


def capacity(fleet: Fleet, since: float) -> dict[Role, float]:
    """What a warm server of each role took each ms: no more than it could do."""
    took = Counter(a.server.role for a in fleet.sent if a.at >= since)
    return {role: n / fleet.peers / (fleet.now - since) for role, n in took.items()}


def allowed(calls: float) -> float:
    """What a cold server may be sent where the settings allow so many calls: the stricter of the users' two forms, as
    under 30 calls they add 3 root N + 3."""
    return calls + 2 * sqrt(calls) + 2


@pytest.mark.parametrize("routers", [2, 7, 200])
@pytest.mark.parametrize("rate", [12.0, 120.0])  # 7 calls, and 74
def test_the_budget_holds_where_a_few_routers_get_most_of_the_requests(rate: float, routers: int) -> None:
    fleet = Fleet(routers, rate, uneven=True)
    fleet.run(WARM_MS)
    rates = capacity(fleet, WARM_MS / 2)
    cold = [s for role in (Role.PREFILL, Role.DECODE) for s in [s for s in fleet.servers if s.role is role][:3]]
    start = fleet.now
    fleet.restart(*cold)
    fleet.run(FALL_MS)
    budget = MULTIPLE * COLD_FROM * rates[Role.PREFILL] * FALL_MS
    got = {server: fleet.most(server, start, FALL_MS) for server in cold}
    assert max(got.values()) <= allowed(budget), (sorted(got.values()), budget)


@pytest.mark.parametrize("routers", [1, 2, 6, 7, 30, 200])
@pytest.mark.parametrize("together", [1, 3, 6])
def test_the_sum_of_all_routers_keeps_to_a_cold_servers_budget_and_uses_it(routers: int, together: int) -> None:
    fleet = Fleet(routers, rate=120.0)
    fleet.run(WARM_MS)
    rates = capacity(fleet, WARM_MS / 2)
    cold = [s for role in (Role.PREFILL, Role.DECODE) for s in [s for s in fleet.servers if s.role is role][:together]]
    start = fleet.now
    fleet.restart(*cold)
    fleet.run(FALL_MS)
    got, budget = {}, MULTIPLE * COLD_FROM * rates[Role.PREFILL] * FALL_MS
    for server in cold:  # at its very coldest
        got[server] = fleet.most(server, start, FALL_MS)
        assert got[server] <= allowed(budget), (server.role, got[server], budget)
    least = budget / 4 if together == fleet.peers else 1  # where they are needed each part is spent, also below one
    assert min(got.values()) >= least, (sorted(got.values()), budget)
    fleet.run(COLD_MS - FALL_MS)
    for server in cold:  # never more than a warm one of its size could be pushed over by
        budget = MULTIPLE * rates[server.role] * FALL_MS
        assert fleet.most(server, start, FALL_MS) <= allowed(budget)


@pytest.mark.parametrize("routers", [6, 200])
def test_routers_that_restart_with_it_do_not_push_it_over_nor_does_a_rush(routers: int) -> None:
    """They know nothing but the list; and three times the usual requests come."""
    fleet = Fleet(routers, rate=120.0)
    fleet.run(WARM_MS)
    budget = MULTIPLE * COLD_FROM * capacity(fleet, WARM_MS / 2)[Role.PREFILL] * FALL_MS
    cold = fleet.servers[:2]
    for server in cold:
        server.started_ms = fleet.now
    fleet.due.clear()
    fleet.all = [fleet.router(n) for n in range(routers)]
    start, fleet.rate = fleet.now, 3 * fleet.rate
    fleet.run(FALL_MS)
    for server in cold:
        assert fleet.most(server, start, FALL_MS) <= allowed(budget)


@pytest.mark.parametrize("routers", [2, 30, 200])
@pytest.mark.parametrize("turned_away", [0.0, 0.3])
def test_the_budget_holds_where_routers_hear_of_the_start_one_after_the_other(routers: int, turned_away: float) -> None:
    """A server falls by more than its budget; that is the routers' fault where over two thirds came from those that had
    been told. What those sent keeps to the budget by itself, further attempts and hand-overs counted."""
    fleet = Fleet(routers, rate=120.0, turned_away=turned_away)
    fleet.run(WARM_MS)
    ran = capacity(fleet, WARM_MS / 2)[Role.PREFILL] * (1 - turned_away)
    budget = MULTIPLE * COLD_FROM * ran * FALL_MS
    cold = fleet.servers[:4]
    start = fleet.now
    fleet.restart(*cold, notice_ms=2000.0)
    fleet.run(2 * FALL_MS)
    for server in cold:
        for window in fleet.windows(server, start, FALL_MS):
            told = sum(attempt.told for attempt in window)
            assert told <= allowed(budget), (server.role, told, len(window), budget)
            assert len(window) <= allowed(budget) or told <= len(window) * 2 / 3


def test_the_part_that_is_used_leaves_room_for_chance_whatever_the_budget() -> None:
    """Routers that know nothing of each other send a warming server a Poisson sum: its mean is SLOW_START_SAFETY of
    what is allowed."""

    def over(mean: float, most: int) -> float:
        """The chance of a Poisson sum of more than `most`."""
        term = total = exp(-mean)
        for n in range(1, most + 1):
            term *= mean / n
            total += term
        return max(0.0, 1 - total)

    def users_form(calls: float) -> float:
        return calls + 3 * sqrt(calls) + 3 if calls < 30 else calls + 2 * sqrt(calls) + 2

    assert max(over(SLOW_START_SAFETY * calls, floor(users_form(calls))) for calls in range(1, 700)) < 1e-6
