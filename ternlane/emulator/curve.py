"""Latencies of an emulated engine at a point of a curve: simulated, and as a linear model of the step costs."""

from __future__ import annotations

from math import inf
from typing import NamedTuple

import numpy as np

from ternlane.emulator.batch import BatchConfig, BatchSequence
from ternlane.emulator.engine import EmulatedEngine, EngineTraits, Job, JobEvent, JobEventKind
from ternlane.emulator.engine_kind import CurvePoint, EngineKind

SIMULATED_ANSWERS = 120  # per point: enough tokens for a 99th percentile
# Above this share of decode steps that also prefill a prompt, the percentile is that of such a step.
MEDIAN_PREFILL_SHARE = 0.5
TAIL_PREFILL_SHARE = 0.01


class Latencies(NamedTuple):
    """Time to first token and between tokens in milliseconds, each as median and 99th percentile."""

    first_median: float
    first_tail: float
    between_median: float
    between_tail: float


class _PointSimulation:
    """Simulates an engine with a constant number of sequences: each ended one is replaced immediately."""

    def __init__(self, engine: EmulatedEngine, point: CurvePoint) -> None:
        self.engine = engine
        self.point = point
        self.ended = 0
        self.first_ms: list[float] = []
        self.between_ms: list[float] = []
        self._last_ms: dict[Job, float] = {}  # -inf: a sequence of the initial batch, not measured

    def _submit(self, at_ms: float, answer_tokens: int, last_ms: float) -> None:
        job = Job(BatchSequence(self.point.prompt, answer_tokens))
        if self.engine.submit(at_ms, job):
            self._last_ms[job] = last_ms

    def run(self, answers: int) -> Latencies:
        point = self.point
        for number in range(point.at_once):  # staggered lengths, so that they do not end in the same step
            self._submit(0.0, max(1, round(point.answer * (number + 1) / point.at_once)), -inf)
        while self.ended < answers + point.at_once and self.engine.next_at() < inf:
            for event in self.engine.advance(self.engine.next_at()):
                self._handle_event(event)
        if not self.first_ms or not self.between_ms:
            return Latencies(inf, inf, inf, inf)
        first = np.percentile(self.first_ms, (50, 99)).tolist()
        between = np.percentile(self.between_ms, (50, 99)).tolist()
        return Latencies(*first, *between)

    def _handle_event(self, event: JobEvent) -> None:
        if event.kind is JobEventKind.TOKEN:
            self._handle_token(event)
        elif event.kind is JobEventKind.DONE:
            self.ended += 1
            del self._last_ms[event.job]
            self._submit(event.at_ms, self.point.answer, event.at_ms)

    def _handle_token(self, event: JobEvent) -> None:
        job = event.job
        last_ms = self._last_ms[job]
        if last_ms == -inf:
            return
        if self.ended >= self.point.at_once:
            is_first = job.sequence.output_tokens == 1 or job.submitted_ms == last_ms
            (self.first_ms if is_first else self.between_ms).append(event.at_ms - last_ms)
        self._last_ms[job] = event.at_ms


def simulated_latencies(
    config: BatchConfig, traits: EngineTraits, point: CurvePoint, seed: int = 1, answers: int = SIMULATED_ANSWERS
) -> Latencies:
    """Returns the simulated latencies; infinite if the engine is too small for the point."""
    return _PointSimulation(EmulatedEngine(config, traits, seed), point).run(answers)


def linear_latencies(kind: EngineKind, point: CurvePoint, free_tokens: int) -> list[list[float]]:
    """Returns the four latencies as coefficients of step_ms, decode_ms, prefill_ms and context_ms.

    Queueing and random variation are left out.
    """
    decoding = min(point.at_once, kind.slots) - 1
    context = decoding * (point.prompt + point.answer / 2) / 1000
    chunk_tokens = max(1, kind.step_tokens - decoding)
    chunks = [min(chunk_tokens, point.prompt - begin) for begin in range(0, point.prompt, chunk_tokens)]
    charged = [max(0, chunk + decoding - free_tokens) if free_tokens else chunk for chunk in chunks]
    idle = float(max(0, decoding + 1 - free_tokens) if free_tokens else 0)  # tokens charged in a step without prefill
    steps = len(chunks)
    # A prompt arrives during a step and waits for its end: half a step at the median, a whole step at the tail.
    first_median = [steps + 0.5, (steps + 0.5) * decoding, sum(charged) + 0.5 * idle, (steps + 0.5) * context]
    first_tail = [steps + 1.0, (steps + 1.0) * decoding, sum(charged) + charged[0] / 2, (steps + 1.0) * context]
    decode_only = [1.0, decoding + 1.0, idle, context]
    with_prefill = [1.0, decoding + 1.0, float(charged[0]), context]
    prefill_share = decoding * steps / point.answer
    between_median = with_prefill if prefill_share > MEDIAN_PREFILL_SHARE else decode_only
    between_tail = with_prefill if prefill_share > TAIL_PREFILL_SHARE else decode_only
    return [first_median, first_tail, between_median, between_tail]
