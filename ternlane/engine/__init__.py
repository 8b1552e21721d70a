"""The protocol spoken with readers and writers, and the legs that speak it."""

from ternlane.engine.attempt import ClientGone, AttemptResult, AttemptPlan, prefill_attempt, release, stream_attempt
from ternlane.engine.protocol import Stage, Usage, load_of
from ternlane.engine.transport import (
    PrefillResult,
    AttemptRequest,
    LocalEngine,
    LocalTransport,
    AttemptRejectedError,
    SocketTransport,
    Transport,
    EngineUnreachableError,
)

__all__ = [
    "PrefillResult",
    "AttemptRequest",
    "LocalEngine",
    "LocalTransport",
    "AttemptRejectedError",
    "SocketTransport",
    "Transport",
    "EngineUnreachableError",
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
