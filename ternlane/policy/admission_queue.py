"""The queue of requests that wait for room before their prefill, as a state that waits is held only briefly."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from math import inf
from typing import NamedTuple

from ternlane.policy.actors import RouterContext
from ternlane.policy.random_draws import RandomDraws
from ternlane.policy.request_state import RequestState


class QueueEntry(NamedTuple):
    """A request that waits. Entries sort by what is served first: the highest priority weight, then the earliest."""

    negative_weight: float
    latest_start: float  # milliseconds
    number: int
    state: RequestState


class AdmissionQueue:
    """Requests in the order in which they are to be placed."""

    def __init__(self, context: RouterContext, draws: RandomDraws) -> None:
        self._context = context
        self._draws = draws
        self._entries: list[QueueEntry] = []
        self._next_due = inf  # the earliest latest start
        self._shortest_prompt = inf  # tokens
        self._no_room_from = inf  # no room was found for a prompt of so many tokens, so none is for longer ones

    def __len__(self) -> int:
        return len(self._entries)

    def room_may_have_changed(self) -> None:
        """Has all be tried again, long prompts too. Latest starts stay as they were computed."""
        self._no_room_from = inf

    def try_all(self) -> None:
        """Has all be tried again, as a shutdown has begun."""
        self._no_room_from = inf
        self._next_due = -inf

    def add(self, state: RequestState, latest_start: float) -> None:
        """Has the request wait until `latest_start` at most."""
        number = self._draws.next_number()
        weight = state.request.request_class.priority_weight
        heapq.heappush(self._entries, QueueEntry(-weight, latest_start, number, state))
        self._next_due = min(self._next_due, latest_start)
        # One that was not tried yet counts as the shortest, so that it is tried.
        shortest = state.request.prompt_tokens if state.found_no_room else 0.0
        self._shortest_prompt = min(self._shortest_prompt, shortest)

    def drain(self, place: Callable[[RequestState], None], expire: Callable[[RequestState], None]) -> bool:
        """Places the first request that finds room, and expires those that have waited too long. True while there is
        more to do once its messages are handled.

        A shorter prompt passes a longer one that finds no room: one long prompt had all others expire. Nothing is done
        while nothing is due and nothing shorter has come, lest a long queue be gone through for each event."""
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
        elif state.found_no_room and state.request.prompt_tokens >= self._no_room_from:
            heapq.heappush(self._entries, entry)
        else:
            place(state)
            if state.attempt is None and not state.is_finished:
                self._no_room_from = state.request.prompt_tokens
