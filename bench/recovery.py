"""Rules for seeing that a stream has stalled, side by side: false alarms against the delay of seeing a true one.

    python -m bench.recovery [--streams 8000]

Waits between events are drawn for decode servers of three kinds, each server with a pace of its own that drifts; every
rule hears the same streams. One stream in fifty stalls at a random event. A rule is judged by streams given up that
were sound, a thousand, and by the silence before it gave up those that had stalled. A resume takes 150 ms.
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
EVENTS = 48  # of a stream
RESUME_MS = 150.0
STALLED_SHARE = 0.02
PATIENCE_MS = 1000.0  # where a rule says nothing
LEARNING_SHARE = 1 / 5  # of the streams: they teach, and are not judged
SEED = 11
REMEMBERED_WAITS = 30
LEAST_WAITS = 4  # before accrual judges
BISECTIONS = 14


class ServerKind(NamedTuple):
    """How waits of a server spread, and which part of them is so many times longer."""

    spread: float
    long_share: float
    long_times: float


SERVER_KINDS = {
    "steady": ServerKind(0.25, 0.0, 0.0),
    "batches": ServerKind(0.4, 0.02, 6.0),
    "pauses": ServerKind(0.5, 0.004, 30.0),
}


@dataclass(frozen=True)
class DrawnStream:
    """One stream."""

    server: int
    waits_ms: list[float]
    stalls_at: int | None  # after which of them it stalls


class Rule(Protocol):
    """Says how long a silence may last."""

    def idle_timeout_ms(self, server: int, waits_ms: deque[float]) -> float:
        """`waits_ms`: the last of this stream."""
        ...

    def start_stream(self) -> bool:
        """Whether the next stream is left alone, to learn from it."""
        ...

    def heard(self, server: int, wait_ms: float, explored: bool) -> None:
        """Learns from a wait."""


class Unlearning:
    """A rule that does not learn."""

    def start_stream(self) -> bool:
        """Never."""
        return False

    def heard(self, server: int, wait_ms: float, explored: bool) -> None:
        """Learns nothing."""


class Fixed(Unlearning):
    """The same time for every stream."""

    def __init__(self, timeout_ms: float) -> None:
        """`timeout_ms`: that time."""
        self.timeout_ms = timeout_ms

    def idle_timeout_ms(self, server: int, waits_ms: deque[float]) -> float:
        """The fixed time."""
        return self.timeout_ms


class Accrual(Unlearning):
    """Phi-accrual over the stream's own last waits, taken as normal (Hayashibara and others, 2004)."""

    def __init__(self, phi: float) -> None:
        """A silence has lasted too long where the chance of a longer wait is below `10 ** -phi`."""
        self.phi = phi

    def idle_timeout_ms(self, server: int, waits_ms: deque[float]) -> float:
        """By the mean and the deviation of the waits."""
        if len(waits_ms) < LEAST_WAITS:
            return PATIENCE_MS
        deviation_ms = max(statistics.pstdev(waits_ms), 0.1)
        return statistics.fmean(waits_ms) + self._deviations() * deviation_ms

    def _deviations(self) -> float:
        """At which -log10 of the chance of a longer wait is phi, by bisection."""
        low = 0.0
        high = 60.0
        for _ in range(BISECTIONS):
            middle = (low + high) / 2
            chance = 0.5 * erfc(middle / sqrt(2))
            if chance > 0 and -log10(chance) < self.phi:
                low = middle
            else:
                high = middle
        return high


class Peers:
    """What the gateway does: by the waits of all streams of the server."""

    def __init__(self, alarms: float, resume_ms: float = RESUME_MS) -> None:
        """`alarms`: false ones that a stream may have; `resume_ms`: what a resume costs."""
        self.pacing = StallDetector(alarms)
        self.pacing.mean_pieces = EVENTS
        self.pacing.resumed(RESUME_MS)
        if resume_ms != RESUME_MS:
            self.pacing.mean_resume_ms = resume_ms

    def idle_timeout_ms(self, server: int, waits_ms: deque[float]) -> float:
        """By the server's distribution, once it is known."""
        return self.pacing.idle_timeout_ms(server) or PATIENCE_MS

    def start_stream(self) -> bool:
        """Now and then."""
        return self.pacing.start_stream()

    def heard(self, server: int, wait_ms: float, explored: bool) -> None:
        """Learns from every wait."""
        self.pacing.record_piece_interval(server, wait_ms, explored)


