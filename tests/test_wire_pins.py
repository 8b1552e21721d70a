"""Compares, byte for byte, what the gateways and the simulator's adapter write with recorded data, as well as the names
in their logs and metrics.

The processes are started by their entry points and talk to scripted peers on loopback sockets, so that these tests use
no name of the package. `masked` replaces what differs between runs (addresses, times, versions). The recorded data is
in `tests/data/wire/`; it is rewritten only if TERNLANE_WRITE_PINS=1 is set.
"""

from __future__ import annotations

import json
import os
import re
import signal
import socket
import subprocess
import sys
import tomllib
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from heapq import heappop, heappush
from pathlib import Path
from typing import Any
from zlib import crc32

import pytest
import trio

ROOT = Path(__file__).parent.parent
PINS = Path(__file__).parent / "data" / "wire"
DEPLOY = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())
# The public entry points.
PLATFORM_GATEWAY = ["/bin/sh", "-c", DEPLOY["run"]]
SIMULATOR_ADAPTER = ["/bin/sh", "-c", DEPLOY["sim"]]
CHAT_GATEWAY = [sys.executable, "-m", "ternlane", "serve", "--log", "debug"]

WITHIN_S = 30.0  # time limit for one step of a test: only a hung gateway exceeds it
CHAT_PATH = "/v1/chat/completions"
MASKS = (
    (r"127\.0\.0\.1:\d+", "<address>"),
    (r"(?im)^(request-timeout|retry-after|retry-after-ms|date): [^\r\n]*", r"\1: <masked>"),
    (r"ternlane/\d+(\.\d+)*", "ternlane/<version>"),
    (r'"created":\d+', '"created":<time>'),
    (r"(?im)^(idempotency-key): [0-9a-f]{10}-", r"\1: <process>-"),
)


# -- pins


def masked(message: bytes) -> str:
    """A message as text, with fixed tokens in place of what differs between runs."""
    text = message.decode("latin-1")
    for pattern, token in MASKS:
        text = re.sub(pattern, token, text)
    return text


def pin(name: str, seen: Any) -> None:
    """Compares what a test has recorded with its file, or writes the file if TERNLANE_WRITE_PINS=1 is set."""
    path = PINS / f"{name}.json"
    if os.environ.get("TERNLANE_WRITE_PINS") == "1":
        path.write_text(json.dumps(seen, indent=1, sort_keys=True) + "\n")
    assert seen == json.loads(path.read_text())


def names_in_log(path: Path) -> dict[str, list[str]]:
    """The events of a log, each with the names of all fields that any of its lines has."""
    fields: dict[str, set[str]] = {}
    for line in path.read_text().splitlines():
        entry = json.loads(line)
        fields.setdefault(entry.pop("event"), set()).update(entry)
    return {event: sorted(names) for event, names in sorted(fields.items())}


# -- scripted peers

CLOSE = "close"  # the peer closes the connection
UNTIL_CLOSED = "until closed"  # the peer waits until the gateway closes the connection, and records that
HEARTBEATS = "beats"  # the same, with an empty line from time to time
HEARTBEAT_S = 0.4
Part = bytes | trio.Event | str
Answer = tuple[Part, ...]


@dataclass
class Peer:
    """A server that records each message byte for byte and sends the scripted answers for its path in order, repeating
    the last one."""

    nursery: trio.Nursery
    answers: dict[str, list[Answer]]
    messages: list[str] = field(default_factory=list)
    address: str = ""

    async def start(self) -> None:
        listener = (await trio.open_tcp_listeners(0, host="127.0.0.1"))[0]
        self.address = "127.0.0.1:%d" % listener.socket.getsockname()[1]
        self.nursery.start_soon(trio.serve_listeners, self._serve, [listener])

    def script(self, path: str, *answers: Answer) -> None:
        self.answers[path] = list(answers)

    def count(self, begin: str) -> int:
        return sum(message.startswith(begin) for message in self.messages)

    async def until(self, begin: str, count: int = 1) -> None:
        """Waits until `count` messages that begin so have been received."""
        with trio.fail_after(WITHIN_S):
            while self.count(begin) < count:
                await trio.sleep(0.005)

    def take_messages(self) -> list[str]:
        taken, self.messages[:] = list(self.messages), []
        return taken

    async def _serve(self, stream: trio.SocketStream) -> None:
        rest = b""
        try:
            while True:
                message, rest = await read_message(stream, rest)
                if not message:
                    return
                self.messages.append(masked(message))
                if not await self._answer(stream, self._next_answer(message)):
                    return
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        finally:
            stream.socket.close()

    def _next_answer(self, message: bytes) -> Answer:
        method, target = message.split(b" ", 2)[:2]
        called = f"{method.decode()} {target.decode()}"
        answers = next(answers for begin, answers in self.answers.items() if called.startswith(begin))
        return answers.pop(0) if len(answers) > 1 else answers[0]

    async def _answer(self, stream: trio.SocketStream, answer: Answer) -> bool:
        """Sends an answer. Returns False if the connection ends with it."""
        for part in answer:
            if isinstance(part, bytes):
                await stream.send_all(part)
            elif isinstance(part, trio.Event):
                await part.wait()
            elif part == CLOSE:
                return False
            else:
                await wait_until_closed(stream, heartbeats=part == HEARTBEATS)
                self.messages.append("<closed by the gateway>")
                return False
        return True


async def wait_until_closed(stream: trio.SocketStream, heartbeats: bool) -> None:
    """Waits until the other side has closed the connection, sending empty lines meanwhile if `heartbeats`."""
    try:
        while True:
            with trio.move_on_after(HEARTBEAT_S if heartbeats else WITHIN_S):
                if not await stream.receive_some():
                    return
            if heartbeats:
                await stream.send_all(HEARTBEAT)
    except trio.BrokenResourceError:
        pass


async def read_message(stream: trio.SocketStream, rest: bytes) -> tuple[bytes, bytes]:
    """Reads one request; returns it and the bytes after it, both empty if the connection ended first."""
    while True:
        head, end, body = rest.partition(b"\r\n\r\n")
        if end:
            length = re.search(rb"(?i)\r\ncontent-length: (\d+)", head)
            size = len(head) + 4 + (int(length[1]) if length else 0)
            if len(rest) >= size:
                return rest[:size], rest[size:]
        more = await stream.receive_some()
        if not more:
            return b"", b""
        rest += more


