"""What all fake model servers share, and what tests look at afterwards."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

import trio


@dataclass(eq=False)
class FakeFleet:
    """States by request, who holds them, and what was seen. Times are seconds of trio's clock."""

    nursery: trio.Nursery
    states: dict[str, str] = field(default_factory=dict)  # server by request
    held_since_s: dict[str, float] = field(default_factory=dict)  # by request
    longest_held_s: float = 0.0  # of the states that are no more
    awaited: set[str] = field(default_factory=set)  # requests whose attempt has arrived and waits for its state
    seen: list[tuple[str, str, str]] = field(default_factory=list)  # server, kind of call, id
    release_delay_ms: float = 0.0  # until a DELETE has reached the other servers
    open: Counter[str] = field(default_factory=Counter)  # attempts at each server now
    conns: Counter[str] = field(default_factory=Counter)  # connections at each server now
    run_counts: Counter[str] = field(default_factory=Counter)  # answers begun, by id
    repeated: set[str] = field(default_factory=set)  # ids that came to a decode server after one had run them
    stated_timeouts_s: list[float] = field(default_factory=list)  # the time that each attempt said it would wait

    def hold(self, request_id: str, server: str) -> None:
        """A prefill has ended, and its state waits."""
        self.states[request_id] = server
        self.held_since_s[request_id] = trio.current_time()

    def end_hold(self, request_id: str) -> bool:
        """Its state is taken or released. False where there was none."""
        if self.states.pop(request_id, None) is None:
            return False
        now_s = trio.current_time()
        self.longest_held_s = max(self.longest_held_s, now_s - self.held_since_s.pop(request_id, now_s))
        return True

    def longest_held_ms(self) -> float:
        """For how long any state was held, or is held by now."""
        now_s = trio.current_time()
        held_s = [now_s - since_s for since_s in self.held_since_s.values()]
        return max([self.longest_held_s, *held_s]) * 1000

    def count(self, kind: str) -> int:
        """Calls of this kind so far."""
        return sum(seen_kind == kind for _, seen_kind, _ in self.seen)
