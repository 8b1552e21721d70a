"""The signal to end, noted in the moment in which it comes.

The time until a kill runs from there, whatever this process is doing meanwhile."""

from __future__ import annotations

import signal
import time
from contextlib import suppress

import trio

END_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class EndSignal:
    """`received` is set once this process has been told to end. To be made within trio's run; `earlier`: when it was
    told before, by the monotonic clock."""

    def __init__(self, earlier: list[float]) -> None:
        self.received = trio.Event()
        self._at = earlier
        self._token = trio.lowlevel.current_trio_token()
        for number in END_SIGNALS:
            signal.signal(number, self._note)
        if earlier:
            self.received.set()

    def _note(self, *_: object) -> None:
        self._at.append(time.monotonic())
        with suppress(trio.RunFinishedError):  # it comes again as this process ends
            self._token.run_sync_soon(self.received.set, idempotent=True)

    def since_ms(self) -> float:
        """How long ago it first came; 0 where it has not."""
        return (time.monotonic() - self._at[0]) * 1000 if self._at else 0.0
