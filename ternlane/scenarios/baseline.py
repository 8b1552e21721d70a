"""Round-robin routing as a baseline for measurements, not for use: no home pairs, no health checks, no backoff."""

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

# After these outcomes the request is known not to have run.
NOT_RUN = (AttemptOutcome.OVERLOADED, AttemptOutcome.CONNECT_FAILED)
PREFILL_ROLES = frozenset({Role.PREFILL, Role.BOTH})
DECODE_ROLES = frozenset({Role.DECODE})
# The share of the client's timeout within which an attempt must send its first token.
FIRST_TOKEN_SHARE = 1 / 2


@dataclass(slots=True)
class _Progress:
    """The state of an unfinished request. Times are in milliseconds of the router's clock."""

    deadline_ms: float
    attempts: int = 0


class RoundRobin:
    """Uses prefill servers and decode servers in turn. Retries only if nothing ran or the request is idempotent."""

    def __init__(self, router_config: RouterConfig) -> None:
        """The seed selects the first server."""
        self.router_config = router_config
        self._server_counter = count(router_config.seed)
        self._servers: list[Server] = []
        self._requests: dict[Request, _Progress] = {}

    def take(self, now: float, events: list[Event]) -> list[Action]:
        """Returns the actions for these events."""
        return [action for event in events for action in self._answer(now, event)]

    def _answer(self, now: float, event: Event) -> list[Action]:
        match event:
            case messages.EndpointsUpdated(servers):
                self._servers += [server for server in servers if server not in self._servers]
            case messages.RequestArrived(request):
                self._requests[request] = _Progress(now + request.client_timeout_ms)
                return self._send(request, now, PREFILL_ROLES)
            case messages.AttemptEnded(request, server, outcome, _, is_finished):
                return self._forget(request) if is_finished else self._next(request, server, outcome, now)
            case messages.ClientDisconnected(request):
                return [messages.CancelAttempt(request), *self._forget(request)]
        return []

    def _send(self, request: Request, now: float, roles: frozenset[Role]) -> list[Action]:
        progress = self._requests[request]
        eligible = [
            server for server in self._servers if server.status is EndpointStatus.READY and server.role in roles
        ]
        if not eligible or progress.attempts >= self.router_config.max_attempts or now >= progress.deadline_ms:
            return [messages.Reject(request, 0.0), *self._forget(request)]
        progress.attempts += 1
        left_ms = progress.deadline_ms - now
        return [
            messages.StartAttempt(
                request,
                eligible[next(self._server_counter) % len(eligible)],
                left_ms,
                request.client_timeout_ms * FIRST_TOKEN_SHARE,
                left_ms if request.whole else inf,
            )
        ]

    def _next(self, request: Request, server: Server, outcome: AttemptOutcome, now: float) -> list[Action]:
        """The actions after an unsuccessful attempt or a prefill: decode, retry or fail."""
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
