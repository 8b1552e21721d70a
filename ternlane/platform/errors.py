"""Errors of the platform gateway. All are subclasses of `PlatformError`."""

from __future__ import annotations

from ternlane.policy.messages import AttemptOutcome

NOT_STARTED_REASONS = {
    AttemptOutcome.CLIENT_GONE: "the client left before it was sent",
    AttemptOutcome.NOT_STARTED: "its server drains, or its time to begin is over",
}


class PlatformError(Exception):
    """Base class of the platform gateway's errors."""


class ConfigurationError(PlatformError, ValueError):
    """The configuration is invalid; the message is one line with the reason."""


class InvalidRequestError(PlatformError):
    """A client's request is invalid: nothing has run, and nothing was forwarded.

    `status` is the HTTP status of its answer, `code` the error's name in the answer's body.
    """

    def __init__(self, status: int, code: str, why: str) -> None:
        super().__init__(why)
        self.status = status
        self.code = code
        self.why = why


class ClientDisconnectedError(PlatformError):
    """The client's connection broke while the answer was forwarded; the model server is not at fault."""


class AttemptNotStartedError(PlatformError):
    """The attempt must no longer start; nothing of it was sent. `outcome`: CLIENT_GONE or NOT_STARTED."""

    def __init__(self, outcome: AttemptOutcome) -> None:
        super().__init__(NOT_STARTED_REASONS[outcome])
        self.outcome = outcome
