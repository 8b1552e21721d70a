"""A point at which a fake server waits, so that tests can force an order of events."""

from __future__ import annotations

import trio


class Gate:
    """Blocks each task that reaches it until the gate is opened."""

    def __init__(self) -> None:
        self.reached = trio.Event()
        self.opened = trio.Event()

    async def hold(self) -> None:
        """Waits until the gate is opened."""
        self.reached.set()
        await self.opened.wait()

    def open(self) -> None:
        """Lets all tasks pass, those that wait and later ones."""
        self.opened.set()
