"""What a fake engine has to share out: speed, slots, memory, held states."""

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

STATE_LEASE_MS = 30e3  # a state that no decode server takes is dropped after this time
PREFIX_CACHE_SHARE = 0.5  # of the memory; the rest is left to running attempts
WORK_STEP_MS = 50.0  # the speed is looked at anew at least so often
STANDSTILL_POLL_MS = 20.0  # while nothing is done at all
REMEMBERED_KEYS = 10_000  # idempotency keys at most
CONNECT_TIMEOUT_MS = 500.0
CONNECTION_IDLE_MS = 20e3


class Refused(Exception):
    """The engine does not run an attempt, and says so."""

    def __init__(self, status: int, reason: str) -> None:
        """`status`: of the HTTP answer; `reason`: the value of its `x-ternlane-not-run` header."""
        super().__init__(reason)
        self.status = status
        self.reason = reason


@dataclass(frozen=True)
class HeldState:
    """A prefilled state, or memory that is reserved for one."""

    tokens: float
    since_ms: float


class EngineCore:
    """One engine process. All times are milliseconds of the machine's clock."""

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
        """`port` 0: a free one. `source`: the IP address that its own calls come from."""
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
        self.started_ms = 0.0  # 0: so long ago that it is warm
        self.process = trio.CancelScope()
        self._speed_changed = trio.Event()
        self.reset()

    def reset(self) -> None:
        """As a process that has just started: nothing runs, nothing is held."""
        self.prefix_cache = PrefixCache()
        self.states: dict[str, HeldState] = {}  # by request
        self.busy = 0  # slots
        self.used_tokens = 0.0
        self.fallen = False
        self._queue: deque[trio.Event] = deque()
        self._arrived_work: deque[tuple[float, float]] = deque()  # when, ms of work
        self._effects_ms: OrderedDict[str, float] = OrderedDict()  # by idempotency key

    def die(self) -> None:
        """Ends the process, with all that it holds."""
        self.process.cancel()

    # Speed

    def warmth(self) -> float:
        """The share of its full speed that a cold process has; 1 where it is warm."""
        if not self.started_ms:
            return 1.0
        age = (clock_ms() - self.started_ms) / self.profile.slow_start_ms
        return min(1.0, self.profile.slow_start_share + (1 - self.profile.slow_start_share) * age)

    def speed(self) -> float:
        """The share of its full speed at present."""
        fault = self.fault
        if fault.hung or clock_ms() < fault.paused_until_ms:
            return 0.0
        return self.warmth() * (1 - fault.cpu_taken_share) / fault.slowdown

    def notify_speed_changed(self) -> None:
        """Wakes the work that stands still."""
        self._speed_changed.set()
        self._speed_changed = trio.Event()

    async def work(self, work_ms: float) -> None:
        """Sleeps for as long as the work takes at a speed that may change meanwhile."""
        left_ms = work_ms
        while left_ms > 1e-6:
            speed = self.speed()
            if speed <= 0:
                with trio.move_on_after(STANDSTILL_POLL_MS / 1000):
                    await self._speed_changed.wait()
                continue
            step_ms = min(left_ms / speed, WORK_STEP_MS)
            begin_ms = clock_ms()
            await trio.sleep(step_ms / 1000)
            left_ms -= max(step_ms, clock_ms() - begin_ms) * speed
        await trio.lowlevel.checkpoint()

    def record_arrival(self, work_ms: float) -> None:
        """Counts what was sent against what a cold process can do; above that it falls over."""
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
            self.fallen = True
            self.traffic.line("fell", id=self.ident)
            self.die()

    # Slots

    @asynccontextmanager
    async def slot(self) -> AsyncIterator[None]:
        """Holds a slot, at once or after the queue. Raises Refused where the queue is full."""
        await self._enter()
        try:
            yield
        finally:
            self.free_slot()

    async def _enter(self) -> None:
        if self.busy < self.profile.slots and not self._queue:
            self.busy += 1
            return
        if len(self._queue) >= self.profile.queue:
            raise Refused(429, "queue-full")
        turn = trio.Event()
        self._queue.append(turn)
        try:
            await turn.wait()
        except trio.Cancelled:
            if turn in self._queue:
                self._queue.remove(turn)
            else:  # the slot was given to it already
                self.free_slot()
            raise

    def free_slot(self) -> None:
        """Gives a slot back: the first that waits gets it."""
        self.busy -= 1
        if self._queue and self.busy < self.profile.slots:
            self.busy += 1
            self._queue.popleft().set()

    def load(self) -> LoadReport:
        """What it reports of itself."""
        memory_share = min(1.0, self.used_tokens / self.profile.kv_capacity_tokens)
        return LoadReport(self.busy, len(self._queue), memory_share)

    def load_header(self) -> tuple[str, str]:
        """The header that carries its load with an answer."""
        return "endpoint-load-metrics", self.load().header()

    # Memory

    def require_memory(self, tokens: float) -> None:
        """Raises Refused where so many tokens do not fit."""
        if self.used_tokens + tokens > self.profile.kv_capacity_tokens:
            raise Refused(429, "memory-full")

    def look_up_prefix(self, prompt: bytes) -> PrefixLookup:
        """What is cached of a prompt; all of it is from now on."""
        return self.prefix_cache.look_up(prompt, self.profile.kv_capacity_tokens * PREFIX_CACHE_SHARE)

    def can_reserve(self, request: str, tokens: float) -> bool:
        """Whether a decode of this request would start at once."""
        return (
            self.role != PREFILL_ROLE
            and not self._queue
            and self.busy < self.profile.slots
            and self.used_tokens + tokens <= self.profile.kv_capacity_tokens
            and request not in self.states
        )

    def hold_state(self, request: str, tokens: float) -> None:
        """Holds a state whose memory is counted as used already."""
        self.states[request] = HeldState(tokens, clock_ms())
        self.traffic.line("state", id=self.ident, gen=request, toks=tokens)

    def drop_state(self, request: str, how: str) -> bool:
        """`how`: "taken", "released" or "lost". False where none was held."""
        held = self.states.pop(request, None)
        if held is None:
            return False
        self.used_tokens -= held.tokens
        self.traffic.line(how, id=self.ident, gen=request)
        return True

    def drop_expired_states(self) -> None:
        """Drops the states that nobody has taken in time."""
        for request, held in list(self.states.items()):
            if clock_ms() - held.since_ms > STATE_LEASE_MS:
                self.drop_state(request, "lost")

    # Effects

    def record_effect(self, request: str, number: int, idempotency_key: str) -> None:
        """The request's effect happens, unless a repeat with the same key did so a short time ago."""
        last_ms = self._effects_ms.get(idempotency_key)
        if last_ms is not None and clock_ms() - last_ms <= self.profile.dedup_ms:
            return
        self.traffic.line(
            "effect", id=self.ident, gen=request, n=number, key=idempotency_key, cell=self.cell, zone=self.zone
        )
        self._effects_ms[idempotency_key] = clock_ms()
        while len(self._effects_ms) > REMEMBERED_KEYS:
            self._effects_ms.popitem(last=False)
