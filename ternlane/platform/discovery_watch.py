"""Follows discovery: one long-lived watch that says what changed, opened anew where it broke or fell silent."""

from __future__ import annotations

from collections.abc import Callable
from math import inf
from typing import Any
from zlib import crc32

import h11
import trio

from ternlane.http1 import ClientConnection, ConnectError, ConnectionPool
from ternlane.platform.endpoint_list import EndpointList, EndpointListParser, parse_endpoint_list
from ternlane.platform.endpoint_registry import MAX_STALENESS_MS

WATCH_PATH = "/registry/instances?stream=1&index={}"
# A heartbeat, an empty line, comes at the latest this often (users' page).
HEARTBEAT_MS = 2000.0
# What discovery has and could be asked for counts as told then, whatever call failed (users' page).
PROPAGATION_MS = MAX_STALENESS_MS
# What a new address has to tell counts as told so long after the reload (users' page).
ADDRESS_CHANGE_PROPAGATION_MS = 4000.0
# A watch without a line for so long has broken.
WATCH_TIMEOUT_MS = 1.25 * HEARTBEAT_MS
CONNECT_TIMEOUT_MS = HEARTBEAT_MS / 4
# For the head of an answer, which an agent gives at once.
HEAD_TIMEOUT_MS = HEARTBEAT_MS / 2
# Backoff after a watch that worked: its agent, on this machine, answers at once.
FIRST_BACKOFF_MS = HEARTBEAT_MS / 100
# Backoff after calls that came to nothing, doubled each time up to the second.
BACKOFF_MS = HEARTBEAT_MS / 8
MAX_BACKOFF_MS = 0.4 * HEARTBEAT_MS
# Jitter, as factors of a backoff: not all gateways ask at once.
JITTER = 0.5, 1.5
# From a call that hangs to the next answer, at worst.
WORST_CASE_MS = WATCH_TIMEOUT_MS + JITTER[1] * MAX_BACKOFF_MS + CONNECT_TIMEOUT_MS + HEAD_TIMEOUT_MS
# From a move of discovery to its first list, at worst: the first call for it hangs.
ADDRESS_CHANGE_WORST_CASE_MS = (
    CONNECT_TIMEOUT_MS + HEAD_TIMEOUT_MS + JITTER[1] * BACKOFF_MS + CONNECT_TIMEOUT_MS + HEAD_TIMEOUT_MS
)
# Within which an agent that is up has said what it has.
FIRST_LIST_MS = CONNECT_TIMEOUT_MS + HEAD_TIMEOUT_MS
BROKEN = (
    ConnectError,
    OSError,
    trio.BrokenResourceError,
    trio.ClosedResourceError,
    trio.TooSlowError,
    h11.ProtocolError,
    ValueError,
)


class DiscoveryWatch:
    """Calls `on_list` with each list and `on_failure` with why a watch ended; `opened` is set once any has spoken.

    `index` gives the newest list's index, from which a watch is opened. Where discovery moves to another address, the
    old watch lasts until the new one has spoken.
    """

    def __init__(
        self,
        address: tuple[str, int],
        index: Callable[[], int],
        on_list: Callable[[EndpointList], None],
        on_failure: Callable[[str], None],
        seed: int,
        nursery: trio.Nursery,
        log: Any,
    ) -> None:
        self.address = address
        self.index = index
        self.on_list = on_list
        self.on_failure = on_failure
        self.seed = seed
        self.nursery = nursery
        self.log = log
        self.opened = trio.Event()
        self.watch_scopes: list[trio.CancelScope] = []  # of each watch, the newest last
        self._pauses = 0

    def start(self) -> None:
        """Begins to follow `address`."""
        scope = trio.CancelScope()
        self.watch_scopes.append(scope)
        self.nursery.start_soon(self._follow, self.address, scope)

    def change_address(self, address: tuple[str, int]) -> None:
        """Follows another address from now on."""
        self.address = address
        self.start()

    async def _pause(self, usual_ms: float) -> None:
        await trio.sleep(usual_ms * self._jitter() / 1000)

    def _jitter(self) -> float:
        self._pauses += 1
        low, high = JITTER
        fraction = crc32(b"%d watch %d" % (self.seed, self._pauses)) / 2**32
        return low + (high - low) * fraction

    async def _follow(self, address: tuple[str, int], scope: trio.CancelScope) -> None:
        """Watches one address until another one has taken its place."""
        pool = ConnectionPool(CONNECT_TIMEOUT_MS, inf)
        backoff_ms = 0.0
        try:
            with scope:
                while True:
                    since = trio.current_time()
                    why = await self._watch_until_broken(pool, f"{address[0]}:{address[1]}", scope)
                    if scope is not self.watch_scopes[-1]:
                        return  # an old address whose watch has ended is not asked again
                    self.on_failure(why)
                    has_worked = trio.current_time() - since > WATCH_TIMEOUT_MS / 1000
                    backoff_ms = (
                        FIRST_BACKOFF_MS if has_worked else min(max(BACKOFF_MS, 2 * backoff_ms), MAX_BACKOFF_MS)
                    )
                    await self._pause(backoff_ms)
                    if scope is not self.watch_scopes[-1]:
                        return  # and neither if it has become an old one during the pause
        finally:
            pool.close()
            if scope in self.watch_scopes[:-1]:
                self.watch_scopes.remove(scope)

    async def _watch_until_broken(self, pool: ConnectionPool, peer: str, scope: trio.CancelScope) -> str:
        """Opens a watch and reads it to its end; returns why it ended."""
        try:
            connection = await pool.connect(peer)
            try:
                await self._read_watch(connection, scope)
            finally:
                connection.close_now()
        except BROKEN as error:
            return repr(error)
        return "the watch ended"

    async def _read_watch(self, connection: ClientConnection, scope: trio.CancelScope) -> None:
        with trio.fail_after(HEAD_TIMEOUT_MS / 1000) as silence:
            head = await connection.ask("GET", WATCH_PATH.format(self.index()), [])
            if head.status_code != 200:
                raise ValueError(f"status {head.status_code}")
            silence.deadline = trio.current_time() + WATCH_TIMEOUT_MS / 1000
            parser = EndpointListParser()
            async for piece in connection.chunks():
                silence.deadline = trio.current_time() + WATCH_TIMEOUT_MS / 1000
                self._cancel_older(scope)
                lists = parser.feed(piece)
                for raw in lists:
                    self.on_list(parse_endpoint_list(raw))
                if lists or not parser.unfinished:  # a list, or a heartbeat: there is nothing to tell
                    self.opened.set()

    def _cancel_older(self, scope: trio.CancelScope) -> None:
        """This watch works: those that it takes the place of may end."""
        for older in self.watch_scopes[: self.watch_scopes.index(scope)]:
            older.cancel()
