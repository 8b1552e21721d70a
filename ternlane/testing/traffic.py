"""Logs of the traffic at sockets, as JSON lines: one file per process, times in milliseconds of the machine's clock."""

from __future__ import annotations

import time
from pathlib import Path
from typing import Any

import msgspec

BUFFER_BYTES = 1 << 16


def clock_ms() -> float:
    """Milliseconds of the monotonic clock, which all processes of a machine share."""
    return time.monotonic() * 1000


class TrafficLog:
    """Writes lines to a file, or keeps them in memory if there is none."""

    def __init__(self, path: Path | None) -> None:
        """`path`: the file to append to; None: keep lines in memory."""
        self.lines: list[dict[str, Any]] = []  # only if there is no file
        self._file = None if path is None else open(path, "ab", buffering=BUFFER_BYTES)

    def line(self, kind: str, **fields: Any) -> None:
        """Adds a line with its kind, the time and these fields."""
        line = {"k": kind, "t": round(clock_ms(), 2), **fields}
        if self._file is None:
            self.lines.append(line)
        else:
            self._file.write(msgspec.json.encode(line) + b"\n")

    def close(self) -> None:
        """Flushes and closes the file."""
        if self._file is not None:
            self._file.close()


class ProgressLog:
    """The progress of a process, as JSON lines.

    Lines are only appended. Some file systems flush a truncated and rewritten file when it is closed, which blocked all
    clients of the process for 0.1 s each time.
    """

    def __init__(self, path: Path) -> None:
        """`path`: the file to append to."""
        self._file = open(path, "ab", buffering=0)

    def add(self, line: dict[str, Any]) -> None:
        """Writes a line immediately, without buffering."""
        self._file.write(msgspec.json.encode(line) + b"\n")

    def close(self) -> None:
        """Closes the file."""
        self._file.close()
