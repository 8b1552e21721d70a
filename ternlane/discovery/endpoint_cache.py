"""Cache of the last endpoint list on disk. A checksum detects a file that was only partly written."""

from __future__ import annotations

import os
from pathlib import Path

import msgspec
from xxhash import xxh3_64_hexdigest

from ternlane.config import NodeLine

HEADER = b"ternlane-nodes 1 "
decode_lines = msgspec.json.Decoder(list[NodeLine]).decode


class CorruptCacheError(ValueError):
    """The cache file is unreadable, incomplete or corrupt."""


def write_cache(path: Path, lines: list[NodeLine]) -> None:
    """Replaces the file atomically, so that a complete old or new file exists at any moment.

    Writes a temporary file, syncs it, renames it over the old one and syncs the directory.
    """
    body = msgspec.json.encode(lines)
    temporary = path.with_name(path.name + ".new")
    with open(temporary, "wb") as out:
        out.write(HEADER + xxh3_64_hexdigest(body).encode() + b"\n" + body)
        out.flush()
        os.fsync(out.fileno())
    os.replace(temporary, path)
    directory = os.open(path.parent, os.O_RDONLY)
    try:
        os.fsync(directory)
    finally:
        os.close(directory)


def read_cache(path: Path) -> list[NodeLine] | None:
    """Returns the cached lines, or None if there is no file. Raises CorruptCacheError."""
    try:
        raw = path.read_bytes()
    except FileNotFoundError:
        return None
    except OSError as why:
        raise CorruptCacheError(f"{path}: {why}") from None
    head, _, body = raw.partition(b"\n")
    if not head.startswith(HEADER) or head[len(HEADER) :] != xxh3_64_hexdigest(body).encode():
        raise CorruptCacheError(f"{path}: checksum mismatch or unknown header")
    try:
        return decode_lines(body)
    except msgspec.DecodeError as why:
        raise CorruptCacheError(f"{path}: {why}") from None
