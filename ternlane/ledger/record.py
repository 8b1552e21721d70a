"""The format of a record on disk: a header with length, CRC-32 and sequence number, then the entry in MessagePack."""

from __future__ import annotations

import struct
from zlib import crc32

import msgspec

HEADER = struct.Struct("<IIQ")  # body length in bytes, CRC-32, sequence number
# Entries take some hundred bytes. A larger length is corrupt, and must not be read as gigabytes of body.
MAX_BODY_BYTES = 1 << 20

_encode_entry = msgspec.msgpack.Encoder().encode


def checksum(body: bytes, sequence: int) -> int:
    """CRC-32 of the body, seeded with the sequence number, so that a body with a wrong number does not match."""
    return crc32(body, sequence & 0xFFFFFFFF)


def encode_record(sequence: int, entry: object) -> bytes:
    """The bytes of one record."""
    body = _encode_entry(entry)
    return HEADER.pack(len(body), checksum(body, sequence), sequence) + body


def record_at(raw: bytes, offset: int) -> tuple[int, bytes] | None:
    """Sequence number and body of the record at this offset; None if it is incomplete or its checksum is wrong."""
    if len(raw) - offset < HEADER.size:
        return None
    length, crc, sequence = HEADER.unpack_from(raw, offset)
    start = offset + HEADER.size
    if length > MAX_BODY_BYTES or length > len(raw) - start:
        return None
    body = raw[start : start + length]
    return (sequence, body) if checksum(body, sequence) == crc else None
