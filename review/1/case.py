"""Case 1: bad clients that send 60 MB bodies in small chunks, and the usual clients beside them."""

from __future__ import annotations

import asyncio
import logging
import multiprocessing
import os
import signal
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standin"))

from standins import Discovery, Fleet, GatewayProcess, Record, Request, chunk, send_request, settings  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LIMITS = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
USUAL_S = 20.0  # usual clients send for this long
INTERVAL_S = 0.25  # between two of their requests
TIMEOUT_S = 5.0  # half of the product's time limit
# A final answer later than half a second after the request's time is lost; 0.05 s are the sockets' slack, 0.1 s ours.
LATE_S = 0.65
BAD_CLIENTS = 40
BAD_FROM_S, BAD_UNTIL_S = 3.0, 15.0
PIECE = chunk(b"word")  # one token a chunk
BODY_BYTES = 60_000_000


Event = tuple[float, str]  # when, by the monotonic clock, and what


async def bad_client(port: int, number: int, until: float, events: list[Event]) -> None:
    """Sends a 60 MB body in small chunks, reads what it is sent, and does the same again once it is turned away."""
    data = PIECE * (65536 // len(PIECE))
    tries = 0
    while time.monotonic() < until:
        tries += 1
        ident = f"{0xBAD0000000 + number * 10000 + tries:016x}"
        head = (
            "POST /v1/chat/completions HTTP/1.1\r\nHost: app.svc\r\n"
            f"Request-Id: {ident}\r\nRequest-Class: summary\r\n"
            "Request-Timeout: 5.000\r\nTransfer-Encoding: chunked\r\n\r\n"
        ).encode()
        writer = None
        sender = None
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(head)
            began = time.monotonic()
            events.append((began, f"bad client sends {ident}, 60 MB in chunks of {len(PIECE) - 5} bytes"))
            sender = asyncio.create_task(push(writer, data))
            answer = await reader.read(4096)
            end = answer[9:12].decode() or "closed"
            events.append((time.monotonic(), f"bad client {ident}: {end} after {time.monotonic() - began:.3f} s"))
        except OSError as error:
            events.append((time.monotonic(), f"bad client {ident}: {type(error).__name__}"))
            await asyncio.sleep(0.05)
        finally:
            if sender is not None:
                sender.cancel()
            if writer is not None:
                writer.close()


async def push(writer: asyncio.StreamWriter, data: bytes) -> None:
    """Writes the body as fast as it is taken."""
    try:
        for _ in range(BODY_BYTES // (4 * (len(data) // len(PIECE)))):
            writer.write(data)
            await writer.drain()
    except OSError:
        pass


def bad_clients(port: int, until: float, file: str) -> None:
    """The process of the bad clients. Writes what they sent and were answered into a file."""
    logging.disable(logging.CRITICAL)
    events: list[Event] = []

    async def all_of_them() -> None:
        await asyncio.wait(
            [asyncio.create_task(bad_client(port, nth, until, events)) for nth in range(BAD_CLIENTS)],
            timeout=until - time.monotonic() + 1.0,
        )

    asyncio.run(all_of_them())
    Path(file).write_text("".join(f"{at} {text}\n" for at, text in events))


async def play(folder: Path, record: Record) -> int:
    """Plays the case; returns the exit status."""
    fleet = Fleet(record)
    await fleet.add(readers=6, writers=6)
    discovery = Discovery(fleet)
    await discovery.start()
    gateway = GatewayProcess(folder, discovery, LIMITS, settings())
    gateway.start()
    bad: multiprocessing.Process | None = None
    file = folder / "bad-clients.txt"
    try:
        if not await gateway.wait_until_ready():
            record.line("the gateway was not ready within 30 s")
            return 2
        record.line(f"gateway ready, TROUBLE={int(TROUBLE)}")
        began = time.monotonic()
        tasks: list[asyncio.Task[Request]] = []
        while time.monotonic() - began < USUAL_S:
            if TROUBLE and bad is None and time.monotonic() - began >= BAD_FROM_S:
                record.line(f"{BAD_CLIENTS} bad clients begin")
                bad = multiprocessing.Process(
                    target=bad_clients, args=(gateway.port, began + BAD_UNTIL_S, str(file)), daemon=True
                )
                bad.start()
            request = Request(f"{len(tasks) + 1:016x}", "summary" if len(tasks) % 2 else "case-note", TIMEOUT_S)
            tasks.append(asyncio.create_task(ask(record, fleet, gateway.port, request)))
            await asyncio.sleep(INTERVAL_S)
        requests = await asyncio.gather(*tasks)
        if bad is not None:
            await asyncio.to_thread(bad.join, 10)
            for line in file.read_text().splitlines() if file.exists() else ():
                at, _, text = line.partition(" ")
                record.line(f"at {float(at) - record.began:.3f} {text}")
        return judge(record, gateway, requests)
    finally:
        if bad is not None and bad.is_alive():
            bad.kill()
        gateway.stop()
        record.line("the gateway's log:")
        for line in (folder / "gateway.log").read_text(errors="replace").splitlines():
            record.line("  " + line[:600])


async def ask(record: Record, fleet: Fleet, port: int, request: Request) -> Request:
    """Sends a request. A client that has had no byte of an answer goes once its time and the slack are over."""
    task = asyncio.create_task(send_request(record, fleet, port, request, TIMEOUT_S + 30))
    await asyncio.wait([task], timeout=TIMEOUT_S + LATE_S)
    if not task.done() and request.first_at is None:
        request.why = "lost: no answer until its time and the slack were over"
        record.line(f"client {request}")
        task.cancel()
        await asyncio.wait([task])
        return request
    return await task


def judge(record: Record, gateway: GatewayProcess, requests: list[Request]) -> int:
    """The rule: each request that the gateway has taken gets its final answer in time."""
    assert gateway.process is not None
    lost = [request for request in requests if request.why.startswith("lost")]
    answers = Counter(request.status for request in requests if request not in lost)
    record.line(f"usual requests: {len(requests)}, lost: {len(lost)}, statuses of the others: {dict(answers)}")
    record.line(f"the gateway's process: {gateway.process.poll()}, resident {gateway.memory_mb():.0f} MB")
    if not requests:
        return 2
    return 1 if lost or gateway.process.poll() is not None else 0


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
