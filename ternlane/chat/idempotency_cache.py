"""What is known of requests that came with an Idempotency-Key (the IETF HTTPAPI draft of that header field).

A repeat while the first is out is told so (409); one with another body is rejected (422); one after the end gets the
same answer again and nothing runs. A rejected request leaves no trace: it may simply be tried again.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum, auto
from typing import Any

from ternlane.policy.messages import Effect

RECORD_BYTES = 400  # of a record, beside its key and the answer that it keeps
SWEEP_RECORDS = 64  # looked at in one sweep: a bound on what it adds to a request's time


@dataclass(slots=True)
class FirstRequest:
    """Not met before: the request is to run, and `IdempotencyCache.end` is owed."""


@dataclass(slots=True)
class RequestInProgress:
    """The first one is still out."""


@dataclass(slots=True)
class BodyMismatch:
    """The key came with another body before."""


@dataclass(slots=True)
class StoredAnswer:
    """The first one has ended with this answer."""

    answer: Any


LookupResult = FirstRequest | RequestInProgress | BodyMismatch | StoredAnswer


class RepeatPolicy(Enum):
    """What a repeat hears once the first request has ended."""

    RUN_AGAIN = auto()  # it may run: the key is free
    ANSWER = auto()  # the same answer
    OUTCOME_UNKNOWN = auto()  # that it may have run


def repeat_policy(effect: Effect, outcome: str, attempts: int) -> RepeatPolicy:
    """`outcome` is streamed, throttled, terminated or left, as the journal has it.

    A rejection promises that nothing ran; where a second run does no harm, only a whole answer is worth keeping; a
    client that left before any attempt was sent never came.
    """
    if outcome == "streamed":
        return RepeatPolicy.ANSWER
    if outcome == "throttled" or effect is Effect.IDEMPOTENT:
        return RepeatPolicy.RUN_AGAIN
    if outcome != "left":
        return RepeatPolicy.ANSWER
    return RepeatPolicy.OUTCOME_UNKNOWN if attempts else RepeatPolicy.RUN_AGAIN


@dataclass(slots=True)
class Record:
    """One key. `body_digest` tells another body; `until` is when it is forgotten, in ms."""

    body_digest: bytes
    until: float = 0.0
    answer: Any = None
    size_bytes: int = 0
    in_progress: bool = True


class IdempotencyCache:
    """Bounded by bytes: ended records go first, the oldest before others; those still out are never dropped."""

    def __init__(self, byte_limit: int) -> None:
        self.byte_limit = byte_limit
        self.bytes = 0
        self.ended: OrderedDict[str, Record] = OrderedDict()
        self.in_progress: dict[str, Record] = {}

    def begin(self, key: str, body_digest: bytes, now: float) -> LookupResult:
        """Looks a key up, and notes the first request of it."""
        record = self.in_progress.get(key) or self.ended.get(key)
        if record is not None and not record.in_progress and record.until <= now:
            self.drop(key)
            record = None
        if record is None:
            self.in_progress[key] = Record(body_digest)
            return FirstRequest()
        if record.body_digest != body_digest:
            return BodyMismatch()
        return RequestInProgress() if record.in_progress else StoredAnswer(record.answer)

    def restore(self, key: str, body_digest: bytes, answer: Any, size_bytes: int, until: float) -> None:
        """What a process before this one knew. Nothing that this one has met since is touched."""
        if key not in self.in_progress and key not in self.ended:
            self.in_progress[key] = Record(body_digest)
            self.end(key, answer, size_bytes, until)

    def end(self, key: str, answer: Any, size_bytes: int, until: float) -> None:
        """`answer` None: nothing ran or nothing need be kept, the key is free again."""
        record = self.in_progress.pop(key, None)
        if record is None or answer is None:
            return
        record.in_progress = False
        record.answer = answer
        record.until = until
        record.size_bytes = size_bytes + len(key) + RECORD_BYTES
        self.bytes += record.size_bytes
        self.ended[key] = record
        while self.bytes > self.byte_limit and self.ended:
            self.drop(next(iter(self.ended)))

    def drop(self, key: str) -> None:
        """Forgets an ended request."""
        self.bytes -= self.ended.pop(key).size_bytes

    def sweep(self, now: float, most: int = SWEEP_RECORDS) -> None:
        """Drops what has run out, a few at a time."""
        for key in [k for k, _ in zip(self.ended, range(most), strict=False)]:
            if self.ended[key].until <= now:
                self.drop(key)
