"""Fake clients: an open-loop load of conversations with retries. All requests and answers are logged."""

from __future__ import annotations

import random
from collections.abc import Callable

import trio

from ternlane.http1 import ConnectionPool
from ternlane.testing.client_attempt import AttemptPlan, ClientAttempt
from ternlane.testing.client_sessions import SessionSource, draw_uniform, random_text
from ternlane.testing.client_workload import (
    ClientBehaviour,
    ClientOutcome,
    ClientResult,
    ClientWorkload,
    Session,
    Tenant,
    TrafficConditions,
)
from ternlane.testing.traffic import TrafficLog, clock_ms

__all__ = ["ClientBehaviour", "ClientWorkload", "FakeClients", "Tenant", "TrafficConditions"]

CONNECT_TIMEOUT_MS = 1000.0
CONNECTION_IDLE_MS = 1000.0
# A retry is not sent if less than this is left until the deadline.
MIN_TIME_FOR_RETRY_MS = 50.0
MIN_SESSIONS_PER_S = 1e-3  # avoids division by zero
MAX_REASON_CHARACTERS = 60


class FakeClients:
    """The clients of one gateway or front layer."""

    def __init__(
        self,
        name: str,
        address: str,
        workloads: list[ClientWorkload],
        behaviour: ClientBehaviour,
        traffic: TrafficLog,
        seed: int,
        source: str | None = None,
    ) -> None:
        """`name`: prefix of the ids of all requests; `source`: local IP address of the connections."""
        self.address = address
        self.workloads = workloads
        self.behaviour = behaviour
        self.traffic = traffic
        self.conditions = TrafficConditions()
        self.open = 0  # unfinished requests; one with retries counts once
        self.outcomes: dict[str, int] = {}  # requests by their final outcome
        self._rng = random.Random(seed)
        self._pool = ConnectionPool(CONNECT_TIMEOUT_MS, CONNECTION_IDLE_MS, source)
        self._sessions = SessionSource(name, workloads, self.conditions, self._rng)

    def set_tenants(self, tenants: list[Tenant]) -> None:
        """Assigns all following sessions to these tenants, which are in descending order of their traffic."""
        self._sessions.tenants = tenants

    async def run(self, rate: Callable[[float], float], length_ms: float, nursery: trio.Nursery) -> None:
        """Starts sessions so that `rate(ms since start)` requests arrive per second, however long answers take."""
        shares = sum(workload.share for workload in self.workloads)
        turns = sum(w.share * max(1.0, sum(w.turns) / 2) for w in self.workloads) / shares
        begin_s = trio.current_time()
        due_s = begin_s
        while (due_s - begin_s) * 1000 < length_ms:
            sessions_per_s = rate((due_s - begin_s) * 1000) * self.conditions.rate / turns
            due_s += self._rng.expovariate(max(MIN_SESSIONS_PER_S, sessions_per_s))
            await trio.sleep_until(due_s)
            nursery.start_soon(self._run_session, self._sessions.next())

    async def _run_session(self, session: Session) -> None:
        while session.turns_left > 0:
            session.turns_left -= 1
            session.turn += 1
            result = await self._request(session)
            if result.outcome is not ClientOutcome.STREAMED or not session.turns_left:
                return
            session.messages.append({"role": "assistant", "content": result.text})
            await trio.sleep(self._rng.expovariate(1 / session.workload.think_ms) / 1000)

    async def _request(self, session: Session) -> ClientResult:
        """Sends one request, with the client's retries."""
        session.messages.append({"role": "user", "content": random_text(self._rng, self._turn_tokens(session))})
        task = f"{session.ident}.{session.turn}"
        self.open += 1
        result, attempts = await self._attempts(session, task)
        self.open -= 1
        outcome = str(result.outcome)
        self.outcomes[outcome] = self.outcomes.get(outcome, 0) + 1
        self.traffic.line(
            "task",
            task=session.qualified(task),
            product=session.workload.request_class,
            tenant=session.tenant.name if session.tenant is not None else "",
            outcome=outcome,
            tries=attempts,
            why=result.reason[:MAX_REASON_CHARACTERS],
        )
        return result

    def _turn_tokens(self, session: Session) -> float:
        conditions = self.conditions
        tokens = draw_uniform(self._rng, session.workload.adds)
        is_affected = conditions.long_prompt_class in ("", session.workload.request_class)
        if conditions.long_prompt_share and is_affected and self._rng.random() < conditions.long_prompt_share:
            tokens *= conditions.long_prompt_factor
        return tokens

    async def _attempts(self, session: Session, task: str) -> tuple[ClientResult, int]:
        """Returns the last attempt's result and the number of attempts."""
        deadline_ms = session.workload.deadline_ms
        begin_ms = clock_ms()
        attempts = 0
        while True:
            plan = self._plan(session, task, attempts, begin_ms + deadline_ms - clock_ms())
            result = await ClientAttempt(self._pool, self.traffic, session, plan).run(self.address)
            attempts += 1
            pause_ms = self._pause_ms(result)
            too_late = clock_ms() + pause_ms > begin_ms + deadline_ms - MIN_TIME_FOR_RETRY_MS
            if attempts > self.behaviour.retries or too_late or not _may_retry(session.workload, result):
                return result, attempts
            await trio.sleep(pause_ms / 1000)

    def _plan(self, session: Session, task: str, number: int, left_ms: float) -> AttemptPlan:
        """Draws an attempt. `left_ms`: time left until the request's deadline."""
        workload = session.workload
        attempt_ms = workload.deadline_ms * draw_uniform(self._rng, self.behaviour.try_timeout_share)
        stream = self._rng.random() >= workload.unstreamed_share
        plan = AttemptPlan(task, number, min(attempt_ms, left_ms), stream)
        if self._rng.random() < self.behaviour.leave_share:
            plan.disconnect_after_ms = draw_uniform(self._rng, self.behaviour.leave_ms)
        return plan

    def _pause_ms(self, result: ClientResult) -> float:
        """The time to wait before the next attempt."""
        if result.retry_after_ms is not None and self._rng.random() < self.behaviour.retry_after_share:
            return result.retry_after_ms
        return draw_uniform(self._rng, self.behaviour.backoff_ms)


def _may_retry(workload: ClientWorkload, result: ClientResult) -> bool:
    """Clients repeat idempotent requests, and others that are known not to have run."""
    if result.outcome in (ClientOutcome.STREAMED, ClientOutcome.LEFT):
        return False
    if workload.effect == "idempotent":
        return True
    return result.outcome in (ClientOutcome.REJECTED, ClientOutcome.UNREACHABLE)
