"""Keeps the reading anew of broken streams within a share of what readers can do for this gateway.

When a cell is lost its streams all break at once. Each would be read anew at once, on fewer servers, before anything
new: that storm is what takes the rest of the fleet down. So they go in turn, out of a bucket that fills at `share` of
what readers can do: what they were seen to do in the best span of late, or, if that is more, each doing one prompt
after the other at the pace of late, divided among the gateways. As queues at readers slow that pace, a crowded fleet is
given less. One at a time always may, or nothing would ever be learnt.
"""

from __future__ import annotations

from heapq import heappop, heappush
from typing import Generic, TypeVar

T = TypeVar("T")


class RecoveryPace(Generic[T]):
    """Over any time t no more is read anew than `share` * `able` * (t + `span_ms`), one prompt for each try that is
    alone, and the last prompt's excess. Tokens; ms. What waits is ordered by revenue, then by what was streamed."""

    def __init__(self, share: float, span_ms: float, gateways: int = 1) -> None:
        self.share, self.span_ms, self.gateways = share, span_ms, gateways
        self.prefill_servers = 0  # that may be read at
        self.speed = 0.0  # tokens a ms of one prompt's reading, its wait included; mean
        self.peak = 0.0  # tokens a ms, the best span of late
        self.level = 0.0  # tokens that may be read anew now
        self.at = 0.0
        self.span_at, self.span_tokens = 0.0, 0.0
        self.out: dict[T, None] = {}
        self.turn = 0
        self.queue: list[tuple[float, float, int, float, float, T]] = []

    def able(self) -> float:
        """Tokens a ms that readers can do for this gateway."""
        return max(self.peak, self.speed * self.prefill_servers / self.gateways)

    def clock(self, now: float) -> None:
        spent = now - self.at
        self.at = now
        rate = self.share * self.able()
        self.level = min(rate * self.span_ms, self.level + rate * spent)
        passed = now - self.span_at
        if passed >= self.span_ms:
            rate = self.span_tokens / passed
            self.peak = max(rate, self.peak * 0.5 ** (passed / (64 * self.span_ms)))
            self.span_at, self.span_tokens = now, 0.0

    def read(self, now: float, tokens: float, took_ms: float) -> None:
        """A reader has read an ordinary prompt, of which so many tokens were not kept."""
        self.clock(now)
        self.span_tokens += tokens
        if tokens > 0 and took_ms > 0:
            speed = tokens / took_ms
            self.speed = speed if not self.speed else self.speed + (speed - self.speed) / 32

    def wait(self, item: T, tokens: float, priority_weight: float, streamed: float, until: float) -> None:
        """Queues what broke. After `until` its client can't be helped any more."""
        self.turn += 1
        heappush(self.queue, (-priority_weight, -streamed, self.turn, until, tokens, item))

    def next(self, now: float) -> tuple[list[T], list[T]]:
        """Which may go on now, and which have waited too long."""
        self.clock(now)
        go: list[T] = []
        late = [e[5] for e in self.queue if e[3] <= now]
        if late:
            self.queue = [e for e in self.queue if e[3] > now]
            self.queue.sort()
        while self.queue and (self.level > 0 or not self.out):
            *_, tokens, item = heappop(self.queue)
            if self.level > 0:  # one that goes because it is alone is not charged, or a debt would only grow
                self.level -= tokens
            self.out[item] = None
            go.append(item)
        return go, late

    def landed(self, item: T) -> None:
        """It streams again: the place is free."""
        self.out.pop(item, None)

    def gone(self, item: T) -> None:
        """It has ended, be it in the queue: nothing is read for it."""
        self.landed(item)
        if any(e[5] is item for e in self.queue):
            self.queue = sorted(e for e in self.queue if e[5] is not item)

    def due(self, now: float) -> float | None:
        """When to ask again, if nothing else happens before."""
        if not self.queue:
            return None
        rate = self.share * self.able()
        wait = max(1.0, -self.level / rate) if rate > 0 else self.span_ms
        return min(now + wait, min(e[3] for e in self.queue))
