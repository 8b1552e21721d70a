"""Errors of this package. All are kinds of `Http1Error`."""

from __future__ import annotations


class Http1Error(Exception):
    """Any error of HTTP that has a meaning of its own to callers."""


class ConnectError(Http1Error):
    """No connection was made, or it broke before the request's last byte was written: nothing can have run."""


class ReadTimeout(Http1Error):
    """The peer has sent nothing by the deadline of a read."""


class BadRequest(Http1Error):
    """A request that is refused as it stands; the connection closes after the answer.

    `status` is the HTTP status of the answer, `code` a name of the error for programs.
    """

    def __init__(self, status: int, why: str, code: str = "invalid_request") -> None:
        super().__init__(why)
        self.status = status
        self.why = why
        self.code = code
