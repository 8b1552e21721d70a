"""What is open at a gateway, for the operators: each request by its id, with how far it has come. Free of I/O."""

from __future__ import annotations

from dataclasses import asdict, dataclass
from enum import Enum
from typing import Any


class OpenRequestPhase(Enum):
    """How far a request without its whole answer has come."""

    QUEUED = "queued"  # no attempt is out
    CONNECTING = "connecting"  # an attempt waits for a connection, or for what was held before to be released
    PREFILL = "prefill"  # written to a prefill server
    DECODE = "decode"  # written to a decode server, whose first event has not come
    STREAMING = "streaming"  # its client has the first event


@dataclass(slots=True, frozen=True)
class OpenRequest:
    """One request that has no whole answer yet. Times are milliseconds."""

    request_id: str
    phase: OpenRequestPhase
    age_ms: float  # since it was received
    left_ms: float  # until its client's deadline
    attempts: int
    server: str  # of the attempt that is out, "" for none
    after_sigterm_ms: float | None  # when it was received; None: before

    def as_fields(self) -> dict[str, Any]:
        """For a line of the log."""
        return asdict(self) | {"phase": self.phase.value}
