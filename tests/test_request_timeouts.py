"""No attempt starts for a disconnected client, and the timeout stated to a server is the time that its client has.

Related terms are tested in `tests/test_slow_start.py` (slow-start budget) and `tests/test_final_answers.py` (final
answers under faults).
"""

from __future__ import annotations

import time
from typing import Any

import pytest
import trio

from ternlane.testing.platform import Gate
from tests.platform_gateway import PLATFORM_SETTINGS, Platform, fault_once, platform
from tests.race_helpers import RawClient, client_request, wait_until
from tests.test_races_servers import DelayedConnects, platform_settings

TOLERANCE_S = 0.15  # of a stated timeout
BLOCKED_S = 0.4  # for which the event loop is blocked: longer than the tolerance


def block_event_loop() -> None:
    """Blocks the event loop, so that no task runs."""
    time.sleep(BLOCKED_S)


DISCONNECTS = ["close", "half-close", "reset"]


# -- disconnected clients


@pytest.mark.parametrize("how", DISCONNECTS)
@pytest.mark.parametrize("attempt", ["first", "handover", "retried prefill", "retried decode"])
async def test_no_attempt_starts_after_a_disconnect_during_the_connect(
    attempt: str, how: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A client disconnects while the connection for its attempt is being made, in the same moment in which that
    succeeds. Only the check right before the first byte can notice it."""
    full = fault_once("full_503")
    names = {"first": ["r0", "w0"], "handover": ["r0", "w0"], "retried prefill": ["r0", "r1", "w0"]}
    scripts = {"retried prefill": {"r0": full, "r1": full}, "retried decode": {"w0": full, "w1": full}}
    async with platform(
        *names.get(attempt, ["r0", "w0", "w1"]),
        platform_settings=platform_settings(connect_timeout=1000.0),
        **scripts.get(attempt, {}),
    ) as p:
        role = "write" if attempt in ("handover", "retried decode") else "read"
        held = DelayedConnects(monkeypatch, "")
        client = RawClient(p.address)
        if attempt.startswith("retried"):
            held.after(p, role)
        else:
            held.address = p.servers["w0" if role == "write" else "r0"].address
        client.send(client_request(p))
        await held.gate.reached.wait()
        before = p.fleet.count(role)
        client.disconnect(how)
        held.gate.open()  # before the event loop runs again
        await wait_until(lambda: p.gateway.runtime.reporter.counts["client_gone"])
        await p.wait_until_idle()
        assert p.fleet.count(role) == before == (1 if attempt.startswith("retried") else 0)


@pytest.mark.parametrize("how", DISCONNECTS)
async def test_no_attempt_starts_after_a_disconnect_while_the_loop_is_busy(how: str) -> None:
    """A prefill ends and its client disconnects while the event loop is busy, which notices both at once."""
    async with platform("r0", "w0") as p:
        gate = p.servers["r0"].gates["request"] = Gate()
        client = RawClient(p.address)
        client.send(client_request(p))
        await gate.reached.wait()
        gate.open()
        client.disconnect(how)
        block_event_loop()
        await wait_until(lambda: p.gateway.runtime.reporter.counts["client_gone"])
        await p.wait_until_idle()
        assert p.fleet.count("write") == 0


# -- the timeout stated to a server


def long_deadline_settings(**limits: float) -> dict[str, Any]:
    """Settings with latency objectives that shorten no attempt: each is given all the time that its client has left."""
    profile = {"aim": 5000.0, "deadline": 5000.0, "name": "summary", "semantics": "idempotent"}
    return platform_settings(**limits) | {"profiles": [profile]}


async def check_stated_timeouts(
    p: Platform, sent_at: float, timeout_s: float, attempts: int, expected_lateness_s: float = 0.0
) -> None:
    """Checks the stated timeout of each of `attempts` attempts when it arrives: at most the time left, not much less.

    An event loop that was late by `expected_lateness_s` expects to be late again at the deadline, and states that much
    less.
    """
    for count in range(1, attempts + 1):
        await wait_until(lambda count=count: len(p.fleet.stated_timeouts_s) >= count)
        left_s = sent_at + timeout_s - trio.current_time()
        assert (
            left_s - TOLERANCE_S - expected_lateness_s <= p.fleet.stated_timeouts_s[count - 1] <= left_s + TOLERANCE_S
        ), (
            count,
            p.fleet.stated_timeouts_s,
            left_s,
        )


async def test_stated_timeout_counts_the_time_for_which_the_loop_is_busy() -> None:
    """The event loop is busy when a request arrives. The stated timeout counts from its last byte, not from when it was
    read."""
    async with platform("r0", "w0", platform_settings=long_deadline_settings()) as p:
        client = RawClient(p.address)
        await wait_until(lambda: p.gateway.chat_server.idle)
        await trio.sleep(0.6)  # the router's regular timer has started
        client.send(client_request(p, Request_Timeout="1.5"))
        sent_at = trio.current_time()
        block_event_loop()
        await check_stated_timeouts(p, sent_at, 1.5, attempts=2, expected_lateness_s=BLOCKED_S)
        assert (await client.answer()).startswith(b"HTTP/1.1 200 ")
        client.sock.close()


@pytest.mark.parametrize("name", ["r0", "w0"])
async def test_stated_timeout_counts_a_slow_connect(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """The connection to a server takes long. The timeout stated to it is the time left then, not the time left when the
    router decided."""
    long_release = {
        "specifics": PLATFORM_SETTINGS["specifics"] | {"release": 1000.0}
    }  # the state outlasts the slow connect
    async with platform(
        "r0", "w0", platform_settings=long_deadline_settings(connect_timeout=1000.0) | long_release
    ) as p:
        held = DelayedConnects(monkeypatch, p.servers[name].address)
        client = RawClient(p.address)
        client.send(client_request(p, Request_Timeout="1.5"))
        sent_at = trio.current_time()

        async def connect_late() -> None:
            await held.gate.reached.wait()
            await trio.sleep(BLOCKED_S)
            held.gate.open()

        p.nursery.start_soon(connect_late)
        await check_stated_timeouts(p, sent_at, 1.5, attempts=2)
        assert (await client.answer()).startswith(b"HTTP/1.1 200 ")
        client.sock.close()


async def test_stated_timeout_of_retries_is_the_time_left() -> None:
    """A model server rejects the first attempt only after some time, which the retry no longer has."""
    full = fault_once("full_503")
    async with platform("r0", "r1", "w0", platform_settings=long_deadline_settings(), r0=full, r1=full) as p:
        for name in ("r0", "r1"):
            p.servers[name].prefill_ms = 1000 * BLOCKED_S
        client = RawClient(p.address)
        client.send(client_request(p, Request_Timeout="2.0"))
        await check_stated_timeouts(p, trio.current_time(), 2.0, attempts=3)
        assert (await client.answer()).startswith(b"HTTP/1.1 200 ")
        client.sock.close()


async def test_timeout_of_a_slow_client_counts_from_its_last_byte() -> None:
    """A client writes its request in two parts. Its timeout counts from the last byte."""
    async with platform("r0", "w0", platform_settings=long_deadline_settings()) as p:
        client, message = RawClient(p.address), client_request(p, Request_Timeout="1.5")
        client.send(message[:40])
        await trio.sleep(BLOCKED_S)
        client.send(message[40:])
        await check_stated_timeouts(p, trio.current_time(), 1.5, attempts=2)
        assert (await client.answer()).startswith(b"HTTP/1.1 200 ")
        client.sock.close()


async def test_stated_timeout_does_not_depend_on_the_wall_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    """The wall clock is set an hour back and forward. The timeouts stated to servers stay the same."""
    async with platform("r0", "w0", platform_settings=long_deadline_settings()) as p:
        now = time.time
        for step in (-3600.0, 3600.0):
            monkeypatch.setattr(time, "time", lambda step=step: now() + step)
            assert (await p.ask(Request_Timeout="5.0")).status == 200
        prefill, decode, second_prefill, second_decode = p.fleet.stated_timeouts_s
        assert (
            abs(prefill - second_prefill) < TOLERANCE_S
            and abs(decode - second_decode) < TOLERANCE_S
            and 2.0 < decode <= prefill <= 5.0
        )
