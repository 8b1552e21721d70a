"""The output of a daemon's log lines, which may be full, slow or closed without stopping the daemon."""

from __future__ import annotations

import os
import select
from typing import TextIO, cast

# A writable pipe takes this many bytes without blocking.
PIPE_BYTES = select.PIPE_BUF


class LogOutput:
    """A file for log lines. A line that cannot be written at once is dropped and counted, so that a full disk, a closed
    pipe or a stalled reader neither blocks nor ends the program."""

    def __init__(self, descriptor: int) -> None:
        self.descriptor = descriptor
        self.dropped = 0

    def write(self, text: str) -> int:
        """Writes a line, or drops what cannot be written at once. Returns the text's length; never raises OSError."""
        rest = text.encode("utf-8", "replace")
        try:
            while rest:
                if not self._writable():
                    self.dropped += 1
                    break
                rest = rest[os.write(self.descriptor, rest[:PIPE_BYTES]) :]
        except OSError:
            self.dropped += 1
        return len(text)

    def flush(self) -> None:
        """Does nothing, as nothing is buffered."""

    def _writable(self) -> bool:
        poll = select.poll()
        poll.register(self.descriptor, select.POLLOUT)
        return bool(poll.poll(0))


def log_file(stream: TextIO) -> TextIO:
    """A LogOutput on the file descriptor of `stream`, or `stream` itself if it has none."""
    try:
        return cast(TextIO, LogOutput(stream.fileno()))
    except (OSError, ValueError):
        return stream
