"""Every request that a gateway has accepted has its final answer before the gateway may be killed.

The gateway runs as a separate process. It receives SIGTERM and is killed at the earliest time that the platform
protocol allows; until then clients keep writing on open connections.
"""

from __future__ import annotations

import json
import signal
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import pytest
import trio

from ternlane.testing.platform import DONE, EVENT, Gate
from tests.platform_gateway import (
    LONG_ANSWER,
    PLATFORM_SETTINGS,
    Platform,
    fault_always,
    platform,
    wait_until_ready,
)
from tests.race_helpers import RawClient, client_request, wait_until
from tests.test_platform_bounds import running

LONGEST_S, AFTER_S = 3.0, 0.7  # SIGKILL follows SIGTERM after min(3 s, longest deadline) + 0.7 s at the earliest
LATE_S = 0.9  # a request sent this long after SIGTERM still has to be answered, whatever its time-out
SETTINGS = PLATFORM_SETTINGS | {
    "profiles": [profile | {"aim": 2000.0, "deadline": 12e3} for profile in PLATFORM_SETTINGS["profiles"]],
    "specifics": PLATFORM_SETTINGS["specifics"]
    | {"token_aim": [10.0, 10.0]},  # so that a usual stream fits into the remaining time
}
CLIENT_COUNT = 24  # concurrent clients
CLASSES = ("summary", "note")  # one idempotent, one that may run only once


@dataclass
class StoppingGateway:
    """A gateway process that receives SIGTERM during the test."""

    p: Platform
    process: trio.Process
    log: Path
    sigterm_at: float = 0.0

    def send_sigterm(self) -> None:
        self.process.send_signal(signal.SIGTERM)
        self.sigterm_at = trio.current_time()

    async def wait_until(self, after_s: float) -> None:
        """Waits until `after_s` after SIGTERM."""
        await trio.sleep_until(self.sigterm_at + after_s)

    async def kill(self) -> None:
        """Kills the process at the earliest time that the platform allows."""
        await self.wait_until(LONGEST_S + AFTER_S)
        self.process.kill()
        await self.process.wait()

    def log_lines(self, event: str) -> list[dict[str, Any]]:
        log_lines = [json.loads(line) for line in self.log.read_text().splitlines() if line.startswith("{")]
        return [line for line in log_lines if line["event"] == event]


@asynccontextmanager
async def running_gateway(p: Platform, folder: Path, **more: Any) -> AsyncIterator[StoppingGateway]:
    async with running(p, folder, **({"settings": SETTINGS} | more)) as (process, log):
        await wait_until_ready(p)
        yield StoppingGateway(p, process, log)


def is_complete(answer: bytes) -> bool:
    """Whether this is exactly one complete final answer."""
    head, _, body = answer.partition(b"\r\n\r\n")
    if head.startswith(b"HTTP/1.1 200 "):
        return DONE in body and body.endswith(b"\r\n0\r\n\r\n")
    length = next((line for line in head.lower().split(b"\r\n") if line.startswith(b"content-length:")), b":-1")
    return head.startswith((b"HTTP/1.1 503 ", b"HTTP/1.1 502 ", b"HTTP/1.1 408 ")) and len(body) == int(
        length.partition(b":")[2]
    )


def use_long_streams(p: Platform) -> None:
    """Makes each stream take longer than the gateway has between SIGTERM and SIGKILL."""
    p.servers["w0"].events, p.servers["w0"].event_ms = 150, 30.0


async def test_a_shutdown_logs_every_request_that_it_ends_or_can_not_finish(tmp_path: Path) -> None:
    async with platform("r0", "w0", platform_settings=SETTINGS) as p, running_gateway(p, tmp_path) as gateway:
        use_long_streams(p)
        streaming, refused = RawClient(p.address), RawClient(p.address)
        streaming.send(client_request(p, Request_Info=LONG_ANSWER))
        await streaming.read_until(lambda got: got.find(EVENT))
        gateway.send_sigterm()
        await gateway.wait_until(0.1)
        refused.send(client_request(p, Request_Timeout="0.05"))
        assert (await refused.answer()).startswith(b"HTTP/1.1 503 ")
        await gateway.kill()
        began, closed, unfinished = map(gateway.log_lines, ("draining", "closed", "unfinished before the end"))
        (line,) = began
        assert line["may_be_killed_in_ms"] + line["since_signal_ms"] == pytest.approx(3700, abs=1)
        assert [line["reject_reason"] for line in closed] == ["DEADLINE_TOO_CLOSE"] and closed[0][
            "after_sigterm_ms"
        ] >= 0
        assert [(line["phase"], line["server"]) for line in unfinished] == [("streaming", "w0")]
        assert unfinished[0]["after_sigterm_ms"] is None and unfinished[0]["age_ms"] > 3000


