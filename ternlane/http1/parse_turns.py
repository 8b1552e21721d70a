"""Turns for parsing, so that messages in very many pieces do not hold up the other connections of an event loop.

Parsing a chunk takes several microseconds however little data it holds, and one read can contain thousands of chunks.
A message is parsed without waiting up to `FREE_EVENTS` events. The rest is parsed in turns of `TURN_EVENTS` events. In
each iteration of the event loop at most one connection has a turn: the one whose message has had the fewest events.
"""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from typing import TypeVar

import trio

# Events of a message that are parsed at once; ordinary messages have fewer.
FREE_EVENTS = 16
# Events that are parsed in one turn; less than a millisecond of work.
TURN_EVENTS = 128

EventT = TypeVar("EventT")


class ParseTurns:
    """Gives turns to all connections that share this object."""

    def __init__(self) -> None:
        self._is_taken = False
        self._turns_asked = 0
        # A heap of (events that the message has had, sequence number, set when the turn begins).
        self._waiting: list[tuple[int, int, trio.Event]] = []

    async def take(self, parsed_events: int) -> None:
        """Waits for a turn, which never begins in the same iteration of the event loop as another one."""
        if not self._is_taken:
            self._is_taken = True
            try:
                await trio.lowlevel.checkpoint()
            except BaseException:
                self.give_back()
                raise
            return
        begins = trio.Event()
        self._turns_asked += 1
        entry = (parsed_events, self._turns_asked, begins)
        heappush(self._waiting, entry)
        try:
            await begins.wait()
        except BaseException:
            if begins.is_set():
                self.give_back()
            else:
                begins.set()  # marks the entry as abandoned
            raise

    def give_back(self) -> None:
        """Ends a turn."""
        while self._waiting:
            _, _, begins = heappop(self._waiting)
            if not begins.is_set():
                begins.set()
                return
        self._is_taken = False


class MessageParser:
    """Counts the events of one connection's current message, and takes turns where it has many."""

    def __init__(self, turns: ParseTurns) -> None:
        self.turns = turns
        self._parsed_events = 0
        self._events_left = FREE_EVENTS
        self._has_turn = False

    def begin_message(self) -> None:
        """Starts to count anew."""
        self.pause()
        self._parsed_events = 0
        self._events_left = FREE_EVENTS

    @property
    def must_wait(self) -> bool:
        """Whether the next event waits for a turn."""
        return self._events_left == 0

    def allow_free_events(self) -> None:
        """Allows some events without a turn: for a message that may go on for long, after each wait for more of it."""
        self._events_left = max(self._events_left, FREE_EVENTS)

    async def next_event(self, parse: Callable[[], EventT]) -> EventT:
        """Returns the result of `parse`, once it is this connection's turn if it needs one. Raises what `parse` does.

        Call `pause` before waiting for anything else.
        """
        if self._events_left == 0:
            self.pause()
            await self.turns.take(self._parsed_events)
            self._has_turn = True
            self._events_left = TURN_EVENTS
        self._events_left -= 1
        self._parsed_events += 1
        return parse()

    def pause(self) -> None:
        """Ends the turn, if there is one, before a wait."""
        if self._has_turn:
            self._has_turn = False
            self._events_left = 0
            self.turns.give_back()
