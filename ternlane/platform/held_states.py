"""Measures for how long prefill servers hold the states of requests. Free of I/O.

Operators see with it whether each held state is taken or released in time; it decides nothing.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class HeldState:
    """A state that a server holds, as far as this gateway knows. `reported`: it has been reported as overdue."""

    server: str
    since_ms: float
    reported: bool = False


@dataclass(slots=True, frozen=True)
class Overdue:
    """A state that was neither taken nor confirmed as released within its release time."""

    request_id: str
    server: str
    held_ms: float


class HeldStateMonitor:
    """Held states by request id, the oldest first. Times are milliseconds of one monotonic clock."""

    def __init__(self) -> None:
        self._held: dict[str, HeldState] = {}
        self.longest_ms = 0.0  # the longest time held, of the states removed since the reader last reset it

    def __len__(self) -> int:
        return len(self._held)

    def add(self, request_id: str, server: str, now_ms: float) -> None:
        """A prefill has ended, and this server holds its state."""
        self._held.pop(request_id, None)
        self._held[request_id] = HeldState(server, now_ms)

    def remove(self, request_id: str, now_ms: float) -> None:
        """A decode server has taken the state, or a release has been confirmed."""
        state = self._held.pop(request_id, None)
        if state is not None:
            self.longest_ms = max(self.longest_ms, now_ms - state.since_ms)

    def oldest_ms(self, now_ms: float) -> float:
        """Returns for how long the oldest state has been held; 0 for none."""
        oldest = next(iter(self._held.values()), None)
        return 0.0 if oldest is None else now_ms - oldest.since_ms

    def newly_overdue(self, now_ms: float, deadline_ms: float) -> list[Overdue]:
        """The states held for more than `deadline_ms`, each of them reported once."""
        overdue: list[Overdue] = []
        for request_id, state in self._held.items():
            held_ms = now_ms - state.since_ms
            if held_ms <= deadline_ms:
                break
            if not state.reported:
                state.reported = True
                overdue.append(Overdue(request_id, state.server, held_ms))
        return overdue
