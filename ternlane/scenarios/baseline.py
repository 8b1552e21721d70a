"""A baseline to measure against, never to serve by: pairs in turn, no home pair, no health, no waiting."""

from __future__ import annotations

from dataclasses import dataclass
from itertools import count
from math import inf

from ternlane.policy import messages
from ternlane.policy.messages import (
    Action,
    AttemptOutcome,
    Effect,
    EndpointStatus,
    Event,
    Request,
    Role,
    RouterConfig,
    Server,
)

# Outcomes that prove that nothing ran.
NOT_RUN = (AttemptOutcome.OVERLOADED, AttemptOutcome.CONNECT_FAILED)
PREFILL_ROLES = frozenset({Role.PREFILL, Role.BOTH})
DECODE_ROLES = frozenset({Role.DECODE})
# Of the client's time, for which an attempt may stay without a first token.
FIRST_TOKEN_SHARE = 1 / 2


@dataclass(slots=True)
class _Progress:
    """How far a request is. Times are milliseconds of the decisions' clock."""

    deadline_ms: float
    attempts: int = 0


class RoundRobin:
    """Prefill servers in turn, decode servers in turn; a retry only where nothing ran or the request is idempotent."""

    def __init__(self, router_config: RouterConfig) -> None:
        """The seed says whose turn is first."""
        self.router_config = router_config
        self._turn = count(router_config.seed)
        self._servers: list[Server] = []
        self._requests: dict[Request, _Progress] = {}

    def take(self, now: float, events: list[Event]) -> list[Action]:
        """The actions that answer these events."""
        return [action for event in events for action in self._answer(now, event)]

    def _answer(self, now: float, event: Event) -> list[Action]:
        match event:
            case messages.EndpointsUpdated(servers):
                self._servers += [server for server in servers if server not in self._servers]
            case messages.RequestArrived(request):
                self._requests[request] = _Progress(now + request.client_timeout_ms)
                return self._send(request, now, PREFILL_ROLES)
            case messages.AttemptEnded(request, server, outcome, _, over):
                return self._forget(request) if over else self._next(request, server, outcome, now)
            case messages.ClientDisconnected(request):
                return [messages.CancelAttempt(request), *self._forget(request)]
        return []

    def _send(self, request: Request, now: float, roles: frozenset[Role]) -> list[Action]:
        progress = self._requests[request]
        able = [server for server in self._servers if server.status is EndpointStatus.READY and server.role in roles]
        if not able or progress.attempts >= self.router_config.max_attempts or now >= progress.deadline_ms:
            return [messages.Reject(request, 0.0), *self._forget(request)]
        progress.attempts += 1
        left_ms = progress.deadline_ms - now
        return [
            messages.StartAttempt(
                request,
                able[next(self._turn) % len(able)],
                left_ms,
                request.client_timeout_ms * FIRST_TOKEN_SHARE,
                left_ms if request.whole else inf,
            )
        ]

    def _next(self, request: Request, server: Server, outcome: AttemptOutcome, now: float) -> list[Action]:
        """After an attempt that is not the last: decode, retry or give up."""
        if request not in self._requests:
            return [messages.Release(request)]
        if outcome is AttemptOutcome.PREFILLED:
            return self._send(request, now, DECODE_ROLES)
        may_have_run = server.role is not Role.PREFILL and outcome not in NOT_RUN
        if may_have_run and request.request_class.effect is not Effect.IDEMPOTENT:
            return [messages.Fail(request), *self._forget(request)]
        return [messages.Release(request), *self._send(request, now, PREFILL_ROLES)]

    def _forget(self, request: Request) -> list[Action]:
        self._requests.pop(request, None)
        return [messages.Release(request)]
