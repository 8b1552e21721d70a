"""Stand-ins of the platform for the review: discovery, model servers, and a gateway process.

Written from the users' protocol and deployment pages. Model servers and discovery run in the event loop of the case;
the gateway is a process of its own, started with the `run` command of the deploy file. Loopback addresses only.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import subprocess
import time
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
HEARTBEAT_S = 2.0  # discovery sends an empty line this often while nothing changes
EVENT = b'data: {"choices":[{"index":0,"delta":{"content":"abcd"},"finish_reason":null}]}\n\n'
LAST = b'data: {"choices":[{"index":0,"delta":{"content":"abcd"},"finish_reason":"stop"}]}\n\n'
USAGE = (
    b'data: {"choices":[],"usage":{"prompt_tokens":600,"completion_tokens":8,'
    b'"prompt_tokens_details":{"cached_tokens":0}}}\n\n'
)
DONE = b"data: [DONE]\n\n"


def settings(**more: Any) -> dict[str, Any]:
    """The settings of a small deployment, with the figures of the wire page's example."""
    base: dict[str, Any] = {
        "client_habits": {"marks_retry": False},
        "discovery": "push",
        "family": "twostage",
        "invariants": {
            "answer_slack": 16.0,
            "ask_within": 10000.0,
            "cold": 13000.0,
            "cold_from": 0.31,
            "drain_grace": 2000.0,
            "overload_factor": 4.0,
            "overload_for": 3000.0,
        },
        "kinds": ["reader", "writer"],
        "limits": {
            "cancel": True,
            "conn_idle": 30000.0,
            "connect_timeout": 250.0,
            "max_open": 20000,
            "max_retry_after": 500.0,
            "most_tries": 5,
            "parallel_tries": False,
            "peers": False,
            "probes": True,
            "retry_after": True,
            "streams_per_conn": 100,
        },
        "locality": "hall-one",
        "me": 0,
        "n_instances": 1,
        "profiles": [
            {
                "aim": 2000.0,
                "deadline": 10000.0,
                "group": "all",
                "key_ttl": 5000.0,
                "late_worth": 0.1,
                "name": "summary",
                "semantics": "idempotent",
                "streamed": True,
                "worth": 3.0,
            },
            {
                "aim": 2500.0,
                "deadline": 12000.0,
                "group": "all",
                "key_ttl": 5000.0,
                "late_worth": 0.1,
                "name": "case-note",
                "semantics": "at_most_once",
                "streamed": True,
                "worth": 2.0,
            },
        ],
        "report": {"columns": ["outstanding", "x0"], "how": "inline"},
        "specifics": {
            "aim_us_per_1000_prompt_tokens": [40000.0, 40000.0],
            "duty_by_kind": ["read", "write"],
            "far_price": 0.03,
            "holds_allowed": True,
            "read_in_place": False,
            "release": 500.0,
            "resume": False,
            "token_aim": [70.0, 80.0],
            "tokens_by_kind": [212411, 192711],
        },
        "stages": ["model-fleet"],
        "step": 4.0,
        "tenants": [],
        "tier": 0,
        "weight_kind": "nominal",
        "worth_by": "work",
        "zones": ["hall-one"],
    }
    return base | more


class Record:
    """The lines of record.txt, with times since the start of the case."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w", encoding="utf-8")
        self.began = time.monotonic()

    def now(self) -> float:
        """Seconds since the start."""
        return time.monotonic() - self.began

    def line(self, text: str) -> None:
        """Writes one line."""
        self.file.write(f"{self.now():9.3f} {text}\n")
        self.file.flush()


class Head:
    """The head of a request or an answer."""

    def __init__(self, raw: bytes) -> None:
        first, *rest = raw.decode("latin-1").split("\r\n")
        self.first = first
        self.headers: dict[str, str] = {}
        for line in rest:
            name, colon, value = line.partition(":")
            if colon:
                self.headers[name.strip().lower()] = value.strip()

    def get(self, name: str, default: str = "") -> str:
        """The value of a header, by its name in lower case."""
        return self.headers.get(name, default)


async def read_head(reader: asyncio.StreamReader) -> Head | None:
    """The next head, or None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Head(raw[:-4])


