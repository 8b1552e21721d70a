"""HTTP/1.1 over trio streams by h11, and server-sent events: what doors, legs, registry and stand-ins share."""
from ternlane.http1.caller import Caller, Pool, Unconnected
from ternlane.http1.events import EventReader, event_bytes
from ternlane.http1.sending import keep_open
from ternlane.http1.server import BadRequest, Exchange, serve_connection

__all__ = ["BadRequest", "Caller", "EventReader", "Exchange", "Pool", "Unconnected", "event_bytes", "keep_open",
           "serve_connection"]
