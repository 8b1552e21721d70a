"""The protocol spoken with readers and writers, and the legs that speak it."""

from ternlane.engine.attempt import ClientGone, AttemptResult, AttemptPlan, prefill_attempt, release, stream_attempt
from ternlane.engine.protocol import Stage, Usage, load_of
from ternlane.engine.transport import (
    Kept,
    AttemptRequest,
    LocalEngine,
    LocalTransport,
    Refuses,
    SocketTransport,
    Transport,
    Unreached,
)

__all__ = [
    "Kept",
    "AttemptRequest",
    "LocalEngine",
    "LocalTransport",
    "Refuses",
    "SocketTransport",
    "Transport",
    "Unreached",
    "ClientGone",
    "AttemptResult",
    "AttemptPlan",
    "Stage",
    "Usage",
    "load_of",
    "prefill_attempt",
    "release",
    "stream_attempt",
]
