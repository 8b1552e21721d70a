"""The resources of a fake engine: speed, slots, memory, and the states that it holds."""

from __future__ import annotations

import random
import zlib
from collections import OrderedDict, deque
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

import trio

from ternlane.emulator import LoadReport
from ternlane.http1 import ConnectionPool
from ternlane.testing.engine_profile import PREFILL_ROLE, EngineFault, EngineProfile
from ternlane.testing.prefix_cache import PrefixCache, PrefixLookup
from ternlane.testing.traffic import TrafficLog, clock_ms

STATE_LEASE_MS = 30e3  # a state that no decode server has fetched is dropped after this time
PREFIX_CACHE_SHARE = 0.5  # of the memory; the rest is for running attempts
WORK_STEP_MS = 50.0  # interval at which running work applies a changed speed
STOPPED_POLL_MS = 20.0  # interval at which stopped work checks the speed
MAX_IDEMPOTENCY_KEYS = 10_000  # remembered for deduplication; the oldest are dropped
CONNECT_TIMEOUT_MS = 500.0
CONNECTION_IDLE_MS = 20e3


class AttemptRefusedError(Exception):
    """The engine refuses an attempt: nothing has run."""

    def __init__(self, status: int, reason: str) -> None:
        """`status`: of the HTTP answer. `reason`: the value of its `x-ternlane-not-run` header."""
        super().__init__(reason)
        self.status = status
        self.reason = reason


@dataclass(frozen=True)
class HeldState:
    """A prefilled state, or memory reserved for one."""

    tokens: float
    since_ms: float


