"""Measures the latency of a routed request by access path, import times, and resources kept by discarded routers.

    python -m bench.library [--rounds 400] [--routers 10000]

Servers run in this process and answer immediately with 8 chunks; the gateway is reached over a loopback socket.
"""

from __future__ import annotations

import argparse
import gc
import logging
import os
import statistics
import subprocess
import sys
import threading
import time
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass
from functools import partial
from pathlib import Path

import msgspec
import structlog
import trio

import ternlane
from bench.chat_client import CHAT_PATH, JSON_HEADERS, token_times_ms
from ternlane.config.gateway import InlineSource
from ternlane.discovery import EndpointRegistry
from ternlane.engine import AttemptRequest, LocalTransport, PrefillResult
from ternlane.gateway.router_config import configure_models
from ternlane.http1 import ConnectionPool
from ternlane.policy import messages

REQUEST = {"model": "summary", "messages": [{"role": "user", "content": "folder 17 " * 40}], "stream": True}
PIECE = "word "
PIECES = 8
SERVERS = ("r0", "r1", "w0", "w1")
WARM_UP_SHARE = 1 / 10  # share of rounds left out of the results
WARM_UP_ROUTERS = 500  # run first, so that allocators and caches reach a steady state
SAMPLES = 50  # of process usage
IMPORTS = 7  # the median is reported
CONFIDENCE_95 = 1.96  # standard errors in half of a 95% interval


class InstantServer:
    """A model server that answers immediately."""

    async def read(self, ask: AttemptRequest) -> PrefillResult:
        """Prefills."""
        return PrefillResult({}, 100)

    async def write(self, ask: AttemptRequest) -> AsyncIterator[str]:
        """Decodes."""
        for _ in range(PIECES):
            yield PIECE

    async def release(self, ident: str) -> None:
        """Does nothing, as no state is held."""


def config() -> ternlane.GatewayConfig:
    """Returns a configuration with two prefill and two decode servers and one request class."""
    servers = [
        ternlane.NodeLine(
            id=name, address="127.0.0.1:9", role="read" if name[0] == "r" else "write", kv_capacity_tokens=1e9
        )
        for name in SERVERS
    ]
    request_class = ternlane.RequestClassConfig(name="summary", effect="idempotent", slo_ms=2000, deadline_ms=10000)
    return ternlane.GatewayConfig(
        name="b", listen="127.0.0.1:0", nodes=InlineSource(nodes=servers), request_classes=[request_class]
    )


def transport() -> LocalTransport:
    """Returns a transport to servers in this process."""
    return LocalTransport({name: InstantServer() for name in SERVERS})


async def _in_process(rounds: int) -> list[float]:
    took_ms: list[float] = []
    async with ternlane.open_routing(config(), transport()) as routing:
        for _ in range(rounds):
            begin_s = time.perf_counter()
            async with routing.request(REQUEST) as stream:
                assert len(await stream.text()) == PIECES * len(PIECE)
            took_ms.append((time.perf_counter() - begin_s) * 1000)
    return took_ms


def in_process(rounds: int) -> list[float]:
    """Measures the library in its own event loop; returns the latency of each request in milliseconds."""
    return trio.run(_in_process, rounds)


def from_a_thread(rounds: int) -> list[float]:
    """Measures the library's blocking interface; returns latencies in milliseconds."""
    took_ms: list[float] = []
    with ternlane.Blocking(config(), transport) as routing:
        for _ in range(rounds):
            begin_s = time.perf_counter()
            assert len("".join(routing.request(REQUEST))) == PIECES * len(PIECE)
            took_ms.append((time.perf_counter() - begin_s) * 1000)
    return took_ms


async def _over_loopback(rounds: int) -> list[float]:
    took_ms: list[float] = []
    pool = ConnectionPool(1000, 60e3)
    body = msgspec.json.encode(REQUEST)
    async with ternlane.open_gateway(config(), transport=transport()) as gateway:
        for _ in range(rounds):
            begin_s = time.perf_counter()
            connection = await pool.take(gateway.address)
            await connection.ask("POST", CHAT_PATH, JSON_HEADERS, body)
            assert len(await token_times_ms(pool, connection, begin_s)) == PIECES
            took_ms.append((time.perf_counter() - begin_s) * 1000)
    return took_ms


def over_loopback(rounds: int) -> list[float]:
    """Measures a gateway in this process over loopback HTTP; returns latencies in milliseconds."""
    return trio.run(_over_loopback, rounds)


class RouterAlone:
    """A router that receives events directly, without an event loop."""

    def __init__(self) -> None:
        gateway_config = config()
        assert isinstance(gateway_config.nodes, InlineSource)
        models = configure_models(gateway_config)
        self.request_class = models.request_classes["summary"]
        self.router = ternlane.Router(models.router_config)
        self.router.take(0.0, [EndpointRegistry().update(gateway_config.nodes.nodes, 0.0, 0.0)])

    def _take(self, now_ms: float, event: messages.Event) -> list[messages.Action]:
        return self.router.take(now_ms, [event])

    def run_request(self, number: int, now_ms: float) -> None:
        """Delivers the four events of a request."""
        request = messages.Request(self.request_class, f"s{number}", None, 0.0, 100.0, 8.0, 5000.0)
        prefill_server = _started(self._take(now_ms, messages.RequestArrived(request)))
        prefilled = messages.AttemptOutcome.PREFILLED
        decode_server = _started(
            self._take(now_ms + 1, messages.AttemptEnded(request, prefill_server, prefilled, 1.0, False))
        )
        self._take(now_ms + 1.5, messages.FirstToken(request, decode_server, 0.5))
        streamed = messages.AttemptOutcome.STREAMED
        self._take(now_ms + 2, messages.AttemptEnded(request, decode_server, streamed, 1.0, True))


