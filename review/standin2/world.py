"""Stand-ins for one small deployment: model servers, discovery's agents, clients, and the gateways as processes.

Everything listens on loopback addresses and free ports. Model servers, agents and clients live in this process; each
gateway is a process of its own, started with the `run` command of deploy/balancer.toml.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import tempfile
import time
import tomllib
from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent.parent
HOST = "127.0.0.1"
HEARTBEAT_S = 2.0
EVENT_TOKENS = 4
LOG_LINES = 25
BROKEN_STATUS = 3  # run.sh makes 1 of it: an accident of Python ends with 1 as well
CHUNK_END = b"0\r\n\r\n"
STREAM_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"


def settings_of(
    classes: list[dict[str, Any]],
    *,
    drain_grace_ms: float,
    release_ms: float = 500.0,
    gateways: int = 2,
    tries: int = 5,
) -> dict[str, Any]:
    """The settings object of a small two-stage deployment with one hall."""
    keys = ("name", "semantics", "aim", "deadline", "group", "key_ttl", "worth")
    return {
        "discovery": "push",
        "family": "twostage",
        "invariants": {
            "answer_slack": 16.0,
            "ask_within": 10000.0,
            "cold": 13000.0,
            "cold_from": 0.3,
            "drain_grace": drain_grace_ms,
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
            "most_tries": tries,
            "parallel_tries": False,
            "probes": False,
            "retry_after": True,
        },
        "locality": "hall",
        "me": 0,
        "n_instances": gateways,
        "profiles": [
            {key: each[key] for key in keys if key in each} | {"streamed": True, "late_worth": 0.1} for each in classes
        ],
        "report": {"columns": ["outstanding", "x0"], "how": "inline"},
        "specifics": {
            "aim_us_per_1000_prompt_tokens": [each.get("aim_us", 40000.0) for each in classes],
            "duty_by_kind": ["read", "write"],
            "holds_allowed": False,
            "read_in_place": False,
            "release": release_ms,
            "resume": False,
            "token_aim": [each.get("token_aim", 70.0) for each in classes],
            "tokens_by_kind": [200000, 150000],
        },
        "step": 4.0,
        "tenants": [],
        "weight_kind": "off",
        "zones": ["hall"],
    }


class Record:
    """What was sent, answered and run, with seconds since the start; written to record.txt at the end."""

    def __init__(self) -> None:
        self.began = time.monotonic()
        self.lines: list[str] = []

    def now(self) -> float:
        """Seconds since the start."""
        return time.monotonic() - self.began

    def say(self, text: str) -> None:
        """Adds a line."""
        self.lines.append(f"{self.now():9.3f} {text}")

    def write(self, path: Path) -> None:
        """Writes all lines."""
        path.write_text("\n".join(self.lines) + "\n")


# -- HTTP, as far as the stand-ins need it


class Peer:
    """One connection as its server sees it. It is read all the time, so that its end is seen while a request is served;
    what comes meanwhile waits for its turn."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writer = writer
        self.gone: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._buffer = bytearray()
        self._more = asyncio.Event()
        self._pump = asyncio.ensure_future(self._read(reader))

    async def _read(self, reader: asyncio.StreamReader) -> None:
        try:
            while data := await reader.read(65536):
                self._buffer += data
                self._more.set()
        except ConnectionError:
            pass
        finally:
            if not self.gone.done():
                self.gone.set_result(None)
            self._more.set()

    async def _until(self, complete: Callable[[], bool]) -> bool:
        while not complete():
            if self.gone.done():
                return False
            self._more.clear()
            await self._more.wait()
        return True

    async def message(self) -> tuple[str, dict[str, str]] | None:
        """Reads one request: its first line and its headers; None once the peer has closed. The body is dropped."""
        if not await self._until(lambda: b"\r\n\r\n" in self._buffer):
            return None
        size = self._buffer.index(b"\r\n\r\n") + 4
        first, *lines = self._buffer[:size].decode("latin-1").rstrip("\r\n").split("\r\n")
        headers = {}
        for line in lines:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        size += int(headers.get("content-length", "0"))
        if not await self._until(lambda: len(self._buffer) >= size):
            return None
        del self._buffer[:size]
        return first, headers

    async def pause(self, seconds: float) -> bool:
        """Waits; returns whether the peer has closed meanwhile."""
        done, _ = await asyncio.wait([self.gone], timeout=seconds)
        return bool(done)

    async def send(self, data: bytes) -> None:
        """Writes bytes."""
        self.writer.write(data)
        await self.writer.drain()

    def close(self) -> None:
        """Closes the connection."""
        self._pump.cancel()
        self.writer.close()


