"""What a routed generation costs by each way in, and what importing costs, in one run.

    python -m bench.library [--rounds 400] [--routers 10000]

Engines answer at once with 8 pieces: in this process for the library, behind loopback sockets for the gateway.
"""

from __future__ import annotations

import argparse
import gc
import os
import statistics
import subprocess
import sys
import threading
import time
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import structlog
import trio

import ternlane
from ternlane.engine import PrefillResult, AttemptRequest, LocalTransport
from ternlane.config.gateway import InlineSource

REQUEST = {"model": "summary", "messages": [{"role": "user", "content": "folder 17 " * 40}], "stream": True}


class Quick:
    async def read(self, ask: AttemptRequest) -> PrefillResult:
        return PrefillResult({}, 100)

    async def write(self, ask: AttemptRequest) -> AsyncIterator[str]:
        for _ in range(8):
            yield "word "

    async def release(self, ident: str) -> None:
        pass


def config() -> ternlane.GatewayConfig:
    nodes = [
        ternlane.NodeLine(id=i, address="127.0.0.1:9", role="read" if i[0] == "r" else "write", kv_capacity_tokens=1e9)
        for i in ("r0", "r1", "w0", "w1")
    ]
    return ternlane.GatewayConfig(
        name="b",
        listen="127.0.0.1:0",
        nodes=InlineSource(nodes=nodes),
        request_classes=[
            ternlane.RequestClassConfig(name="summary", effect="idempotent", slo_ms=2000, deadline_ms=10000)
        ],
    )


def transport() -> LocalTransport:
    return LocalTransport({i: Quick() for i in ("r0", "r1", "w0", "w1")})


async def in_process(rounds: int) -> list[float]:
    took = []
    async with ternlane.open_routing(config(), transport()) as routing:
        for _ in range(rounds):
            since = time.perf_counter()
            async with routing.request(REQUEST) as stream:
                assert len(await stream.text()) == 40
            took.append((time.perf_counter() - since) * 1000)
    return took


def from_a_thread(rounds: int) -> list[float]:
    took = []
    with ternlane.Blocking(config(), transport) as routing:
        for _ in range(rounds):
            since = time.perf_counter()
            assert len("".join(routing.request(REQUEST))) == 40
            took.append((time.perf_counter() - since) * 1000)
    return took


async def over_loopback(rounds: int) -> list[float]:
    """A gateway's door in this process, with the same engines behind it: a client's hop, and no other."""
    import msgspec

    from bench.gateway import events
    from ternlane.http1 import ConnectionPool

    took, pool, body = [], ConnectionPool(1000, 60e3), msgspec.json.encode(REQUEST)
    async with ternlane.open_gateway(config(), transport=transport()) as gateway:
        for _ in range(rounds):
            since = time.perf_counter()
            caller = await pool.take(gateway.address)
            await caller.ask("POST", "/v1/chat/completions", [("Content-Type", "application/json")], body)
            assert len(await events(pool, caller, since)) == 8
            took.append((time.perf_counter() - since) * 1000)
    return took


def decisions_alone(rounds: int) -> list[float]:
    """The same four events fed by hand: what choosing costs without any loop."""
    from ternlane.policy import messages
    from ternlane.gateway.router_config import configure_models
    from ternlane.discovery import EndpointRegistry

    it = config()
    offer = configure_models(it)
    router, book, took = ternlane.Router(offer.router_config), EndpointRegistry(), []
    router.take(0.0, [book.update(it.nodes.nodes, 0.0, 0.0)])  # type: ignore[union-attr]
    for i in range(rounds):
        since, now = time.perf_counter(), 1.0 + i * 3
        request = messages.Request(offer.request_classes["summary"], f"s{i}", None, 0.0, 100.0, 8.0, 5000.0)
        attempt = next(
            a for a in router.take(now, [messages.RequestArrived(request)]) if isinstance(a, messages.StartAttempt)
        )
        attempt = next(
            a
            for a in router.take(
                now + 1, [messages.AttemptEnded(request, attempt.server, messages.AttemptOutcome.PREFILLED, 1.0, False)]
            )
            if isinstance(a, messages.StartAttempt)
        )
        router.take(now + 1.5, [messages.FirstToken(request, attempt.server, 0.5)])
        router.take(
            now + 2, [messages.AttemptEnded(request, attempt.server, messages.AttemptOutcome.STREAMED, 1.0, True)]
        )
        took.append((time.perf_counter() - since) * 1000)
    return took


