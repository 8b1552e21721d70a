"""A stand-in reader, writer or mixed server: slots, a queue, memory, kept texts, warm-up, and falling over.

Simple but true to what a gateway meets: work takes its time at the engine's present speed, waits in a bounded queue,
holds memory; a process that just started does only part of its work and falls over when it is sent too much.
"""

from __future__ import annotations

import random
import struct
import zlib
from collections import OrderedDict, deque
from dataclasses import dataclass, field
from typing import Any, Callable

import h11
import msgspec
import trio
from xxhash import xxh3_64_intdigest

from ternlane.emulator import Load
from ternlane.http1 import Exchange, ConnectionPool, ConnectError, event_bytes, serve_connection
from ternlane.testing.traffic import Traffic, clock_ms

KEPT_BLOCK = 256  # bytes of prompt text
TOKEN_BYTES = 4
LINGER_0 = struct.pack("ii", 1, 0)  # closing resets the connection
LEASE_MS = 30e3  # a state that nobody fetches is dropped after this


@dataclass(frozen=True)
class EngineProfile:
    """What a kind of engine can do. Speeds are tokens a second, memory tokens."""

    slots: int = 8
    queue: int = 40
    kv_capacity_tokens: float = 200e3
    prefill_tokens_per_s: float = 20e3
    token_ms: float = 10.0  # from one token to the next with one stream
    token_growth: float = 1.0  # part by which that grows from one stream to all slots
    near_tokens_per_s: float = 300e3  # state to a writer of its own cell
    far_tokens_per_s: float = 100e3
    slow_start_ms: float = 10e3
    slow_start_share: float = 0.3
    fall_multiple: float = 3.0
    fall_ms: float = 2000.0
    answer_tokens: tuple[int, int] = (8, 40)
    dedup_ms: float = 5000.0


@dataclass(eq=False)
class EngineFault:
    """What ails an engine now."""

    hung: bool = False
    slowdown: float = 1.0  # times slower
    cpu_taken_share: float = 0.0  # part of the machine that another program has
    paused_until_ms: float = 0.0
    lost_answer_share: float = 0.0  # part of answers that never arrive
    lost_by_reset: bool = False
    broken_stream_share: float = 0.0  # part of answers that break off after some piece, the last included
    broken_by: str = "reset"  # or stall
    handshake_delay_ms: float = 0.0
    link_slowdown: float = 1.0  # times slower
    script: str = ""  # what happens to each leg: full, error, reset, midway, stall, silent, nostate, ...
    break_after_events: int = 2  # pieces before `midway` and `stall`
    usage_reporting: str = "true"  # what it says of usage: true, none or absurd
    is_cut_off: Callable[[str], bool] = field(default=lambda _: False)  # by the peer's address


class Refused(Exception):
    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status, self.reason = status, reason


def piece(body: dict[str, Any], i: int, word: str) -> dict[str, Any]:
    """One choice of an event: the word as text, with its probability where asked for; or, for a request with tools, as
    a bit of the arguments of a call to the first of them."""
    if not body.get("tools"):
        probs = {"content": [{"token": word, "logprob": -0.5, "bytes": None, "top_logprobs": []}]}
        return {
            "index": 0,
            "delta": {"content": word},
            "finish_reason": None,
            **({"logprobs": probs} if body.get("logprobs") else {}),
        }
    name = body["tools"][0]["function"]["name"]
    call = (
        {"index": 0, "function": {"arguments": word}}
        if i
        else {"index": 0, "id": "call_1", "type": "function", "function": {"name": name, "arguments": word}}
    )
    return {"index": 0, "delta": {"tool_calls": [call]}, "finish_reason": None}


