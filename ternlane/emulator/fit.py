"""Fits the step costs of an emulated engine to the points of a described latency curve.

A step's duration is linear in the costs, so each point gives linear equations in them, apart from queueing, chunking
and random variation. For several numbers of free tokens per step, the equations are solved by non-negative least
squares on relative errors, the points are simulated, and each equation is corrected by the ratio of the simulated to
the linear latency, repeatedly. Starting from the best solution, a nonlinear least-squares search over all costs and the
jitter simulates the points until its step limit or convergence. The held-out points validate the result. Needs scipy
(the `lab` extra).
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import Any

import numpy as np
from scipy.optimize import least_squares, nnls

from ternlane.emulator.batch import BatchConfig, StepCost
from ternlane.emulator.curve import Latencies, linear_latencies, simulated_latencies
from ternlane.emulator.engine import EngineTraits
from ternlane.emulator.engine_kind import CurvePoint, EngineKind

ROUNDS = 2  # of solving and simulating, per number of free tokens
SEARCH_STEPS = 8  # limit of residual evaluations, without those for the Jacobian
FREE_SHARES = (0.0, 0.125, 0.25, 0.375, 0.5, 0.75)  # candidates for free tokens, as shares of a step's tokens
TAIL_WEIGHT = 0.4  # of a 99th percentile relative to a median, as tails are noisier
CORRECTION_BOUNDS = (0.2, 5.0)  # per round
ERROR_BOUND = 5.0  # relative; caps the error of points that can't be simulated
INITIAL_JITTER = 0.05
MIN_COST_SHARE = 1 / 1000  # of step_ms: the search over logarithms needs positive costs
CHECK_SEED = 2  # differs from the seed of the fit
FloatArray = np.ndarray[Any, np.dtype[np.float64]]


@dataclass(frozen=True)
class FittedEngine:
    """A fitted engine. `errors`: relative errors of the simulated latencies at each point."""

    config: BatchConfig
    traits: EngineTraits
    errors: list[tuple[CurvePoint, Latencies]]

    def worst(self, held_out: bool) -> tuple[float, float]:
        """Returns the largest errors of medians and of 99th percentiles over the held-out points or over the others."""
        rows = [error for point, error in self.errors if point.held_out is held_out]
        medians = [max(abs(error.first_median), abs(error.between_median)) for error in rows]
        tails = [max(abs(error.first_tail), abs(error.between_tail)) for error in rows]
        return max(medians, default=0.0), max(tails, default=0.0)


def batch_config_of(kind: EngineKind, cost: StepCost) -> BatchConfig:
    """Returns the configuration of an engine of this kind with these step costs."""
    return BatchConfig(
        blocks=max(1, kind.memory_tokens // kind.block_tokens),
        block_tokens=kind.block_tokens,
        slots=kind.slots,
        step_tokens=kind.step_tokens,
        queue=kind.queue,
        cost=cost,
    )


def fit(kind: EngineKind) -> FittedEngine:
    """Fits an engine. Raises ValueError if there are too few points to determine the costs."""
    points = [point for point in kind.curve if not point.held_out]
    if len(points) < 2:
        raise ValueError(f"{kind.name}: a fit needs at least two points that are not held out")
    config, jitter = _CurveFit(kind, points).run()
    traits = EngineTraits(jitter=jitter, slow_start_ms=kind.slow_start_ms, slow_start_share=kind.slow_start_share)
    warm = replace(traits, slow_start_share=1.0)
    errors = [
        (point, _errors(simulated_latencies(config, warm, point, seed=CHECK_SEED), point)) for point in kind.curve
    ]
    return FittedEngine(config, traits, errors)


def _errors(simulated: Latencies, point: CurvePoint) -> Latencies:
    return Latencies(
        first_median=simulated.first_median / point.first_ms[0] - 1,
        first_tail=simulated.first_tail / point.first_ms[1] - 1,
        between_median=simulated.between_median / point.between_ms[0] - 1,
        between_tail=simulated.between_tail / point.between_ms[1] - 1,
    )


def _step_cost(values: FloatArray, free_tokens: int) -> StepCost:
    step_ms, decode_ms, prefill_ms, context_ms = (float(value) for value in values)
    return StepCost(step_ms, decode_ms, prefill_ms, context_ms, free_tokens)


@dataclass(frozen=True)
class _Candidate:
    error: float
    cost: StepCost


class _CurveFit:
    """Fit of a kind of engine to `points`."""

    def __init__(self, kind: EngineKind, points: list[CurvePoint]) -> None:
        self.kind = kind
        self.points = points
        self.target = np.array([[*point.first_ms, *point.between_ms] for point in points]).ravel()
        self.weight = np.tile([1.0, TAIL_WEIGHT, 1.0, TAIL_WEIGHT], len(points))

    def run(self) -> tuple[BatchConfig, float]:
        """Returns the engine configuration and the jitter."""
        candidates = [self._solve(round(share * self.kind.step_tokens)) for share in FREE_SHARES]
        return self._search(min(candidates, key=lambda candidate: candidate.error).cost)

    def _simulate(self, cost: StepCost, traits: EngineTraits) -> FloatArray:
        config = batch_config_of(self.kind, cost)
        return np.array([simulated_latencies(config, traits, point) for point in self.points]).ravel()

    def _solve(self, free_tokens: int) -> _Candidate:
        """Returns the best candidate of `ROUNDS` rounds with this number of free tokens."""
        rows = np.array([row for point in self.points for row in linear_latencies(self.kind, point, free_tokens)])
        correction = np.ones(len(self.target))
        best: _Candidate | None = None
        for _ in range(ROUNDS):
            scaled = rows * (self.weight * correction / self.target)[:, None]
            solution = nnls(scaled, self.weight)[0]
            cost = _step_cost(solution, free_tokens)
            simulated = self._simulate(cost, EngineTraits())
            error = float(np.sum((self.weight * (simulated / self.target - 1)) ** 2))
            ratio = np.clip(simulated / np.maximum(rows @ solution, 1e-9), *CORRECTION_BOUNDS)
            correction = np.sqrt(correction * ratio)
            if best is None or error < best.error:
                best = _Candidate(error, cost)
        assert best is not None
        return best

    def _search(self, start: StepCost) -> tuple[BatchConfig, float]:
        """Searches over the logarithms of the four costs and the jitter."""

        def cost_of(values: FloatArray) -> StepCost:
            return _step_cost(np.exp(values[:4]), start.free_tokens)

        def errors(values: FloatArray) -> FloatArray:
            simulated = self._simulate(cost_of(values), EngineTraits(jitter=abs(float(values[4]))))
            weighted: FloatArray = self.weight * np.clip(simulated / self.target - 1, -ERROR_BOUND, ERROR_BOUND)
            return weighted

        min_cost = start.step_ms * MIN_COST_SHARE
        costs = (start.step_ms, start.decode_ms, start.prefill_ms, start.context_ms)
        initial = np.array([*np.log([max(value, min_cost) for value in costs]), INITIAL_JITTER])
        found = least_squares(errors, initial, diff_step=0.03, x_scale=0.1, max_nfev=SEARCH_STEPS)
        return batch_config_of(self.kind, cost_of(found.x)), abs(float(found.x[4]))
