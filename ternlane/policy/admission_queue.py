"""The queue of requests that wait for capacity. They wait before their prefill, since servers hold a prefilled state
only briefly."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from math import inf
from typing import NamedTuple

from ternlane.policy.actors import RouterContext
from ternlane.policy.random_draws import RandomDraws
from ternlane.policy.request_state import RequestState


class QueueEntry(NamedTuple):
    """A waiting request. Entries sort in the order of service: by priority weight, highest first, then by latest
    start."""

    negative_weight: float
    latest_start: float  # milliseconds
    number: int
    state: RequestState


class AdmissionQueue:
    """Waiting requests in the order of service."""

    def __init__(self, context: RouterContext, draws: RandomDraws) -> None:
        self._context = context
        self._draws = draws
        self._entries: list[QueueEntry] = []
        self._next_due = inf  # the earliest of the latest starts
        self._shortest_prompt = inf  # tokens
        self._no_room_from = inf  # no server had capacity for a prompt of this many tokens; longer ones are skipped

    def __len__(self) -> int:
        return len(self._entries)

    def capacity_may_have_changed(self) -> None:
        """Marks all requests to be tried again, including long prompts. Latest starts are not recomputed."""
        self._no_room_from = inf

    def try_all(self) -> None:
        """Marks all requests to be tried again at once, regardless of prompt lengths and latest starts; for a
        shutdown."""
        self._no_room_from = inf
        self._next_due = -inf

    def add(self, state: RequestState, latest_start: float) -> None:
        """Adds a request, which may wait until `latest_start`."""
        number = self._draws.next_number()
        weight = state.request.request_class.priority_weight
        heapq.heappush(self._entries, QueueEntry(-weight, latest_start, number, state))
        self._next_due = min(self._next_due, latest_start)
        # A request that was not tried yet counts as the shortest prompt, so that it is tried.
        shortest = state.request.prompt_tokens if state.found_no_capacity else 0.0
        self._shortest_prompt = min(self._shortest_prompt, shortest)

    def drain(self, place: Callable[[RequestState], None], expire: Callable[[RequestState], None]) -> bool:
        """Places the first request for which there is capacity, and expires those that have waited too long. Returns
        True if messages were posted: call again once they are handled.

        A shorter prompt may overtake a longer one that does not fit; otherwise one long prompt would block the queue
        until all others expire. To avoid scanning a long queue at each event, it returns at once while no entry is due
        and no shorter prompt has been added.
        """
        if self._context.now < self._next_due and self._shortest_prompt >= self._no_room_from:
            return False
        pending = self._entries
        self._entries = []
        while pending and not self._context.ready:
            self._try(heapq.heappop(pending), place, expire)
        self._entries += pending
        heapq.heapify(self._entries)
        self._next_due = min((entry.latest_start for entry in self._entries), default=inf)
        self._shortest_prompt = min((entry.state.request.prompt_tokens for entry in self._entries), default=inf)
        return bool(self._context.ready)

    def _try(
        self, entry: QueueEntry, place: Callable[[RequestState], None], expire: Callable[[RequestState], None]
    ) -> None:
        state = entry.state
        if state.is_finished:
            return
        if entry.latest_start <= self._context.now:
            expire(state)
        elif state.found_no_capacity and state.request.prompt_tokens >= self._no_room_from:
            heapq.heappush(self._entries, entry)
        else:
            place(state)
            if state.attempt is None and not state.is_finished:
                self._no_room_from = state.request.prompt_tokens
