"""What happened to each request and when, for the operators: state transitions by request id. Free of I/O."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True, frozen=True)
class Transition:
    """One step in a request's life, `at_ms` after it was received."""

    at_ms: float
    event: str

    def __str__(self) -> str:
        return f"{self.at_ms:.0f} ms {self.event}"


@dataclass(slots=True)
class RequestHistory:
    """The transitions of one request in their order. Times are milliseconds of any monotonic clock."""

    received_ms: float
    transitions: list[Transition] = field(default_factory=list)

    def record(self, now_ms: float, event: str) -> None:
        """Adds a transition that happens now."""
        self.transitions.append(Transition(now_ms - self.received_ms, event))

    def lines(self) -> list[str]:
        """The transitions as they stand in the log."""
        return [str(transition) for transition in self.transitions]


@dataclass(slots=True, frozen=True)
class RequestRecord:
    """What is kept of a request for who asks. `outcome`: "open" while it has none."""

    request_id: str
    outcome: str
    attempts: list[str]
    history: RequestHistory
