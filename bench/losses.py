"""Simulates server failures in one process and in virtual time, and counts duplicate effects and resumed streams.

    python -m bench.losses [--effects 100000] [--streams 1000]

The first part crashes a third or half of the decode servers at once while many streams are open. It prints how many
streams complete, how many tokens are prefilled before and after the crash, and the rate of resumes. The second part
sends side-effecting and deduplicated requests to decode servers that fail before, during and after the effect, and
counts the effects at the servers.
"""

from __future__ import annotations

import argparse
import logging
import random
import statistics
import time
from collections import Counter, defaultdict
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

import structlog
import trio
from trio.testing import MockClock

import ternlane
from ternlane.engine import AttemptRejectedError, AttemptRequest, EngineUnreachableError, LocalTransport, PrefillResult

CELLS = 3
SERVERS_A_CELL = 4
PROMPT_TOKENS = 100
EFFECT_WORDS = 8  # per answer
EFFECT_FAULT_SHARE = 0.25  # share of decode attempts that fail
CONCURRENT_EFFECTS = 50
MASS_WORDS = 240
MASS_WORD_S = 0.05
MASS_PREFILL_TOKENS_PER_S = 20_000.0
MASS_SLOTS = 4
MASS_START_S = 8.0  # period in which the streams start
MASS_LOSS_AFTER_S = 0.5  # after the start of the last stream
RATE_WINDOWS_PER_S = 4


@dataclass
class Prefill:
    """A prefill executed by a server."""

    at_s: float
    tokens: int
    for_resume: bool  # of a resumed stream


@dataclass
class FleetLog:
    """Effects and prefills executed by the servers."""

    rng: random.Random
    effects: dict[str, list[str]] = field(
        default_factory=lambda: defaultdict(list)
    )  # key -> cells in which it took effect
    seen: set[tuple[str, str]] = field(default_factory=set)  # (cell, key): a cell drops repeated keys
    prefills: list[Prefill] = field(default_factory=list)


@dataclass(frozen=True)
class ServerSpeed:
    """Speed of a server; by default it answers immediately."""

    words: int = EFFECT_WORDS  # per answer
    word_s: float = 0.0
    prefill_tokens_per_s: float = 0.0
    slots: int = 10_000


class Server:
    """A model server whose decode attempts may fail at random and whose process may crash."""

    def __init__(self, log: FleetLog, ident: str, fault_share: float, speed: ServerSpeed) -> None:
        """`fault_share`: share of decode attempts that fail."""
        self.log = log
        self.ident = ident
        self.fault_share = fault_share
        self.speed = speed
        self.process = trio.CancelScope()
        self._slots = trio.CapacityLimiter(speed.slots)

    async def read(self, ask: AttemptRequest) -> PrefillResult:
        """Prefills."""
        tokens = PROMPT_TOKENS + words_already_sent(ask)
        async with self._slots:
            if self.speed.prefill_tokens_per_s:
                await trio.sleep(tokens / self.speed.prefill_tokens_per_s)
        self.log.prefills.append(Prefill(trio.current_time(), tokens, ask.goes_on))
        return PrefillResult({}, tokens)

    async def write(self, ask: AttemptRequest) -> AsyncIterator[str]:
        """Decodes; may fail at a random point before, during or after the effect."""
        draw = self.log.rng.random() / max(self.fault_share, 1e-9)  # above 1: no fault
        if self.process.cancel_called or draw < 0.2:
            raise EngineUnreachableError("refused")
        if draw < 0.3:
            raise AttemptRejectedError("full")
        if draw < 0.4:
            raise RuntimeError("before its effect")
        self._take_effect(ask.key)
        if draw < 0.6:
            raise RuntimeError("after its effect")
        begin = words_already_sent(ask)
        for index in range(begin, self.speed.words):
            if draw < 1 and index == begin + int(draw * 10) % 5:
                raise RuntimeError("midway")
            if self.speed.word_s:
                await self._decode_word()
            yield f"w{index} "

    def _take_effect(self, key: str) -> None:
        cell = self.ident[1]
        if (cell, key) not in self.log.seen:
            self.log.seen.add((cell, key))
            self.log.effects[key].append(cell)

    async def _decode_word(self) -> None:
        with trio.move_on_after(self.speed.word_s):
            while not self.process.cancel_called:
                await trio.sleep(self.speed.word_s / 4)
            raise RuntimeError("the decode server crashed")

    async def release(self, ident: str) -> None:
        """Does nothing, as no state is held."""


