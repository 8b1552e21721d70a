"""Fairness under overload: large requests, sessions and all classes get their share.

One to six gateways run in virtual time in front of servers that prefill in order of arrival and decode within a memory
limit. The floors are the acceptance criteria. In each class, the answered shares of the tenth of requests with
the longest prompts, and of the next fifth, are at least two thirds of the share of the class without overload, and half
of it with overload. No session has all of its requests rejected while there is capacity. Each third of the time and
each class is served.
"""

from __future__ import annotations

import heapq
import random
import zlib
from collections import defaultdict
from dataclasses import dataclass, field, replace
from itertools import count
from typing import Any

import pytest

from ternlane.policy import messages
from ternlane.policy.messages import AttemptOutcome, Effect, Group, Request, RequestClass, Role, Server
from ternlane.policy.router import Router
from tests.conftest import ROUTER_CONFIG

PREFILL_TOKENS_PER_MS, TOKEN_MS, MEMORY_TOKENS = 8.0, 12.0, 60e3
DURATION_MS = 40e3
MIN_RELATIVE_SHARE = {"normal": 2 / 3, "overloaded": 1 / 2}


@dataclass(eq=False)
class ClientRequest:
    name: str
    request: Request
    session: str
    arrived_at: float
    answered: bool = False
    rejected: bool = False


@dataclass(eq=False)
class Fleet:
    """Prefill servers that work in order of arrival, decode servers with a memory limit, and the routers in front."""

    gateways: int
    load: float
    seed: int
    pairs: int = 4
    now: float = 1000.0
    requests: list[ClientRequest] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.rng, self.sequence = random.Random(self.seed), count()
        self.event_queue: list[tuple[float, int, int, Any]] = []
        self.busy_until: defaultdict[int, float] = defaultdict(float)
        self.used_tokens: defaultdict[int, float] = defaultdict(float)
        self.request_classes = {
            "chat": RequestClass(Effect.IDEMPOTENT, Group.CELL, 0.0, 2000.0, 40.0, 70.0, 8000.0, 3.0, 0.1),
            "order": RequestClass(Effect.SIDE_EFFECTING, Group.CELL, 0.0, 2000.0, 40.0, 70.0, 9000.0, 1.0, 0.1),
        }
        self.client_requests: dict[Request, ClientRequest] = {}
        self.routers, self.servers = list[Router](), list[list[Server]]()
        for nth in range(self.gateways):
            router_config = replace(
                ROUTER_CONFIG,
                seed=self.seed + nth,
                gateways=self.gateways,
                request_classes=tuple(self.request_classes.values()),
                idle_ms=30e3,
                slow_start_ms=0.0,
            )
            self.servers.append(
                [
                    Server("east", n, role, MEMORY_TOKENS, hash_key=zlib.crc32(b"%d%d" % (n, role.value)))
                    for n in range(self.pairs)
                    for role in (Role.PREFILL, Role.DECODE)
                ]
            )
            self.routers.append(Router(router_config))
            self.deliver(nth, messages.EndpointsUpdated(tuple(self.servers[nth])))

    def schedule(self, when: float, nth: int, event: Any) -> None:
        heapq.heappush(self.event_queue, (when, next(self.sequence), nth, event))

    def deliver(self, nth: int, event: messages.Event) -> None:
        for action in self.routers[nth].take(self.now, [event]):
            match action:
                case messages.StartTimer(at, timer):
                    self.schedule(at, nth, messages.TimerFired(timer))
                case messages.StartAttempt(request, server, timeout):
                    self.start_attempt(nth, request, server, timeout)
                case messages.Reject(request) | messages.Fail(request):
                    self.client_requests[request].rejected = True

    def start_attempt(self, nth: int, request: Request, server: Server, timeout: float) -> None:
        index, since = self.servers[nth].index(server), self.now
        if server.role is Role.PREFILL:
            done = max(self.busy_until[index], self.now) + request.prompt_tokens / PREFILL_TOKENS_PER_MS
            self.busy_until[index] = done
            outcome = AttemptOutcome.PREFILLED if done <= self.now + timeout else AttemptOutcome.TIMED_OUT
            took_ms = min(done - self.now, timeout)
            self.schedule(self.now + took_ms, nth, messages.AttemptEnded(request, server, outcome, took_ms, False))
            return
        tokens = request.prompt_tokens + request.max_tokens
        if self.used_tokens[index] + tokens > MEMORY_TOKENS:
            self.schedule(
                self.now + 1, nth, messages.AttemptEnded(request, server, AttemptOutcome.OVERLOADED, 1.0, False)
            )
            return
        self.used_tokens[index] += tokens
        self.schedule(since + 50, nth, messages.FirstToken(request, server, 50.0))
        self.schedule(
            since + 50 + TOKEN_MS * request.max_tokens / 4,
            nth,
            (index, tokens, messages.AttemptEnded(request, server, AttemptOutcome.STREAMED, 50.0, True)),
        )

    def schedule_arrivals(self) -> None:
        """Schedules sessions of three turns each. Prompt lengths have a log-normal distribution, so a few are very
        long."""
        mean = 1500.0
        rate = self.load * self.pairs * PREFILL_TOKENS_PER_MS / mean  # requests per ms
        when = self.now
        while when < 1000.0 + DURATION_MS:
            when += self.rng.expovariate(rate) * 3
            session, name = f"s{next(self.sequence)}", self.rng.choice(["chat", "order"])
            nth, turn_at = self.rng.randrange(self.gateways), when
            for _ in range(3):
                prompt = min(12e3, mean * self.rng.lognormvariate(-0.5, 1.0))
                request = Request(self.request_classes[name], session, None, 0.0, prompt, 400.0, 7000.0)
                self.schedule(turn_at, nth, ClientRequest(name, request, session, turn_at))
                turn_at += 3000.0

    def run(self) -> None:
        self.schedule_arrivals()
        self.run_until(1000.0 + DURATION_MS + 10e3)

    def run_until(self, when: float) -> None:
        while self.event_queue and self.event_queue[0][0] <= when:
            self.now, _, nth, event = heapq.heappop(self.event_queue)
            if isinstance(event, ClientRequest):
                self.requests.append(event)
                self.client_requests[event.request] = event
                self.deliver(nth, messages.RequestArrived(event.request))
            elif isinstance(event, tuple):
                index, tokens, ended = event
                self.used_tokens[index] -= tokens
                self.client_requests[ended.request].answered = True
                self.deliver(nth, ended)
            else:
                self.deliver(nth, event)


