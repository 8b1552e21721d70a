"""Where a daemon's log lines go: a descriptor that may be full, slow or closed, which must not end the daemon."""

from __future__ import annotations

import os
import select
from typing import TextIO, cast

# So much can be written without waiting once a pipe is writable.
PIPE_BYTES = select.PIPE_BUF


class LogOutput:
    """A file to write log lines to. A line that can't be written at once is dropped and counted: neither a full disk, a
    closed pipe nor a reader that stands still stops or ends the program."""

    def __init__(self, descriptor: int) -> None:
        self.descriptor = descriptor
        self.dropped = 0

    def write(self, text: str) -> int:
        """Writes a line, or drops what can't be written at once. Never raises OSError; returns the text's length."""
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
        """Nothing is kept back."""

    def _writable(self) -> bool:
        poll = select.poll()
        poll.register(self.descriptor, select.POLLOUT)
        return bool(poll.poll(0))


def log_file(stream: TextIO) -> TextIO:
    """The same place as `stream`, as a LogOutput where it is a descriptor."""
    try:
        return cast(TextIO, LogOutput(stream.fileno()))
    except (OSError, ValueError):
        return stream
