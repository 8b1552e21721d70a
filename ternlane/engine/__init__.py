"""The protocol spoken with readers and writers, and the legs that speak it."""

from ternlane.engine.leg import ClientGone, LegEnd, LegPlan, read_leg, release, stream_leg
from ternlane.engine.protocol import Stage, Usage, load_of
from ternlane.engine.transport import (
    Kept,
    LegAsk,
    LocalEngine,
    LocalTransport,
    Refuses,
    SocketTransport,
    Transport,
    Unreached,
)

__all__ = [
    "Kept",
    "LegAsk",
    "LocalEngine",
    "LocalTransport",
    "Refuses",
    "SocketTransport",
    "Transport",
    "Unreached",
    "ClientGone",
    "LegEnd",
    "LegPlan",
    "Stage",
    "Usage",
    "load_of",
    "read_leg",
    "release",
    "stream_leg",
]