async def read_body(reader: asyncio.StreamReader, head: Head) -> bytes:
    """The body that belongs to a head."""
    if "chunked" in head.get("transfer-encoding").lower():
        parts = []
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            data = await reader.readexactly(size + 2)
            if size == 0:
                return b"".join(parts)
            parts.append(data[:-2])
    return await reader.readexactly(int(head.get("content-length", "0") or 0))


def chunk(data: bytes) -> bytes:
    """One chunk of a chunked body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


class ModelServer:
    """A reader or a writer. A read whose connection ends is stopped; a written answer goes on to its end."""

    def __init__(self, fleet: Fleet, name: str, kind: str) -> None:
        self.fleet = fleet
        self.name = name
        self.kind = kind
        self.port = 0
        self.group = 0
        self.status = "SERVING"
        self.read_s = 0.06
        self.event_s = 0.04
        self.events = 8
        self.hangs = False  # takes work and answers nothing
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listens on a free port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port, limit=2**20, backlog=512)
        self.port = self.server.sockets[0].getsockname()[1]

    def entry(self) -> dict[str, Any]:
        """The entry in discovery's list."""
        return {
            "name": self.name,
            "address": f"127.0.0.1:{self.port}",
            "zone": "hall-one",
            "type": self.kind,
            "group": self.group,
            "status": self.status,
            "weight": 1.0,
            "since_ms": 0,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                body = await read_body(reader, head)
                if not await self._handle(head, body, reader, writer):
                    return
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            with contextlib.suppress(Exception):
                writer.close()

    async def _handle(
        self, head: Head, body: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        method, target, _ = head.first.split(" ", 2)
        if target.startswith("/kv/leases/"):
            ident = target.rpartition("/")[2]
            self.fleet.log(f"{self.name} {method} lease {ident}")
            if self.hangs:
                await asyncio.sleep(3600)
            if method == "DELETE":
                self.fleet.release(ident)
            writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")
            return True
        if method == "GET":
            writer.write(b"HTTP/1.1 200 OK\r\nServer-Load: inflight=1,x0=0.1\r\nContent-Length: 0\r\n\r\n")
            return True
        ident = head.get("request-id")
        if ident not in self.fleet.known_ids:
            self.fleet.unknown.append(ident)
            self.fleet.log(f"{self.name} got a request that no client sent: {ident!r}")
            writer.write(b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n")
            return True
        self.fleet.log(f"{self.name} attempt {ident} timeout={head.get('request-timeout')} body={len(body)}")
        self.fleet.attempts.append((self.fleet.record.now(), self.name, ident))
        if self.hangs:
            await asyncio.sleep(3600)
        if self.kind == "reader":
            return await self._read(ident, reader, writer)
        return await self._write(ident, writer)

    async def _read(self, ident: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        await asyncio.sleep(self.read_s)
        if reader.at_eof():
            return False
        self.fleet.hold(ident, self.name)
        body = b'{"cached_tokens":0}'
        writer.write(
            b"HTTP/1.1 202 Accepted\r\nServer-Load: inflight=1,x0=0.1\r\nContent-Type: application/json\r\n"
            b"Content-Length: %d\r\n\r\n%b" % (len(body), body)
        )
        await writer.drain()
        return True

    async def _write(self, ident: str, writer: asyncio.StreamWriter) -> bool:
        if not self.fleet.take(ident):
            self.fleet.log(f"{self.name} 410 {ident}")
            writer.write(b"HTTP/1.1 410 Gone\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n")
            return True
        self.fleet.runs[ident] = self.fleet.runs.get(ident, 0) + 1
        self.fleet.log(f"{self.name} runs {ident}")
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(EVENT)
        )
        for _ in range(self.events - 2):
            await asyncio.sleep(self.event_s)
            writer.write(chunk(EVENT))
            await writer.drain()
        writer.write(chunk(LAST) + chunk(USAGE) + chunk(DONE + b": Server-Load: inflight=1,x0=0.1\n\n") + b"0\r\n\r\n")
        await writer.drain()
        self.fleet.log(f"{self.name} finished {ident}")
        return True


class Fleet:
    """What the model servers hold and have run."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.known_ids: set[str] = set()  # ids that clients have sent
        self.unknown: list[str] = []  # ids that no client sent
        self.held: dict[str, tuple[str, float]] = {}  # by request: reader, since
        self.runs: dict[str, int] = {}  # answers begun, by request
        self.attempts: list[tuple[float, str, str]] = []  # time, server, request
        self.servers: list[ModelServer] = []

    def log(self, text: str) -> None:
        """Writes a line to the record."""
        self.record.line(text)

    def hold(self, ident: str, name: str) -> None:
        """A read has ended: its state waits."""
        self.held[ident] = (name, self.record.now())
        self.log(f"{name} read {ident}: its state is held")

    def take(self, ident: str) -> bool:
        """A writer fetches the state. False if there is none."""
        return self.held.pop(ident, None) is not None

    def release(self, ident: str) -> None:
        """Lets go of what is held."""
        if self.held.pop(ident, None) is not None:
            self.log(f"state of {ident} let go")

    async def add(self, readers: int, writers: int) -> None:
        """Starts model servers."""
        for nth in range(readers + writers):
            kind = "reader" if nth < readers else "writer"
            server = ModelServer(self, f"s-{kind[0]}{nth:02d}", kind)
            await server.start()
            self.servers.append(server)


class Discovery:
    """Discovery's agent: the whole list, and watches that get changes and heartbeats."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.index = 41
        self.changes: list[tuple[int, dict[str, Any]]] = []
        self.changed = asyncio.Event()
        self.port = 0
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listens on a free port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def listing(self) -> dict[str, Any]:
        """The whole list."""
        entries = [server.entry() for server in self.fleet.servers if server.status != "DELETED"]
        return {"index": self.index, "snapshot": True, "endpoints": entries}

    def change(self, server: ModelServer) -> None:
        """Tells a change of this server."""
        self.index += 1
        self.changes.append((self.index, server.entry()))
        self.changed.set()
        self.changed = asyncio.Event()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (head := await read_head(reader)) is not None:
                target = head.first.split(" ")[1]
                if "stream=1" in target:
                    await self._watch(int(target.rpartition("index=")[2] or 0), writer)
                    return
                body = json.dumps(self.listing()).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
        except (ConnectionError, ValueError):
            pass
        finally:
            with contextlib.suppress(Exception):
                writer.close()

    async def _watch(self, index: int, writer: asyncio.StreamWriter) -> None:
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
            + chunk(json.dumps(self.listing()).encode() + b"\n")
        )
        index = self.index
        while True:
            await writer.drain()
            changed = self.changed
            new = [entry for number, entry in self.changes if number > index]
            if new:
                index = self.index
                line = json.dumps({"index": index, "snapshot": False, "endpoints": new}).encode()
                self.fleet.log(f"discovery tells {[(e['name'], e['status']) for e in new]}")
                writer.write(chunk(line + b"\n"))
                continue
            try:
                await asyncio.wait_for(changed.wait(), HEARTBEAT_S)
            except TimeoutError:
                writer.write(chunk(b"\n"))


def free_port() -> int:
    """A loopback port that is free now."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


class GatewayProcess:
    """One gateway, started with the `run` command of the deploy file."""

    def __init__(self, folder: Path, discovery: Discovery, limits: dict[str, Any], of: dict[str, Any]) -> None:
        self.folder = folder
        self.discovery = discovery
        self.limits = limits
        self.settings = of
        self.port = free_port()
        self.process: subprocess.Popen[bytes] | None = None

    def write_configuration(self) -> Path:
        """Writes the configuration file."""
        document = {
            "name": "n0",
            "listen": f"127.0.0.1:{self.port}",
            "discovery": f"127.0.0.1:{self.discovery.port}",
            "seed": "8c1f30d27a5be964",
            "limits": self.limits,
            "known": self.discovery.listing(),
            "settings": self.settings,
        }
        path = self.folder / "config.json"
        path.write_text(json.dumps(document))
        return path

    def start(self) -> None:
        """Starts the process."""
        path = self.write_configuration()
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        env = dict(os.environ) | {
            "NODE_NAME": "n0",
            "NODE_LISTEN": f"127.0.0.1:{self.port}",
            "NODE_DISCOVERY": f"127.0.0.1:{self.discovery.port}",
            "NODE_CONFIG": str(path),
            "TMPDIR": str(self.folder),
        }
        with (self.folder / "gateway.log").open("ab") as log:
            self.process = subprocess.Popen(["/bin/sh", "-c", run], cwd=ROOT, env=env, stdout=log, stderr=log)

    @property
    def pid(self) -> int:
        """Its process id."""
        assert self.process is not None
        return self.process.pid

    def memory_mb(self) -> float:
        """Its own (anonymous) resident memory; 0 once it is gone."""
        with contextlib.suppress(OSError):
            for line in Path(f"/proc/{self.pid}/status").read_text().splitlines():
                if line.startswith("RssAnon:"):
                    return int(line.split()[1]) / 1024
        return 0.0

    def cpu_s(self) -> float:
        """The processor time that it has used."""
        fields = Path(f"/proc/{self.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    async def wait_until_ready(self, within_s: float = 30.0) -> bool:
        """Asks for /health/ready until it answers 200."""
        by = time.monotonic() + within_s
        while time.monotonic() < by:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(b"GET /health/ready HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n")
                head = await read_head(reader)
                writer.close()
                if head is not None and " 200 " in head.first + " ":
                    return True
            await asyncio.sleep(0.05)
        return False

    def stop(self) -> None:
        """Kills the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()


class Request:
    """One request of a usual client."""

    def __init__(self, ident: str, name: str, timeout_s: float) -> None:
        self.ident = ident
        self.name = name
        self.timeout_s = timeout_s
        self.sent_at = 0.0
        self.first_at: float | None = None
        self.ended_at: float | None = None
        self.status = 0
        self.done = False
        self.why = ""

    def __str__(self) -> str:
        took = "-" if self.ended_at is None else f"{self.ended_at - self.sent_at:.3f}"
        return f"{self.ident} {self.name} status={self.status} done={self.done} took={took} {self.why}"


async def send_request(
    record: Record, fleet: Fleet, port: int, request: Request, wait_s: float, prompt_tokens: int = 600
) -> Request:
    """Sends a request on a new connection and reads its answer, for `wait_s` at most."""
    body = json.dumps(
        {
            "model": request.name,
            "stream": True,
            "max_tokens": 200,
            "messages": [{"role": "user", "content": "word" * prompt_tokens}],
        }
    ).encode()
    fleet.known_ids.add(request.ident)
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(wait_s):
            reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=2**20)
            writer.write(
                (
                    "POST /v1/chat/completions HTTP/1.1\r\nHost: app.svc\r\n"
                    f"Request-Id: {request.ident}\r\nRequest-Class: {request.name}\r\n"
                    f"Affinity-Key: k{request.ident}\r\nRequest-Timeout: {request.timeout_s:.3f}\r\n"
                    f"Request-Info: prompt_len={prompt_tokens},max_out=200\r\n"
                    f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
                ).encode()
                + body
            )
            request.sent_at = record.now()
            record.line(f"client sends {request.ident} {request.name}")
            await _read_answer(record, reader, request)
    except TimeoutError:
        request.why = "no final answer"
    except (OSError, asyncio.IncompleteReadError, ValueError) as error:
        request.ended_at = record.now()
        request.why = f"connection ended: {type(error).__name__}"
    finally:
        if writer is not None:
            writer.close()
    record.line(f"client {request}")
    return request


async def _read_answer(record: Record, reader: asyncio.StreamReader, request: Request) -> None:
    head = await read_head(reader)
    if head is None:
        raise ConnectionError
    request.status = int(head.first.split(" ")[1])
    request.first_at = record.now()
    body = await read_body(reader, head)
    request.ended_at = record.now()
    request.done = request.status != 200 or DONE in body


Check = Callable[[], bool]
