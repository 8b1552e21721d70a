"""What crossed a socket, as JSON lines: one file a stand-in process, times in milliseconds of the machine's clock."""

from __future__ import annotations

import time
from pathlib import Path
from typing import Any

import msgspec


def clock_ms() -> float:
    """The same on all processes of a machine."""
    return time.monotonic() * 1000


class Traffic:
    def __init__(self, path: Path | None) -> None:
        self.out = None if path is None else open(path, "ab", buffering=1 << 16)
        self.lines: list[dict[str, Any]] = []  # kept only where there is no file

    def line(self, kind: str, **said: Any) -> None:
        said = {"k": kind, "t": round(clock_ms(), 2), **said}
        if self.out is None:
            self.lines.append(said)
        else:
            self.out.write(msgspec.json.encode(said) + b"\n")

    def close(self) -> None:
        if self.out is not None:
            self.out.close()


class Progress:
    """How far a process is, a line at a time. Lines are only ever added: a file that is cut and written anew is flushed
    by some file systems as it closes, which held up all clients of the process for a tenth of a second each time."""

    def __init__(self, path: Path) -> None:
        self.out = open(path, "ab", buffering=0)

    def add(self, said: dict[str, Any]) -> None:
        self.out.write(msgspec.json.encode(said) + b"\n")

    def close(self) -> None:
        self.out.close()
