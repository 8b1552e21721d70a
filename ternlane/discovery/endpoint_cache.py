"""The last list on disk. A file that was torn while being written is recognised and not used."""

from __future__ import annotations

import os
from pathlib import Path

import msgspec
from xxhash import xxh3_64_hexdigest

from ternlane.config import NodeLine

HEADER = b"ternlane-nodes 1 "
decode_lines = msgspec.json.Decoder(list[NodeLine]).decode


class CorruptCacheError(ValueError):
    """The file is not one that was written whole."""


def write_cache(path: Path, lines: list[NodeLine]) -> None:
    """Written beside, synced, renamed over, and the folder synced: at any moment the old or the new file is whole."""
    body = msgspec.json.encode(lines)
    fresh = path.with_name(path.name + ".new")
    with open(fresh, "wb") as out:
        out.write(HEADER + xxh3_64_hexdigest(body).encode() + b"\n" + body)
        out.flush()
        os.fsync(out.fileno())
    os.replace(fresh, path)
    folder = os.open(path.parent, os.O_RDONLY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)


def read_cache(path: Path) -> list[NodeLine] | None:
    """None if there is no file. Raises TornCacheError."""
    try:
        raw = path.read_bytes()
    except FileNotFoundError:
        return None
    except OSError as why:
        raise CorruptCacheError(f"{path}: {why}") from None
    head, _, body = raw.partition(b"\n")
    if not head.startswith(HEADER) or head[len(HEADER) :] != xxh3_64_hexdigest(body).encode():
        raise CorruptCacheError(f"{path}: its checksum does not match its text")
    try:
        return decode_lines(body)
    except msgspec.DecodeError as why:
        raise CorruptCacheError(f"{path}: {why}") from None
