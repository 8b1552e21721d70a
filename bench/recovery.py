"""Compares rules for the detection of stalled streams by false alarms and detection delay.

    python -m bench.recovery [--streams 8000]

Intervals between events are drawn for decode servers of three kinds, each server with a drifting mean interval; every
rule gets the same streams. One stream in fifty stalls at a random event. The results of a rule are its false alarms per
thousand healthy streams and the silence before it detects a stall. A resume takes 150 ms.
"""

from __future__ import annotations

import argparse
import random
import statistics
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from functools import partial
from math import erfc, log10, sqrt
from typing import NamedTuple, Protocol

from ternlane.recovery import StallDetector

SERVERS = 24
EVENTS = 48  # per stream
RESUME_MS = 150.0
STALLED_SHARE = 0.02
DEFAULT_TIMEOUT_MS = 1000.0  # where a rule gives no timeout
WARM_UP_SHARE = 1 / 5  # share of streams that only train the rules
SEED = 11
MAX_INTERVALS = 30
MIN_INTERVALS = 4  # before phi-accrual gives a timeout
BISECTIONS = 14


class ServerKind(NamedTuple):
    """Log-normal spread of a server's intervals, and the share of intervals that are `long_factor` times longer."""

    spread: float
    long_share: float
    long_factor: float


SERVER_KINDS = {
    "steady": ServerKind(0.25, 0.0, 0.0),
    "batches": ServerKind(0.4, 0.02, 6.0),
    "pauses": ServerKind(0.5, 0.004, 30.0),
}


@dataclass(frozen=True)
class DrawnStream:
    """A simulated stream."""

    server: int
    intervals_ms: list[float]
    stall_index: int | None  # index of the interval in which it stalls


class Rule(Protocol):
    """Determines how long a stream may be silent."""

    def idle_timeout_ms(self, server: int, intervals_ms: deque[float]) -> float:
        """Returns the timeout. `intervals_ms`: the latest intervals of this stream."""
        ...

    def start_stream(self) -> bool:
        """Returns whether the next stream is exploratory and keeps the default timeout."""
        ...

    def record_interval(self, server: int, interval_ms: float, exploratory: bool) -> None:
        """Records an interval between two events."""


class StaticRule:
    """A rule without training."""

    def start_stream(self) -> bool:
        """Returns false: there are no exploratory streams."""
        return False

    def record_interval(self, server: int, interval_ms: float, exploratory: bool) -> None:
        """Does nothing."""


class FixedTimeout(StaticRule):
    """The same timeout for every stream."""

    def __init__(self, timeout_ms: float) -> None:
        """`timeout_ms`: the timeout of all streams."""
        self.timeout_ms = timeout_ms

    def idle_timeout_ms(self, server: int, intervals_ms: deque[float]) -> float:
        """Returns the fixed timeout."""
        return self.timeout_ms


class PhiAccrual(StaticRule):
    """Phi-accrual detection on the stream's own latest intervals, assumed normal (Hayashibara et al., 2004)."""

    def __init__(self, phi: float) -> None:
        """A stream counts as stalled when the probability of a longer interval is below `10 ** -phi`."""
        self.phi = phi

    def idle_timeout_ms(self, server: int, intervals_ms: deque[float]) -> float:
        """Returns a timeout from the mean and standard deviation of the intervals."""
        if len(intervals_ms) < MIN_INTERVALS:
            return DEFAULT_TIMEOUT_MS
        deviation_ms = max(statistics.pstdev(intervals_ms), 0.1)
        return statistics.fmean(intervals_ms) + self._deviations() * deviation_ms

    def _deviations(self) -> float:
        """Returns by bisection the number of deviations at which -log10 of the tail probability is phi."""
        lower = 0.0
        upper = 60.0
        for _ in range(BISECTIONS):
            middle = (lower + upper) / 2
            probability = 0.5 * erfc(middle / sqrt(2))
            if probability > 0 and -log10(probability) < self.phi:
                lower = middle
            else:
                upper = middle
        return upper


class ServerStallDetector:
    """The gateway's rule: uses the intervals of all streams of the fleet."""

    def __init__(self, alarms: float, resume_ms: float = RESUME_MS) -> None:
        """`alarms`: accepted false alarms per stream; `resume_ms`: lower bound of timeouts."""
        self.detector = StallDetector(alarms)
        self.detector.mean_pieces = EVENTS
        self.detector.resumed(RESUME_MS)
        if resume_ms != RESUME_MS:
            self.detector.mean_resume_ms = resume_ms

    def idle_timeout_ms(self, server: int, intervals_ms: deque[float]) -> float:
        """Returns the detector's timeout for the server, or the default if it has too few samples."""
        return self.detector.idle_timeout_ms(server) or DEFAULT_TIMEOUT_MS

    def start_stream(self) -> bool:
        """Returns whether the detector explores."""
        return self.detector.start_stream()

    def record_interval(self, server: int, interval_ms: float, exploratory: bool) -> None:
        """Records every interval."""
        self.detector.record_piece_interval(server, interval_ms, exploratory)


