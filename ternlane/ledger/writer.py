"""Group commit off the loop: entries that come while one sync is under way share the next."""
from __future__ import annotations

from typing import Any, Callable

import trio

from ternlane.ledger.store import Store
from ternlane.tenants.cashier import Entry

RETRY_MS = 500.0


class Writer:
    """Takes entries at once and keeps them in the background.

    A full or failing disk is said aloud at every try; serving goes on while fewer than `limit` entries wait, and
    beyond that `may_take` is false: the door refuses (503), as a bill that can't be kept must not come about.
    """

    def __init__(self, store: Store, log: Any, limit: int = 100_000,
                 on_fail: Callable[[], None] = lambda: None) -> None:
        self.store, self.log, self.limit, self.on_fail = store, log, limit, on_fail
        self.fresh: list[Entry] = []
        self.waiting = 0
        self.wake, self.failing = trio.Event(), False

    @property
    def may_take(self) -> bool:
        return self.waiting < self.limit

    def add(self, entry: Entry) -> None:
        self.fresh.append(entry)
        self.waiting += 1
        self.wake.set()

    async def run(self) -> None:
        while True:
            await self.wake.wait()
            self.wake = trio.Event()
            await self.keep()

    async def keep(self) -> None:
        """One group; on failure it is tried again until it is kept."""
        while self.fresh or self.store.pending:
            group, self.fresh = self.fresh, []
            for entry in group:
                self.store.append(entry)
            try:
                await trio.to_thread.run_sync(self.store.commit)
            except OSError as why:
                self.failing = True
                self.on_fail()
                self.log.error("bills not kept yet", why=str(why), waiting=self.waiting)
                self.waiting = len(self.store.pending) + len(self.fresh)
                await trio.sleep(RETRY_MS / 1000)
                continue
            if self.failing:
                self.failing = False
                self.log.warning("bills are kept again")
            self.waiting = len(self.fresh)

    async def flush(self, within_s: float) -> bool:
        """Waits until nothing waits, at the end of a process."""
        with trio.move_on_after(within_s):
            while self.waiting:
                await trio.sleep(0.01)
        return not self.waiting
