"""Rules for seeing that a stream has stalled, side by side: false alarms against the delay of seeing a true one.

    python -m bench.recovery [--streams 8000]

Waits between pieces are drawn for writers of three tempers, each with paces of its own that drift; every rule hears the
same streams. One stream in fifty stalls at a random piece. A rule is judged by streams given up that were well, a
thousand, and by the silence before it gave up those that had stalled. A resume takes 150 ms.
"""

from __future__ import annotations

import argparse
import random
import statistics
from collections import deque
from collections.abc import Callable, Iterator
from functools import partial
from math import erfc, log10, sqrt

from ternlane.recovery import StreamPacing

SERVERS, TOKENS, RESUME_MS, STALLS = 24, 48, 150.0, 0.02
TEMPERS = {"steady": (0.25, 0.0, 0.0), "batches": (0.4, 0.02, 6.0), "pauses": (0.5, 0.004, 30.0)}
Rule = Callable[[int, deque[float]], float]


def streams(temper: str, many: int, seed: int) -> Iterator[tuple[int, list[float], int | None]]:
    """Server, waits, and after which of them it stalls."""
    spread, part, times = TEMPERS[temper]
    rng = random.Random(seed)
    paces = [8.0 * 2 ** rng.uniform(-1, 1) for _ in range(SERVERS)]
    for _ in range(many):
        server = rng.randrange(SERVERS)
        paces[server] = min(40.0, max(4.0, paces[server] * rng.lognormvariate(0, 0.03)))
        waits = [
            paces[server]
            * rng.lognormvariate(0, spread)
            * (rng.uniform(0.5, 1.5) * times if rng.random() < part else 1.0)
            for _ in range(TOKENS)
        ]
        yield server, waits, rng.randrange(1, TOKENS) if rng.random() < STALLS else None


def fixed(ms: float) -> Rule:
    return lambda server, seen: ms


def accrual(phi: float) -> Rule:
    """Phi-accrual over the stream's own last 30 waits, taken as normal (Hayashibara and others, 2004)."""

    def quiet(server: int, seen: deque[float]) -> float:
        if len(seen) < 4:
            return 1000.0
        mean, dev = statistics.fmean(seen), max(statistics.pstdev(seen), 0.1)
        low, high = 0.0, 60.0
        for _ in range(14):  # deviations at which -log10 of the chance of a longer wait is phi
            mid = (low + high) / 2
            late = 0.5 * erfc(mid / sqrt(2))
            low, high = (mid, high) if late > 0 and -log10(late) < phi else (low, mid)
        return mean + high * dev

    return quiet


def plain(make: Callable[[float], Rule], figure: float) -> tuple[Rule, StreamPacing | None]:
    return make(figure), None


def play(temper: str, many: int, rule: Rule, learn: StreamPacing | None = None) -> tuple[float, float, float]:
    """False alarms a thousand streams that were well, median and 99th percentile of the silence seen as a stall."""
    well = wrong = 0
    delays = []
    for i, (server, waits, stalls_at) in enumerate(streams(temper, many, 11)):
        seen: deque[float] = deque(maxlen=30)
        judged, given_up = i > many // 5, False  # the first fifth teaches
        explored = learn is not None and learn.explores()
        for n, wait in enumerate(waits):
            quiet = 1000.0 if explored else rule(server, seen)
            if n == stalls_at:
                if judged:
                    delays.append(quiet)
                break
            if wait > quiet:
                given_up = True
                break
            seen.append(wait)
            if learn is not None:
                learn.piece_after(server, wait, explored)
        if stalls_at is None and judged:
            well, wrong = well + 1, wrong + given_up
    return 1000 * wrong / well, statistics.median(delays), statistics.quantiles(delays, n=100)[98]


def main() -> None:
    args = argparse.ArgumentParser()
    args.add_argument("--streams", type=int, default=8000)
    many = args.parse_args().streams
    print(f"{'false alarms a 1000 streams | silence before a stall is seen, ms: median, p99':<30}")
    print(f"{'rule':<34}" + "".join(f"{t:>30}" for t in TEMPERS))
    rules: list[tuple[str, Callable[[], tuple[Rule, StreamPacing | None]]]] = [
        *((f"fixed {ms} ms", partial(plain, fixed, ms)) for ms in (50, 100, 200, 500)),
        ("module's: half the patience of 2 s", partial(plain, fixed, 1000)),
        *((f"accrual, own stream, phi {phi}", partial(plain, accrual, phi)) for phi in (3, 8, 16)),
    ]

    def learnt(alarms: float) -> tuple[Rule, StreamPacing | None]:
        stream_pacing = StreamPacing(alarms)
        stream_pacing.tokens = TOKENS
        stream_pacing.resumed(RESUME_MS)
        return (lambda server, seen: stream_pacing.idle_timeout_ms(server) or 1000.0), stream_pacing

    def unlikely(alarms: float) -> tuple[Rule, StreamPacing | None]:
        rule, stream_pacing = learnt(alarms)
        assert stream_pacing is not None
        stream_pacing.resume_ms = 1e-6  # by likelihood alone
        return rule, stream_pacing

    rules += [(f"peers, {a:g} a stream", partial(unlikely, a)) for a in (1e-2, 1e-3, 1e-4)]
    rules += [(f"peers, {a:g}, never under a resume", partial(learnt, a)) for a in (1e-2, 1e-3)]
    for name, make in rules:
        out = []
        for temper in TEMPERS:
            rule, learn = make()
            wrong, mid, high = play(temper, many, rule, learn)
            out.append(f"{wrong:>10.2f} | {mid:>6.0f} {high:>6.0f}")
        print(f"{name:<34}" + "".join(f"{o:>30}" for o in out))


if __name__ == "__main__":
    main()
