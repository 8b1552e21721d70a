"""A gateway whose event loop falls behind must give every request its final answer in time.

Guards against a loop that refuses nothing: requests waited unread for longer than their clients do, and then each of
them was still served, too late (issue 62). The clients are in another process than the gateway.
"""

from __future__ import annotations

import os
import random
import subprocess
import sys
import time
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from itertools import count
from pathlib import Path

import pytest
import trio

from ternlane.http1.loop_times import RECENT_TURNS, LoopTimes
from ternlane.http1.nonblocking import accept_now, since_last_data_ms
from ternlane.http1.waiting_connections import accept_waiting
from tests.gateway_cluster import Reply, gateway_cluster, send_request
from tests.platform_gateway import PLATFORM_SETTINGS, platform, wait_until_ready
from tests.test_days import gateway_config, wait_for

# One choice of servers takes this long, so that the gateway can serve some 14 requests a second.
CHOICE_MS = 70.0
RATE = 35.0  # requests a second
ARRIVALS_S = 8.0
TIMEOUT_S = 2.0
# The platform's terms: an answer later than half a second after the client's time is lost.
LATE_S = 0.5


@dataclass
class Outcome:
    """What a client saw of its request."""

    status: int
    took_s: float
    retry_after: bool


@asynccontextmanager
async def slow_gateway(*arguments: str, **environment: str) -> AsyncIterator[None]:
    process = await trio.lowlevel.open_process(
        [sys.executable, "-m", "tests.slow_gateway", *arguments],
        env=os.environ | environment,
        stderr=subprocess.DEVNULL,
    )
    try:
        yield
    finally:
        process.kill()
        await process.wait()


async def send_at_rate(ask: Callable[[], Awaitable[Reply]]) -> list[Outcome]:
    """Sends requests at random times, whether or not earlier ones have been answered."""
    rng = random.Random(62)
    outcomes: list[Outcome] = []

    async def one() -> None:
        since_s = time.monotonic()
        outcome = Outcome(0, 0.0, False)
        with trio.move_on_after(TIMEOUT_S + LATE_S):
            reply = await ask()
            outcome = Outcome(reply.status, 0.0, "retry-after" in reply.headers)
        outcome.took_s = time.monotonic() - since_s
        outcomes.append(outcome)

    async with trio.open_nursery() as nursery:
        end_s = trio.current_time() + ARRIVALS_S
        while trio.current_time() < end_s:
            nursery.start_soon(one)
            await trio.sleep(rng.expovariate(RATE))
    return outcomes


def check(outcomes: list[Outcome], rejected: int) -> None:
    statuses = Counter(outcome.status for outcome in outcomes)
    assert statuses[0] == 0, f"without an answer in time: {statuses}"
    assert set(statuses) <= {200, rejected}, statuses
    assert statuses[200] >= 3 * ARRIVALS_S, f"too few are served: {statuses}"
    assert statuses[rejected] > 0, "the gateway was not overloaded"
    assert all(outcome.retry_after for outcome in outcomes if outcome.status == rejected)


async def test_a_platform_gateway_that_falls_behind_answers_all_requests_in_time(tmp_path: Path) -> None:
    settings = PLATFORM_SETTINGS | {
        "profiles": [profile | {"deadline": 1000 * TIMEOUT_S} for profile in PLATFORM_SETTINGS["profiles"]]
    }
    async with platform(platform_settings=settings) as p:
        p.reserve_address()
        config = tmp_path / "config.json"
        config.write_text(p.configuration(settings=settings))
        async with slow_gateway("platform", str(CHOICE_MS), NODE_CONFIG=str(config)):
            await wait_until_ready(p)
            check(await send_at_rate(lambda: p.ask(Request_Timeout=str(TIMEOUT_S))), rejected=503)


async def test_a_chat_gateway_that_falls_behind_answers_all_requests_in_time(tmp_path: Path) -> None:
    async with gateway_cluster() as cluster:
        nodes = [
            {"id": line.id, "address": line.address, "cell": line.cell, "duty": line.role, "mem_toks": 1e6}
            for line in cluster.lines()
        ]
        path, port = gateway_config(
            tmp_path,
            nodes={"from": "inline", "nodes": nodes},
            products=[{"name": "summary", "slo_ms": 500, "limit_ms": 1000 * TIMEOUT_S}],
        )
        async with slow_gateway("chat", str(CHOICE_MS), str(path)):
            await trio.to_thread.run_sync(wait_for, port)
            address = f"127.0.0.1:{port}"
            numbers = count()

            async def ask() -> Reply:
                message = {"role": "user", "content": f"session {next(numbers)}"}  # a new one, without a home pair
                body = {"model": "summary", "stream": True, "messages": [message]}
                connection = await cluster.pool.connect(address)
                try:
                    return await send_request(connection, body, {}, "/v1/chat/completions")
                finally:
                    connection.close_now()

            check(await send_at_rate(ask), rejected=429)


# -- what the loop measures


def block(duration_ms: float) -> None:
    """Keeps the event loop from its next turn."""
    time.sleep(duration_ms / 1000)


def measure_turns(turns_ms: tuple[float, ...]) -> LoopTimes:
    """What is measured after turns of these durations."""
    loop_times = LoopTimes()
    for turn_ms in turns_ms:
        loop_times.after_io_wait(0.0)
        block(turn_ms)
        loop_times.before_io_wait(0.0)
    loop_times.after_io_wait(0.0)
    return loop_times


async def test_the_wait_in_the_queue_of_a_listener_counts() -> None:
    """A request is sent on a connection that is accepted only later."""
    [listener] = await trio.open_tcp_listeners(0, host="127.0.0.1")
    assert accept_now(listener) is None
    client = await trio.open_tcp_stream(*listener.socket.getsockname())
    await client.send_all(b"a request")
    await trio.sleep(0.3)
    stream = accept_now(listener)
    assert stream is not None
    await stream.receive_some()
    assert 250 <= since_last_data_ms(stream) <= 2000
    assert LoopTimes().waited_ms(stream) >= 250
    for open_one in (client, stream, listener):
        await open_one.aclose()
    assert since_last_data_ms(stream) == 0.0


@pytest.mark.parametrize(
    ("turns_ms", "expected_ms"),
    [
        ((), 0.0),
        ((80,), 0.0),
        ((80, 1, 60), 59.0),
        ((1, 2, 1), 1.0),
        ((300, 40, 50, 60), 51.3),
        ((300, 300, *[1] * RECENT_TURNS), 1.0),
    ],
)
async def test_a_single_long_turn_does_not_count_as_late(turns_ms: tuple[float, ...], expected_ms: float) -> None:
    """The mean of the turns weighted by their durations, without the longest; only recent turns count."""
    loop_times = measure_turns(turns_ms)
    assert expected_ms * 0.95 <= loop_times.turn_ms() <= expected_ms * 1.5 + 5


@pytest.mark.parametrize(("turn_ms", "accepted"), [(0.5, 0), (45, 4), (400, 6)])
async def test_a_long_turn_accepts_the_connections_of_several_short_ones(turn_ms: float, accepted: int) -> None:
    """One connection a turn, however long it took, left requests unread until their time was over (issue 62)."""
    [listener] = await trio.open_tcp_listeners(0, host="127.0.0.1")
    clients = [await trio.open_tcp_stream(*listener.socket.getsockname()) for _ in range(6)]
    streams = accept_waiting(listener, measure_turns((turn_ms,)))
    assert len(streams) == accepted
    for open_one in (*clients, *streams, listener):
        await open_one.aclose()
