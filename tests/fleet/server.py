"""Emulated model servers: prefill in order of arrival, decode within limits of slots and memory, and faults."""

from __future__ import annotations

from collections import defaultdict, deque
from math import inf
from typing import TYPE_CHECKING

from ternlane.policy.messages import AttemptOutcome, Report, Role
from tests.fleet.scenario import ClientRequest, Job

if TYPE_CHECKING:
    from tests.fleet.gateway import Gateway
    from tests.fleet.simulation import FleetSimulation

CELL_SIZE = 6
TRANSFER_TOKENS_PER_MS = 250.0
FIRST_TOKEN_MS = 25.0
TOKEN_MS = 20.0
CONNECT_MS = 250.0
CONFIRM_MS = 2.0


# Parts of the servers' names, from which hash keys are computed. The recorded digests depend on them.
SEED_WORDS = {Role.PREFILL: "READ", Role.DECODE: "WRITE", Role.BOTH: "BOTH"}


class ModelServer:
    """The true state of a model server, which the gateways know only in part."""

    def __init__(self, simulation: FleetSimulation, number: int, role: Role) -> None:
        self.simulation, self.number, self.role = simulation, number, role
        self.cell = number // CELL_SIZE
        self.zone = f"zone-{self.cell % simulation.scenario.zones}"
        self.name = f"{SEED_WORDS[role]}-{number}"
        self.up, self.silent, self.hung, self.error_rate, self.reset_rate = True, False, False, 0.0, 0.0
        self.draining = False
        self.slowdown = 1.0
        self.started = -inf
        self.queue: deque[Job] = deque()
        self.running: list[Job] = []
        self.memory = 0.0
        self.cached: set[str] = set()
        self.connected: defaultdict[Gateway, int] = defaultdict(int)

    def speed(self) -> float:
        scenario = self.simulation.scenario
        age = (self.simulation.now - self.started) / scenario.slow_start_ms
        return min(1.0, scenario.slow_start_share + (1 - scenario.slow_start_share) * age)

    # -- for the baseline

    def backlog_ms(self) -> float:
        return (
            (sum(j.prefill_ms for j in self.queue) + sum(j.prefill_ms for j in self.running))
            * self.slowdown
            / self.speed()
        )

    def utilization(self) -> float:
        scenario = self.simulation.scenario
        queued_tokens = sum(j.client_request.prompt + j.client_request.answer for j in self.queue)
        return max(
            (self.memory + queued_tokens) / scenario.decode_memory,
            (len(self.running) + len(self.queue)) / scenario.decode_slots,
        )

    def uncached_tokens(self, client_request: ClientRequest) -> float:
        """The prompt tokens that are not cached at this server."""
        cached = {client_request.session, client_request.prefix} & self.cached
        return client_request.prompt * ((1 - self.simulation.scenario.cached_share) if cached else 1.0)

    def healthy(self) -> bool:
        return (
            self.up
            and not (self.draining or self.silent or self.hung or self.error_rate or self.reset_rate)
            and self.slowdown < 3
        )

    def report(self) -> Report:
        """The load report of the server."""
        held = len(self.running) + len(self.queue)
        share = self.memory / self.simulation.scenario.decode_memory if self.role is Role.DECODE else 0.0
        return Report(open_requests=float(held), memory_share=share)

    # -- attempts

    def accept(self, job: Job) -> None:
        simulation, scenario = self.simulation, self.simulation.scenario
        if not self.up:
            return simulation.schedule_after(1.0, lambda: job.gateway.end_attempt(job, AttemptOutcome.CONNECT_FAILED))
        if simulation.is_partitioned(job.gateway, self) or self.silent:
            has_connection = self.connected[job.gateway] > 0
            if has_connection:
                return  # the connection is open, but silent
            return simulation.schedule_after(
                CONNECT_MS, lambda: job.gateway.end_attempt(job, AttemptOutcome.CONNECT_FAILED)
            )
        if simulation.rng.random() < self.reset_rate:
            return simulation.schedule_after(5.0, lambda: job.gateway.end_attempt(job, AttemptOutcome.RESET))
        self.connected[job.gateway] += 1
        if simulation.rng.random() < self.error_rate:
            return simulation.schedule_after(8.0, lambda: job.gateway.end_attempt(job, AttemptOutcome.ERROR))
        limit = scenario.prefill_queue if self.role is Role.PREFILL else scenario.decode_queue
        if len(self.queue) >= limit:
            return simulation.schedule_after(
                CONFIRM_MS, lambda: job.gateway.end_attempt(job, AttemptOutcome.OVERLOADED)
            )
        job.prefill_ms = (
            self.uncached_tokens(job.client_request) / scenario.prefill_tokens_per_ms
            if self.role is Role.PREFILL
            else 0.0
        )
        self.queue.append(job)
        self.start_next()

    def start_next(self) -> None:
        while self.queue and not self.hung and self.up:
            if self.role is Role.PREFILL:
                if self.running:
                    return
                job = self.queue.popleft()
                self.running.append(job)
                took_ms = (job.prefill_ms + 4.0) * self.slowdown / self.speed()
                self.simulation.schedule_after(took_ms, lambda job=job: self.finish_prefill(job))
            else:
                job = self.queue[0]
                needed_tokens = job.client_request.prompt + job.client_request.answer
                if len(self.running) >= self.simulation.scenario.decode_slots * self.speed():
                    return
                if self.running and self.memory + needed_tokens > self.simulation.scenario.decode_memory:
                    return
                self.queue.popleft()
                self.running.append(job)
                self.memory += needed_tokens
                took_ms = (
                    (FIRST_TOKEN_MS + job.client_request.prompt / TRANSFER_TOKENS_PER_MS) * self.slowdown / self.speed()
                )
                self.simulation.schedule_after(took_ms, lambda job=job: self.send_first_token(job))

    def finish_prefill(self, job: Job) -> None:
        if job not in self.running or self.hung:
            return
        self.running.remove(job)
        self.cached |= {job.client_request.session, job.client_request.prefix}
        if not self.silent and not self.simulation.is_partitioned(job.gateway, self):
            job.gateway.end_attempt(job, AttemptOutcome.PREFILLED)
        self.start_next()

    def send_first_token(self, job: Job) -> None:
        if job not in self.running or self.hung:
            return
        if not self.silent and not self.simulation.is_partitioned(job.gateway, self):
            job.gateway.first_token(job)
        contention = 1 + len(self.running) / self.simulation.scenario.decode_slots
        took_ms = job.client_request.answer * TOKEN_MS * contention * self.slowdown / self.speed()
        self.simulation.schedule_after(took_ms, lambda: self.finish_decode(job))

    def finish_decode(self, job: Job) -> None:
        if job not in self.running or self.hung:
            return
        self.remove(job)
        if not self.silent and not self.simulation.is_partitioned(job.gateway, self):
            job.gateway.end_attempt(job, AttemptOutcome.STREAMED)

    def remove(self, job: Job) -> None:
        """Removes an attempt that was cancelled or has ended."""
        if job in self.running:
            self.running.remove(job)
            if self.role is not Role.PREFILL:
                self.memory -= job.client_request.prompt + job.client_request.answer
            self.start_next()
        elif job in self.queue:
            self.queue.remove(job)

    # -- faults

    def crash(self) -> None:
        lost = [*self.running, *self.queue]
        self.running.clear()
        self.queue.clear()
        self.up, self.memory = False, 0.0
        self.cached.clear()
        self.connected.clear()
        for job in lost:
            job.gateway.end_attempt(job, AttemptOutcome.RESET)

    def start(self) -> None:
        self.up, self.hung, self.silent, self.started = True, False, False, self.simulation.now
        self.simulation.publish(self)

    def resume(self) -> None:
        """Ends a hang. Interrupted attempts start again."""
        self.hung = False
        interrupted, self.running, self.memory = [*self.running], [], 0.0
        self.queue.extendleft(reversed([j for j in interrupted if not j.ended]))
        self.start_next()


def spread_cells(models: list[ModelServer]) -> None:
    """Gives each cell about the same mix of roles."""
    by_role: defaultdict[Role, int] = defaultdict(int)
    cells = max(1, len(models) // CELL_SIZE)
    for model in models:
        model.cell = by_role[model.role] % cells
        model.zone = f"zone-{model.cell % model.simulation.scenario.zones}"
        by_role[model.role] += 1
