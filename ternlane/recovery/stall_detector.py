"""When a silent stream has stalled: by how unlikely the silence is among its peers, never sooner than a resume pays.

A server's own pace is a running median of the waits between its pieces. How much longer than that a wait may be is
learnt from all servers together, as a histogram of ratios that fades. Pauses that decode servers do make (a big prompt
joins the batch, a garbage collection, a preemption) are in it, so they raise no alarm. Beyond what was seen its tail is
carried on as a power law by Hill's estimate. And since giving up costs a resume, no stream is given up before it has
been silent for as long as one takes: whatever then turns out, it has cost at most twice the best.

A stream that is given up never shows how long it would have been silent, so the rule would unlearn the pauses that it
cuts off. One stream in `EXPLORED_ONE_IN` is therefore left to the decisions' own bound, and its longer waits count for
the others.
"""

from __future__ import annotations

import zlib
from collections.abc import Hashable
from math import ceil, log, log2

BUCKETS_PER_OCTAVE = 8  # of the histogram of ratios: neighbours differ by a tenth
LOWEST_BUCKET = -6 * BUCKETS_PER_OCTAVE  # ratios below 2**-6 are all alike: no stall begins there
BUCKETS = 22 * BUCKETS_PER_OCTAVE  # up to ratios of 2**16
MEDIAN_STEP = 0.05  # by which each wait moves the running median, relative
TAIL_WAITS = 32  # that the tail's slope is taken from: fewer give no steady estimate
MIN_WAITS = 2000  # before anything is said, and between two looks at the tail
EXPLORED_ONE_IN = 16  # streams: enough to go on learning, few enough to wait for
FADE_SHARE = 1 / 4  # what stays of the histogram when it is full
MAX_WEIGHT = 200_000  # of the histogram: older waits fade, as fleets change


class StallDetector:
    """`alarms`: how many false ones there may be a stream. All times in ms."""

    def __init__(self, alarms: float, seed: int = 0) -> None:
        self.alarms = alarms
        self.seed = seed
        self.turn = 0
        self.counts = [0.0] * BUCKETS
        self.total = 0.0
        self.paces: dict[Hashable, float] = {}
        self.tokens = 32.0  # pieces a stream, mean
        self.first_ms = 0.0  # arrival to first piece, mean: what a resume is taken to cost until one was seen
        self.resume_ms = 0.0  # what a resume takes, mean; 0: not known
        self.longest_ratio = 0.0  # that is passed by a part `alarms / tokens` of waits
        self.stale = 0

    def explores(self) -> bool:
        """Whether the next stream is one of those that are never given up early."""
        self.turn += 1
        return zlib.crc32(b"%d %d" % (self.seed, self.turn)) % EXPLORED_ONE_IN == 0

    def record_piece_interval(self, server: Hashable, wait_ms: float, explored: bool = False) -> None:
        """A piece came `wait_ms` after the one before; `explored`: in a stream that `explores` had chosen."""
        pace = self.paces.get(server)
        if pace is None:
            self.paces[server] = max(wait_ms, 0.01)
            return
        ratio = max(wait_ms, 1e-3) / pace
        self.paces[server] = pace * (1 + MEDIAN_STEP) if ratio > 1 else pace / (1 + MEDIAN_STEP)
        bucket = min(BUCKETS - 1, max(0, ceil(BUCKETS_PER_OCTAVE * log2(ratio)) - LOWEST_BUCKET))
        weight = EXPLORED_ONE_IN if explored and self.longest_ratio and ratio > self.longest_ratio else 1
        self.counts[bucket] += weight
        self.total += weight
        self.stale += 1
        if self.total > MAX_WEIGHT:
            self.counts = [n * FADE_SHARE for n in self.counts]
            self.total *= FADE_SHARE

    def ended(self, pieces: int) -> None:
        """A stream came to its end with so many pieces."""
        self.tokens += (pieces - self.tokens) / 64

    def first_piece(self, took_ms: float) -> None:
        """A stream's first piece, since its arrival."""
        self.first_ms += (took_ms - self.first_ms) / (64 if self.first_ms else 1)

    def resumed(self, took_ms: float) -> None:
        """From a loss to the next piece."""
        self.resume_ms = took_ms if not self.resume_ms else self.resume_ms + (took_ms - self.resume_ms) / 16

    def forget(self, server: Hashable) -> None:
        """A server is no longer listed."""
        self.paces.pop(server, None)

    def idle_timeout_ms(self, server: Hashable) -> float | None:
        """How long a stream of this server may be silent; None while too little is known."""
        pace = self.paces.get(server)
        cost = self.resume_ms or self.first_ms
        if pace is None or self.total < MIN_WAITS or not cost:
            return None
        if self.stale >= MIN_WAITS:
            self.stale = 0
            self.longest_ratio = self.passed_by(self.alarms / max(self.tokens, 1.0))
        elif not self.longest_ratio:
            self.longest_ratio = self.passed_by(self.alarms / max(self.tokens, 1.0))
        return max(pace * self.longest_ratio, cost)

    def passed_by(self, part: float) -> float:
        """The ratio that only this part of waits passes."""
        want = part * self.total
        seen = 0.0
        logs = seen_logs = 0.0  # of the tail
        for i in range(BUCKETS - 1, -1, -1):
            n = self.counts[i]
            if not n:
                continue
            seen += n
            top = (i + LOWEST_BUCKET) / BUCKETS_PER_OCTAVE
            if seen >= max(want, TAIL_WAITS) or i == 0:
                if want >= TAIL_WAITS:
                    return float(2.0**top)
                slope = logs / seen_logs - top if seen_logs else 0.0  # mean excess: 1 / index
                return float(2.0 ** (top + max(slope, 1 / BUCKETS_PER_OCTAVE) * log(seen / want)))
            logs += n * top
            seen_logs += n
        return float(2.0 ** ((BUCKETS + LOWEST_BUCKET) / BUCKETS_PER_OCTAVE))
