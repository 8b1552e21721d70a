"""The state transitions of a request with their times, for operators. Free of I/O."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True, frozen=True)
class Transition:
    """A state transition of a request, `at_ms` after it was received."""

    at_ms: float
    event: str

    def __str__(self) -> str:
        return f"{self.at_ms:.0f} ms {self.event}"


@dataclass(slots=True)
class RequestHistory:
    """The transitions of one request in order. Times are milliseconds of any monotonic clock."""

    received_ms: float
    transitions: list[Transition] = field(default_factory=list)

    def record(self, now_ms: float, event: str) -> None:
        """Adds a transition at this time."""
        self.transitions.append(Transition(now_ms - self.received_ms, event))

    def lines(self) -> list[str]:
        """The transitions as text for the log."""
        return [str(transition) for transition in self.transitions]


@dataclass(slots=True, frozen=True)
class RequestRecord:
    """The record of a request that a gateway keeps for operators. `outcome` is "open" while the request is."""

    request_id: str
    outcome: str
    attempts: list[str]
    history: RequestHistory
