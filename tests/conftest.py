"""A fake host of one router, with a few servers and a clock."""

from __future__ import annotations

import zlib
from dataclasses import dataclass, replace
from math import inf
from typing import Any

import pytest

from ternlane.policy import messages
from ternlane.policy.messages import (
    AttemptOutcome,
    Effect,
    EndpointStatus,
    Group,
    RequestClass,
    Role,
    RouterConfig,
    Server,
    TimerKind,
)
from ternlane.policy.router import Router


@dataclass
class FakeHost:
    """Passes events to a router and returns its actions."""

    router: Router
    servers: dict[str, Server]
    request_classes: dict[Effect, RequestClass]
    now: float = 0.0
    deadline_timer_at: float = inf  # when the router's deadline timer is due

    def take(self, *events: Any) -> list[Any]:
        actions = self.router.take(self.now, list(events))
        timers = [a for a in actions if isinstance(a, messages.StartTimer) and a.timer is TimerKind.DEADLINE]
        self.deadline_timer_at = min([self.deadline_timer_at, *(a.at_ms for a in timers)])
        return actions

    def deliver(self, *events: Any, after: float = 0.0) -> list[Any]:
        """Advances the clock by `after` and fires the timers due, then delivers the events. Returns the actions except
        timers and logs."""
        until, actions = self.now + after, []
        tick = self.now + 50.0
        while min(tick, self.deadline_timer_at) <= until:
            self.now = max(self.now, min(tick, self.deadline_timer_at))
            if self.deadline_timer_at <= tick:
                self.deadline_timer_at = inf
                actions += self.take(messages.TimerFired(TimerKind.DEADLINE))
            else:
                tick += 50.0
                actions += self.take(messages.TimerFired(TimerKind.TICK))
        self.now = until
        actions += self.take(*events)
        return [a for a in actions if not isinstance(a, (messages.StartTimer, messages.Log))]

    def update_endpoints(self, **statuses: EndpointStatus) -> list[Any]:
        for name, status in statuses.items():
            self.servers[name].status = status
        return self.deliver(messages.EndpointsUpdated(tuple(self.servers.values())))

    def request(
        self, effect: Effect = Effect.IDEMPOTENT, session: str | None = None, **fields: Any
    ) -> messages.Request:
        fields = (
            dict(prefix="o", prefix_tokens=2000.0, prompt_tokens=2400.0, max_tokens=400.0, client_timeout_ms=5000.0)
            | fields
        )
        return messages.Request(self.request_classes[effect], session, **fields)

    def arrive(self, request: messages.Request, after: float = 0.0) -> list[Any]:
        return self.deliver(messages.RequestArrived(request), after=after)

    def end_attempt(
        self,
        request: messages.Request,
        server: Server,
        outcome: AttemptOutcome,
        after: float = 100.0,
        over: bool = False,
        **fields: Any,
    ) -> list[Any]:
        return self.deliver(messages.AttemptEnded(request, server, outcome, after, over, **fields), after=after)

    def first_token(self, request: messages.Request, server: Server, after: float = 100.0) -> list[Any]:
        return self.deliver(messages.FirstToken(request, server, after), after=after)

    def start_decode(
        self, effect: Effect = Effect.IDEMPOTENT, **fields: Any
    ) -> tuple[messages.Request, messages.StartAttempt]:
        """Returns a request after its prefill, and its decode attempt, which has just started."""
        request = self.request(effect, **fields)
        attempt = started_attempt(self.arrive(request))
        return request, started_attempt(self.end_attempt(request, attempt.server, AttemptOutcome.PREFILLED))


def started_attempt(actions: list[Any]) -> messages.StartAttempt:
    attempts = [a for a in actions if isinstance(a, messages.StartAttempt)]
    assert len(attempts) == 1, actions
    return attempts[0]


def action_types(actions: list[Any]) -> list[type]:
    return [type(a) for a in actions]


ROUTER_CONFIG = RouterConfig(
    seed=7,
    gateways=2,
    zone="east",
    request_classes=(),
    max_attempts=5,
    may_cancel=True,
    may_reserve=False,
    may_probe=False,
    may_send_retry_after=True,
    must_subscribe=False,
    ask_within_ms=10e3,
    decode_servers_prefill=False,
    reports_mem=False,
    max_retry_after_ms=500.0,
    connect_ms=250.0,
    idle_ms=30e3,
    release_ms=500.0,
    drain_grace_ms=250.0,
    slow_start_ms=10e3,
    slow_start_share=0.25,
    fall_multiple=2.5,
    fall_ms=2000.0,
    step_ms=4.0,
)


def make_host(extra: tuple[str, ...] = (), **router_config: Any) -> FakeHost:
    request_classes = {e: RequestClass(e, Group.CELL, 3000.0, 1000.0, 50.0, 60.0, 5000.0, 1.0, 0.2) for e in Effect}
    servers = {
        name: Server(
            "east",
            int(name[1]),
            Role.PREFILL if name[0] == "r" else Role.DECODE,
            200e3,
            hash_key=zlib.crc32(name.encode()),
        )
        for name in ("r0", "w0", "r1", "w1", *extra)
    }
    host = FakeHost(
        Router(replace(ROUTER_CONFIG, request_classes=tuple(request_classes.values()), **router_config)),
        servers,
        request_classes,
        1000.0,
    )
    host.update_endpoints()
    return host


@pytest.fixture
def host() -> FakeHost:
    return make_host()
