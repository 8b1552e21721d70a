"""Which requests have a state held at a prefill server, and for how long: the operators' view of the rule that held
state is taken or released in time. It measures and decides nothing. Free of I/O."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class HeldState:
    """A state as far as this gateway knows. `reported`: it has been named as overdue."""

    server: str
    since_ms: float
    reported: bool = False


@dataclass(slots=True, frozen=True)
class Overdue:
    """A state that was neither seen taken nor heard released within its release time."""

    request_id: str
    server: str
    held_ms: float


class HeldStateMonitor:
    """States by request id, the one held for longest first. Times are milliseconds of one monotonic clock."""

    def __init__(self) -> None:
        self._held: dict[str, HeldState] = {}
        self.longest_ms = 0.0  # of those that have ended since whoever reads it set it back

    def __len__(self) -> int:
        return len(self._held)

    def held(self, request_id: str, server: str, now_ms: float) -> None:
        """A prefill has ended, and its state waits at this server."""
        self._held.pop(request_id, None)
        self._held[request_id] = HeldState(server, now_ms)

    def ended(self, request_id: str, now_ms: float) -> None:
        """A decode server has shown that it took the state, or a release was heard."""
        state = self._held.pop(request_id, None)
        if state is not None:
            self.longest_ms = max(self.longest_ms, now_ms - state.since_ms)

    def oldest_ms(self, now_ms: float) -> float:
        """For how long the oldest one that is still held has been."""
        oldest = next(iter(self._held.values()), None)
        return 0.0 if oldest is None else now_ms - oldest.since_ms

    def newly_overdue(self, now_ms: float, deadline_ms: float) -> list[Overdue]:
        """Those held for more than the limit, each of them once."""
        overdue: list[Overdue] = []
        for request_id, state in self._held.items():
            held_ms = now_ms - state.since_ms
            if held_ms <= deadline_ms:
                break
            if not state.reported:
                state.reported = True
                overdue.append(Overdue(request_id, state.server, held_ms))
        return overdue
