"""A durable log: segments of checksummed records, snapshots of their aggregate, and recovery.

`commit` writes and syncs the appended entries; only then do they count as durable. Faults and their handling:

- A crash during a write leaves a torn tail, which recovery truncates. No entry in it was reported as durable. - After a
short write or on a full disk the segment is truncated, and the entries stay in memory for the next commit. - After a
failed sync the content on disk is unknown, and a second sync may report success for pages that were dropped. The
segment is therefore never written again; its unsynced entries go into a new one with the same sequence numbers.
Recovery skips sequence numbers that it has already seen. - Corruption within a segment, other than at its end, cannot
be the result of a crash. Recovery raises CorruptLedgerError with its position."""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Iterator
from itertools import zip_longest
from typing import Generic

from ternlane.ledger.disk import Disk, write_all
from ternlane.ledger.errors import CorruptLedgerError
from ternlane.ledger.record import encode_record
from ternlane.ledger.segment import (
    AggregateT,
    EntryT,
    LogFormat,
    Record,
    SegmentContents,
    first_sequence,
    read_segment,
    segment_names,
)
from ternlane.ledger.snapshot import read_newest_snapshot, remove_old_snapshots, write_snapshot

SEGMENT_BYTES = 16 << 20  # recovery reads at most this much besides a snapshot: about half a second
KEEP_ALL_SEGMENTS = 1 << 30
MAX_GROUP_ENTRIES = 4096  # per write and sync: limits the memory and the entries that a failed sync repeats


