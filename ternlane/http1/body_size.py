"""Limits the size of one response's body, by what it states as soon as it states it."""

from __future__ import annotations

import re

import h11

from ternlane.http1.errors import BodyTooLargeError

# The size of a chunk, of which no digit is missing; ahead of it the line end of the chunk before.
CHUNK_SIZE = re.compile(rb"(?:\r?\n)?([0-9A-Fa-f]{1,20})(?![0-9A-Fa-f]).", re.DOTALL)


class BodySizeLimit:
    """Checks one body. A chunk that states too large a size is not waited for: it might keep coming for hours."""

    def __init__(self, max_bytes: float, is_chunked: bool) -> None:
        self.max_bytes = max_bytes
        self._is_chunked = is_chunked
        self._received_bytes = 0
        self._at_chunk_start = True

    def check_stated(self, size_bytes: int) -> None:
        """Checks a stated size of what follows. Raises BodyTooLargeError."""
        if self._received_bytes + size_bytes > self.max_bytes:
            raise BodyTooLargeError(f"{size_bytes} bytes are stated, beyond the limit of {self.max_bytes:.0f}")

    def check_next(self, unparsed: bytes) -> None:
        """Checks what is about to be parsed. Raises BodyTooLargeError if a chunk begins there that is too large."""
        if not self._is_chunked or not self._at_chunk_start:
            return
        stated = CHUNK_SIZE.match(unparsed)
        if stated is not None:
            self._at_chunk_start = False
            self.check_stated(int(stated[1], 16))

    def observe(self, chunk: h11.Data) -> None:
        """Counts a part of the body. Raises BodyTooLargeError."""
        self._at_chunk_start = chunk.chunk_end
        self._received_bytes += len(chunk.data)
        if self._received_bytes > self.max_bytes:
            self.check_stated(0)
