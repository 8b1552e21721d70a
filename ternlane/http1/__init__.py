"""HTTP/1.1 over trio streams with h11, and server-sent events. Shared by servers, attempts, discovery and fakes."""

from ternlane.http1.client_connection import ClientConnection
from ternlane.http1.close_reason import CloseReason
from ternlane.http1.connection_limits import ConnectionLimits
from ternlane.http1.connection_pool import ConnectionPool
from ternlane.http1.errors import BadRequest, BodyTooLargeError, ConnectError, Http1Error, ReadTimeout
from ternlane.http1.events import EventReader, encode_event
from ternlane.http1.exchange import Exchange
from ternlane.http1.nonblocking import extend_deadline
from ternlane.http1.request_reader import NO_MEMORY
from ternlane.http1.server_connection import ServerConnection, serve_connection
from ternlane.http1.shared_limits import SharedLimits

__all__ = [
    "NO_MEMORY",
    "BadRequest",
    "BodyTooLargeError",
    "ClientConnection",
    "CloseReason",
    "ConnectError",
    "ConnectionPool",
    "EventReader",
    "Exchange",
    "Http1Error",
    "ReadTimeout",
    "ServerConnection",
    "SharedLimits",
    "ConnectionLimits",
    "encode_event",
    "extend_deadline",
    "serve_connection",
]
