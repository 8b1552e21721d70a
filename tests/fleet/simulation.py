"""The simulation: its clock, its clients, and the share of their value that was served."""

from __future__ import annotations

import heapq
import random
import zlib
from collections import defaultdict
from collections.abc import Callable
from dataclasses import replace
from itertools import count
from math import inf
from typing import Any

from ternlane.policy.messages import AttemptOutcome, Effect, Group, RequestClass, Role, Tenant
from ternlane.policy.router import Router
from tests.conftest import ROUTER_CONFIG
from tests.fleet.baseline import VIEW_DELAY_MS, DelayedViewBaseline, ServerView
from tests.fleet.gateway import Gateway, virtual_clock
from tests.fleet.scenario import LATE_VALUE_SHARE, ClientRequest, Scenario
from tests.fleet.server import ModelServer, spread_cells


class FleetSimulation:
    """A fleet of gateways and model servers in virtual time."""

    def __init__(
        self, scenario: Scenario, policy: str = "router", faults: tuple[Callable[[FleetSimulation], None], ...] = ()
    ) -> None:
        self.scenario, self.policy = scenario, policy
        self.rng = random.Random(scenario.seed)
        self.now = 1000.0
        self.sequence = count()
        self.event_queue: list[tuple[float, int, Callable[[], None]]] = []
        self.models = [ModelServer(self, n, Role.PREFILL) for n in range(scenario.prefill_servers)]
        self.models += [ModelServer(self, n, Role.DECODE) for n in range(scenario.decode_servers)]
        spread_cells(self.models)
        self.discovery_up_at = -inf  # when discovery is reachable again
        self.partitions: set[tuple[str, str]] = set()
        self.requests: list[ClientRequest] = []
        self.attempt_outcomes: defaultdict[tuple[Role, AttemptOutcome], int] = defaultdict(int)
        self.attempts_sent: list[tuple[float, ModelServer]] = []
        self.probes = 0
        self.views: dict[ModelServer, ServerView] = {}
        self.views_updated_at = -inf
        self.request_classes = (
            RequestClass(
                Effect.IDEMPOTENT,
                Group.ALL,
                5000.0,
                scenario.slo_ms,
                40.0,
                70.0,
                scenario.deadline_ms,
                3.0,
                LATE_VALUE_SHARE,
            ),
            RequestClass(
                Effect.SIDE_EFFECTING,
                Group.ALL,
                5000.0,
                1.25 * scenario.slo_ms,
                40.0,
                80.0,
                1.2 * scenario.deadline_ms,
                2.0,
                LATE_VALUE_SHARE,
            ),
        )
        self.tenants = [Tenant() for _ in range(scenario.tenants)]
        self.gateways: list[Gateway] = []
        weights = random.Random(scenario.seed + 1)
        self.weights = [weights.lognormvariate(0.0, scenario.gateway_load_sigma) for _ in range(scenario.gateways)]
        self.faults = faults

    # -- the clock

    def schedule_at(self, when: float, call: Callable[[], None]) -> None:
        heapq.heappush(self.event_queue, (max(when, self.now), next(self.sequence), call))

    def schedule_after(self, ms: float, call: Callable[[], None]) -> None:
        self.schedule_at(self.now + ms, call)

    def run(self) -> FleetSimulation:
        with virtual_clock(lambda: self.now):
            for number in range(self.scenario.gateways):
                self.gateways.append(Gateway(self, number))
            self.schedule_arrivals()
            for fault in self.faults:
                fault(self)
            end = 1000.0 + self.scenario.duration_s * 1000
            while self.event_queue and self.event_queue[0][0] < end:
                self.now, _, call = heapq.heappop(self.event_queue)
                call()
        return self

    # -- for gateways and servers

    def make_router(self, gateway: Gateway) -> Any:
        if self.policy == "baseline":
            return DelayedViewBaseline(gateway)
        scenario = self.scenario
        router_config = replace(
            ROUTER_CONFIG,
            seed=zlib.crc32(b"%d %d %d" % (scenario.seed, gateway.number, gateway.incarnation)),
            gateways=scenario.gateways,
            zone=gateway.zone,
            request_classes=self.request_classes,
            may_probe=True,
            reports_mem=scenario.reports_on_probe,
            idle_ms=30e3,
            drain_grace_ms=2000.0,
            slow_start_ms=scenario.slow_start_ms,
            slow_start_share=scenario.slow_start_share,
            fall_multiple=4.0,
            fall_ms=3000.0,
        )
        return Router(router_config)

    def is_partitioned(self, gateway: Gateway, model: ModelServer) -> bool:
        return (gateway.zone, model.zone) in self.partitions

    def view_of(self, model: ModelServer) -> ServerView:
        if self.now - self.views_updated_at >= VIEW_DELAY_MS:
            self.views_updated_at = self.now
            for m in self.models:
                load = m.backlog_ms() if m.role is Role.PREFILL else m.utilization() / m.speed()
                self.views[m] = ServerView(m.healthy(), load, m.speed(), m.role, self.scenario)
        return self.views[model]

    def publish(self, model: ModelServer) -> None:
        """Notifies each gateway of the state of a model server once discovery is reachable."""
        for gateway in self.gateways:
            delay_ms = self.rng.uniform(0.0, self.scenario.propagation_ms) if self.scenario.propagation_ms else 0.0
            self.schedule_at(
                max(self.now, self.discovery_up_at) + delay_ms, lambda gateway=gateway: gateway.endpoint_changed(model)
            )

    # -- clients

    def schedule_arrivals(self) -> None:
        scenario, rng = self.scenario, random.Random(self.scenario.seed + 2)
        rate = (
            scenario.load
            * scenario.prefill_servers
            * scenario.prefill_tokens_per_ms
            / (scenario.prompt_tokens * (1 - 0.55 * scenario.cached_share))
        )
        when, end = self.now, self.now + scenario.duration_s * 1000
        sessions: list[tuple[str, str, int]] = []
        prefix_weights = [1 / (n + 1) ** 0.8 for n in range(scenario.prefixes)]
        while when < end:
            burst = (
                scenario.burst
                if end - 2 * scenario.duration_s * 1000 / 3 <= when < end - scenario.duration_s * 1000 / 3
                else 1.0
            )
            when += rng.expovariate(rate * burst)
            if sessions and rng.random() < 0.6:
                session, prefix, class_index = rng.choice(sessions[-400:])
            else:
                session, prefix = f"s{len(sessions)}", f"o{rng.choices(range(scenario.prefixes), prefix_weights)[0]}"
                class_index = int(rng.random() < scenario.side_effecting_share)
                sessions.append((session, prefix, class_index))
            request_class = self.request_classes[class_index]
            prompt = min(9000.0, scenario.prompt_tokens * rng.lognormvariate(-0.2, 0.6))
            answer = max(4.0, scenario.answer_tokens * rng.lognormvariate(-0.1, 0.4))
            tenant = rng.choice(self.tenants) if self.tenants else None
            timeout_ms = request_class.deadline_ms * rng.uniform(0.5, 1.0)
            client_request = ClientRequest(
                request_class,
                tenant,
                session,
                prefix,
                prompt,
                answer,
                when,
                timeout_ms,
                request_class.priority_weight * (prompt + 4 * answer),
            )
            if scenario.abandon_share and rng.random() < scenario.abandon_share:
                client_request.abandon_after_ms = rng.uniform(50.0, 1000.0)
            self.schedule_at(when, lambda client_request=client_request: self.send(client_request))

    def send(self, client_request: ClientRequest) -> None:
        if client_request.sends == 0:
            self.requests.append(client_request)
        client_request.sends += 1
        gateway = self.rng.choices(self.gateways, self.weights)[0]
        for _ in range(4):
            if gateway.alive:
                break
            gateway = self.rng.choices(self.gateways, self.weights)[0]
        if not gateway.alive:
            return self.retry(client_request, "unreachable")
        gateway.arrive(client_request)

    def retry(self, client_request: ClientRequest, outcome: str, retry_after_ms: float = 0.0) -> None:
        client_request.outcomes.append(outcome)
        wait_ms = max(retry_after_ms, self.rng.uniform(50.0, 400.0))
        remaining_ms = client_request.arrived_at + client_request.timeout_ms - self.now
        if client_request.sends < self.scenario.max_sends and wait_ms < remaining_ms:
            self.schedule_after(wait_ms, lambda: self.send(client_request))

    # -- results

    def served_share(self, include: Callable[[ClientRequest], bool] = lambda _: True) -> float:
        requests = [r for r in self.counted_requests() if include(r)]
        return sum(r.served_value() for r in requests) / max(1e-9, sum(r.value for r in requests))

    def counted_requests(self) -> list[ClientRequest]:
        """Requests whose latency objective ended before the simulation did, without abandoned ones."""
        end = 1000.0 + self.scenario.duration_s * 1000
        return [r for r in self.requests if r.arrived_at + r.request_class.slo_ms < end and not r.abandoned]

    def shares_of_thirds(self) -> list[float]:
        third_ms = self.scenario.duration_s * 1000 / 3
        return [self.served_share(lambda r, n=n: int((r.arrived_at - 1000.0) // third_ms) == n) for n in range(3)]

    def served_shares(self) -> dict[str, float]:
        """The served shares in total, by class, by third of the simulated time and by tenant."""
        shares = {"total": self.served_share()}
        for n, request_class in enumerate(self.request_classes):
            shares[f"class {n}"] = self.served_share(
                lambda r, request_class=request_class: r.request_class is request_class
            )
        for n, share in enumerate(self.shares_of_thirds()):
            shares[f"third {n}"] = share
        for n, tenant in enumerate(self.tenants):
            shares[f"tenant {n}"] = self.served_share(lambda r, tenant=tenant: r.tenant is tenant)
        return shares
