"""Reasons for closing a client's connection."""

from __future__ import annotations

from enum import Enum, auto


class CloseReason(Enum):
    """Why a client's connection was closed from this side, for logs and metrics."""

    CLIENT_ENDED = auto()  # the client closed it between requests or during one
    IDLE = auto()  # no request arrived within the idle time-out
    MADE_ROOM = auto()  # it was idle and closed to admit another connection
    DRAINING = auto()  # the server is shutting down and no request was open on it
    ANSWERED = auto()  # after a response with `Connection: close`, by either side's request
    CUT = auto()  # the response is incomplete: the client disconnected or the stream broke
    REFUSED = auto()  # after the error response to a bad request
    BROKEN = auto()  # the connection broke
    FAULT = auto()  # the handler raised an exception
    CANCELLED = auto()  # the server stopped without draining
