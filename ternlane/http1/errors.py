"""Exceptions of this package, all subclasses of `Http1Error`."""

from __future__ import annotations

import h11


class Http1Error(Exception):
    """Base class of the HTTP errors that callers distinguish."""


class ConnectError(Http1Error):
    """The connection failed or broke before the request's last byte was written, so the request cannot have run."""


class ReadTimeout(Http1Error):
    """The peer sent nothing before the read deadline."""


class BodyTooLargeError(h11.RemoteProtocolError):
    """A response has a larger body, or states one, than its reader accepts."""


class BadRequest(Http1Error):
    """An invalid or unacceptable request; the connection closes after the error response.

    `status` is the HTTP status of the response and `code` a machine-readable error code.
    """

    def __init__(self, status: int, why: str, code: str = "invalid_request") -> None:
        super().__init__(why)
        self.status = status
        self.why = why
        self.code = code
