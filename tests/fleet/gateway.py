"""A gateway in the simulation."""

from __future__ import annotations

import zlib
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from math import inf
from typing import TYPE_CHECKING, Any

from ternlane import event_loop
from ternlane.policy import messages
from ternlane.policy.messages import AttemptOutcome, Effect, EndpointStatus, Request, Role, Server
from tests.fleet.scenario import ClientRequest, Job
from tests.fleet.server import ModelServer

PROBE_MS = 2.0

if TYPE_CHECKING:
    from tests.fleet.simulation import FleetSimulation


class Gateway(event_loop.EventLoop[Any]):
    """The event loop of one gateway, on the virtual clock."""

    def __init__(self, simulation: FleetSimulation, number: int) -> None:
        self.simulation, self.number = simulation, number
        self.zone = f"zone-{number % simulation.scenario.zones}"
        self.alive = True
        self.incarnation = 0
        self.start()

    def start(self) -> None:
        """Starts a new process of the gateway with the current endpoint list."""
        simulation = self.simulation
        self.incarnation += 1
        super().__init__(simulation.make_router(self))
        self.requests: dict[Request, ClientRequest] = {}
        self.jobs: dict[Request, Job] = {}
        self.models_by_server: dict[Server, ModelServer] = {}
        self.servers_by_model: dict[ModelServer, Server] = {}
        for model in simulation.models:
            if model.up:
                self.server_for(model)
        self.dispatch(messages.EndpointsUpdated(tuple(self.models_by_server)))

    def server_for(self, model: ModelServer) -> Server:
        server = self.servers_by_model.get(model)
        if server is None:
            memory = self.simulation.scenario.decode_memory if model.role is Role.DECODE else 250e3
            server = Server(model.zone, model.cell, model.role, memory, hash_key=zlib.crc32(model.name.encode()))
            self.servers_by_model[model], self.models_by_server[server] = server, model
        server.started_ms = max(0.0, model.started)
        server.status = EndpointStatus.DRAINING if model.draining else EndpointStatus.READY
        return server

    def endpoint_changed(self, model: ModelServer) -> None:
        """Handles a change from discovery."""
        if self.alive:
            self.dispatch(messages.EndpointsUpdated((self.server_for(model),)))

    def kill(self) -> None:
        self.alive = False
        jobs, self.jobs = list(self.jobs.values()), {}
        for job in jobs:
            job.ended = True
            self.models_by_server[job.server].remove(job)
        for client_request in list(self.requests.values()):
            if client_request.first_token < inf:
                client_request.broken = True
            else:
                self.simulation.retry(client_request, "killed")
        self.requests.clear()
        self.active_requests.clear()

    # -- event loop

    def call_at(self, when_ms: float, call: Callable[[], None]) -> None:
        incarnation = self.incarnation

        def fire() -> None:
            if self.alive and incarnation == self.incarnation:
                call()
                if self.pending_events and not self.processing:
                    self.process_events()

        self.simulation.schedule_at(when_ms, fire)

    def arrive(self, client_request: ClientRequest) -> None:
        remaining_ms = client_request.arrived_at + client_request.timeout_ms - self.simulation.now
        request = Request(
            client_request.request_class,
            client_request.session,
            client_request.prefix,
            client_request.prompt * 0.5,
            client_request.prompt,
            4 * client_request.answer,
            remaining_ms,
            tenant=client_request.tenant,
        )
        self.requests[request] = client_request
        self.active_requests[request] = ActiveRequest(request)
        self.dispatch(messages.RequestArrived(request))
        if client_request.abandon_after_ms < inf:
            self.call_at(self.simulation.now + client_request.abandon_after_ms, lambda: self.disconnect(request))

    def disconnect(self, request: Request) -> None:
        """The client closes the connection, unless its answer has started."""
        client_request = self.requests.get(request)
        if client_request is None or client_request.first_token < inf:
            return
        client_request.abandoned = True
        del self.requests[request]
        self.dispatch(messages.ClientDisconnected(request))
        if request not in self.jobs:
            self.active_requests.pop(request, None)

    def start_attempt(self, active_request: Any, server: Server, times: messages.StartAttempt) -> None:
        request, now, incarnation = times.request, self.simulation.now, self.incarnation
        job = Job(self, request, server, self.requests[request], now, now + times.timeout_ms)
        self.jobs[request] = job
        active_request.attempt = Attempt(self, job)
        self.simulation.attempts_sent.append((now, self.models_by_server[server]))
        self.models_by_server[server].accept(job)

        def timeout() -> None:
            if self.alive and incarnation == self.incarnation and not job.streaming:
                self.end_attempt(job, AttemptOutcome.TIMED_OUT)

        self.simulation.schedule_at(job.timeout_at, timeout)

    def end_attempt(self, job: Job, outcome: AttemptOutcome) -> None:
        if job.ended or not self.alive:
            return
        job.ended = True
        model = self.models_by_server[job.server]
        model.remove(job)
        self.jobs.pop(job.request, None)
        active_request = self.active_requests.get(job.request)
        if active_request is not None:
            active_request.attempt = None
        client_request = self.requests.get(job.request)
        over = outcome is AttemptOutcome.STREAMED or job.streaming or client_request is None
        if over and outcome is not AttemptOutcome.STREAMED and client_request is not None and job.streaming:
            client_request.broken = True
        if over:
            self.requests.pop(job.request, None)
        self.simulation.attempt_outcomes[model.role, outcome] += 1
        took_ms = self.simulation.now - job.started_at
        kept_tokens = 0.0
        if outcome is AttemptOutcome.PREFILLED:
            kept_tokens = job.client_request.prompt - job.prefill_ms * self.simulation.scenario.prefill_tokens_per_ms
        self.dispatch(messages.AttemptEnded(job.request, job.server, outcome, took_ms, over, kept_tokens))
        if job.request not in self.requests:
            self.active_requests.pop(job.request, None)

    def first_token(self, job: Job) -> None:
        if job.ended or job.request not in self.requests:
            return
        job.streaming = True
        job.client_request.first_token = self.simulation.now
        self.active_requests[job.request].streaming = True
        self.dispatch(messages.FirstToken(job.request, job.server, self.simulation.now - job.started_at))

    def finish_request(self, active_request: Any, final: event_loop.Rejected | event_loop.Failed) -> None:
        client_request = self.requests.pop(active_request.request, None)
        if client_request is None:
            return
        if isinstance(final, event_loop.Rejected):
            self.simulation.retry(client_request, "rejected", final.pause_ms)
        elif client_request.request_class.effect is Effect.IDEMPOTENT:
            self.simulation.retry(client_request, "failed")
        else:
            client_request.outcomes.append("failed")

    def execute_host_action(self, action: messages.Action) -> None:
        if isinstance(action, messages.Probe):
            self.probe(action.server)

    def probe(self, server: Server) -> None:
        """Probes a model server for its load. A server that is down, silent or unreachable gives no report."""
        model = self.models_by_server[server]
        self.simulation.probes += 1
        if model.up and not model.silent and not model.hung and not self.simulation.is_partitioned(self, model):
            self.call_at(
                self.simulation.now + PROBE_MS,
                lambda: self.dispatch(messages.ProbeResult(server, AttemptOutcome.STREAMED, model.report())),
            )

    def on_timers_fired(self) -> None:
        pass


@dataclass(eq=False)
class ActiveRequest:
    request: Request
    attempt: Any = None
    streaming: bool = False
    why: str = ""
    attempt_log: list[str] = field(default_factory=list)


@dataclass
class Attempt:
    gateway: Gateway
    job: Job

    def cancel(self) -> None:
        self.gateway.simulation.schedule_after(
            0.0, lambda: self.gateway.end_attempt(self.job, AttemptOutcome.CANCELLED)
        )


@contextmanager
def virtual_clock(now: Callable[[], float]) -> Iterator[None]:
    """Replaces `event_loop.now_ms`, from which the event loop takes the time."""
    original = event_loop.now_ms
    event_loop.now_ms = now
    try:
        yield
    finally:
        event_loop.now_ms = original
