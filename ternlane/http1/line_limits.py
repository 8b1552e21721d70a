"""Limits on the lines of a message's head and trailer, which are counted before they are parsed."""

from __future__ import annotations

import re

import h11

# Several times what an ordinary message has. Parsing a line takes microseconds, however short it is.
MAX_LINES = 128
BLANK_LINE = re.compile(rb"\n\r?\n")
# The size line of the last chunk, after which the trailer follows; ahead of it the line end of the chunk before.
LAST_CHUNK = re.compile(rb"(?:\r?\n)?0{1,20}[ \t]*(?:;[^\n]*)?\r?\n")


def has_too_many_lines(data: bytes) -> bool:
    """Whether the head or trailer at the beginning of these bytes, complete or not, has more than `MAX_LINES` lines."""
    end = BLANK_LINE.search(data)
    return data.count(b"\n", 0, end.start() if end else len(data)) > MAX_LINES


class TrailerLimit:
    """Checks the trailer of one chunked body. Not for bodies with a stated length."""

    def __init__(self) -> None:
        self._at_chunk_start = True
        self._in_trailer = False

    def is_exceeded(self, unparsed: bytes) -> bool:
        """Whether the next event must not be parsed from these bytes."""
        if self._at_chunk_start and LAST_CHUNK.match(unparsed):
            self._in_trailer = True
        return self._in_trailer and has_too_many_lines(unparsed)

    def observe(self, chunk: h11.Data) -> None:
        """Follows the body after each event."""
        self._at_chunk_start = chunk.chunk_end
