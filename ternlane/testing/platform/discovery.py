"""A fake discovery agent of the platform: serves the whole endpoint list, and watches with heartbeats."""

from __future__ import annotations

import json
from typing import Any

import trio

from ternlane.http1 import Exchange, serve_connection
from ternlane.testing.platform.gate import Gate
from ternlane.testing.sockets import address_of, listen_on_loopback

HEARTBEAT_MS = 2000.0
REQUEST_TIMEOUT_MS = 5e3  # to receive a request head, or for the client to read a response
IDLE_TIMEOUT_MS = 30e3


class FakeDiscovery:
    """Serves the endpoint list. Faults can be set at any time."""

    def __init__(self, nursery: trio.Nursery, heartbeat_ms: float = HEARTBEAT_MS) -> None:
        """Listens from `start` on."""
        self.nursery = nursery
        self.heartbeat_ms = heartbeat_ms
        self.index = 1  # version of the list
        self.log: list[dict[str, Any]] = [{}]  # the change of each version
        self.entries: dict[str, dict[str, Any]] = {}
        self.asked: list[str] = []  # the start index of each watch request
        self.watching = 0  # open watches
        self.silent = False  # sends nothing
        self.garbage = b""  # sent in place of the next change
        self.indent: int | None = None  # indentation of the JSON
        self.truncate_at = 0  # if set, the next change is cut after this many bytes and its connection reset
        self.gates: dict[str, Gate] = {}  # "watch": on a watch request; "list": before the next line of a watch
        self.address = ""
        self.changed = trio.Event()
        self._silenced_watches = 0  # number of watch requests, from the first on, that are sent nothing more
        self.conns: set[trio.SocketStream] = set()

    def put(
        self, name: str, address: str, kind: str, status: str = "SERVING", group: int = 0, since_ms: float = 0.0
    ) -> None:
        """Adds or changes an endpoint; the status DELETED removes it."""
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
        """Returns the whole list in the protocol's format."""
        return {"index": self.index, "snapshot": True, "endpoints": list(self.entries.values())}

    async def start(self) -> None:
        """Listens, at the previous address if there is one."""
        self.listener = await listen_on_loopback(self.address)
        self.address = address_of(self.listener)
        self.nursery.start_soon(self._accept, self.listener)

    def start_outage(self, silent: bool, listening: bool) -> None:
        """Takes the agent out of service: it sends nothing, or with `listening` unset closes all connections too."""
        self.silent = silent
        if not listening:
            self.listener.socket.close()
            for stream in list(self.conns):
                stream.socket.close()

    def silence_open_watches(self) -> None:
        """Sends nothing more on the watches that are open now; new ones are served."""
        self.silent = False
        self._silenced_watches = len(self.asked)

    async def end_outage(self) -> None:
        """Serves new requests again; requests that already hang stay unanswered."""
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
                stream,
                self._handle,
                body_bytes=0,
                head_ms=REQUEST_TIMEOUT_MS,
                body_ms=REQUEST_TIMEOUT_MS,
                idle_ms=IDLE_TIMEOUT_MS,
                send_ms=REQUEST_TIMEOUT_MS,
            )
        finally:
            self.conns.discard(stream)

    async def _handle(self, exchange: Exchange) -> None:
        if "stream=1" not in exchange.query:
            await exchange.answer(200, [], json.dumps(self.listing()).encode())
            return
        index = int(exchange.query.rpartition("=")[2])
        self.asked.append(str(index))
        number = len(self.asked)
        self.watching += 1
        try:
            await self._watch(exchange, index, number)
        finally:
            self.watching -= 1

    async def _pass_gate(self, point: str) -> None:
        if point in self.gates:
            await self.gates[point].hold()

    def _is_silent(self, watch_number: int) -> bool:
        return self.silent or watch_number <= self._silenced_watches

    async def _watch(self, exchange: Exchange, index: int, number: int) -> None:
        """Sends what changed since `index`, until the client disconnects or a change is truncated."""
        await self._pass_gate("watch")
        if self.silent:
            await trio.sleep_forever()
        await exchange.begin(200, [("Transfer-Encoding", "chunked")])
        if index > self.index or index == 0:
            await exchange.chunk(json.dumps(self.listing()).encode() + b"\n")
            index = self.index
        while True:
            if self._is_silent(number):
                await trio.sleep_forever()
            await self._pass_gate("list")
            if index >= self.index:
                await self._wait_or_heartbeat(exchange, number)
                continue
            line = self._change_since(index)
            index = self.index
            if self.truncate_at:
                await self._send_truncated(exchange, line)
                return
            await exchange.chunk(line + b"\n")

    def _change_since(self, index: int) -> bytes:
        if self.garbage:
            line = self.garbage
            self.garbage = b""
            return line
        change = {"index": self.index, "snapshot": False, "endpoints": self.log[index : self.index]}
        return json.dumps(change, indent=self.indent).encode()

    async def _send_truncated(self, exchange: Exchange, line: bytes) -> None:
        line = line[: self.truncate_at]
        self.truncate_at = 0
        await exchange.chunk(line)
        exchange.reset()

    async def _wait_or_heartbeat(self, exchange: Exchange, number: int) -> None:
        """Waits until the list changes; sends an empty line after a heartbeat interval without a change."""
        with trio.move_on_after(self.heartbeat_ms / 1000) as wait:
            await self.changed.wait()
        if wait.cancelled_caught and not self._is_silent(number):
            await exchange.chunk(b"\n")