def words_already_sent(ask: AttemptRequest) -> int:
    """Returns the number of words that a resumed stream has already delivered."""
    return len(ask.raw["messages"][-1]["content"].split()) if ask.goes_on else 0


def answer_text(words: int) -> str:
    """Returns the answer that every server gives."""
    return "".join(f"w{index} " for index in range(words))


def server_names() -> list[str]:
    """Returns server names made of role, cell and number."""
    return [f"{role}{cell}{number}" for role in "rw" for cell in range(CELLS) for number in range(SERVERS_A_CELL)]


def config(resume: bool = True) -> ternlane.GatewayConfig:
    """Returns the gateway configuration. `resume`: whether broken streams are resumed."""
    servers = [
        ternlane.NodeLine(
            id=name,
            address="127.0.0.1:9",
            cell=int(name[1]),
            kv_capacity_tokens=1e9,
            role="read" if name[0] == "r" else "write",
        )
        for name in server_names()
    ]
    request_classes = [
        ternlane.RequestClassConfig(
            name="summary", effect="idempotent", slo_ms=2000.0, deadline_ms=20_000.0, max_tokens=400
        ),
        ternlane.RequestClassConfig(
            name="form",
            effect="deduplicated",
            group="cell",
            window_ms=20_000,
            slo_ms=2000.0,
            deadline_ms=20_000.0,
            max_tokens=400,
        ),
        ternlane.RequestClassConfig(
            name="note", effect="side-effecting", slo_ms=2000.0, deadline_ms=20_000.0, max_tokens=400
        ),
    ]
    return ternlane.GatewayConfig(
        name="b",
        listen="127.0.0.1:0",
        nodes=ternlane.InlineSource(nodes=servers),
        fleet=ternlane.FleetConfig(max_attempts=10),
        streams=ternlane.StreamConfig(resume=resume),
        request_classes=request_classes,
    )


def chat_request(model: str, number: int) -> dict[str, object]:
    """Returns a chat request with a unique text."""
    return {"model": model, "messages": [{"role": "user", "content": f"case {number}"}], "stream": True}


async def count_effects(requests: int) -> None:
    """Sends requests with effects and prints the outcomes; fails if an effect occurred twice."""
    log = FleetLog(random.Random(1))
    outcomes: Counter[str] = Counter()
    servers = {
        name: Server(log, name, EFFECT_FAULT_SHARE if name[0] == "w" else 0.0, ServerSpeed()) for name in server_names()
    }
    begin_s = time.perf_counter()
    async with ternlane.open_routing(config(), LocalTransport(dict(servers))) as routing:

        async def send(number: int, model: str) -> None:
            key = f"{model}-{number}"
            try:
                async with routing.request(chat_request(model, number), key=key) as stream:
                    text = await stream.text()
                outcomes[f"{model} streamed"] += 1
                assert text == answer_text(EFFECT_WORDS), text
            except ternlane.RejectedError:
                outcomes[f"{model} throttled"] += 1
                assert not log.effects.get(key), "request was rejected although it took effect"
            except ternlane.FailedError:
                outcomes[f"{model} terminated"] += 1

        for begin in range(0, requests, CONCURRENT_EFFECTS):
            async with trio.open_nursery() as nursery:
                for number in range(begin, min(requests, begin + CONCURRENT_EFFECTS)):
                    nursery.start_soon(send, number, "note" if number % 5 else "form")
    effect_counts = {
        model: sum(bool(cells) for key, cells in log.effects.items() if key.startswith(model))
        for model in ("note", "form")
    }
    duplicates = sum(len(cells) > 1 for cells in log.effects.values())
    print(
        f"{requests} requests with effects, a quarter of decode attempts failing, "
        f"{time.perf_counter() - begin_s:.0f} s: {dict(sorted(outcomes.items()))}; took effect {effect_counts}; "
        f"twice {duplicates}"
    )
    assert duplicates == 0


