"""Limits on the answer of one attempt: how much of it may come, and for how long it may bring no event.

A sound stream stays within them: a token has at most one event, and what comes along (role, finish reason, usage, load
reports, comments) is little. A stream beyond them would go on for as long as its server sends. Free of I/O; the caller
passes times.
"""

from __future__ import annotations

from typing import NamedTuple

# Tokens of an answer if the request states no limit: the longest context of usual models.
DEFAULT_MAX_TOKENS = 131_072
# Events without a token.
EXTRA_EVENTS = 64
# Pieces of text without a token of their own, as where several attempts are joined.
EXTRA_PIECES = 16
# The largest event of a token: with twenty alternatives and their log probabilities.
BYTES_PER_TOKEN = 8192
# All that comes along, such as a prompt that is repeated in the answer.
EXTRA_BYTES = 2**20
# The platform allows that a client waits for 5 s after the last event; the rest is for a busy event loop.
MAX_WAIT_MS = 4500.0


class StreamLimitExceededError(ValueError):
    """A stream has brought more than can belong to the answer that was asked for."""


class StreamLimits(NamedTuple):
    """The limits of one answer. `max_wait_ms`: how long comments may keep it open after its last event."""

    max_events: float
    max_bytes: float
    max_wait_ms: float

    def check(self, events: float, size_bytes: float) -> None:
        """Raises StreamLimitExceededError if so many events or bytes are more than the answer can have."""
        if events > self.max_events:
            raise StreamLimitExceededError(f"more than {self.max_events:.0f} events")
        if size_bytes > self.max_bytes:
            raise StreamLimitExceededError(f"more than {self.max_bytes:.0f} bytes")


def stream_limits(max_tokens: float) -> StreamLimits:
    """The limits of an answer of at most so many tokens; 0 if the request states no limit."""
    tokens = max_tokens if max_tokens > 0 else DEFAULT_MAX_TOKENS
    return StreamLimits(
        max_events=tokens + EXTRA_EVENTS,
        max_bytes=tokens * BYTES_PER_TOKEN + EXTRA_BYTES,
        max_wait_ms=MAX_WAIT_MS,
    )


def text_limits(max_tokens: float) -> StreamLimits:
    """The limits of the text that a client gets of an answer, over all attempts. Events are pieces of text here."""
    limits = stream_limits(max_tokens)
    return limits._replace(max_events=limits.max_events - EXTRA_EVENTS + EXTRA_PIECES)


# Of an answer to a request that states no limit.
DEFAULT_STREAM_LIMITS = stream_limits(0)


class StreamMeter:
    """Counts the events of one stream, and tells when it counts as silent. Times are seconds of one clock."""

    def __init__(self, limits: StreamLimits, now_s: float) -> None:
        self.limits = limits
        self.events = 0
        self._last_event_s = now_s

    def count(self, events: int, now_s: float) -> None:
        """Counts further events. Raises StreamLimitExceededError if they are too many."""
        if events:
            self._last_event_s = now_s
        self.events += events
        if self.events > self.limits.max_events:
            self.limits.check(self.events, 0)

    def exclude(self, waited_s: float) -> None:
        """Excludes a time for which the client delayed the stream: it is not the server's silence."""
        self._last_event_s += waited_s

    def silent_at_s(self, now_s: float, idle_ms: float) -> float:
        """When the stream counts as silent: after `idle_ms` without an event. What has come since its last event
        prolongs that, up to `max_wait_ms`."""
        prolonged_s = min(now_s + idle_ms / 1000, self._last_event_s + self.limits.max_wait_ms / 1000)
        return max(self._last_event_s + idle_ms / 1000, prolonged_s)
