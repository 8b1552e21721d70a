"""Append-only segments of checksummed records, snapshots of the sums, recovery.

A record: length, CRC-32 and sequence number, then the entry. `commit` writes what was appended and syncs it; only then
do its entries count as kept. What goes wrong, and what is done:

- a crash within a write leaves a torn tail: recovery cuts it off. Nothing after it was ever reported as kept;
- a short write or a full disk: the segment is cut back, the entries wait in memory and are tried again;
- a sync that fails leaves unknown what is on disk, and a second sync may say "well" of pages that were dropped: the
  segment is never written again; its unsynced entries go, with the same numbers, into a new one. Recovery skips numbers
  that it has met;
- damage within a segment that is not at its end is not a crash's doing: recovery refuses, and names the place.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass, field
from typing import Callable, Generic, Iterator, Protocol, TypeVar
from zlib import crc32

import msgspec

from ternlane.ledger.disk import Disk
from ternlane.tenants.billing import Used
from ternlane.tenants.usage_accounting import Entry

HEAD = struct.Struct("<IIQ")
MAGIC = b"TLBILLS1"
RECORD_LIMIT = 1 << 20
encode = msgspec.msgpack.Encoder().encode
E = TypeVar("E")
C = TypeVar("C", contravariant=True)
F = TypeVar("F", bound="Fold")  # type: ignore[type-arg]


class Damaged(Exception):
    """A ledger that no crash can have left so."""


class Fold(Protocol[C]):
    """What a log comes to, entry by entry; a snapshot of it stands for the segments that it covers."""

    def add(self, entry: C) -> None: ...

    def dump(self, seq: int) -> bytes: ...

    def load(self, raw: bytes) -> int:
        """Takes over a dump; gives its number."""


@dataclass(frozen=True)
class Kind(Generic[E, F]):
    """One sort of log: five letters that its files begin with, their first bytes, and what its entries come to."""

    prefix: str
    magic: bytes
    decode: Callable[[bytes], E]
    fold: Callable[[], F]

    def segment_name(self, first: int) -> str:
        return f"{self.prefix}-{first:016d}.seg"


class Sum(msgspec.Struct, array_like=True):
    count: int = 0
    bill: Used = Used()
    house: Used = Used()
    micros: int = 0


class Snapshot(msgspec.Struct):
    seq: int
    sums: list[tuple[str, str, str, Sum]]


@dataclass
class Totals:
    """Sums by tenant, product and period."""

    sums: dict[tuple[str, str, str], Sum] = field(default_factory=dict)

    def add(self, entry: Entry) -> None:
        key = entry.tenant, entry.request_class, entry.period
        it = self.sums.get(key)
        if it is None:
            it = self.sums[key] = Sum()
        it.count += 1
        it.bill, it.house = it.bill.plus(entry.bill), it.house.plus(entry.house)
        it.micros += entry.micros

    def dump(self, seq: int) -> bytes:
        return msgspec.msgpack.encode(Snapshot(seq, [(*key, it) for key, it in self.sums.items()]))

    def load(self, raw: bytes) -> int:
        snapshot = msgspec.msgpack.decode(raw, type=Snapshot)
        self.sums = {(a, b, c): it for a, b, c, it in snapshot.sums}
        return snapshot.seq


BILLS: Kind[Entry, Totals] = Kind("bills", MAGIC, msgspec.msgpack.Decoder(Entry).decode, Totals)


def record(seq: int, entry: object) -> bytes:
    body = encode(entry)
    return HEAD.pack(len(body), crc32(body, seq & 0xFFFFFFFF), seq) + body


def read_segment(raw: bytes, name: str, last: bool, kind: Kind[E, F]) -> tuple[list[tuple[int, E]], int]:
    """Its records, and how many bytes of it are whole. Raises Damaged unless the trouble is at the end of the last."""
    out: list[tuple[int, E]] = []
    magic = kind.magic
    if raw[: len(magic)] != magic:
        if last and magic.startswith(raw[: len(magic)]):
            return out, 0
        raise Damaged(f"{name}: not a ledger segment")
    at = len(magic)
    while at < len(raw):
        whole = False
        if len(raw) - at >= HEAD.size:
            length, crc, seq = HEAD.unpack_from(raw, at)
            body = raw[at + HEAD.size : at + HEAD.size + length]
            whole = length <= RECORD_LIMIT and len(body) == length and crc32(body, seq & 0xFFFFFFFF) == crc
        if not whole:
            if last and not later_record(raw, at + 1):
                return out, at
            raise Damaged(f"{name}: damaged at byte {at}, and it goes on behind")
        out.append((seq, kind.decode(body)))
        at += HEAD.size + length
    return out, at


def later_record(raw: bytes, since: int) -> bool:
    """Is there a whole record behind a torn one? A torn write leaves none; looked for in the last 64 KiB only."""
    for at in range(max(since, len(raw) - 65536), len(raw) - HEAD.size):
        length, crc, seq = HEAD.unpack_from(raw, at)
        if (
            0 < length <= len(raw) - at - HEAD.size
            and length <= RECORD_LIMIT
            and crc32(raw[at + HEAD.size : at + HEAD.size + length], seq & 0xFFFFFFFF) == crc
        ):
            return True
    return False


class Segmented(Generic[E, F]):
    """Synchronous; the writer calls it off the loop. One process writes a folder: the one that has its lock."""

    def __init__(
        self, kind: Kind[E, F], disk: Disk, segment_bytes: int = 16 << 20, keep_segments: int = 1 << 30
    ) -> None:
        self.kind, self.disk, self.segment_bytes, self.keep_segments = kind, disk, segment_bytes, keep_segments
        self.totals: F = kind.fold()
        self.seq, self.kept = 0, 0  # last number given; last number on disk
        self.pending: list[tuple[int, E]] = []
        self.handle: int | None = None
        self.name, self.length = "", 0
        self.cut_off = 0  # bytes of torn tails that recovery dropped
        self.snapshot_seq = 0

    # -- recovery

    def recover(self, each: Callable[[int, E], None] | None = None) -> None:
        """Brings the sums back: by the last snapshot and the segments that it does not cover, so the time is that of
        one segment or two, however long the ledger. With `each`, which gets every entry that segments still hold,
        all are read. Raises Damaged."""
        self.load_snapshot()
        segments = [n for n in self.disk.names() if n.endswith(".seg")]
        for i, name in enumerate(segments):
            covered = i + 1 < len(segments) and int(segments[i + 1][6:22]) <= self.snapshot_seq + 1
            if covered and each is None:
                continue
            records, whole = read_segment(raw := self.disk.read(name), name, True, self.kind)
            if whole < len(raw):
                if i < len(segments) - 1 and not self.followed(segments[i + 1], records):
                    raise Damaged(f"{name}: torn at byte {whole}, but not the last")
                self.cut_off += len(raw) - whole
                handle = self.disk.open(name)
                try:
                    self.disk.cut(handle, max(whole, 0))
                    if whole:
                        self.disk.sync(handle)
                finally:
                    self.disk.close(handle)
                if not whole:
                    self.disk.remove(name)
            for seq, entry in records:
                if seq > self.seq:
                    self.seq = seq
                    if seq > self.snapshot_seq:
                        self.totals.add(entry)
                    if each is not None:
                        each(seq, entry)
        self.seq = max(self.seq, self.snapshot_seq)
        self.kept = self.seq

    def followed(self, following: str, records: list[tuple[int, E]]) -> bool:
        """After a failed sync the next segment repeats from where the torn one was last known whole."""
        first = int(following[6:22])
        return first <= (records[-1][0] if records else first) + 1

    def load_snapshot(self) -> None:
        for name in reversed([n for n in self.disk.names() if n.endswith(".sums")]):
            raw = self.disk.read(name)
            crc, body = raw[:4], raw[4:]
            if len(raw) < 5 or struct.unpack("<I", crc)[0] != crc32(body):
                continue  # torn while it was written: an older one and the segments say the same
            self.totals = self.kind.fold()
            self.snapshot_seq = self.totals.load(body)
            return

    # -- writing

    def append(self, entry: E) -> int:
        """Gives the entry its number; kept only once `commit` has returned."""
        self.seq += 1
        self.pending.append((self.seq, entry))
        return self.seq

    def commit(self) -> None:
        """Keeps all that was appended. Raises OSError; everything not kept stays pending and is tried again."""
        while self.pending:
            if self.handle is None:
                self.begin_segment()
            assert self.handle is not None
            batch = self.pending[:4096]
            data = b"".join(record(seq, entry) for seq, entry in batch)
            try:
                self.write_all(data)
            except OSError:
                self.cut_back()
                raise
            try:
                self.disk.sync(self.handle)
            except OSError:
                self.leave_segment()
                raise
            self.length += len(data)
            self.kept = batch[-1][0]
            for _, entry in batch:
                self.totals.add(entry)
            del self.pending[: len(batch)]
            if self.length >= self.segment_bytes:
                self.leave_segment()
                self.snapshot()

    def write_all(self, data: bytes) -> None:
        assert self.handle is not None
        done = 0
        while done < len(data):
            n = self.disk.write(self.handle, data[done:])
            if n <= 0:
                raise OSError(28, "nothing could be written")
            done += n

    def cut_back(self) -> None:
        assert self.handle is not None
        try:
            self.disk.cut(self.handle, self.length)
        except OSError:
            self.leave_segment()  # its tail may be torn: recovery knows how

    def leave_segment(self) -> None:
        if self.handle is not None:
            try:
                self.disk.close(self.handle)
            except OSError:
                pass
        self.handle = None

    def begin_segment(self) -> None:
        name = self.kind.segment_name(self.pending[0][0])
        if name in self.disk.names():  # left after a failed sync before anything of it was kept
            self.disk.remove(name)
        self.handle, self.name, self.length = self.disk.open(name), name, 0
        try:
            self.write_all(self.kind.magic)
            self.disk.sync(self.handle)
            self.disk.sync_folder()
        except OSError:
            self.leave_segment()
            raise
        self.length = len(self.kind.magic)

    def snapshot(self) -> None:
        """Writes the sums beside, syncs, renames; then drops segments that it covers, but for the newest ones. What
        fails here costs only time at the next recovery."""
        body = self.totals.dump(self.kept)
        name = f"sums-{self.kept:016d}.sums"
        try:
            handle = self.disk.open(name + ".new")
            try:
                self.disk.cut(handle, 0)
                data, done = struct.pack("<I", crc32(body)) + body, 0
                while done < len(data):
                    done += self.disk.write(handle, data[done:])
                self.disk.sync(handle)
            finally:
                self.disk.close(handle)
            self.disk.rename(name + ".new", name)
            self.disk.sync_folder()
            names = self.disk.names()
            for old in [n for n in names if n.endswith(".sums")][:-2]:
                self.disk.remove(old)
            segments = [n for n in names if n.endswith(".seg")]
            for old, following in zip(segments, segments[1:], strict=False):
                if int(following[6:22]) <= self.kept + 1 and len(segments) > self.keep_segments:
                    self.disk.remove(old)
                    segments = segments[1:]
        except OSError:
            return

    def entries(self) -> Iterator[E]:
        """All that segments still hold, in order, each once. For bills and reconciling; reads only."""
        last = 0
        for name in [n for n in self.disk.names() if n.endswith(".seg")]:
            for seq, entry in read_segment(self.disk.read(name), name, True, self.kind)[0]:
                if seq > last:
                    last = seq
                    yield entry

    def read_sums(self) -> F:
        """The sums as they stand, without owning the folder or mending anything: another process may be writing."""
        self.load_snapshot()
        seq = self.snapshot_seq
        for name in [n for n in self.disk.names() if n.endswith(".seg")]:
            for at, entry in read_segment(self.disk.read(name), name, True, self.kind)[0]:
                if at > seq:
                    seq = at
                    self.totals.add(entry)
        return self.totals

    def close(self) -> None:
        self.leave_segment()
        self.disk.unlock()


class Store(Segmented[Entry, Totals]):
    """The bills of one gateway."""

    def __init__(self, disk: Disk, segment_bytes: int = 16 << 20, keep_segments: int = 1 << 30) -> None:
        super().__init__(BILLS, disk, segment_bytes, keep_segments)
