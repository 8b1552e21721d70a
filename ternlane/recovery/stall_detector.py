"""Decides when a silent stream has stalled, from how unlikely the silence is among all streams of the fleet.

Each server has a running median of the intervals between its pieces. How far intervals exceed that median is tracked
for all servers together, in a decaying histogram of ratios. Pauses that healthy decode servers make (a large prompt
joins the batch, a garbage collection, a preemption) are part of it and raise no alarm. Beyond the largest ratios seen,
the tail is extrapolated as a power law with Hill's estimator. Abandoning a stream costs a resume, so none is abandoned
before it has been silent for as long as a resume takes; the total delay is then at most twice that of an ideal
decision.

An abandoned stream does not show how long its silence would have lasted, so the histogram would lose the pauses that
the timeout cuts off. One stream in `EXPLORATION_PERIOD` therefore keeps the router's idle timeout, and its long
intervals are counted for the other streams as well.
"""

from __future__ import annotations

import zlib
from collections.abc import Hashable
from math import ceil, log, log2

BUCKETS_PER_OCTAVE = 8  # of ratio: adjacent buckets differ by 9 %
LOWEST_BUCKET = -6 * BUCKETS_PER_OCTAVE  # smaller ratios are irrelevant to stalls and share a bucket
BUCKETS = 22 * BUCKETS_PER_OCTAVE  # up to a ratio of 2**16
MEDIAN_STEP = 0.05  # relative step of the running median per interval
MIN_TAIL_SAMPLES = 32  # with fewer the estimate of the tail's slope is unstable
MIN_SAMPLES = 2000  # before the first timeout, and between two updates of it
EXPLORATION_PERIOD = 16  # streams; trades learning against streams that wait out a stall
DECAY_FACTOR = 1 / 4
MAX_TOTAL_WEIGHT = 200_000  # beyond it all buckets decay, so that changes of the fleet are followed


class StallDetector:
    """`false_alarms_per_stream`: the accepted rate of streams that are taken to have stalled and have not."""

    def __init__(self, false_alarms_per_stream: float, seed: int = 0) -> None:
        self.false_alarms_per_stream = false_alarms_per_stream
        self.seed = seed
        self.stream_count = 0
        self.bucket_weights = [0.0] * BUCKETS
        self.total_weight = 0.0
        self.median_intervals_ms: dict[Hashable, float] = {}
        self.mean_pieces = 32.0  # mean number of pieces per stream
        self.mean_first_piece_ms = 0.0  # mean time to the first piece: the assumed cost of a resume until one was seen
        self.mean_resume_ms = 0.0  # mean duration of a resume; 0 if unknown
        self.max_ratio = 0.0  # exceeded by the share `false_alarms_per_stream / mean_pieces` of all intervals
        self.intervals_since_update = 0

    def start_stream(self) -> bool:
        """Counts a new stream; true if it is an exploratory one, which keeps the router's idle timeout."""
        self.stream_count += 1
        return zlib.crc32(b"%d %d" % (self.seed, self.stream_count)) % EXPLORATION_PERIOD == 0

    def record_piece_interval(self, server: Hashable, interval_ms: float, exploratory: bool = False) -> None:
        """Records the interval between two pieces; `exploratory`: of a stream for which `start_stream` was true."""
        median_ms = self.median_intervals_ms.get(server)
        if median_ms is None:
            self.median_intervals_ms[server] = max(interval_ms, 0.01)
            return
        ratio = max(interval_ms, 1e-3) / median_ms
        self.median_intervals_ms[server] = median_ms * (1 + MEDIAN_STEP) if ratio > 1 else median_ms / (1 + MEDIAN_STEP)
        bucket = min(BUCKETS - 1, max(0, ceil(BUCKETS_PER_OCTAVE * log2(ratio)) - LOWEST_BUCKET))
        # Other streams would have been abandoned by now, so a long interval of an exploratory one counts for them too.
        weight = EXPLORATION_PERIOD if exploratory and self.max_ratio and ratio > self.max_ratio else 1
        self.bucket_weights[bucket] += weight
        self.total_weight += weight
        self.intervals_since_update += 1
        if self.total_weight > MAX_TOTAL_WEIGHT:
            self.bucket_weights = [bucket_weight * DECAY_FACTOR for bucket_weight in self.bucket_weights]
            self.total_weight *= DECAY_FACTOR

    def ended(self, pieces: int) -> None:
        """Records a completed stream."""
        self.mean_pieces += (pieces - self.mean_pieces) / 64

    def first_piece(self, took_ms: float) -> None:
        """Records the time from a request's arrival to its first piece."""
        self.mean_first_piece_ms += (took_ms - self.mean_first_piece_ms) / (64 if self.mean_first_piece_ms else 1)

    def resumed(self, took_ms: float) -> None:
        """Records the time from a break to the next piece."""
        self.mean_resume_ms = (
            took_ms if not self.mean_resume_ms else self.mean_resume_ms + (took_ms - self.mean_resume_ms) / 16
        )

    def remove_server(self, server: Hashable) -> None:
        """Drops a server that is no longer listed."""
        self.median_intervals_ms.pop(server, None)

    def idle_timeout_ms(self, server: Hashable) -> float | None:
        """How long a stream of this server may be silent; None until there are enough samples."""
        median_ms = self.median_intervals_ms.get(server)
        resume_cost_ms = self.mean_resume_ms or self.mean_first_piece_ms
        if median_ms is None or self.total_weight < MIN_SAMPLES or not resume_cost_ms:
            return None
        if self.intervals_since_update >= MIN_SAMPLES:
            self.intervals_since_update = 0
            self.max_ratio = self.ratio_exceeded_by(self.false_alarms_per_stream / max(self.mean_pieces, 1.0))
        elif not self.max_ratio:
            self.max_ratio = self.ratio_exceeded_by(self.false_alarms_per_stream / max(self.mean_pieces, 1.0))
        return max(median_ms * self.max_ratio, resume_cost_ms)

    def ratio_exceeded_by(self, share: float) -> float:
        """The ratio to the median that this share of all intervals exceeds."""
        wanted_weight = share * self.total_weight
        tail_weight = 0.0
        weighted_logs = summed_weight = 0.0  # of the buckets above the present one
        for i in range(BUCKETS - 1, -1, -1):
            weight = self.bucket_weights[i]
            if not weight:
                continue
            tail_weight += weight
            bucket_log2 = (i + LOWEST_BUCKET) / BUCKETS_PER_OCTAVE
            if tail_weight >= max(wanted_weight, MIN_TAIL_SAMPLES) or i == 0:
                if wanted_weight >= MIN_TAIL_SAMPLES:
                    return float(2.0**bucket_log2)
                # Mean excess, the inverse of the tail index.
                slope = weighted_logs / summed_weight - bucket_log2 if summed_weight else 0.0
                return float(
                    2.0 ** (bucket_log2 + max(slope, 1 / BUCKETS_PER_OCTAVE) * log(tail_weight / wanted_weight))
                )
            weighted_logs += weight * bucket_log2
            summed_weight += weight
        return float(2.0 ** ((BUCKETS + LOWEST_BUCKET) / BUCKETS_PER_OCTAVE))
