"""Ports and cell links: what moves over one shares its bandwidth evenly, at every moment. Free of I/O and clock.

Kept in virtual time: all transfers make the same progress, so each ends where the common progress reaches a mark that
is known when it begins. Joining, leaving and ending cost the logarithm of the transfers' number, not the number.
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass
from math import inf


@dataclass(slots=True, eq=False)
class LinkTransfer:
    """So many tokens of prefilled state on their way; `job` is the caller's."""

    tokens: float
    job: object
    mark: float = 0.0  # the link's progress at which it ends
    over: bool = False  # cancelled or ended


class Link:
    """Carries `rate` tokens a millisecond, shared evenly. Times are milliseconds, and never go back."""

    def __init__(self, rate: float) -> None:
        """Nothing moves."""
        self.rate = rate
        self.active = 0  # transfers
        self.carried_tokens = 0.0
        self._progress = 0.0  # tokens that a transfer from the beginning on would have moved
        self._now_ms = 0.0
        self._marks: list[tuple[float, int, LinkTransfer]] = []  # a heap
        self._order = 0  # of transfers with the same mark

    def move_to(self, now_ms: float) -> None:
        """Lets time pass. A clock that jumps back moves nothing."""
        now_ms = max(now_ms, self._now_ms)
        if self.active:
            self._progress += (now_ms - self._now_ms) * self.rate / self.active
            self.carried_tokens += (now_ms - self._now_ms) * self.rate
        self._now_ms = now_ms

    def begin(self, now_ms: float, tokens: float, job: object) -> LinkTransfer:
        """Puts a transfer on the link. What has ended by now must have been taken off by `take_ended` before."""
        self.move_to(now_ms)
        transfer = LinkTransfer(tokens, job, self._progress + tokens)
        self._order += 1
        self.active += 1
        heapq.heappush(self._marks, (transfer.mark, self._order, transfer))
        return transfer

    def cancel(self, now_ms: float, transfer: LinkTransfer) -> None:
        """Nobody waits for it any more; the others have its share from now on."""
        if not transfer.over:
            self.move_to(now_ms)
            self._leave(transfer)

    def _leave(self, transfer: LinkTransfer) -> None:
        transfer.over = True
        self.active -= 1

    def set_rate(self, now_ms: float, rate: float) -> None:
        """Another bandwidth from now on; what has moved has moved."""
        self.move_to(now_ms)
        self.rate = rate

    def next_at(self) -> float:
        """When the next transfer ends if nothing joins; infinite where nothing moves."""
        while self._marks and self._marks[0][2].over:
            heapq.heappop(self._marks)
        if not self._marks or self.rate <= 0:
            return inf
        return self._now_ms + max(0.0, self._marks[0][0] - self._progress) * self.active / self.rate

    def take_ended(self, now_ms: float) -> list[tuple[float, LinkTransfer]]:
        """What has ended by now, each with its time, in order."""
        ended: list[tuple[float, LinkTransfer]] = []
        while (due_ms := self.next_at()) <= now_ms:
            transfer = self._marks[0][2]
            self.move_to(due_ms)
            self._progress = transfer.mark  # exactly, whatever rounding made of it
            heapq.heappop(self._marks)
            self._leave(transfer)
            ended.append((due_ms, transfer))
        self.move_to(now_ms)
        return ended