def plain(status: str, body: bytes = b"", more: str = "") -> bytes:
    """An answer that is no stream."""
    return f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n{more}\r\n".encode() + body


def chunk(data: bytes) -> bytes:
    """One chunk of a chunked body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def event(content: str, finish: str | None = None) -> bytes:
    """One event of a stream."""
    choice = {"index": 0, "delta": {"content": content}, "finish_reason": finish}
    return b"data: " + json.dumps({"choices": [choice]}).encode() + b"\n\n"


class Server:
    """Accepts connections; subclasses serve one request at a time on each."""

    def __init__(self) -> None:
        self.address = ""
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def listen(self) -> None:
        """Listens, at the earlier address if there is one."""
        port = int(self.address.rpartition(":")[2]) if self.address else 0
        self.server = await asyncio.start_server(self._connection, HOST, port)
        self.address = f"{HOST}:{self.server.sockets[0].getsockname()[1]}"

    def die(self) -> None:
        """Ends as a killed process does: connections are reset, and new ones refused."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        peer = Peer(reader, writer)
        try:
            while (message := await peer.message()) is not None:
                if not await self.serve(peer, *message):
                    return
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            peer.close()

    async def serve(self, peer: Peer, first: str, headers: dict[str, str]) -> bool:
        """Serves one request; returns whether the connection goes on."""
        raise NotImplementedError


@dataclass
class Fleet:
    """What all model servers share: the states that wait, and what was sent and run."""

    record: Record
    states: dict[str, str] = field(default_factory=dict)
    held_since: dict[str, float] = field(default_factory=dict)
    runs: dict[str, int] = field(default_factory=lambda: defaultdict(int))
    sent: list[tuple[float, str, str, str]] = field(default_factory=list)  # when, server, role, request
    out: dict[str, int] = field(default_factory=lambda: defaultdict(int))
    awaited: set[str] = field(default_factory=set)  # requests whose attempt waits for its state at a writer

    def release(self, request_id: str) -> None:
        """Lets go of a state, unless an attempt waits for it."""
        if request_id not in self.awaited:
            self.take(request_id)

    def take(self, request_id: str) -> None:
        """The state is gone from its reader."""
        self.states.pop(request_id, None)
        self.held_since.pop(request_id, None)


