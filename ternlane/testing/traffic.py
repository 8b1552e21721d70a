"""What crossed a socket, as JSON lines: one file a process, times in milliseconds of the machine's clock."""

from __future__ import annotations

import time
from pathlib import Path
from typing import Any

import msgspec

BUFFER_BYTES = 1 << 16


def clock_ms() -> float:
    """The same on all processes of a machine."""
    return time.monotonic() * 1000


class TrafficLog:
    """Writes lines to a file, or keeps them where there is none."""

    def __init__(self, path: Path | None) -> None:
        """Lines are added to the file."""
        self.lines: list[dict[str, Any]] = []  # only where there is no file
        self._file = None if path is None else open(path, "ab", buffering=BUFFER_BYTES)

    def line(self, kind: str, **fields: Any) -> None:
        """Writes a line with the kind, the time and these fields."""
        line = {"k": kind, "t": round(clock_ms(), 2), **fields}
        if self._file is None:
            self.lines.append(line)
        else:
            self._file.write(msgspec.json.encode(line) + b"\n")

    def close(self) -> None:
        """Writes what is still in the buffer."""
        if self._file is not None:
            self._file.close()


class ProgressLog:
    """How far a process is, a line at a time.

    Lines are only ever added: some file systems flush a file that is cut and written anew as it closes, which held up
    all clients of the process for a tenth of a second each time.
    """

    def __init__(self, path: Path) -> None:
        """Lines are added to the file."""
        self._file = open(path, "ab", buffering=0)

    def add(self, line: dict[str, Any]) -> None:
        """Writes a line at once."""
        self._file.write(msgspec.json.encode(line) + b"\n")

    def close(self) -> None:
        """Closes the file."""
        self._file.close()
