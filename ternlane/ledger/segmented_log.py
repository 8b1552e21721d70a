"""A durable log: segments of checksummed records, snapshots of what they add up to, recovery.

`commit` writes what was appended and syncs it; only then do these entries count as kept. What goes wrong, and what is
done:

- a crash within a write leaves a torn tail: recovery cuts it off. Nothing after it was ever reported as kept;
- a short write or a full disk: the segment is cut back, the entries stay in memory and are tried again;
- a sync that fails leaves unknown what is on disk, and a second sync may report success for pages that were dropped:
  the segment is never written again; its unsynced entries go, with the same numbers, into a new one. Recovery skips
  numbers that it has met;
- damage within a segment, not at its end: no crash leaves this. Recovery refuses it, and names the place.
"""

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

SEGMENT_BYTES = 16 << 20  # what recovery reads at most beside a snapshot: about half a second
KEEP_ALL_SEGMENTS = 1 << 30
MAX_GROUP_ENTRIES = 4096  # of one write and sync: bounds its memory and what a failure sends into the next segment


class SegmentedLog(Generic[EntryT, AggregateT]):
    """Synchronous; GroupCommitWriter calls it from threads. Only the process that has the folder's lock may recover
    and write; `entries` and `read_totals` only read."""

    def __init__(
        self,
        log_format: LogFormat[EntryT, AggregateT],
        disk: Disk,
        segment_bytes: int = SEGMENT_BYTES,
        keep_segments: int = KEEP_ALL_SEGMENTS,
    ) -> None:
        """A segment is closed once it has `segment_bytes`; of segments that a snapshot covers, `keep_segments` stay."""
        self.log_format = log_format
        self.disk = disk
        self.segment_bytes = segment_bytes
        self.keep_segments = keep_segments
        self.totals: AggregateT = log_format.new_aggregate()
        self.sequence = 0  # the last number that an entry was given
        self.durable_sequence = 0  # the last number whose entry is on the disk
        self.pending: list[Record[EntryT]] = []  # appended, not kept yet
        self.torn_bytes = 0  # bytes of torn tails that recovery dropped
        self._snapshot_sequence = 0
        self._handle: int | None = None  # of the segment that is being written
        self._length = 0  # its bytes that are known to be on the disk

    # -- recovery

    def recover(self, on_entry: Callable[[int, EntryT], None] | None = None) -> None:
        """Restores the totals from the last snapshot and the segments that it does not cover, so that the time is that
        of one or two segments, however long the log. With `on_entry`, which gets every entry that segments still hold,
        all are read. Raises CorruptLedgerError, OSError."""
        self._load_snapshot()
        names = segment_names(self.disk.names())
        for name, next_name in zip_longest(names, names[1:]):
            covered = next_name is not None and first_sequence(next_name) <= self._snapshot_sequence + 1
            if covered and on_entry is None:
                continue
            for record in self._recover_segment(name, next_name):
                if record.sequence > self.sequence:
                    self._take_recovered(record)
                    if on_entry is not None:
                        on_entry(record.sequence, record.entry)
        self.sequence = max(self.sequence, self._snapshot_sequence)
        self.durable_sequence = self.sequence

    def _take_recovered(self, record: Record[EntryT]) -> None:
        self.sequence = record.sequence
        if record.sequence > self._snapshot_sequence:
            self.totals.add(record.entry)

    def _recover_segment(self, name: str, next_name: str | None) -> list[Record[EntryT]]:
        """The segment's records; its torn tail is cut off."""
        raw = self.disk.read(name)
        contents = read_segment(raw, name, self.log_format)
        if contents.valid_bytes < len(raw):
            if next_name is not None and not _continued_by(next_name, contents):
                raise CorruptLedgerError(f"{name}: torn at byte {contents.valid_bytes}, but not the last")
            self.torn_bytes += len(raw) - contents.valid_bytes
            self._cut_torn_tail(name, contents.valid_bytes)
        return contents.records

    def _cut_torn_tail(self, name: str, valid_bytes: int) -> None:
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
        """Gives the entry its sequence number, which is returned. It is kept only once `commit` has returned."""
        self.sequence += 1
        self.pending.append(Record(self.sequence, entry))
        return self.sequence

    def commit(self) -> None:
        """Keeps all that was appended. Raises OSError; then what was not kept stays pending for the next try."""
        while self.pending:
            group = self.pending[:MAX_GROUP_ENTRIES]
            self._write_group(group)
            self.durable_sequence = group[-1].sequence
            for record in group:
                self.totals.add(record.entry)
            del self.pending[: len(group)]
            if self._length >= self.segment_bytes:
                self._close_segment()
                self.snapshot()

    def _write_group(self, group: list[Record[EntryT]]) -> None:
        """Writes and syncs a group. After a failed write the segment ends where it did; after a failed sync it is left
        for good, as what the disk holds of it is unknown."""
        handle = self._begin_segment(group[0].sequence) if self._handle is None else self._handle
        data = b"".join(encode_record(sequence, entry) for sequence, entry in group)
        try:
            write_all(self.disk, handle, data)
        except OSError:
            self._cut_back(handle)
            raise
        try:
            self.disk.sync(handle)
        except OSError:
            self._close_segment()
            raise
        self._length += len(data)

    def _cut_back(self, handle: int) -> None:
        try:
            self.disk.truncate(handle, self._length)
        except OSError:
            self._close_segment()  # its tail may be torn, which recovery cuts off

    def _close_segment(self) -> None:
        if self._handle is not None:
            with contextlib.suppress(OSError):  # all that counts as kept has been synced
                self.disk.close(self._handle)
        self._handle = None

    def _begin_segment(self, sequence: int) -> int:
        name = self.log_format.segment_name(sequence)
        if name in self.disk.names():  # left by a failed sync before anything of it was kept
            self.disk.remove(name)
        handle = self.disk.open(name)
        self._handle = handle
        self._length = 0
        try:
            write_all(self.disk, handle, self.log_format.magic)
            self.disk.sync(handle)
            self.disk.sync_folder()
        except OSError:
            self._close_segment()
            raise
        self._length = len(self.log_format.magic)
        return handle

    def snapshot(self) -> None:
        """Writes the totals, then removes older snapshots and segments that are covered. What fails here costs only
        time at the next recovery, so errors of the disk are passed over."""
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
        """Ends writing, and gives the folder free."""
        self._close_segment()
        self.disk.unlock()

    # -- reading

    def entries(self) -> Iterator[EntryT]:
        """All that segments still hold, in order, each once. Reads only. Raises CorruptLedgerError, OSError."""
        for record in self._records_after(0):
            yield record.entry

    def read_totals(self) -> AggregateT:
        """The totals as they stand on the disk. Reads only, as another process may be writing. Raises
        CorruptLedgerError, OSError."""
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
    """Whether a torn segment may have one behind it: after a failed sync the next segment repeats what was not synced,
    from the first number that may be torn."""
    first = first_sequence(next_name)
    last_valid = contents.records[-1].sequence if contents.records else first
    return first <= last_valid + 1
