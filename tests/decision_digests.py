"""Seeded event streams for the router, and digests of the resulting actions.

The canonical form of an action contains no names of types or fields: it consists of the action type as a number and its
fields in order. Objects are replaced by the number of their first appearance and enum members by their value; numbers
have twelve significant digits, as the last bits of `exp` may differ between machines.
"""

from __future__ import annotations

import hashlib
import random
import zlib
from collections.abc import Callable
from dataclasses import dataclass, fields, replace
from enum import Enum
from math import inf
from typing import Any

from ternlane.policy import messages
from ternlane.policy.messages import AttemptOutcome, Effect, EndpointStatus, Group, RequestClass, Role, Server, Tenant
from ternlane.policy.router import Router
from tests import fleet
from tests.conftest import ROUTER_CONFIG

# The number of an action type in the canonical form is its index. The recorded digests depend on the order.
ACTION_KINDS = (
    messages.StartAttempt,
    messages.CancelAttempt,
    messages.Reject,
    messages.Fail,
    messages.Release,
    messages.Reserve,
    messages.Probe,
    messages.WatchEndpoints,
    messages.StartTimer,
    messages.Log,
)


class Recorder:
    """Wraps a Router and computes a digest of all its actions."""

    def __init__(self, router: Router) -> None:
        self.router = router
        self.hash = hashlib.sha256()
        self.numbers: dict[Any, int] = {}
        self.count = 0

    def take(self, now: float, events: list[Any]) -> list[Any]:
        actions = self.router.take(now, events)
        self.hash.update(f"@{now:.12g}\n".encode())
        for action in actions:
            self.hash.update((self.canonical_form(action) + "\n").encode())
        self.count += len(actions)
        return actions

    def canonical_form(self, action: Any) -> str:
        values = [self.canonical_value(getattr(action, field.name)) for field in fields(action)]
        return " ".join([str(ACTION_KINDS.index(type(action))), *values])

    def canonical_value(self, value: Any) -> str:
        if isinstance(value, messages.TimerKind):
            return str(value is messages.TimerKind.TICK)  # the recorded digests contain a boolean
        if isinstance(value, Enum):
            return f"e{value.value}"
        if isinstance(value, (bool, str)) or value is None:
            return str(value)
        if isinstance(value, (int, float)):
            return f"{value:.12g}"
        return f"#{self.numbers.setdefault(value, len(self.numbers))}"


def digest_of(recorders: list[Recorder]) -> str:
    """A digest of the actions of several routers, followed by the number of actions."""
    total = hashlib.sha256()
    for recorder in recorders:
        total.update(recorder.hash.digest())
    return f"{total.hexdigest()[:32]} {sum(recorder.count for recorder in recorders)}"


def simulation_digest(scenario: fleet.Scenario, *faults: fleet.Fault) -> str:
    """The digest of the actions of all gateways in a simulation."""
    recorders: list[Recorder] = []

    class RecordedSimulation(fleet.FleetSimulation):
        def make_router(self, gateway: Any) -> Any:
            recorders.append(Recorder(super().make_router(gateway)))
            return recorders[-1]

    RecordedSimulation(scenario, "router", faults).run()
    return digest_of(recorders)


@dataclass
class Pending:
    """An attempt in flight."""

    streaming: bool = False


