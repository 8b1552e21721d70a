"""Every request that a gateway has taken has its final answer before the gateway may be killed.

The gateway is a process of its own. It is told to end by SIGTERM and killed at the earliest time that the users' page
allows; until then clients go on writing on the connections that are open.
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
from tests.platform_gateway import PLATFORM_SETTINGS, Platform, fault_always, platform, wait_until_ready
from tests.race_helpers import RawClient, client_request, wait_until
from tests.test_platform_bounds import running

LONGEST_S, AFTER_S = 3.0, 0.7  # SIGKILL comes no sooner after SIGTERM than the longest deadline, 3 s at most, and 0.7 s
LATE_S = 0.9  # a request that comes so late has to be answered, however long its client would wait
SETTINGS = PLATFORM_SETTINGS | {
    "profiles": [profile | {"aim": 2000.0, "deadline": 12e3} for profile in PLATFORM_SETTINGS["profiles"]],
    "specifics": PLATFORM_SETTINGS["specifics"]
    | {"token_aim": [10.0, 10.0]},  # so that a usual stream fits into the time left
}
CROWD = 24  # clients at once
CLASSES = ("summary", "note")  # one that may be repeated, one that may run only once


@dataclass
class Stopping:
    """A gateway that has been told to end."""

    p: Platform
    process: trio.Process
    log: Path
    told_at: float = 0.0

    def tell(self) -> None:
        self.process.send_signal(signal.SIGTERM)
        self.told_at = trio.current_time()

    async def wait_until(self, after_s: float) -> None:
        """Waits until so long after SIGTERM."""
        await trio.sleep_until(self.told_at + after_s)

    async def kill(self) -> None:
        """At the earliest time that is allowed."""
        await self.wait_until(LONGEST_S + AFTER_S)
        self.process.kill()
        await self.process.wait()

    def lines(self, event: str) -> list[dict[str, Any]]:
        lines = [json.loads(line) for line in self.log.read_text().splitlines() if line.startswith("{")]
        return [line for line in lines if line["event"] == event]


@asynccontextmanager
async def serving(p: Platform, folder: Path, **more: Any) -> AsyncIterator[Stopping]:
    async with running(p, folder, **({"settings": SETTINGS} | more)) as (process, log):
        await wait_until_ready(p)
        yield Stopping(p, process, log)


def whole(answer: bytes) -> bool:
    """Is this one final answer from its first byte to its last?"""
    head, _, body = answer.partition(b"\r\n\r\n")
    if head.startswith(b"HTTP/1.1 200 "):
        return DONE in body and body.endswith(b"\r\n0\r\n\r\n")
    length = next((line for line in head.lower().split(b"\r\n") if line.startswith(b"content-length:")), b":-1")
    return head.startswith((b"HTTP/1.1 503 ", b"HTTP/1.1 502 ", b"HTTP/1.1 408 ")) and len(body) == int(
        length.partition(b":")[2]
    )


def long_streams(p: Platform) -> None:
    """Each takes longer than a gateway that is told to end may have."""
    p.servers["w0"].events, p.servers["w0"].event_ms = 150, 30.0


async def test_a_shutdown_tells_of_every_request_that_it_ends_and_of_what_it_can_not_finish(tmp_path: Path) -> None:
    async with platform("r0", "w0", platform_settings=SETTINGS) as p, serving(p, tmp_path) as gateway:
        long_streams(p)
        streaming, refused = RawClient(p.address), RawClient(p.address)
        streaming.send(client_request(p))
        await streaming.read_until(lambda got: got.find(EVENT))
        gateway.tell()
        await gateway.wait_until(0.1)
        refused.send(client_request(p, Request_Timeout="0.05"))
        assert (await refused.answer()).startswith(b"HTTP/1.1 503 ")
        await gateway.kill()
        began, closed, unfinished = map(gateway.lines, ("draining", "closed", "unfinished before the end"))
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


def late_client(p: Platform, name: str, timeout_s: float = 9.0) -> tuple[RawClient, bytes]:
    """A client that has written all but the end of its request, and that end."""
    data = client_request(p, Request_Class=name, Request_Timeout=str(timeout_s))
    client = RawClient(p.address)
    client.send(data[:-9])
    return client, data[-9:]


WAYS: dict[str, tuple[dict[str, Callable[[str], str]], Callable[[Platform], None]]] = {
    "a silent decode server": ({"w0": fault_always("silent")}, lambda p: None),
    "a silent prefill server": ({"r0": fault_always("silent")}, lambda p: None),
    "a stream that is longer than usual": ({}, long_streams),
}


async def lost_late_requests(way: str, folder: Path, lost: list[str]) -> None:
    """Sends a request of each class late in a shutdown, and adds those without a whole answer at the kill."""
    scripts, prepare = WAYS[way]
    async with platform("r0", "w0", platform_settings=SETTINGS, **scripts) as p, serving(p, folder) as gateway:
        prepare(p)
        clients = {name: late_client(p, name) for name in CLASSES}
        await trio.sleep(0.1)  # their halves are read before the signal
        gateway.tell()
        await gateway.wait_until(LATE_S)
        for client, rest in clients.values():
            client.send(rest)
        await gateway.kill()
        for name, (client, _) in clients.items():
            if not whole(await client.rest()):
                lost.append(f"{way}: {name}")


async def test_requests_that_come_late_in_a_shutdown_are_answered_before_the_kill(tmp_path: Path) -> None:
    """As reported: the first event never comes, or the stream takes longer than the time that is left."""
    lost: list[str] = []
    async with trio.open_nursery() as nursery:
        for way in WAYS:
            folder = tmp_path / way.replace(" ", "-")
            folder.mkdir()  # noqa: ASYNC240 - the test's own disk
            nursery.start_soon(lost_late_requests, way, folder, lost)
    assert not lost


async def test_requests_that_a_shutdown_finds_open_are_answered_before_the_kill(tmp_path: Path) -> None:
    """Their clients would wait for longer. What may run only once may have run, so it may not be called rejected."""
    async with (
        platform("r0", "w0", platform_settings=SETTINGS, w0=fault_always("silent")) as p,
        serving(p, tmp_path) as gateway,
    ):
        clients = {name: RawClient(p.address) for name in CLASSES}
        for name, client in clients.items():
            client.send(client_request(p, Request_Class=name, Request_Timeout="9"))
        await wait_until(lambda: p.fleet.count("write") == len(CLASSES))
        gateway.tell()
        await gateway.kill()
        answers = {name: await client.rest() for name, client in clients.items()}
        assert all(whole(answer) for answer in answers.values()), answers
        assert answers["note"].startswith(b"HTTP/1.1 502 ") and p.fleet.run_counts["note"] <= 1
        assert answers["summary"].startswith(b"HTTP/1.1 503 ") and b"Retry-After" in answers["summary"]
        assert not p.fleet.states


async def test_a_stream_of_before_goes_on_up_to_the_kill(tmp_path: Path) -> None:
    """Nothing is gained by cutting it sooner: the kill may come later than at its earliest."""
    async with platform("r0", "w0", platform_settings=SETTINGS) as p, serving(p, tmp_path) as gateway:
        p.servers["w0"].events, p.servers["w0"].event_ms = 110, 30.0
        client = RawClient(p.address)
        client.send(client_request(p))
        await client.read_until(lambda got: got.find(EVENT))
        gateway.tell()
        assert (await client.rest()).endswith(b"\r\n0\r\n\r\n")
        assert 2.8 < trio.current_time() - gateway.told_at < LONGEST_S + AFTER_S


async def test_half_a_request_is_answered_before_the_kill(tmp_path: Path) -> None:
    """A slow client has time for its head and again for its body, together more than a gateway that ends. It stops
    within its request, or its last byte comes just before the kill."""
    async with platform("r0", "w0", platform_settings=SETTINGS) as p, serving(p, tmp_path) as gateway:
        clients = [RawClient(p.address) for _ in CLASSES]
        for client in clients:
            client.send(client_request(p))
            assert whole(await client.answer())
        await trio.sleep(0.1)  # they rest
        halves = [client_request(p, Request_Timeout="9") for _ in clients]
        for client, data in zip(clients, halves, strict=False):
            client.send(data[:40])
        await trio.sleep(0.1)
        gateway.tell()
        await gateway.wait_until(2.3)
        for client, data in zip(clients, halves, strict=False):
            client.send(data[40:-9])
        await gateway.wait_until(LONGEST_S + AFTER_S - 0.1)
        with suppress(OSError):
            clients[0].send(halves[0][-9:])
        await gateway.kill()
        answers = [await client.rest() for client in clients]
        assert all(whole(answer) and answer.startswith(b"HTTP/1.1 503 ") for answer in answers), answers


async def test_a_gateway_that_is_told_to_end_while_it_starts_answers_in_time(tmp_path: Path) -> None:
    """It waits for its agent's first list; its time has run since the signal all the same."""
    async with platform("r0", "w0", platform_settings=SETTINGS, w0=fault_always("silent")) as p:
        p.discovery.silent = True
        async with running(p, tmp_path, settings=SETTINGS) as (process, log):
            gateway = Stopping(p, process, log)
            clients: list[RawClient] = []
            with trio.fail_after(5):
                while not clients:
                    try:
                        clients = [RawClient(p.address) for _ in CLASSES]
                    except ConnectionRefusedError:
                        await trio.sleep(0.01)
            for name, client in zip(CLASSES, clients, strict=False):
                client.send(client_request(p, Request_Class=name, Request_Timeout="9"))
            gateway.tell()
            await gateway.kill()
            answers = [await client.rest() for client in clients]
            assert all(whole(answer) for answer in answers), answers


