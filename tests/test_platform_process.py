"""The event loop's timers, the stream parser, and the gateway process: start, reload, drain and restart."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest
import trio

from ternlane.event_loop import EventLoop, now_ms
from ternlane.http1 import ConnectError
from ternlane.platform.event_stream import EventStreamParser
from ternlane.policy import messages
from ternlane.testing.platform import DONE, EVENT
from tests.gateway_cluster import Reply, send_request
from tests.platform_gateway import BODY, platform, wait_until_ready

# -- event loop and stream parser


class RepeatingTimerRouter:
    """A router that sets the next timer whenever one fires."""

    def __init__(self) -> None:
        self.timers_fired = 0

    def take(self, now: float, events: list[messages.Event]) -> list[messages.Action]:
        self.timers_fired += sum(isinstance(e, messages.TimerFired) for e in events)
        return [messages.StartTimer(now + 5, messages.TimerKind.TICK)]


class TimerEventLoop(EventLoop[Any]):
    def execute_host_action(self, action: messages.Action) -> None:
        raise AssertionError(action)

    def start_attempt(self, active_request: Any, server: messages.Server, times: messages.StartAttempt) -> None:
        raise AssertionError(times)

    def finish_request(self, active_request: Any, final: Any) -> None:
        raise AssertionError(final)

    def on_timers_fired(self) -> None:
        pass


async def test_timers_keep_firing(nursery: trio.Nursery) -> None:
    """The router sets each timer when the one before fires. All of them fire."""
    router = RepeatingTimerRouter()
    loop = TimerEventLoop(router)
    nursery.start_soon(loop.run_timers)
    loop.dispatch(messages.EndpointListFailed())
    with trio.fail_after(2):
        while router.timers_fired < 5:
            await trio.sleep(0.005)
    assert loop.timers[0][0] > now_ms() - 1000


def test_stream_in_any_pieces_yields_complete_events() -> None:
    text = EVENT + b": a comment\n\n" + EVENT + DONE
    for size in range(1, 40):
        events, out = EventStreamParser(), b""
        for at in range(0, len(text), size):
            out += events.feed(text[at : at + size])
        assert out == text and events.done


# -- the process


async def test_start_reload_drain_and_restart_of_the_process(tmp_path: Path) -> None:
    """A gateway is started, reloaded twice, sent SIGTERM twice while it streams, and restarted at its address. No
    request is lost."""
    async with platform("r0", "w0") as p:
        p.reserve_address()
        config = tmp_path / "config.json"

        def write(**more: Any) -> None:
            config.write_text(p.configuration(**more))

        write()
        p.servers["w0"].events, p.servers["w0"].event_ms = 20, 40.0
        env = os.environ | {"NODE_CONFIG": str(config)}
        for _ in range(2):  # the second is a restart on the same address
            process = await trio.lowlevel.open_process(
                [sys.executable, "-m", "ternlane.platform"], env=env, stderr=subprocess.DEVNULL
            )
            try:
                await wait_until_ready(p)
                replies: list[Reply] = []

                async def one(into: list[Reply]) -> None:
                    into.append(await p.ask())

                async with trio.open_nursery() as nursery:
                    nursery.start_soon(one, replies)
                    await trio.sleep(0.2)
                    config.write_text("{")  # an invalid file changes nothing
                    process.send_signal(signal.SIGHUP)
                    await trio.sleep(0.1)
                    write()
                    process.send_signal(signal.SIGHUP)
                    await trio.sleep(0.1)
                    process.send_signal(signal.SIGTERM)
                    process.send_signal(signal.SIGTERM)
                    await trio.sleep(0.1)
                    nursery.start_soon(one, replies)  # arrives on a new connection during the drain
                assert [r.status for r in replies] in ([200, 200], [503, 200]) and replies[-1].done == 1
                with trio.fail_after(5):
                    assert await process.wait() == 0
            finally:
                process.kill()


async def test_drain_closes_idle_connections_and_answers_late_requests() -> None:
    """Clients hold connections when the gateway starts to drain. Each connection ends with its next answer, or at once
    if it has served a request, so that no late request is cut off."""
    async with platform("r0", "w0") as p:
        p.servers["w0"].events, p.servers["w0"].event_ms = 30, 40.0
        replies: list[Reply] = []

        async def one() -> None:
            replies.append(await p.ask())

        served = await p.pool.connect(p.address)
        assert (await send_request(served, BODY, p.headers(), "/v1/chat/completions")).done == 1
        fresh = await p.pool.connect(p.address)
        p.nursery.start_soon(one)
        await trio.sleep(0.2)
        since = trio.current_time()
        p.nursery.start_soon(p.gateway.drain)
        with trio.fail_after(0.2):
            assert await served.stream.receive_some() == b""  # it has served a request, so it is closed
        reply = await send_request(fresh, BODY, p.headers(), "/v1/chat/completions")  # a new one still gets an answer
        assert reply.status == 503 and reply.headers["connection"] == "close" and "retry-after" in reply.headers
        silent = await p.pool.connect(p.address)
        with trio.fail_after(1):
            assert await silent.stream.receive_some() == b""
        assert trio.current_time() - since < 0.7
        with pytest.raises(ConnectError):
            await p.pool.connect(p.address)
        with trio.fail_after(3):
            while p.gateway.chat_server.connections:
                await trio.sleep(0.01)
        assert [r.done for r in replies] == [1]


@pytest.mark.parametrize(
    "text",
    [
        None,
        "",
        "{",
        "[]",
        '{"settings":{}}',
        '{"settings":{"profiles":[{"name":"a"}]}}',
        '{"settings":{"profiles":7},"discovery":"x"}',
    ],
)
def test_invalid_configuration_exits_with_one_line(tmp_path: Path, text: str | None) -> None:
    """The configuration is missing or invalid. The process exits with the status for that and one line with the
    reason."""
    path = tmp_path / "config.json"
    if text is not None:
        path.write_text(text)
    done = subprocess.run(
        [sys.executable, "-m", "ternlane.platform"],
        env=os.environ | {"NODE_CONFIG": str(path)},
        capture_output=True,
        text=True,
        timeout=20,
    )
    assert done.returncode == 65 and done.stderr.startswith("ternlane: ") and done.stderr.count("\n") == 1
