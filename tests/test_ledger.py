"""The ledger of bills where its disk fails, the process crashes, or files are damaged."""

from __future__ import annotations

import contextlib
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ternlane.ledger import BillingLedger, CorruptLedgerError, UsageTotals
from ternlane.ledger.billing_ledger import BILLS_FORMAT
from ternlane.ledger.segment import read_segment
from ternlane.tenants import LedgerEntry
from tests.fake_disk import CrashError, FakeDisk
from tests.tenant_data import entry


def fill(store: BillingLedger, groups: list[int], first: int = 1) -> list[LedgerEntry]:
    """Appends and commits in groups; returns the entries whose commit returned. A crash ends it."""
    kept: list[LedgerEntry] = []
    waiting: list[LedgerEntry] = []
    number = first
    for size in groups:
        for _ in range(size):
            store.append(entry(number))
            waiting.append(entry(number))
            number += 1
        try:
            store.commit()
        except OSError:
            continue  # tried again with the next group
        except CrashError:
            return kept
        kept += waiting
        waiting = []
    with contextlib.suppress(OSError, CrashError):
        store.commit()
        kept += waiting
    return kept


def recovered(disk: FakeDisk) -> tuple[BillingLedger, list[LedgerEntry]]:
    """The ledger that a new process finds, and all entries that its segments hold."""
    store = BillingLedger(disk)
    found: list[LedgerEntry] = []
    store.recover(lambda _, found_entry: found.append(found_entry))
    return store, found


def totals_of(entries: list[LedgerEntry]) -> UsageTotals:
    totals = UsageTotals()
    for each in entries:
        totals.add(each)
    return totals


def requests_of(entries: list[LedgerEntry]) -> list[str]:
    return [each.request for each in entries]


@settings(max_examples=400, deadline=None)
@given(
    st.integers(1, 60),
    st.sampled_from(["crash", "full", "short", "sync"]),
    st.lists(st.integers(1, 7), min_size=1, max_size=10),
    st.integers(0, 2**16),
)
def test_no_settled_bill_is_lost_or_doubled_wherever_it_fails(at: int, how: str, groups: list[int], seed: int) -> None:
    """One call of the disk fails, or the process crashes there, and then loses any end of what was not synced. What was
    reported as kept is found once by the next process, which can write on, and by the one after that."""
    disk = FakeDisk(at, how)
    kept = fill(BillingLedger(disk, segment_bytes=600), groups)
    after = disk.after_crash(random.Random(seed))
    second, found = recovered(after)
    requests = requests_of(found)
    assert len(requests) == len(set(requests))
    assert set(requests_of(kept)) <= set(requests)
    assert second.totals.sums == totals_of(found).sums
    more = fill(second, [3, 3], first=1000)
    third, found_later = recovered(after)
    assert requests_of(found_later) == requests + requests_of(more)
    assert third.totals.sums == second.totals.sums


def test_every_cut_of_a_segment_is_recovered_from() -> None:
    """A crash may leave any beginning of a write: the records that are whole count, and no cut is taken for damage."""
    disk = FakeDisk()
    fill(BillingLedger(disk), [1] * 6)
    raw = disk.read(BILLS_FORMAT.segment_name(1))
    counts = [len(read_segment(raw[:length], "s", BILLS_FORMAT).records) for length in range(len(raw) + 1)]
    assert counts[-1] == 6 and counts == sorted(counts) and set(counts) == set(range(7))


def test_damage_that_no_crash_leaves_is_refused_by_place() -> None:
    """A bit of the first of four records is flipped. Cutting the segment there would lose bills that were kept."""
    disk = FakeDisk()
    fill(BillingLedger(disk), [4])
    disk.files[BILLS_FORMAT.segment_name(1)][40] ^= 4
    with pytest.raises(CorruptLedgerError, match="byte 8"):
        BillingLedger(disk).recover()


def test_an_empty_folder_is_an_empty_ledger() -> None:
    store, found = recovered(FakeDisk())
    assert found == [] and store.sequence == store.durable_sequence == 0


def test_old_segments_go_once_sums_cover_them_and_the_sums_stay_right() -> None:
    disk = FakeDisk()
    kept = fill(BillingLedger(disk, segment_bytes=400, keep_segments=2), [2] * 30)
    assert sum(name.endswith(".seg") for name in disk.names()) <= 3
    again = BillingLedger(disk)
    again.recover()
    assert again.totals.sums == totals_of(kept).sums
    assert again.sequence == 60 and again.torn_bytes == 0
