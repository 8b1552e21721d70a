"""Stand-in clients: conversations that come on their own schedule, retry as the users' do, and note what they hear."""

from __future__ import annotations

import random
import zlib
from dataclasses import dataclass
from typing import Any, Callable

import h11
import msgspec
import trio

from ternlane.http1 import ClientConnection, EventReader, ConnectionPool, ConnectError
from ternlane.testing.traffic import Traffic, clock_ms

TOKEN_BYTES = 4
LISTENS_ON_MS = 300.0  # after its time is up, so that an answer that comes late is seen to be late
GONE = (OSError, trio.BrokenResourceError, trio.ClosedResourceError, h11.RemoteProtocolError)


@dataclass(frozen=True)
class Talk:
    """How one product is used."""

    request_class: str
    effect: str
    share: float
    deadline_ms: float
    turns: tuple[float, float] = (1.0, 2.0)
    adds: tuple[float, float] = (100.0, 400.0)  # tokens a turn
    prefixes: int = 8
    prefix_tokens: tuple[float, float] = (500.0, 2000.0)
    prefix_share: float = 0.8
    max_tokens: int = 400
    think_ms: float = 300.0
    key_part: float = 0.5  # sessions that name themselves by prompt_cache_key
    plain_part: float = 0.1  # of generations that are not streamed


@dataclass
class Habits:
    try_share: tuple[float, float] = (0.5, 1.0)  # of the time limit that a try waits
    retries: int = 2
    backoff_ms: tuple[float, float] = (50.0, 300.0)
    honour: float = 0.7  # of those told when to come back who do as told
    leave_part: float = 0.0  # of clients that leave midway
    leave_ms: tuple[float, float] = (20.0, 600.0)


@dataclass
class Weather:
    """What troubles change about the traffic; looked at when a session starts."""

    rate: float = 1.0
    long_part: float = 0.0
    long_times: float = 1.0
    long_request_class: str = ""
    hot_part: float = 0.0
    hot_tokens: float = 3000.0
    hot_keys: int = 1
    hot_seed: int = 0
    rush_part: float = 0.0


@dataclass(eq=False)
class Session:
    talk: Talk
    ident: str
    messages: list[dict[str, Any]]
    key: str | None
    user: str
    tenant: tuple[str, str] | None  # name and API key
    left: int = 1
    said: int = 0


@dataclass
class Heard:
    """How a try ended, as the client saw it."""

    outcome: str  # streamed, throttled, terminated, broken, unreachable, none or left
    status: int = 0
    text: str = ""
    pause_ms: float | None = None
    why: str = ""
    usage: dict[str, Any] | None = None
    unread: int = 0
    gap_ms: float = 0.0  # the longest pause within its stream


def words(rng: random.Random, tokens: float) -> str:
    """Text of about so many tokens that nobody else sends."""
    n = max(1, int(tokens))
    return "".join(f"{rng.getrandbits(12):03x} " for _ in range(n))


