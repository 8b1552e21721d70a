"""One emulated engine: a batch with warmth, troubles, a clock that is handed in, and reports as real nodes make them.

Whoever drives it says when it is, in virtual or real time: `advance(now)` says what has happened until then, `next_at`
when to come again. Free of I/O. What a step takes is settled when it begins; a change of speed counts from the next.
"""

from __future__ import annotations

import random
import zlib
from collections import deque
from dataclasses import dataclass
from enum import Enum, auto
from math import exp, inf
from typing import NamedTuple

from ternlane.emulator.batch import Batch, Build, Course, Step
from ternlane.emulator.blocks import Blocks


class What(Enum):
    """What an engine tells of a job: FETCH (it has slot and memory here, its state may come), READ (its state waits
    here), TOKEN, PUT_BACK (out of memory, read anew), DONE."""

    FETCH = auto()
    READ = auto()
    TOKEN = auto()
    PUT_BACK = auto()
    DONE = auto()


class Told(NamedTuple):
    at: float
    what: What
    job: Job


@dataclass(slots=True, eq=False)
class Job:
    """A generation's stay at an engine."""

    course: Course
    since: float = 0.0


@dataclass(frozen=True)
class Nature:
    """What an engine is like beside its batch. `jitter`: spread of steps (log-normal). It starts at `cold_from` of its
    speed and is warm after `cold_ms`. Reports are made anew each `report_ms`, `lag_ms` late and off by `noise`."""

    jitter: float = 0.0
    slow_start_ms: float = 10e3
    slow_start_share: float = 0.3
    report_ms: float = 200.0
    lag_ms: float = 50.0
    noise: float = 0.05


class Load(NamedTuple):
    """A report: sequences that run and wait, and the share of memory that is held."""

    running: int = 0
    waiting: int = 0
    memory: float = 0.0

    def header(self) -> str:
        """As an `endpoint-load-metrics` header says it (ORCA, JSON form)."""
        return (
            'JSON {"named_metrics": {"kv_cache_usage_perc": %.4f, "num_requests_running": %d, '
            '"num_requests_waiting": %d}}' % (self.memory, self.running, self.waiting)
        )

    def metrics(self) -> str:
        """As a `/metrics` page says it (Prometheus text)."""
        return (
            f"vllm:num_requests_running {self.running}\nvllm:num_requests_waiting {self.waiting}\n"
            f"vllm:kv_cache_usage_perc {self.memory:.4f}\n"
        )


@dataclass(slots=True)
class Ailment:
    """What ails an engine now: `slow` times slower, `hung`, part of the memory `taken` by another program."""

    slow: float = 1.0
    hung: bool = False
    taken: float = 0.0