def _started(actions: list[messages.Action]) -> messages.Server:
    return next(action.server for action in actions if isinstance(action, messages.StartAttempt))


def decisions_alone(rounds: int) -> list[float]:
    """Measures the routing decisions alone, without an event loop; returns latencies in milliseconds."""
    router = RouterAlone()
    took_ms: list[float] = []
    for number in range(rounds):
        begin_s = time.perf_counter()
        router.run_request(number, 1.0 + number * 3)
        took_ms.append((time.perf_counter() - begin_s) * 1000)
    return took_ms


@dataclass(frozen=True)
class Slope:
    """Growth per router, and half the width of its 95% confidence interval."""

    value: float
    half_width: float


def slope_of(xs: list[float], ys: list[float]) -> Slope:
    """Fits a line by least squares."""
    line = statistics.linear_regression(xs, ys)
    residual = sum((y - line.intercept - line.slope * x) ** 2 for x, y in zip(xs, ys, strict=True))
    mean = statistics.fmean(xs)
    error = (residual / (len(xs) - 2) / sum((x - mean) ** 2 for x in xs)) ** 0.5
    return Slope(line.slope, CONFIDENCE_95 * error)


def process_usage() -> dict[str, float]:
    """Returns the resources in use by this process."""
    gc.collect()
    resident_pages = int(Path("/proc/self/statm").read_text().split()[1])
    return {
        "bytes": resident_pages * os.sysconf("SC_PAGE_SIZE"),
        "objects": len(gc.get_objects()),
        "descriptors": len(os.listdir("/proc/self/fd")),
        "threads": threading.active_count(),
        "tasks": trio.lowlevel.current_statistics().tasks_living,
    }


async def run_one_router() -> None:
    """Opens a router, sends a request and closes the router."""
    async with ternlane.open_routing(config(), transport()) as routing, routing.request(REQUEST) as stream:
        await stream.text()


async def run_routers(count: int) -> tuple[float, dict[str, Slope]]:
    """Returns the milliseconds per router and the growth of resources per router."""
    for _ in range(WARM_UP_ROUTERS):
        await run_one_router()
    used_after = [0.0]  # number of routers at each sample
    used = [process_usage()]
    every = max(1, count // SAMPLES)
    begin_s = time.perf_counter()
    for number in range(1, count + 1):
        await run_one_router()
        if number % every == 0:
            used_after.append(float(number))
            used.append(process_usage())
    took_ms = (time.perf_counter() - begin_s) / count * 1000
    return took_ms, {name: slope_of(used_after, [sample[name] for sample in used]) for name in used[0]}


def import_ms(code: str) -> float:
    """Returns the median time that the code takes in a new process."""
    program = f"import time; t = time.perf_counter(); {code}; print((time.perf_counter() - t) * 1000)"
    command = [sys.executable, "-c", program]
    runs = [subprocess.run(command, capture_output=True, text=True, check=True) for _ in range(IMPORTS)]
    return statistics.median(float(run.stdout) for run in runs)


def print_requests(rounds: int) -> None:
    """Prints latencies by access path."""
    paths: dict[str, Callable[[int], list[float]]] = {
        "decisions alone": decisions_alone,
        "library, in process": in_process,
        "library, from a thread": from_a_thread,
        "gateway, over loopback": over_loopback,
    }
    print(f"{'a request, ms':<26}{'median':>8}{'p99':>8}")
    for name, measure in paths.items():
        took_ms = measure(rounds)[int(rounds * WARM_UP_SHARE) :]
        print(f"{name:<26}{statistics.median(took_ms):>8.3f}{statistics.quantiles(took_ms, n=100)[98]:>8.3f}")


def print_imports() -> None:
    """Prints import times."""
    print(f"\n{'import, ms (median of 7)':<26}")
    for name, code in (
        ("decisions", "import ternlane; ternlane.Router"),
        ("the library", "import ternlane; ternlane.open_routing"),
        ("the gateway", "import ternlane; ternlane.open_gateway"),
    ):
        print(f"{name:<26}{import_ms(code):>8.1f}")


def print_routers(count: int) -> None:
    """Prints the resources that discarded routers keep."""
    took_ms, retained = trio.run(partial(run_routers, count))
    print(f"\n{count} routers opened, used and closed, {took_ms:.2f} ms each; growth per router:")
    for name, slope in retained.items():
        print(f"{name:<26}{slope.value:>12.5f} +- {slope.half_width:.5f}")


def main() -> None:
    """Runs all measurements."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--rounds", type=int, default=400)
    parser.add_argument("--routers", type=int, default=10_000)
    options = parser.parse_args()
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.WARNING))
    print_requests(options.rounds)
    print_imports()
    print_routers(options.routers)


if __name__ == "__main__":
    main()
