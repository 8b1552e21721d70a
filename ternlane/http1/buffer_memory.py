"""Bounds what all connections of an event loop hold of their peers' messages together.

Each connection has an account. Small amounts are held in any case: the number of connections bounds them. A message
that grows large reserves room for all of it, and waits if there is none; meanwhile its bytes stay in the kernel, so
that the messages with room can be completed. One of which nothing has come for `STALL_S` is given up when others wait:
a peer that stops in the middle of a large message loses its place. Bytes that a late event loop has not read have come.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from math import inf

import trio

# After this time without a byte, an incomplete message may be given up for others; longer than any round trip.
STALL_S = 0.25
# Interval at which the first of those that wait for room looks for messages that have stalled.
STALL_POLL_S = STALL_S / 10


class BufferMemory:
    """The accounts, and the limit (bytes) on what they reserve. Small amounts leave less to reserve."""

    def __init__(self, limit_bytes: float = inf) -> None:
        self.limit_bytes = limit_bytes
        self.small_bytes = 0
        self.reserved_bytes = 0
        self._incomplete: OrderedDict[BufferAccount, None] = OrderedDict()  # messages, the longest without a byte first
        self._waiting: OrderedDict[BufferAccount, trio.Event] = OrderedDict()  # for room, in the order of their coming

    def open_account(self, give_up: Callable[[], None], has_unread: Callable[[], bool]) -> BufferAccount:
        """Opens an account. `give_up` must drop the connection's incomplete message at once, without waiting;
        `has_unread` returns whether bytes of it have come that the connection is about to read."""
        return BufferAccount(self, give_up, has_unread)

    def make_room(self, more_bytes: int, requester: BufferAccount) -> bool:
        """Returns whether so many bytes more can be reserved. Stalled messages of others are given up for them."""
        limit_bytes = self.limit_bytes - self.small_bytes - more_bytes
        if self.reserved_bytes > limit_bytes:
            self._give_up_stalled_messages(limit_bytes, requester)
        return self.reserved_bytes <= limit_bytes

    def make_room_for_complete(self) -> bool:
        """Returns whether complete messages have room. Incomplete ones are given up for them."""
        for account in self._longest_silent_first():
            if self.reserved_bytes <= self.limit_bytes:
                break
            account.give_up()
        return self.reserved_bytes <= self.limit_bytes

    async def wait_for_room(self, more_bytes: int, account: BufferAccount) -> None:
        """Waits until so many bytes more can be reserved, and it is this account's turn."""
        if not self._waiting and self.make_room(more_bytes, account):
            return
        changed = self._waiting[account] = trio.Event()
        try:
            while next(iter(self._waiting)) is not account:
                await changed.wait()
            while not self.make_room(more_bytes, account):
                changed = self._waiting[account] = trio.Event()
                with trio.move_on_after(STALL_POLL_S):
                    await changed.wait()
        finally:
            del self._waiting[account]
            self._wake_first()

    def record(self, account: BufferAccount, small_bytes: int, reserved_bytes: int) -> None:
        """Records what an account holds and reserves from now on."""
        before_bytes = account.small_bytes + account.reserved_bytes
        self.small_bytes += small_bytes - account.small_bytes
        self.reserved_bytes += reserved_bytes - account.reserved_bytes
        account.small_bytes = small_bytes
        account.reserved_bytes = reserved_bytes
        if small_bytes + reserved_bytes < before_bytes:
            self._wake_first()

    def received(self, account: BufferAccount) -> None:
        """Records that bytes of an incomplete message with a reservation have come."""
        account.received_at_s = trio.current_time()
        self._incomplete[account] = None
        self._incomplete.move_to_end(account)

    def forget_message(self, account: BufferAccount) -> None:
        """The message is complete or dropped, and can't be given up any more."""
        self._incomplete.pop(account, None)

    def _give_up_stalled_messages(self, limit_bytes: float, requester: BufferAccount) -> None:
        """Gives up messages of which nothing has come for `STALL_S` until no more than the limit is reserved."""
        before_s = trio.current_time() - STALL_S
        for account in self._longest_silent_first():
            if self.reserved_bytes <= limit_bytes or account.received_at_s > before_s:
                return
            if account is requester:
                continue
            if account.has_unread():
                self.received(account)
            else:
                account.give_up()

    def _longest_silent_first(self) -> list[BufferAccount]:
        """The accounts with incomplete messages. The caller may change them meanwhile."""
        return list(self._incomplete)

    def _wake_first(self) -> None:
        if self._waiting:
            next(iter(self._waiting.values())).set()


class BufferAccount:
    """What one connection holds: small amounts, and what is reserved for a large or a complete message."""

    __slots__ = ("_give_up", "has_unread", "is_closed", "memory", "received_at_s", "reserved_bytes", "small_bytes")

    def __init__(self, memory: BufferMemory, give_up: Callable[[], None], has_unread: Callable[[], bool]) -> None:
        self.memory = memory
        self._give_up = give_up
        self.has_unread = has_unread
        self.small_bytes = 0
        self.reserved_bytes = 0
        self.is_closed = False
        self.received_at_s = 0.0  # trio's clock: when the latest bytes of the incomplete message came

    def hold_small(self, small_bytes: int) -> None:
        """Sets what the connection holds in any case. The caller bounds it."""
        if not self.is_closed:
            self.memory.record(self, small_bytes, self.reserved_bytes)

    async def reserve(self, reserved_bytes: int) -> None:
        """Waits until so much is reserved for an incomplete message, in place of a small amount."""
        await self.memory.wait_for_room(reserved_bytes - self.reserved_bytes, self)
        self.memory.record(self, 0, reserved_bytes)

    def try_reserve(self, reserved_bytes: int) -> bool:
        """Reserves so much for an incomplete message, or returns False if there is no room now."""
        if self.is_closed or not self.memory.make_room(reserved_bytes - self.reserved_bytes, self):
            return False
        self.memory.record(self, self.small_bytes, reserved_bytes)
        return True

    def received(self) -> None:
        """Bytes of the incomplete message have come for which room is reserved."""
        if not self.is_closed:
            self.memory.received(self)

    def complete(self, reserved_bytes: int) -> bool:
        """The message is complete, and so large. False if there is no room for it.

        It goes before incomplete messages, which are given up for it if need be.
        """
        self.memory.forget_message(self)
        if not self.is_closed:
            self.memory.record(self, 0, reserved_bytes)
        return self.memory.make_room_for_complete()

    def release(self, small_bytes: int = 0) -> None:
        """Nothing is reserved any more; so much is still held."""
        self.memory.forget_message(self)
        self.memory.record(self, 0 if self.is_closed else small_bytes, 0)

    def give_up(self) -> None:
        """Drops the incomplete message."""
        self._give_up()
        self.release()

    def close(self) -> None:
        """The connection has ended."""
        self.is_closed = True
        self.release()
        # References to the connection would keep its buffers until the garbage collection.
        self._give_up = do_nothing
        self.has_unread = has_nothing_unread


def do_nothing() -> None:
    """Gives up nothing."""


def has_nothing_unread() -> bool:
    """For a connection that nothing is about to be read from, as its reader waits for another peer."""
    return False