class Engine:
    """`started` < 0: it has been warm for ever."""

    def __init__(self, build: Build, nature: Nature, seed: int, policy: str = "lru", started: float = -inf) -> None:
        self.build, self.nature, self.policy = build, nature, policy
        self.rng = random.Random(zlib.crc32(b"%d" % seed))
        self.ailment = Ailment()
        self.jobs: dict[Course, Job] = {}
        self.states: dict[Job, None] = {}  # read, and waiting to be fetched or released
        self.told: list[Told] = []
        self.begin(started)

    def begin(self, now: float) -> None:
        """A process that has just started: empty, and cold unless `now` is long ago."""
        self.started, self.now = now, max(now, 0.0)
        self.memory = Blocks(self.build.blocks, "clock" if self.policy == "clock" else "lru")
        self.batch = Batch(self.build, self.memory)
        self.step: Step | None = None
        self.step_ends = inf
        self.views: deque[tuple[float, Load]] = deque([(-inf, Load())])
        self.seen_at = self.now
        if self.ailment.taken:
            self.take(self.ailment.taken)

    def die(self, now: float) -> list[Job]:
        """The process is gone with all it held; the jobs that were lost with it."""
        self.advance(now)
        lost = [*self.jobs.values(), *self.states]
        for job in lost:
            job.course.ended = True
        self.jobs.clear()
        self.states.clear()
        self.step, self.step_ends = None, inf
        return lost

    # -- what is asked of it

    def submit(self, now: float, job: Job) -> bool:
        """A job for the next step; false where it is full, or it could never fit."""
        if not self.batch.add(job.course):
            return False
        job.since, self.jobs[job.course] = now, job
        self.go_on(now)
        return True

    def cancel(self, now: float, job: Job) -> None:
        """Nobody waits for it any more, at whatever moment of a step."""
        if self.jobs.pop(job.course, None) is not None:
            self.batch.cancel(job.course)
            self.go_on(now)

    def came(self, now: float, job: Job) -> None:
        """What the job fetched is here."""
        if job.course in self.jobs:
            self.batch.came(job.course)
            self.go_on(now)

    def release(self, now: float, job: Job) -> bool:
        """Frees the state that waits here; false where there is none."""
        if job not in self.states:
            return False
        del self.states[job]
        self.batch.release(job.course)
        self.go_on(now)
        return True

    def take(self, part: float) -> None:
        """Another program has this part of the memory from now on; what is in use is owed."""
        self.ailment.taken = part
        self.memory.cut(round(part * self.memory.total))

    def load(self, now: float) -> Load:
        """The report that can be had now: late and a little off."""
        self.now = max(self.now, now)
        self.look()
        seen = Load()
        for at, view in self.views:
            if at <= now - self.nature.lag_ms:
                seen = view
        off = max(0.0, 1.0 + self.rng.gauss(0.0, self.nature.noise))
        return Load(round(seen.running * off), round(seen.waiting * off), min(1.0, seen.memory * off))

    # -- time

    def speed(self, now: float) -> float:
        age = (now - self.started) / max(self.nature.slow_start_ms, 1e-9)
        warmth = min(1.0, self.nature.slow_start_share + (1 - self.nature.slow_start_share) * age)
        return 0.0 if self.ailment.hung else warmth / self.ailment.slow

    def next_at(self) -> float:
        """When something happens next if nothing is asked of it."""
        return self.now if self.told else self.step_ends

    def advance(self, now: float) -> list[Told]:
        """What has happened until now, in order. A time before the last one changes nothing."""
        while (due := self.step_ends) <= now:
            self.told += self.end_step()
            self.go_on(due)
        self.now = max(self.now, now)
        self.look()
        out, self.told = self.told, []
        return out

    def alter(self, now: float) -> None:
        """The ailment has changed: what stood still may go on."""
        self.go_on(now)

    def go_on(self, now: float) -> None:
        """Begins a step, if none is under way and there is something to do."""
        self.now = max(self.now, now)
        if self.step is not None:
            return
        speed = self.speed(now)
        step = self.batch.step() if speed > 0 else None
        for course in self.batch.entered:
            if course in self.jobs:
                self.told.append(Told(now, What.FETCH, self.jobs[course]))
        self.batch.entered.clear()
        if step is not None:
            spread = exp(self.rng.gauss(0.0, self.nature.jitter)) if self.nature.jitter else 1.0
            self.step, self.step_ends = step, now + step.ms * spread / speed

    def end_step(self) -> list[Told]:
        step, at, out = self.step, self.step_ends, list[Told]()
        assert step is not None
        self.step, self.step_ends = None, inf
        for what, courses in ((What.TOKEN, step.wrote), (What.PUT_BACK, step.preempted), (What.DONE, step.finished)):
            for course in courses:
                job = self.jobs.get(course)
                if job is None:  # cancelled while the step ran
                    if course.stays:
                        self.batch.release(course)
                    continue
                if what is What.DONE:
                    del self.jobs[course]
                    if course.stays:
                        self.states[job] = None
                out.append(Told(at, What.READ if what is What.DONE and course.stays else what, job))
        return out

    def look(self) -> None:
        """Makes the reports that were due, of what is now."""
        if self.now - self.seen_at >= self.nature.report_ms:
            self.seen_at = self.now
            self.views.append((self.now, self.true_load()))
            while len(self.views) > 2 and self.views[1][0] <= self.now - self.nature.lag_ms:
                self.views.popleft()

    def true_load(self) -> Load:
        return Load(len(self.batch.running), len(self.batch.queue), self.memory.used / max(1, self.memory.total))
