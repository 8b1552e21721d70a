"""Classifies unsuccessful answers of engines: the attempt was rejected, or it may have run. No I/O."""

from __future__ import annotations

from dataclasses import dataclass

from ternlane.policy.messages import AttemptOutcome


@dataclass(slots=True, frozen=True)
class Rejection:
    """The meaning of an unsuccessful answer. `state_lost`: the engine does not have the prefill state."""

    outcome: AttemptOutcome
    state_lost: bool = False


def classify_rejection(status: int, not_run: str | None) -> Rejection:
    """The meaning of an unsuccessful answer. Status 429 is always a rejection, any other one only with the header
    NOT_RUN_HEADER, whose value is `not_run`."""
    if not_run == "no-state":
        return Rejection(AttemptOutcome.OVERLOADED, state_lost=True)
    if not_run is not None or status == 429:
        return Rejection(AttemptOutcome.OVERLOADED)
    return Rejection(AttemptOutcome.ERROR)