class FakeEngine:
    def __init__(
        self,
        ident: str,
        role: str,
        zone: str,
        cell: int,
        host: str,
        port: int,
        build: EngineProfile,
        traffic: Traffic,
        seed: int,
        source: str | None = None,
    ) -> None:
        self.ident, self.role, self.zone, self.cell = ident, role, zone, cell
        self.host, self.port, self.profile, self.traffic = host, port, build, traffic
        self.rng = random.Random(zlib.crc32(f"{seed} {ident}".encode()))
        self.fault = EngineFault()
        self.pool = ConnectionPool(500.0, 20e3, source)
        self.open: dict[Exchange, trio.CancelScope] = {}
        self.life = trio.CancelScope()
        self.changed = trio.Event()
        self.draining = False  # told to drain
        self.started_ms = 0.0
        self.clear()

    def clear(self) -> None:
        self.kept: OrderedDict[int, None] = OrderedDict()
        self.states: dict[str, tuple[float, float]] = {}  # generation -> tokens, when
        self.busy = 0
        self.queue: deque[trio.Event] = deque()
        self.used_tokens = 0.0
        self.arrived: deque[tuple[float, float]] = deque()
        self.done: OrderedDict[str, tuple[float, str]] = OrderedDict()  # deduplication key -> when, text
        self.fallen = False

    # -- life

    async def run(self, nursery: trio.Nursery, started: trio.Event | None = None) -> None:
        """Serves until `die`; run again for a restart."""
        listeners = await trio.open_tcp_listeners(self.port, host=self.host, backlog=4096)
        self.port = listeners[0].socket.getsockname()[1]
        self.life = trio.CancelScope()
        self.traffic.line(
            "up",
            id=self.ident,
            duty=self.role,
            cold=self.started_ms > 0,
            zone=self.zone,
            cell=self.cell,
            slots=self.profile.slots,
            cold_ms=self.profile.slow_start_ms,
            cold_from=self.profile.slow_start_share,
            fall_multiple=self.profile.fall_multiple,
            fall_ms=self.profile.fall_ms,
        )
        if started is not None:
            started.set()
        try:
            with self.life:
                async with trio.open_nursery() as own:
                    own.start_soon(self.expire)
                    await trio.serve_listeners(self.connection, listeners, handler_nursery=own)
        finally:
            for listener in listeners:
                listener.socket.close()
            for request in self.states:
                self.traffic.line("lost", id=self.ident, gen=request)
            self.traffic.line("down", id=self.ident)
            self.pool.close()
            self.clear()

    def die(self) -> None:
        self.life.cancel()

    async def expire(self) -> None:
        while True:
            await trio.sleep(1.0)
            for request, (_, since) in list(self.states.items()):
                if clock_ms() - since > LEASE_MS:
                    self.drop_state(request, "lost")

    async def connection(self, stream: trio.SocketStream) -> None:
        if self.fault.is_cut_off(stream.socket.getpeername()[0]):
            stream.setsockopt(1, 13, LINGER_0)
            stream.socket.close()
            return
        if self.fault.handshake_delay_ms:
            await trio.sleep(self.fault.handshake_delay_ms / 1000)
        stream.setsockopt(6, 1, 1)
        try:
            await serve_connection(
                stream,
                self.handle,
                body_bytes=64 * 2**20,
                head_ms=60e3,
                body_ms=60e3,
                idle_ms=120e3,
                send_ms=30e3,
                early_ok=True,
            )
        except trio.Cancelled:
            if stream.socket.fileno() >= 0:
                stream.setsockopt(1, 13, LINGER_0)
            raise

    # -- speed and load

    def warmth(self) -> float:
        if not self.started_ms:
            return 1.0
        age = (clock_ms() - self.started_ms) / self.profile.slow_start_ms
        return min(1.0, self.profile.slow_start_share + (1 - self.profile.slow_start_share) * age)

    def speed(self) -> float:
        fault = self.fault
        if fault.hung or clock_ms() < fault.paused_until_ms:
            return 0.0
        return self.warmth() * (1 - fault.cpu_taken_share) / fault.slowdown

    def cut_open(self) -> None:
        """Breaks what is open to peers that are cut off from now on."""
        for exchange, scope in list(self.open.items()):
            if self.fault.is_cut_off(exchange.peer[0]):
                exchange.stream.setsockopt(1, 13, LINGER_0)
                scope.cancel()

    def alter(self) -> None:
        """Wakes the work that goes by the speed."""
        self.changed.set()
        self.changed = trio.Event()

    async def work(self, ms: float) -> None:
        """Sleeps for as long as the work takes at a speed that may change meanwhile."""
        left = ms
        while left > 1e-6:
            speed = self.speed()
            if speed <= 0:
                with trio.move_on_after(0.02):
                    await self.changed.wait()
                continue
            step = min(left / speed, 50.0)
            since = clock_ms()
            await trio.sleep(step / 1000)
            left -= max(step, clock_ms() - since) * speed
        await trio.lowlevel.checkpoint()

    def weigh(self, work_ms: float) -> None:
        """Counts what was sent against what a cold engine can do; too much of it and the process falls over."""
        now, b = clock_ms(), self.profile
        self.arrived.append((now, work_ms))
        while self.arrived[0][0] < now - b.fall_ms:
            self.arrived.popleft()
        warmth = self.warmth()
        if warmth < 1 and sum(w for _, w in self.arrived) > b.fall_multiple * warmth * b.slots * b.fall_ms:
            self.fallen = True
            self.traffic.line("fell", id=self.ident)
            self.die()

    def figures(self) -> Load:
        return Load(self.busy, len(self.queue), min(1.0, self.used_tokens / self.profile.kv_capacity_tokens))

    def load(self) -> tuple[str, str]:
        return "endpoint-load-metrics", self.figures().header()

    async def enter(self) -> None:
        """A slot, at once or after the queue. Raises Refused."""
        if self.busy < self.profile.slots and not self.queue:
            self.busy += 1
            return
        if len(self.queue) >= self.profile.queue:
            raise Refused(429, "queue-full")
        turn = trio.Event()
        self.queue.append(turn)
        try:
            await turn.wait()
        except trio.Cancelled:
            if turn in self.queue:
                self.queue.remove(turn)
            else:
                self.leave()
            raise

    def leave(self) -> None:
        self.busy -= 1
        if self.queue and self.busy < self.profile.slots:
            self.busy += 1
            self.queue.popleft().set()

    # -- what is asked

    async def handle(self, exchange: Exchange) -> None:
        if self.fault.is_cut_off(exchange.peer[0]):
            exchange.reset()
            return
        if exchange.path == "/v1/chat/completions":
            await self.attempt(exchange)
        elif exchange.path == "/ternlane/v1/release":
            request = str(msgspec.json.decode(exchange.body)["request_id"])
            await exchange.answer(200 if self.drop_state(request, "released") else 404, [self.load()], b"{}")
        elif exchange.path == "/ternlane/v1/hold":
            asked = msgspec.json.decode(exchange.body)
            request, tokens = str(asked["request_id"]), float(asked["tokens"])
            fits = (
                self.role != "read"
                and not self.queue
                and self.busy < self.profile.slots
                and self.used_tokens + tokens <= self.profile.kv_capacity_tokens
                and request not in self.states
            )
            if fits:
                self.states[request] = tokens, clock_ms()
                self.used_tokens += tokens
                self.traffic.line("state", id=self.ident, gen=request, toks=tokens)
            await exchange.answer(200 if fits else 409, [self.load()], b"{}")
        elif exchange.path == "/metrics":
            self.traffic.line("asked", id=self.ident)
            await exchange.answer(200, [], self.figures().metrics().encode(), "text/plain; version=0.0.4")
        elif exchange.path == "/standin/state":
            await self.give_state(exchange)
        else:
            await exchange.answer(404, [], b"{}")

    def drop_state(self, request: str, how: str) -> bool:
        held = self.states.pop(request, None)
        if held is not None:
            self.used_tokens -= held[0]
            self.traffic.line(how, id=self.ident, gen=request)
        return held is not None

    async def give_state(self, exchange: Exchange) -> None:
        request = exchange.query.removeprefix("gen=")
        tokens = self.states[request][0] if request in self.states else None
        if tokens is None:
            await exchange.answer(404, [], b"{}")
            return
        self.drop_state(request, "taken")
        await exchange.answer(200, [], msgspec.json.encode({"toks": tokens}))

    async def attempt(self, exchange: Exchange) -> None:
        ident = exchange.header(b"x-request-id") or "?"
        request, _, number = ident.rpartition(".")
        body = msgspec.json.decode(exchange.body)
        params = body.get("kv_transfer_params") or {}
        stage = "read" if params.get("do_remote_decode") else "write" if params.get("do_remote_prefill") else "whole"
        agent = exchange.header(b"user-agent") or ""
        who = agent[agent.find("(") + 1 : -1]
        text = "".join(m["content"] for m in body["messages"] if isinstance(m.get("content"), str)).encode()
        if self.fault.script == "deaf" and body.get("continue_final_message"):  # it knows no such field
            text = text[: len(text) - len(body["messages"].pop()["content"].encode())]
            del body["continue_final_message"]
        self.traffic.line(
            "leg", id=self.ident, gen=request, n=int(number or 0), stage=stage, gw=who, src=exchange.peer[0]
        )
        how = "dropped"
        try:
            async with trio.open_nursery() as nursery:

                async def watch() -> None:
                    await exchange.until_left()
                    nursery.cancel_scope.cancel()

                nursery.start_soon(watch)
                self.open[exchange] = nursery.cancel_scope
                try:
                    how = await (
                        self.read(exchange, request, body, text)
                        if stage == "read"
                        else self.write(exchange, request, int(number or 0), stage, body, text)
                    )
                except Refused as why:
                    how = f"refused {why.reason}"
                    await exchange.answer(why.status, [("x-ternlane-not-run", why.reason), self.load()], b"{}")
                nursery.cancel_scope.cancel()
        except* (trio.BrokenResourceError, trio.ClosedResourceError, h11.LocalProtocolError):
            pass
        finally:
            self.open.pop(exchange, None)
            self.traffic.line("leg_end", id=self.ident, gen=request, n=int(number or 0), how=how)
        if how in ("dropped", "lost"):
            exchange.reset()

    async def play(self, exchange: Exchange) -> str:
        """The scripted ends that come before any text."""
        match self.fault.script:
            case "full":
                raise Refused(429, "queue-full")
            case "nostate":
                raise Refused(409, "no-state")
            case "error":
                await exchange.answer(500, [], b'{"error":{"message":"out of memory"}}')
                return "error"
            case "reset":
                exchange.stream.setsockopt(1, 13, LINGER_0)
                return "lost"
        await trio.sleep_forever()
        raise AssertionError

    async def break_off(self, exchange: Exchange, how: str) -> str:
        if how == "stall":
            await trio.sleep_forever()
        exchange.stream.setsockopt(1, 13, LINGER_0)
        return "lost"

    async def silence(self, exchange: Exchange) -> str:
        """The answer is lost: nothing comes back, or the connection breaks."""
        if self.fault.lost_by_reset:
            exchange.stream.setsockopt(1, 13, LINGER_0)
            return "lost"
        await trio.sleep_forever()
        raise AssertionError

    def usage(self, tokens: float, kept: float, out: int) -> dict[str, Any] | None:
        if self.fault.usage_reporting == "none":
            return None
        times = -(10**6) if self.fault.usage_reporting == "absurd" else 1
        return {
            "prompt_tokens": int(tokens) * times,
            "completion_tokens": out * times,
            "total_tokens": (int(tokens) + out) * times,
            "prompt_tokens_details": {"cached_tokens": int(kept)},
        }

    def unkept(self, text: bytes) -> tuple[float, float]:
        """Tokens to be read and tokens found kept; what is read is kept from now on."""
        key, kept, all_kept = 0, 0, True
        for i in range(0, len(text) - KEPT_BLOCK + 1, KEPT_BLOCK):
            key = xxh3_64_intdigest(text[i : i + KEPT_BLOCK], key)
            all_kept = all_kept and key in self.kept
            kept += all_kept
            self.kept[key] = None
            self.kept.move_to_end(key)
        limit = int(self.profile.kv_capacity_tokens / 2 * TOKEN_BYTES / KEPT_BLOCK)
        while len(self.kept) > limit:
            self.kept.popitem(last=False)
        found = kept * KEPT_BLOCK / TOKEN_BYTES
        return len(text) / TOKEN_BYTES - found, found

    async def read(self, exchange: Exchange, request: str, body: dict[str, Any], text: bytes) -> str:
        tokens = len(text) / TOKEN_BYTES
        if self.role == "write":
            raise Refused(400, "not-a-reader")
        if self.draining:
            raise Refused(503, "draining")
        if self.used_tokens + tokens > self.profile.kv_capacity_tokens:
            raise Refused(429, "memory-full")
        if self.fault.script not in ("", "deaf", "other"):
            return await self.play(exchange)
        unread, kept = self.unkept(text)
        work = 2.0 + unread / self.profile.prefill_tokens_per_s * 1000
        self.weigh(work)
        await self.enter()
        self.used_tokens += tokens
        try:
            await self.work(work)
        except BaseException:
            self.used_tokens -= tokens
            raise
        finally:
            self.leave()
        self.traffic.line("made", id=self.ident, gen=request, prompt=int(tokens), kept=int(kept), answer=0)
        self.states[request] = tokens, clock_ms()
        self.traffic.line("state", id=self.ident, gen=request, toks=tokens)
        if self.rng.random() < self.fault.lost_answer_share:
            return await self.silence(exchange)
        answer = {
            "id": request,
            "object": "chat.completion",
            "choices": [{"index": 0, "message": {"role": "assistant", "content": "."}, "finish_reason": "length"}],
            "kv_transfer_params": {
                "do_remote_prefill": True,
                "do_remote_decode": False,
                "remote_engine_id": self.ident,
                "remote_block_ids": [],
                "remote_host": self.host,
                "remote_port": self.port,
                "remote_request_id": request,
                "standin_cell": self.cell,
            },
            "usage": self.usage(tokens, kept, 1),
        }
        await exchange.answer(200, [self.load()], msgspec.json.encode(answer))
        return "read"

    async def fetch(self, request: str, params: dict[str, Any]) -> None:
        """Takes the state over from its reader, at the speed of the link between them."""
        caller = None
        try:
            with trio.fail_after(2.0):
                caller = await self.pool.take(f"{params['remote_host']}:{params['remote_port']}")
                head = await caller.ask("GET", f"/standin/state?gen={request}", [])
                said = msgspec.json.decode(await caller.body(4096))
                self.pool.give_back(caller)
        except (
            ConnectError,
            OSError,
            h11.RemoteProtocolError,
            trio.BrokenResourceError,
            trio.TooSlowError,
            msgspec.DecodeError,
        ):
            if caller is not None:
                caller.close_now()
            raise Refused(409, "no-state") from None
        except trio.Cancelled:
            if caller is not None:
                caller.close_now()
            raise
        if head.status_code != 200:
            raise Refused(409, "no-state")
        near = params.get("standin_cell") == self.cell
        rate = self.profile.near_tokens_per_s if near else self.profile.far_tokens_per_s / self.fault.link_slowdown
        await self.work(said["toks"] / rate * 1000)

    def break_of(self, out: int) -> tuple[int | None, str]:
        """After how many pieces the answer breaks off, if it does, and how."""
        fault = self.fault
        if fault.script in ("midway", "stall"):
            return fault.break_after_events, "reset" if fault.script == "midway" else "stall"
        if out and self.rng.random() < fault.broken_stream_share:
            return self.rng.randint(1, out), fault.broken_by
        return None, ""

    def answer(self, body: dict[str, Any], text: bytes) -> tuple[str, list[str]]:
        """What is to be continued, and the words that come after it: the same for the same prompt at every engine. A
        text that is not the beginning of its own answer it continues in its own way."""
        begun = ""
        if body.get("continue_final_message"):
            begun = body["messages"][-1]["content"]
            text = text[: len(text) - len(begun.encode())]
        if self.fault.script == "other":
            text = text + b"!"
        low, high = self.profile.answer_tokens
        many = low + zlib.crc32(text) % (high - low + 1)
        words = [f"{zlib.crc32(text + bytes([i % 256])) % 9973} " for i in range(many)]
        rest = begun
        while rest and words and rest.startswith(words[0]):
            rest = rest[len(words.pop(0)) :]
        if rest and words and words[0].startswith(rest):  # broken off within a word
            words[0] = words[0][len(rest) :]
        return begun, words

    async def write(
        self, exchange: Exchange, request: str, number: int, stage: str, body: dict[str, Any], text: bytes
    ) -> str:
        if self.role == ("write" if stage == "whole" else "read"):
            raise Refused(409, "no-state")
        if self.draining:
            raise Refused(503, "draining")
        if self.fault.script in ("full", "nostate"):
            return await self.play(exchange)
        tokens, most = len(text) / TOKEN_BYTES, int(body.get("max_tokens") or 1024)
        if self.used_tokens + tokens > self.profile.kv_capacity_tokens:
            raise Refused(429, "memory-full")
        self.drop_state(request, "taken")  # the place that was held for it, if one was
        after, words = self.answer(body, text)
        words = words[:most]
        out, said = len(words), 0
        break_at, break_by = self.break_of(out)
        self.weigh(out * self.profile.token_ms + tokens / self.profile.near_tokens_per_s * 1000)
        await self.enter()
        held = tokens + out
        self.used_tokens += held
        written, read, kept = 0, 0, 0.0
        try:
            unread, kept = self.unkept(text) if stage == "whole" else (0.0, tokens)
            if stage == "whole":
                await self.work(2.0 + unread / self.profile.prefill_tokens_per_s * 1000)
                read = int(tokens)
            else:
                await self.fetch(request, body["kv_transfer_params"])
            key = exchange.header(b"idempotency-key") or request
            known = self.done.get(key)
            if known is None or clock_ms() - known[0] > self.profile.dedup_ms:
                self.traffic.line(
                    "effect", id=self.ident, gen=request, n=number, key=key, cell=self.cell, zone=self.zone
                )
                self.done[key] = clock_ms(), ""
                while len(self.done) > 10000:
                    self.done.popitem(last=False)
            if self.fault.script in ("error", "reset", "silent"):
                return await self.play(exchange)
            lost = self.rng.random() < self.fault.lost_answer_share
            for i, word in enumerate(words):
                await self.work(
                    self.profile.token_ms * (1 + self.profile.token_growth * self.busy / self.profile.slots)
                )
                if i == break_at:
                    return await self.break_off(exchange, break_by)
                written += 1
                if lost:
                    continue
                said += 1
                data = event_bytes(
                    msgspec.json.encode(
                        {"id": request, "object": "chat.completion.chunk", "choices": [piece(body, i, word)]}
                    )
                )
                if i == 0:
                    await exchange.begin(
                        200,
                        [("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked"), self.load()],
                        data,
                    )
                else:
                    await exchange.chunk(data)
            if lost:
                return await self.silence(exchange)
            if words and break_at == out:
                return await self.break_off(exchange, break_by)  # after the last token, before the end
            usage = self.usage(tokens, kept, out)
            last = event_bytes(
                msgspec.json.encode(
                    {
                        "id": request,
                        "choices": [
                            {"index": 0, "delta": {}, "finish_reason": "tool_calls" if body.get("tools") else "stop"}
                        ],
                    }
                )
            )
            last += event_bytes(msgspec.json.encode({"id": request, "choices": [], "usage": usage}))
            last += event_bytes(b"[DONE]")
            self.traffic.line("wrote", id=self.ident, gen=request, n=number, toks=out)
            if words:
                await exchange.end(last)
            else:  # nothing was missing but the end
                await exchange.answer(200, [self.load()], last, "text/event-stream")
            return "streamed"
        finally:
            if written or not words:  # its journal: from where on, what was said, and what the whole would be
                self.traffic.line(
                    "said",
                    id=self.ident,
                    gen=request,
                    n=number,
                    after=after,
                    text="".join(words[:said]),
                    whole=zlib.crc32((after + "".join(words)).encode()),
                )
            if read or written:
                self.traffic.line(
                    "made", id=self.ident, gen=request, prompt=read, kept=int(kept) if read else 0, answer=written
                )
            self.used_tokens -= held
            self.leave()