def plain(status: str, body: bytes = b"", *headers: str) -> bytes:
    """A complete answer of a peer."""
    lines = [f"HTTP/1.1 {status}", *headers, f"Content-Length: {len(body)}"]
    return "\r\n".join([*lines, "", ""]).encode() + body


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


def event(**fields: Any) -> bytes:
    return chunk(b"data: " + json.dumps(fields).encode() + b"\n\n")


STREAM_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
STREAM_END = chunk(b"data: [DONE]\n\n") + b"0\r\n\r\n"


def text_event(text: str, finish: str | None = None) -> bytes:
    return event(choices=[{"index": 0, "delta": {"content": text}, "finish_reason": finish}])


USAGE = event(choices=[], usage={"prompt_tokens": 20, "completion_tokens": 2, "total_tokens": 22})
STREAM = STREAM_HEAD + text_event("one ") + text_event("two", "stop") + USAGE + STREAM_END
PREFILL_ANSWER = plain("202 Accepted", b'{"cached_tokens":4}', "Server-Load: inflight=1,x0=0.1")
NOT_STARTED_ANSWER = plain("503 Service Unavailable", b"", "Not-Started: 1")
RELEASE_ANSWER = plain("204 No Content")


# -- clients


@asynccontextmanager
async def connected(address: str) -> AsyncIterator[trio.SocketStream]:
    host, _, number = address.partition(":")
    stream = await trio.open_tcp_stream(host, int(number))
    try:
        yield stream
    finally:
        stream.socket.close()


async def receive_all(stream: trio.SocketStream, begun: trio.Event | None = None, begins: bytes = b"data: ") -> str:
    """All bytes until the gateway closes the connection. `begun` is set once `begins` has been received."""
    out = b""
    with trio.fail_after(WITHIN_S):
        try:
            while more := await stream.receive_some():
                out += more
                if begun is not None and begins in out:
                    begun.set()
        except trio.BrokenResourceError:
            pass
    return masked(out)


async def ask(address: str, message: bytes, begun: trio.Event | None = None) -> str:
    """Sends a message on a new connection; returns all bytes received."""
    async with connected(address) as stream:
        await stream.send_all(message)
        return await receive_all(stream, begun)