def drawn_streams(kind: ServerKind, count: int, seed: int) -> Iterator[DrawnStream]:
    """Draws streams; the same seed gives the same streams."""
    rng = random.Random(seed)
    mean_intervals_ms = [8.0 * 2 ** rng.uniform(-1, 1) for _ in range(SERVERS)]
    for _ in range(count):
        server = rng.randrange(SERVERS)
        mean_intervals_ms[server] = min(40.0, max(4.0, mean_intervals_ms[server] * rng.lognormvariate(0, 0.03)))
        intervals_ms = [
            mean_intervals_ms[server]
            * rng.lognormvariate(0, kind.spread)
            * (rng.uniform(0.5, 1.5) * kind.long_factor if rng.random() < kind.long_share else 1.0)
            for _ in range(EVENTS)
        ]
        yield DrawnStream(server, intervals_ms, rng.randrange(1, EVENTS) if rng.random() < STALLED_SHARE else None)


@dataclass(frozen=True)
class RuleResult:
    """Results of a rule with one kind of server."""

    false_alarms: float  # per thousand healthy streams
    median_ms: float  # silence before a stall is detected
    tail_ms: float  # at the 99th percentile


class RuleEvaluation:
    """Evaluation of a rule with one kind of server."""

    def __init__(self, rule: Rule) -> None:
        """`rule`: an instance without training."""
        self.rule = rule
        self._healthy_streams = 0
        self._false_alarms = 0
        self._delays_ms: list[float] = []

    def run(self, kind: ServerKind, count: int) -> RuleResult:
        """Evaluates the rule on `count` streams."""
        for number, stream in enumerate(drawn_streams(kind, count, SEED)):
            self._evaluate(stream, counted=number > count * WARM_UP_SHARE)
        return RuleResult(
            1000 * self._false_alarms / self._healthy_streams,
            statistics.median(self._delays_ms),
            statistics.quantiles(self._delays_ms, n=100)[98],
        )

    def _evaluate(self, stream: DrawnStream, counted: bool) -> None:
        intervals_ms: deque[float] = deque(maxlen=MAX_INTERVALS)
        exploratory = self.rule.start_stream()
        false_alarm = False
        for number, interval_ms in enumerate(stream.intervals_ms):
            timeout_ms = DEFAULT_TIMEOUT_MS if exploratory else self.rule.idle_timeout_ms(stream.server, intervals_ms)
            if number == stream.stall_index:
                if counted:
                    self._delays_ms.append(timeout_ms)
                break
            if interval_ms > timeout_ms:
                false_alarm = True
                break
            intervals_ms.append(interval_ms)
            self.rule.record_interval(stream.server, interval_ms, exploratory)
        if stream.stall_index is None and counted:
            self._healthy_streams += 1
            self._false_alarms += false_alarm


def rules() -> dict[str, Callable[[], Rule]]:
    """Returns factories of rules by name; each kind of server gets a new instance."""
    factories: dict[str, Callable[[], Rule]] = {}
    for timeout_ms in (50, 100, 200, 500):
        factories[f"fixed {timeout_ms} ms"] = partial(FixedTimeout, timeout_ms)
    factories["fixed, half of 2 s idle timeout"] = partial(FixedTimeout, DEFAULT_TIMEOUT_MS)
    for phi in (3, 8, 16):
        factories[f"accrual, own stream, phi {phi}"] = partial(PhiAccrual, phi)
    for alarms in (1e-2, 1e-3, 1e-4):
        factories[f"fleet, {alarms:g} a stream"] = partial(
            ServerStallDetector, alarms, resume_ms=1e-6
        )  # without the lower bound
    for alarms in (1e-2, 1e-3):
        factories[f"fleet, {alarms:g}, at least a resume"] = partial(ServerStallDetector, alarms)
    return factories


def main() -> None:
    """Prints the results of all rules."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--streams", type=int, default=8000)
    count = parser.parse_args().streams
    print(f"{'false alarms per 1000 streams | silence before a stall is detected, ms: median, p99':<30}")
    print(f"{'rule':<34}" + "".join(f"{name:>30}" for name in SERVER_KINDS))
    for name, make in rules().items():
        columns = []
        for kind in SERVER_KINDS.values():
            result = RuleEvaluation(make()).run(kind, count)
            columns.append(f"{result.false_alarms:>10.2f} | {result.median_ms:>6.0f} {result.tail_ms:>6.0f}")
        print(f"{name:<34}" + "".join(f"{column:>30}" for column in columns))


if __name__ == "__main__":
    main()
