"""Outlier detection: when and for how long a server is ejected, and how it is readmitted.

A server is ejected if it can't be reached, breaks a connection, or makes far less progress than its peers. After the
ejection it is half-open: it is sent one attempt at a time, and is readmitted once an attempt has succeeded within twice
the usual time. Each further ejection before that lasts twice as long. Progress is the number of completed stages
relative to the number that peers would have completed in the same time.
"""

from __future__ import annotations

from ternlane.policy.attempt import InFlightAttempt
from ternlane.policy.messages import AttemptOutcome

# A server whose progress is below this share of its peers' median is an outlier. This detects slow and silent servers,
# which cause no errors.
MIN_PROGRESS = 0.4
# Added to both counts of a server, so that one slow attempt does not eject it.
PRIOR_ATTEMPTS = 4.0
# Upper bound of the number of expected stages counted for a single attempt.
MAX_MISSED_PER_ATTEMPT = 8.0
# Expected stages added for a failed connection or a reset. Otherwise a server that fails fast would have a short queue
# and attract all requests. (`failure_avoidance.py` handles error responses.)
FAILURE_PENALTY_ATTEMPTS = 2.0
# A half-open server is readmitted after an attempt that took at most this many usual times.
HALF_OPEN_MAX_USUAL_TIMES = 2.0
# Outcomes that show that a server works.
SUCCESSES = frozenset({AttemptOutcome.PREFILLED, AttemptOutcome.STREAMED})
# Outcomes that give no information about the health of a server: the cause may be its load, the request, the client or
# this gateway.
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
    """Whether the outcome is a sign that its server is healthy (True) or unhealthy (False); None if neither."""
    if outcome in SUCCESSES:
        return True
    return None if outcome in INCONCLUSIVE else False


class OutlierDetector:
    """The progress, ejections and half-open state of one server. Times are milliseconds."""

    def __init__(self) -> None:
        self.attempts_done = 0.0
        self.attempts_expected = 0.0
        self.consecutive_failures = 0
        self.ejected_until = 0.0
        self.half_open = False

    def progress(self) -> float:
        """Ratio of completed to expected stages; 1 is the pace of the peers."""
        return (self.attempts_done + PRIOR_ATTEMPTS) / (self.attempts_expected + PRIOR_ATTEMPTS)

    def expect(self, attempt: InFlightAttempt, now: float) -> None:
        """Adds the part of the current stage that peers would have completed by now."""
        elapsed_ms = now - attempt.stage_started_at
        expected = min(elapsed_ms / max(attempt.usual_ms, 1.0), MAX_MISSED_PER_ATTEMPT)
        self.attempts_expected += expected - attempt.expected_progress
        attempt.expected_progress = expected

    def record(self, success: bool | None) -> None:
        """Counts the end of a stage; None gives no information about the server."""
        if success:
            self.attempts_done += 1
        elif success is False:
            self.attempts_expected += FAILURE_PENALTY_ATTEMPTS

    def decay(self, factor: float) -> None:
        """Multiplies the counts by `factor`, so that progress covers only recent attempts."""
        self.attempts_done *= factor
        self.attempts_expected *= factor

    def half_open_passed(self, attempt: InFlightAttempt, now: float) -> bool:
        """Whether the server is half-open and this successful attempt was fast enough to readmit it."""
        return self.half_open and now - attempt.stage_started_at <= HALF_OPEN_MAX_USUAL_TIMES * attempt.usual_ms

    def close(self) -> None:
        """Readmits the server."""
        self.half_open = False
        self.consecutive_failures = 0

    def eject(self, pause_ms: float, max_pause_ms: float, now: float) -> float | None:
        """Ejects the server for `pause_ms`, doubled for each consecutive ejection before, up to `max_pause_ms`. Returns
        the duration, or None if the server is ejected already."""
        if now < self.ejected_until:
            return None
        pause_ms = min(pause_ms * 2**self.consecutive_failures, max_pause_ms)
        self.consecutive_failures += 1
        self.ejected_until = now + pause_ms
        self.half_open = True
        self.attempts_done = 0.0
        self.attempts_expected = 0.0
        return pause_ms
