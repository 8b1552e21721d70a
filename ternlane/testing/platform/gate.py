"""A point at which a fake server waits, so that tests can force an order of events."""

from __future__ import annotations

import trio


class Gate:
    """Whoever comes waits here until the gate is opened."""

    def __init__(self) -> None:
        self.reached = trio.Event()
        self.opened = trio.Event()

    async def hold(self) -> None:
        """Waits until `open`."""
        self.reached.set()
        await self.opened.wait()

    def open(self) -> None:
        """Lets all go on, now and later."""
        self.opened.set()
