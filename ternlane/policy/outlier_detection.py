"""Outlier detection: when a server is ejected, for how long, and how it comes back.

A server is ejected when it can't be reached, when it breaks a connection, or when it makes far less progress than its
peers. After the ejection it is half-open: it is sent one attempt at a time, and comes back once one has succeeded in
twice the usual time. Each further ejection before that lasts twice as long. Progress is counted in attempts: what was
done against what peers would have done in the same time.
"""

from __future__ import annotations

from ternlane.policy.attempt import InFlightAttempt
from ternlane.policy.messages import AttemptOutcome

# A server below this part of its peers' median progress is an outlier. Slow or silent servers show no error.
MIN_PROGRESS = 0.4
# Attempts at the peers' pace that a server is credited with, so that one slow attempt ejects nobody.
PRIOR_ATTEMPTS = 4.0
# One attempt can be held against a server as this many missed ones at most.
MAX_MISSED_PER_ATTEMPT = 8.0
# Attempts that a failed connection or reset counts for. A server that fails fast has a short queue and would draw all
# requests. (Errors of the server itself are held against it by `failure_avoidance.py`.)
FAILURE_PENALTY_ATTEMPTS = 2.0
# A half-open server is back once an attempt took no more than this many usual times.
HALF_OPEN_MAX_USUAL_TIMES = 2.0
# Outcomes that show a server to work.
SUCCESSES = frozenset({AttemptOutcome.PREFILLED, AttemptOutcome.STREAMED})
# Outcomes that tell nothing of a server's health: its load, the request, its client or this gateway may be the cause.
INCONCLUSIVE = frozenset(
    {
        AttemptOutcome.TIMED_OUT,
        AttemptOutcome.ERROR,
        AttemptOutcome.OVERLOADED,
        AttemptOutcome.CANCELLED,
        AttemptOutcome.CLIENT_GONE,
        AttemptOutcome.NOT_STARTED,
    }
)


def health_sign(outcome: AttemptOutcome) -> bool | None:
    """Whether the outcome speaks for its server or against it; None: it says nothing."""
    if outcome in SUCCESSES:
        return True
    return None if outcome in INCONCLUSIVE else False


class OutlierDetector:
    """The progress, ejections and trial of one server. Times are milliseconds."""

    def __init__(self) -> None:
        self.attempts_done = 0.0
        self.attempts_expected = 0.0
        self.consecutive_failures = 0
        self.ejected_until = 0.0
        self.half_open = False

    def progress(self) -> float:
        """Attempts done for each that was expected; 1 is the peers' pace."""
        return (self.attempts_done + PRIOR_ATTEMPTS) / (self.attempts_expected + PRIOR_ATTEMPTS)

    def expect(self, attempt: InFlightAttempt, now: float) -> None:
        """Adds what the attempt should have got done by now at its peers' pace."""
        elapsed_ms = now - attempt.stage_started_at
        expected = min(elapsed_ms / max(attempt.usual_ms, 1.0), MAX_MISSED_PER_ATTEMPT)
        self.attempts_expected += expected - attempt.expected_progress
        attempt.expected_progress = expected

    def record(self, success: bool | None) -> None:
        """Counts the end of a stage; None tells nothing of the server."""
        if success:
            self.attempts_done += 1
        elif success is False:
            self.attempts_expected += FAILURE_PENALTY_ATTEMPTS

    def fade(self, part: float) -> None:
        """Keeps this part of what was counted, so that progress is that of the last seconds."""
        self.attempts_done *= part
        self.attempts_expected *= part

    def half_open_passed(self, attempt: InFlightAttempt, now: float) -> bool:
        """Whether an attempt that succeeded took little enough time to bring a half-open server back."""
        return self.half_open and now - attempt.stage_started_at <= HALF_OPEN_MAX_USUAL_TIMES * attempt.usual_ms

    def close(self) -> None:
        """The server is back."""
        self.half_open = False
        self.consecutive_failures = 0

    def eject(self, pause_ms: float, max_pause_ms: float, now: float) -> float | None:
        """Ejects the server for `pause_ms`, doubled for each ejection in a row before, `max_pause_ms` at most. Returns
        that time; None where it is ejected already."""
        if now < self.ejected_until:
            return None
        pause_ms = min(pause_ms * 2**self.consecutive_failures, max_pause_ms)
        self.consecutive_failures += 1
        self.ejected_until = now + pause_ms
        self.half_open = True
        self.attempts_done = 0.0
        self.attempts_expected = 0.0
        return pause_ms