async def test_a_gateway_that_stands_still_around_its_signal_and_its_end_answers_in_time(tmp_path: Path) -> None:
    """The signal is seen 0.15 s late, and requests come around the time after which they have to be answered."""
    async with (
        platform("r0", "w0", platform_settings=SETTINGS, w0=fault_always("silent")) as p,
        serving(p, tmp_path) as gateway,
    ):
        clients = [late_client(p, name) for name in CLASSES * 4]
        await trio.sleep(0.1)
        gateway.process.send_signal(signal.SIGSTOP)
        gateway.tell()
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
        assert all(whole(answer) for answer in answers), answers


async def test_a_request_on_a_connection_whose_stream_ends_late_in_a_shutdown_is_answered_or_not_read(
    tmp_path: Path,
) -> None:
    """The answer's head was written before the signal and could not say that the connection ends."""
    async with platform("r0", "w0", platform_settings=SETTINGS) as p, serving(p, tmp_path) as gateway:
        gate = p.servers["w0"].gates["end"] = Gate()
        replies: dict[str, bytes] = {}

        async def ask_again() -> None:
            client = RawClient(p.address)
            client.send(client_request(p))
            assert whole(await client.answer())
            again = client_request(p, Request_Timeout="9")
            ident = f"{p.count:016x}"
            with suppress(OSError):
                client.send(again)
            replies[ident] = await client.rest()

        async with trio.open_nursery() as nursery:
            for nth in range(CROWD):
                nursery.start_soon(ask_again)
                await wait_until(lambda nth=nth: p.fleet.open["w0"] == nth + 1)
            p.servers["w0"].script = fault_always("silent")
            gateway.tell()
            await gateway.wait_until(LATE_S)
            gate.open()  # all streams end at once, and a loop with much to do reads on before it closes
            await gateway.kill()
        assert len(replies) == CROWD
        sent_on = {ident for _, _, ident in p.fleet.seen}
        lost = {ident: reply for ident, reply in replies.items() if not whole(reply) and (reply or ident in sent_on)}
        assert not lost
