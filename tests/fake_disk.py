"""An in-memory disk with injected failures."""

from __future__ import annotations

import random

from ternlane.ledger import Disk


class CrashError(Exception):
    """Stands for the end of the process at this call."""


class FakeDisk(Disk):
    """An in-memory disk whose call number `fail_at` fails. `failure` is "crash" (during the call), "short" (a short
    write), "full" or "sync" (a failed sync); a crash may lose unsynced bytes."""

    def __init__(self, fail_at: int = -1, failure: str = "") -> None:
        self.files: dict[str, bytearray] = {}
        self.synced: dict[str, int] = {}
        self.handles: dict[int, str] = {}
        self.fail_at = fail_at
        self.failure = failure
        self.calls = 0
        self.next_handle = 1

    def next_call_fails(self) -> bool:
        """Counts a call; true for call number `fail_at`."""
        self.calls += 1
        return self.calls == self.fail_at

    def lock(self) -> bool:
        return True

    def unlock(self) -> None:
        pass

    def names(self) -> list[str]:
        return sorted(self.files)

    def read(self, name: str) -> bytes:
        return bytes(self.files[name])

    def open(self, name: str) -> int:
        if self.next_call_fails() and self.failure == "full":
            raise OSError(28, "full")
        self.files.setdefault(name, bytearray())
        self.synced.setdefault(name, 0)
        self.next_handle += 1
        self.handles[self.next_handle] = name
        return self.next_handle

    def write(self, handle: int, data: bytes) -> int:
        name = self.handles[handle]
        fails = self.next_call_fails()
        if fails and self.failure == "full":
            self.files[name] += data[: len(data) // 2]
            raise OSError(28, "full")
        if fails and self.failure == "crash":
            self.files[name] += data[: len(data) // 2]
            raise CrashError
        part = data[: max(1, len(data) // 2)] if fails and self.failure == "short" else data
        self.files[name] += part
        return len(part)

    def sync(self, handle: int) -> None:
        name = self.handles[handle]
        fails = self.next_call_fails()
        if fails and self.failure == "crash":
            raise CrashError
        if fails and self.failure in ("sync", "full"):
            del self.files[name][self.synced[name] + (len(self.files[name]) - self.synced[name]) // 3 :]
            raise OSError(5, "sync")
        self.synced[name] = len(self.files[name])

    def truncate(self, handle: int, length: int) -> None:
        name = self.handles[handle]
        del self.files[name][length:]
        self.synced[name] = min(self.synced[name], length)

    def close(self, handle: int) -> None:
        self.handles.pop(handle, None)

    def rename(self, old: str, new: str) -> None:
        if self.next_call_fails() and self.failure == "crash":
            raise CrashError
        self.files[new] = self.files.pop(old)
        self.synced[new] = self.synced.pop(old)

    def remove(self, name: str) -> None:
        del self.files[name], self.synced[name]

    def sync_folder(self) -> None:
        if self.next_call_fails() and self.failure == "crash":
            raise CrashError

    def after_crash(self, rng: random.Random) -> FakeDisk:
        """The disk after a crash: the synced bytes, and a random part of the rest."""
        disk = FakeDisk()
        for name, data in self.files.items():
            keep = self.synced[name] + rng.randint(0, len(data) - self.synced[name])
            disk.files[name] = bytearray(data[:keep])
            disk.synced[name] = keep
        return disk
