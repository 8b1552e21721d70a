"""Names of attempt outcomes outside this program: in bodies of answers, metrics, logs and stored records.

Users' programs and dashboards depend on them, so they are independent of the names in the code.
"""

from __future__ import annotations

from ternlane.policy.messages import AttemptOutcome

OUTCOME_NAMES = {
    AttemptOutcome.STREAMED: "STREAMED",
    AttemptOutcome.ERROR: "ERROR",
    AttemptOutcome.OVERLOADED: "FULL",
    AttemptOutcome.TIMED_OUT: "TIMED_OUT",
    AttemptOutcome.CONNECT_FAILED: "UNCONNECTED",
    AttemptOutcome.RESET: "RESET",
    AttemptOutcome.CANCELLED: "CALLED_OFF",
    AttemptOutcome.CLIENT_GONE: "MOOT",
    AttemptOutcome.NOT_STARTED: "WITHHELD",
    AttemptOutcome.PREFILLED: "READ",
}
