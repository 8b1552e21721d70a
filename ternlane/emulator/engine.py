"""An emulated engine: a batch with slow start, injected faults and delayed, noisy load reports.

The caller passes the time, virtual or real: `advance(now)` returns the events up to then, and `next_at` is the time of
the next one. Performs no I/O; all times are in milliseconds. A step's duration is fixed when it starts; a change of
speed affects the following step.
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
    """Kinds of job events."""

    FETCHING = auto()  # has slot and memory; the state transfer may start
    PREFILLED = auto()  # its state is held for a transfer or a release
    TOKEN = auto()
    PREEMPTED = auto()  # evicted from memory, to be recomputed
    DONE = auto()


@dataclass(slots=True, eq=False)
class Job:
    """A request at an engine."""

    sequence: BatchSequence
    submitted_ms: float = 0.0  # when the engine accepted it


class JobEvent(NamedTuple):
    """An event of a job and its time."""

    at_ms: float
    kind: JobEventKind
    job: Job


@dataclass(frozen=True)
class EngineTraits:
    """Variation, slow start and reporting of an engine."""

    jitter: float = 0.0  # sigma of the log-normal factor of step durations
    slow_start_ms: float = 10e3  # duration of the ramp-up after a start
    slow_start_share: float = 0.3  # share of full speed at the start
    report_interval_ms: float = 200.0
    report_delay_ms: float = 50.0
    report_noise: float = 0.05  # relative standard deviation of reported values


@dataclass(slots=True)
class EmulatedFault:
    """Faults that are active at an engine."""

    slowdown: float = 1.0  # factor
    hung: bool = False
    external_memory_share: float = 0.0  # share of the memory taken by a simulated other program


class EmulatedEngine:
    """An engine process, which can crash and restart."""

    def __init__(
        self,
        config: BatchConfig,
        traits: EngineTraits,
        seed: int,
        policy: EvictionPolicy = "lru",
        started_ms: float = -inf,
    ) -> None:
        """The default `started_ms` is so long ago that the engine is warm."""
        self.config = config
        self.traits = traits
        self.policy: EvictionPolicy = policy
        self.rng = random.Random(zlib.crc32(b"%d" % seed))
        self.fault = EmulatedFault()
        self.jobs: dict[BatchSequence, Job] = {}
        self.states: dict[Job, None] = {}  # prefilled, held for a transfer or a release
        self._events: list[JobEvent] = []  # not yet returned by `advance`
        self.start(started_ms)

    def start(self, started_ms: float) -> None:
        """Starts a process at `started_ms`; its slow start lasts until `started_ms + slow_start_ms`.

        Requires that there are no jobs: `crash` removes them. Active faults remain.
        """
        self.started_ms = started_ms
        self.now_ms = max(started_ms, 0.0)
        self.memory = BlockPool(self.config.blocks, self.policy)
        self.batch = Batch(self.config, self.memory)
        self._step: BatchStep | None = None
        self._step_ends_ms = inf
        self._reports: deque[tuple[float, LoadReport]] = deque([(-inf, LoadReport())])
        self._reported_ms = self.now_ms
        if self.fault.external_memory_share:
            self.reserve_external(self.fault.external_memory_share)

    def crash(self, now_ms: float) -> list[Job]:
        """Ends the process and returns the jobs lost with it."""
        self.advance(now_ms)
        lost = [*self.jobs.values(), *self.states]
        for job in lost:
            job.sequence.ended = True
        self.jobs.clear()
        self.states.clear()
        self._step = None
        self._step_ends_ms = inf
        return lost

    # Requests

    def submit(self, now_ms: float, job: Job) -> bool:
        """Queues a job for the next step; False if the queue is full or the job exceeds the total memory."""
        if not self.batch.add(job.sequence):
            return False
        job.submitted_ms = now_ms
        self.jobs[job.sequence] = job
        self._start_step(now_ms)
        return True

    def cancel(self, now_ms: float, job: Job) -> None:
        """Cancels a job, also in the middle of a step."""
        if self.jobs.pop(job.sequence, None) is not None:
            self.batch.cancel(job.sequence)
            self._start_step(now_ms)

    def state_arrived(self, now_ms: float, job: Job) -> None:
        """Marks the state that a job fetched as received."""
        if job.sequence in self.jobs:
            self.batch.state_arrived(job.sequence)
            self._start_step(now_ms)

    def release(self, now_ms: float, job: Job) -> bool:
        """Frees the held state of a prefilled job; False if there is none."""
        if job not in self.states:
            return False
        del self.states[job]
        self.batch.release(job.sequence)
        self._start_step(now_ms)
        return True

    def reserve_external(self, share: float) -> None:
        """Sets the share of the memory that another program occupies; used blocks follow when they are released."""
        self.fault.external_memory_share = share
        self.memory.reserve_external(round(share * self.memory.total))

    def fault_changed(self, now_ms: float) -> None:
        """Resumes work after a change of `fault`."""
        self._start_step(now_ms)

    # Reports

    def current_load(self) -> LoadReport:
        """Returns the actual load, without report delay and noise."""
        memory_share = self.memory.used / max(1, self.memory.total)
        return LoadReport(len(self.batch.running), len(self.batch.queue), memory_share)

    def reported_load(self, now_ms: float) -> LoadReport:
        """Returns the report visible at `now_ms`, with delay and noise."""
        self.now_ms = max(self.now_ms, now_ms)
        self._record_report()
        latest = LoadReport()
        for at_ms, report in self._reports:
            if at_ms <= now_ms - self.traits.report_delay_ms:
                latest = report
        factor = max(0.0, 1.0 + self.rng.gauss(0.0, self.traits.report_noise))
        return LoadReport(
            round(latest.running * factor), round(latest.waiting * factor), min(1.0, latest.memory * factor)
        )

    def _record_report(self) -> None:
        """Records a report if one is due, and drops those superseded by a newer visible report."""
        if self.now_ms - self._reported_ms < self.traits.report_interval_ms:
            return
        self._reported_ms = self.now_ms
        self._reports.append((self.now_ms, self.current_load()))
        while len(self._reports) > 2 and self._reports[1][0] <= self.now_ms - self.traits.report_delay_ms:
            self._reports.popleft()

    # Time

    def speed(self, now_ms: float) -> float:
        """Returns the speed as a share of full speed."""
        age = (now_ms - self.started_ms) / max(self.traits.slow_start_ms, 1e-9)
        warm_share = min(1.0, self.traits.slow_start_share + (1 - self.traits.slow_start_share) * age)
        return 0.0 if self.fault.hung else warm_share / self.fault.slowdown

    def next_at(self) -> float:
        """Returns the time of the next event, provided that no calls intervene."""
        return self.now_ms if self._events else self._step_ends_ms

    def advance(self, now_ms: float) -> list[JobEvent]:
        """Returns the events up to `now_ms` in order. A time before the last one changes nothing."""
        while (due_ms := self._step_ends_ms) <= now_ms:
            self._events += self._end_step()
            self._start_step(due_ms)
        self.now_ms = max(self.now_ms, now_ms)
        self._record_report()
        events = self._events
        self._events = []
        return events

    def _start_step(self, now_ms: float) -> None:
        """Starts a step if none is running and there is work."""
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
            self._step_ends_ms = now_ms + step.duration_ms * spread / speed

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
                    events.append(JobEvent(at_ms, self._handle_sequence_event(job, kind), job))
                elif sequence.keeps_state:  # cancelled during the step
                    self.batch.release(sequence)
        return events

    def _handle_sequence_event(self, job: Job, kind: JobEventKind) -> JobEventKind:
        """Returns the kind of event to emit. For DONE, removes the job, and keeps its state if required."""
        if kind is not JobEventKind.DONE:
            return kind
        del self.jobs[job.sequence]
        if not job.sequence.keeps_state:
            return kind
        self.states[job] = None
        return JobEventKind.PREFILLED
