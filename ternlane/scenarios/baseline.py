"""A baseline to measure against, never to serve by: pairs in turn, no home, no health, no waiting."""

from __future__ import annotations

from itertools import count

from ternlane.policy import messages
from ternlane.policy.messages import (
    Action,
    Role,
    Effect,
    Event,
    Request,
    EndpointStatus,
    Server,
    RouterConfig,
    AttemptOutcome,
)


class RoundRobin:
    """Readers in turn, writers in turn; a further leg only where nothing ran or the generation is idempotent."""

    def __init__(self, router_config: RouterConfig) -> None:
        self.router_config, self.turn = router_config, count(router_config.seed)
        self.servers: list[Server] = []
        self.attempts: dict[Request, int] = {}
        self.until: dict[Request, float] = {}
        self.ran: set[Request] = set()

    def take(self, now: float, events: list[Event]) -> list[Action]:
        out: list[Action] = []
        for event in events:
            match event:
                case messages.EndpointsUpdated(servers):
                    self.servers += [s for s in servers if s not in self.servers]
                case messages.RequestArrived(request):
                    self.attempts[request], self.until[request] = 0, now + request.client_timeout_ms
                    out += self.send(request, now, {Role.PREFILL, Role.BOTH})
                case messages.AttemptEnded(request, server, verdict, _, over):
                    out += (
                        [messages.Release(request), *self.forget(request)]
                        if over
                        else self.next(request, server, verdict, now)
                    )
                case messages.ClientDisconnected(request):
                    out += [messages.CancelAttempt(request), messages.Release(request), *self.forget(request)]
        return out

    def send(self, request: Request, now: float, roles: set[Role]) -> list[Action]:
        able = [s for s in self.servers if s.status is EndpointStatus.READY and s.role in roles]
        if not able or self.attempts[request] >= self.router_config.max_attempts or now >= self.until[request]:
            final: Action = messages.Fail(request) if request in self.ran else messages.Reject(request, 0.0)
            return [final, messages.Release(request), *self.forget(request)]
        self.attempts[request] += 1
        left = self.until[request] - now
        return [
            messages.StartAttempt(
                request,
                able[next(self.turn) % len(able)],
                left,
                request.client_timeout_ms / 2,
                left if request.whole else float("inf"),
            )
        ]

    def next(self, request: Request, server: Server, verdict: AttemptOutcome, now: float) -> list[Action]:
        if request not in self.attempts:
            return [messages.Release(request)]
        if verdict is AttemptOutcome.PREFILLED:
            return self.send(request, now, {Role.DECODE})
        if (
            server.role is not Role.PREFILL
            and verdict not in (AttemptOutcome.OVERLOADED, AttemptOutcome.CONNECT_FAILED)
            and request.request_class.effect is not Effect.IDEMPOTENT
        ):
            self.ran.add(request)
            return [messages.Fail(request), messages.Release(request), *self.forget(request)]
        return [messages.Release(request), *self.send(request, now, {Role.PREFILL, Role.BOTH})]

    def forget(self, request: Request) -> list[Action]:
        self.attempts.pop(request, None)
        self.until.pop(request, None)
        self.ran.discard(request)
        return []
