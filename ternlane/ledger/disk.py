"""The file-system calls that a ledger makes, in one place, so that tests can make each of them fail."""

from __future__ import annotations

import errno
import fcntl
import os
from pathlib import Path

FILE_MODE = 0o640  # bills are for the gateway's user and group


class Disk:
    """One folder, made if it is not there. Methods raise OSError as the system does."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self._lock_handle: int | None = None
        folder.mkdir(parents=True, exist_ok=True)

    def lock(self) -> bool:
        """Locks the folder for this process; false while another has it. The lock ends with the process, however that
        ends."""
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
        """Gives the folder free, if it was locked."""
        if self._lock_handle is not None:
            os.close(self._lock_handle)
            self._lock_handle = None

    def names(self) -> list[str]:
        """The names of all files, sorted."""
        return sorted(os.listdir(self.folder))

    def read(self, name: str) -> bytes:
        """The whole content of a file."""
        return (self.folder / name).read_bytes()

    def open(self, name: str) -> int:
        """A handle for appending to the file, which is made if it is not there."""
        return os.open(self.folder / name, os.O_WRONLY | os.O_CREAT | os.O_APPEND, FILE_MODE)

    def write(self, handle: int, data: bytes) -> int:
        """Appends a beginning of the data; returns how many bytes, which may be fewer than were given."""
        return os.write(handle, data)

    def sync(self, handle: int) -> None:
        """Waits until the file's data is on the disk."""
        os.fdatasync(handle)

    def truncate(self, handle: int, length: int) -> None:
        """Cuts the file to this length in bytes."""
        os.ftruncate(handle, length)

    def close(self, handle: int) -> None:
        """Closes a handle."""
        os.close(handle)

    def rename(self, old: str, new: str) -> None:
        """Renames a file, and replaces one that has the new name."""
        os.replace(self.folder / old, self.folder / new)

    def remove(self, name: str) -> None:
        """Removes a file."""
        os.unlink(self.folder / name)

    def sync_folder(self) -> None:
        """Waits until new, renamed and removed names are on the disk."""
        handle = os.open(self.folder, os.O_RDONLY)
        try:
            os.fsync(handle)
        finally:
            os.close(handle)


def write_all(disk: Disk, handle: int, data: bytes) -> None:
    """Appends all of the data. Raises OSError; then any beginning of it may be in the file."""
    written = 0
    while written < len(data):
        count = disk.write(handle, data[written:])
        if count <= 0:
            raise OSError(errno.ENOSPC, "nothing could be written")
        written += count
