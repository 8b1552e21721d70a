"""All file-system calls of a ledger, in one class, so that tests can make each of them fail."""

from __future__ import annotations

import errno
import fcntl
import os
from pathlib import Path

FILE_MODE = 0o640  # bills are readable by the gateway's user and group only


class Disk:
    """The folder of a log, created if missing. Methods raise OSError."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self._lock_handle: int | None = None
        folder.mkdir(parents=True, exist_ok=True)

    def lock(self) -> bool:
        """Locks the folder for this process; false if another process holds the lock. The operating system releases the
        lock when the process ends, also after a crash."""
        if self._lock_handle is not None:
            return True
        handle = os.open(self.folder / "lock", os.O_RDWR | os.O_CREAT, FILE_MODE)
        try:
            fcntl.flock(handle, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(handle)
            return False
        self._lock_handle = handle
        return True

    def unlock(self) -> None:
        """Releases the lock, if it is held."""
        if self._lock_handle is not None:
            os.close(self._lock_handle)
            self._lock_handle = None

    def names(self) -> list[str]:
        """The names of all files, sorted."""
        return sorted(os.listdir(self.folder))

    def read(self, name: str) -> bytes:
        """Reads a file completely."""
        return (self.folder / name).read_bytes()

    def open(self, name: str) -> int:
        """Opens a file for appending, created if missing; returns its handle."""
        return os.open(self.folder / name, os.O_WRONLY | os.O_CREAT | os.O_APPEND, FILE_MODE)

    def write(self, handle: int, data: bytes) -> int:
        """Appends data; returns the number of bytes written, which may be fewer than given."""
        return os.write(handle, data)

    def sync(self, handle: int) -> None:
        """Waits until the data of the file is durable."""
        os.fdatasync(handle)

    def truncate(self, handle: int, length: int) -> None:
        """Truncates the file to a length in bytes."""
        os.ftruncate(handle, length)

    def close(self, handle: int) -> None:
        """Closes a handle."""
        os.close(handle)

    def rename(self, old: str, new: str) -> None:
        """Renames a file; an existing file of the new name is replaced."""
        os.replace(self.folder / old, self.folder / new)

    def remove(self, name: str) -> None:
        """Removes a file."""
        os.unlink(self.folder / name)

    def sync_folder(self) -> None:
        """Waits until created, renamed and removed names are durable."""
        handle = os.open(self.folder, os.O_RDONLY)
        try:
            os.fsync(handle)
        finally:
            os.close(handle)


def write_all(disk: Disk, handle: int, data: bytes) -> None:
    """Appends all of the data. If it raises OSError, a part of the data may have been written."""
    written = 0
    while written < len(data):
        count = disk.write(handle, data[written:])
        if count <= 0:
            raise OSError(errno.ENOSPC, "write returned 0 bytes")
        written += count
