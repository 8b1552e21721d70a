"""Peers that send bytes at full speed, each kind in a process of its own: clients, model servers and discovery.

python -m tests.hostile_peers clients KIND PORT COUNT SECONDS
python -m tests.hostile_peers server KIND               # prints its port
python -m tests.hostile_peers readers KIND PORT COUNT SECONDS    # prints a list of StreamEnd as JSON
python -m tests.hostile_peers judge PORT PATH PID SECONDS    # prints a Verdict as JSON
"""

from __future__ import annotations

import asyncio
import json
import sys
import time
from contextlib import suppress
from dataclasses import asdict, dataclass
from pathlib import Path
from secrets import randbits

READ_BYTES = 65536
BLOCK_BYTES = 65536
PROBE_PAUSE_S = 0.01
PROBE_TIMEOUT_S = 10.0
CLIENT_PAUSE_S = 0.02
USUAL_BODY_BYTES = 2000

POST = b"POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\n"
CHAT_HEADERS = b"Request-Id: 0bad0bad0bad0bad\r\nRequest-Class: summary\r\nRequest-Timeout: 5.000\r\n"
CHAT_BODY = b'{"model":"summary","stream":true,"messages":[{"role":"user","content":"hello"}]}'
SHORT_CHAT_BODY = CHAT_BODY[:-1] + b',"max_tokens":40}'
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
STREAM_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + CHUNKED
PREFILL_HEAD = b"HTTP/1.1 202 Accepted\r\n" + CHUNKED


def chunks_of(data: bytes, size: int) -> bytes:
    """The data in chunks of `size` bytes."""
    pieces = (data[at : at + size] for at in range(0, len(data), size))
    return b"".join(b"%x\r\n%b\r\n" % (len(piece), piece) for piece in pieces)


# What a client sends: once, and then for as long as it is read.
CLIENT_BYTES: dict[str, tuple[bytes, bytes]] = {
    "small chunks": (POST + CHAT_HEADERS + CHUNKED, chunks_of(b"word" * 8192, 4)),
    "header lines": (POST + b"a:\r\n" * 3900 + b"Content-Length: 70000000\r\n\r\n", b""),
    "trailer lines": (POST + CHAT_HEADERS + CHUNKED + b"1\r\nx\r\n0\r\n" + b"a:\r\n" * 3900 + b"\r\n", b""),
    "stalled bodies": (POST + CHAT_HEADERS + b"Content-Length: 262144\r\n\r\n" + b" " * 261120, b""),
    "stalled chunked bodies": (POST + CHAT_HEADERS + CHUNKED + chunks_of(b" " * 261120, 60), b""),
    "stalled heads": (POST + b"X: " + b" " * 16000, b""),
    "stalled large bodies": (POST + b"Content-Length: 4194304\r\n\r\n" + b" " * 4_193_000, b""),
    "short chat requests": (POST + b"Content-Length: %d\r\n\r\n" % len(SHORT_CHAT_BODY) + SHORT_CHAT_BODY, b""),
    "chat requests": (POST + b"Content-Length: %d\r\n\r\n" % len(CHAT_BODY) + CHAT_BODY, b""),
}
# What a server answers: once, and then for as long as it is read.
SERVER_BYTES: dict[str, tuple[bytes, bytes]] = {
    "prefill in small chunks": (PREFILL_HEAD, chunks_of(b" " * BLOCK_BYTES, 1)),
    "comments in small chunks": (STREAM_HEAD, chunks_of(b":\n\n" * 5000, 3)),
    "data lines in small chunks": (STREAM_HEAD, chunks_of(b"data: x\n" * 5000, 8)),
    "events in large chunks": (STREAM_HEAD, chunks_of(b"data: {}\n\n" * 60000, 600_000)),
    "events in small chunks": (STREAM_HEAD, chunks_of(b"data: {}\n\n" * 5000, 10)),
    "stalled events": (STREAM_HEAD + b"ffff0\r\ndata: {" + b" " * 60_000, b""),
    "stalled prefills": (PREFILL_HEAD + b"ffff0\r\n" + b" " * 60_000, b""),
    "list in small chunks": (
        STREAM_HEAD + chunks_of(b'{"index": 1, "endpoints": [\n', 30),
        chunks_of(b"1,\n" * 5000, 3),
    ),
}
# What a server streams: once, and then again after each pause for as long as it is read.
EVENT = b'data: {"choices":[{"index":0,"delta":{"content":"abcd"},"finish_reason":null}]}\n\n'
EMPTY_EVENT = b'data: {"choices":[]}\n\n'
DONE_EVENT = b"data: [DONE]\n\n"
STREAM_BEGIN = STREAM_HEAD + chunks_of(EVENT + EVENT, len(EVENT))
LENGTH_HEAD = STREAM_HEAD.replace(CHUNKED, b"Content-Length: 3000000000\r\n\r\n")
BLOCK_PAUSE_S = 0.02
PACED_BYTES: dict[str, tuple[bytes, bytes]] = {
    "a chunk of 3 GB": (STREAM_BEGIN + b"c0000000\r\n", EVENT),
    "a length of 3 GB": (LENGTH_HEAD, EVENT),
    "events": (STREAM_BEGIN, chunks_of(EVENT, len(EVENT))),
    "events without text": (STREAM_BEGIN, chunks_of(EMPTY_EVENT, len(EMPTY_EVENT))),
    "comments": (STREAM_BEGIN, chunks_of(b": working\n\n", 11)),
    "comments after the last event": (STREAM_BEGIN + chunks_of(DONE_EVENT, 14), chunks_of(b": working\n\n", 11)),
    "blank lines": (STREAM_BEGIN, chunks_of(b"\n\n", 2)),
    "an event": (STREAM_BEGIN + chunks_of(b"data: {", 7), chunks_of(b" ", 1)),
    "comments ahead of the first event": (STREAM_HEAD, chunks_of(b": working\n\n", 11)),
}


