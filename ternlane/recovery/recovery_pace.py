"""Keeps the prefill work of resumed streams within a share of what prefill servers can do for this gateway.

The failure it guards against: when a cell is lost its streams all break at once. Each would be prefilled anew at once,
on fewer servers, before anything new, and that storm takes the rest of the fleet down. So they go in turn, out of a
token bucket that fills at `share` of what prefill servers can do: what they were seen to do in the best span of late,
or, if that is more, each doing one prompt after the other at the speed of late, divided among the gateways. As queues
at prefill servers slow that speed, a crowded fleet is given less. One at a time always may, or nothing would be learnt.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from heapq import heappop, heappush
from typing import Generic, TypeVar

SPEED_WEIGHT = 1 / 32  # of one more prefill in the mean speed: some dozens of prompts set it
PEAK_HALF_LIFE_SPANS = 64  # a best span counts half after so many spans, so that a shrunken fleet is noticed
MIN_WAIT_MS = 1.0  # until the bucket is asked again

T = TypeVar("T")


@dataclass(slots=True, order=True)
class WaitingStream(Generic[T]):
    """A broken stream in its queue: by priority weight, then by what was streamed, then first come."""

    negative_weight: float
    negative_streamed: float
    number: int
    deadline_ms: float = field(compare=False)
    tokens: float = field(compare=False)
    item: T = field(compare=False)


class RecoveryPace(Generic[T]):
    """Over any time t no more is prefilled anew than `share` * `capacity` * (t + `span_ms`), one prompt for each resume
    that is alone, and the last prompt's excess. Units: tokens, ms, tokens a ms."""

    def __init__(self, share: float, span_ms: float, gateways: int = 1) -> None:
        self.share = share
        self.span_ms = span_ms
        self.gateways = gateways
        self.prefill_servers = 0  # that may be asked
        self.speed = 0.0  # tokens a ms of one prompt's prefill, its wait included; mean
        self.peak = 0.0  # tokens a ms, the best span of late
        self.level = 0.0  # tokens that may be prefilled anew now
        self.updated_ms = 0.0
        self.span_start_ms = 0.0
        self.span_tokens = 0.0
        self.resuming: dict[T, None] = {}
        self.count = 0
        self.queue: list[WaitingStream[T]] = []

    def capacity(self) -> float:
        """Tokens a ms that prefill servers can do for this gateway."""
        return max(self.peak, self.speed * self.prefill_servers / self.gateways)

    def update(self, now: float) -> None:
        """Fills the bucket up to `now`, and closes the span that is over."""
        elapsed = now - self.updated_ms
        self.updated_ms = now
        rate = self.share * self.capacity()
        self.level = min(rate * self.span_ms, self.level + rate * elapsed)
        span = now - self.span_start_ms
        if span >= self.span_ms:
            seen = self.span_tokens / span
            self.peak = max(seen, self.peak * 0.5 ** (span / (PEAK_HALF_LIFE_SPANS * self.span_ms)))
            self.span_start_ms = now
            self.span_tokens = 0.0

    def record_prefill(self, now: float, tokens: float, took_ms: float) -> None:
        """A server has prefilled an ordinary prompt, of which so many tokens were not cached."""
        self.update(now)
        self.span_tokens += tokens
        if tokens > 0 and took_ms > 0:
            speed = tokens / took_ms
            self.speed = speed if not self.speed else self.speed + (speed - self.speed) * SPEED_WEIGHT

    def wait(self, item: T, tokens: float, priority_weight: float, streamed: float, deadline_ms: float) -> None:
        """Queues a broken stream. After `deadline_ms` its client can't be helped any more."""
        self.count += 1
        heappush(self.queue, WaitingStream(-priority_weight, -streamed, self.count, deadline_ms, tokens, item))

    def next(self, now: float) -> tuple[list[T], list[T]]:
        """Which may be resumed now, and which have waited too long."""
        self.update(now)
        late = self.take_late(now)
        ready: list[T] = []
        while self.queue and (self.level > 0 or not self.resuming):
            waiting = heappop(self.queue)
            if self.level > 0:  # one that goes because it is alone is not charged, or a debt would only grow
                self.level -= waiting.tokens
            self.resuming[waiting.item] = None
            ready.append(waiting.item)
        return ready, late

    def take_late(self, now: float) -> list[T]:
        """Takes those out of the queue whose deadline has passed."""
        late = [waiting.item for waiting in self.queue if waiting.deadline_ms <= now]
        if late:
            self.queue = sorted(waiting for waiting in self.queue if waiting.deadline_ms > now)
        return late

    def resumed(self, item: T) -> None:
        """It streams again: the place is free."""
        self.resuming.pop(item, None)

    def remove(self, item: T) -> None:
        """It has ended, be it in the queue: nothing is prefilled for it."""
        self.resumed(item)
        if any(waiting.item is item for waiting in self.queue):
            self.queue = sorted(waiting for waiting in self.queue if waiting.item is not item)

    def due(self, now: float) -> float | None:
        """When to call `next` again (ms), if nothing else happens before; None while nothing waits."""
        if not self.queue:
            return None
        rate = self.share * self.capacity()
        wait_ms = max(MIN_WAIT_MS, -self.level / rate) if rate > 0 else self.span_ms
        return min(now + wait_ms, min(waiting.deadline_ms for waiting in self.queue))
