"""Makes an emulated engine of a description: its pace is fitted to the curve's points, and held against those left out.

A step's time is linear in the pace, so a curve's point gives linear equations in it, but for what queueing, chunks
and chance make of them. So: solve the equations (non-negative least squares, errors as parts), play the points,
correct each equation by what playing made of it, and again, for some values of how many tokens of a step are free.
From the best of these a search over all figures of pace and the spread of steps plays the points until they stop
coming nearer. Needs scipy (the `lab` extra).
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from math import inf
from typing import Any

import numpy as np
from scipy.optimize import least_squares, nnls

from ternlane.emulator.batch import Build, Course, Pace
from ternlane.emulator.describe import EngineKind, Point
from ternlane.emulator.engine import Engine, Job, Nature, What

ROUNDS = 2  # of solving and playing, for each value of `free_toks`
STEPS = 8  # of the search after it
FREE = (0.0, 0.125, 0.25, 0.375, 0.5, 0.75)  # values tried, parts of a step's tokens
ENOUGH = 120  # answers that a point is played for
Figures = np.ndarray[Any, np.dtype[np.float64]]
Seen = tuple[float, float, float, float]  # first token at the median and 99th percentile, between tokens likewise


@dataclass(frozen=True)
class Fitted:
    """`off`: for each point, how far the emulator's four figures are from those given, as parts of these."""

    build: Build
    nature: Nature
    off: list[tuple[Point, Seen]]

    def worst(self, held_out: bool) -> tuple[float, float]:
        """The largest error at medians and at 99th percentiles, over the points left out of the fit or the others."""
        rows = [off for point, off in self.off if point.held_out is held_out]
        return (
            max((max(abs(r[0]), abs(r[2])) for r in rows), default=0.0),
            max((max(abs(r[1]), abs(r[3])) for r in rows), default=0.0),
        )


def build_of(kind: EngineKind, pace: Pace) -> Build:
    return Build(
        max(1, kind.memory_tokens // kind.block_tokens),
        kind.block_tokens,
        kind.slots,
        kind.step_tokens,
        kind.queue,
        pace,
    )


def play(build: Build, nature: Nature, point: Point, seed: int = 1, answers: int = ENOUGH) -> Seen:
    """The point's figures as the emulator has them: whoever ends is followed by another at once."""
    engine = Engine(build, nature, seed)
    last: dict[Job, float] = {}
    first: list[float] = []
    between: list[float] = []
    now, ended, begun = 0.0, 0, 0

    def follow(at: float) -> None:
        nonlocal begun
        job = Job(Course(point.prompt, point.answer))
        begun += 1
        if engine.submit(at, job):
            last[job] = at

    for i in range(point.at_once):  # spread over an answer's length, lest all be at the same token
        job = Job(Course(point.prompt, max(1, round(point.answer * (i + 1) / point.at_once))))
        if engine.submit(0.0, job):
            last[job] = -inf
    while ended < answers + point.at_once and engine.next_at() < inf:
        now = engine.next_at()
        for told in engine.advance(now):
            if told.what is What.TOKEN:
                since = last[told.job]
                counts = ended >= point.at_once and since > -inf
                if counts:
                    (first if told.job.course.made == 1 or told.job.since == since else between).append(told.at - since)
                last[told.job] = told.at if since > -inf else -inf
            elif told.what is What.DONE:
                ended += 1
                del last[told.job]
                follow(told.at)
    if not first or not between:
        return inf, inf, inf, inf
    return (*np.percentile(first, (50, 99)).tolist(), *np.percentile(between, (50, 99)).tolist())


def shape(kind: EngineKind, point: Point, free: int) -> list[list[float]]:
    """The four figures as sums of step_ms, write_ms, read_ms and back_ms, if steps went by the book."""
    decode_servers = min(point.at_once, kind.slots) - 1
    back = decode_servers * (point.prompt + point.answer / 2) / 1000
    room = max(1, kind.step_tokens - decode_servers)
    chunks = [min(room, point.prompt - at) for at in range(0, point.prompt, room)]
    charged = [max(0, chunk + decode_servers - free) if free else chunk for chunk in chunks]
    steps, idle = len(chunks), float(max(0, decode_servers + 1 - free) if free else 0)
    first = [steps + 0.5, (steps + 0.5) * decode_servers, sum(charged) + 0.5 * idle, (steps + 0.5) * back]
    late = [steps + 1.0, (steps + 1.0) * decode_servers, sum(charged) + charged[0] / 2, (steps + 1.0) * back]
    plain = [1.0, decode_servers + 1.0, idle, back]
    busy = [1.0, decode_servers + 1.0, float(charged[0]), back]
    reading = decode_servers * steps / point.answer  # part of the steps in which another's prompt is read
    return [first, late, busy if reading > 0.5 else plain, busy if reading > 0.01 else plain]


def fit(kind: EngineKind) -> Fitted:
    """Raises ValueError where the points say too little of four figures of pace."""
    points = [p for p in kind.curve if not p.held_out]
    if len(points) < 2:
        raise ValueError(f"{kind.name}: at least two points that are not held out are needed")
    given = np.array([[*p.first_ms, *p.between_ms] for p in points]).ravel()
    weight = np.tile([1.0, 0.4, 1.0, 0.4], len(points))  # the tails are the noisier
    tried: dict[int, tuple[float, Pace, Figures]] = {}

    def rounds(free: int, correction: Figures) -> None:
        rows = np.array([row for p in points for row in shape(kind, p, free)])
        for _ in range(ROUNDS):
            solved = nnls(rows * (weight * correction / given)[:, None], weight)[0]
            step, write, read, back = (float(v) for v in solved)
            pace = Pace(step, write, read, back, free)
            seen = np.array([play(build_of(kind, pace), Nature(), p) for p in points]).ravel()
            error = float(np.sum((weight * (seen / given - 1)) ** 2))
            correction = np.sqrt(correction * np.clip(seen / np.maximum(rows @ solved, 1e-9), 0.2, 5.0))
            if free not in tried or error < tried[free][0]:
                tried[free] = error, pace, correction

    for part in FREE:
        rounds(round(part * kind.step_tokens), np.ones(len(given)))
    free = min(tried, key=lambda f: tried[f][0])
    start = tried[free][1]

    def made(x: Figures) -> tuple[Build, Nature]:
        step, write, read, back = (float(v) for v in np.exp(x[:4]))
        return build_of(kind, Pace(step, write, read, back, free)), Nature(jitter=abs(float(x[4])))

    def errors(x: Figures) -> Figures:
        build, nature = made(x)
        seen = np.array([play(build, nature, p) for p in points]).ravel()
        out: Figures = weight * np.clip(seen / given - 1, -5.0, 5.0)
        return out

    floor = start.step_ms / 1000
    at = np.log([max(v, floor) for v in (start.step_ms, start.write_ms, start.read_ms, start.back_ms)])
    found = least_squares(errors, np.array([*at, 0.05]), diff_step=0.03, x_scale=0.1, max_nfev=STEPS)
    build, spread = made(found.x)
    jitter = spread.jitter
    nature = Nature(jitter=jitter, slow_start_ms=kind.slow_start_ms, slow_start_share=kind.slow_start_share)
    off: list[tuple[Point, Seen]] = []
    for p in kind.curve:
        a, b, c, d = play(build, replace(nature, slow_start_share=1.0), p, seed=2)
        first, between = p.first_ms, p.between_ms
        off.append((p, (a / first[0] - 1, b / first[1] - 1, c / between[0] - 1, d / between[1] - 1)))
    return Fitted(build, nature, off)
