"""Group commit off the loop: entries that come while one sync is under way share the next."""

from __future__ import annotations

from typing import Any, Callable, Generic

import trio

from ternlane.ledger.store import E, F, Segmented

RETRY_MS = 500.0
TAKE_MS = 50.0


class Writer(Generic[E, F]):
    """Takes entries at once and keeps them in the background, once the folder is its own: after a restart with sockets
    handed over the process before may still be settling what it holds. `on_own` then hears the sums that it left.

    A full or failing disk is said aloud at every try; serving goes on while fewer than `limit` entries wait, and
    beyond that `may_take` is false: the door refuses (503), as a bill that can't be kept must not come about.
    """

    def __init__(
        self,
        store: Segmented[E, F],
        log: Any,
        limit: int = 100_000,
        on_own: Callable[[F], None] = lambda _: None,
        what: str = "bills",
        gather_ms: float = 0.0,
    ) -> None:
        """`gather_ms`: how long a group waits for more while nobody waits for it."""
        self.gather_ms, self.hurry, self.awaited = gather_ms, trio.Event(), 0
        self.store, self.log, self.limit, self.on_own, self.what = store, log, limit, on_own, what
        self.own = False
        self.fresh: list[E] = []
        self.added = self.done = 0  # entries given, and kept
        self.turned = trio.Event()  # after each group
        self.waiting = 0
        self.wake, self.failing = trio.Event(), False

    @property
    def may_take(self) -> bool:
        return self.waiting < self.limit

    def add(self, entry: E) -> int:
        """Gives a number that `until_kept` knows."""
        self.fresh.append(entry)
        self.waiting += 1
        self.added += 1
        self.wake.set()
        return self.added

    async def until_kept(self, number: int) -> None:
        self.awaited = max(self.awaited, number)
        self.hurry.set()
        while self.done < number:
            await self.turned.wait()

    async def take_over(self) -> None:
        """Waits for the folder, then recovers. Raises Damaged."""
        said = False
        while not self.store.disk.lock():
            if not said:
                said = True
                self.log.warning(f"another process keeps this ledger; {self.what} wait in memory until it ends")
            await trio.sleep(TAKE_MS / 1000)
        await trio.to_thread.run_sync(self.store.recover)
        if self.store.cut_off:
            self.log.warning(f"torn {self.what} were cut off", bytes=self.store.cut_off)
        self.own = True
        self.on_own(self.store.totals)

    async def run(self) -> None:
        await self.take_over()
        while True:
            await self.wake.wait()
            self.wake = trio.Event()
            if self.gather_ms and self.awaited <= self.done:
                self.hurry = trio.Event()
                with trio.move_on_after(self.gather_ms / 1000):
                    await self.hurry.wait()
            await self.keep()

    async def keep(self) -> None:
        """One group; on failure it is tried again until it is kept."""
        while self.fresh or self.store.pending:
            group, self.fresh, upto = self.fresh, [], self.added
            for entry in group:
                self.store.append(entry)
            try:
                await trio.to_thread.run_sync(self.store.commit)
            except OSError as why:
                self.failing = True
                self.log.error(f"{self.what} not kept yet", why=str(why), waiting=self.waiting)
                self.waiting = len(self.store.pending) + len(self.fresh)
                await trio.sleep(RETRY_MS / 1000)
                continue
            if self.failing:
                self.failing = False
                self.log.warning(f"{self.what} are kept again")
            self.waiting = len(self.fresh)
            self.done, turned, self.turned = upto, self.turned, trio.Event()
            turned.set()

    async def flush(self, within_s: float) -> bool:
        """Waits until nothing waits, at the end of a process."""
        with trio.move_on_after(within_s):
            while self.waiting:
                await trio.sleep(0.01)
        return not self.waiting
