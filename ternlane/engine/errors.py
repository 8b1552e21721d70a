"""What can go wrong between a gateway and an engine, as one tree of exceptions."""

from __future__ import annotations

from ternlane.policy.messages import AttemptOutcome


class EngineError(Exception):
    """An attempt did not run at its engine. Base of all errors of this package but ClientGone."""


class AttemptRejectedError(EngineError):
    """A local engine rejects an attempt: nothing ran. `state_lost` where it has no state to go on with."""

    def __init__(self, why: str = "full", state_lost: bool = False) -> None:
        super().__init__(why)
        self.state_lost = state_lost


class EngineUnreachableError(EngineError):
    """A local engine could not be reached: nothing ran."""


class AttemptNotStartedError(EngineError):
    """The attempt must not begin any more: the client left, the server drains, or the time to begin is over."""

    def __init__(self, outcome: AttemptOutcome) -> None:
        super().__init__("the client left, the server drains, or the time to begin is over")
        self.outcome = outcome


class UnsupportedAttemptError(EngineError):
    """The server's protocol cannot express the attempt: nothing was sent."""


class ClientGone(Exception):
    """The client's side broke while the answer was passed on; says nothing of the engine."""