class Clients:
    def __init__(
        self,
        name: str,
        address: str,
        talks: list[Talk],
        habits: Habits,
        traffic: Traffic,
        seed: int,
        source: str | None = None,
    ) -> None:
        self.name, self.address, self.talks, self.habits, self.traffic = name, address, talks, habits, traffic
        self.rng = random.Random(seed)
        self.pool = ConnectionPool(1000.0, 1000.0, source)
        self.weather = Weather()
        self.count = self.open = 0
        self.tally: dict[str, int] = {}
        self.prefix_texts: dict[tuple[str, int, int], str] = {}
        self.tenants: list[tuple[str, str]] = []  # the first are the largest

    def prefix(self, talk: Talk) -> str:
        """A text that sessions share; which are popular falls off as 1/rank."""
        w = self.weather
        if self.rng.random() < w.hot_part:
            key = "hot", self.rng.randrange(w.hot_keys), w.hot_seed
            tokens = w.hot_tokens
        else:
            ranks = [1 / (i + 1) for i in range(talk.prefixes)]
            key = talk.request_class, self.rng.choices(range(talk.prefixes), ranks)[0], 0
            low, high = talk.prefix_tokens
            tokens = low + (high - low) * (zlib.crc32(repr(key).encode()) % 1000) / 1000
        if key not in self.prefix_texts:
            self.prefix_texts[key] = words(random.Random(repr(key)), tokens)
        return self.prefix_texts[key]

    def session(self) -> Session:
        self.count += 1
        talk = self.rng.choices(self.talks, [t.share for t in self.talks])[0]
        ident = f"{self.name}-{self.count}"
        messages = []
        if self.rng.random() < talk.prefix_share:
            messages.append({"role": "system", "content": self.prefix(talk)})
        low, high = talk.turns
        turns = low + (high - low) * self.rng.random()
        left = int(turns) + (self.rng.random() < turns % 1)
        key = ident if self.rng.random() < talk.key_part else None
        return Session(talk, ident, messages, key, f"user-{self.rng.randrange(200)}", self.tenant(), max(1, left))

    def tenant(self) -> tuple[str, str] | None:
        """Tenants' parts of the traffic fall off as 1/(rank + 3); in a rush many sessions are the last one's."""
        if not self.tenants:
            return None
        if self.rng.random() < self.weather.rush_part:
            return self.tenants[-1]
        return self.rng.choices(self.tenants, [1 / (i + 3) for i in range(len(self.tenants))])[0]

    async def run(self, rate: Callable[[float], float], length_ms: float, nursery: trio.Nursery) -> None:
        """Sessions begin so that generations come at `rate(ms since start)` a second; none waits for an answer."""
        turns = sum(t.share * max(1.0, sum(t.turns) / 2) for t in self.talks) / sum(t.share for t in self.talks)
        begin = due = trio.current_time()
        while (due - begin) * 1000 < length_ms:
            due += self.rng.expovariate(max(1e-3, rate((due - begin) * 1000) * self.weather.rate / turns))
            await trio.sleep_until(due)
            nursery.start_soon(self.converse, self.session())

    async def converse(self, session: Session) -> None:
        while session.left > 0:
            session.left -= 1
            session.said += 1
            heard = await self.task(session)
            if heard.outcome != "streamed" or not session.left:
                return
            session.messages.append({"role": "assistant", "content": heard.text})
            await trio.sleep(self.rng.expovariate(1 / session.talk.think_ms) / 1000)

    async def task(self, session: Session) -> Heard:
        """One generation with the client's own repeats."""
        talk, w = session.talk, self.weather
        low, high = talk.adds
        tokens = low + (high - low) * self.rng.random()
        if w.long_part and w.long_request_class in ("", talk.request_class) and self.rng.random() < w.long_part:
            tokens *= w.long_times
        session.messages.append({"role": "user", "content": words(self.rng, tokens)})
        task, begun, tries = f"{session.ident}.{session.said}", clock_ms(), 0
        self.open += 1
        while True:
            low, high = self.habits.try_share
            limit = min(
                talk.deadline_ms * (low + (high - low) * self.rng.random()), begun + talk.deadline_ms - clock_ms()
            )
            heard = await self.attempt(session, task, tries, limit)
            tries += 1
            pause = self.pause(heard)
            if (
                tries > self.habits.retries
                or not self.may_retry(talk, heard)
                or clock_ms() + pause > begun + talk.deadline_ms - 50
            ):
                break
            await trio.sleep(pause / 1000)
        self.open -= 1
        self.tally[heard.outcome] = self.tally.get(heard.outcome, 0) + 1
        owner = session.tenant[0] if session.tenant is not None else ""
        self.traffic.line(
            "task",
            task=f"{owner}:{task}" if owner else task,
            product=talk.request_class,
            tenant=owner,
            outcome=heard.outcome,
            tries=tries,
            why=heard.why[:60],
        )
        return heard

    def may_retry(self, talk: Talk, heard: Heard) -> bool:
        if heard.outcome in ("streamed", "left"):
            return False
        return talk.effect == "idempotent" or heard.outcome in ("throttled", "unreachable")

    def pause(self, heard: Heard) -> float:
        low, high = self.habits.backoff_ms
        if heard.pause_ms is not None and self.rng.random() < self.habits.honour:
            return heard.pause_ms
        return low + (high - low) * self.rng.random()

    async def attempt(self, session: Session, task: str, number: int, deadline_ms: float) -> Heard:
        talk, request = session.talk, f"{task}.{number}"
        name = request  # as gateway and engines have it
        if session.tenant is not None:
            request = f"{session.tenant[0]}:{request}"
            task = f"{session.tenant[0]}:{task}"
        stream = self.rng.random() >= talk.plain_part
        body: dict[str, Any] = {
            "model": talk.request_class,
            "messages": session.messages,
            "stream": stream,
            "max_tokens": talk.max_tokens,
            "user": session.user,
            "temperature": 0,
        }
        if stream:
            body["stream_options"] = {"include_usage": True}
        if session.key is not None:
            body["prompt_cache_key"] = session.key
        headers = [
            ("Content-Type", "application/json"),
            ("X-Request-Id", name),
            ("X-Ternlane-Time-Limit-Ms", f"{deadline_ms:.1f}"),
            ("Connection", "close"),
        ]
        if session.tenant is not None:
            headers.append(("Authorization", f"Bearer {session.tenant[1]}"))
        if talk.effect == "deduplicated":
            headers.append(("Idempotency-Key", task))
        leave = self.rng.random() < self.habits.leave_part
        low, high = self.habits.leave_ms
        stay = low + (high - low) * self.rng.random() if leave else deadline_ms + LISTENS_ON_MS
        tokens = sum(len(m["content"]) for m in session.messages) / TOKEN_BYTES
        heard, caller = Heard("none"), None
        scope = trio.CancelScope(deadline=trio.current_time() + stay / 1000)
        try:
            with scope:
                caller = await self.pool.connect(self.address)
                self.traffic.line(
                    "ask",
                    gen=request,
                    task=task,
                    product=talk.request_class,
                    effect=talk.effect,
                    limit_ms=round(deadline_ms, 1),
                    port=caller.local[1],
                    toks=tokens,
                    stream=stream,
                )
                await self.listen(caller, request, headers, msgspec.json.encode(body), heard, scope, leave, deadline_ms)
        except ConnectError:
            heard.outcome = "unreachable"
        except GONE as why:
            heard.outcome = "broken"
            heard.why = repr(why)
        if scope.cancelled_caught and leave:
            heard.outcome = "left"
        if caller is not None:
            caller.close_now()
            self.traffic.line(
                "final",
                gen=request,
                outcome=heard.outcome,
                status=heard.status,
                why=heard.why,
                unread=heard.unread,
                crc=zlib.crc32(heard.text.encode()),
                usage=heard.usage,
                pause=heard.pause_ms,
                text=heard.text,
                gap=round(heard.gap_ms, 1),
            )
        return heard

    async def listen(
        self,
        caller: ClientConnection,
        request: str,
        headers: list[tuple[str, str]],
        body: bytes,
        heard: Heard,
        scope: trio.CancelScope,
        leave: bool,
        deadline_ms: float,
    ) -> None:
        head = await caller.ask("POST", "/v1/chat/completions", headers, body)
        heard.status = head.status_code
        said = {name: value.decode("latin-1") for name, value in head.headers}
        if said.get(b"content-type", "").startswith("text/event-stream"):
            await self.stream(caller, request, heard, scope, leave, deadline_ms)
        else:
            raw = await caller.body(64 * 2**20)
            answer = msgspec.json.decode(raw)
            if head.status_code == 200:
                heard.outcome = "streamed"
                heard.text, heard.usage = answer["choices"][0]["message"]["content"], answer["usage"]
                self.traffic.line("first", gen=request)
            else:
                heard.outcome = (
                    "unreachable" if b"x-front" in said else "throttled" if head.status_code == 429 else "terminated"
                )
                heard.why = answer["error"]["message"]
                if b"retry-after-ms" in said:
                    heard.pause_ms = float(said[b"retry-after-ms"])
        try:  # the connection was asked to close: anything that still comes is something after the final answer
            while more := await caller.stream.receive_some(65536):
                heard.unread += len(more)
        except GONE:
            pass

    async def stream(
        self,
        caller: ClientConnection,
        request: str,
        heard: Heard,
        scope: trio.CancelScope,
        leave: bool,
        deadline_ms: float,
    ) -> None:
        events, first, last = EventReader(), True, 0.0
        pieces: list[str] = []
        finals: list[str] = []
        async for chunk in caller.chunks():
            now, last = clock_ms(), last or clock_ms()
            heard.gap_ms, last = max(heard.gap_ms, now - last), now
            if not leave:  # a begun stream has no time limit but the client's patience between events
                scope.deadline = trio.current_time() + deadline_ms / 1000
            for data in events.feed(chunk):
                if finals:
                    heard.unread += len(data)
                if data == "[DONE]":
                    finals.append("streamed")
                    continue
                said = msgspec.json.decode(data)
                if "error" in said:
                    finals.append("terminated")
                    heard.why = said["error"]["message"]
                    continue
                for choice in said["choices"]:
                    if choice["delta"].get("content"):
                        if first:
                            first = False
                            self.traffic.line("first", gen=request)
                        pieces.append(choice["delta"]["content"])
                heard.usage = said.get("usage") or heard.usage
        heard.text = "".join(pieces)
        heard.outcome = finals[0] if finals else "broken"
