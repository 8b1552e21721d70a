"""Stand-ins for the platform's model servers and discovery, written from its protocol page.

What a server does with a request is scripted: `script` is asked for each leg and gives the name of a way to go wrong,
or "" for a good answer. What happens is kept in `Fleet.seen`.
"""

from __future__ import annotations

import json
import random
from collections import Counter
from dataclasses import dataclass, field
from typing import Any, Callable

import trio

from ternlane.http1 import Exchange, serve_connection

EVENT = b'data: {"choices":[{"index":0,"delta":{"content":"abcd"},"finish_reason":null}]}\n\n'
USAGE = (
    b'data: {"choices":[],"usage":{"prompt_tokens":8,"completion_tokens":4,'
    b'"prompt_tokens_details":{"cached_tokens":4}}}\n\n'
)
DONE = b"data: [DONE]\n\n"
HEAD = b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"


def framed(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


GOOD = HEAD + framed(EVENT) + framed(EVENT) + framed(USAGE) + framed(DONE) + b"0\r\n\r\n"
# Answers by raw bytes; the connection then stays open, or closes where the name ends in "cut".
RAW = {
    "noise": b"\x80\xca\x54\xeb\r\n\r\n" * 8,
    "odd_status": b"HTTP/1.1 2x0 OK\r\n\r\n",
    "endless_head": b"HTTP/1.1 200 OK\r\n" + b"x-more: of the same\r\n" * 4096,
    "first_not_event": HEAD + framed(b"what is this\n\n"),
    "first_not_json": HEAD + framed(b"data: {nonsense\n\n"),
    "first_chunk_bad": HEAD + b"zz\r\n" + EVENT + b"\r\n",
    "later_chunk_bad": HEAD + framed(EVENT) + b"-1\r\n" + EVENT + b"\r\n",
    "later_chunk_misfit": HEAD + framed(EVENT) + b"%x\r\n" % (len(EVENT) - 9) + EVENT + b"\r\n",
    "later_noise": HEAD + framed(EVENT) + framed(b"\x00\x01\x02 noise"),
    "huge_chunk": HEAD + framed(EVENT) + b"c0000000\r\n" + b"z" * 400_000,
    "endless_event": HEAD + framed(EVENT) + b"c0000000\r\ndata: {" + b"z" * 400_000,
    "later_not_event": HEAD + framed(EVENT) + framed(b"what is this\n\n") + framed(DONE) + b"0\r\n\r\n",
    "later_silent": HEAD + framed(EVENT),
    "opening_cut": HEAD,
    "later_cut": HEAD + framed(EVENT),
    "no_done": HEAD + framed(EVENT) + b"0\r\n\r\n",
    "status_500": b"HTTP/1.1 500 No\r\ncontent-length: 0\r\n\r\n",
    "status_503": b"HTTP/1.1 503 No\r\ncontent-length: 0\r\n\r\n",
    "full_503": b"HTTP/1.1 503 No\r\nnot-started: 1\r\ncontent-length: 0\r\n\r\n",
    "full_504": b"HTTP/1.1 504 No\r\nnot-started: 1\r\ncontent-length: 0\r\n\r\n",
    "gone_410": b"HTTP/1.1 410 No\r\nnot-started: 1\r\ncontent-length: 0\r\n\r\n",
}


class Gate:
    """A point at which a stand-in waits until it is told to go on. Tests force an order of events with it."""

    def __init__(self) -> None:
        self.reached, self.opened = trio.Event(), trio.Event()

    async def hold(self) -> None:
        """Waits here, whoever comes, until `open`."""
        self.reached.set()
        await self.opened.wait()

    def open(self) -> None:
        self.opened.set()


@dataclass(eq=False)
class Fleet:
    """What all servers share, as on the platform: states by request, and who holds them."""

    nursery: trio.Nursery
    states: dict[str, str] = field(default_factory=dict)
    held_since_s: dict[str, float] = field(default_factory=dict)  # by request, by trio's clock
    longest_held_s: float = 0.0  # of the states that are no more
    awaited: set[str] = field(default_factory=set)  # requests whose attempt has arrived and waits for its state
    seen: list[tuple[str, str, str]] = field(default_factory=list)  # server, kind of call, id
    spread_ms: float = 0.0  # until a DELETE has reached the other servers
    open: Counter[str] = field(default_factory=Counter)  # legs at each server now
    conns: Counter[str] = field(default_factory=Counter)
    ran: Counter[str] = field(default_factory=Counter)  # answers begun, by id
    repeated: set[str] = field(default_factory=set)  # ids that came to a decode server after one had run them
    told_s: list[float] = field(default_factory=list)  # the time that each attempt said it would wait

    def hold(self, request_id: str, server: str) -> None:
        """A prefill has ended, and its state waits."""
        self.states[request_id] = server
        self.held_since_s[request_id] = trio.current_time()

    def end_hold(self, request_id: str) -> bool:
        """Its state is taken or released. False where there was none."""
        if self.states.pop(request_id, None) is None:
            return False
        now_s = trio.current_time()
        self.longest_held_s = max(self.longest_held_s, now_s - self.held_since_s.pop(request_id, now_s))
        return True

    def longest_held_ms(self) -> float:
        """For how long any state was held, or is held by now."""
        now_s = trio.current_time()
        held_s = [now_s - since_s for since_s in self.held_since_s.values()]
        return max([self.longest_held_s, *held_s]) * 1000

    def count(self, kind: str) -> int:
        return sum(k == kind for _, k, _ in self.seen)


@dataclass(eq=False)
class ModelServer:
    name: str
    role: str  # "read" or "write"
    fleet: Fleet
    script: Callable[[str], str] = lambda _: ""
    read_ms: float = 1.0
    event_ms: float = 1.0
    events: int = 2
    mute: bool = False  # takes connections and says nothing
    lease_way: str = ""  # how calls for leases go wrong: "silent", or a name of RAW
    # Where it holds: "request" (whole, nothing done yet), "queue" (a decode waits for its state), "event" (one event
    # has been sent), "end" (all but the last chunk has been sent), "lease" (a call for a lease has come), "second"
    # (before a second answer).
    gates: dict[str, Gate] = field(default_factory=dict)
    address: str = ""
    listener: trio.SocketListener | None = None

    async def start(self) -> None:
        port = int(self.address.rpartition(":")[2] or 0)
        self.listener = (await trio.open_tcp_listeners(port, host="127.0.0.1"))[0]
        name = self.listener.socket.getsockname()
        self.address = f"{name[0]}:{name[1]}"
        self.fleet.nursery.start_soon(self._accept, self.listener)

    def stop(self) -> None:
        assert self.listener is not None
        self.listener.socket.close()

    async def _accept(self, listener: trio.SocketListener) -> None:
        while True:
            try:
                stream = await listener.accept()
            except (trio.ClosedResourceError, OSError):
                return
            self.fleet.nursery.start_soon(self._serve, stream)

    async def _serve(self, stream: trio.SocketStream) -> None:
        self.fleet.conns[self.name] += 1
        try:
            if self.mute:
                await trio.sleep_forever()
            await serve_connection(
                stream, self._handle, body_bytes=2**18, head_ms=5e3, body_ms=5e3, idle_ms=30e3, send_ms=5e3
            )
        finally:
            self.fleet.conns[self.name] -= 1

    async def _at(self, point: str) -> None:
        if point in self.gates:
            await self.gates[point].hold()

    async def _handle(self, exchange: Exchange) -> None:
        ident = exchange.header(b"request-id") or ""
        if exchange.path.startswith("/kv/leases/"):
            ident = exchange.path.removeprefix("/kv/leases/")
            self.fleet.seen.append((self.name, exchange.method, ident))
            await self._at("lease")
            if self.lease_way:
                return await self._spoil(exchange, self.lease_way)
            await trio.sleep(self.fleet.spread_ms / 1000)
            if exchange.method == "DELETE" and ident not in self.fleet.awaited:
                self.fleet.end_hold(ident)
            return await exchange.answer(204, [], b"")
        if exchange.path == "/stats":
            self.fleet.seen.append((self.name, "probe", ""))
            return await exchange.answer(200, [], b"inflight=1,x0=0.1", "text/plain")
        self.fleet.seen.append((self.name, self.role, ident))
        if self.role == "write" and self.fleet.ran[ident]:
            self.fleet.repeated.add(ident)
        self.fleet.told_s.append(float(exchange.header(b"request-timeout") or "nan"))
        self.fleet.open[self.name] += 1
        try:
            await self._at("request")
            await self._attempt(exchange, ident)
        finally:
            self.fleet.open[self.name] -= 1

    async def _attempt(self, exchange: Exchange, ident: str) -> None:
        way = self.script(ident)
        if way == "silent":
            await exchange.until_left()
            return
        if way == "late_state":  # its client has gone, and it reads on for a while
            await exchange.until_left()
            await trio.sleep(0.05)
            self.fleet.hold(ident, self.name)
            return
        if self.role == "read" and not way:
            with trio.move_on_after(self.read_ms / 1000):
                await exchange.until_left()
                return  # it was given up
            self.fleet.hold(ident, self.name)
            return await exchange.answer(202, [("Server-Load", "inflight=1,x0=0.1")], b'{"cached_tokens":4}')
        if self.role == "write" and not way.startswith(("status_", "full_", "gone_")):
            if await self._take_state(ident):
                self.fleet.ran[ident] += 1
            else:
                way = "gone_410"
        if way == "pieces":
            whole = GOOD.replace(b"transfer", b"connection: close\r\ntransfer", 1)
            cuts = sorted(random.Random(ident).sample(range(1, len(whole)), 12))
            for begin, end in zip([0, *cuts], [*cuts, len(whole)]):
                await exchange.stream.send_all(whole[begin:end])
                await trio.sleep(0.001)
            exchange.reset()
            return
        if way == "interim":
            await exchange.stream.send_all(b"HTTP/1.1 102 Processing\r\n\r\n" * 3)
        elif way and way not in ("second_answer", "odd_load"):
            return await self._spoil(exchange, way)
        load = [("Server-Load", "inflight=,,=%$")] if way == "odd_load" else []
        await exchange.begin(
            200, [("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked"), *load], EVENT
        )
        await self._at("event")
        for _ in range(self.events - 1):
            await trio.sleep(self.event_ms / 1000)
            await exchange.chunk(EVENT)
        await exchange.chunk(USAGE)
        await self._at("end")
        await exchange.end(DONE + b": Server-Load: inflight=2,x0=0.2\n\n")
        if way == "second_answer":
            await self._at("second")
            await exchange.stream.send_all(GOOD)

    async def _take_state(self, ident: str) -> bool:
        """Waits in the queue and takes the state. While it waits, no DELETE releases that state (users' page)."""
        self.fleet.awaited.add(ident)
        try:
            await self._at("queue")
            return self.fleet.end_hold(ident)
        finally:
            self.fleet.awaited.discard(ident)

    async def _spoil(self, exchange: Exchange, way: str) -> None:
        if way != "silent":
            await exchange.stream.send_all(RAW[way])
        if not way.endswith("cut"):
            with trio.move_on_after(5):
                await exchange.until_left()
        exchange.reset()


class Discovery:
    """The agent: the whole list, and a watch with its beat."""

    def __init__(self, nursery: trio.Nursery, beat_ms: float = 2000.0) -> None:
        self.nursery, self.beat_ms = nursery, beat_ms
        self.index, self.log = 1, [dict[str, Any]()]  # of each version, what changed
        self.entries: dict[str, dict[str, Any]] = {}
        self.changed = trio.Event()
        self.asked: list[str] = []  # indexes that watches began with
        self.silent = False
        self.garbage: bytes = b""  # said instead of the next change
        self.indent: int | None = None
        self.hushed = 0  # watches that were asked for by then say no more
        self.cut_at = 0  # the next list breaks off after so many bytes, and its connection with it
        self.gates: dict[str, Gate] = {}  # "watch": a watch was asked for; "list": before its next line
        self.conns: set[trio.SocketStream] = set()
        self.address = ""
        self.watching = 0

    def put(
        self, name: str, address: str, kind: str, status: str = "SERVING", group: int = 0, since_ms: float = 0.0
    ) -> None:
        entry = {
            "name": name,
            "address": address,
            "zone": "hall",
            "type": kind,
            "group": group,
            "status": status,
            "weight": 1.0,
            "since_ms": since_ms,
        }
        if status == "DELETED":
            self.entries.pop(name, None)
        else:
            self.entries[name] = entry
        self.index += 1
        self.log.append(entry)
        self.changed.set()
        self.changed = trio.Event()

    def listing(self) -> dict[str, Any]:
        return {"index": self.index, "snapshot": True, "endpoints": list(self.entries.values())}

    async def start(self) -> None:
        number = int(self.address.rpartition(":")[2] or 0)
        self.listener = (await trio.open_tcp_listeners(number, host="127.0.0.1"))[0]
        name = self.listener.socket.getsockname()
        self.address = f"{name[0]}:{name[1]}"
        self.nursery.start_soon(self._accept, self.listener)

    def break_off(self, silent: bool, listening: bool) -> None:
        """Out of service: it says no more, on open connections or new ones, or takes no new ones at all."""
        self.silent = silent
        if not listening:
            self.listener.socket.close()
            for stream in list(self.conns):
                stream.socket.close()

    def hush(self) -> None:
        """The watches that are open now say nothing any more; new ones are served."""
        self.silent, self.hushed = False, len(self.asked)

    async def mend(self) -> None:
        """New calls are served again; those that hang go on doing so."""
        self.silent = False
        if self.listener.socket.fileno() < 0:
            await self.start()

    async def _accept(self, listener: trio.SocketListener) -> None:
        while True:
            try:
                stream = await listener.accept()
            except trio.ClosedResourceError:
                return
            self.nursery.start_soon(self._serve, stream)

    async def _serve(self, stream: trio.SocketStream) -> None:
        self.conns.add(stream)
        try:
            await serve_connection(
                stream, self._handle, body_bytes=0, head_ms=5e3, body_ms=5e3, idle_ms=30e3, send_ms=5e3
            )
        finally:
            self.conns.discard(stream)

    async def _handle(self, exchange: Exchange) -> None:
        if "stream=1" not in exchange.query:
            return await exchange.answer(200, [], json.dumps(self.listing()).encode())
        at = int(exchange.query.rpartition("=")[2])
        self.asked.append(str(at))
        nth = len(self.asked)
        self.watching += 1
        try:
            if "watch" in self.gates:
                await self.gates["watch"].hold()
            if self.silent:
                await trio.sleep_forever()
            await exchange.begin(200, [("Transfer-Encoding", "chunked")])
            if at > self.index or at == 0:
                await exchange.chunk(json.dumps(self.listing()).encode() + b"\n")
                at = self.index
            while True:
                if self.silent or nth <= self.hushed:
                    await trio.sleep_forever()
                if "list" in self.gates:
                    await self.gates["list"].hold()
                if at < self.index:
                    said = (
                        self.garbage
                        or json.dumps(
                            {"index": self.index, "snapshot": False, "endpoints": self.log[at : self.index]},
                            indent=self.indent,
                        ).encode()
                    )
                    self.garbage, at = b"", self.index
                    if self.cut_at:
                        said, self.cut_at = said[: self.cut_at], 0
                        await exchange.chunk(said)
                        return exchange.reset()
                    await exchange.chunk(said + b"\n")
                else:
                    with trio.move_on_after(self.beat_ms / 1000) as beat:
                        await self.changed.wait()
                    if beat.cancelled_caught and not self.silent and nth > self.hushed:
                        await exchange.chunk(b"\n")
        finally:
            self.watching -= 1