class EngineCore:
    """An engine process. All times are in milliseconds of the machine's clock."""

    def __init__(
        self,
        ident: str,
        role: str,
        zone: str,
        cell: int,
        host: str,
        port: int,
        profile: EngineProfile,
        traffic: TrafficLog,
        seed: int,
        source: str | None = None,
    ) -> None:
        """`port`: 0 for a free one. `source`: local IP address of its own connections."""
        self.ident = ident
        self.role = role
        self.zone = zone
        self.cell = cell
        self.host = host
        self.port = port
        self.profile = profile
        self.traffic = traffic
        self.rng = random.Random(zlib.crc32(f"{seed} {ident}".encode()))
        self.fault = EngineFault()
        self.pool = ConnectionPool(CONNECT_TIMEOUT_MS, CONNECTION_IDLE_MS, source)
        self.draining = False
        self.started_ms = 0.0  # 0: long ago, so that it is warm
        self.process = trio.CancelScope()
        self._speed_changed = trio.Event()
        self.reset()

    def reset(self) -> None:
        """Sets the state of a process that has just started: nothing runs and nothing is held."""
        self.prefix_cache = PrefixCache()
        self.states: dict[str, HeldState] = {}  # held states and reservations, by request id
        self.busy = 0  # number of slots in use
        self.used_tokens = 0.0
        self.overloaded = False
        self._queue: deque[trio.Event] = deque()
        self._arrived_work: deque[tuple[float, float]] = deque()  # (time of arrival, ms of work)
        self._effects_ms: OrderedDict[str, float] = OrderedDict()  # time of the last effect by idempotency key

    def die(self) -> None:
        """Terminates the process; its state is lost."""
        self.process.cancel()

    # Speed

    def warmth(self) -> float:
        """The share of full speed that slow start allows; 1 for a warm process."""
        if not self.started_ms:
            return 1.0
        age = (clock_ms() - self.started_ms) / self.profile.slow_start_ms
        return min(1.0, self.profile.slow_start_share + (1 - self.profile.slow_start_share) * age)

    def speed(self) -> float:
        """The current share of full speed."""
        fault = self.fault
        if fault.hung or clock_ms() < fault.paused_until_ms:
            return 0.0
        return self.warmth() * (1 - fault.cpu_taken_share) / fault.slowdown

    def notify_speed_changed(self) -> None:
        """Wakes work that has stopped."""
        self._speed_changed.set()
        self._speed_changed = trio.Event()

    async def work(self, work_ms: float) -> None:
        """Sleeps for the time that the work takes; the speed may change meanwhile."""
        left_ms = work_ms
        while left_ms > 1e-6:
            speed = self.speed()
            if speed <= 0:
                with trio.move_on_after(STOPPED_POLL_MS / 1000):
                    await self._speed_changed.wait()
                continue
            step_ms = min(left_ms / speed, WORK_STEP_MS)
            begin_ms = clock_ms()
            await trio.sleep(step_ms / 1000)
            left_ms -= max(step_ms, clock_ms() - begin_ms) * speed
        await trio.lowlevel.checkpoint()

    def record_arrival(self, work_ms: float) -> None:
        """Records arrived work. A cold process crashes on more than `fall_multiple` times its capacity in `fall_ms`."""
        profile = self.profile
        now_ms = clock_ms()
        self._arrived_work.append((now_ms, work_ms))
        while self._arrived_work[0][0] < now_ms - profile.fall_ms:
            self._arrived_work.popleft()
        warmth = self.warmth()
        if warmth >= 1:
            return
        arrived_ms = sum(work for _, work in self._arrived_work)
        if arrived_ms > profile.fall_multiple * warmth * profile.slots * profile.fall_ms:
            self.overloaded = True
            self.traffic.line("fell", id=self.ident)
            self.die()

    # Slots

    @asynccontextmanager
    async def slot(self) -> AsyncIterator[None]:
        """Acquires a slot, at once or after queueing. Raises AttemptRefusedError if the queue is full."""
        await self._acquire_slot()
        try:
            yield
        finally:
            self.free_slot()

    async def _acquire_slot(self) -> None:
        if self.busy < self.profile.slots and not self._queue:
            self.busy += 1
            return
        if len(self._queue) >= self.profile.queue:
            raise AttemptRefusedError(429, "queue-full")
        slot_granted = trio.Event()
        self._queue.append(slot_granted)
        try:
            await slot_granted.wait()
        except trio.Cancelled:
            if slot_granted in self._queue:
                self._queue.remove(slot_granted)
            else:  # the slot has been granted already
                self.free_slot()
            raise

    def free_slot(self) -> None:
        """Frees a slot and grants it to the first attempt in the queue."""
        self.busy -= 1
        if self._queue and self.busy < self.profile.slots:
            self.busy += 1
            self._queue.popleft().set()

    def load(self) -> LoadReport:
        """The load that it reports."""
        memory_share = min(1.0, self.used_tokens / self.profile.kv_capacity_tokens)
        return LoadReport(self.busy, len(self._queue), memory_share)

    def load_header(self) -> tuple[str, str]:
        """The response header that carries the load report."""
        return "endpoint-load-metrics", self.load().header()

    # Memory

    def require_memory(self, tokens: float) -> None:
        """Checks that the free memory has room for `tokens` tokens. Raises AttemptRefusedError if not."""
        if self.used_tokens + tokens > self.profile.kv_capacity_tokens:
            raise AttemptRefusedError(429, "memory-full")

    def look_up_prefix(self, prompt: bytes) -> PrefixLookup:
        """Looks up how much of a prompt is cached, and caches all of it."""
        return self.prefix_cache.look_up(prompt, self.profile.kv_capacity_tokens * PREFIX_CACHE_SHARE)

    def can_reserve(self, request_id: str, tokens: float) -> bool:
        """Whether memory can be reserved for a decode of this request: the decode could start immediately, and nothing
        is held for the request yet."""
        return (
            self.role != PREFILL_ROLE
            and not self._queue
            and self.busy < self.profile.slots
            and self.used_tokens + tokens <= self.profile.kv_capacity_tokens
            and request_id not in self.states
        )

    def record_held(self, request_id: str, tokens: float) -> None:
        """Records a held state or a reservation. The caller has counted its memory as used."""
        self.states[request_id] = HeldState(tokens, clock_ms())
        self.traffic.line("state", id=self.ident, gen=request_id, toks=tokens)

    def drop_state(self, request_id: str, how: str) -> bool:
        """Drops a held state or a reservation. `how`: "taken", "released" or "lost". Returns False if none was held."""
        held = self.states.pop(request_id, None)
        if held is None:
            return False
        self.used_tokens -= held.tokens
        self.traffic.line(how, id=self.ident, gen=request_id)
        return True

    def drop_expired_states(self) -> None:
        """Drops the states whose lease has expired."""
        for request_id, held in list(self.states.items()):
            if clock_ms() - held.since_ms > STATE_LEASE_MS:
                self.drop_state(request_id, "lost")

    # Effects

    def record_effect(self, request_id: str, number: int, idempotency_key: str) -> None:
        """Records the request's effect, unless one with the same key was recorded within `dedup_ms`."""
        last_ms = self._effects_ms.get(idempotency_key)
        if last_ms is not None and clock_ms() - last_ms <= self.profile.dedup_ms:
            return
        self.traffic.line(
            "effect", id=self.ident, gen=request_id, n=number, key=idempotency_key, cell=self.cell, zone=self.zone
        )
        self._effects_ms[idempotency_key] = clock_ms()
        while len(self._effects_ms) > MAX_IDEMPOTENCY_KEYS:
            self._effects_ms.popitem(last=False)
