"""One attempt to have a model server work for a request."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from ternlane.policy.messages import Request, Server


class Stage(StrEnum):
    """What an attempt waits for. Each stage has a usual time of its own."""

    PREFILL = "prefill"  # the end of the prefill
    FIRST_TOKEN = "first token"  # the first token of the answer
    STREAM = "stream"  # the end of the answer


@dataclass(slots=True, eq=False)
class InFlightAttempt:
    """An attempt that is out. Times are milliseconds."""

    server: Server
    request: Request
    decodes: bool  # its server is to answer, not only to prefill
    started_at: float
    stage_started_at: float
    usual_ms: float  # what its peers take for the present stage
    prefill_work_ms: float  # prefill that its server has to do for it
    expected_ms: float = 0.0  # how long a prefill was expected to take, the queue before it included
    needs_connection: bool = False  # this gateway had no connection to the server
    expected_progress: float = 0.0  # part of the stage that the server has been debited with so far
    overtaken: bool = False  # its answer will not come; it has been cancelled
