"""Errors between a gateway and an engine."""

from __future__ import annotations

from ternlane.policy.messages import AttemptOutcome


class EngineError(Exception):
    """An attempt did not run at its engine. Base class of this package's errors except ClientGone."""


class AttemptRejectedError(EngineError):
    """A local engine rejects an attempt: nothing ran. `state_lost`: it does not have the prefill state."""

    def __init__(self, why: str = "full", state_lost: bool = False) -> None:
        super().__init__(why)
        self.state_lost = state_lost


class EngineUnreachableError(EngineError):
    """A local engine could not be reached: nothing ran."""


class AttemptNotStartedError(EngineError):
    """The attempt may no longer be sent: the client disconnected, the server drains, or the time to begin is over."""

    def __init__(self, outcome: AttemptOutcome) -> None:
        super().__init__("the client left, the server drains, or the time to begin is over")
        self.outcome = outcome


class UnsupportedAttemptError(EngineError):
    """The server's protocol does not support the attempt: nothing was sent."""


class ClientGone(Exception):
    """The client disconnected while the answer was forwarded; no fault of the engine."""
