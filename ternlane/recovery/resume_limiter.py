"""Limits the prefill work of resumed streams to a share of the prefill servers' capacity for this gateway.

When a cell is lost all its streams break at once. If all of them were prefilled again at once, on fewer servers and
ahead of new requests, the load would bring down the rest of the fleet. They are therefore resumed in turn, from a token
bucket that refills at `share` of the prefill capacity. The capacity is the larger of two figures: the best rate seen
within a recent window, and one prompt after another on each server at the recent prefill rate, divided among the
gateways. Queues at prefill servers lower that rate, so a congested fleet gets less. While no
resume is running one may always start, as otherwise there would be no prefills to take the rate from.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from heapq import heappop, heappush
from typing import Generic, TypeVar

RATE_EWMA_WEIGHT = 1 / 32  # averages over a few dozen prompts
PEAK_HALF_LIFE_WINDOWS = 64  # the peak decays, so that a smaller fleet is noticed
MIN_RECHECK_MS = 1.0

T = TypeVar("T")


@dataclass(slots=True, order=True)
class WaitingStream(Generic[T]):
    """A broken stream in the queue, ordered by priority weight, then by tokens streamed so far, then by arrival."""

    negative_weight: float
    negative_streamed: float
    number: int
    deadline_ms: float = field(compare=False)
    tokens: float = field(compare=False)
    item: T = field(compare=False)


class ResumeLimiter(Generic[T]):
    """Over any time t resumes prefill at most `share` * `capacity` * (t + `window_ms`) tokens, plus one prompt for each
    resume that is started while no other runs, plus the excess of the last prompt over the bucket's level.

    `window_ms` is the depth of the bucket, in ms of refill, and the length of a window in which rates are measured.
    Units: tokens, ms, tokens per ms.
    """

    def __init__(self, share: float, window_ms: float, gateways: int = 1) -> None:
        self.share = share
        self.window_ms = window_ms
        self.gateways = gateways
        self.prefill_servers = 0  # that accept prompts
        self.prefill_rate = 0.0  # tokens per ms of one prompt including its wait, moving average
        self.peak_rate = 0.0  # tokens per ms, the best recent window
        self.available_tokens = 0.0  # level of the bucket
        self.updated_ms = 0.0
        self.window_start_ms = 0.0
        self.window_tokens = 0.0
        self.resuming: dict[T, None] = {}
        self.enqueued_count = 0
        self.queue: list[WaitingStream[T]] = []

    def capacity(self) -> float:
        """Tokens per ms that the prefill servers can process for this gateway."""
        return max(self.peak_rate, self.prefill_rate * self.prefill_servers / self.gateways)

    def update(self, now: float) -> None:
        """Refills the bucket up to `now`, and closes a window that has ended."""
        elapsed_ms = now - self.updated_ms
        self.updated_ms = now
        rate = self.share * self.capacity()
        self.available_tokens = min(rate * self.window_ms, self.available_tokens + rate * elapsed_ms)
        window_elapsed_ms = now - self.window_start_ms
        if window_elapsed_ms >= self.window_ms:
            rate_in_window = self.window_tokens / window_elapsed_ms
            self.peak_rate = max(
                rate_in_window, self.peak_rate * 0.5 ** (window_elapsed_ms / (PEAK_HALF_LIFE_WINDOWS * self.window_ms))
            )
            self.window_start_ms = now
            self.window_tokens = 0.0

    def record_prefill(self, now: float, tokens: float, took_ms: float) -> None:
        """Records a finished prefill outside resumes; `tokens` are those that were not cached."""
        self.update(now)
        self.window_tokens += tokens
        if tokens > 0 and took_ms > 0:
            prefill_rate = tokens / took_ms
            self.prefill_rate = (
                prefill_rate
                if not self.prefill_rate
                else self.prefill_rate + (prefill_rate - self.prefill_rate) * RATE_EWMA_WEIGHT
            )

    def enqueue(self, item: T, tokens: float, priority_weight: float, streamed: float, deadline_ms: float) -> None:
        """Queues a broken stream; after `deadline_ms` it is no longer resumed."""
        self.enqueued_count += 1
        heappush(self.queue, WaitingStream(-priority_weight, -streamed, self.enqueued_count, deadline_ms, tokens, item))

    def next(self, now: float) -> tuple[list[T], list[T]]:
        """The streams that may be resumed now, and those whose deadline has passed."""
        self.update(now)
        expired = self.remove_expired(now)
        ready: list[T] = []
        while self.queue and (self.available_tokens > 0 or not self.resuming):
            waiting = heappop(self.queue)
            if self.available_tokens > 0:  # a resume that runs alone is not charged, or the debt would only grow
                self.available_tokens -= waiting.tokens
            self.resuming[waiting.item] = None
            ready.append(waiting.item)
        return ready, expired

    def remove_expired(self, now: float) -> list[T]:
        """Removes the streams whose deadline has passed from the queue, and returns them."""
        expired = [waiting.item for waiting in self.queue if waiting.deadline_ms <= now]
        if expired:
            self.queue = sorted(waiting for waiting in self.queue if waiting.deadline_ms > now)
        return expired

    def resumed(self, item: T) -> None:
        """Records that the stream delivers text again, so that another may take its place."""
        self.resuming.pop(item, None)

    def remove(self, item: T) -> None:
        """Removes a stream that has ended, whether it was queued or being resumed."""
        self.resumed(item)
        if any(waiting.item is item for waiting in self.queue):
            self.queue = sorted(waiting for waiting in self.queue if waiting.item is not item)

    def due(self, now: float) -> float | None:
        """When to call `next` again at the latest (ms); None if the queue is empty."""
        if not self.queue:
            return None
        rate = self.share * self.capacity()
        wait_ms = max(MIN_RECHECK_MS, -self.available_tokens / rate) if rate > 0 else self.window_ms
        return min(now + wait_ms, min(waiting.deadline_ms for waiting in self.queue))
