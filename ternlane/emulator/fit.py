"""Makes an emulated engine of a description: its step costs are fitted to the curve's points.

A step's time is linear in the costs, so a curve's point gives linear equations in them, but for what queueing, chunks
and chance make of them. So: solve the equations (non-negative least squares, errors as parts), play the points, correct
each equation by what playing made of it, and again, for some numbers of tokens of a step that are free. From the best
of these a search over all costs and the spread of steps plays the points until they stop coming nearer. The result is
held against the points left out. Needs scipy (the `lab` extra).
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import Any

import numpy as np
from scipy.optimize import least_squares, nnls

from ternlane.emulator.batch import BatchConfig, StepCost
from ternlane.emulator.curve import Latencies, linear_latencies, played_latencies
from ternlane.emulator.engine import EngineTraits
from ternlane.emulator.engine_kind import CurvePoint, EngineKind

ROUNDS = 2  # of solving and playing, for each number of free tokens
SEARCH_STEPS = 8
FREE_SHARES = (0.0, 0.125, 0.25, 0.375, 0.5, 0.75)  # that are tried, of a step's tokens
TAIL_WEIGHT = 0.4  # of a 99th percentile against a median: tails are the noisier
CORRECTION_BOUNDS = (0.2, 5.0)  # for one round
ERROR_BOUND = 5.0  # as a part; a point that can't be played at all is no worse than this
START_JITTER = 0.05
LEAST_COST_SHARE = 1 / 1000  # of a step: the search is over logarithms
CHECK_SEED = 2  # another than the fit's
Figures = np.ndarray[Any, np.dtype[np.float64]]


@dataclass(frozen=True)
class FittedEngine:
    """`errors`: for each point, how far the emulator's latencies are from those given, as parts of these."""

    config: BatchConfig
    traits: EngineTraits
    errors: list[tuple[CurvePoint, Latencies]]

    def worst(self, held_out: bool) -> tuple[float, float]:
        """The largest error at medians and at 99th percentiles, over the points left out of the fit or the others."""
        rows = [error for point, error in self.errors if point.held_out is held_out]
        medians = [max(abs(error.first_median), abs(error.between_median)) for error in rows]
        tails = [max(abs(error.first_tail), abs(error.between_tail)) for error in rows]
        return max(medians, default=0.0), max(tails, default=0.0)


def batch_config_of(kind: EngineKind, cost: StepCost) -> BatchConfig:
    """An engine of this kind with these step costs."""
    return BatchConfig(
        blocks=max(1, kind.memory_tokens // kind.block_tokens),
        block_tokens=kind.block_tokens,
        slots=kind.slots,
        step_tokens=kind.step_tokens,
        queue=kind.queue,
        cost=cost,
    )


def fit(kind: EngineKind) -> FittedEngine:
    """Raises ValueError where the points say too little of four costs."""
    points = [point for point in kind.curve if not point.held_out]
    if len(points) < 2:
        raise ValueError(f"{kind.name}: at least two points that are not held out are needed")
    config, jitter = _CurveFit(kind, points).run()
    traits = EngineTraits(jitter=jitter, slow_start_ms=kind.slow_start_ms, slow_start_share=kind.slow_start_share)
    warm = replace(traits, slow_start_share=1.0)
    errors = [(point, _errors(played_latencies(config, warm, point, seed=CHECK_SEED), point)) for point in kind.curve]
    return FittedEngine(config, traits, errors)


def _errors(played: Latencies, point: CurvePoint) -> Latencies:
    return Latencies(
        first_median=played.first_median / point.first_ms[0] - 1,
        first_tail=played.first_tail / point.first_ms[1] - 1,
        between_median=played.between_median / point.between_ms[0] - 1,
        between_tail=played.between_tail / point.between_ms[1] - 1,
    )


def _step_cost(values: Figures, free_tokens: int) -> StepCost:
    step_ms, decode_ms, prefill_ms, context_ms = (float(value) for value in values)
    return StepCost(step_ms, decode_ms, prefill_ms, context_ms, free_tokens)


@dataclass(frozen=True)
class _Candidate:
    error: float
    cost: StepCost


class _CurveFit:
    """The fit of one kind to these points."""

    def __init__(self, kind: EngineKind, points: list[CurvePoint]) -> None:
        self.kind = kind
        self.points = points
        self.given = np.array([[*point.first_ms, *point.between_ms] for point in points]).ravel()
        self.weight = np.tile([1.0, TAIL_WEIGHT, 1.0, TAIL_WEIGHT], len(points))

    def run(self) -> tuple[BatchConfig, float]:
        """The engine and its jitter."""
        candidates = [self._solve(round(share * self.kind.step_tokens)) for share in FREE_SHARES]
        return self._search(min(candidates, key=lambda candidate: candidate.error).cost)

    def _played(self, cost: StepCost, traits: EngineTraits) -> Figures:
        config = batch_config_of(self.kind, cost)
        return np.array([played_latencies(config, traits, point) for point in self.points]).ravel()

    def _solve(self, free_tokens: int) -> _Candidate:
        """The best of some rounds with so many free tokens."""
        rows = np.array([row for point in self.points for row in linear_latencies(self.kind, point, free_tokens)])
        correction = np.ones(len(self.given))
        best: _Candidate | None = None
        for _ in range(ROUNDS):
            scaled = rows * (self.weight * correction / self.given)[:, None]
            solution = nnls(scaled, self.weight)[0]
            cost = _step_cost(solution, free_tokens)
            played = self._played(cost, EngineTraits())
            error = float(np.sum((self.weight * (played / self.given - 1)) ** 2))
            ratio = np.clip(played / np.maximum(rows @ solution, 1e-9), *CORRECTION_BOUNDS)
            correction = np.sqrt(correction * ratio)
            if best is None or error < best.error:
                best = _Candidate(error, cost)
        assert best is not None
        return best

    def _search(self, start: StepCost) -> tuple[BatchConfig, float]:
        """Over the logarithms of the four costs, and the jitter."""

        def cost_of(values: Figures) -> StepCost:
            return _step_cost(np.exp(values[:4]), start.free_tokens)

        def errors(values: Figures) -> Figures:
            played = self._played(cost_of(values), EngineTraits(jitter=abs(float(values[4]))))
            weighted: Figures = self.weight * np.clip(played / self.given - 1, -ERROR_BOUND, ERROR_BOUND)
            return weighted

        least = start.step_ms * LEAST_COST_SHARE
        costs = (start.step_ms, start.decode_ms, start.prefill_ms, start.context_ms)
        begin = np.array([*np.log([max(value, least) for value in costs]), START_JITTER])
        found = least_squares(errors, begin, diff_step=0.03, x_scale=0.1, max_nfev=SEARCH_STEPS)
        return batch_config_of(self.kind, cost_of(found.x)), abs(float(found.x[4]))