class ModelServer(Server):
    """A reader or a writer."""

    def __init__(self, fleet: Fleet, name: str, role: str) -> None:
        super().__init__()
        self.fleet = fleet
        self.name = name
        self.role = role
        self.draining = False
        self.read_s = 0.02
        self.token_s = 0.02
        self.tokens = 40
        self.spoilt: dict[str, float] = {}  # when streams were spoilt
        self.queue_s = 0.0  # for a slot and memory, before a writer takes the state
        self.lease_s = 0.0  # until a DELETE is answered
        # Seconds after a whole stream at which a second answer follows; None for none.
        self.second_answer_after: Callable[[str], float | None] = lambda _: None
        # The number of events after which a stream goes over into a chunk said to have 3 GB; None for a good stream.
        self.spoilt_after: Callable[[str], int | None] = lambda _: None
        # Called after each event with the request and the number of events so far; may wait.
        self.after_event: Callable[[str, int], Any] | None = None

    def report(self) -> str:
        """The header with the load report."""
        return f"Server-Load: inflight={self.fleet.out[self.name]},x0=0.1\r\n"

    async def serve(self, peer: Peer, first: str, headers: dict[str, str]) -> bool:
        """Serves an attempt or a release."""
        method, target, _ = first.split(" ", 2)
        if target.startswith("/kv/leases/"):
            self.fleet.record.say(f"{self.name} {method} {target}")
            await asyncio.sleep(self.lease_s)
            if method == "DELETE":
                self.fleet.release(target.rpartition("/")[2])
            await peer.send(plain("204 No Content"))
            return True
        request_id = headers.get("request-id", "")
        self.fleet.sent.append((self.fleet.record.now(), self.name, self.role, request_id))
        self.fleet.record.say(f"{self.name} gets {request_id}{' (draining)' if self.draining else ''}")
        if self.draining:
            await peer.send(plain("503 Draining", more="Not-Started: 1\r\n"))
            return True
        self.fleet.out[self.name] += 1
        try:
            goes_on = await (self._read if self.role == "reader" else self._write)(request_id, peer)
        finally:
            self.fleet.out[self.name] -= 1
        after_s = self.second_answer_after(request_id) if goes_on and self.role == "writer" else None
        if after_s is not None:
            await asyncio.sleep(after_s)
            await peer.send(STREAM_HEAD + chunk(event("second", "stop") + b"data: [DONE]\n\n") + CHUNK_END)
            self.fleet.record.say(f"{self.name} {request_id}: a second answer, {1000 * after_s:.0f} ms after the first")
        return goes_on

    async def _read(self, request_id: str, peer: Peer) -> bool:
        if await peer.pause(self.read_s):
            return False
        self.fleet.states[request_id] = self.name
        self.fleet.held_since[request_id] = self.fleet.record.now()
        await peer.send(plain("202 Accepted", b'{"cached_tokens":0}', self.report()))
        return True

    async def _write(self, request_id: str, peer: Peer) -> bool:
        if self.queue_s:
            self.fleet.awaited.add(request_id)
            gone = await peer.pause(self.queue_s)
            self.fleet.awaited.discard(request_id)
            if gone:
                return False
        if request_id not in self.fleet.states:
            await peer.send(plain("410 Gone", more="Not-Started: 1\r\n"))
            return True
        self.fleet.take(request_id)
        self.fleet.runs[request_id] += 1
        events = self.tokens // EVENT_TOKENS
        for nth in range(1, events + 1):
            if await peer.pause(self.token_s * EVENT_TOKENS):
                self.fleet.record.say(f"{self.name} {request_id}: connection closed after {nth - 1} events")
                return False
            data = chunk(event(f"<{request_id}>", "stop" if nth == events else None))
            await peer.send(STREAM_HEAD + data if nth == 1 else data)
            if self.after_event is not None:
                await self.after_event(request_id, nth)
            if self.spoilt_after(request_id) == nth:
                await self._never_end(request_id, peer)
                return False
        usage = {"prompt_tokens": 100, "completion_tokens": self.tokens, "prompt_tokens_details": {"cached_tokens": 0}}
        last = b"data: " + json.dumps({"choices": [], "usage": usage}).encode() + b"\n\ndata: [DONE]\n\n"
        last += f": Server-Load: inflight={self.fleet.out[self.name]},x0=0.1\n\n".encode()
        await peer.send(chunk(last) + CHUNK_END)
        self.fleet.record.say(f"{self.name} {request_id}: whole")
        return True

    async def _never_end(self, request_id: str, peer: Peer) -> None:
        """Sends a chunk that is said to have 3 GB and keeps coming, until the peer closes."""
        self.fleet.record.say(f"{self.name} {request_id}: spoilt from here, a chunk of 3 GB")
        self.spoilt[request_id] = self.fleet.record.now()
        await peer.send(b"c0000000\r\n")
        while not await peer.pause(self.token_s * EVENT_TOKENS):
            await peer.send(event(f"<{request_id}>"))
        self.fleet.record.say(f"{self.name} {request_id}: connection closed within the chunk")


