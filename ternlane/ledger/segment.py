"""Segments: the files of a log, each a magic number followed by records in the order of their sequence numbers."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Generic, NamedTuple, Protocol, TypeVar

from ternlane.ledger.errors import CorruptLedgerError
from ternlane.ledger.record import HEADER, record_at

SUFFIX = ".seg"
# Complete records after an invalid one prove corruption, as a write that a crash interrupted has none after it. Such a
# write is no longer than one group of entries, so only the end of the file is searched for them.
TAIL_SCAN_BYTES = 64 << 10

EntryT = TypeVar("EntryT")
AddedT = TypeVar("AddedT", contravariant=True)
AggregateT = TypeVar("AggregateT", bound="Aggregate")  # type: ignore[type-arg]


class Aggregate(Protocol[AddedT]):
    """The state that the entries of a log add up to. A snapshot of it replaces the segments that it covers."""

    def add(self, entry: AddedT) -> None:
        """Applies the next entry."""

    def dump(self, seq: int) -> bytes:
        """The encoded state after the entry of this sequence number."""

    def load(self, raw: bytes) -> int:
        """Replaces the state by a dump; returns the dump's sequence number."""


@dataclass(frozen=True)
class LogFormat(Generic[EntryT, AggregateT]):
    """The format of one kind of log: its file name prefix, magic number, entries and aggregate."""

    prefix: str
    magic: bytes
    decode: Callable[[bytes], EntryT]
    new_aggregate: Callable[[], AggregateT]

    def segment_name(self, first_sequence: int) -> str:
        """The file name of the segment that begins with this sequence number; names sort in the order of the log."""
        return f"{self.prefix}-{first_sequence:016d}{SUFFIX}"


class Record(NamedTuple, Generic[EntryT]):
    """An entry with its sequence number, which counts from 1 over all segments of a log."""

    sequence: int
    entry: EntryT


@dataclass(frozen=True)
class SegmentContents(Generic[EntryT]):
    """The records of a segment. Bytes beyond `valid_bytes` are a torn tail, left by an interrupted write."""

    records: list[Record[EntryT]]
    valid_bytes: int


def segment_names(names: list[str]) -> list[str]:
    """The segments among the sorted file names, oldest first."""
    return [name for name in names if name.endswith(SUFFIX)]


def first_sequence(name: str) -> int:
    """The sequence number with which the segment of this name begins."""
    return int(name.removesuffix(SUFFIX).rpartition("-")[2])


def read_segment(raw: bytes, name: str, log_format: LogFormat[EntryT, AggregateT]) -> SegmentContents[EntryT]:
    """Decodes a segment up to a torn tail. Raises CorruptLedgerError for damage that no interrupted write can cause."""
    magic = log_format.magic
    start = raw[: len(magic)]
    if start != magic:
        if magic.startswith(start):
            return SegmentContents([], 0)
        raise CorruptLedgerError(f"{name}: wrong magic number, not a segment of this log")
    records: list[Record[EntryT]] = []
    offset = len(magic)
    while offset < len(raw):
        found = record_at(raw, offset)
        if found is None:
            if _record_follows(raw, offset + 1):
                raise CorruptLedgerError(f"{name}: corrupt record at byte {offset}, followed by valid records")
            break
        sequence, body = found
        records.append(Record(sequence, log_format.decode(body)))
        offset += HEADER.size + len(body)
    return SegmentContents(records, offset)


def _record_follows(raw: bytes, offset: int) -> bool:
    """Whether a complete record follows an invalid one, which an interrupted write cannot leave. Records with an empty
    body do not count, as a run of zero bytes looks like one."""
    first = max(offset, len(raw) - TAIL_SCAN_BYTES)
    for candidate in range(first, len(raw) - HEADER.size):
        found = record_at(raw, candidate)
        if found is not None and found[1]:
            return True
    return False
