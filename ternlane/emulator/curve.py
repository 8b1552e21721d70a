"""The latencies of an emulated engine at a point of a curve: played, and as a linear model of the step costs."""

from __future__ import annotations

from math import inf
from typing import NamedTuple

import numpy as np

from ternlane.emulator.batch import BatchConfig, BatchSequence
from ternlane.emulator.engine import EmulatedEngine, EngineTraits, Job, JobEvent, JobEventKind
from ternlane.emulator.engine_kind import CurvePoint, EngineKind

PLAYED_ANSWERS = 120  # for a point: enough for a 99th percentile of tokens
# Shares of a decode's steps that also prefill another prompt, from which a percentile sees such a step.
SEEN_BY_MEDIAN = 0.5
SEEN_BY_TAIL = 0.01


class Latencies(NamedTuple):
    """Milliseconds to the first token, and between tokens, each at the median and the 99th percentile."""

    first_median: float
    first_tail: float
    between_median: float
    between_tail: float


class _PointPlay:
    """An engine under a steady number of sequences: whoever ends is followed by another at once."""

    def __init__(self, engine: EmulatedEngine, point: CurvePoint) -> None:
        self.engine = engine
        self.point = point
        self.ended = 0
        self.first_ms: list[float] = []
        self.between_ms: list[float] = []
        self._last_ms: dict[Job, float] = {}  # -inf: it was there from the beginning, and does not count

    def _submit(self, at_ms: float, answer_tokens: int, last_ms: float) -> None:
        job = Job(BatchSequence(self.point.prompt, answer_tokens))
        if self.engine.submit(at_ms, job):
            self._last_ms[job] = last_ms

    def run(self, answers: int) -> Latencies:
        point = self.point
        for number in range(point.at_once):  # spread over an answer's length, lest all be at the same token
            self._submit(0.0, max(1, round(point.answer * (number + 1) / point.at_once)), -inf)
        while self.ended < answers + point.at_once and self.engine.next_at() < inf:
            for event in self.engine.advance(self.engine.next_at()):
                self._take(event)
        if not self.first_ms or not self.between_ms:
            return Latencies(inf, inf, inf, inf)
        first = np.percentile(self.first_ms, (50, 99)).tolist()
        between = np.percentile(self.between_ms, (50, 99)).tolist()
        return Latencies(*first, *between)

    def _take(self, event: JobEvent) -> None:
        if event.kind is JobEventKind.TOKEN:
            self._take_token(event)
        elif event.kind is JobEventKind.DONE:
            self.ended += 1
            del self._last_ms[event.job]
            self._submit(event.at_ms, self.point.answer, event.at_ms)

    def _take_token(self, event: JobEvent) -> None:
        job = event.job
        last_ms = self._last_ms[job]
        if last_ms == -inf:
            return
        if self.ended >= self.point.at_once:
            is_first = job.sequence.output_tokens == 1 or job.since_ms == last_ms
            (self.first_ms if is_first else self.between_ms).append(event.at_ms - last_ms)
        self._last_ms[job] = event.at_ms


def played_latencies(
    config: BatchConfig, traits: EngineTraits, point: CurvePoint, seed: int = 1, answers: int = PLAYED_ANSWERS
) -> Latencies:
    """As the emulator has them; infinite where the engine is too small for the point."""
    return _PointPlay(EmulatedEngine(config, traits, seed), point).run(answers)


def linear_latencies(kind: EngineKind, point: CurvePoint, free_tokens: int) -> list[list[float]]:
    """Each of the four latencies as factors of step_ms, decode_ms, prefill_ms and context_ms, without queueing and
    chance."""
    decoding = min(point.at_once, kind.slots) - 1
    context = decoding * (point.prompt + point.answer / 2) / 1000
    chunk_tokens = max(1, kind.step_tokens - decoding)
    chunks = [min(chunk_tokens, point.prompt - begin) for begin in range(0, point.prompt, chunk_tokens)]
    charged = [max(0, chunk + decoding - free_tokens) if free_tokens else chunk for chunk in chunks]
    idle = float(max(0, decoding + 1 - free_tokens) if free_tokens else 0)  # charged without a prompt
    steps = len(chunks)
    # A prompt arrives within a step: half of one more at the median, all of it at the tail.
    first_median = [steps + 0.5, (steps + 0.5) * decoding, sum(charged) + 0.5 * idle, (steps + 0.5) * context]
    first_tail = [steps + 1.0, (steps + 1.0) * decoding, sum(charged) + charged[0] / 2, (steps + 1.0) * context]
    plain = [1.0, decoding + 1.0, idle, context]
    busy = [1.0, decoding + 1.0, float(charged[0]), context]
    prefill_share = decoding * steps / point.answer
    between_median = busy if prefill_share > SEEN_BY_MEDIAN else plain
    between_tail = busy if prefill_share > SEEN_BY_TAIL else plain
    return [first_median, first_tail, between_median, between_tail]
