"""The last list on disk. A file that was torn while being written is recognised and not used."""

from __future__ import annotations

import os
from pathlib import Path

import msgspec
from xxhash import xxh3_64_hexdigest

from ternlane.config import NodeLine

HEAD = b"ternlane-nodes 1 "
lines_in = msgspec.json.Decoder(list[NodeLine])


class Torn(ValueError):
    """The file is not one that was written whole."""


def keep(path: Path, lines: list[NodeLine]) -> None:
    """Written beside, synced, renamed over, and the folder synced: at any moment the old or the new file is whole."""
    body = msgspec.json.encode(lines)
    fresh = path.with_name(path.name + ".new")
    with open(fresh, "wb") as out:
        out.write(HEAD + xxh3_64_hexdigest(body).encode() + b"\n" + body)
        out.flush()
        os.fsync(out.fileno())
    os.replace(fresh, path)
    folder = os.open(path.parent, os.O_RDONLY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)


def kept(path: Path) -> list[NodeLine] | None:
    """None if there is no file. Raises Torn."""
    try:
        raw = path.read_bytes()
    except FileNotFoundError:
        return None
    except OSError as why:
        raise Torn(f"{path}: {why}") from None
    head, _, body = raw.partition(b"\n")
    if not head.startswith(HEAD) or head[len(HEAD) :] != xxh3_64_hexdigest(body).encode():
        raise Torn(f"{path}: its checksum does not match its text")
    try:
        return lines_in.decode(body)
    except msgspec.DecodeError as why:
        raise Torn(f"{path}: {why}") from None
