"""An attempt: one try of a request at one model server."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from ternlane.policy.messages import Request, Server


class Stage(StrEnum):
    """The event that an attempt is waiting for. Each stage has its own usual time."""

    PREFILL = "prefill"  # the end of the prefill
    FIRST_TOKEN = "first token"  # the first token of the answer
    STREAM = "stream"  # the end of the answer


@dataclass(slots=True, eq=False)
class InFlightAttempt:
    """An attempt in flight. Times are milliseconds."""

    server: Server
    request: Request
    decodes: bool  # the server generates the answer, rather than only the prefill
    started_at: float
    stage_started_at: float
    usual_ms: float  # the usual time of the current stage
    prefill_work_ms: float  # time that its prefill takes, without the wait in the queue
    expected_ms: float = 0.0  # expected time of the prefill, including the queue ahead of it
    needs_connection: bool = False  # this gateway had no open connection to the server
    expected_progress: float = 0.0  # part of the stage already counted as expected from the server
    overtaken: bool = False  # cancelled, as its answer was lost: a later prefill at the server has ended
