"""One emulated engine: a batch with a slow start, faults, a clock that is handed in, and reports as real engines make.

Whoever drives it says when it is, in virtual or real time: `advance(now)` gives what has happened until then, `next_at`
when to come again. Free of I/O; all times are milliseconds. What a step takes is settled when it begins; a change of
speed counts from the next.
"""

from __future__ import annotations

import random
import zlib
from collections import deque
from dataclasses import dataclass
from enum import Enum, auto
from math import exp, inf
from typing import NamedTuple

from ternlane.emulator.batch import Batch, BatchConfig, BatchSequence, BatchStep
from ternlane.emulator.blocks import BlockPool, EvictionPolicy
from ternlane.emulator.load_report import LoadReport


class JobEventKind(Enum):
    """What happens to a job at an engine."""

    FETCHING = auto()  # it has slot and memory, its state may come
    PREFILLED = auto()  # its state waits here
    TOKEN = auto()
    PREEMPTED = auto()  # out of memory, recomputed later
    DONE = auto()


@dataclass(slots=True, eq=False)
class Job:
    """A request's stay at an engine."""

    sequence: BatchSequence
    since_ms: float = 0.0


class JobEvent(NamedTuple):
    """Something that has happened to a job."""

    at_ms: float
    kind: JobEventKind
    job: Job


@dataclass(frozen=True)
class EngineTraits:
    """What an engine is like beside its batch."""

    jitter: float = 0.0  # spread of steps (log-normal)
    slow_start_ms: float = 10e3  # for how long a started process is cold
    slow_start_share: float = 0.3  # of its speed, at the start
    report_ms: float = 200.0  # between two reports
    lag_ms: float = 50.0  # by which a report is late
    noise: float = 0.05  # by which a report is off, as a part (standard deviation)


@dataclass(slots=True)
class EmulatedFault:
    """What is wrong with an engine at present."""

    slowdown: float = 1.0  # times slower
    hung: bool = False
    memory_taken_share: float = 0.0  # by another program


