"""Group commit outside the event loop: entries that arrive during one sync share the next."""

from __future__ import annotations

from collections.abc import Callable
from typing import Generic

import trio
from structlog.typing import FilteringBoundLogger

from ternlane.ledger.segment import AggregateT, EntryT
from ternlane.ledger.segmented_log import SegmentedLog

COMMIT_RETRY_S = 0.5  # short enough for bills, long enough for the log line of each failure
LOCK_POLL_S = 0.05
FLUSH_POLL_S = 0.01
MAX_WAITING_ENTRIES = 100_000  # some tens of MB, and many minutes of bills


class GroupCommitWriter(Generic[EntryT, AggregateT]):
    """Accepts entries at once and commits them in the background, as soon as it holds the lock of the log's folder:
    after a restart with inherited sockets the previous process may still be settling its requests.

    Every failed commit is logged and repeated. Once `max_waiting` entries wait, `has_capacity` is false and new
    requests must be rejected, as a request must not run if its bill cannot be stored.
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
        """`on_recovered` is called with the totals that the previous process left; `entries_label` names the entries in
        log lines; `commit_delay_ms`: how long a commit waits for more entries while no caller waits for it."""
        self.store = store
        self.log = log
        self.max_waiting = max_waiting
        self.on_recovered = on_recovered
        self.entries_label = entries_label
        self.commit_delay_ms = commit_delay_ms
        self.owns_log = False
        self.waiting = 0  # entries that are not durable yet
        self._unsubmitted: list[EntryT] = []  # not appended to the log yet
        self._added_count = 0
        self._durable_count = 0
        self._awaited_count = 0  # a caller waits for the entries up to this number
        self._failing = False
        self._entry_added = trio.Event()
        self._is_awaited = trio.Event()
        self._group_durable = trio.Event()  # replaced after each group

    @property
    def has_capacity(self) -> bool:
        """Whether another entry may be added."""
        return self.waiting < self.max_waiting

    def add(self, entry: EntryT) -> int:
        """Accepts an entry; returns its number, for `wait_durable`."""
        self._unsubmitted.append(entry)
        self.waiting += 1
        self._added_count += 1
        self._entry_added.set()
        return self._added_count

    async def wait_durable(self, number: int) -> None:
        """Waits until the entry of this number and all before it are durable."""
        self._awaited_count = max(self._awaited_count, number)
        self._is_awaited.set()
        while self._durable_count < number:
            await self._group_durable.wait()

    async def lock_and_recover(self) -> None:
        """Waits for the lock of the folder, then recovers the log. Raises CorruptLedgerError, OSError."""
        if not self.store.disk.lock():
            self.log.warning(
                f"{self.entries_label}: another process holds the lock; entries wait in memory until it ends"
            )
            while not self.store.disk.lock():
                await trio.sleep(LOCK_POLL_S)
        await trio.to_thread.run_sync(self.store.recover)
        if self.store.torn_bytes:
            self.log.warning(f"{self.entries_label}: truncated an incomplete write", bytes=self.store.torn_bytes)
        self.owns_log = True
        self.on_recovered(self.store.totals)

    async def run(self) -> None:
        """Commits entries until it is cancelled. Raises CorruptLedgerError, OSError before the first commit."""
        await self.lock_and_recover()
        while True:
            await self._entry_added.wait()
            self._entry_added = trio.Event()
            await self._delay_commit()
            await self._commit_all()

    async def _delay_commit(self) -> None:
        """Waits for more entries to join the group, unless or until a caller waits for one of them."""
        if not self.commit_delay_ms or self._awaited_count > self._durable_count:
            return
        self._is_awaited = trio.Event()
        with trio.move_on_after(self.commit_delay_ms / 1000):
            await self._is_awaited.wait()

    async def _commit_all(self) -> None:
        """Commits groups until no entry waits; a failed commit is repeated until it succeeds."""
        while self._unsubmitted or self.store.pending:
            for entry in self._unsubmitted:
                self.store.append(entry)
            self._unsubmitted = []
            last_number = self._added_count
            try:
                await trio.to_thread.run_sync(self.store.commit)
            except OSError as error:
                await self._commit_failed(error)
            else:
                self._committed(last_number)

    async def _commit_failed(self, error: OSError) -> None:
        self._failing = True
        self.log.error(f"{self.entries_label}: commit failed, will be retried", why=str(error), waiting=self.waiting)
        self.waiting = len(self.store.pending) + len(self._unsubmitted)
        await trio.sleep(COMMIT_RETRY_S)

    def _committed(self, last_number: int) -> None:
        if self._failing:
            self._failing = False
            self.log.warning(f"{self.entries_label}: commits succeed again")
        self.waiting = len(self._unsubmitted)
        self._durable_count = last_number
        self._group_durable.set()
        self._group_durable = trio.Event()

    async def flush(self, within_s: float) -> bool:
        """Waits, at the end of a process, until all entries are durable; false if the time limit passed before."""
        with trio.move_on_after(within_s):
            while self.waiting:
                await trio.sleep(FLUSH_POLL_S)
        return not self.waiting
