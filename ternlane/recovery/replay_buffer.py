"""Limits on the text that is buffered so that broken streams can be resumed."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class ReplayBuffer:
    """How much text may be buffered: tokens and UTF-8 bytes for one stream, and bytes for all streams together."""

    max_tokens: int
    max_stream_bytes: int
    max_total_bytes: int
    used_bytes: int = 0
    overflowed_streams: int = 0  # streams whose text exceeded a limit

    def add(self, size_bytes: int) -> None:
        """Counts a buffered piece."""
        self.used_bytes += size_bytes

    def free(self, size_bytes: int) -> None:
        """Counts buffered text that was released."""
        self.used_bytes -= size_bytes

    def is_exceeded_by(self, stream_bytes: int, stream_tokens: int) -> bool:
        """Whether a stream of that size, or all streams together, exceed the limits."""
        return (
            stream_bytes > self.max_stream_bytes
            or self.used_bytes > self.max_total_bytes
            or stream_tokens > self.max_tokens
        )