def slope(xs: list[float], ys: list[float]) -> tuple[float, float]:
    """Least squares, with half the width of the 95% interval of the slope."""
    n, fit = len(xs), statistics.linear_regression(xs, ys)
    left = sum((y - fit.intercept - fit.slope * x) ** 2 for x, y in zip(xs, ys, strict=True))
    mean = sum(xs) / n
    error = (left / (n - 2) / sum((x - mean) ** 2 for x in xs)) ** 0.5
    return fit.slope, 1.96 * error


async def many_routers(many: int) -> dict[str, tuple[float, float]]:
    """Routers made, used and discarded; what each leaves behind, by the slope over all of them."""

    async def one() -> None:
        async with ternlane.open_routing(config(), transport()) as routing:
            async with routing.request(REQUEST) as stream:
                await stream.text()

    def look() -> dict[str, float]:
        gc.collect()
        pages = int(Path("/proc/self/statm").read_text().split()[1])
        return {
            "bytes": pages * os.sysconf("SC_PAGE_SIZE"),
            "objects": len(gc.get_objects()),
            "descriptors": len(os.listdir("/proc/self/fd")),
            "threads": threading.active_count(),
            "tasks": trio.lowlevel.current_statistics().tasks_living,
        }

    for _ in range(500):  # allocators and caches settle
        await one()
    at, seen, since = [0.0], [look()], time.perf_counter()
    step = max(1, many // 50)
    for i in range(many):
        await one()
        if i % step == step - 1:
            at.append(i + 1.0)
            seen.append(look())
    took = (time.perf_counter() - since) / many * 1000
    return {"ms": (took, 0.0), **{name: slope(at, [s[name] for s in seen]) for name in seen[0]}}


def import_ms(code: str) -> float:
    runs = []
    for _ in range(7):
        said = subprocess.run(
            [
                sys.executable,
                "-c",
                f"import time; t = time.perf_counter(); {code}; print((time.perf_counter() - t) * 1000)",
            ],
            capture_output=True,
            text=True,
            check=True,
        )
        runs.append(float(said.stdout))
    return statistics.median(runs)


def main() -> None:
    args = argparse.ArgumentParser()
    args.add_argument("--rounds", type=int, default=400)
    args.add_argument("--routers", type=int, default=10_000)
    told = args.parse_args()
    import logging

    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.WARNING))
    ways: dict[str, Any] = {
        "decisions alone": decisions_alone,
        "library, in process": lambda n: trio.run(in_process, n),
        "library, from a thread": from_a_thread,
        "door, over loopback": lambda n: trio.run(over_loopback, n),
    }
    print(f"{'a request, ms':<26}{'median':>8}{'p99':>8}")
    for name, way in ways.items():
        took = way(told.rounds)[told.rounds // 10 :]
        print(f"{name:<26}{statistics.median(took):>8.3f}{statistics.quantiles(took, n=100)[98]:>8.3f}")
    print(f"\n{'import, ms (median of 7)':<26}")
    for what, code in (
        ("decisions", "import ternlane; ternlane.Router"),
        ("the library", "import ternlane; ternlane.open_routing"),
        ("the gateway", "import ternlane; ternlane.open_gateway"),
    ):
        print(f"{what:<26}{import_ms(code):>8.1f}")
    left = trio.run(many_routers, told.routers)
    print(f"\n{told.routers} routers made, used and discarded, {left.pop('ms')[0]:.2f} ms each; one leaves behind:")
    for name, (each, half) in left.items():
        print(f"{name:<26}{each:>12.5f} +- {half:.5f}")


if __name__ == "__main__":
    main()
