"""What the gateway adds, and what one core carries: straight to a stand-in, through the gateway, through it with
round robin, side by side in one run. Stand-in engines that answer at once; figures are of this machine.

    python -m bench.gateway [--seconds 5] [--profile]
"""

from __future__ import annotations

import argparse
import cProfile
import json
import os
import pstats
import statistics
import subprocess
import sys
import tempfile
import time
from contextlib import ExitStack, contextmanager
from functools import partial
from pathlib import Path
from typing import Any, Iterator

import msgspec
import trio

from ternlane.engine.protocol import read_body, write_body
from ternlane.http1 import ClientConnection, EventReader, ConnectionPool
from ternlane.testing.engine import EngineProfile, FakeEngine
from ternlane.testing.traffic import Traffic

QUICK = EngineProfile(
    slots=4000,
    queue=4000,
    kv_capacity_tokens=1e9,
    prefill_tokens_per_s=1e7,
    token_ms=0.0,
    token_growth=0.0,
    near_tokens_per_s=1e9,
    far_tokens_per_s=1e9,
    answer_tokens=(8, 8),
)
REQUEST_CLASSES = [{"name": "summary", "effect": "idempotent", "slo_ms": 2000, "limit_ms": 10000, "revenue": 3}]
TOKENS = 8
VARIANTS: dict[str, dict[str, Any]] = {
    "gateway": {},
    "streams not joined": {"streams": {"resume": False}},
    "with a journal": {"journal": "j"},
    "round robin": {},
}


def body(i: int, tokens: int = TOKENS) -> dict[str, Any]:
    messages = [
        {"role": "system", "content": "the shared rules of the bonus " * 40},
        {"role": "user", "content": f"folder {i} " * 20},
    ]
    return {"model": "summary", "stream": True, "messages": messages, "max_tokens": tokens}


async def engines(port: int, count: int, index: int) -> None:
    async with trio.open_nursery() as nursery:
        for i in range(count):
            engine = FakeEngine(
                f"e{index}-{i}",
                "read" if i % 2 == 0 else "write",
                "hall",
                0,
                "127.0.0.1",
                port + i,
                QUICK,
                Traffic(Path(os.devnull)),
                1,
            )
            nursery.start_soon(engine.run, nursery)


async def direct(pool: ConnectionPool, prefill_server: str, decode_server: str, i: int) -> list[float]:
    """Reads and writes straight at the engines; times of the token events, ms since the ask."""
    since, raw = time.perf_counter(), body(i)
    head = [("Content-Type", "application/json"), ("X-Request-Id", f"d{i}.0")]
    caller = await pool.take(prefill_server)
    await caller.ask("POST", "/v1/chat/completions", head, read_body(raw))
    state = msgspec.json.decode(await caller.body(1 << 20))["kv_transfer_params"]
    pool.give_back(caller)
    caller = await pool.take(decode_server)
    await caller.ask("POST", "/v1/chat/completions", head, write_body(raw, state, TOKENS))
    return await events(pool, caller, since)


async def through(pool: ConnectionPool, address: str, i: int) -> list[float]:
    since = time.perf_counter()
    caller = await pool.take(address)
    head = [("Content-Type", "application/json")]
    await caller.ask("POST", "/v1/chat/completions", head, msgspec.json.encode(body(i)))
    return await events(pool, caller, since)


async def events(pool: ConnectionPool, caller: ClientConnection, since: float) -> list[float]:
    prefill_server, at = EventReader(), []
    async for chunk in caller.chunks():
        for data in prefill_server.feed(chunk):
            if '"content"' in data:
                at.append((time.perf_counter() - since) * 1000)
    pool.give_back(caller)
    return at


@contextmanager
def process(*args: str, log: Path) -> Iterator[subprocess.Popen[bytes]]:
    with open(log, "wb") as out:
        it = subprocess.Popen([sys.executable, *args], stdout=out, stderr=out)
    try:
        yield it
    finally:
        it.terminate()
        it.wait(10)


