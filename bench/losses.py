"""Losses by the thousand, in one process over direct calls and in virtual time: effects, mass losses, reading anew.

    python -m bench.losses [--effects 100000] [--streams 1000]

First, side-effecting and deduplicated generations over writers that fail before, at and after the effect; every effect
is counted at the engines. Then many open streams of which a third, or half, of the writers go at once: how many come
through, and how much is read anew at which rate, against what the readers had done before.
"""

from __future__ import annotations

import argparse
import random
import statistics
import time
from collections import Counter, defaultdict
from collections.abc import AsyncIterator

import structlog
import trio
from trio.testing import MockClock

import ternlane
from ternlane.engine import PrefillResult, AttemptRequest, LocalTransport, AttemptRejectedError, EngineUnreachableError


class Fleet:
    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.effects: dict[str, list[str]] = defaultdict(list)  # by key, the cells where it took effect
        self.seen: dict[tuple[str, str], None] = {}  # cell and key: where repeats are dropped
        self.prefills: list[tuple[float, int, bool]] = []  # when, tokens, anew?


class Engine:
    """A server of a fleet whose writers fail by chance, or all at once from `dead_from` on."""

    def __init__(
        self,
        fleet: Fleet,
        ident: str,
        faults: float,
        tokens: int = 8,
        tokens_per_s: float = 0.0,
        prefill_tokens_per_s: float = 1e9,
        slots: int = 10_000,
    ) -> None:
        self.fleet, self.ident, self.faults, self.tokens, self.tokens_per_s = fleet, ident, faults, tokens, tokens_per_s
        self.prefill_tokens_per_s, self.dead, self.busy = (
            prefill_tokens_per_s,
            trio.CancelScope(),
            trio.CapacityLimiter(slots),
        )

    async def read(self, ask: AttemptRequest) -> PrefillResult:
        done = len(ask.raw["messages"][-1]["content"].split()) if ask.goes_on else 0
        tokens = 100 + done
        async with self.busy:
            if self.prefill_tokens_per_s < 1e9:
                await trio.sleep(tokens / self.prefill_tokens_per_s)
        self.fleet.prefills.append((trio.current_time(), tokens, ask.goes_on))
        return PrefillResult({}, tokens)

    async def write(self, ask: AttemptRequest) -> AsyncIterator[str]:
        recovery_outcome = self.fleet.rng.random() / max(self.faults, 1e-9)
        if self.dead.cancel_called or recovery_outcome < 0.2:
            raise EngineUnreachableError("refused")
        if recovery_outcome < 0.3:
            raise AttemptRejectedError("full")
        if recovery_outcome < 0.4:
            raise RuntimeError("before its effect")
        cell = self.ident[1]
        if (cell, ask.key) not in self.fleet.seen:
            self.fleet.seen[cell, ask.key] = None
            self.fleet.effects[ask.key].append(cell)
        if recovery_outcome < 0.6:
            raise RuntimeError("after its effect")
        done = len(ask.raw["messages"][-1]["content"].split()) if ask.goes_on else 0
        for i in range(done, self.tokens):
            if recovery_outcome < 1 and i == done + int(recovery_outcome * 10) % 5:
                raise RuntimeError("midway")
            if self.tokens_per_s:
                gone = False
                with trio.move_on_after(self.tokens_per_s):
                    while not self.dead.cancel_called:
                        await trio.sleep(self.tokens_per_s / 4)
                    gone = True
                if gone:
                    raise RuntimeError("the writer died")
            yield f"w{i} "

    async def release(self, ident: str) -> None:
        pass


def config(**streams: bool) -> ternlane.GatewayConfig:
    nodes = [
        ternlane.NodeLine(
            id=f"{d}{c}{n}", address="127.0.0.1:9", cell=c, kv_capacity_tokens=1e9, role="read" if d == "r" else "write"
        )
        for d in "rw"
        for c in range(3)
        for n in range(4)
    ]
    common = {"slo_ms": 2000.0, "limit_ms": 20_000.0, "max_toks": 400}
    return ternlane.GatewayConfig(
        name="b",
        listen="127.0.0.1:0",
        nodes=ternlane.InlineSource(nodes=nodes),
        fleet=ternlane.FleetConfig(max_attempts=10),
        streams=ternlane.StreamConfig(**streams),
        request_classes=[
            ternlane.RequestClassConfig(name="summary", effect="idempotent", **common),  # type: ignore[arg-type]
            ternlane.RequestClassConfig(name="form", effect="deduplicated", group="cell", window_ms=20_000, **common),  # type: ignore[arg-type]
            ternlane.RequestClassConfig(name="note", effect="side-effecting", **common),  # type: ignore[arg-type]
        ],
    )