class EmulatedEngine:
    """One process, which may die and start again."""

    def __init__(
        self,
        config: BatchConfig,
        traits: EngineTraits,
        seed: int,
        policy: EvictionPolicy = "lru",
        started_ms: float = -inf,
    ) -> None:
        """`started_ms` below 0: it has been warm for ever."""
        self.config = config
        self.traits = traits
        self.policy: EvictionPolicy = policy
        self.rng = random.Random(zlib.crc32(b"%d" % seed))
        self.fault = EmulatedFault()
        self.jobs: dict[BatchSequence, Job] = {}
        self.states: dict[Job, None] = {}  # prefilled, and waiting to be fetched or released
        self._events: list[JobEvent] = []  # not yet given to the driver
        self.start(started_ms)

    def start(self, now_ms: float) -> None:
        """A process that has just started: empty, and cold unless `now_ms` is long ago."""
        self.started_ms = now_ms
        self.now_ms = max(now_ms, 0.0)
        self.memory = BlockPool(self.config.blocks, self.policy)
        self.batch = Batch(self.config, self.memory)
        self._step: BatchStep | None = None
        self._step_ends_ms = inf
        self._reports: deque[tuple[float, LoadReport]] = deque([(-inf, LoadReport())])
        self._reported_ms = self.now_ms
        if self.fault.memory_taken_share:
            self.take_memory(self.fault.memory_taken_share)

    def die(self, now_ms: float) -> list[Job]:
        """The process is gone with all it held; gives the jobs that were lost with it."""
        self.advance(now_ms)
        lost = [*self.jobs.values(), *self.states]
        for job in lost:
            job.sequence.ended = True
        self.jobs.clear()
        self.states.clear()
        self._step = None
        self._step_ends_ms = inf
        return lost

    # What is asked of it

    def submit(self, now_ms: float, job: Job) -> bool:
        """A job for the next step; False where the queue is full, or it could never fit."""
        if not self.batch.add(job.sequence):
            return False
        job.since_ms = now_ms
        self.jobs[job.sequence] = job
        self._start_step(now_ms)
        return True

    def cancel(self, now_ms: float, job: Job) -> None:
        """Nobody waits for it any more, at whatever moment of a step."""
        if self.jobs.pop(job.sequence, None) is not None:
            self.batch.cancel(job.sequence)
            self._start_step(now_ms)

    def state_arrived(self, now_ms: float, job: Job) -> None:
        """What the job fetched is here."""
        if job.sequence in self.jobs:
            self.batch.state_arrived(job.sequence)
            self._start_step(now_ms)

    def release(self, now_ms: float, job: Job) -> bool:
        """Frees the state that waits here; False where there is none."""
        if job not in self.states:
            return False
        del self.states[job]
        self.batch.release(job.sequence)
        self._start_step(now_ms)
        return True

    def take_memory(self, share: float) -> None:
        """Another program has this share of the memory from now on; what is in use is owed."""
        self.fault.memory_taken_share = share
        self.memory.take_memory(round(share * self.memory.total))

    def fault_changed(self, now_ms: float) -> None:
        """What stood still may go on."""
        self._start_step(now_ms)

    # Reports

    def current_load(self) -> LoadReport:
        """As it is, not as it is reported."""
        memory_share = self.memory.used / max(1, self.memory.total)
        return LoadReport(len(self.batch.running), len(self.batch.queue), memory_share)

    def reported_load(self, now_ms: float) -> LoadReport:
        """The report that can be had now: late and a little off."""
        self.now_ms = max(self.now_ms, now_ms)
        self._report()
        latest = LoadReport()
        for at_ms, report in self._reports:
            if at_ms <= now_ms - self.traits.lag_ms:
                latest = report
        factor = max(0.0, 1.0 + self.rng.gauss(0.0, self.traits.noise))
        return LoadReport(
            round(latest.running * factor), round(latest.waiting * factor), min(1.0, latest.memory * factor)
        )

    def _report(self) -> None:
        """Makes the report that is due, of what is now, and drops those that nobody can be given any more."""
        if self.now_ms - self._reported_ms < self.traits.report_ms:
            return
        self._reported_ms = self.now_ms
        self._reports.append((self.now_ms, self.current_load()))
        while len(self._reports) > 2 and self._reports[1][0] <= self.now_ms - self.traits.lag_ms:
            self._reports.popleft()

    # Time

    def speed(self, now_ms: float) -> float:
        """As a share of its full speed."""
        age = (now_ms - self.started_ms) / max(self.traits.slow_start_ms, 1e-9)
        warmth = min(1.0, self.traits.slow_start_share + (1 - self.traits.slow_start_share) * age)
        return 0.0 if self.fault.hung else warmth / self.fault.slowdown

    def next_at(self) -> float:
        """When something happens next if nothing is asked of it."""
        return self.now_ms if self._events else self._step_ends_ms

    def advance(self, now_ms: float) -> list[JobEvent]:
        """What has happened until now, in order. A time before the last one changes nothing."""
        while (due_ms := self._step_ends_ms) <= now_ms:
            self._events += self._end_step()
            self._start_step(due_ms)
        self.now_ms = max(self.now_ms, now_ms)
        self._report()
        events = self._events
        self._events = []
        return events

    def _start_step(self, now_ms: float) -> None:
        """If none is under way and there is something to do."""
        self.now_ms = max(self.now_ms, now_ms)
        if self._step is not None:
            return
        speed = self.speed(now_ms)
        step = self.batch.step() if speed > 0 else None
        for sequence in self.batch.awaiting:
            if sequence in self.jobs:
                self._events.append(JobEvent(now_ms, JobEventKind.FETCHING, self.jobs[sequence]))
        self.batch.awaiting.clear()
        if step is not None:
            spread = exp(self.rng.gauss(0.0, self.traits.jitter)) if self.traits.jitter else 1.0
            self._step = step
            self._step_ends_ms = now_ms + step.ms * spread / speed

    def _end_step(self) -> list[JobEvent]:
        step = self._step
        at_ms = self._step_ends_ms
        assert step is not None
        self._step = None
        self._step_ends_ms = inf
        events: list[JobEvent] = []
        for kind, sequences in (
            (JobEventKind.TOKEN, step.decoded),
            (JobEventKind.PREEMPTED, step.preempted),
            (JobEventKind.DONE, step.finished),
        ):
            for sequence in sequences:
                job = self.jobs.get(sequence)
                if job is not None:
                    events.append(JobEvent(at_ms, self._settle(job, kind), job))
                elif sequence.keeps_state:  # cancelled while the step ran
                    self.batch.release(sequence)
        return events

    def _settle(self, job: Job, kind: JobEventKind) -> JobEventKind:
        """A job that is done leaves the engine; its state stays where it is kept."""
        if kind is not JobEventKind.DONE:
            return kind
        del self.jobs[job.sequence]
        if not job.sequence.keeps_state:
            return kind
        self.states[job] = None
        return JobEventKind.PREFILLED
