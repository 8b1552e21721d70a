"""Terms of the users' acceptance that have no free case: clients that have left, and the time told to a server.

The slow-start budget is held by `tests/test_slow_start.py`, the final answer beside faults by `tests/test_final_answers.py`.
"""

from __future__ import annotations

import time
from typing import Any

import pytest
import trio

from ternlane.testing.platform import Gate
from tests.race_helpers import RawClient, client_request, wait_until
from tests.platform_gateway import PLATFORM_SETTINGS, Platform, fault_once, platform
from tests.test_races_servers import DelayedConnects, platform_settings

SLACK_S = 0.15  # of the time told to a server
LATE_S = 0.4  # for which a loop stands still: longer than the slack


def stand_still() -> None:
    """The loop is busy: no task of it runs."""
    time.sleep(LATE_S)


LEAVINGS = ["close", "half-close", "reset"]


# -- a client that has left


@pytest.mark.parametrize("how", LEAVINGS)
@pytest.mark.parametrize("attempt", ["first", "hand-over", "further read", "further write"])
async def test_no_attempt_begins_for_a_client_that_left_during_its_connect(
    attempt: str, how: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The connection comes up in the same moment: nothing but the check right before the first byte knows of it."""
    full = fault_once("full_503")
    names = {"first": ["r0", "w0"], "hand-over": ["r0", "w0"], "further read": ["r0", "r1", "w0"]}
    scripts = {"further read": {"r0": full, "r1": full}, "further write": {"w0": full, "w1": full}}
    async with platform(
        *names.get(attempt, ["r0", "w0", "w1"]),
        platform_settings=platform_settings(connect_timeout=1000.0),
        **scripts.get(attempt, {}),
    ) as p:
        role = "write" if attempt in ("hand-over", "further write") else "read"
        held = DelayedConnects(monkeypatch, "")
        client = RawClient(p.address)
        if attempt.startswith("further"):
            held.after(p, role)
        else:
            held.address = p.servers["w0" if role == "write" else "r0"].address
        client.send(client_request(p))
        await held.gate.reached.wait()
        before = p.fleet.count(role)
        client.disconnect(how)
        held.gate.open()  # no turn of the loop lies between the two
        await wait_until(lambda: p.gateway.runtime.reporter.counts["client_gone"])
        await p.wait_until_idle()
        assert p.fleet.count(role) == before == (1 if attempt.startswith("further") else 0)


@pytest.mark.parametrize("how", LEAVINGS)
async def test_no_attempt_begins_for_a_client_that_left_while_the_loop_stood_still(how: str) -> None:
    """Its read has ended and it has left, both while the loop was busy: it hears of all at once."""
    async with platform("r0", "w0") as p:
        gate = p.servers["r0"].gates["request"] = Gate()
        client = RawClient(p.address)
        client.send(client_request(p))
        await gate.reached.wait()
        gate.open()
        client.disconnect(how)
        stand_still()
        await wait_until(lambda: p.gateway.runtime.reporter.counts["client_gone"])
        await p.wait_until_idle()
        assert p.fleet.count("write") == 0


# -- the time told to a server


def unhurried(**limits: float) -> dict[str, Any]:
    """Settings whose aims cut no attempt short: each is told all that its client has left."""
    profile = {"aim": 5000.0, "deadline": 5000.0, "name": "summary", "semantics": "idempotent"}
    return platform_settings(**limits) | {"profiles": [profile]}


async def check_told(p: Platform, sent_at: float, timeout_s: float, attempts: int, lag_s: float = 0.0) -> None:
    """Looks at each of so many attempts as it arrives: it is told at most what is left then, and not far less. A loop
    that was late by `lag_s` expects to be so again as the time ends."""
    for count in range(1, attempts + 1):
        await wait_until(lambda count=count: len(p.fleet.stated_timeouts_s) >= count)
        left_s = sent_at + timeout_s - trio.current_time()
        assert left_s - SLACK_S - lag_s <= p.fleet.stated_timeouts_s[count - 1] <= left_s + SLACK_S, (
            count,
            p.fleet.stated_timeouts_s,
            left_s,
        )


async def test_the_time_told_is_what_is_left_though_the_loop_stood_still_as_the_request_came() -> None:
    """The loop is busy as a request comes. The time told to servers counts from its last byte, not from when it was
    read."""
    async with platform("r0", "w0", platform_settings=unhurried()) as p:
        client = RawClient(p.address)
        await wait_until(lambda: p.gateway.chat_server.idle)
        await trio.sleep(0.6)  # the decisions' looks have begun
        client.send(client_request(p, Request_Timeout="1.5"))
        sent_at = trio.current_time()
        stand_still()
        await check_told(p, sent_at, 1.5, attempts=2, lag_s=LATE_S)
        assert (await client.answer()).startswith(b"HTTP/1.1 200 ")
        client.sock.close()


@pytest.mark.parametrize("name", ["r0", "w0"])
async def test_the_time_told_is_what_is_left_after_a_slow_connect(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """The connection to a server comes up late. The time told to it is what is left then, not what was left at the
    decision."""
    lasting = {"specifics": PLATFORM_SETTINGS["specifics"] | {"release": 1000.0}}  # the state outlasts the slow connect
    async with platform("r0", "w0", platform_settings=unhurried(connect_timeout=1000.0) | lasting) as p:
        held = DelayedConnects(monkeypatch, p.servers[name].address)
        client = RawClient(p.address)
        client.send(client_request(p, Request_Timeout="1.5"))
        sent_at = trio.current_time()

        async def come_up_late() -> None:
            await held.gate.reached.wait()
            await trio.sleep(LATE_S)
            held.gate.open()

        p.nursery.start_soon(come_up_late)
        await check_told(p, sent_at, 1.5, attempts=2)
        assert (await client.answer()).startswith(b"HTTP/1.1 200 ")
        client.sock.close()


async def test_the_time_told_to_each_further_attempt_is_what_is_left() -> None:
    """A model server takes its time to turn the first away."""
    full = fault_once("full_503")
    async with platform("r0", "r1", "w0", platform_settings=unhurried(), r0=full, r1=full) as p:
        for name in ("r0", "r1"):
            p.servers[name].prefill_ms = 1000 * LATE_S
        client = RawClient(p.address)
        client.send(client_request(p, Request_Timeout="2.0"))
        await check_told(p, trio.current_time(), 2.0, attempts=3)
        assert (await client.answer()).startswith(b"HTTP/1.1 200 ")
        client.sock.close()


async def test_the_time_of_a_slow_client_counts_from_its_last_byte() -> None:
    """A client writes its request in two parts. Its time counts from the last byte."""
    async with platform("r0", "w0", platform_settings=unhurried()) as p:
        client, whole = RawClient(p.address), client_request(p, Request_Timeout="1.5")
        client.send(whole[:40])
        await trio.sleep(LATE_S)
        client.send(whole[40:])
        await check_told(p, trio.current_time(), 1.5, attempts=2)
        assert (await client.answer()).startswith(b"HTTP/1.1 200 ")
        client.sock.close()


async def test_the_time_told_does_not_follow_a_wall_clock_that_is_set(monkeypatch: pytest.MonkeyPatch) -> None:
    """The wall clock is set an hour back and forth. The time told to servers stays the same."""
    async with platform("r0", "w0", platform_settings=unhurried()) as p:
        now = time.time
        for step in (-3600.0, 3600.0):
            monkeypatch.setattr(time, "time", lambda step=step: now() + step)
            assert (await p.ask(Request_Timeout="5.0")).status == 200
        read, write, read_again, write_again = p.fleet.stated_timeouts_s
        assert abs(read - read_again) < SLACK_S and abs(write - write_again) < SLACK_S and 2.0 < write <= read <= 5.0
