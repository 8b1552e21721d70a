"""Sends a load to an OpenAI-style address on loopback and keeps its times.

Open loop: a request goes out when it was due, and its times count from then, not from when the tool got round to it:
else a server that stalls would be asked less while it stalls, and look well. A tool that can't keep its own schedule
says so and reports nothing. Closed loop: `at_once` clients, whose times count from their own sending.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from ipaddress import ip_address
from typing import Any
from urllib.parse import urlsplit

import h11
import msgspec
import trio

from ternlane.http1 import ClientConnection, EventReader, ConnectionPool, ConnectError
from ternlane.load.plan import Ask, Drawer, LoadConfig, asks
from ternlane.load.sketch import Sketch


class NotLocal(ValueError):
    """Loads are sent to loopback addresses only."""


class TooSlow(Exception):
    """The tool was later than its own schedule allows: its figures would be its own, not the server's."""


@dataclass
class Tally:
    """Times are ms from when a request was due."""

    first: Sketch = field(default_factory=Sketch)
    between: Sketch = field(default_factory=Sketch)
    whole: Sketch = field(default_factory=Sketch)
    late: Sketch = field(default_factory=Sketch)  # of the tool itself
    outcomes: Counter[str] = field(default_factory=Counter)
    tokens: int = 0

    def told(self) -> dict[str, Any]:
        def three(it: Sketch) -> dict[str, float]:
            return (
                {f"p{round(part * 100)}": round(it.quantile(part), 3) for part in (0.5, 0.9, 0.99)}
                | {"max": round(it.most, 3)}
                if it.many
                else {}
            )

        return {
            "outcomes": dict(self.outcomes),
            "tokens": self.tokens,
            "first_ms": three(self.first),
            "between_ms": three(self.between),
            "whole_ms": three(self.whole),
            "tool_late_ms": three(self.late),
        }


def address_of(url: str) -> tuple[str, str]:
    """Host and port, and the path of the chat API. Raises NotLocal."""
    parts = urlsplit(url if "//" in url else f"http://{url}")
    host = parts.hostname or ""
    try:
        local = host == "localhost" or ip_address(host).is_loopback
    except ValueError:
        local = False
    if not local or parts.scheme != "http":
        raise NotLocal(f"{url}: an http address on this machine's loopback is needed")
    path = parts.path.rstrip("/").removesuffix("/v1").removesuffix("/v1/chat/completions")
    return f"{host}:{parts.port or 80}", f"{path}/v1/chat/completions"


