"""The billing ledger under disk failures, crashes and corrupt files."""

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


def append_and_commit(store: BillingLedger, groups: list[int], first: int = 1) -> list[LedgerEntry]:
    """Appends and commits in groups, until a crash; returns the entries whose commit returned."""
    durable: list[LedgerEntry] = []
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
            continue  # committed with the next group
        except CrashError:
            return durable
        durable += waiting
        waiting = []
    with contextlib.suppress(OSError, CrashError):
        store.commit()
        durable += waiting
    return durable


def recovered(disk: FakeDisk) -> tuple[BillingLedger, list[LedgerEntry]]:
    """The ledger as a new process recovers it, and all entries in its segments."""
    store = BillingLedger(disk)
    found: list[LedgerEntry] = []
    store.recover(lambda _, found_entry: found.append(found_entry))
    return store, found


def totals_of(entries: list[LedgerEntry]) -> UsageTotals:
    totals = UsageTotals()
    for billed_entry in entries:
        totals.add(billed_entry)
    return totals


def requests_of(entries: list[LedgerEntry]) -> list[str]:
    return [billed_entry.request for billed_entry in entries]


@settings(max_examples=400, deadline=None)
@given(
    st.integers(1, 60),
    st.sampled_from(["crash", "full", "short", "sync"]),
    st.lists(st.integers(1, 7), min_size=1, max_size=10),
    st.integers(0, 2**16),
)
def test_no_settled_bill_is_lost_or_duplicated_whichever_disk_call_fails(
    fail_at: int, failure: str, groups: list[int], seed: int
) -> None:
    """A disk call fails, or the process crashes there; the crash loses a random part of the unsynced data. The next
    process must find every entry reported as durable exactly once, and be able to continue; so must the one after."""
    disk = FakeDisk(fail_at, failure)
    durable = append_and_commit(BillingLedger(disk, segment_bytes=600), groups)
    after = disk.after_crash(random.Random(seed))
    second, found = recovered(after)
    requests = requests_of(found)
    assert len(requests) == len(set(requests))
    assert set(requests_of(durable)) <= set(requests)
    assert second.totals.sums == totals_of(found).sums
    more = append_and_commit(second, [3, 3], first=1000)
    third, found_later = recovered(after)
    assert requests_of(found_later) == requests + requests_of(more)
    assert third.totals.sums == second.totals.sums


def test_a_segment_truncated_anywhere_is_recovered() -> None:
    """A crash may leave any prefix of a write: complete records count, a truncated one is not corruption."""
    disk = FakeDisk()
    append_and_commit(BillingLedger(disk), [1] * 6)
    raw = disk.read(BILLS_FORMAT.segment_name(1))
    counts = [len(read_segment(raw[:length], "s", BILLS_FORMAT).records) for length in range(len(raw) + 1)]
    assert counts[-1] == 6 and counts == sorted(counts) and set(counts) == set(range(7))


def test_corruption_within_a_segment_is_reported_with_its_position() -> None:
    """A bit in the first of four records is flipped. Truncating the segment there would lose durable bills."""
    disk = FakeDisk()
    append_and_commit(BillingLedger(disk), [4])
    disk.files[BILLS_FORMAT.segment_name(1)][40] ^= 4
    with pytest.raises(CorruptLedgerError, match="byte 8"):
        BillingLedger(disk).recover()


def test_an_empty_folder_is_an_empty_ledger() -> None:
    store, found = recovered(FakeDisk())
    assert found == [] and store.sequence == store.durable_sequence == 0


def test_old_segments_are_removed_once_a_snapshot_covers_them() -> None:
    disk = FakeDisk()
    durable = append_and_commit(BillingLedger(disk, segment_bytes=400, keep_segments=2), [2] * 30)
    assert sum(name.endswith(".seg") for name in disk.names()) <= 3
    again = BillingLedger(disk)
    again.recover()
    assert again.totals.sums == totals_of(durable).sums
    assert again.sequence == 60 and again.torn_bytes == 0
