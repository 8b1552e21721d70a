"""Why a client's connection was closed."""

from __future__ import annotations

from enum import Enum, auto


class CloseReason(Enum):
    """Why a client's connection was closed from this side, for logs and metrics."""

    CLIENT_ENDED = auto()  # the client closed it between requests, or within one
    IDLE = auto()  # no request came within the idle time
    MADE_ROOM = auto()  # it lay idle, and another connection needed its place
    DRAINING = auto()  # the server is shutting down, and no request was open on it
    ANSWERED = auto()  # after an answer that said that the connection ends, or a client that asked for it
    CUT = auto()  # the answer is not whole: its client has left, or its stream broke
    REFUSED = auto()  # after the error answer to a bad request
    BROKEN = auto()  # the connection broke
    FAULT = auto()  # the handler failed
    CANCELLED = auto()  # the server stopped without draining
