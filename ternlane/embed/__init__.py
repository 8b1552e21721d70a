"""Routing inside a program: no door, no daemon, and with a transport of the caller's no socket either."""

from ternlane.embed.blocking import Blocking, Bridged
from ternlane.embed.routing import Routing, Stream, TerminatedError, ThrottledError, open_routing

__all__ = ["Blocking", "Bridged", "Routing", "Stream", "TerminatedError", "ThrottledError", "open_routing"]
