"""Case 2: bad clients that stop in the middle of their bodies and stay, and the gateway's memory limit."""

from __future__ import annotations

import asyncio
import logging
import os
import signal
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standin"))

from standins import Discovery, Fleet, GatewayProcess, Record, Request, send_request, settings  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LIMITS = {"cores": 1.0, "memory_mb": 112, "sockets": 960}
USUAL_S = 16.0  # usual clients send for this long
INTERVAL_S = 0.25  # between two of their requests
TIMEOUT_S = 8.0
BAD_CLIENTS = LIMITS["sockets"] // 3
BAD_FROM_S, BAD_UNTIL_S = 3.0, 13.0
BODY_BYTES = 256 * 1024  # the most that a body may hold
SENT_BYTES = BODY_BYTES - 1024  # the client stops before the end and stays
SAMPLE_S = 0.02


class Platform:
    """Watches the gateway's memory, and kills it over the limit, as the deployment page says."""

    def __init__(self, record: Record, gateway: GatewayProcess) -> None:
        self.record = record
        self.gateway = gateway
        self.peak_mb = 0.0
        self.killed = False

    async def watch(self) -> None:
        """Looks until it is cancelled."""
        while not self.killed:
            now_mb = self.gateway.memory_mb()
            self.peak_mb = max(self.peak_mb, now_mb)
            if now_mb > LIMITS["memory_mb"]:
                self.killed = True
                self.record.line(f"gateway holds {now_mb:.1f} MB of {LIMITS['memory_mb']}: the platform kills it")
                self.gateway.stop()
            await asyncio.sleep(SAMPLE_S)


async def bad_client(record: Record, port: int, number: int, until: float, ends: Counter[str]) -> None:
    """Sends most of a request, stops and stays; does the same again once it is turned away."""
    tries = 0
    while time.monotonic() < until:
        tries += 1
        writer = None
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            head = (
                "POST /v1/chat/completions HTTP/1.1\r\nHost: app.svc\r\n"
                f"Request-Id: {0xBAD0000000 + number * 10000 + tries:016x}\r\nRequest-Class: summary\r\n"
                f"Request-Timeout: 8.000\r\nContent-Length: {BODY_BYTES}\r\n\r\n"
            )
            writer.write(head.encode() + b" " * SENT_BYTES)
            record.line(f"bad client {number} sends {SENT_BYTES} of {BODY_BYTES} bytes and stays")
            answer = await reader.read(4096)
            record.line(f"bad client {number}: {answer[9:12].decode() or 'closed'}")
            ends[answer[9:12].decode() or "closed"] += 1
        except OSError as error:
            ends[type(error).__name__] += 1
            await asyncio.sleep(0.2)
        finally:
            if writer is not None:
                writer.close()


async def play(folder: Path, record: Record) -> int:
    """Plays the case; returns the exit status."""
    fleet = Fleet(record)
    await fleet.add(readers=6, writers=6)
    discovery = Discovery(fleet)
    await discovery.start()
    gateway = GatewayProcess(folder, discovery, LIMITS, settings())
    gateway.start()
    platform = Platform(record, gateway)
    others: list[asyncio.Task[None]] = []
    ends: Counter[str] = Counter()
    try:
        if not await gateway.wait_until_ready() or gateway.memory_mb() <= 0:
            record.line("the gateway was not ready within 30 s, or its memory can't be read")
            return 2
        record.line(f"gateway ready, {gateway.memory_mb():.1f} MB, TROUBLE={int(TROUBLE)}")
        others.append(asyncio.create_task(platform.watch()))
        began = time.monotonic()
        tasks: list[asyncio.Task[Request]] = []
        while time.monotonic() - began < USUAL_S and not platform.killed:
            if TROUBLE and len(others) == 1 and time.monotonic() - began >= BAD_FROM_S:
                record.line(f"{BAD_CLIENTS} bad clients begin, {gateway.memory_mb():.1f} MB")
                until = began + BAD_UNTIL_S
                others += [
                    asyncio.create_task(bad_client(record, gateway.port, nth, until, ends))
                    for nth in range(BAD_CLIENTS)
                ]
            request = Request(f"{len(tasks) + 1:016x}", "summary" if len(tasks) % 2 else "case-note", TIMEOUT_S)
            tasks.append(asyncio.create_task(send_request(record, fleet, gateway.port, request, TIMEOUT_S + 10)))
            await asyncio.sleep(INTERVAL_S)
        requests = await asyncio.gather(*tasks)
        record.line(f"bad clients' connections ended with: {dict(ends)}")
        return judge(record, gateway, platform, requests)
    finally:
        for task in others:
            task.cancel()
        gateway.stop()
        record.line("the gateway's log:")
        for line in (folder / "gateway.log").read_text(errors="replace").splitlines():
            record.line("  " + line[:600])


def judge(record: Record, gateway: GatewayProcess, platform: Platform, requests: list[Request]) -> int:
    """The rule: the gateway stays under its memory limit, and runs."""
    assert gateway.process is not None
    cut = sum(not request.done for request in requests)
    record.line(f"usual requests: {len(requests)}, without a whole answer: {cut}")
    record.line(f"peak {platform.peak_mb:.1f} MB of {LIMITS['memory_mb']}, killed: {platform.killed}")
    if platform.killed or gateway.process.poll() is not None:
        return 1
    return 0


def main() -> int:
    """Runs the case."""
    logging.disable(logging.CRITICAL)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))  # what was started is ended on the way out
    record = Record(HERE / "record.txt")
    try:
        with tempfile.TemporaryDirectory() as folder:
            status = asyncio.run(play(Path(folder), record))
    except Exception as error:
        record.line(f"the case couldn't run: {error!r}")
        return 2
    record.line(f"exit {status}")
    return status


if __name__ == "__main__":
    sys.exit(main())