async def test_the_reason_of_every_close_of_a_connection_is_counted() -> None:
    async with platform("r0", "w0") as p:
        served, left, bad, idle = (RawClient(p.address) for _ in range(4))
        served.send(client_request(p))
        assert (await served.answer()).startswith(b"HTTP/1.1 200 ")
        bad.send(b"nonsense\r\n\r\n")
        assert (await bad.rest()).startswith(b"HTTP/1.1 400 ")
        left.disconnect("close")
        p.nursery.start_soon(p.gateway.drain)
        assert await served.rest() == await idle.rest() == b""
        await wait_until(lambda: not p.gateway.chat_server.connections)
        counts = p.gateway.runtime.reporter.counts
        reasons = {name: count for name, count in counts.items() if name.startswith("connection ")}
        assert reasons == {"connection DRAINING": 2, "connection REFUSED": 1, "connection CLIENT_ENDED": 1}


def start_late_request(p: Platform, name: str, timeout_s: float = 9.0) -> tuple[RawClient, bytes]:
    """Sends all but the end of a request. Returns the client and that end."""
    data = client_request(p, Request_Class=name, Request_Timeout=str(timeout_s), Request_Info=LONG_ANSWER)
    client = RawClient(p.address)
    client.send(data[:-9])
    return client, data[-9:]


FAULTS: dict[str, tuple[dict[str, Callable[[str], str]], Callable[[Platform], None]]] = {
    "a silent decode server": ({"w0": fault_always("silent")}, lambda p: None),
    "a silent prefill server": ({"r0": fault_always("silent")}, lambda p: None),
    "a stream that is longer than usual": ({}, use_long_streams),
}


async def find_unanswered_late_requests(fault: str, folder: Path, unanswered: list[str]) -> None:
    """Sends a request of each class late in a shutdown and records those without a complete answer at the kill."""
    scripts, prepare = FAULTS[fault]
    async with platform("r0", "w0", platform_settings=SETTINGS, **scripts) as p, running_gateway(p, folder) as gateway:
        prepare(p)
        clients = {name: start_late_request(p, name) for name in CLASSES}
        await trio.sleep(0.1)  # their first parts are read before the signal
        gateway.send_sigterm()
        await gateway.wait_until(LATE_S)
        for client, rest in clients.values():
            client.send(rest)
        await gateway.kill()
        for name, (client, _) in clients.items():
            if not is_complete(await client.rest()):
                unanswered.append(f"{fault}: {name}")


async def test_requests_that_arrive_late_in_a_shutdown_are_answered_before_the_kill(tmp_path: Path) -> None:
    """Guards against late requests that got no answer because the first event never came, or because the stream took
    longer than the remaining time."""
    unanswered: list[str] = []
    async with trio.open_nursery() as nursery:
        for fault in FAULTS:
            folder = tmp_path / fault.replace(" ", "-")
            folder.mkdir()  # noqa: ASYNC240 - the test's own disk
            nursery.start_soon(find_unanswered_late_requests, fault, folder, unanswered)
    assert not unanswered


async def test_requests_open_at_sigterm_are_answered_before_the_kill(tmp_path: Path) -> None:
    """Their clients would wait longer. A request that may run only once may have run, so it must not be rejected."""
    async with (
        platform("r0", "w0", platform_settings=SETTINGS, w0=fault_always("silent")) as p,
        running_gateway(p, tmp_path) as gateway,
    ):
        clients = {name: RawClient(p.address) for name in CLASSES}
        for name, client in clients.items():
            client.send(client_request(p, Request_Class=name, Request_Timeout="9"))
        await wait_until(lambda: p.fleet.count("write") == len(CLASSES))
        gateway.send_sigterm()
        await gateway.kill()
        answers = {name: await client.rest() for name, client in clients.items()}
        assert all(is_complete(answer) for answer in answers.values()), answers
        assert answers["note"].startswith(b"HTTP/1.1 502 ") and p.fleet.run_counts["note"] <= 1
        assert answers["summary"].startswith(b"HTTP/1.1 503 ") and b"Retry-After" in answers["summary"]
        assert not p.fleet.states


async def test_a_stream_open_at_sigterm_continues_until_the_kill(tmp_path: Path) -> None:
    """Truncating it earlier has no benefit, since the kill may come later than the earliest time."""
    async with platform("r0", "w0", platform_settings=SETTINGS) as p, running_gateway(p, tmp_path) as gateway:
        p.servers["w0"].events, p.servers["w0"].event_ms = 110, 30.0
        client = RawClient(p.address)
        client.send(client_request(p, Request_Info=LONG_ANSWER))
        await client.read_until(lambda got: got.find(EVENT))
        gateway.send_sigterm()
        assert (await client.rest()).endswith(b"\r\n0\r\n\r\n")
        assert 2.8 < trio.current_time() - gateway.sigterm_at < LONGEST_S + AFTER_S


