"""The parameters of a simulation, the requests of its clients, and the attempts at model servers."""

from __future__ import annotations

from dataclasses import dataclass, field
from math import inf
from typing import TYPE_CHECKING

from ternlane.policy.messages import Request, RequestClass, Server, Tenant

if TYPE_CHECKING:
    from tests.fleet.gateway import Gateway

LATE_VALUE_SHARE = 0.1  # share of its value that an answer after the latency objective has


@dataclass(frozen=True)
class Scenario:
    """The parameters of a simulation. `load` is the demand of the requests as a share of the prefill capacity."""

    gateways: int = 200
    prefill_servers: int = 36
    decode_servers: int = 24
    zones: int = 1
    load: float = 0.6
    duration_s: float = 20.0
    seed: int = 1
    gateway_load_sigma: float = 0.8  # sigma of the log-normal distribution of requests over gateways
    prefill_tokens_per_ms: float = 21.0
    prefill_slots: int = 8
    prefill_queue: int = 45
    decode_slots: int = 90
    decode_queue: int = 28
    decode_memory: float = 200e3
    tenants: int = 0
    side_effecting_share: float = 0.5
    prompt_tokens: float = 1800.0
    cached_share: float = 0.6  # of a prompt at a prefill server that has prefilled its session or prefix before
    answer_tokens: float = 150.0
    prefixes: int = 12  # shared by sessions, with a Zipf distribution
    slo_ms: float = 2000.0
    deadline_ms: float = 10000.0
    max_sends: int = 3
    slow_start_ms: float = 10e3
    slow_start_share: float = 0.35
    reports_on_probe: bool = False  # model servers report their load in reply to probes
    propagation_ms: float = 0.0  # until the last gateway gets a change of the endpoint list
    abandon_share: float = 0.0  # of the clients that disconnect within a second
    burst: float = 1.0  # multiple of the request rate in the second third of the simulated time


@dataclass(eq=False)
class ClientRequest:
    """A request of a client, which may be sent several times."""

    request_class: RequestClass
    tenant: Tenant | None
    session: str
    prefix: str
    prompt: float
    answer: float
    arrived_at: float
    timeout_ms: float
    value: float
    abandon_after_ms: float = inf  # after each send
    sends: int = 0
    first_token: float = inf
    broken: bool = False
    abandoned: bool = False  # the client disconnected early; not counted in the results
    outcomes: list[str] = field(default_factory=list)

    def served_value(self) -> float:
        if self.broken or self.first_token == inf:
            return 0.0
        late = self.first_token > self.arrived_at + self.request_class.slo_ms
        return self.value * (LATE_VALUE_SHARE if late else 1.0)


@dataclass(eq=False)
class Job:
    """An attempt at a model server."""

    gateway: Gateway
    request: Request
    server: Server
    client_request: ClientRequest
    started_at: float
    timeout_at: float
    ended: bool = False
    streaming: bool = False
    prefill_ms: float = 0.0
