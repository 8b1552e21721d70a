"""Snapshots: the totals of a log's entries, dumped to a separate file, so that recovery need not read all segments.

A snapshot only saves time. An incomplete one is skipped, as an older one and the segments give the same result, and one
that cannot be written is left out.
"""

from __future__ import annotations

import struct
from zlib import crc32

from ternlane.ledger.disk import Disk, write_all

SUFFIX = ".sums"
CHECKSUM = struct.Struct("<I")  # CRC-32 of all that follows
KEPT_SNAPSHOTS = 2  # the newest, and the one before in case the newest is incomplete


def snapshot_name(sequence: int) -> str:
    """The file name of the snapshot that covers entries up to this sequence number; names sort by age."""
    return f"sums-{sequence:016d}{SUFFIX}"


def snapshot_names(names: list[str]) -> list[str]:
    """The snapshots among the sorted file names, oldest first."""
    return [name for name in names if name.endswith(SUFFIX)]


def read_newest_snapshot(disk: Disk) -> bytes | None:
    """The dump in the newest complete snapshot; None if there is none. Raises OSError."""
    for name in reversed(snapshot_names(disk.names())):
        raw = disk.read(name)
        dump = raw[CHECKSUM.size :]
        if dump and CHECKSUM.unpack_from(raw)[0] == crc32(dump):
            return dump
    return None


def write_snapshot(disk: Disk, sequence: int, dump: bytes) -> None:
    """Writes a snapshot: syncs it under a temporary name, then renames it. Raises OSError."""
    name = snapshot_name(sequence)
    temporary_name = name + ".new"
    handle = disk.open(temporary_name)
    try:
        disk.truncate(handle, 0)
        write_all(disk, handle, CHECKSUM.pack(crc32(dump)) + dump)
        disk.sync(handle)
    finally:
        disk.close(handle)
    disk.rename(temporary_name, name)
    disk.sync_folder()


def remove_old_snapshots(disk: Disk, names: list[str]) -> None:
    """Removes all but the newest KEPT_SNAPSHOTS of the snapshots among these file names. Raises OSError."""
    for name in snapshot_names(names)[:-KEPT_SNAPSHOTS]:
        disk.remove(name)
