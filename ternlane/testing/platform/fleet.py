"""State shared by all fake model servers, and the records that tests check."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

import trio


@dataclass(eq=False)
class FakeFleet:
    """Held states by request, and what the servers received. Times are in seconds of trio's clock."""

    nursery: trio.Nursery
    states: dict[str, str] = field(default_factory=dict)  # server that holds the state, by request
    held_since_s: dict[str, float] = field(default_factory=dict)  # by request
    longest_held_s: float = 0.0  # of the states that were taken or released
    queued: set[str] = field(default_factory=set)  # requests whose decode attempt waits for its state
    seen: list[tuple[str, str, str]] = field(default_factory=list)  # server, kind of call, request id
    release_delay_ms: float = 0.0  # before a DELETE takes effect
    open: Counter[str] = field(default_factory=Counter)  # attempts in progress, by server
    conns: Counter[str] = field(default_factory=Counter)  # open connections, by server
    run_counts: Counter[str] = field(default_factory=Counter)  # decodes begun, by request id
    repeated_after_run: set[str] = field(default_factory=set)  # request ids sent to a decode server after they had run
    stated_timeouts_s: list[float] = field(default_factory=list)  # request time-out stated by each attempt

    def hold(self, request_id: str, server: str) -> None:
        """Records that a prefill has ended and its state is held."""
        self.states[request_id] = server
        self.held_since_s[request_id] = trio.current_time()

    def end_hold(self, request_id: str) -> bool:
        """Records that the state was taken or released. Returns False if there was none."""
        if self.states.pop(request_id, None) is None:
            return False
        now_s = trio.current_time()
        self.longest_held_s = max(self.longest_held_s, now_s - self.held_since_s.pop(request_id, now_s))
        return True

    def longest_held_ms(self) -> float:
        """Returns the longest time that any state was held, including states still held."""
        now_s = trio.current_time()
        held_s = [now_s - since_s for since_s in self.held_since_s.values()]
        return max([self.longest_held_s, *held_s]) * 1000

    def count(self, kind: str) -> int:
        """Returns the number of calls of this kind so far."""
        return sum(seen_kind == kind for _, seen_kind, _ in self.seen)
