"""The shared bound on what connections hold of messages, and which message is given up for another."""

from __future__ import annotations

import trio
import trio.testing

from ternlane.http1.buffer_memory import STALL_S, BufferAccount, BufferMemory


class Holders:
    """Accounts by name in one memory of 100 bytes, and the names of those that were given up."""

    def __init__(self) -> None:
        self.memory = BufferMemory(100)
        self.accounts: dict[str, BufferAccount] = {}
        self.given_up: list[str] = []
        self.unread: set[str] = set()  # names of those of whose messages bytes have come that are not read yet
        self.with_room: list[str] = []

    def open(self, name: str) -> BufferAccount:
        account = self.accounts[name] = self.memory.open_account(
            lambda: self.given_up.append(name), lambda: name in self.unread
        )
        return account

    async def hold(self, name: str, held_bytes: int) -> None:
        """Waits until a new account may hold so much of an incomplete message, whose first bytes then come."""
        account = self.open(name)
        await account.reserve(held_bytes)
        account.received()
        self.with_room.append(name)


async def test_a_stalled_message_is_given_up_for_one_that_waits(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
) -> None:
    """Two messages leave no room for a third. Nothing comes of the first any more: it is given up, the second stays."""
    holders = Holders()
    await holders.hold("stalled", 50)
    await holders.hold("slow", 50)
    nursery.start_soon(holders.hold, "third", 40)
    for _ in range(8):
        await trio.sleep(STALL_S / 4)
        holders.accounts["slow"].received()
    assert holders.given_up == ["stalled"] and holders.with_room == ["stalled", "slow", "third"]
    assert holders.memory.reserved_bytes == 90


async def test_a_message_whose_bytes_are_unread_has_not_stalled(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
) -> None:
    """While the event loop is late, messages that keep coming were given up for each other (issue 62)."""
    holders = Holders()
    await holders.hold("unread", 50)
    await holders.hold("read", 50)
    holders.unread.add("unread")
    await trio.sleep(2 * STALL_S)
    assert not holders.open("third").try_reserve(60) and holders.given_up == ["read"]
    assert holders.accounts["third"].try_reserve(40)
    holders.unread.clear()
    await trio.sleep(2 * STALL_S)
    assert holders.open("fourth").try_reserve(60) and holders.given_up == ["read", "unread"]


async def test_messages_get_room_in_the_order_of_their_coming(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
) -> None:
    """A large message waits. A smaller one that comes later must not pass it again and again, and one whose client
    goes while it waits holds nobody up."""
    holders = Holders()
    await holders.hold("first", 80)
    with trio.CancelScope() as gone:
        nursery.start_soon(holders.hold, "large", 90)
        await trio.sleep(0.01)
        nursery.start_soon(holders.hold, "small", 10)
        await trio.sleep(0.01)
        assert holders.with_room == ["first"]
        holders.accounts["first"].close()
        await trio.sleep(0.01)
        gone.cancel()
    assert holders.with_room == ["first", "large", "small"] and holders.memory.reserved_bytes == 100
    with trio.move_on_after(STALL_S / 2):
        await holders.hold("impatient", 50)
    nursery.start_soon(holders.hold, "last", 5)
    holders.accounts["small"].release()
    await trio.sleep(0.01)
    assert holders.with_room[-1] == "last" and not holders.given_up


async def test_a_complete_request_goes_before_incomplete_ones_and_is_never_given_up(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """The bodies of open requests use up the memory: a further request is refused, and what must be held still is."""
    holders = Holders()
    await holders.hold("incomplete", 60)
    assert holders.open("open").complete(70) and holders.given_up == ["incomplete"]
    await trio.sleep(2 * STALL_S)
    assert not holders.open("new").complete(40) and holders.given_up == ["incomplete"]
    holders.accounts["new"].release()
    assert not holders.open("answer").try_reserve(40) and holders.memory.reserved_bytes == 70
    holders.accounts["answer"].hold_small(20)
    assert not holders.open("other").try_reserve(15) and holders.accounts["other"].try_reserve(10)
    assert (holders.memory.small_bytes, holders.memory.reserved_bytes) == (20, 80)


async def test_a_closed_connection_holds_nothing(autojump_clock: trio.testing.MockClock) -> None:
    """The last owner of a body may drop it after its connection has ended. That must not count it again."""
    holders = Holders()
    await holders.hold("one", 60)
    holders.accounts["one"].close()
    holders.accounts["one"].hold_small(30)
    assert not holders.accounts["one"].try_reserve(30) and holders.memory.reserved_bytes == 0
    assert holders.memory.small_bytes == 0
    await holders.hold("two", 100)
    assert not holders.given_up
