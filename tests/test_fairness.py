"""Who is served when not all can be: large requests, whole sessions and every class get their part.

One to six gateways in virtual time before servers that read prompts in turn and hold answers in memory. What is
demanded is what the users' acceptance holds: of a class's requests the tenth with the longest prompts, and the fifth
below it, get at least two thirds of the class's answered share on a quiet day and half on others; no session is refused
throughout while there is room; each third of a day and each class is served.
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

READ_TOKENS_PER_MS, TOKEN_MS, MEMORY_TOKENS = 8.0, 12.0, 60e3
DAY_MS = 40e3
SHARE = {"quiet": 2 / 3, "overloaded": 1 / 2}


@dataclass(eq=False)
class ClientRequest:
    name: str
    request: Request
    session: str
    came: float
    answered: bool = False
    rejected: bool = False


@dataclass(eq=False)
class Fleet:
    """Prefill servers that read in turn, decode servers whose memory bounds what they take."""

    gateways: int
    load: float
    seed: int
    pairs: int = 4
    now: float = 1000.0
    requests: list[ClientRequest] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.rng, self.order = random.Random(self.seed), count()
        self.due: list[tuple[float, int, int, Any]] = []
        self.busy_until: defaultdict[int, float] = defaultdict(float)
        self.held: defaultdict[int, float] = defaultdict(float)
        self.request_classes = {
            "chat": RequestClass(Effect.IDEMPOTENT, Group.CELL, 0.0, 2000.0, 40.0, 70.0, 8000.0, 3.0, 0.1),
            "order": RequestClass(Effect.SIDE_EFFECTING, Group.CELL, 0.0, 2000.0, 40.0, 70.0, 9000.0, 1.0, 0.1),
        }
        self.of: dict[Request, ClientRequest] = {}
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
            self.tell(nth, messages.EndpointsUpdated(tuple(self.servers[nth])))

    def at(self, when: float, nth: int, event: Any) -> None:
        heapq.heappush(self.due, (when, next(self.order), nth, event))

    def tell(self, nth: int, event: messages.Event) -> None:
        for action in self.routers[nth].take(self.now, [event]):
            match action:
                case messages.StartTimer(at, timer):
                    self.at(at, nth, messages.TimerFired(timer))
                case messages.StartAttempt(request, server, timeout):
                    self.attempt(nth, request, server, timeout)
                case messages.Reject(request) | messages.Fail(request):
                    self.of[request].rejected = True

    def attempt(self, nth: int, request: Request, server: Server, timeout: float) -> None:
        place, since = self.servers[nth].index(server), self.now
        if server.role is Role.PREFILL:
            done = max(self.busy_until[place], self.now) + request.prompt_tokens / READ_TOKENS_PER_MS
            self.busy_until[place] = done
            outcome = AttemptOutcome.PREFILLED if done <= self.now + timeout else AttemptOutcome.TIMED_OUT
            took = min(done - self.now, timeout)
            self.at(self.now + took, nth, messages.AttemptEnded(request, server, outcome, took, False))
            return
        tokens = request.prompt_tokens + request.max_tokens
        if self.held[place] + tokens > MEMORY_TOKENS:
            self.at(self.now + 1, nth, messages.AttemptEnded(request, server, AttemptOutcome.OVERLOADED, 1.0, False))
            return
        self.held[place] += tokens
        self.at(since + 50, nth, messages.FirstToken(request, server, 50.0))
        self.at(
            since + 50 + TOKEN_MS * request.max_tokens / 4,
            nth,
            (place, tokens, messages.AttemptEnded(request, server, AttemptOutcome.STREAMED, 50.0, True)),
        )

    def arrivals(self) -> None:
        """Sessions of some turns each; prompts as people write them, a few of them very long."""
        mean = 1500.0
        rate = self.load * self.pairs * READ_TOKENS_PER_MS / mean  # requests a ms
        when = self.now
        while when < 1000.0 + DAY_MS:
            when += self.rng.expovariate(rate) * 3
            session, name = f"s{next(self.order)}", self.rng.choice(["chat", "order"])
            nth, turn_at = self.rng.randrange(self.gateways), when
            for _ in range(3):
                prompt = min(12e3, mean * self.rng.lognormvariate(-0.5, 1.0))
                request = Request(self.request_classes[name], session, None, 0.0, prompt, 400.0, 7000.0)
                self.at(turn_at, nth, ClientRequest(name, request, session, turn_at))
                turn_at += 3000.0

    def run(self) -> None:
        self.arrivals()
        self.until(1000.0 + DAY_MS + 10e3)

    def until(self, when: float) -> None:
        while self.due and self.due[0][0] <= when:
            self.now, _, nth, event = heapq.heappop(self.due)
            if isinstance(event, ClientRequest):
                self.requests.append(event)
                self.of[event.request] = event
                self.tell(nth, messages.RequestArrived(event.request))
            elif isinstance(event, tuple):
                place, tokens, ended = event
                self.held[place] -= tokens
                self.of[ended.request].answered = True
                self.tell(nth, ended)
            else:
                self.tell(nth, event)


def share(requests: list[ClientRequest]) -> float:
    return sum(r.answered for r in requests) / max(1, len(requests))


@pytest.mark.parametrize("gateways", [1, 6])
@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("day, load", [("quiet", 0.5), ("overloaded", 1.4)])
def test_large_requests_sessions_classes_and_thirds_get_their_part(
    day: str, load: float, seed: int, gateways: int
) -> None:
    fleet = Fleet(gateways, load, seed)
    fleet.run()
    assert len(fleet.requests) > 300
    for name in fleet.request_classes:
        mine = sorted((r for r in fleet.requests if r.name == name), key=lambda r: -r.request.prompt_tokens)
        tenth = len(mine) // 10
        assert share(mine) > (0.9 if day == "quiet" else 0.3)
        for large in (mine[:tenth], mine[tenth : 3 * tenth]):
            assert share(large) >= SHARE[day] * share(mine), (name, share(large), share(mine))
    for third in range(3):
        begin = 1000.0 + DAY_MS * third / 3
        part = [r for r in fleet.requests if begin <= r.came < begin + DAY_MS / 3]
        assert share(part) >= 0.5 * share(fleet.requests)
    if day == "quiet":  # whose turns are all refused: no more than chance would have it
        turns: defaultdict[str, list[ClientRequest]] = defaultdict(list)
        for one in fleet.requests:
            turns[one.session].append(one)
        shut_out = [t for t in turns.values() if not any(r.answered for r in t)]
        refused = 1 - share(fleet.requests)
        assert len(shut_out) <= (0.12 + refused**3) * len(turns)


def test_a_session_whose_home_congests_is_served_elsewhere_while_there_is_room() -> None:
    """Its home is full for long; other pairs are not, so none of its turns is refused."""
    fleet = Fleet(1, 0.0, seed=3)
    request_class = fleet.request_classes["chat"]
    first = Request(request_class, "a", None, 0.0, 800.0, 400.0, 7000.0)
    fleet.of[first] = ClientRequest("chat", first, "a", fleet.now)
    fleet.tell(0, messages.RequestArrived(first))
    home = fleet.routers[0].scheduler.rules.placement.homes["a"]  # type: ignore[attr-defined]
    fleet.held[fleet.servers[0].index(home.decode_server.server)] = MEMORY_TOKENS
    for _ in range(8):
        turn = Request(request_class, "a", None, 0.0, 800.0, 400.0, 7000.0)
        fleet.at(fleet.now + 3000.0, 0, ClientRequest("chat", turn, "a", fleet.now))
        fleet.until(fleet.now + 3000.0)
    assert len(fleet.requests) == 8 and not any(r.rejected for r in fleet.requests)