class SegmentedLog(Generic[EntryT, AggregateT]):
    """Synchronous; GroupCommitWriter calls it from worker threads. Only the process that holds the folder's lock may
    recover and write; `entries` and `read_totals` only read."""

    def __init__(
        self,
        log_format: LogFormat[EntryT, AggregateT],
        disk: Disk,
        segment_bytes: int = SEGMENT_BYTES,
        keep_segments: int = KEEP_ALL_SEGMENTS,
    ) -> None:
        """A segment is closed at `segment_bytes`; of those that a snapshot covers `keep_segments` are kept."""
        self.log_format = log_format
        self.disk = disk
        self.segment_bytes = segment_bytes
        self.keep_segments = keep_segments
        self.totals: AggregateT = log_format.new_aggregate()
        self.sequence = 0  # of the last appended entry
        self.durable_sequence = 0  # of the last durable entry
        self.pending: list[Record[EntryT]] = []  # appended, not durable yet
        self.torn_bytes = 0  # that recovery truncated
        self._snapshot_sequence = 0
        self._handle: int | None = None  # of the current segment
        self._durable_bytes = 0  # of the current segment

    # -- recovery

    def recover(self, on_entry: Callable[[int, EntryT], None] | None = None) -> None:
        """Restores the totals from the last snapshot and the segments that it does not cover, which are one or two
        however long the log is. `on_entry` is called with every entry in the segments, all of which are then read.
        Raises CorruptLedgerError, OSError."""
        self._load_snapshot()
        names = segment_names(self.disk.names())
        for name, next_name in zip_longest(names, names[1:]):
            covered = next_name is not None and first_sequence(next_name) <= self._snapshot_sequence + 1
            if covered and on_entry is None:
                continue
            for record in self._recover_segment(name, next_name):
                if record.sequence > self.sequence:
                    self._apply_recovered(record)
                    if on_entry is not None:
                        on_entry(record.sequence, record.entry)
        self.sequence = max(self.sequence, self._snapshot_sequence)
        self.durable_sequence = self.sequence

    def _apply_recovered(self, record: Record[EntryT]) -> None:
        self.sequence = record.sequence
        if record.sequence > self._snapshot_sequence:
            self.totals.add(record.entry)

    def _recover_segment(self, name: str, next_name: str | None) -> list[Record[EntryT]]:
        """The records of a segment, whose torn tail is truncated."""
        raw = self.disk.read(name)
        contents = read_segment(raw, name, self.log_format)
        if contents.valid_bytes < len(raw):
            if next_name is not None and not _continued_by(next_name, contents):
                raise CorruptLedgerError(
                    f"{name}: incomplete record at byte {contents.valid_bytes}, but this is not the last segment"
                )
            self.torn_bytes += len(raw) - contents.valid_bytes
            self._truncate_torn_tail(name, contents.valid_bytes)
        return contents.records

    def _truncate_torn_tail(self, name: str, valid_bytes: int) -> None:
        handle = self.disk.open(name)
        try:
            self.disk.truncate(handle, valid_bytes)
            if valid_bytes:
                self.disk.sync(handle)
        finally:
            self.disk.close(handle)
        if not valid_bytes:
            self.disk.remove(name)

    def _load_snapshot(self) -> None:
        dump = read_newest_snapshot(self.disk)
        if dump is not None:
            self.totals = self.log_format.new_aggregate()
            self._snapshot_sequence = self.totals.load(dump)

    # -- writing

    def append(self, entry: EntryT) -> int:
        """Appends an entry; returns its sequence number. The entry is durable only after the next `commit`."""
        self.sequence += 1
        self.pending.append(Record(self.sequence, entry))
        return self.sequence

    def commit(self) -> None:
        """Makes all appended entries durable. If it raises OSError, the others stay pending for the next commit."""
        while self.pending:
            group = self.pending[:MAX_GROUP_ENTRIES]
            self._write_group(group)
            self.durable_sequence = group[-1].sequence
            for record in group:
                self.totals.add(record.entry)
            del self.pending[: len(group)]
            if self._durable_bytes >= self.segment_bytes:
                self._close_segment()
                self.snapshot()

    def _write_group(self, group: list[Record[EntryT]]) -> None:
        """Writes and syncs a group. After a failed write the segment is truncated to its former end; after a failed
        sync it is abandoned, as its content on disk is unknown."""
        handle = self._open_segment(group[0].sequence) if self._handle is None else self._handle
        data = b"".join(encode_record(sequence, entry) for sequence, entry in group)
        try:
            write_all(self.disk, handle, data)
        except OSError:
            self._truncate_to_durable(handle)
            raise
        try:
            self.disk.sync(handle)
        except OSError:
            self._close_segment()
            raise
        self._durable_bytes += len(data)

    def _truncate_to_durable(self, handle: int) -> None:
        try:
            self.disk.truncate(handle, self._durable_bytes)
        except OSError:
            self._close_segment()  # recovery truncates the torn tail

    def _close_segment(self) -> None:
        if self._handle is not None:
            with contextlib.suppress(OSError):  # all durable entries have been synced
                self.disk.close(self._handle)
        self._handle = None

    def _open_segment(self, sequence: int) -> int:
        name = self.log_format.segment_name(sequence)
        if name in self.disk.names():  # left by a failed sync; none of its entries is durable
            self.disk.remove(name)
        handle = self.disk.open(name)
        self._handle = handle
        self._durable_bytes = 0
        try:
            write_all(self.disk, handle, self.log_format.magic)
            self.disk.sync(handle)
            self.disk.sync_folder()
        except OSError:
            self._close_segment()
            raise
        self._durable_bytes = len(self.log_format.magic)
        return handle

    def snapshot(self) -> None:
        """Writes the totals, then removes old snapshots and covered segments. Errors of the disk are ignored, as they
        only make the next recovery slower."""
        dump = self.totals.dump(self.durable_sequence)
        with contextlib.suppress(OSError):
            write_snapshot(self.disk, self.durable_sequence, dump)
            names = self.disk.names()
            remove_old_snapshots(self.disk, names)
            self._remove_covered_segments(segment_names(names))

    def _remove_covered_segments(self, names: list[str]) -> None:
        surplus = len(names) - self.keep_segments
        for name, next_name in zip(names, names[1:], strict=False):
            if surplus > 0 and first_sequence(next_name) <= self.durable_sequence + 1:
                self.disk.remove(name)
                surplus -= 1

    def close(self) -> None:
        """Closes the current segment and releases the lock of the folder."""
        self._close_segment()
        self.disk.unlock()

    # -- reading

    def entries(self) -> Iterator[EntryT]:
        """All entries in the segments, in order and each once; reads only. Raises CorruptLedgerError, OSError."""
        for record in self._records_after(0):
            yield record.entry

    def read_totals(self) -> AggregateT:
        """The totals on disk; reads only, as another process may be writing. Raises CorruptLedgerError, OSError."""
        self._load_snapshot()
        for record in self._records_after(self._snapshot_sequence):
            self.totals.add(record.entry)
        return self.totals

    def _records_after(self, sequence: int) -> Iterator[Record[EntryT]]:
        for name in segment_names(self.disk.names()):
            for record in read_segment(self.disk.read(name), name, self.log_format).records:
                if record.sequence > sequence:
                    sequence = record.sequence
                    yield record


def _continued_by(next_name: str, contents: SegmentContents[EntryT]) -> bool:
    """Whether the next segment repeats the entries of the torn tail, as it does after a failed sync."""
    first = first_sequence(next_name)
    last_valid = contents.records[-1].sequence if contents.records else first
    return first <= last_valid + 1
