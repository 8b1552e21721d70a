"""Follows discovery: one watch that says what changed, asked for anew where it broke or fell silent."""

from __future__ import annotations

from math import inf
from typing import Any, Callable
from zlib import crc32

import h11
import trio

from ternlane.http1 import ConnectionPool, ConnectError
from ternlane.platform.endpoint_registry import BEHIND_MS, EndpointList, Lists, read_listing

WATCH_PATH = "/registry/instances?stream=1&index={}"
BEAT_MS = 2000.0  # an empty line at the latest this often, says the page
TOLD_MS = BEHIND_MS  # what discovery has and could be asked for counts as told then, whatever call failed
SILENT_MS = 1.25 * BEAT_MS  # a watch without a line has broken
CONNECT_MS = BEAT_MS / 4
HEAD_MS = BEAT_MS / 2  # for the head of an answer, which an agent gives at once
FIRST_RETRY_MS = BEAT_MS / 100  # after a watch that worked: its agent, on this machine, answers at once
RETRY_MS, RETRY_MOST_MS = BEAT_MS / 8, 0.4 * BEAT_MS  # after calls that came to nothing, twice as long each time
SPREAD = 0.5, 1.5  # of a wait: not all gateways ask at once
WORST_MS = SILENT_MS + SPREAD[1] * RETRY_MOST_MS + CONNECT_MS + HEAD_MS  # from a call that hangs to the next answer
FIRST_LIST_MS = CONNECT_MS + HEAD_MS  # within which an agent that is up has said what it has
MOVED_MS = 4000.0  # what a new address has to tell counts as told so long after the reload
# From the move of discovery to its first list, though the first call for it hangs.
MOVED_WORST_MS = CONNECT_MS + HEAD_MS + SPREAD[1] * RETRY_MS + CONNECT_MS + HEAD_MS
BROKEN = (
    ConnectError,
    OSError,
    trio.BrokenResourceError,
    trio.ClosedResourceError,
    trio.TooSlowError,
    h11.ProtocolError,
    ValueError,
)


class Watch:
    """`heard` is told each list; `opened` is set once any watch has said something. Where another address is to be
    followed, the old watch lasts until the new one has said something."""

    def __init__(
        self,
        address: tuple[str, int],
        index: Callable[[], int],
        heard: Callable[[EndpointList], None],
        failed: Callable[[str], None],
        seed: int,
        nursery: trio.Nursery,
        log: Any,
    ) -> None:
        self.address, self.index, self.heard, self.failed = address, index, heard, failed
        self.seed, self.nursery, self.log = seed, nursery, log
        self.turn = 0
        self.opened = trio.Event()
        self.following: list[trio.CancelScope] = []  # the newest last

    def start(self) -> None:
        scope = trio.CancelScope()
        self.following.append(scope)
        self.nursery.start_soon(self._follow, self.address, scope)

    def move(self, address: tuple[str, int]) -> None:
        self.address = address
        self.start()

    async def _pause(self, usual_ms: float) -> None:
        await trio.sleep(usual_ms * self._spread() / 1000)

    def _spread(self) -> float:
        self.turn += 1
        low, high = SPREAD
        return low + (high - low) * crc32(b"%d watch %d" % (self.seed, self.turn)) / 2**32

    async def _follow(self, address: tuple[str, int], scope: trio.CancelScope) -> None:
        pool, pause = ConnectionPool(CONNECT_MS, inf), 0.0
        try:
            with scope:
                while True:
                    since = trio.current_time()
                    try:
                        await self._once(pool, f"{address[0]}:{address[1]}", scope)
                        why = "the watch ended"
                    except BROKEN as broke:
                        why = repr(broke)
                    if scope is not self.following[-1]:
                        return  # an old address whose watch has ended is not asked again
                    self.failed(why)
                    worked = trio.current_time() - since > SILENT_MS / 1000
                    pause = FIRST_RETRY_MS if worked else min(max(RETRY_MS, 2 * pause), RETRY_MOST_MS)
                    await self._pause(pause)
                    if scope is not self.following[-1]:
                        return  # and neither if it has become an old one during the pause
        finally:
            pool.close()
            if scope in self.following[:-1]:
                self.following.remove(scope)

    async def _once(self, pool: ConnectionPool, peer: str, scope: trio.CancelScope) -> None:
        caller = await pool.connect(peer)
        try:
            with trio.fail_after(HEAD_MS / 1000) as silence:
                head = await caller.ask("GET", WATCH_PATH.format(self.index()), [])
                if head.status_code != 200:
                    raise ValueError(f"status {head.status_code}")
                silence.deadline = trio.current_time() + SILENT_MS / 1000
                lists = Lists()
                async for piece in caller.chunks():
                    silence.deadline = trio.current_time() + SILENT_MS / 1000
                    for old in self.following[: self.following.index(scope)]:
                        old.cancel()  # this one serves: what it takes the place of may go
                    said = lists.feed(piece)
                    for raw in said:
                        self.heard(read_listing(raw))
                    if said or not lists.unfinished:  # a list, or a beat: there is nothing to tell
                        self.opened.set()
        finally:
            caller.close_now()