class RandomHost:
    """Delivers a seeded random stream of all event types to one router, and responds to its actions at random."""

    def __init__(self, seed: int, **router_config: Any) -> None:
        self.rng = random.Random(seed)
        self.request_classes = tuple(self.request_class() for _ in range(4))
        self.router_config = replace(ROUTER_CONFIG, seed=seed, request_classes=self.request_classes, **router_config)
        self.recorder = Recorder(Router(self.router_config))
        self.tenants = [Tenant(), Tenant(), None]
        self.servers = [self.server(number) for number in range(self.rng.randint(4, 14))]
        self.now = 1000.0
        self.event_queue: list[tuple[float, int, Callable[[], list[Any]]]] = []
        self.sequence = 0
        self.open_requests: dict[Any, Any] = {}  # requests without a final answer
        self.in_flight: dict[Any, tuple[Any, Server, Pending]] = {}  # the attempt in flight of each request
        self.deliver(messages.EndpointsUpdated(tuple(self.servers)))

    # -- objects

    def request_class(self) -> RequestClass:
        rng = self.rng
        return RequestClass(
            rng.choice(list(Effect)),
            rng.choice(list(Group)),
            rng.uniform(200.0, 5000.0),
            rng.uniform(500.0, 2500.0),
            rng.choice([0.0, 40.0]),
            rng.choice([0.0, 70.0]),
            rng.uniform(2000.0, 12000.0),
            rng.uniform(1.0, 4.0),
            rng.choice([0.0, 0.2, 0.6]),
        )

    def server(self, number: int) -> Server:
        roles = list(Role) if self.router_config.decode_servers_prefill else [Role.PREFILL, Role.DECODE]
        role = roles[number % len(roles)]
        hash_key = zlib.crc32(b"server %d" % number)
        return Server(f"zone-{number % 3}", number // 2, role, self.rng.uniform(5e3, 2e5), hash_key=hash_key)

    def request(self) -> Any:
        rng, request_class = self.rng, self.rng.choice(self.request_classes)
        prompt = 2000.0 * rng.lognormvariate(-0.2, 0.8)
        return messages.Request(
            request_class,
            rng.choice([None, *(f"s{n}" for n in range(12))]),
            rng.choice([None, *(f"o{n}" for n in range(4))]),
            prompt * rng.uniform(0.0, 0.9),
            prompt,
            rng.uniform(20.0, 900.0),
            request_class.deadline_ms * rng.uniform(0.2, 1.0),
            rng.random() < 0.1,
            tenant=rng.choice(self.tenants),
        )

    # -- event loop

    def schedule_after(self, ms: float, call: Callable[[], list[Any]]) -> None:
        self.schedule_at(self.now + ms, call)

    def schedule_at(self, when: float, call: Callable[[], list[Any]]) -> None:
        self.sequence += 1
        self.event_queue.append((when, self.sequence, call))

    def deliver(self, *events: Any) -> None:
        for action in self.recorder.take(self.now, list(events)):
            self.execute(action)

    def run(self, duration_s: float) -> str:
        end = self.now + duration_s * 1000
        self.arrive()
        self.change_environment()
        while self.event_queue:
            entry = min(self.event_queue, key=lambda due: due[:2])
            if entry[0] >= end:
                break
            self.event_queue.remove(entry)
            self.now = max(self.now, entry[0])
            events = entry[2]()
            if events:
                self.deliver(*events)
        return digest_of([self.recorder])

    # -- actions

    def execute(self, action: Any) -> None:
        match action:
            case messages.StartTimer(at, timer):
                self.schedule_at(at, lambda: [messages.TimerFired(timer)])
            case messages.StartAttempt(request, server):
                self.start_attempt(request, server, action)
            case messages.CancelAttempt(request):
                self.schedule_after(
                    self.rng.uniform(0.0, 3.0), lambda: self.end_attempt(request, AttemptOutcome.CANCELLED)
                )
            case messages.Reject(request) | messages.Fail(request):
                self.open_requests.pop(request, None)
            case messages.Release(request):
                if self.rng.random() < 0.7:
                    self.schedule_after(self.rng.uniform(1.0, 300.0), lambda: [messages.ReleaseConfirmed(request)])
            case messages.Reserve(request):
                held = self.rng.random() < 0.5
                self.schedule_after(self.rng.uniform(1.0, 50.0), lambda: [messages.ReservationResult(request, held)])
            case messages.Probe(server):
                self.schedule_after(self.rng.uniform(1.0, 80.0), lambda: [self.probe_result(server)])
            case messages.WatchEndpoints():
                if self.rng.random() < 0.3:
                    self.schedule_after(self.rng.uniform(1.0, 500.0), lambda: [messages.EndpointListFailed()])

    def probe_result(self, server: Server) -> Any:
        outcome = self.rng.choice([AttemptOutcome.STREAMED, AttemptOutcome.TIMED_OUT])
        return messages.ProbeResult(server, outcome, self.report() if outcome is AttemptOutcome.STREAMED else None)

    def report(self) -> Any:
        if self.rng.random() < 0.3:
            return None
        return messages.Report(
            self.rng.choice([None, float(self.rng.randint(0, 60))]), self.rng.choice([None, self.rng.random()])
        )

    def start_attempt(self, request: Any, server: Server, times: Any) -> None:
        rng = self.rng
        pending = Pending()
        self.in_flight[request] = times, server, pending
        took_ms = rng.expovariate(1 / (150.0 + 30.0 * (server.hash_key % 5)))
        if took_ms >= times.timeout_ms:
            self.schedule_after(times.timeout_ms, lambda: self.end_attempt(request, AttemptOutcome.TIMED_OUT, times))
            return
        outcome = self.outcome(server)
        if outcome is AttemptOutcome.STREAMED:
            self.schedule_after(took_ms, lambda: self.first_token(request, server, took_ms, times))
            finish_ms = took_ms + rng.expovariate(1 / 800.0)
            final_outcome = AttemptOutcome.RESET if rng.random() < 0.08 else AttemptOutcome.STREAMED
            self.schedule_after(finish_ms, lambda: self.end_attempt(request, final_outcome, times))
        else:
            self.schedule_after(took_ms, lambda: self.end_attempt(request, outcome, times))

    def outcome(self, server: Server) -> AttemptOutcome:
        fault_share = 0.6 if server.hash_key % 7 == 0 else 0.12
        if self.rng.random() < fault_share:
            return self.rng.choice(
                [
                    AttemptOutcome.ERROR,
                    AttemptOutcome.OVERLOADED,
                    AttemptOutcome.CONNECT_FAILED,
                    AttemptOutcome.RESET,
                    AttemptOutcome.NOT_STARTED,
                    AttemptOutcome.TIMED_OUT,
                ]
            )
        return AttemptOutcome.PREFILLED if server.role is Role.PREFILL else AttemptOutcome.STREAMED

    def first_token(self, request: Any, server: Server, took_ms: float, times: Any) -> list[Any]:
        if self.in_flight.get(request, (None,))[0] is not times:
            return []
        self.in_flight[request][2].streaming = True
        return [messages.FirstToken(request, server, took_ms)]

    def end_attempt(self, request: Any, outcome: AttemptOutcome, times: Any = None) -> list[Any]:
        entry = self.in_flight.get(request)
        if entry is None or (times is not None and entry[0] is not times):
            return []
        if outcome is AttemptOutcome.CANCELLED and entry[2].streaming:
            return []
        del self.in_flight[request]
        is_over = request not in self.open_requests
        over = outcome is AttemptOutcome.STREAMED or is_over
        broken = entry[2].streaming and not over
        if over:
            self.open_requests.pop(request, None)
        cached_tokens = request.prompt_tokens * self.rng.random() if outcome is AttemptOutcome.PREFILLED else 0.0
        state_lost = entry[1].role is not Role.PREFILL and outcome is AttemptOutcome.ERROR and self.rng.random() < 0.5
        took_ms = self.rng.uniform(1.0, 900.0)
        ended = messages.AttemptEnded(
            request, entry[1], outcome, took_ms, over, cached_tokens, state_lost, self.report(), broken
        )
        if broken:
            self.schedule_after(self.rng.uniform(5.0, 200.0), lambda: self.resume_stream(request))
        return [ended]

    def resume_stream(self, request: Any) -> list[Any]:
        if request not in self.open_requests:
            return []
        request.prompt_tokens += self.rng.uniform(1.0, 100.0)
        return [messages.ResumeStream(request)]

    # -- spontaneous events

    def arrive(self) -> list[Any]:
        self.schedule_after(self.rng.expovariate(1 / 25.0), self.arrive)
        request = self.request()
        self.open_requests[request] = None
        if self.rng.random() < 0.08:
            self.schedule_after(self.rng.uniform(0.0, 900.0), lambda: self.disconnect(request))
        return [messages.RequestArrived(request)]

    def disconnect(self, request: Any) -> list[Any]:
        if request not in self.open_requests or (request in self.in_flight and self.in_flight[request][2].streaming):
            return []
        del self.open_requests[request]
        return [messages.ClientDisconnected(request)]

    def change_environment(self) -> list[Any]:
        """A change of the endpoint list or the configuration."""
        self.schedule_after(self.rng.expovariate(1 / 400.0), self.change_environment)
        draw = self.rng.random()
        if draw < 0.08:
            return self.reload()
        if draw < 0.15:
            return [messages.EndpointListFailed()]
        if draw < 0.35:
            return self.replace_server()
        server = self.rng.choice(self.servers)
        server.status = self.rng.choice(
            [EndpointStatus.READY, EndpointStatus.READY, EndpointStatus.READY, EndpointStatus.DRAINING]
        )
        if self.rng.random() < 0.3:
            server.started_ms = self.now
        return [messages.EndpointsUpdated((server,))]

    def replace_server(self) -> list[Any]:
        number = len(self.servers)
        old = self.rng.choice(self.servers)
        old.status = EndpointStatus.REMOVED
        new = self.server(number)
        new.started_ms = self.now
        self.servers.append(new)
        return [messages.EndpointsUpdated((old, new))]

    def reload(self) -> list[Any]:
        kept_classes = self.rng.sample(self.request_classes, 3)
        self.request_classes = (*kept_classes, self.request_class())
        self.router_config = replace(
            self.router_config,
            request_classes=self.request_classes,
            max_attempts=self.rng.randint(2, 6),
            release_ms=self.rng.choice([300.0, 500.0, 900.0]),
            slow_start_ms=self.rng.choice([4e3, 10e3]),
        )
        return [messages.ConfigChanged(self.router_config)]


def schedule_shutdown(host: RandomHost, ms: float, grace_ms: float) -> None:
    """Schedules a shutdown that is reported twice, as a process may get two signals."""
    times = messages.ShutdownTimes(grace_ms, grace_ms + 1500.0, grace_ms + 2500.0)
    host.schedule_after(ms, lambda: [messages.ShutdownStarted(times)])
    host.schedule_after(ms + 100.0, lambda: [messages.ShutdownStarted(replace(times, ends_ms=inf))])


def stream_digest(seed: int, shutdown_ms: float | None = None, **router_config: Any) -> str:
    """The digest of the actions on a random stream of events."""
    host = RandomHost(seed, **router_config)
    if shutdown_ms is not None:
        schedule_shutdown(host, shutdown_ms, grace_ms=300.0)
    return host.run(duration_s=20.0)