class Load:
    """`tell` is given a JSON-ready line for each request as it ends."""

    def __init__(
        self, config: LoadConfig, url: str, tell: Callable[[dict[str, Any]], None] = lambda line: None
    ) -> None:
        self.config, self.tell = config, tell
        self.address, self.path = address_of(url)
        self.pool = ConnectionPool(5000.0, 30e3)
        self.tally = Tally()
        self.began = 0.0
        self.open = 0

    def now_s(self) -> float:
        return trio.current_time() - self.began

    async def run(self) -> Tally:
        """Raises TooSlow where the tool itself was too late too often (open loop)."""
        self.began = trio.current_time()
        try:
            async with trio.open_nursery() as nursery:
                if self.config.at_once:
                    for i in range(self.config.at_once):
                        nursery.start_soon(self.client, Drawer(self.config, random.Random(f"{self.config.seed} {i}")))
                else:
                    await self.send_in_time(nursery)
        finally:
            self.pool.close()
        late = self.tally.late
        if not self.config.at_once and late.many and late.quantile(0.99) > self.config.late_ms:
            raise TooSlow(
                f"the tool was {late.quantile(0.99):.1f} ms late for one request in a hundred, over "
                f"{self.config.late_ms:.1f}: a lower rate, or more machines, are needed"
            )
        return self.tally

    async def send_in_time(self, nursery: trio.Nursery) -> None:
        for ask in asks(self.config):
            await trio.sleep_until(self.began + ask.at_s)
            nursery.start_soon(self.session, ask)

    async def client(self, drawer: Drawer) -> None:
        """Asks, waits for the answer, and asks again until the time is up."""
        while self.now_s() < self.config.seconds:
            await self.session(drawer.ask(self.now_s()))

    async def session(self, ask: Ask) -> None:
        while True:
            text = await self.one(ask)
            if text is None or not ask.turns_left or self.now_s() >= self.config.seconds:
                return
            due = self.now_s() + ask.mix.think_s
            await trio.sleep(ask.mix.think_s)
            ask = Ask(
                due,
                ask.mix,
                [*ask.messages, {"role": "assistant", "content": text}, {"role": "user", "content": ask.more[0]}],
                ask.max_tokens,
                ask.key,
                ask.turns_left - 1,
                ask.more[1:],
            )

    async def one(self, ask: Ask) -> str | None:
        """One request; the answer's text, or None where there was none."""
        begun, caller = self.now_s(), None
        self.tally.late.add(max(0.0, begun - ask.at_s) * 1000)
        outcome, pieces, first = "unconnected", list[str](), 0.0
        self.open += 1
        try:
            with trio.move_on_after(self.config.wait_s) as waits:
                caller = await self.pool.take(self.address)
                outcome = "broken"
                outcome, first = await self.heard(caller, ask, pieces)
            if waits.cancelled_caught:
                outcome = "no answer"
        except ConnectError:
            pass
        except (trio.BrokenResourceError, trio.ClosedResourceError, h11.RemoteProtocolError, msgspec.DecodeError):
            outcome = "broken"
        finally:
            self.open -= 1
            if caller is not None:
                if outcome in ("no answer", "broken"):
                    caller.close_now()
                else:
                    self.pool.give_back(caller)
        took = (self.now_s() - ask.at_s) * 1000
        self.tally.outcomes[outcome] += 1
        if outcome == "streamed":
            self.tally.whole.add(took)
        self.tell(
            {
                "due_s": round(ask.at_s, 6),
                "model": ask.mix.model,
                "outcome": outcome,
                "pieces": len(pieces),
                "first_ms": round(first, 3),
                "whole_ms": round(took, 3),
                "late_ms": round((begun - ask.at_s) * 1000, 3),
            }
        )
        return "".join(pieces) if outcome == "streamed" else None

    async def heard(self, caller: ClientConnection, ask: Ask, pieces: list[str]) -> tuple[str, float]:
        headers = [("Content-Type", "application/json")]
        if ask.key:
            headers.append(("Authorization", f"Bearer {ask.key}"))
        head = await caller.ask("POST", self.path, headers, msgspec.json.encode(ask.body()))
        if head.status_code != 200:
            await caller.body(1 << 20)
            return (
                "throttled"
                if head.status_code in (429, 503)
                else "terminated"
                if head.status_code >= 500
                else f"refused {head.status_code}"
            ), 0.0
        if not ask.mix.stream:
            whole = msgspec.json.decode(await caller.body(1 << 24))
            pieces.append(whole["choices"][0]["message"]["content"] or "")
            self.tally.tokens += (whole.get("usage") or {}).get("completion_tokens", 0)
            return "streamed", 0.0
        events, first, last, done = EventReader(), 0.0, 0.0, False
        async for chunk in caller.chunks():
            for event in events.feed(chunk):
                now = (self.now_s() - ask.at_s) * 1000
                if event == "[DONE]":
                    done = True
                    continue
                said = msgspec.json.decode(event)
                text = "".join(c["delta"].get("content") or "" for c in said.get("choices", ()))
                if not text:
                    continue
                pieces.append(text)
                self.tally.tokens += 1
                if last:
                    self.tally.between.add(now - last)
                else:
                    first = now
                    self.tally.first.add(now)
                last = now
        return ("streamed" if done else "terminated"), first