def cpu_s(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def one_by_one(pool: ConnectionPool, ways: dict[str, Any], rounds: int) -> dict[str, list[list[float]]]:
    """The ways in turn, so that the machine's moods strike all alike."""
    got: dict[str, list[list[float]]] = {name: [] for name in ways}
    for i in range(rounds):
        for name, way in ways.items():
            at = await way(pool, i=i)
            if i >= rounds // 10:  # the first warm up
                got[name].append(at)
    return got


async def load(address: str, seconds: float, width: int) -> None:
    """A load process of its own: prints how many generations it got."""
    pool, done, end = ConnectionPool(2000, 60e3), 0, trio.current_time() + seconds

    async def keep_on(k: int) -> None:
        nonlocal done
        i = k
        while trio.current_time() < end:
            assert len(await through(pool, address, i)) == TOKENS
            done, i = done + 1, i + width

    async with trio.open_nursery() as nursery:
        for k in range(width):
            nursery.start_soon(keep_on, k)
    print(done)


def many_loads(address: str, seconds: float, width: int, pid: int) -> tuple[float, float]:
    used, begin = cpu_s(pid), time.perf_counter()
    loads = [
        subprocess.Popen(
            [
                sys.executable,
                "-m",
                "bench.gateway",
                "--load",
                address,
                "--seconds",
                str(seconds),
                "--width",
                str(width),
            ],
            stdout=subprocess.PIPE,
        )
        for _ in range(2)
    ]
    done = sum(int(p.communicate(timeout=seconds + 30)[0].split()[-1]) for p in loads)
    took = time.perf_counter() - begin
    return done / seconds, (cpu_s(pid) - used) / took


async def ready(address: str) -> None:
    for _ in range(300):
        try:
            stream = await trio.open_tcp_stream(address.split(":")[0], int(address.split(":")[1]))
            await stream.aclose()
            return
        except OSError:
            await trio.sleep(0.02)
    raise SystemExit(f"{address} does not listen")


def mid(values: list[float], q: float = 0.5) -> float:
    return statistics.quantiles(values, n=100)[int(q * 100) - 1]


def papers(folder: Path, port: int) -> dict[str, str]:
    nodes = [
        {"id": f"e{i}", "address": f"127.0.0.1:{port + i}", "duty": "read" if i % 2 == 0 else "write", "mem_toks": 1e9}
        for i in range(8)
    ]
    out = {}
    for k, (name, more) in enumerate(VARIANTS.items()):
        address = f"127.0.0.1:{port + 16 + k}"
        (folder / f"{k}.json").write_text(
            json.dumps(
                {
                    "name": f"b{k}",
                    "listen": address,
                    "products": REQUEST_CLASSES,
                    "nodes": {"from": "inline", "nodes": nodes},
                    **{key: str(folder / value) if key == "journal" else value for key, value in more.items()},
                }
            )
        )
        out[name] = address
    return out


def main() -> None:
    args = argparse.ArgumentParser()
    args.add_argument("--seconds", type=float, default=5.0)
    args.add_argument("--rounds", type=int, default=600)
    args.add_argument("--turns", type=int, default=3)
    args.add_argument("--width", type=int, default=24)
    args.add_argument("--engines", type=int, nargs=3, help=argparse.SUPPRESS)
    args.add_argument("--load", help=argparse.SUPPRESS)
    args.add_argument("--profile", action="store_true", help="where the gateway's time goes")
    told = args.parse_args()
    if told.engines:
        trio.run(engines, *told.engines)
        return
    if told.load:
        trio.run(load, told.load, told.seconds, told.width)
        return
    from ternlane.scenarios.ports import free_ports

    port = free_ports(24)
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        address = papers(folder, port)
        serve = ["-m", "ternlane", "serve", "--log", "warning"]
        with (
            process("-m", "bench.gateway", "--engines", str(port), "4", "0", log=folder / "e0.log"),
            process("-m", "bench.gateway", "--engines", str(port + 4), "4", "1", log=folder / "e1.log"),
            ExitStack() as stack,
        ):
            serving = {
                n: stack.enter_context(
                    process(
                        *serve,
                        str(folder / f"{k}.json"),
                        *(("--chooser", "ternlane.scenarios.baseline:RoundRobin") if n == "round robin" else ()),
                        log=folder / f"{k}.log",
                    )
                )
                for k, n in enumerate(VARIANTS)
            }

            async def measure() -> None:
                for a in (f"127.0.0.1:{port}", f"127.0.0.1:{port + 7}", *address.values()):
                    await ready(a)
                pool = ConnectionPool(2000, 60e3)
                ways: dict[str, Any] = {n: partial(through, address=a) for n, a in address.items()}
                ways = {
                    "straight": partial(
                        direct, prefill_server=f"127.0.0.1:{port}", decode_server=f"127.0.0.1:{port + 1}"
                    ),
                    **ways,
                }
                got = await one_by_one(pool, ways, told.rounds)
                print(
                    f"{'one at a time, ms':<20}{'first token':>12}{'added':>8}{'p99':>8}{'last token':>12}{'added':>8}"
                )
                base = {k: [at[k] for at in got["straight"]] for k in (0, -1)}
                for n, runs in got.items():
                    first, last = [at[0] for at in runs], [at[-1] for at in runs]
                    print(
                        f"{n:<20}{mid(first):>12.2f}{mid(first) - mid(base[0]):>8.2f}{mid(first, 0.99):>8.2f}"
                        f"{mid(last):>12.2f}{mid(last) - mid(base[-1]):>8.2f}"
                    )
                pool.close()

            trio.run(measure)
            print(
                f"\n{'at full load':<20}{'a second':>12}{'of a core':>12}{'a core-second':>15}   "
                f"({TOKENS} tokens each, two load processes x {told.width})"
            )
            runs: dict[str, list[tuple[float, float]]] = {n: [] for n in serving}
            for _ in range(told.turns):  # in turns, as the machine's moods change
                for n, it in serving.items():
                    runs[n].append(many_loads(address[n], told.seconds, told.width, it.pid))
            for n, got in runs.items():
                rate, part = statistics.median(r for r, _ in got), statistics.median(p for _, p in got)
                print(f"{n:<20}{rate:>12.0f}{part:>12.2f}{statistics.median(r / p for r, p in got):>15.0f}")
    if told.profile:
        profile(told.seconds)


def profile(seconds: float) -> None:
    """A gateway in this process under cProfile, engines and load outside."""
    from ternlane.scenarios.ports import free_ports
    from ternlane.gateway import open_gateway
    from ternlane.config import GatewayConfig, read_config

    port = free_ports(24)
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        address = papers(folder, port)["gateway"]

        async def serve() -> None:
            async with open_gateway(read_config(folder / "0.json", GatewayConfig)):
                it = await trio.to_thread.run_sync(
                    lambda: subprocess.run(
                        [sys.executable, "-m", "bench.gateway", "--load", address, "--seconds", str(seconds)],
                        capture_output=True,
                        check=True,
                    )
                )
                print(f"\nprofiled: {int(it.stdout.split()[-1]) / seconds:.0f} generations a second")

        import logging

        import structlog

        structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.WARNING))
        with process("-m", "bench.gateway", "--engines", str(port), "8", "0", log=folder / "e.log"):
            time.sleep(1)
            profiler = cProfile.Profile()
            profiler.runcall(trio.run, serve)
        pstats.Stats(profiler).sort_stats("tottime").print_stats(28)


if __name__ == "__main__":
    main()
