"""The protocol spoken with readers and writers, and the legs that speak it."""
from ternlane.engine.leg import LegEnd, LegPlan, read_leg, release, stream_leg
from ternlane.engine.protocol import Stage, load_of
from ternlane.engine.transport import (Kept, LegAsk, LocalEngine, LocalTransport, Refuses, SocketTransport, Transport,
                                       Unreached)

__all__ = ["Kept", "LegAsk", "LocalEngine", "LocalTransport", "Refuses", "SocketTransport", "Transport", "Unreached",
           "LegEnd", "LegPlan", "Stage", "load_of", "read_leg", "release", "stream_leg"]
