"""The durable log of one gateway's billing entries, and their totals by tenant, request class and period."""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec

from ternlane.ledger.disk import Disk
from ternlane.ledger.segment import LogFormat
from ternlane.ledger.segmented_log import KEEP_ALL_SEGMENTS, SEGMENT_BYTES, SegmentedLog
from ternlane.tenants.billing import LedgerEntry, TokenUsage

# Tenant, request class, billing period.
TotalKey = tuple[str, str, str]


class UsageTotal(msgspec.Struct, array_like=True):
    """Sums of ledger entries: their count, tokens billed and unbilled, and the amount in micro-units of money."""

    count: int = 0
    billed: TokenUsage = TokenUsage()
    unbilled: TokenUsage = TokenUsage()
    micros: int = 0

    def add(self, entry: LedgerEntry) -> None:
        """Adds one entry."""
        self.count += 1
        self.billed = self.billed.plus(entry.billed)
        self.unbilled = self.unbilled.plus(entry.unbilled)
        self.micros += entry.micros

    def add_total(self, other: UsageTotal) -> None:
        """Adds the sums of another ledger."""
        self.count += other.count
        self.billed = self.billed.plus(other.billed)
        self.unbilled = self.unbilled.plus(other.unbilled)
        self.micros += other.micros


class TotalsDump(msgspec.Struct):
    """The format of a snapshot on disk."""

    seq: int
    sums: list[tuple[str, str, str, UsageTotal]]


@dataclass
class UsageTotals:
    """All totals of one ledger."""

    sums: dict[TotalKey, UsageTotal] = field(default_factory=dict)

    def add(self, entry: LedgerEntry) -> None:
        """Adds one entry to the total of its tenant, request class and period."""
        key = (entry.tenant, entry.request_class, entry.period)
        total = self.sums.get(key)
        if total is None:
            total = self.sums[key] = UsageTotal()
        total.add(entry)

    def dump(self, seq: int) -> bytes:
        """The content of a snapshot that covers entries up to this sequence number."""
        return msgspec.msgpack.encode(TotalsDump(seq, [(*key, total) for key, total in self.sums.items()]))

    def load(self, raw: bytes) -> int:
        """Replaces the totals by a snapshot; returns its sequence number."""
        dump = msgspec.msgpack.decode(raw, type=TotalsDump)
        self.sums = {(tenant, request_class, period): total for tenant, request_class, period, total in dump.sums}
        return dump.seq


BILLS_FORMAT: LogFormat[LedgerEntry, UsageTotals] = LogFormat(
    prefix="bills",
    magic=b"TLBILLS1",
    decode=msgspec.msgpack.Decoder(LedgerEntry).decode,
    new_aggregate=UsageTotals,
)


class BillingLedger(SegmentedLog[LedgerEntry, UsageTotals]):
    """The durable log of one gateway's billing entries."""

    def __init__(self, disk: Disk, segment_bytes: int = SEGMENT_BYTES, keep_segments: int = KEEP_ALL_SEGMENTS) -> None:
        super().__init__(BILLS_FORMAT, disk, segment_bytes, keep_segments)