@dataclass
class Registry:
    """Discovery itself: the list, and every change of it in order."""

    entries: dict[str, dict[str, Any]] = field(default_factory=dict)
    changes: list[dict[str, Any]] = field(default_factory=list)  # change n makes version n + 1
    base: int = 40

    @property
    def index(self) -> int:
        """The version of the list."""
        return self.base + len(self.changes)

    def put(self, server: ModelServer, status: str = "SERVING") -> None:
        """Adds or changes an entry."""
        entry = {
            "name": server.name,
            "address": server.address,
            "zone": "hall",
            "type": server.role,
            "group": 0,
            "status": status,
            "weight": 1.0,
            "since_ms": 0,
        }
        self.changes.append(entry)
        self.entries[server.name] = entry
        if status == "DELETED":
            del self.entries[server.name]


class Agent(Server):
    """Discovery's agent on one gateway's machine. It is silent while discovery is down, and learns nothing."""

    def __init__(self, registry: Registry, record: Record, name: str) -> None:
        super().__init__()
        self.registry = registry
        self.record = record
        self.name = name
        self.down = False
        self.known = registry.index  # the version that the agent has
        self.changed = asyncio.Event()
        self.told: dict[int, float] = {}  # when the agent had each version

    def learn(self) -> None:
        """Takes over what the registry has, unless discovery is down."""
        if self.down:
            return
        for version in range(self.known + 1, self.registry.index + 1):
            self.told[version] = self.record.now()
        self.known = self.registry.index
        self.changed.set()
        self.changed = asyncio.Event()

    def set_down(self, down: bool) -> None:
        """Begins or ends an outage of discovery."""
        self.down = down
        self.learn()

    async def _while_down(self) -> None:
        while self.down:
            await asyncio.sleep(0.005)

    async def serve(self, peer: Peer, first: str, headers: dict[str, str]) -> bool:
        """Serves the list, or a watch."""
        target = first.split(" ")[1]
        if "stream=1" not in target:
            await self._while_down()
            listing = {"index": self.known, "snapshot": True, "endpoints": list(self.registry.entries.values())}
            await peer.send(plain("200 OK", json.dumps(listing).encode()))
            return True
        index = int(target.rpartition("=")[2])
        self.record.say(f"{self.name} asked for a watch from {index}")
        await self._while_down()
        await peer.send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        while not peer.gone.done():
            await self._while_down()
            if index < self.known:
                first_change = max(0, index - self.registry.base)
                changes = self.registry.changes[first_change : self.known - self.registry.base]
                line = {"index": self.known, "snapshot": False, "endpoints": changes}
                index = self.known
                told = ", ".join(f"{change['name']} {change['status']}" for change in changes)
                self.record.say(f"{self.name} tells version {index}: {told}")
                await peer.send(chunk(json.dumps(line).encode() + b"\n"))
                continue
            changed = asyncio.ensure_future(self.changed.wait())
            done, _ = await asyncio.wait([changed, peer.gone], timeout=HEARTBEAT_S, return_when=asyncio.FIRST_COMPLETED)
            changed.cancel()
            if not done and not self.down:
                await peer.send(chunk(b"\n"))
        return False


# -- gateways


