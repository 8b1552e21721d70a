"""Records when SIGTERM or SIGINT arrives.

The time until SIGKILL runs from that moment, even if the event loop handles the signal later."""

from __future__ import annotations

import signal
import time
from contextlib import suppress

import trio

END_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class EndSignal:
    """`received` is set once a termination signal has arrived. Must be created inside trio's run.

    `earlier_s`: when such signals arrived before, by the monotonic clock.
    """

    def __init__(self, earlier_s: list[float]) -> None:
        self.received = trio.Event()
        self._times_s = earlier_s
        self._token = trio.lowlevel.current_trio_token()
        for number in END_SIGNALS:
            signal.signal(number, self._note)
        if earlier_s:
            self.received.set()

    def _note(self, *_: object) -> None:
        self._times_s.append(time.monotonic())
        with suppress(trio.RunFinishedError):  # another signal while this process exits
            self._token.run_sync_soon(self.received.set, idempotent=True)

    def since_ms(self) -> float:
        """How long ago the first signal arrived; 0 if none has."""
        return (time.monotonic() - self._times_s[0]) * 1000 if self._times_s else 0.0
