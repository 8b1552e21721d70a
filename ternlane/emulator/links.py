"""Network ports of servers and links between cells, whose active transfers share the bandwidth equally.

Performs no I/O and reads no clock.

Uses the virtual time of fair queueing: all transfers progress equally, so each ends when the common progress reaches a
value known at its start. Starting and ending a transfer takes logarithmic time in the number of transfers.
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass
from math import inf


@dataclass(slots=True, eq=False)
class LinkTransfer:
    """A transfer of `tokens` tokens of prefilled state; `owner` is opaque to the link."""

    tokens: float
    owner: object
    end_progress: float = 0.0  # link progress at which it ends
    ended: bool = False  # completed or cancelled


class Link:
    """A link with a bandwidth of `rate` tokens per millisecond. Times are in milliseconds and do not decrease."""

    def __init__(self, rate: float) -> None:
        """No transfer is active."""
        self.rate = rate
        self.active = 0  # number of transfers
        self.carried_tokens = 0.0
        self._progress = 0.0  # tokens that a transfer active since the creation of the link would have moved
        self._now_ms = 0.0
        self._transfers: list[tuple[float, int, LinkTransfer]] = []  # heap of (end_progress, order, transfer)
        self._order = 0  # tie-breaker of transfers with the same end_progress

    def advance(self, now_ms: float) -> None:
        """Advances all transfers to `now_ms`. A time before the last one changes nothing."""
        now_ms = max(now_ms, self._now_ms)
        if self.active:
            self._progress += (now_ms - self._now_ms) * self.rate / self.active
            self.carried_tokens += (now_ms - self._now_ms) * self.rate
        self._now_ms = now_ms

    def begin(self, now_ms: float, tokens: float, owner: object) -> LinkTransfer:
        """Starts a transfer. Requires that `take_ended` has removed the transfers that ended by `now_ms`."""
        self.advance(now_ms)
        transfer = LinkTransfer(tokens, owner, self._progress + tokens)
        self._order += 1
        self.active += 1
        heapq.heappush(self._transfers, (transfer.end_progress, self._order, transfer))
        return transfer

    def cancel(self, now_ms: float, transfer: LinkTransfer) -> None:
        """Cancels a transfer; the others get its share of the bandwidth."""
        if not transfer.ended:
            self.advance(now_ms)
            self._remove(transfer)

    def _remove(self, transfer: LinkTransfer) -> None:
        transfer.ended = True
        self.active -= 1

    def set_rate(self, now_ms: float, rate: float) -> None:
        """Sets the bandwidth from `now_ms` on."""
        self.advance(now_ms)
        self.rate = rate

    def next_at(self) -> float:
        """Returns when the next transfer ends, provided that none joins; infinite if nothing moves."""
        while self._transfers and self._transfers[0][2].ended:
            heapq.heappop(self._transfers)
        if not self._transfers or self.rate <= 0:
            return inf
        return self._now_ms + max(0.0, self._transfers[0][0] - self._progress) * self.active / self.rate

    def take_ended(self, now_ms: float) -> list[tuple[float, LinkTransfer]]:
        """Removes and returns the transfers that ended by `now_ms`, with their times, in order."""
        ended: list[tuple[float, LinkTransfer]] = []
        while (due_ms := self.next_at()) <= now_ms:
            transfer = self._transfers[0][2]
            self.advance(due_ms)
            self._progress = transfer.end_progress  # removes the rounding error
            heapq.heappop(self._transfers)
            self._remove(transfer)
            ended.append((due_ms, transfer))
        self.advance(now_ms)
        return ended
