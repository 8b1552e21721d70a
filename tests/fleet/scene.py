"""What a day is like, what its clients want, and one attempt for one of them."""

from __future__ import annotations

from dataclasses import dataclass, field
from math import inf
from typing import TYPE_CHECKING

from ternlane.policy.messages import Request, RequestClass, Server, Tenant

if TYPE_CHECKING:
    from tests.fleet.gateway import Gateway

LATE_SHARE = 0.1  # of its value that an answer after its SLO time earns


@dataclass(frozen=True)
class Scene:
    """What a day is like. `load` is the share of the prefill servers' capacity that the requests ask for."""

    gateways: int = 200
    prefill_servers: int = 36
    decode_servers: int = 24
    zones: int = 1
    load: float = 0.6
    seconds: float = 20.0
    seed: int = 1
    unevenness: float = 0.8  # sigma of the log-normal weights of the gateways
    prefill_tokens_per_ms: float = 21.0
    prefill_slots: int = 8
    prefill_queue: int = 45
    decode_slots: int = 90
    decode_queue: int = 28
    decode_memory: float = 200e3
    tenants: int = 0
    unsafe_share: float = 0.5
    prompt_tokens: float = 1800.0
    kept_share: float = 0.6  # of a prompt that a reader holds which read its session or opening before
    answer_tokens: float = 150.0
    prefixes: int = 12  # beginnings that sessions share, drawn by Zipf's law
    slo_ms: float = 2000.0
    deadline_ms: float = 10000.0
    tries: int = 3
    slow_start_ms: float = 10e3
    slow_start_share: float = 0.35
    reports_on_probe: bool = False  # model servers answer probes with their load
    notice_ms: float = 0.0  # until the last gateway has heard of a change of the list
    leave_share: float = 0.0  # of the clients, that give up within a second
    burst: float = 1.0  # how much more comes in the second third of the day


@dataclass(eq=False)
class ClientRequest:
    """What one client wants; its tries are counted as one."""

    request_class: RequestClass
    tenant: Tenant | None
    session: str
    prefix: str
    prompt: float
    answer: float
    came: float
    patience: float
    value: float
    gives_up_ms: float = inf  # after each of its tries
    tries: int = 0
    first_token: float = inf
    broken: bool = False
    left: bool = False  # its client has given up early, and nothing is owed
    outcomes: list[str] = field(default_factory=list)

    def served(self) -> float:
        if self.broken or self.first_token == inf:
            return 0.0
        late = self.first_token > self.came + self.request_class.slo_ms
        return self.value * (LATE_SHARE if late else 1.0)


@dataclass(eq=False)
class Job:
    """One attempt at one model server. `done` is told its end."""

    gateway: Gateway
    request: Request
    server: Server
    client_request: ClientRequest
    since: float
    timeout_at: float
    ended: bool = False
    begun: bool = False
    work: float = 0.0
