"""Routing inside a program, without an HTTP server or a daemon; with the caller's own transport without sockets."""

from ternlane.embed.blocking import Blocking, Bridged
from ternlane.embed.routing import FailedError, RejectedError, Routing, Stream, open_routing

__all__ = ["Blocking", "Bridged", "Routing", "Stream", "FailedError", "RejectedError", "open_routing"]
