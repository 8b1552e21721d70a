"""Group commit outside the event loop: entries that come while one sync is under way share the next."""

from __future__ import annotations

from collections.abc import Callable
from typing import Generic

import trio
from structlog.typing import FilteringBoundLogger

from ternlane.ledger.segment import AggregateT, EntryT
from ternlane.ledger.segmented_log import SegmentedLog

RETRY_S = 0.5  # between tries on a disk that fails: soon enough for bills, rare enough for its log line
LOCK_POLL_S = 0.05  # between looks at whether the process before has ended
FLUSH_POLL_S = 0.01  # between looks at whether all is kept, at the end of a process
MAX_WAITING_ENTRIES = 100_000  # some tens of MB, and many minutes of bills


class GroupCommitWriter(Generic[EntryT, AggregateT]):
    """Takes entries at once and keeps them in the background, once it owns the log's folder: after a restart with
    sockets handed over the process before may still be settling what it holds.

    A full or failing disk is logged at every try. Serving goes on while fewer than `max_waiting` entries wait; beyond
    that `has_capacity` is false and new requests have to be rejected, as a bill that can't be kept must not come about.
    """

    def __init__(
        self,
        store: SegmentedLog[EntryT, AggregateT],
        log: FilteringBoundLogger,
        max_waiting: int = MAX_WAITING_ENTRIES,
        on_recovered: Callable[[AggregateT], None] = lambda _: None,
        entries_label: str = "bills",
        commit_delay_ms: float = 0.0,
    ) -> None:
        """`on_recovered` gets the totals that the process before left; `entries_label` names the entries in log lines;
        `commit_delay_ms` is how long a group waits for more entries while nobody waits for it."""
        self.store = store
        self.log = log
        self.max_waiting = max_waiting
        self.on_recovered = on_recovered
        self.entries_label = entries_label
        self.commit_delay_ms = commit_delay_ms
        self.owns_log = False
        self.waiting = 0  # entries that are not kept yet
        self._fresh: list[EntryT] = []  # not given to the log yet
        self._added_count = 0
        self._kept_count = 0
        self._awaited_count = 0  # somebody waits for the entries up to this one
        self._failing = False
        self._entry_added = trio.Event()
        self._is_awaited = trio.Event()
        self._group_kept = trio.Event()  # a new one for each group

    @property
    def has_capacity(self) -> bool:
        """Whether there is room for another entry."""
        return self.waiting < self.max_waiting

    def add(self, entry: EntryT) -> int:
        """Takes an entry; returns the number by which `wait_durable` knows it."""
        self._fresh.append(entry)
        self.waiting += 1
        self._added_count += 1
        self._entry_added.set()
        return self._added_count

    async def wait_durable(self, number: int) -> None:
        """Waits until the entry of this number, and all before it, are on the disk."""
        self._awaited_count = max(self._awaited_count, number)
        self._is_awaited.set()
        while self._kept_count < number:
            await self._group_kept.wait()

    async def take_over(self) -> None:
        """Waits for the folder, then recovers the log. Raises CorruptLedgerError, OSError."""
        if not self.store.disk.lock():
            self.log.warning(f"another process keeps this ledger; {self.entries_label} wait in memory until it ends")
            while not self.store.disk.lock():
                await trio.sleep(LOCK_POLL_S)
        await trio.to_thread.run_sync(self.store.recover)
        if self.store.torn_bytes:
            self.log.warning(f"torn {self.entries_label} were cut off", bytes=self.store.torn_bytes)
        self.owns_log = True
        self.on_recovered(self.store.totals)

    async def run(self) -> None:
        """Keeps entries until it is cancelled. Raises CorruptLedgerError, OSError while it takes over."""
        await self.take_over()
        while True:
            await self._entry_added.wait()
            self._entry_added = trio.Event()
            await self._gather()
            await self._keep_all()

    async def _gather(self) -> None:
        """Lets more entries join the group while nobody waits for any of them."""
        if not self.commit_delay_ms or self._awaited_count > self._kept_count:
            return
        self._is_awaited = trio.Event()
        with trio.move_on_after(self.commit_delay_ms / 1000):
            await self._is_awaited.wait()

    async def _keep_all(self) -> None:
        """Commits groups until nothing waits; a group that fails is tried again until it is kept."""
        while self._fresh or self.store.pending:
            for entry in self._fresh:
                self.store.append(entry)
            self._fresh = []
            last = self._added_count
            try:
                await trio.to_thread.run_sync(self.store.commit)
            except OSError as error:
                await self._commit_failed(error)
            else:
                self._committed(last)

    async def _commit_failed(self, error: OSError) -> None:
        self._failing = True
        self.log.error(f"{self.entries_label} not kept yet", why=str(error), waiting=self.waiting)
        self.waiting = len(self.store.pending) + len(self._fresh)
        await trio.sleep(RETRY_S)

    def _committed(self, last: int) -> None:
        if self._failing:
            self._failing = False
            self.log.warning(f"{self.entries_label} are kept again")
        self.waiting = len(self._fresh)
        self._kept_count = last
        self._group_kept.set()
        self._group_kept = trio.Event()

    async def flush(self, within_s: float) -> bool:
        """Waits until nothing waits any more, at the end of a process; returns whether that was so in time."""
        with trio.move_on_after(within_s):
            while self.waiting:
                await trio.sleep(FLUSH_POLL_S)
        return not self.waiting
