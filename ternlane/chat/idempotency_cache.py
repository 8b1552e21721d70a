"""Caches the answers of requests with an Idempotency-Key (the IETF HTTPAPI draft of that header field).

A repeat while the first request is in progress is rejected (409), and so is one with another body (422); a later repeat
gets the stored answer and nothing runs. A rejected request is not stored: it may be sent again.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum, auto
from typing import Any

from ternlane.policy.messages import Effect

RECORD_BYTES = 400  # memory of a record in addition to its key and its answer
SWEEP_RECORDS = 64  # checked in one sweep: bounds what a sweep adds to a request's latency


@dataclass(slots=True)
class FirstRequest:
    """The key is new: the request is to run, and the caller must call `IdempotencyCache.end`."""


@dataclass(slots=True)
class RequestInProgress:
    """The first request with this key has not ended."""


@dataclass(slots=True)
class BodyMismatch:
    """The key was used before with another body."""


@dataclass(slots=True)
class StoredAnswer:
    """The first request with this key ended with this answer."""

    answer: Any


LookupResult = FirstRequest | RequestInProgress | BodyMismatch | StoredAnswer


class RepeatPolicy(Enum):
    """How a repeat is answered once the first request has ended."""

    RUN_AGAIN = auto()  # the repeat runs, as a first request
    ANSWER = auto()  # with the stored answer
    OUTCOME_UNKNOWN = auto()  # with an error: the first request may have run


def repeat_policy(effect: Effect, outcome: str, attempts: int) -> RepeatPolicy:
    """Decides how repeats of a request are answered. `outcome`: streamed, throttled, terminated or left, as in the
    journal.

    After a rejection nothing ran, and an idempotent request may safely run twice, so that only a complete answer is
    stored. If the client left before any attempt was sent, nothing ran either.
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
    """The state of one key. `body_digest` detects another body; `until`: when the record expires, in ms."""

    body_digest: bytes
    until: float = 0.0
    answer: Any = None
    size_bytes: int = 0
    in_progress: bool = True


class IdempotencyCache:
    """Stored answers, bounded in bytes: the oldest ended records are evicted first, requests in progress never."""

    def __init__(self, byte_limit: int) -> None:
        self.byte_limit = byte_limit
        self.bytes = 0
        self.ended: OrderedDict[str, Record] = OrderedDict()
        self.in_progress: dict[str, Record] = {}

    def begin(self, key: str, body_digest: bytes, now: float) -> LookupResult:
        """Looks a key up; a new key is registered as in progress."""
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
        """Adds an answer of a previous process, unless this process has seen the key since."""
        if key not in self.in_progress and key not in self.ended:
            self.in_progress[key] = Record(body_digest)
            self.end(key, answer, size_bytes, until)

    def end(self, key: str, answer: Any, size_bytes: int, until: float) -> None:
        """Ends the first request of a key. `answer` None: nothing to store, the key is free again."""
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
        """Removes an ended record."""
        self.bytes -= self.ended.pop(key).size_bytes

    def sweep(self, now: float, max_records: int = SWEEP_RECORDS) -> None:
        """Removes expired records, looking at no more than `max_records` of the oldest."""
        for key in [k for k, _ in zip(self.ended, range(max_records), strict=False)]:
            if self.ended[key].until <= now:
                self.drop(key)
