"""HTTP/1.1 over trio streams by h11, and server-sent events: what fronts, attempts, registry and stand-ins share."""

from ternlane.http1.client_connection import ClientConnection, ConnectionPool, ReadTimeout, ConnectError
from ternlane.http1.events import EventReader, event_bytes
from ternlane.http1.exchange import BadRequest, Exchange
from ternlane.http1.nonblocking import keep_open
from ternlane.http1.server import CloseReason, ServerConnection, ServerLimits, serve_connection

__all__ = [
    "BadRequest",
    "ClientConnection",
    "CloseReason",
    "EventReader",
    "Exchange",
    "ConnectionPool",
    "ServerConnection",
    "ServerLimits",
    "ReadTimeout",
    "ConnectError",
    "event_bytes",
    "keep_open",
    "serve_connection",
]
