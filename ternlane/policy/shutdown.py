"""What a gateway may still take once it is told to end, and by when every request must have its final answer.

The process may be killed some time after the signal. How long a request takes can only be estimated, and half of all
requests take longer than the usual one, so an estimate may decide what is worth beginning but never what is owed. Two
limits hold whatever the estimates say:

- A request that arrives so late that the kill could come before it has had all of its time is rejected at once.
  Another gateway may serve it, and a stream that is begun can't be taken back.
- A request that has no first token shortly before the kill is given its final answer then, whatever is out for it.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import inf

from ternlane.policy.lease import RELEASE_RESERVE
from ternlane.policy.messages import ShutdownTimes

# A gateway may be held up for so long between looking at its clock and acting (users' page): the signal may be seen so
# much too late, and an answer may leave so much after its time.
STALL_MS = 150.0


def shutdown_times(
    longest_deadline_ms: float, grace_ms: float, release_ms: float, since_signal_ms: float
) -> ShutdownTimes:
    """For a process that may be killed `longest_deadline_ms` and `grace_ms` after its signal, which has come
    `since_signal_ms` ago. The last answers leave time for one stall and for releasing what their attempts held."""
    ends_ms = longest_deadline_ms + grace_ms - since_signal_ms
    reserve_ms = min(2 * STALL_MS + RELEASE_RESERVE * release_ms, (longest_deadline_ms + grace_ms) / 2)
    return ShutdownTimes(max(0.0, grace_ms - STALL_MS) - since_signal_ms, ends_ms - reserve_ms, ends_ms)


@dataclass(slots=True)
class ShutdownSchedule:
    """The same on the decisions' clock; infinite while the gateway is not told to end."""

    admits_until: float = inf
    answers_by: float = inf
    ends_at: float = inf

    def begin(self, now: float, times: ShutdownTimes) -> None:
        """Starts the shutdown. Told again, the earlier limits hold."""
        self.admits_until = min(self.admits_until, now + times.admits_ms)
        self.answers_by = min(self.answers_by, now + times.answers_ms)
        self.ends_at = min(self.ends_at, now + times.ends_ms)
