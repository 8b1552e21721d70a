"""A fake model server of the platform."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import pairwise

import trio

from ternlane.http1 import Exchange, serve_connection
from ternlane.testing.platform.answers import DONE, EVENT, FAULTY_ANSWERS, GOOD_ANSWER, USAGE
from ternlane.testing.platform.fleet import FakeFleet
from ternlane.testing.platform.gate import Gate
from ternlane.testing.sockets import address_of, listen_on_loopback

PREFILL_ROLE = "read"
DECODE_ROLE = "write"
LEASES_PATH = "/kv/leases/"
MAX_BODY_BYTES = 2**18
REQUEST_TIMEOUT_MS = 5e3  # to receive a request head or body, or for the client to read a response
IDLE_TIMEOUT_MS = 30e3
PREFILL_AFTER_DISCONNECT_S = 0.05  # how long a prefill continues after its client has disconnected
FAULTY_ANSWER_TIMEOUT_S = 5  # for the gateway to disconnect after a faulty answer
PIECES = 13  # number of pieces of an answer that is split at random places
PIECE_PAUSE_S = 0.001


@dataclass(eq=False)
class FakeModelServer:
    """Listens on loopback. Faults can be set at any time."""

    name: str
    role: str  # "read" (prefill) or "write" (decode)
    fleet: FakeFleet
    # The fault of an attempt, by request id: "" for none, "silent", "late_state", "pieces", "interim", "odd_load",
    # "second_answer", or a name in FAULTY_ANSWERS.
    fault_of: Callable[[str], str] = lambda _: ""
    prefill_ms: float = 1.0
    event_ms: float = 1.0
    events: int = 2
    never_reads: bool = False  # accepts connections, but reads and sends nothing
    lease_call_fault: str = ""  # fault of lease calls: "silent", or a name in FAULTY_ANSWERS
    # Points at which the server can be paused: "request" (received, nothing done yet), "queue" (a decode waits for its
    # state), "event" (one event has been sent), "end" (all but the last chunk has been sent), "lease" (a lease call has
    # been received), "second" (before the surplus answer of the fault
    # "second_answer").
    gates: dict[str, Gate] = field(default_factory=dict)
    address: str = ""
    listener: trio.SocketListener | None = None

    async def start(self) -> None:
        """Listens, at the previous address if there is one."""
        self.listener = await listen_on_loopback(self.address)
        self.address = address_of(self.listener)
        self.fleet.nursery.start_soon(self._accept, self.listener)

    def stop(self) -> None:
        """Accepts no new connections; open ones are still served."""
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
            if self.never_reads:
                await trio.sleep_forever()
            await serve_connection(
                stream,
                self._handle,
                body_bytes=MAX_BODY_BYTES,
                head_ms=REQUEST_TIMEOUT_MS,
                body_ms=REQUEST_TIMEOUT_MS,
                idle_ms=IDLE_TIMEOUT_MS,
                send_ms=REQUEST_TIMEOUT_MS,
            )
        finally:
            self.fleet.conns[self.name] -= 1

    async def _pass_gate(self, point: str) -> None:
        if point in self.gates:
            await self.gates[point].hold()

    async def _handle(self, exchange: Exchange) -> None:
        if exchange.path.startswith(LEASES_PATH):
            await self._serve_lease_call(exchange, exchange.path.removeprefix(LEASES_PATH))
        elif exchange.path == "/stats":
            self.fleet.seen.append((self.name, "probe", ""))
            await exchange.answer(200, [], b"inflight=1,x0=0.1", "text/plain")
        else:
            await self._serve_request(exchange, exchange.header(b"request-id") or "")

    async def _serve_lease_call(self, exchange: Exchange, request_id: str) -> None:
        self.fleet.seen.append((self.name, exchange.method, request_id))
        await self._pass_gate("lease")
        if self.lease_call_fault:
            await self._send_faulty(exchange, self.lease_call_fault)
            return
        await trio.sleep(self.fleet.release_delay_ms / 1000)
        if exchange.method == "DELETE" and request_id not in self.fleet.queued:
            self.fleet.end_hold(request_id)
        await exchange.answer(204, [], b"")

    async def _serve_request(self, exchange: Exchange, request_id: str) -> None:
        self.fleet.seen.append((self.name, self.role, request_id))
        if self.role == DECODE_ROLE and self.fleet.run_counts[request_id]:
            self.fleet.repeated_after_run.add(request_id)
        self.fleet.stated_timeouts_s.append(float(exchange.header(b"request-timeout") or "nan"))
        self.fleet.open[self.name] += 1
        try:
            await self._pass_gate("request")
            await self._serve_attempt(exchange, request_id, self.fault_of(request_id))
        finally:
            self.fleet.open[self.name] -= 1

    async def _serve_attempt(self, exchange: Exchange, request_id: str, fault: str) -> None:
        """Serves an attempt according to the server's role and the fault."""
        if fault == "silent":
            await exchange.wait_until_disconnected()
        elif fault == "late_state":  # the prefill continues for a while after its client has disconnected
            await exchange.wait_until_disconnected()
            await trio.sleep(PREFILL_AFTER_DISCONNECT_S)
            self.fleet.hold(request_id, self.name)
        elif self.role == PREFILL_ROLE and not fault:
            await self._prefill(exchange, request_id)
        elif self.role == DECODE_ROLE:
            await self._decode(exchange, request_id, fault)
        else:
            await self._answer(exchange, request_id, fault)

    async def _prefill(self, exchange: Exchange, request_id: str) -> None:
        with trio.move_on_after(self.prefill_ms / 1000):
            await exchange.wait_until_disconnected()
            return  # the client has disconnected, which cancels the prefill
        self.fleet.hold(request_id, self.name)
        await exchange.answer(202, [("Server-Load", "inflight=1,x0=0.1")], b'{"cached_tokens":4}')

    async def _decode(self, exchange: Exchange, request_id: str, fault: str) -> None:
        if not fault.startswith(("status_", "full_", "gone_")):  # a refusal comes before the state is taken
            if await self._take_state(request_id):
                self.fleet.run_counts[request_id] += 1
            else:
                fault = "gone_410"
        await self._answer(exchange, request_id, fault)

    async def _take_state(self, request_id: str) -> bool:
        """Waits in the queue and takes the state; returns whether it was still held. Meanwhile no DELETE releases that
        state, by the protocol."""
        self.fleet.queued.add(request_id)
        try:
            await self._pass_gate("queue")
            return self.fleet.end_hold(request_id)
        finally:
            self.fleet.queued.discard(request_id)

    async def _answer(self, exchange: Exchange, request_id: str, fault: str) -> None:
        match fault:
            case "pieces":
                await self._send_in_pieces(exchange, request_id)
            case "interim":
                await exchange.stream.send_all(b"HTTP/1.1 102 Processing\r\n\r\n" * 3)
                await self._stream(exchange, [])
            case "odd_load":
                await self._stream(exchange, [("Server-Load", "inflight=,,=%$")])
            case "second_answer":
                await self._stream(exchange, [])
                await self._pass_gate("second")
                await exchange.stream.send_all(GOOD_ANSWER)
            case "":
                await self._stream(exchange, [])
            case _:
                await self._send_faulty(exchange, fault)

    async def _stream(self, exchange: Exchange, more_headers: list[tuple[str, str]]) -> None:
        headers = [("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked"), *more_headers]
        await exchange.begin(200, headers, EVENT)
        await self._pass_gate("event")
        for _ in range(self.events - 1):
            await trio.sleep(self.event_ms / 1000)
            await exchange.chunk(EVENT)
        await exchange.chunk(USAGE)
        await self._pass_gate("end")
        await exchange.end(DONE + b": Server-Load: inflight=2,x0=0.2\n\n")

    async def _send_in_pieces(self, exchange: Exchange, request_id: str) -> None:
        """Sends a good answer in pieces split at random places, which depend only on the request id."""
        whole = GOOD_ANSWER.replace(b"transfer", b"connection: close\r\ntransfer", 1)
        cuts = sorted(random.Random(request_id).sample(range(1, len(whole)), PIECES - 1))
        for begin, end in pairwise([0, *cuts, len(whole)]):
            await exchange.stream.send_all(whole[begin:end])
            await trio.sleep(PIECE_PAUSE_S)
        exchange.reset()

    async def _send_faulty(self, exchange: Exchange, fault: str) -> None:
        """Sends a faulty answer. `fault` is "silent" or a name in FAULTY_ANSWERS."""
        if fault != "silent":
            await exchange.stream.send_all(FAULTY_ANSWERS[fault])
        if not fault.endswith("cut"):  # names that end in "cut": the server disconnects right after the answer
            with trio.move_on_after(FAULTY_ANSWER_TIMEOUT_S):
                await exchange.wait_until_disconnected()
        exchange.reset()
