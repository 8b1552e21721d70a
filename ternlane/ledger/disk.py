"""The few calls that the ledger makes of a file system, so that tests can make each of them fail."""

from __future__ import annotations

import fcntl
import os
from pathlib import Path


class Disk:
    """A folder. Raises OSError as the system does; `write` may write less than it was given."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.locked: int | None = None
        folder.mkdir(parents=True, exist_ok=True)

    def lock(self) -> bool:
        """Takes the folder for this process; false while another has it. It goes with the process, however it ends."""
        if self.locked is None:
            handle = os.open(self.folder / "lock", os.O_RDWR | os.O_CREAT, 0o640)
            try:
                fcntl.flock(handle, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except BlockingIOError:
                os.close(handle)
                return False
            self.locked = handle
        return True

    def unlock(self) -> None:
        if self.locked is not None:
            os.close(self.locked)
            self.locked = None

    def names(self) -> list[str]:
        return sorted(os.listdir(self.folder))

    def read(self, name: str) -> bytes:
        return (self.folder / name).read_bytes()

    def open(self, name: str) -> int:
        """For appending; made if it is not there."""
        return os.open(self.folder / name, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o640)

    def write(self, handle: int, data: bytes) -> int:
        return os.write(handle, data)

    def sync(self, handle: int) -> None:
        os.fdatasync(handle)

    def cut(self, handle: int, length: int) -> None:
        os.ftruncate(handle, length)

    def close(self, handle: int) -> None:
        os.close(handle)

    def rename(self, old: str, new: str) -> None:
        os.replace(self.folder / old, self.folder / new)

    def remove(self, name: str) -> None:
        os.unlink(self.folder / name)

    def sync_folder(self) -> None:
        handle = os.open(self.folder, os.O_RDONLY)
        try:
            os.fsync(handle)
        finally:
            os.close(handle)