async def test_an_incomplete_request_is_answered_before_the_kill(tmp_path: Path) -> None:
    """The time-outs of a request head and a body add up to more than the gateway has after SIGTERM. The client stops
    within its request, or sends the last byte just before the kill."""
    async with platform("r0", "w0", platform_settings=SETTINGS) as p, running_gateway(p, tmp_path) as gateway:
        clients = [RawClient(p.address) for _ in CLASSES]
        for client in clients:
            client.send(client_request(p))
            assert is_complete(await client.answer())
        await trio.sleep(0.1)  # the connections are idle
        halves = [client_request(p, Request_Timeout="9") for _ in clients]
        for client, data in zip(clients, halves, strict=False):
            client.send(data[:40])
        await trio.sleep(0.1)
        gateway.send_sigterm()
        await gateway.wait_until(2.3)
        for client, data in zip(clients, halves, strict=False):
            client.send(data[40:-9])
        await gateway.wait_until(LONGEST_S + AFTER_S - 0.1)
        with suppress(OSError):
            clients[0].send(halves[0][-9:])
        await gateway.kill()
        answers = [await client.rest() for client in clients]
        assert all(is_complete(answer) and answer.startswith(b"HTTP/1.1 503 ") for answer in answers), answers


async def test_a_gateway_that_receives_sigterm_while_it_starts_answers_in_time(tmp_path: Path) -> None:
    """The gateway still waits for the first list of its agent, but the time until the kill runs from the signal."""
    async with platform("r0", "w0", platform_settings=SETTINGS, w0=fault_always("silent")) as p:
        p.discovery.silent = True
        async with running(p, tmp_path, settings=SETTINGS) as (process, log):
            gateway = StoppingGateway(p, process, log)
            clients: list[RawClient] = []
            with trio.fail_after(5):
                while not clients:
                    try:
                        clients = [RawClient(p.address) for _ in CLASSES]
                    except ConnectionRefusedError:
                        await trio.sleep(0.01)
            for name, client in zip(CLASSES, clients, strict=False):
                client.send(client_request(p, Request_Class=name, Request_Timeout="9"))
            gateway.send_sigterm()
            await gateway.kill()
            answers = [await client.rest() for client in clients]
            assert all(is_complete(answer) for answer in answers), answers


async def test_a_gateway_paused_around_sigterm_and_before_the_kill_answers_in_time(tmp_path: Path) -> None:
    """The signal is handled 0.15 s late, and requests arrive around the time up to which they are forwarded."""
    async with (
        platform("r0", "w0", platform_settings=SETTINGS, w0=fault_always("silent")) as p,
        running_gateway(p, tmp_path) as gateway,
    ):
        clients = [start_late_request(p, name) for name in CLASSES * 4]
        await trio.sleep(0.1)
        gateway.process.send_signal(signal.SIGSTOP)
        gateway.send_sigterm()
        await gateway.wait_until(0.15)
        gateway.process.send_signal(signal.SIGCONT)
        for nth, (client, rest) in enumerate(clients):
            await gateway.wait_until(0.55 + 0.05 * nth)
            client.send(rest)
        await gateway.wait_until(LONGEST_S + AFTER_S - 0.45)
        gateway.process.send_signal(signal.SIGSTOP)
        await trio.sleep(0.15)
        gateway.process.send_signal(signal.SIGCONT)
        await gateway.kill()
        answers = [await client.rest() for client, _ in clients]
        assert all(is_complete(answer) for answer in answers), answers


async def test_a_request_after_a_stream_that_ends_late_in_a_shutdown_is_answered_or_not_read(
    tmp_path: Path,
) -> None:
    """The head of the stream was written before the signal, without `Connection: close`."""
    async with platform("r0", "w0", platform_settings=SETTINGS) as p, running_gateway(p, tmp_path) as gateway:
        gate = p.servers["w0"].gates["end"] = Gate()
        replies: dict[str, bytes] = {}

        async def ask_again() -> None:
            client = RawClient(p.address)
            client.send(client_request(p))
            assert is_complete(await client.answer())
            again = client_request(p, Request_Timeout="9")
            ident = f"{p.request_count:016x}"
            with suppress(OSError):
                client.send(again)
            replies[ident] = await client.rest()

        async with trio.open_nursery() as nursery:
            for nth in range(CLIENT_COUNT):
                nursery.start_soon(ask_again)
                await wait_until(lambda nth=nth: p.fleet.open["w0"] == nth + 1)
            p.servers["w0"].fault_of = fault_always("silent")
            gateway.send_sigterm()
            await gateway.wait_until(LATE_S)
            # All streams end at once, so a busy event loop may read further requests before it closes connections.
            gate.open()
            await gateway.kill()
        assert len(replies) == CLIENT_COUNT
        sent_on = {ident for _, _, ident in p.fleet.seen}
        unanswered = {
            ident: reply for ident, reply in replies.items() if not is_complete(reply) and (reply or ident in sent_on)
        }
        assert not unanswered
