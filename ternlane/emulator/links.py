"""Ports and cell links: what moves over one shares its bandwidth evenly, at every moment. Free of I/O and clock.

Kept in virtual time: all that moves gets on alike, so each transfer ends where the common progress reaches a mark that
is known when it begins. Joining, leaving and ending cost the logarithm of what is on the way, not its number.
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass
from math import inf


@dataclass(slots=True, eq=False)
class Transfer:
    """`toks` tokens of read state on their way; `job` is the caller's."""

    tokens: float
    job: object
    mark: float = 0.0
    left: bool = False  # called off, or over


class Link:
    """Carries `rate` tokens a ms, shared evenly by what is on it. Times are ms, and never go back."""

    def __init__(self, rate: float) -> None:
        self.rate, self.progress, self.at, self.many = rate, 0.0, 0.0, 0
        self.heap: list[tuple[float, int, Transfer]] = []
        self.turn = 0
        self.carried = 0.0

    def forward(self, now: float) -> None:
        now = max(now, self.at)  # a clock that jumps back moves nothing
        if self.many:
            self.progress += (now - self.at) * self.rate / self.many
            self.carried += (now - self.at) * self.rate
        self.at = now

    def begin(self, now: float, tokens: float, job: object) -> Transfer:
        """Puts a transfer on the link. What has ended by now must have been taken off by `ended` before."""
        self.forward(now)
        it = Transfer(tokens, job, self.progress + tokens)
        self.turn, self.many = self.turn + 1, self.many + 1
        heapq.heappush(self.heap, (it.mark, self.turn, it))
        return it

    def cancel(self, now: float, it: Transfer) -> None:
        """Nobody waits for it any more; the others have its share from now on."""
        if not it.left:
            self.forward(now)
            it.left, self.many = True, self.many - 1

    def alter(self, now: float, rate: float) -> None:
        """Another bandwidth from now on; what has moved has moved."""
        self.forward(now)
        self.rate = rate

    def next_at(self) -> float:
        """When the next transfer ends if nothing joins; infinite where nothing moves."""
        while self.heap and self.heap[0][2].left:
            heapq.heappop(self.heap)
        if not self.heap or self.rate <= 0:
            return inf
        return self.at + max(0.0, self.heap[0][0] - self.progress) * self.many / self.rate

    def ended(self, now: float) -> list[tuple[float, Transfer]]:
        """What has ended by now, each with its time, in order."""
        out: list[tuple[float, Transfer]] = []
        while (due := self.next_at()) <= now:
            it = self.heap[0][2]
            self.forward(due)
            self.progress = it.mark  # exactly, whatever rounding made of it
            heapq.heappop(self.heap)
            it.left, self.many = True, self.many - 1
            out.append((due, it))
        self.forward(now)
        return out
