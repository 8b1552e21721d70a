"""Attempts at model servers: the request, its form on the wire, and the result."""

from ternlane.engine.attempt import AttemptPlan, AttemptRequest, AttemptResult, Stage, TextSink
from ternlane.engine.errors import (
    AttemptNotStartedError,
    AttemptRejectedError,
    ClientGone,
    EngineError,
    EngineUnreachableError,
    UnsupportedAttemptError,
)
from ternlane.engine.local_engine import LocalEngine, PrefillResult
from ternlane.engine.local_transport import LocalTransport
from ternlane.engine.messages import Usage, cached_tokens
from ternlane.engine.socket_transport import SocketTransport
from ternlane.engine.transport import Transport

__all__ = [
    "AttemptNotStartedError",
    "AttemptPlan",
    "AttemptRejectedError",
    "AttemptRequest",
    "AttemptResult",
    "ClientGone",
    "EngineError",
    "EngineUnreachableError",
    "LocalEngine",
    "LocalTransport",
    "PrefillResult",
    "SocketTransport",
    "Stage",
    "TextSink",
    "Transport",
    "UnsupportedAttemptError",
    "Usage",
    "cached_tokens",
]
