"""The baseline: a policy that knows the true state of every server, including its prefix cache, with a delay."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from math import inf
from typing import TYPE_CHECKING

from ternlane.policy import messages
from ternlane.policy.messages import AttemptOutcome, Effect, Request, Role
from tests.fleet.scenario import ClientRequest, Scenario
from tests.fleet.server import ModelServer

if TYPE_CHECKING:
    from tests.fleet.gateway import Gateway

VIEW_DELAY_MS = 250.0  # maximum age of its view of the servers


class DelayedViewBaseline:
    """Chooses by the true state of the servers, at most VIEW_DELAY_MS old, plus all attempts sent since."""

    def __init__(self, gateway: Gateway) -> None:
        self.gateway, self.simulation = gateway, gateway.simulation
        self.attempts: defaultdict[Request, int] = defaultdict(int)
        self.tried: defaultdict[Request, set[ModelServer]] = defaultdict(set)
        self.may_have_run: set[Request] = set()

    def take(self, now: float, events: list[messages.Event]) -> list[messages.Action]:
        actions: list[messages.Action] = []
        for event in events:
            match event:
                case messages.RequestArrived(request):
                    actions.append(self.next_attempt(request, Role.PREFILL))
                case messages.AttemptEnded(request, server, outcome, _, over) if not over:
                    if outcome is AttemptOutcome.PREFILLED:
                        actions.append(self.next_attempt(request, Role.DECODE))
                        continue
                    model = self.gateway.models_by_server[server]
                    self.tried[request].add(model)
                    if server.role is Role.DECODE and outcome not in (
                        AttemptOutcome.CONNECT_FAILED,
                        AttemptOutcome.OVERLOADED,
                    ):
                        self.may_have_run.add(request)
                    actions.append(
                        self.next_attempt(request, Role.PREFILL if server.role is Role.PREFILL else Role.DECODE)
                    )
        return actions

    def next_attempt(self, request: Request, role: Role) -> messages.Action:
        gateway, simulation = self.gateway, self.simulation
        client_request = gateway.requests[request]
        remaining_ms = client_request.arrived_at + client_request.timeout_ms - simulation.now
        is_unsafe = request.request_class.effect is not Effect.IDEMPOTENT and request in self.may_have_run
        if is_unsafe:
            return messages.Fail(request)
        candidates = [
            m
            for m in simulation.models
            if m.role is role and simulation.view_of(m).healthy and m not in self.tried[request]
        ]
        candidates = [m for m in candidates if not simulation.is_partitioned(gateway, m)]
        if remaining_ms <= 0 or self.attempts[request] >= 5 or not candidates:
            return messages.Reject(request, 200.0)
        self.attempts[request] += 1
        best = min(
            candidates,
            key=lambda m: (simulation.view_of(m).load + simulation.view_of(m).cost(m, client_request), m.number),
        )
        simulation.view_of(best).add(best, client_request)
        return messages.StartAttempt(
            request, gateway.server_for(best), min(remaining_ms, request.request_class.slo_ms), inf, inf
        )


@dataclass
class ServerView:
    """The state of a server as known to the baseline."""

    healthy: bool
    load: float
    speed: float
    role: Role
    scenario: Scenario

    def cost(self, model: ModelServer, client_request: ClientRequest) -> float:
        """The load added by the request, which is smaller if its prefix is cached."""
        if self.role is Role.PREFILL:
            return model.uncached_tokens(client_request) / self.scenario.prefill_tokens_per_ms / self.speed
        return (client_request.prompt + client_request.answer) / self.scenario.decode_memory / self.speed

    def add(self, model: ModelServer, client_request: ClientRequest) -> None:
        self.load += self.cost(model, client_request)