class MassLoss:
    """Crashes a share of the decode servers at once while many streams are open."""

    def __init__(self, streams: int, part: float, resume: bool) -> None:
        """`part`: share of decode servers that crash; `resume`: whether broken streams are resumed."""
        self.streams = streams
        self.resume = resume
        self.failing_servers = [f"w{cell}{number}" for number in range(SERVERS_A_CELL) for cell in range(CELLS)]
        self.failing_servers = self.failing_servers[: round(len(self.failing_servers) * part)]
        self.log = FleetLog(random.Random(2))
        self.outcomes: Counter[str] = Counter()
        self.pauses_ms: list[float] = []  # longest pause of each stream
        self._lost_at_s = 0.0

    async def run(self) -> None:
        """Runs the simulation and prints its results."""
        speed = ServerSpeed(MASS_WORDS, MASS_WORD_S, MASS_PREFILL_TOKENS_PER_S, MASS_SLOTS)
        servers = {name: Server(self.log, name, 0.0, speed) for name in server_names()}
        transport = LocalTransport(dict(servers))
        async with ternlane.open_routing(config(self.resume), transport) as routing, trio.open_nursery() as nursery:
            for number in range(self.streams):
                nursery.start_soon(self._stream, routing, number)
                await trio.sleep(MASS_START_S / self.streams)
            await trio.sleep(MASS_LOSS_AFTER_S)
            for name in self.failing_servers:
                servers[name].process.cancel()
            self._lost_at_s = trio.current_time()
        self._print()

    async def _stream(self, routing: ternlane.Routing, number: int) -> None:
        try:
            async with routing.request(chat_request("summary", number)) as stream:
                last_s: float | None = None
                longest_s = 0.0
                text = ""
                async for piece in stream:
                    now_s = trio.current_time()
                    longest_s = max(longest_s, now_s - (now_s if last_s is None else last_s))
                    last_s = now_s
                    text += piece
            self.outcomes["complete" if text == answer_text(MASS_WORDS) else "WRONG"] += 1
            self.pauses_ms.append(longest_s * 1000)
        except ternlane.RejectedError:
            self.outcomes["not started"] += 1
        except ternlane.FailedError as error:
            self.outcomes["partial" if error.begun else "not started"] += 1

    def _print(self) -> None:
        for_resume = [prefill for prefill in self.log.prefills if prefill.for_resume]
        first_tokens = sum(prefill.tokens for prefill in self.log.prefills if not prefill.for_resume)
        rates = Counter(int((prefill.at_s - self._lost_at_s) * RATE_WINDOWS_PER_S) for prefill in for_resume)
        highest_rate = max(rates.values(), default=0) * RATE_WINDOWS_PER_S
        print(
            f"{self.streams} streams, {len(self.failing_servers)} of 12 decode servers crash, resume {self.resume}: "
            f"{dict(self.outcomes)}; tokens prefilled first {first_tokens}, for resumes "
            f"{sum(prefill.tokens for prefill in for_resume)}, at most {highest_rate} "
            f"resumes a second; longest pause of a stream, ms: median {statistics.median(self.pauses_ms):.0f}, "
            f"most {max(self.pauses_ms):.0f}"
        )


def main() -> None:
    """Runs all simulations."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--effects", type=int, default=100_000)
    parser.add_argument("--streams", type=int, default=1000)
    options = parser.parse_args()
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
    for part, resume in ((1 / 3, True), (1 / 3, False), (1 / 2, True)):
        trio.run(MassLoss(options.streams, part, resume).run, clock=MockClock(autojump_threshold=0))
    trio.run(count_effects, options.effects, clock=MockClock(autojump_threshold=0))


if __name__ == "__main__":
    main()