def usual_request() -> tuple[bytes, bytes]:
    """A request to the platform gateway with an id of its own."""
    headers = f"Request-Id: {randbits(64):016x}\r\nRequest-Class: summary\r\nRequest-Timeout: 1.500\r\n"
    info = "Request-Info: prefix=ab,prompt_len=20,prefix_len=8,max_out=40\r\n"
    body = CHAT_BODY[:-1] + b" " * USUAL_BODY_BYTES + b"}"
    return POST + (headers + info).encode() + b"Content-Length: %d\r\n\r\n" % len(body) + body, b""


async def send_endlessly(writer: asyncio.StreamWriter, block: bytes) -> None:
    with suppress(OSError):
        while block:
            writer.write(block)
            await writer.drain()


async def run_client(kind: str, port: int, until: float) -> None:
    """Sends, reads what it is sent, and does the same again once it is turned away."""
    while time.monotonic() < until:
        first, block = usual_request() if kind == "usual requests" else CLIENT_BYTES[kind]
        with suppress(OSError):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(first)
            sender = asyncio.create_task(send_endlessly(writer, block))
            with suppress(TimeoutError):
                async with asyncio.timeout_at(asyncio.get_running_loop().time() + until - time.monotonic()):
                    while await reader.read(READ_BYTES):
                        pass
            sender.cancel()
            writer.close()
        await asyncio.sleep(CLIENT_PAUSE_S)


async def run_clients(kind: str, port: int, count: int, seconds: float) -> None:
    until = time.monotonic() + seconds
    await asyncio.gather(*(run_client(kind, port, until) for _ in range(count)))


async def send_paced(writer: asyncio.StreamWriter, block: bytes) -> None:
    with suppress(OSError):
        while True:
            writer.write(block)
            await writer.drain()
            await asyncio.sleep(BLOCK_PAUSE_S)


async def run_server(kind: str) -> None:
    first, block = PACED_BYTES[kind] if kind in PACED_BYTES else SERVER_BYTES[kind]
    send = send_paced if kind in PACED_BYTES else send_endlessly

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(OSError):
            await reader.read(READ_BYTES)
            writer.write(first)
            await send(writer, block)
            await reader.read()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    print(server.sockets[0].getsockname()[1], flush=True)
    await server.serve_forever()


@dataclass
class StreamEnd:
    """How an answer ended, as its client saw it: after how long (None: not at all), and what it had received."""

    after_s: float | None
    status: str
    size_bytes: int
    last_bytes: str


async def run_reader(kind: str, port: int, seconds: float) -> StreamEnd:
    """Sends one request, and reads its answer to the end of the connection."""
    request, _ = usual_request() if kind == "usual requests" else CLIENT_BYTES[kind]
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    began = time.monotonic()
    writer.write(request.replace(b"Host: a", b"Host: a\r\nConnection: close", 1))
    received = b""
    ended_s: float | None = None
    with suppress(TimeoutError):
        async with asyncio.timeout(seconds):
            with suppress(ConnectionResetError):
                while data := await reader.read(READ_BYTES):
                    received += data
            ended_s = time.monotonic() - began
    writer.close()
    return StreamEnd(ended_s, received[9:12].decode(), len(received), received[-40:].decode("latin-1"))


async def run_readers(kind: str, port: int, count: int, seconds: float) -> None:
    ends = await asyncio.gather(*(run_reader(kind, port, seconds) for _ in range(count)))
    print(json.dumps([asdict(end) for end in ends]), flush=True)


@dataclass
class Verdict:
    """What a process saw of the gateway from outside: how long small requests waited, and its memory."""

    waits_s: list[float]
    peak_mb: float

    def late_share(self, limit_s: float) -> float:
        return sum(wait_s > limit_s for wait_s in self.waits_s) / len(self.waits_s)


def anonymous_mb(pid: int) -> float:
    """The process's own memory, without shared libraries and files; 0 if it has ended."""
    with suppress(OSError):
        for line in Path(f"/proc/{pid}/status").read_text().splitlines():
            if line.startswith("RssAnon:"):
                return int(line.split()[1]) / 1024
    return 0.0


async def probe(port: int, path: str) -> float:
    """How long a small request takes, on a connection of its own."""
    began = time.monotonic()
    with suppress(OSError, TimeoutError):
        async with asyncio.timeout(PROBE_TIMEOUT_S):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(f"GET {path} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n".encode())
            answered = (await reader.read(READ_BYTES)).startswith(b"HTTP/1.1 200 ")
            writer.close()
            if answered:
                return time.monotonic() - began
    return PROBE_TIMEOUT_S


async def run_judge(port: int, path: str, pid: int, seconds: float) -> Verdict:
    verdict = Verdict([], 0.0)
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        verdict.waits_s.append(await probe(port, path))
        verdict.peak_mb = max(verdict.peak_mb, anonymous_mb(pid))
        await asyncio.sleep(PROBE_PAUSE_S)
    return verdict


def main(role: str, *arguments: str) -> None:
    if role == "clients":
        kind, port, count, seconds = arguments
        asyncio.run(run_clients(kind, int(port), int(count), float(seconds)))
    elif role == "readers":
        kind, port, count, seconds = arguments
        asyncio.run(run_readers(kind, int(port), int(count), float(seconds)))
    elif role == "server":
        asyncio.run(run_server(*arguments))
    else:
        port, path, pid, seconds = arguments
        print(json.dumps(asdict(asyncio.run(run_judge(int(port), path, int(pid), float(seconds))))))


if __name__ == "__main__":
    with suppress(KeyboardInterrupt):
        main(*sys.argv[1:])