def answered_share(requests: list[ClientRequest]) -> float:
    return sum(r.answered for r in requests) / max(1, len(requests))


@pytest.mark.parametrize("gateways", [1, 6])
@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("load_level, load", [("normal", 0.5), ("overloaded", 1.4)])
def test_large_requests_sessions_classes_and_thirds_get_their_share(
    load_level: str, load: float, seed: int, gateways: int
) -> None:
    fleet = Fleet(gateways, load, seed)
    fleet.run()
    assert len(fleet.requests) > 300
    for name in fleet.request_classes:
        class_requests = sorted((r for r in fleet.requests if r.name == name), key=lambda r: -r.request.prompt_tokens)
        tenth = len(class_requests) // 10
        assert answered_share(class_requests) > (0.9 if load_level == "normal" else 0.3)
        for large in (class_requests[:tenth], class_requests[tenth : 3 * tenth]):
            assert answered_share(large) >= MIN_RELATIVE_SHARE[load_level] * answered_share(class_requests), (
                name,
                answered_share(large),
                answered_share(class_requests),
            )
    for third in range(3):
        begin = 1000.0 + DURATION_MS * third / 3
        third_requests = [r for r in fleet.requests if begin <= r.arrived_at < begin + DURATION_MS / 3]
        assert answered_share(third_requests) >= 0.5 * answered_share(fleet.requests)
    if load_level == "normal":  # sessions without any answer: not more than by chance
        turns: defaultdict[str, list[ClientRequest]] = defaultdict(list)
        for client_request in fleet.requests:
            turns[client_request.session].append(client_request)
        unanswered_sessions = [t for t in turns.values() if not any(r.answered for r in t)]
        rejected_share = 1 - answered_share(fleet.requests)
        assert len(unanswered_sessions) <= (0.12 + rejected_share**3) * len(turns)


def test_session_with_a_congested_home_pair_is_served_by_another_pair() -> None:
    """The home pair is full for a long time and other pairs are not, so no request of the session is rejected."""
    fleet = Fleet(1, 0.0, seed=3)
    request_class = fleet.request_classes["chat"]
    first = Request(request_class, "a", None, 0.0, 800.0, 400.0, 7000.0)
    fleet.client_requests[first] = ClientRequest("chat", first, "a", fleet.now)
    fleet.deliver(0, messages.RequestArrived(first))
    home = fleet.routers[0].scheduler.rules.placement.homes["a"]  # type: ignore[attr-defined]
    fleet.used_tokens[fleet.servers[0].index(home.decode_server.server)] = MEMORY_TOKENS
    for _ in range(8):
        turn = Request(request_class, "a", None, 0.0, 800.0, 400.0, 7000.0)
        fleet.schedule(fleet.now + 3000.0, 0, ClientRequest("chat", turn, "a", fleet.now))
        fleet.run_until(fleet.now + 3000.0)
    assert len(fleet.requests) == 8 and not any(r.rejected for r in fleet.requests)
