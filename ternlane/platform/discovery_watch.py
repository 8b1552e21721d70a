"""Follows discovery: one long-lived watch that delivers changes, reopened when it breaks or goes silent."""

from __future__ import annotations

from collections.abc import Callable
from math import inf
from typing import Any
from zlib import crc32

import h11
import trio

from ternlane.http1 import ClientConnection, ConnectError, ConnectionPool, SharedLimits
from ternlane.platform.endpoint_list import EndpointList, EndpointListParser, parse_endpoint_list
from ternlane.platform.endpoint_registry import MAX_STALENESS_MS

WATCH_PATH = "/registry/instances?stream=1&index={}"
# The longest interval between heartbeats, which are empty lines, in the platform protocol.
HEARTBEAT_MS = 2000.0
# The platform requires that changes are applied within this time while discovery is reachable, whichever calls fail.
PROPAGATION_MS = MAX_STALENESS_MS
# The platform requires that the list at a new discovery address is applied within this time after the reload.
ADDRESS_CHANGE_PROPAGATION_MS = 4000.0
# A watch without a line for this long counts as broken.
WATCH_TIMEOUT_MS = 1.25 * HEARTBEAT_MS
CONNECT_TIMEOUT_MS = HEARTBEAT_MS / 4
# For the head of an answer, which an agent sends at once.
HEAD_TIMEOUT_MS = HEARTBEAT_MS / 2
# Backoff after a watch that worked: its agent, on this machine, answers at once.
FIRST_BACKOFF_MS = HEARTBEAT_MS / 100
# Backoff after failed calls, doubled each time up to MAX_BACKOFF_MS.
BACKOFF_MS = HEARTBEAT_MS / 8
MAX_BACKOFF_MS = 0.4 * HEARTBEAT_MS
# Jitter, as factors of a backoff: gateways must not all call at once.
JITTER = 0.5, 1.5
# Worst case from the start of a call that hangs to the next answer.
WORST_CASE_MS = WATCH_TIMEOUT_MS + JITTER[1] * MAX_BACKOFF_MS + CONNECT_TIMEOUT_MS + HEAD_TIMEOUT_MS
# Worst case from a change of discovery's address to the first list: the first call to it hangs.
ADDRESS_CHANGE_WORST_CASE_MS = (
    CONNECT_TIMEOUT_MS + HEAD_TIMEOUT_MS + JITTER[1] * BACKOFF_MS + CONNECT_TIMEOUT_MS + HEAD_TIMEOUT_MS
)
# Within which an agent that is up has sent its list.
FIRST_LIST_MS = CONNECT_TIMEOUT_MS + HEAD_TIMEOUT_MS
WATCH_ERRORS = (
    ConnectError,
    OSError,
    trio.BrokenResourceError,
    trio.ClosedResourceError,
    trio.TooSlowError,
    h11.ProtocolError,
    ValueError,
)


class DiscoveryWatch:
    """Calls `on_list` with each list and `on_failure` with the reason why a watch ended.

    `opened` is set once any watch has received a list or a heartbeat. `index` returns the newest list's index, from
    which a watch is opened. When discovery moves to another address, the old watch lasts until the new one has
    received something.
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
        shared_limits: SharedLimits | None = None,
    ) -> None:
        self.address = address
        self.index = index
        self.on_list = on_list
        self.on_failure = on_failure
        self.seed = seed
        self.nursery = nursery
        self.log = log
        self.shared_limits = shared_limits
        self.opened = trio.Event()
        self.watch_scopes: list[trio.CancelScope] = []  # of each watch, the newest last
        self._pauses = 0

    def start(self) -> None:
        """Starts to watch `address`."""
        scope = trio.CancelScope()
        self.watch_scopes.append(scope)
        self.nursery.start_soon(self._watch_address, self.address, scope)

    def change_address(self, address: tuple[str, int]) -> None:
        """Switches to another address."""
        self.address = address
        self.start()

    async def _pause(self, base_ms: float) -> None:
        await trio.sleep(base_ms * self._jitter() / 1000)

    def _jitter(self) -> float:
        self._pauses += 1
        low, high = JITTER
        fraction = crc32(b"%d watch %d" % (self.seed, self._pauses)) / 2**32
        return low + (high - low) * fraction

    async def _watch_address(self, address: tuple[str, int], scope: trio.CancelScope) -> None:
        """Watches one address until another one has replaced it."""
        pool = ConnectionPool(CONNECT_TIMEOUT_MS, inf, shared_limits=self.shared_limits)
        backoff_ms = 0.0
        try:
            with scope:
                while True:
                    since = trio.current_time()
                    why = await self._watch_until_broken(pool, f"{address[0]}:{address[1]}", scope)
                    if scope is not self.watch_scopes[-1]:
                        return  # the watch of a replaced address is not reopened
                    self.on_failure(why)
                    has_worked = trio.current_time() - since > WATCH_TIMEOUT_MS / 1000
                    backoff_ms = (
                        FIRST_BACKOFF_MS if has_worked else min(max(BACKOFF_MS, 2 * backoff_ms), MAX_BACKOFF_MS)
                    )
                    await self._pause(backoff_ms)
                    if scope is not self.watch_scopes[-1]:
                        return  # nor if it was replaced during the pause
        finally:
            pool.close()
            if scope in self.watch_scopes[:-1]:
                self.watch_scopes.remove(scope)

    async def _watch_until_broken(self, pool: ConnectionPool, peer: str, scope: trio.CancelScope) -> str:
        """Opens a watch and reads it until it ends; returns why it ended."""
        try:
            connection = await pool.connect(peer)
            try:
                await self._read_watch(connection, scope)
            finally:
                connection.close_now()
        except WATCH_ERRORS as error:
            return repr(error)
        except Exception as error:  # a programming error must not end the gateway
            self.log.exception("watch fault")
            return repr(error)
        return "discovery closed the watch"

    async def _read_watch(self, connection: ClientConnection, scope: trio.CancelScope) -> None:
        connection.is_essential = True  # without lists, requests would go to servers that have gone
        with trio.fail_after(HEAD_TIMEOUT_MS / 1000) as timeout:
            head = await connection.ask("GET", WATCH_PATH.format(self.index()), [])
            if head.status_code != 200:
                raise ValueError(f"status {head.status_code}")
            timeout.deadline = trio.current_time() + WATCH_TIMEOUT_MS / 1000
            parser = EndpointListParser()
            async for piece in connection.chunks():
                timeout.deadline = trio.current_time() + WATCH_TIMEOUT_MS / 1000
                self._cancel_older(scope)
                lists = parser.feed(piece)
                connection.kept_bytes = parser.held_bytes
                for raw in lists:
                    self.on_list(parse_endpoint_list(raw))
                if lists or not parser.has_partial_list:  # a list, or a heartbeat without changes
                    self.opened.set()

    def _cancel_older(self, scope: trio.CancelScope) -> None:
        """Ends the watches that this one replaces, now that it works."""
        for older in self.watch_scopes[: self.watch_scopes.index(scope)]:
            older.cancel()