class Gateway:
    """One gateway process."""

    def __init__(self, record: Record, name: str, folder: Path, agent: Agent, settings: dict[str, Any]) -> None:
        self.record = record
        self.name = name
        self.folder = folder
        self.agent = agent
        self.settings = settings
        self.address = ""
        self.process: asyncio.subprocess.Process | None = None
        self.told_to_end = False
        self.config = folder / f"{name}.json"
        self.log = folder / f"{name}.log"

    def write_config(self, known: dict[str, Any]) -> None:
        """Writes the configuration file, as the platform does: whole, then put in its place."""
        document = {
            "name": self.name,
            "listen": self.address,
            "discovery": self.agent.address,
            "seed": f"{0x8C1F30D27A5BE964 + int(self.name[1:]):016x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": known,
            "settings": self.settings,
        }
        beside = self.config.with_suffix(".new")
        beside.write_text(json.dumps(document))
        beside.replace(self.config)

    async def start(self, known: dict[str, Any]) -> None:
        """Starts the process and waits until it is ready."""
        if not self.address:
            self.address = f"{HOST}:{await free_port()}"
        self.write_config(known)
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        environment = os.environ | {
            "NODE_NAME": self.name,
            "NODE_LISTEN": self.address,
            "NODE_DISCOVERY": self.agent.address,
            "NODE_CONFIG": str(self.config),
            "TMPDIR": str(self.folder),
        }
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", command, cwd=ROOT, env=environment, stdout=log, stderr=log, start_new_session=True
            )
        self.told_to_end = False
        self.record.say(f"{self.name} started, process {self.process.pid}, at {self.address}")
        for _ in range(300):
            if await self.is_ready():
                self.record.say(f"{self.name} ready")
                return
            if self.process.returncode is not None:
                break
            await asyncio.sleep(0.1)
        raise CannotRunError(f"{self.name} did not become ready")

    async def is_ready(self) -> bool:
        """Whether it says that it is ready."""
        try:
            reader, writer = await asyncio.open_connection(*split(self.address))
        except OSError:
            return False
        try:
            writer.write(b"GET /health/ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
            return b" 200 " in (await asyncio.wait_for(reader.readline(), 2.0))
        except (OSError, TimeoutError):
            return False
        finally:
            writer.close()

    @property
    def crashed(self) -> bool:
        """Whether it has ended though nobody told it to."""
        return self.process is not None and self.process.returncode is not None and not self.told_to_end

    def signal(self, number: int) -> None:
        """Sends a signal to the program."""
        if self.process is not None and self.process.returncode is None:
            self.told_to_end = self.told_to_end or number in (signal.SIGTERM, signal.SIGKILL)
            self.record.say(f"{self.name} gets {signal.Signals(number).name}")
            self.process.send_signal(number)

    async def end(self) -> None:
        """Ends the process, by force if need be."""
        if self.process is None or self.process.returncode is not None:
            return
        self.signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(self.process.wait(), 6.0)
        except TimeoutError:
            self.signal(signal.SIGKILL)
            await self.process.wait()


class CannotRunError(Exception):
    """The case could not run."""


def split(address: str) -> tuple[str, int]:
    """An address as host and port."""
    host, _, port = address.rpartition(":")
    return host, int(port)


async def free_port() -> int:
    """A port that is free now."""
    server = await asyncio.start_server(lambda *_: None, HOST, 0)
    port = int(server.sockets[0].getsockname()[1])
    server.close()
    await server.wait_closed()
    return port


# -- clients


@dataclass
class Answer:
    """What a client saw of one request. `end` is streamed, refused, failed, cut, closed, unreachable or nothing."""

    request_id: str
    request_class: str
    gateway: str
    sent_s: float
    end: str = "nothing"
    status: int = 0
    events: int = 0
    done: bool = False
    foreign: int = 0  # events that no model server made for this request
    first_s: float | None = None
    last_event_s: float | None = None
    ended_s: float | None = None


class Clients:
    """Sends requests, each on a connection of its own, and notes what comes back."""

    def __init__(self, record: Record, classes: dict[str, float]) -> None:
        self.record = record
        self.classes = classes  # time-out in seconds by class
        self.answers: list[Answer] = []
        self.tasks: set[asyncio.Task[None]] = set()
        self.count = 0

    def ask(
        self, gateway: Gateway, request_class: str, prompt_tokens: int = 400, leaves_after_s: float | None = None
    ) -> Answer:
        """Sends a request in the background; its client may leave early."""
        self.count += 1
        request_id = f"{0x51A0000000000000 + self.count:016x}"
        answer = Answer(request_id, request_class, gateway.name, self.record.now())
        self.answers.append(answer)
        task = asyncio.ensure_future(self._ask(gateway, answer, prompt_tokens))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        if leaves_after_s is not None:
            asyncio.get_running_loop().call_later(leaves_after_s, task.cancel)
        return answer

    async def _ask(self, gateway: Gateway, answer: Answer, prompt_tokens: int) -> None:
        timeout_s = self.classes[answer.request_class]
        text = "abcd" * prompt_tokens
        content = {"model": "chat", "stream": True, "max_tokens": 200, "messages": [{"role": "user", "content": text}]}
        body = json.dumps(content).encode()
        head = (
            "POST /v1/chat/completions HTTP/1.1\r\nHost: app.svc\r\n"
            f"Request-Id: {answer.request_id}\r\nRequest-Class: {answer.request_class}\r\n"
            f"Affinity-Key: {answer.request_id}\r\nRequest-Timeout: {timeout_s:.3f}\r\n"
            f"Request-Info: prompt_len={prompt_tokens},prefix_len=0,max_out=200\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        self.record.say(f"client asks {gateway.name}: {answer.request_id} {answer.request_class}")
        try:
            reader, writer = await asyncio.open_connection(*split(gateway.address), limit=2**20)
        except OSError:
            answer.end = "unreachable"
            answer.ended_s = self.record.now()
            return
        try:
            writer.write(head.encode() + body)
            await writer.drain()
            answer.sent_s = self.record.now()
            await asyncio.wait_for(self._read(reader, answer), timeout_s + 30.0)
        except TimeoutError:
            answer.end = "nothing" if answer.first_s is None else "left waiting"
        except (OSError, asyncio.IncompleteReadError, ValueError):
            answer.end = "closed" if answer.status == 0 else "cut"
        except asyncio.CancelledError:
            answer.end = "left"
        finally:
            answer.ended_s = self.record.now()
            writer.close()
            self.record.say(
                f"client {answer.request_id}: {answer.end}, status {answer.status}, {answer.events} events"
                f"{', [DONE]' if answer.done else ''}"
            )

    async def _read(self, reader: asyncio.StreamReader, answer: Answer) -> None:
        first = await reader.readline()
        if not first:
            raise asyncio.IncompleteReadError(b"", None)
        answer.status = int(first.split()[1])
        answer.first_s = self.record.now()
        headers = await reader.readuntil(b"\r\n\r\n")
        if answer.status != 200:
            answer.end = "refused" if answer.status in (429, 503) else "failed"
            return
        assert b"chunked" in headers.lower()
        rest = b""
        while True:
            size = int(await reader.readuntil(b"\r\n"), 16)
            data = await reader.readexactly(size + 2)
            if size == 0:
                answer.end = "streamed" if answer.done else "ended in part"
                return
            rest += data[:-2]
            *events, rest = rest.split(b"\n\n")
            for each in events:
                if each == b"data: [DONE]":
                    answer.done = True
                elif b'"content"' in each:
                    answer.events += 1
                    if f"<{answer.request_id}>".encode() not in each:
                        answer.foreign += 1
                        self.record.say(f"client {answer.request_id} gets {each.decode()}")
                    answer.last_event_s = self.record.now()

    async def load(self, gateways: Iterable[Gateway], per_second: float, until_s: float) -> None:
        """Sends requests of all classes to all gateways in turn until that time."""
        targets = [(gateway, name) for gateway in gateways for name in self.classes]
        nth = 0
        while self.record.now() < until_s:
            gateway, name = targets[nth % len(targets)]
            self.ask(gateway, name)
            nth += 1
            await asyncio.sleep(1 / per_second)

    async def finish(self, within_s: float) -> None:
        """Waits for the answers that are out."""
        if self.tasks:
            await asyncio.wait(list(self.tasks), timeout=within_s)
        for task in list(self.tasks):
            task.cancel()


# -- a whole deployment


class World:
    """One deployment with its stand-ins."""

    def __init__(self, settings: dict[str, Any], gateways: int, classes: dict[str, float]) -> None:
        self.record = Record()
        self.folder_owner = tempfile.TemporaryDirectory(prefix="review-case-")
        self.folder = Path(self.folder_owner.name)
        self.fleet = Fleet(self.record)
        self.registry = Registry()
        self.servers: dict[str, ModelServer] = {}
        self.clients = Clients(self.record, classes)
        self.settings = settings
        self.gateways: list[Gateway] = []
        self.gateway_count = gateways

    async def open(self, readers: int, writers: int) -> None:
        """Starts everything."""
        for name in [f"s-r{nth}" for nth in range(readers)] + [f"s-w{nth}" for nth in range(writers)]:
            server = ModelServer(self.fleet, name, "reader" if name[2] == "r" else "writer")
            await server.listen()
            self.servers[name] = server
            self.registry.put(server)
        # What the agents know from the start is the base: no change of it is told again.
        self.registry.base += len(self.registry.changes)
        self.registry.changes.clear()
        for nth in range(self.gateway_count):
            agent = Agent(self.registry, self.record, f"agent{nth}")
            await agent.listen()
            self.gateways.append(Gateway(self.record, f"n{nth}", self.folder, agent, self.settings | {"me": nth}))
        for gateway in self.gateways:
            await gateway.start(self.listing())

    def listing(self) -> dict[str, Any]:
        """The whole list."""
        return {"index": self.registry.index, "snapshot": True, "endpoints": list(self.registry.entries.values())}

    def change(self, name: str, status: str) -> None:
        """Changes a server's entry, and tells the agents."""
        self.servers[name].draining = status != "SERVING"
        self.registry.put(self.servers[name], status)
        self.record.say(f"discovery: {name} {status}, version {self.registry.index}")
        for gateway in self.gateways:
            gateway.agent.learn()

    def set_down(self, down: bool) -> None:
        """Begins or ends an outage of discovery."""
        self.record.say("discovery is down" if down else "discovery is back")
        for gateway in self.gateways:
            gateway.agent.set_down(down)

    async def close(self) -> None:
        """Ends everything."""
        await asyncio.gather(*(gateway.end() for gateway in self.gateways), return_exceptions=True)
        for gateway in self.gateways:
            gateway.agent.die()
            lines = gateway.log.read_text(errors="replace").splitlines() if gateway.log.exists() else []
            self.record.say(f"-- the last lines of {gateway.name}'s log")
            self.record.lines.extend(f"          {line[:400]}" for line in lines[-LOG_LINES:])
        for server in self.servers.values():
            server.die()
        self.folder_owner.cleanup()


def verdict(folder: Path, play: Callable[[bool], Any], within_s: float = 110.0) -> int:
    """Runs a case: BROKEN_STATUS if the rule was broken, 0 if it held, 2 if the case could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run() -> tuple[bool, Record]:
        playing: asyncio.Task[tuple[bool, Record]] = asyncio.ensure_future(play(trouble))
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, playing.cancel)  # ends the processes as well
        return await asyncio.wait_for(playing, within_s)

    try:
        broken, record = asyncio.run(run())
    except (Exception, asyncio.CancelledError, KeyboardInterrupt) as error:
        (folder / "record.txt").write_text(f"the case could not run: {error!r}\n")
        print(f"could not run: {error!r}")
        return 2
    record.write(folder / "record.txt")
    for line in record.lines:
        if "VERDICT" in line or "BROKEN" in line:
            print(line.strip())
    return BROKEN_STATUS if broken else 0
