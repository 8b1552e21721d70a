"""Graceful shutdown: until when requests are admitted, and by when every request gets its final answer.

The process may be killed some time after the signal. The time of a request can only be estimated, and about half of all
requests take longer than the usual time. So estimates may decide which work to start, but two limits do not depend on
them:

- A request that arrives so late that the process may be killed before its deadline is rejected at once. Another gateway
  can serve it, whereas a stream that has started cannot be moved.
- A request without a first token shortly before the kill gets its final answer then, even if an attempt is in flight.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import inf

from ternlane.policy.lease import RELEASE_RESERVE
from ternlane.policy.messages import ShutdownTimes

# A gateway may stall this long between reading its clock and acting (`docs/platform.md`), so that it handles the
# signal, or sends an answer, this much too late.
STALL_MS = 150.0


def shutdown_times(
    longest_deadline_ms: float, grace_ms: float, release_ms: float, since_signal_ms: float
) -> ShutdownTimes:
    """The limits, in milliseconds from now, for a process that received its signal `since_signal_ms` ago and may be
    killed `longest_deadline_ms` plus `grace_ms` after it; a limit that has passed is negative. The last answers leave
    time for a stall before and after them, and for releasing the state that their attempts held."""
    ends_ms = longest_deadline_ms + grace_ms - since_signal_ms
    # at most half of the time between signal and kill
    reserve_ms = min(2 * STALL_MS + RELEASE_RESERVE * release_ms, (longest_deadline_ms + grace_ms) / 2)
    # admits_ms, answers_ms, ends_ms
    return ShutdownTimes(max(0.0, grace_ms - STALL_MS) - since_signal_ms, ends_ms - reserve_ms, ends_ms)


@dataclass(slots=True)
class ShutdownSchedule:
    """The limits of a shutdown on the router's clock; infinite before a shutdown."""

    admits_until: float = inf
    answers_by: float = inf
    ends_at: float = inf

    def begin(self, now: float, times: ShutdownTimes) -> None:
        """Starts the shutdown. If repeated, the earlier of each limit applies."""
        self.admits_until = min(self.admits_until, now + times.admits_ms)
        self.answers_by = min(self.answers_by, now + times.answers_ms)
        self.ends_at = min(self.ends_at, now + times.ends_ms)