async def effects(many: int) -> None:
    fleet, outcomes = Fleet(1), Counter[str]()
    names = [f"{d}{c}{n}" for d in "rw" for c in range(3) for n in range(4)]
    engines = {i: Engine(fleet, i, 0.25 if i[0] == "w" else 0.0) for i in names}
    since = time.perf_counter()
    async with ternlane.open_routing(config(), LocalTransport(dict(engines))) as routing:

        async def one(i: int, model: str) -> None:
            request = {"model": model, "messages": [{"role": "user", "content": f"case {i}"}], "stream": True}
            try:
                async with routing.request(request, key=f"{model}-{i}") as stream:
                    text = await stream.text()
                outcomes[f"{model} streamed"] += 1
                assert text == "".join(f"w{k} " for k in range(8)), text
            except ternlane.RejectedError:
                outcomes[f"{model} throttled"] += 1
                assert model == "summary" or not fleet.effects.get(f"{model}-{i}"), "throttled although it ran"
            except ternlane.FailedError:
                outcomes[f"{model} terminated"] += 1

        for begin in range(0, many, 50):
            async with trio.open_nursery() as nursery:
                for i in range(begin, min(many, begin + 50)):
                    nursery.start_soon(one, i, "note" if i % 5 else "form")
    ran = Counter(
        {model: sum(bool(v) for k, v in fleet.effects.items() if k.startswith(model)) for model in ("note", "form")}
    )
    twice = sum(len(v) > 1 for k, v in fleet.effects.items())
    print(
        f"{many} generations with effects, a quarter of writers' legs failing, {time.perf_counter() - since:.0f} s: "
        f"{dict(sorted(outcomes.items()))}; took effect {dict(ran)}; twice {twice}"
    )
    assert twice == 0


async def mass(streams: int, part: float, resume: bool) -> None:
    fleet, outcomes = Fleet(2), Counter[str]()
    names = [f"{d}{c}{n}" for d in "rw" for c in range(3) for n in range(4)]
    engines = {i: Engine(fleet, i, 0.0, 240, 0.05, 20_000.0, 4) for i in names}
    pauses: list[float] = []
    async with ternlane.open_routing(config(resume=resume), LocalTransport(dict(engines))) as routing:

        async def one(i: int) -> None:
            request = {"model": "summary", "messages": [{"role": "user", "content": f"case {i}"}], "stream": True}
            try:
                async with routing.request(request) as stream:
                    last, longest, text = 0.0, 0.0, ""
                    async for piece in stream:
                        now = trio.current_time()
                        longest, last, text = max(longest, now - (last or now)), now, text + piece
                whole = text == "".join(f"w{k} " for k in range(240))
                outcomes["whole" if whole else "WRONG"] += 1
                pauses.append(longest * 1000)
            except (ternlane.RejectedError, ternlane.FailedError) as why:
                outcomes["in part" if isinstance(why, ternlane.FailedError) and why.begun else "not begun"] += 1

        async with trio.open_nursery() as nursery:
            for i in range(streams):
                nursery.start_soon(one, i)
                await trio.sleep(8.0 / streams)
            await trio.sleep(0.5)
            struck = [f"w{c}{n}" for n in range(4) for c in range(3)][: round(12 * part)]
            for ident in struck:
                engines[ident].dead.cancel()
            at = trio.current_time()
    anew = [(t - at, n) for t, n, again in fleet.prefills if again]
    first = sum(n for t, n, again in fleet.prefills if not again)
    rates = Counter(int(t * 4) for t, _ in anew)
    print(
        f"{streams} streams, {len(struck)} of 12 writers go at once, resume {resume}: {dict(outcomes)}; read first "
        f"{first} tokens, anew {sum(n for _, n in anew)}, at most {max(rates.values(), default=0) * 4} resumes a "
        f"second; longest pause of a stream, ms: median {statistics.median(pauses):.0f}, most {max(pauses):.0f}"
    )


def main() -> None:
    args = argparse.ArgumentParser()
    args.add_argument("--effects", type=int, default=100_000)
    args.add_argument("--streams", type=int, default=1000)
    told = args.parse_args()
    import logging

    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
    for part, resume in ((1 / 3, True), (1 / 3, False), (1 / 2, True)):
        trio.run(mass, told.streams, part, resume, clock=MockClock(autojump_threshold=0))
    trio.run(effects, told.effects, clock=MockClock(autojump_threshold=0))


if __name__ == "__main__":
    main()
