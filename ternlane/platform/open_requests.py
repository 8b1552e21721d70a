"""The open requests of a gateway as operators see them: by id, with their phase. Free of I/O."""

from __future__ import annotations

from dataclasses import asdict, dataclass
from enum import Enum
from typing import Any


class OpenRequestPhase(Enum):
    """The phases of a request without its complete answer."""

    QUEUED = "queued"  # no attempt is in flight
    CONNECTING = "connecting"  # an attempt waits for a connection, or for the release of an earlier attempt's state
    PREFILL = "prefill"  # written to a prefill server
    DECODE = "decode"  # written to a decode server, which has not sent its first event
    STREAMING = "streaming"  # the client has been sent the first event


@dataclass(slots=True, frozen=True)
class OpenRequest:
    """A request that has no complete answer yet. Times are milliseconds."""

    request_id: str
    phase: OpenRequestPhase
    age_ms: float  # since it was received
    left_ms: float  # until its client's deadline
    attempts: int
    server: str  # of the attempt in flight, "" for none
    after_sigterm_ms: float | None  # when it was received; None if before SIGTERM

    def as_fields(self) -> dict[str, Any]:
        """The fields of its log line."""
        return asdict(self) | {"phase": self.phase.value}
