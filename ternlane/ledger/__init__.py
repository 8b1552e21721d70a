"""The durable ledger: holds every settled request exactly once, despite crashes, full disks and failing syncs."""

from ternlane.ledger.billing_ledger import BillingLedger, UsageTotals
from ternlane.ledger.disk import Disk
from ternlane.ledger.errors import CorruptLedgerError, LedgerError
from ternlane.ledger.group_commit import GroupCommitWriter
from ternlane.ledger.segment import LogFormat
from ternlane.ledger.segmented_log import SegmentedLog

__all__ = [
    "BillingLedger",
    "CorruptLedgerError",
    "Disk",
    "GroupCommitWriter",
    "LedgerError",
    "LogFormat",
    "SegmentedLog",
    "UsageTotals",
]