def request(path: str, headers: dict[str, str], body: bytes, method: str = "POST") -> bytes:
    lines = [f"{method} {path} HTTP/1.1", "Host: gateway", "Connection: close"]
    lines += [f"{name}: {value}" for name, value in headers.items()] + [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


def get(path: str) -> bytes:
    return f"GET {path} HTTP/1.1\r\nHost: gateway\r\nConnection: close\r\n\r\n".encode()


# -- gateways


def reserved_address() -> tuple[socket.socket, str]:
    """An address for a process to listen at. The returned socket keeps the port bound, so that no other connection can
    take it first."""
    reserved = socket.socket()
    reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reserved.bind(("127.0.0.1", 0))
    return reserved, "127.0.0.1:%d" % reserved.getsockname()[1]


def count_logged(log: Path, name: str) -> int:
    """The number of lines of this event in the log."""
    return log.read_text().count(f'"event": "{name}"')


async def wait_until_logged(log: Path, name: str, count: int = 1) -> None:
    """Waits until the log has `count` lines of this event."""
    with trio.fail_after(WITHIN_S):
        while count_logged(log, name) < count:
            await trio.sleep(0.01)


@asynccontextmanager
async def running(command: list[str], log: Path, environment: dict[str, str]) -> AsyncIterator[trio.Process]:
    """A gateway process that serves, and is killed at the end of the block."""
    with log.open("w") as errors:
        process = await trio.lowlevel.open_process(command, env=os.environ | environment, cwd=ROOT, stderr=errors)
    try:
        await wait_until_logged(log, "serving")
        yield process
    finally:
        process.kill()
        await process.wait()


async def wait_until_quiet(peers: dict[str, Peer]) -> None:
    """Waits until these peers have received nothing for a while."""
    before, quiet_rounds = -1, 0
    while quiet_rounds < 30:
        now = sum(len(peer.messages) for peer in peers.values())
        before, quiet_rounds = now, quiet_rounds + 1 if now == before else 0
        await trio.sleep(0.02)


def messages_by_role(peers: dict[str, Peer]) -> dict[str, list[str]]:
    """The messages to peers of each role since the last call, sorted, as calls on two connections may overtake each
    other."""
    roles = {"r": "prefill", "w": "decode", "m": "both"}
    recorded: dict[str, list[str]] = {}
    for name, peer in peers.items():
        recorded.setdefault(roles[name[0]], []).extend(peer.take_messages())
    return {role: sorted(messages) for role, messages in recorded.items()}


def share_answers(peers: dict[str, Peer], initial: str, path: str, *answers: Answer) -> None:
    """Makes the peers whose names begin with `initial` share these answers: the first call gets the first answer."""
    shared = list(answers)
    for name, peer in peers.items():
        if name[0] == initial:
            peer.answers[path] = shared


async def wait_for_exit(process: trio.Process) -> int:
    with trio.fail_after(WITHIN_S):
        return await process.wait()


# -- the platform gateway

SETTINGS: dict[str, Any] = {
    "discovery": "push",
    "invariants": {
        "cold": 2000.0,
        "cold_from": 0.3,
        "drain_grace": 300.0,
        "overload_factor": 4.0,
        "overload_for": 1000.0,
    },
    "kinds": ["reader", "writer"],
    "limits": {
        "cancel": True,
        "conn_idle": 60000.0,
        "connect_timeout": 2000.0,
        "max_retry_after": 500.0,
        "most_tries": 5,
        "probes": True,
        "retry_after": True,
    },
    "locality": "hall",
    "me": 0,
    "n_instances": 1,
    "profiles": [
        {"aim": 8000.0, "deadline": 20000.0, "name": "summary", "semantics": "idempotent", "worth": 3.0},
        {"aim": 8000.0, "deadline": 20000.0, "name": "note", "semantics": "at_most_once", "worth": 2.0},
    ],
    "report": {"columns": ["outstanding", "x0"], "how": "inline"},
    "specifics": {
        "duty_by_kind": ["read", "write"],
        "release": 4000.0,
        "token_aim": [100.0, 100.0],
        "tokens_by_kind": [200000, 200000],
    },
    "step": 1.0,
}
BODY = b'{"model":"chat","stream":true,"messages":[{"role":"user","content":"hello"}]}'
HEARTBEAT = chunk(b"\n")
DISCOVERY_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def endpoint(name: str, address: str, status: str = "SERVING") -> dict[str, Any]:
    kind = "reader" if name[0] == "r" else "writer"
    return {
        "name": name,
        "address": address,
        "zone": "hall",
        "type": kind,
        "group": 0,
        "status": status,
        "weight": 1.0,
        "since_ms": 0.0,
    }


def listing(index: int, *endpoints: dict[str, Any], snapshot: bool = True) -> dict[str, Any]:
    return {"index": index, "snapshot": snapshot, "endpoints": list(endpoints)}


@dataclass
class Platform:
    """A gateway process with scripted model servers and discovery."""

    address: str
    config: Path
    log: Path
    process: trio.Process
    discovery: Peer
    servers: dict[str, Peer]
    configuration: dict[str, Any]
    request_count: int = 0

    def message(self, request_class: str = "summary", body: bytes = BODY, **changes: str) -> bytes:
        """The next request. A header whose value is "-" is left out."""
        self.request_count += 1
        headers = {
            "Request-Id": f"{self.request_count:016x}",
            "Request-Class": request_class,
            "Affinity-Key": "c1",
            "Request-Timeout": "15",
            "Request-Info": "prefix=ab,prompt_len=20,prefix_len=8,max_out=40",
        }
        headers |= {name.replace("_", "-"): value for name, value in changes.items()}
        return request(CHAT_PATH, {name: value for name, value in headers.items() if value != "-"}, body)

    async def ask(self, request_class: str = "summary", begun: trio.Event | None = None, **changes: str) -> str:
        return await ask(self.address, self.message(request_class, **changes), begun)

    def reconfigure(self, **changes: Any) -> None:
        """Rewrites the configuration file and makes the gateway reload it."""
        self.config.write_text(json.dumps(self.configuration | changes))
        self.process.send_signal(signal.SIGHUP)

    def take_recorded(self, **clients: Any) -> dict[str, Any]:
        """The messages to each peer since the last call, and the given answers to clients."""
        return messages_by_role(self.servers) | {"discovery": self.discovery.take_messages(), "clients": clients}

    async def wait_until_idle(self) -> None:
        """Waits until the log has the end of each request and the servers have received nothing for a while."""
        await wait_until_logged(self.log, "closed", self.request_count)
        await wait_until_quiet(self.servers)


@asynccontextmanager
async def platform(folder: Path, *names: str, **settings: Any) -> AsyncIterator[Platform]:
    """A gateway with these servers: names beginning with r are prefill servers, with w decode servers. `settings` are
    changes to SETTINGS."""
    reserved, address = reserved_address()
    async with trio.open_nursery() as nursery:
        discovery = Peer(nursery, {"GET /registry/": [(DISCOVERY_HEAD + HEARTBEAT, HEARTBEATS)]})
        servers = {name: Peer(nursery, {}) for name in names}
        for peer in (discovery, *servers.values()):
            await peer.start()
        for name, peer in servers.items():
            peer.script(f"POST {CHAT_PATH}", (PREFILL_ANSWER if name[0] == "r" else STREAM,))
            peer.script("DELETE ", (RELEASE_ANSWER,))
            peer.script("GET /stats", (plain("200 OK", b"inflight=1,x0=0.1"),))
        configuration = {
            "name": "n0",
            "listen": address,
            "discovery": discovery.address,
            "seed": "ff",
            "limits": {"cores": 1.0, "memory_mb": 128, "sockets": 256},
            "known": listing(7, *(endpoint(name, peer.address) for name, peer in servers.items())),
            "settings": SETTINGS | settings,
        }
        config, log = folder / "config.json", folder / "log"
        config.write_text(json.dumps(configuration))
        environment = {"NODE_CONFIG": str(config), "TERNLANE_LOG": "debug"}
        async with running(PLATFORM_GATEWAY, log, environment) as process:
            yield Platform(address, config, log, process, discovery, servers, configuration)
        nursery.cancel_scope.cancel()
    reserved.close()


async def test_platform_streams(tmp_path: Path) -> None:
    """A stream in two steps: the first event is forwarded before the second one exists."""
    async with platform(tmp_path, "r0", "w0") as p:
        begun = trio.Event()
        rest = text_event("two", "stop") + USAGE + chunk(b": Server-Load: inflight=2,x0=0.2\n\n") + STREAM_END
        p.servers["w0"].script(f"POST {CHAT_PATH}", (STREAM_HEAD + text_event("one "), begun, rest))
        streamed = await p.ask(begun=begun)
        pin("platform_streams", p.take_recorded(streamed=streamed))


async def test_platform_answers_at_one_connection(tmp_path: Path) -> None:
    """Two requests on one connection, the second with only the required headers."""
    async with platform(tmp_path, "r0", "w0") as p:
        first = p.message().replace(b"Connection: close\r\n", b"")
        second = p.message(Affinity_Key="-", Request_Timeout="-", Request_Info="-")
        begun = trio.Event()
        async with connected(p.address) as stream:
            await stream.send_all(first)
            answers: list[str] = []

            async def receive() -> None:
                answers.append(await receive_all(stream, begun, b"0\r\n\r\n"))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(receive)
                await begun.wait()
                await stream.send_all(second)
        pin("platform_kept_connection", p.take_recorded(both=answers))


RETRIES: dict[str, tuple[str, Answer]] = {
    "prefill_full": ("r", (NOT_STARTED_ANSWER,)),
    "prefill_failed": ("r", (plain("500 No"),)),
    "decode_full": ("w", (NOT_STARTED_ANSWER,)),
    "decode_failed": ("w", (plain("500 No"),)),
    "state_lost": ("w", (plain("410 Gone", b"", "Not-Started: 1"),)),
}


@pytest.mark.parametrize("scene", RETRIES)
async def test_platform_retries(tmp_path: Path, scene: str) -> None:
    """Prefill and decode attempts that were rejected, lost their state or failed, and the retries."""
    async with platform(tmp_path, "r0", "r1", "w0", "w1") as p:
        initial, first = RETRIES[scene]
        then = PREFILL_ANSWER if initial == "r" else STREAM
        share_answers(p.servers, initial, f"POST {CHAT_PATH}", first, (then,))
        answer = await p.ask()
        await p.wait_until_idle()
        pin(f"platform_retries_{scene}", p.take_recorded(answer=answer))


@pytest.mark.parametrize("scene", ["reset", "cut", "spoilt", "status"])
async def test_platform_fails(tmp_path: Path, scene: str) -> None:
    """A request that may run only once, whose decode attempt broke."""
    answers: dict[str, Answer] = {
        "reset": (CLOSE,),
        "cut": (STREAM_HEAD + text_event("one "), CLOSE),
        "spoilt": (STREAM_HEAD + chunk(b"noise\n\n"), UNTIL_CLOSED),
        "status": (plain("500 No"),),
    }
    async with platform(tmp_path, "r0", "w0") as p:
        p.servers["w0"].script(f"POST {CHAT_PATH}", answers[scene])
        failed = await p.ask("note")
        await p.wait_until_idle()
        pin(f"platform_fails_{scene}", p.take_recorded(failed=failed))


async def test_platform_rejects(tmp_path: Path) -> None:
    """Without a decode server the request is rejected with Retry-After."""
    async with platform(tmp_path, "r0") as p:
        rejected = await p.ask()
        pin("platform_rejects", p.take_recorded(rejected=rejected))


LEAVES: dict[str, tuple[str, Answer, int]] = {
    # the server with the attempt, its answer, and the number of release calls that follow
    "in_prefill": ("r0", (UNTIL_CLOSED,), 2),  # the second one follows after half the release time
    "before_decode_begins": ("w0", (UNTIL_CLOSED,), 1),
    "within_the_stream": ("w0", (STREAM_HEAD + text_event("one "), UNTIL_CLOSED), 0),
}


@pytest.mark.parametrize("scene", LEAVES)
async def test_platform_client_leaves(tmp_path: Path, scene: str) -> None:
    """A client that disconnects during prefill, before decode begins, and within the stream."""
    async with platform(tmp_path, "r0", "w0") as p:
        name, answer, releases = LEAVES[scene]
        p.servers[name].script(f"POST {CHAT_PATH}", answer)
        async with connected(p.address) as stream:
            await stream.send_all(p.message())
            await p.servers[name].until("POST")
            if scene == "within_the_stream":
                await stream.receive_some()
        with trio.fail_after(WITHIN_S):
            while sum(server.count("DELETE") for server in p.servers.values()) < releases:
                await trio.sleep(0.01)
        await p.wait_until_idle()
        pin(f"platform_client_leaves_{scene}", p.take_recorded())


BAD_HEADS = {
    "no head": b"\x00\x01\x02\r\n\r\n",
    "bad length": f"POST {CHAT_PATH} HTTP/1.1\r\nHost: a\r\nContent-Length: 5x\r\n\r\n".encode(),
    "long head": f"POST {CHAT_PATH} HTTP/1.1\r\nHost: a\r\nX: ".encode()
    + b"y" * 20000
    + b"\r\nConnection: close\r\n\r\n",
    "long body": f"POST {CHAT_PATH} HTTP/1.1\r\nHost: a\r\nContent-Length: 262145\r\n\r\n{{".encode(),
    "slow head": f"POST {CHAT_PATH} HTTP/1.1\r\nHost: a\r\n".encode(),
}
BAD_HEADERS = {
    "no id": {"Request_Id": "-"},
    "bad id": {"Request_Id": "xyz"},
    "bad class": {"Request_Class": "none"},
    "bad timeout": {"Request_Timeout": "soon"},
    "no timeout": {"Request_Timeout": "0"},
    "bad info": {"Request_Info": "prompt_len=x"},
    "odd info": {"Request_Info": "prompt_len"},
}


async def test_platform_refuses(tmp_path: Path) -> None:
    """Invalid requests, and the readiness endpoint."""
    async with platform(tmp_path, "r0", "w0") as p:
        answers = {name: await ask(p.address, message) for name, message in BAD_HEADS.items()}
        for name, changes in BAD_HEADERS.items():
            answers[name] = await p.ask(**changes)
        for name, body in (("no body", b""), ("no object", b"[]"), ("torn body", b"{")):
            answers[name] = await ask(p.address, p.message(body=body))
        answers["no path"] = await ask(p.address, get("/v1/else"))
        answers["wrong method"] = await ask(p.address, get(CHAT_PATH))
        answers["ready"] = await ask(p.address, get("/health/ready"))
        answers["ready, wrong method"] = await ask(p.address, request("/health/ready", {}, b""))
        hold = trio.Event()
        p.servers["r0"].script(f"POST {CHAT_PATH}", (hold, PREFILL_ANSWER))
        async with connected(p.address) as stream:
            await stream.send_all(p.message(Request_Id="00000000000000ff"))
            await p.servers["r0"].until("POST")
            answers["id in use"] = await p.ask(Request_Id="00000000000000ff")
            hold.set()
            await receive_all(stream)
        pin("platform_refuses", p.take_recorded(**answers))


async def test_platform_discovery(tmp_path: Path) -> None:
    """The watch starts at the known index, restarts from the newest one after it broke, and moves to a new address."""
    async with platform(tmp_path, "r0", "w0") as p:
        await p.discovery.until("GET")
        update, broken = trio.Event(), trio.Event()
        news = json.dumps(listing(9, endpoint("w0", p.servers["w0"].address, "DRAINING"), snapshot=False)).encode()
        p.discovery.script("GET /registry/", (DISCOVERY_HEAD + chunk(news + b"\n"), broken, CLOSE))
        moved = Peer(p.discovery.nursery, {"GET /registry/": [(DISCOVERY_HEAD + HEARTBEAT, HEARTBEATS)]})
        await moved.start()
        update.set()
        p.reconfigure(discovery=moved.address)
        await moved.until("GET")
        await p.discovery.until("<closed")
        pin("platform_discovery", {"first": p.discovery.messages, "second": moved.messages})


async def test_platform_watch_that_breaks(tmp_path: Path) -> None:
    """A watch that breaks after a change is reopened from that change's index."""
    async with platform(tmp_path, "r0", "w0") as p:
        await p.discovery.until("GET")
        again = Peer(p.discovery.nursery, {})
        news = json.dumps(listing(9, endpoint("w0", p.servers["w0"].address, "DRAINING"), snapshot=False)).encode()
        again.script(
            "GET /registry/",
            (DISCOVERY_HEAD + chunk(news + b"\n"), CLOSE),
            (DISCOVERY_HEAD + HEARTBEAT, HEARTBEATS),
        )
        await again.start()
        p.reconfigure(discovery=again.address)
        await again.until("GET", 2)
        pin("platform_watch_breaks", again.messages)


async def test_platform_probes(tmp_path: Path) -> None:
    """Servers that report their load only on probes. The number of probes depends on timing."""
    report = {"columns": ["outstanding", "x0"], "how": "on_probe"}
    async with platform(tmp_path, "r0", "w0", report=report) as p:
        answer = await p.ask()
        seen = p.take_recorded(answer=answer)
        seen |= {role: sorted(set(seen[role])) for role in ("prefill", "decode")}
        pin("platform_probes", seen)


async def test_platform_shuts_down(tmp_path: Path) -> None:
    """During a shutdown: a stream that continues, a request completed late, and the readiness endpoint."""
    async with platform(tmp_path, "r0", "w0") as p:
        begun, late = trio.Event(), trio.Event()
        p.servers["w0"].script(
            f"POST {CHAT_PATH}", (STREAM_HEAD + text_event("one "), late, text_event("two") + USAGE + STREAM_END)
        )
        answers: dict[str, str] = {}

        async def open_stream() -> None:
            answers["open stream"] = await p.ask(begun=begun)

        async with trio.open_nursery() as nursery, connected(p.address) as half, connected(p.address) as other:
            nursery.start_soon(open_stream)
            await begun.wait()
            message, ready = p.message(), get("/health/ready")
            await half.send_all(message[:-5])
            await other.send_all(ready[:-2])
            await trio.sleep(0.1)  # both have been read
            p.process.send_signal(signal.SIGTERM)
            await wait_until_logged(p.log, "draining")
            await trio.sleep(0.8)
            await other.send_all(ready[-2:])
            answers["ready"] = await receive_all(other)
            await half.send_all(message[-5:])
            answers["late request"] = await receive_all(half)
            late.set()
        assert await wait_for_exit(p.process) == 0
        pin("platform_shuts_down", p.take_recorded(**answers))


async def test_platform_log_names(tmp_path: Path) -> None:
    """The log's events with their fields, and the counters of the report line."""
    specifics = SETTINGS["specifics"] | {"release": 800.0}
    async with platform(tmp_path, "r0", "r1", "w0", "w1", specifics=specifics) as p:
        await p.ask()
        share_answers(p.servers, "w", f"POST {CHAT_PATH}", (NOT_STARTED_ANSWER,), (STREAM,))
        await p.ask()
        await p.ask(Request_Class="none")
        await run_unconfirmed_release(p)
        p.config.write_text("{")
        p.process.send_signal(signal.SIGHUP)
        await wait_until_logged(p.log, "reload refused")
        p.reconfigure()
        await wait_until_logged(p.log, "reloaded")
        p.process.send_signal(signal.SIGUSR1)
        await wait_until_logged(p.log, "request history", 3)
        await wait_until_logged(p.log, "report", count_logged(p.log, "report") + 1)
        await end_with_an_open_stream(p)
        pin("platform_log_names", names_in_log(p.log))


async def run_unconfirmed_release(p: Platform) -> None:
    """Runs a request that fails, whose release no server confirms until the log has reported that."""
    for server in p.servers.values():
        server.script("DELETE ", (plain("500 No"),))
    share_answers(p.servers, "w", f"POST {CHAT_PATH}", (CLOSE,), (STREAM,))
    await p.ask("note")
    await wait_until_logged(p.log, "release unconfirmed")
    await wait_until_logged(p.log, "state held past its release time")
    confirmed = count_logged(p.log, "release confirmed")
    for server in p.servers.values():
        server.script("DELETE ", (RELEASE_ANSWER,))
    await wait_until_logged(p.log, "release confirmed", confirmed + 1)


async def end_with_an_open_stream(p: Platform) -> None:
    """Ends the gateway while a stream continues until the log names it as unfinished."""
    begun, late = trio.Event(), trio.Event()
    share_answers(p.servers, "w", f"POST {CHAT_PATH}", (STREAM_HEAD + text_event("one "), late, STREAM_END))
    async with trio.open_nursery() as nursery:
        nursery.start_soon(p.ask, "summary", begun)
        await begun.wait()
        p.process.send_signal(signal.SIGTERM)
        await wait_until_logged(p.log, "unfinished before the end")
        late.set()
    assert await wait_for_exit(p.process) == 0


# -- the chat gateway

CHAT_BODY = {"model": "summary", "messages": [{"role": "user", "content": "hello"}]}
KV_TRANSFER_PARAMS = {"remote_engine_id": "e1", "remote_block_ids": [1, 2], "remote_host": "h", "remote_port": 5}
ENGINE_PREFILL_ANSWER = plain(
    "200 OK",
    json.dumps(
        {"kv_transfer_params": KV_TRANSFER_PARAMS, "usage": {"prompt_tokens": 20, "completion_tokens": 1}}
    ).encode(),
    "endpoint-load-metrics: TEXT named_metrics.num_requests_running=1, named_metrics.kv_cache_usage_perc=0.1",
)


@dataclass
class Chat:
    """A chat gateway process with scripted engines."""

    address: str
    metrics: str
    document: Path
    log: Path
    process: trio.Process
    engines: dict[str, Peer]
    configuration: dict[str, Any]
    request_count: int = 0

    def message(self, headers: dict[str, str] | None = None, **changes: Any) -> bytes:
        self.request_count += 1
        named = {"Content-Type": "application/json", "X-Request-Id": f"request-{self.request_count}"}
        return request(CHAT_PATH, named | (headers or {}), json.dumps(CHAT_BODY | changes).encode())

    async def ask(self, begun: trio.Event | None = None, headers: dict[str, str] | None = None, **changes: Any) -> str:
        return await ask(self.address, self.message(headers, **changes), begun)

    def take_recorded(self, **clients: Any) -> dict[str, Any]:
        return messages_by_role(self.engines) | {"clients": clients}

    async def wait_until_idle(self, generations: int) -> None:
        """Waits until `generations` requests have ended and the engines have received nothing for a while."""
        await wait_until_logged(self.log, "generation", generations)
        await wait_until_quiet(self.engines)


@asynccontextmanager
async def chat(folder: Path, *names: str, **changes: Any) -> AsyncIterator[Chat]:
    """A chat gateway with these engines: names beginning with r prefill, with w decode, with m do both."""
    (reserved, address), (metrics_reserved, metrics) = reserved_address(), reserved_address()
    async with trio.open_nursery() as nursery:
        engines = {name: Peer(nursery, {}) for name in names}
        for name, peer in engines.items():
            await peer.start()
            peer.script(f"POST {CHAT_PATH}", (ENGINE_PREFILL_ANSWER if name[0] == "r" else STREAM,))
            peer.script("POST /ternlane/v1/release", (RELEASE_ANSWER,))
            peer.script("GET /metrics", (plain("200 OK", b"vllm:num_requests_running 1\n"),))
        roles = {"r": "read", "w": "write", "m": "both"}
        configuration = {
            "name": "g1",
            "listen": address,
            "metrics": metrics,
            "products": [
                {"name": name, "effect": effect, "slo_ms": 8000, "tok_slo_ms": 4000, "limit_ms": 20000, "revenue": 3}
                for name, effect in (("summary", "idempotent"), ("note", "side-effecting"))
            ],
            "fleet": {"connect_ms": 2000, "release_ms": 4000, "longest_pause_ms": 500} | changes.pop("fleet", {}),
            "nodes": {
                "from": "inline",
                "nodes": [
                    {
                        "id": name,
                        "address": peer.address,
                        "zone": "hall",
                        "cell": 0,
                        "duty": roles[name[0]],
                        "mem_toks": 200000,
                        "state": "up",
                    }
                    for name, peer in engines.items()
                ],
            },
        } | changes
        document, log = folder / "gateway.json5", folder / "log"
        document.write_text(json.dumps(configuration))
        async with running([*CHAT_GATEWAY, str(document)], log, {}) as process:
            yield Chat(address, metrics, document, log, process, engines, configuration)
        nursery.cancel_scope.cancel()
    reserved.close()
    metrics_reserved.close()


async def test_chat_answers(tmp_path: Path) -> None:
    """Answers that are streamed with and without usage, and not streamed."""
    async with chat(tmp_path, "r0", "w0") as c:
        seen = {}
        for name, changes in (
            ("streamed", {"stream": True}),
            ("streamed with usage", {"stream": True, "stream_options": {"include_usage": True}}),
            ("whole", {"max_completion_tokens": 9, "temperature": 0.5}),
        ):
            answer = await c.ask(**changes)
            seen[name] = c.take_recorded(answer=answer)
        pin("chat_answers", seen)


async def test_chat_of_one_engine_for_both(tmp_path: Path) -> None:
    """Prefill and decode in one attempt."""
    async with chat(tmp_path, "m0") as c:
        pin("chat_both", c.take_recorded(streamed=await c.ask(stream=True)))


ENGINE_NOT_RUN_ANSWER = plain("503 No", b"", "x-ternlane-not-run: full")
CHAT_RETRIES: dict[str, tuple[str, str, Answer]] = {
    "prefill_full": ("summary", "r", (ENGINE_NOT_RUN_ANSWER,)),
    "decode_full": ("summary", "w", (ENGINE_NOT_RUN_ANSWER,)),
    "decode_failed": ("summary", "w", (plain("500 No"),)),
    "state_lost": ("summary", "w", (plain("503 No", b"", "x-ternlane-not-run: no-state"),)),
    "decode_may_have_run": ("note", "w", (plain("500 No"),)),
    "stream_cut": ("note", "w", (STREAM_HEAD + text_event("one "), CLOSE)),
}


@pytest.mark.parametrize("scene", CHAT_RETRIES)
async def test_chat_retries_and_fails(tmp_path: Path, scene: str) -> None:
    """Attempts that were rejected or failed, the retries, and final failures."""
    async with chat(tmp_path, "r0", "r1", "w0", "w1") as c:
        model, initial, first = CHAT_RETRIES[scene]
        then = ENGINE_PREFILL_ANSWER if initial == "r" else STREAM
        share_answers(c.engines, initial, f"POST {CHAT_PATH}", first, (then,))
        answer = await c.ask(stream=True, model=model)
        await c.wait_until_idle(1)
        answer = re.sub(r"Terminated: w\d: ", "Terminated: <server>: ", answer)
        pin(f"chat_retries_{scene}", c.take_recorded(answer=answer))


async def test_chat_shuts_down(tmp_path: Path) -> None:
    """During a shutdown: a stream that continues, and a request completed late."""
    async with chat(tmp_path, "r0", "w0") as c:
        begun, late = trio.Event(), trio.Event()
        c.engines["w0"].script(
            f"POST {CHAT_PATH}", (STREAM_HEAD + text_event("one "), late, text_event("two") + USAGE + STREAM_END)
        )
        answers: dict[str, str] = {}

        async def open_stream() -> None:
            answers["open stream"] = await c.ask(begun, stream=True)

        async with trio.open_nursery() as nursery, connected(c.address) as half:
            nursery.start_soon(open_stream)
            await begun.wait()
            message = c.message(stream=True)
            await half.send_all(message[:-5])
            await trio.sleep(0.1)  # it has been read
            c.process.send_signal(signal.SIGTERM)
            await wait_until_logged(c.log, "draining")
            await trio.sleep(0.5)
            await half.send_all(message[-5:])
            answers["late request"] = await receive_all(half)
            late.set()
        assert await wait_for_exit(c.process) == 0
        pin("chat_shuts_down", c.take_recorded(**answers))


async def test_chat_rejects(tmp_path: Path) -> None:
    """Without a decode engine the request is rejected with a retry time."""
    async with chat(tmp_path, "r0") as c:
        pin("chat_rejects", c.take_recorded(rejected=await c.ask(stream=True)))


async def test_chat_client_leaves(tmp_path: Path) -> None:
    """A client that disconnects before decode begins, and within the stream."""
    async with chat(tmp_path, "r0", "w0") as c:
        seen = {}
        for name, answer in (
            ("before decode begins", (UNTIL_CLOSED,)),
            ("within the stream", (STREAM_HEAD + text_event("one "), UNTIL_CLOSED)),
        ):
            c.engines["w0"].script(f"POST {CHAT_PATH}", answer)
            async with connected(c.address) as stream:
                await stream.send_all(c.message(stream=True))
                await c.engines["w0"].until("POST")
                if name == "within the stream":
                    await stream.receive_some()
            await c.wait_until_idle(c.request_count)
            seen[name] = c.take_recorded()
        pin("chat_client_leaves", seen)


async def test_chat_refuses(tmp_path: Path) -> None:
    """Invalid requests."""
    async with chat(tmp_path, "r0", "w0", door={"body_bytes": 2000, "head_ms": 500, "body_ms": 500}) as c:
        answers = {name: await ask(c.address, message) for name, message in BAD_HEADS.items()}
        for name, changes in (
            ("no messages", {"messages": []}),
            ("bad role", {"messages": [{"role": "robot", "content": "a"}]}),
            ("bad stream", {"stream": "yes"}),
            ("several answers", {"n": 3}),
            ("no such model", {"model": "nobody"}),
            ("too large", {"messages": [{"role": "user", "content": "x" * 3000}]}),
        ):
            answers[name] = await c.ask(**changes)
        for path in ("/v1/else", CHAT_PATH, "/v1/models", "/health", "/health/ready", "/healthz", "/readyz"):
            answers[f"GET {path}"] = await ask(c.address, get(path))
        answers["bad time limit"] = await c.ask(headers={"X-Ternlane-Time-Limit-Ms": "soon"})
        pin("chat_refuses", c.take_recorded(**answers))


def metric_names(text: str) -> list[str]:
    """The metrics' comment lines, and the samples' names with their label names."""
    names = set()
    for line in text.partition("\r\n\r\n")[2].splitlines():
        if line.startswith("#"):
            names.add(line)
        else:
            name, _, labels = line.partition("{")
            names.add(name.split(" ")[0] + "{" + ",".join(re.findall(r'(\w+)="', labels)) + "}")
    return sorted(names)


async def test_chat_log_and_metric_names(tmp_path: Path) -> None:
    """The events of the log with their fields, and the metrics with their labels, after each kind of outcome."""
    async with chat(tmp_path, "r0", "w0", fleet={"ask_load": True, "release_ms": 600}) as c:
        await c.ask(stream=True)
        for engine in c.engines.values():
            engine.script("POST /ternlane/v1/release", (plain("500 No"),))
        c.engines["w0"].script(f"POST {CHAT_PATH}", (plain("500 No"),))
        await c.ask(stream=True, model="note")
        await wait_until_logged(c.log, "release unheard")
        c.engines["w0"].script(f"POST {CHAT_PATH}", (STREAM_HEAD + text_event("one "), CLOSE))
        await c.ask(stream=True, model="note")
        await c.ask(n=3)
        await c.wait_until_idle(3)
        metrics = await ask(c.metrics, get("/metrics"))
        nowhere = await ask(c.metrics, get("/else"))
        c.document.write_text("{")
        c.process.send_signal(signal.SIGHUP)
        await wait_until_logged(c.log, "reload refused")
        c.document.write_text(json.dumps(c.configuration))
        c.process.send_signal(signal.SIGHUP)
        await wait_until_logged(c.log, "reloaded")
        c.process.send_signal(signal.SIGTERM)
        assert await wait_for_exit(c.process) == 0
        head = metrics.partition("\r\n\r\n")[0]
        head = re.sub(r"(?i)(content-length): \d+", r"\1: <masked>", head)
        pin("chat_metric_names", {"head": head, "names": metric_names(metrics), "elsewhere": nowhere})
        pin("chat_log_names", names_in_log(c.log))


# -- the simulator's adapter


class Adapter:
    """The adapter's process, and all lines to and from it."""

    def __init__(self) -> None:
        self.process = subprocess.Popen(
            SIMULATOR_ADAPTER, cwd=ROOT, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
        )
        self.lines: list[str] = []

    def batch(self, *lines: str) -> list[str]:
        """Writes a batch and returns the answer without its last line."""
        assert self.process.stdin is not None and self.process.stdout is not None
        self.process.stdin.write("\n".join([*lines, "EOB"]) + "\n")
        self.process.stdin.flush()
        answer: list[str] = []
        while not answer or answer[-1] != "YIELD":
            line = self.process.stdout.readline()
            assert line, "the adapter has ended"
            answer.append(re.sub(r" \(\w+: .*\)$", " (<reason>)", line.rstrip("\n")))
        self.lines += [f"> {line}" for line in lines] + [f"< {line}" for line in answer]
        return answer[:-1]

    def end(self) -> None:
        assert self.process.stdin is not None and self.process.stdout is not None
        self.process.stdin.close()
        assert self.process.wait(WITHIN_S) == 0
        self.process.stdout.close()


@pytest.fixture
def adapter() -> Iterator[Adapter]:
    made = Adapter()
    yield made
    if made.process.poll() is None:
        made.end()


SIMULATED = SETTINGS | {"limits": SETTINGS["limits"] | {"connect_timeout": 150.0, "conn_idle": 2000.0}}
SIMULATED |= {
    "specifics": SETTINGS["specifics"] | {"release": 400.0},
    "profiles": [
        {"aim": 500.0, "deadline": 2000.0, "name": "summary", "semantics": "idempotent", "worth": 3.0},
        {"aim": 500.0, "deadline": 1500.0, "name": "note", "semantics": "at_most_once", "worth": 2.0},
    ],
}
VARIANTS: dict[str, dict[str, Any]] = {
    "simple": {},
    "asked": {
        "discovery": "ask",
        "report": {"columns": ["outstanding", "x0"], "how": "on_probe"},
        "limits": SIMULATED["limits"] | {"reserve": True},
        "n_instances": 2,
    },
}


def enlist(variant: str) -> str:
    """The line that creates a gateway with these settings."""
    return f"ENLIST 1 7 {json.dumps(SIMULATED | VARIANTS[variant])}"


ROWS = [
    f"ROW {name} hall {'reader' if name[0] == 'r' else 'writer'} {name[1]} healthy 1.0 0.0"
    for name in ("r0", "w0", "r1", "w1")
]
WORK_ITEM = "WORK_ITEM 1 {} 8 - ab summary 20 1500 0 c1 40 -"


def test_adapter_script(adapter: Adapter) -> None:
    """Each kind of line in a fixed order, including malformed ones."""
    for lines in (
        ["MARK 1.0"],
        ["MARK 2.0", enlist("simple")],
        ["MARK 3.0", "ANNOUNCE 1 Complete 1 4", *ROWS],
        ["MARK 4.0", WORK_ITEM.format(1)],
        ["MARK 9.0", "REPORT_BACK 1 1 0 r0 prefilled 5.0 0 4 1,0.1"],
        ["MARK 9.5", "REPORT_BACK 1 1 0 r1 prefilled 5.0 0 4 1,0.1"],
        ["MARK 12.0", "FLOWING 1 1 1 w0 3.0", "NOTE 1 1 0 w0 1"],
        ["MARK 15.0", "REPORT_BACK 1 1 1 w0 S 6.0 1 8 1,0.1", "REPORT_BACK 1 1 1 w1 S 6.0 1 8 1,0.1"],
        ["MARK 20.0", WORK_ITEM.format(2), WORK_ITEM.format(3).replace("summary", "note")],
        ["MARK 21.0", "EXPIRED 1 2", "DEADLINE_HIT 1 0", "DEADLINE_HIT 1 1"],
        ["MARK 22.0", "CHECK_RESULT 1 0 w0 S 1,0.2", "CHECK_RESULT 1 0 nobody S 1,0.2", "WHISPER 1 2 text"],
        ["MARK 23.0", "ANNOUNCE 1 Partial 2 1", "ROW w1 hall writer 1 cordoned 1.0 0.0"],
        ["MARK 24.0", "ANNOUNCE 1 Error 3 0"],
        ["MARK 25.0", "ANNOUNCE 1 Complete 4 1", ROWS[0]],
        ["MARK 26.0", WORK_ITEM.format(4)],
        ["MARK 27.0", "REPORT_BACK 1 99 0 r0 S 1 1 0 -"],
        ["MARK soon"],
        ["MARK 28.0", "WORK_ITEM 1 5 8"],
        ["MARK 28.0", "DEADLINE_HIT 1"],
        ["MARK 29.0", "NONSENSE 1 2 3"],
        ["MARK 30.0", "SHUTDOWN 1"],
        ["MARK 31.0", WORK_ITEM.format(6)],
    ):
        adapter.batch(*lines)
    adapter.end()
    pin("adapter_script", adapter.lines)


class Simulation:
    """A small simulator: the outcome of an attempt follows from its request, number and server, and timers fire."""

    PREFILL_OUTCOMES = ("prefilled",) * 12 + ("F", "E", "C", "R")
    DECODE_OUTCOMES = ("S",) * 12 + ("F", "E", "C", "R", "T")

    def __init__(self, adapter: Adapter) -> None:
        self.adapter = adapter
        self.due: list[tuple[float, int, list[str]]] = []
        self.count = 0
        self.attempts: dict[str, int] = {}
        self.open: dict[tuple[str, int], str] = {}

    def at(self, when: float, *lines: str) -> None:
        self.count += 1
        heappush(self.due, (round(when, 3), self.count, list(lines)))

    def run(self, until: float) -> None:
        while self.due and self.due[0][0] <= until:
            now, _, lines = heappop(self.due)
            if self.is_stale(lines):
                continue
            for line in self.adapter.batch(f"MARK {now}", *lines):
                self.execute(now, line.split(" "))

    def is_stale(self, lines: list[str]) -> bool:
        """Whether these lines report an attempt that has been cancelled meanwhile."""
        part = lines[0].split(" ")
        if part[0] not in ("FLOWING", "REPORT_BACK"):
            return False
        key = part[2], int(part[3])
        return key not in self.open or (part[0] == "REPORT_BACK" and not self.open.pop(key))

    def execute(self, now: float, part: list[str]) -> None:
        match part:
            case ["ARM", gateway, kind, when]:
                self.at(max(now, float(when)), f"DEADLINE_HIT {gateway} {kind}")
            case ["FORWARD", gateway, request_number, timeout, server]:
                self.forward(now, gateway, request_number, float(timeout), server)
            case ["CALL_OFF", gateway, request_number, attempt]:
                server = self.open.pop((request_number, int(attempt)), "")
                if server:
                    self.at(now, f"REPORT_BACK {gateway} {request_number} {attempt} {server} X 1.0 0 0 -")
            case ["SUBSCRIBE", gateway, _]:
                self.at(now + 5, f"ANNOUNCE {gateway} Complete 5 4", *ROWS)
            case ["RESERVE", gateway, request_number, server]:
                self.at(now + 1, f"NOTE {gateway} {request_number} 0 {server} 1")
            case ["ASK_LOAD", gateway, server]:
                self.at(now + 2, f"CHECK_RESULT {gateway} 0 {server} S 1,0.2")

    def forward(self, now: float, gateway: str, request_number: str, timeout: float, server: str) -> None:
        attempt = self.attempts[request_number] = self.attempts.get(request_number, -1) + 1
        self.open[request_number, attempt] = server
        draw = crc32(f"{request_number} {attempt} {server}".encode())
        outcomes = self.PREFILL_OUTCOMES if server[0] == "r" else self.DECODE_OUTCOMES
        outcome = outcomes[draw % len(outcomes)]
        took = timeout if outcome == "T" else min(timeout, 5.0 + draw // 64 % 200)
        head = f"{gateway} {request_number} {attempt} {server}"
        if outcome == "S":
            self.at(now + took / 2, f"FLOWING {head} {took / 2}")
        over = int(outcome == "S")
        self.at(now + took, f"REPORT_BACK {head} {outcome} {took} {over} 4 {draw % 7},0.2")


@pytest.mark.parametrize("variant", VARIANTS)
def test_adapter_simulation(adapter: Adapter, variant: str) -> None:
    """Requests of two classes with every kind of outcome for three seconds, in which a server is lost and returns."""
    simulation = Simulation(adapter)
    simulation.at(1.0, enlist(variant))
    simulation.at(2.0, "ANNOUNCE 1 Complete 1 4", *ROWS)
    for number in range(80):
        request_class = "note" if number % 3 == 0 else "summary"
        line = (
            f"WORK_ITEM 1 {number} {number % 4 * 100} - o{number % 4} {request_class} "
            f"{200 + number * 7} 1500 0 c{number % 9}"
        )
        simulation.at(10.0 + 25.0 * number, f"{line} 40 -")
        if number % 11 == 5:
            simulation.at(60.0 + 25.0 * number, f"EXPIRED 1 {number}")
    simulation.at(1000.0, "ANNOUNCE 1 Partial 2 1", ROWS[3].replace("healthy", "deregistered"))
    simulation.at(1500.0, "ANNOUNCE 1 Error 3 0")
    simulation.at(2000.0, "ANNOUNCE 1 Complete 4 4", *ROWS)
    simulation.run(3000.0)
    adapter.end()
    pin(f"adapter_simulation_{variant}", adapter.lines)
