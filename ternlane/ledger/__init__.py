"""The durable ledger: every settled generation once, over crashes, full disks and failing syncs."""

from ternlane.ledger.disk import Disk
from ternlane.ledger.store import Damaged, Kind, Segmented, Store, Totals
from ternlane.ledger.writer import Writer

__all__ = ["Damaged", "Disk", "Kind", "Segmented", "Store", "Totals", "Writer"]
