"""Bounds on the text that is kept for streams that might break."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class ReplayBuffer:
    """How much text may be kept: tokens and bytes of UTF-8 of one stream, and bytes of all streams together."""

    max_tokens: int
    max_stream_bytes: int
    max_total_bytes: int
    used_bytes: int = 0
    dropped: int = 0  # streams that outgrew it

    def add(self, size_bytes: int) -> None:
        """Counts a piece that is kept."""
        self.used_bytes += size_bytes

    def free(self, size_bytes: int) -> None:
        """Counts what is kept no longer."""
        self.used_bytes -= size_bytes

    def is_exceeded_by(self, stream_bytes: int, stream_tokens: int) -> bool:
        """Whether a stream of that size, or all streams together, are more than may be kept."""
        return (
            stream_bytes > self.max_stream_bytes
            or self.used_bytes > self.max_total_bytes
            or stream_tokens > self.max_tokens
        )