def drawn_streams(kind: ServerKind, count: int, seed: int) -> Iterator[DrawnStream]:
    """The same for the same seed."""
    rng = random.Random(seed)
    paces_ms = [8.0 * 2 ** rng.uniform(-1, 1) for _ in range(SERVERS)]
    for _ in range(count):
        server = rng.randrange(SERVERS)
        paces_ms[server] = min(40.0, max(4.0, paces_ms[server] * rng.lognormvariate(0, 0.03)))
        waits_ms = [
            paces_ms[server]
            * rng.lognormvariate(0, kind.spread)
            * (rng.uniform(0.5, 1.5) * kind.long_times if rng.random() < kind.long_share else 1.0)
            for _ in range(EVENTS)
        ]
        yield DrawnStream(server, waits_ms, rng.randrange(1, EVENTS) if rng.random() < STALLED_SHARE else None)


@dataclass(frozen=True)
class Judgement:
    """Of one rule on the streams of one kind."""

    false_alarms: float  # a thousand sound streams
    median_ms: float  # silence before a stall was seen
    tail_ms: float  # at the 99th percentile


class RulePlay:
    """One rule on the streams of one kind."""

    def __init__(self, rule: Rule) -> None:
        """`rule`: a new one, if it learns."""
        self.rule = rule
        self._sound = 0
        self._given_up = 0
        self._delays_ms: list[float] = []

    def run(self, kind: ServerKind, count: int) -> Judgement:
        """Plays so many streams."""
        for number, stream in enumerate(drawn_streams(kind, count, SEED)):
            self._play(stream, judged=number > count * LEARNING_SHARE)
        return Judgement(
            1000 * self._given_up / self._sound,
            statistics.median(self._delays_ms),
            statistics.quantiles(self._delays_ms, n=100)[98],
        )

    def _play(self, stream: DrawnStream, judged: bool) -> None:
        waits_ms: deque[float] = deque(maxlen=REMEMBERED_WAITS)
        explored = self.rule.start_stream()
        given_up = False
        for number, wait_ms in enumerate(stream.waits_ms):
            timeout_ms = PATIENCE_MS if explored else self.rule.idle_timeout_ms(stream.server, waits_ms)
            if number == stream.stalls_at:
                if judged:
                    self._delays_ms.append(timeout_ms)
                break
            if wait_ms > timeout_ms:
                given_up = True
                break
            waits_ms.append(wait_ms)
            self.rule.heard(stream.server, wait_ms, explored)
        if stream.stalls_at is None and judged:
            self._sound += 1
            self._given_up += given_up


def rules() -> dict[str, Callable[[], Rule]]:
    """By name; each is made anew for each kind of server."""
    found: dict[str, Callable[[], Rule]] = {}
    for timeout_ms in (50, 100, 200, 500):
        found[f"fixed {timeout_ms} ms"] = partial(Fixed, timeout_ms)
    found["module's: half the patience of 2 s"] = partial(Fixed, PATIENCE_MS)
    for phi in (3, 8, 16):
        found[f"accrual, own stream, phi {phi}"] = partial(Accrual, phi)
    for alarms in (1e-2, 1e-3, 1e-4):
        found[f"peers, {alarms:g} a stream"] = partial(Peers, alarms, resume_ms=1e-6)  # by likelihood alone
    for alarms in (1e-2, 1e-3):
        found[f"peers, {alarms:g}, never under a resume"] = partial(Peers, alarms)
    return found


def main() -> None:
    """Reads the command line and prints all figures."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--streams", type=int, default=8000)
    count = parser.parse_args().streams
    print(f"{'false alarms a 1000 streams | silence before a stall is seen, ms: median, p99':<30}")
    print(f"{'rule':<34}" + "".join(f"{name:>30}" for name in SERVER_KINDS))
    for name, make in rules().items():
        columns = []
        for kind in SERVER_KINDS.values():
            judgement = RulePlay(make()).run(kind, count)
            columns.append(f"{judgement.false_alarms:>10.2f} | {judgement.median_ms:>6.0f} {judgement.tail_ms:>6.0f}")
        print(f"{name:<34}" + "".join(f"{column:>30}" for column in columns))


if __name__ == "__main__":
    main()
