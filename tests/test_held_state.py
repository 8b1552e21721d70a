"""State held for a request is taken or released in time, also where what was sent to take it never arrives.

The gateway is a process of its own; a proxy stands between it and the decode servers and falls silent, connections
open.
"""

from __future__ import annotations

from pathlib import Path
from typing import Any

import trio

from ternlane.standin.proxy import StallingProxy
from tests.platform_world import TOLD, Platform, platform, until_ready
from tests.test_platform_bounds import running
from tests.world import Reply

RELEASE_MS = TOLD["specifics"]["release"]
SLACK_MS = 300.0  # what the users' page gives a gateway on top


def settings(target_ms: float, deadline_ms: float) -> dict[str, Any]:
    """Both classes, that which may be repeated and that which may not, with these times."""
    return TOLD | {"profiles": [p | {"aim": target_ms, "deadline": deadline_ms} for p in TOLD["profiles"]]}


async def ask_all(p: Platform, *classes: str, timeout_s: float) -> list[Reply]:
    replies: list[Reply] = []

    async def one(name: str) -> None:
        replies.append(await p.ask(Request_Class=name, Request_Timeout=str(timeout_s)))

    async with trio.open_nursery() as nursery:
        for name in classes:
            nursery.start_soon(one, name)
    return replies


async def warm_up(p: Platform, proxies: list[StallingProxy]) -> None:
    """Leaves kept connections to all decode servers, as a gateway has that has served for a while."""
    await until_ready(p)
    while any(not p.fleet.ran or p.fleet.conns[name] == 0 for name in p.servers if name[0] == "w"):
        assert all(reply.status == 200 for reply in await ask_all(p, *["summary"] * 2 * len(proxies), timeout_s=3.0))
    await trio.sleep(0.1)  # a connection rests before it is used again


async def test_a_state_is_released_in_time_though_its_decode_attempt_never_arrives(tmp_path: Path) -> None:
    """Both classes wait for longer than the release time for an answer that will not come."""
    told = settings(target_ms=2000.0, deadline_ms=10e3)
    async with platform("r0", told=told) as p:
        proxies = [await p.add_behind_proxy("w0")]
        async with running(p, tmp_path, settings=told):
            await warm_up(p, proxies)
            proxies[0].stall()
            replies = await ask_all(p, "summary", "note", "summary", timeout_s=2.5)
            assert proxies[0].swallowed_bytes and all(reply.status in (502, 503) for reply in replies)
            assert p.fleet.longest_held_ms() <= RELEASE_MS + SLACK_MS


async def test_attempts_that_never_arrive_one_after_the_other_do_not_prolong_the_release_time(tmp_path: Path) -> None:
    """Each of four decode servers is given up on well within the release time, all of them together are not."""
    told = settings(target_ms=400.0, deadline_ms=10e3)
    async with platform("r0", told=told) as p:
        proxies = [await p.add_behind_proxy(f"w{n}") for n in range(4)]
        async with running(p, tmp_path, settings=told):
            await warm_up(p, proxies)
            for proxy in proxies:
                proxy.stall()
            await ask_all(p, "summary", "summary", timeout_s=2.5)
            assert p.fleet.longest_held_ms() <= RELEASE_MS + SLACK_MS
