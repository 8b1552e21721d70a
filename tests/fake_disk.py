"""A disk in memory, whose calls can be made to fail."""

from __future__ import annotations

import random

from ternlane.ledger import Disk


class CrashError(Exception):
    """The process ends here."""


class FakeDisk(Disk):
    """A disk in memory that fails at the n-th call: torn, short, full or at a sync; a crash loses unsynced bytes."""

    def __init__(self, fail_at: int = -1, how: str = "") -> None:
        self.files: dict[str, bytearray] = {}
        self.synced: dict[str, int] = {}
        self.handles: dict[int, str] = {}
        self.fail_at = fail_at
        self.how = how
        self.calls = 0
        self.next_handle = 1

    def failing(self) -> bool:
        """Counts a call that may fail; true for the one that does."""
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
        if self.failing() and self.how == "full":
            raise OSError(28, "full")
        self.files.setdefault(name, bytearray())
        self.synced.setdefault(name, 0)
        self.next_handle += 1
        self.handles[self.next_handle] = name
        return self.next_handle

    def write(self, handle: int, data: bytes) -> int:
        name = self.handles[handle]
        fails = self.failing()
        if fails and self.how == "full":
            self.files[name] += data[: len(data) // 2]
            raise OSError(28, "full")
        if fails and self.how == "crash":
            self.files[name] += data[: len(data) // 2]
            raise CrashError
        part = data[: max(1, len(data) // 2)] if fails and self.how == "short" else data
        self.files[name] += part
        return len(part)

    def sync(self, handle: int) -> None:
        name = self.handles[handle]
        fails = self.failing()
        if fails and self.how == "crash":
            raise CrashError
        if fails and self.how in ("sync", "full"):
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
        if self.failing() and self.how == "crash":
            raise CrashError
        self.files[new] = self.files.pop(old)
        self.synced[new] = self.synced.pop(old)

    def remove(self, name: str) -> None:
        del self.files[name], self.synced[name]

    def sync_folder(self) -> None:
        if self.failing() and self.how == "crash":
            raise CrashError

    def after_crash(self, rng: random.Random) -> FakeDisk:
        """What a restart finds: what was synced, and any beginning of the rest."""
        disk = FakeDisk()
        for name, data in self.files.items():
            keep = self.synced[name] + rng.randint(0, len(data) - self.synced[name])
            disk.files[name] = bytearray(data[:keep])
            disk.synced[name] = keep
        return disk
