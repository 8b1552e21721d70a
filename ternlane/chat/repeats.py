"""What is known of requests that came with an Idempotency-Key (the IETF HTTPAPI draft of that header field).

A repeat while the first is out is told so (409); one with another body is refused (422); one after the end gets the
same answer again and nothing runs. A throttled request leaves no trace: it may simply be tried again.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum, auto
from typing import Any

from ternlane.policy.messages import Effect

OWN_BYTES = 400  # of a record, beside the answer that it keeps


@dataclass(slots=True)
class Fresh:
    """Not met: the request is to run, and `Repeats.end` is owed."""


@dataclass(slots=True)
class Busy:
    """The first one is still out."""


@dataclass(slots=True)
class Differs:
    """The key came with another body before."""


@dataclass(slots=True)
class Done:
    answer: Any


class Keep(Enum):
    """What a repeat hears once the first request has ended."""

    NOTHING = auto()  # it may run: the key is free
    ANSWER = auto()  # the same answer
    UNSURE = auto()  # that it may have run


def kept_for_repeats(effect: Effect, outcome: str, attempts: int) -> Keep:
    """`outcome` is streamed, throttled, terminated or left. A throttle promises that nothing ran; where a second run
    does no harm, only a whole answer is worth keeping; a client that left before any leg was sent never came."""
    if outcome == "streamed":
        return Keep.ANSWER
    if outcome == "throttled" or effect is Effect.IDEMPOTENT or (outcome == "left" and not attempts):
        return Keep.NOTHING
    return Keep.UNSURE if outcome == "left" else Keep.ANSWER


@dataclass(slots=True)
class Record:
    mark: bytes
    until: float
    answer: Any = None
    cost: int = 0
    out: bool = True


class Repeats:
    """Bounded by bytes: ended records go first, the oldest before others; those still out are never dropped."""

    def __init__(self, byte_limit: int) -> None:
        self.byte_limit, self.bytes = byte_limit, 0
        self.ended: OrderedDict[str, Record] = OrderedDict()
        self.out: dict[str, Record] = {}

    def begin(self, key: str, mark: bytes, now: float) -> Fresh | Busy | Differs | Done:
        """`mark` is a digest of the body."""
        record = self.out.get(key) or self.ended.get(key)
        if record is not None and not record.out and record.until <= now:
            self.drop(key)
            record = None
        if record is None:
            self.out[key] = Record(mark, 0.0)
            return Fresh()
        if record.mark != mark:
            return Differs()
        return Busy() if record.out else Done(record.answer)

    def restore(self, key: str, mark: bytes, answer: Any, cost: int, until: float) -> None:
        """What a process before this one knew. Nothing that this one has met since is touched."""
        if key not in self.out and key not in self.ended:
            self.out[key] = Record(mark, 0.0)
            self.end(key, answer, cost, until)

    def end(self, key: str, answer: Any, cost: int, until: float) -> None:
        """`answer` None: nothing ran or nothing need be kept, the key is free again."""
        record = self.out.pop(key, None)
        if record is None or answer is None:
            return
        record.out, record.answer, record.until = False, answer, until
        record.cost = cost + len(key) + OWN_BYTES
        self.bytes += record.cost
        self.ended[key] = record
        while self.bytes > self.byte_limit and self.ended:
            self.drop(next(iter(self.ended)))

    def drop(self, key: str) -> None:
        self.bytes -= self.ended.pop(key).cost

    def sweep(self, now: float, most: int = 64) -> None:
        """Drops what has run out, a few at a time."""
        for key in [k for k, _ in zip(self.ended, range(most))]:
            if self.ended[key].until <= now:
                self.drop(key)
