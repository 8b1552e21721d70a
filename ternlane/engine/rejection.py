"""What an engine's answer without success proves: was the attempt rejected, or may it have run? No I/O."""

from __future__ import annotations

from dataclasses import dataclass

from ternlane.policy.messages import AttemptOutcome


@dataclass(slots=True, frozen=True)
class Rejection:
    """What an answer without success proves. `state_lost`: the engine has no state to go on with."""

    outcome: AttemptOutcome
    state_lost: bool = False


def rejection_of(status: int, not_run: str | None) -> Rejection:
    """What an answer without success proves. A 429 is a rejection by its meaning; other statuses
    only with our header."""
    if not_run == "no-state":
        return Rejection(AttemptOutcome.OVERLOADED, state_lost=True)
    if not_run is not None or status == 429:
        return Rejection(AttemptOutcome.OVERLOADED)
    return Rejection(AttemptOutcome.ERROR)
