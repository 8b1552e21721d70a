"""Measures the gateway's overhead: latency added to direct engine requests, and requests per CPU core.

    python -m bench.gateway [--seconds 5] [--rounds 600] [--turns 3] [--profile]

Engines answer immediately with eight tokens. Variants of the gateway run at the same time and are measured in turns, so
that other load on the machine affects all of them alike.
"""

from __future__ import annotations

import argparse
import cProfile
import logging
import pstats
import statistics
import subprocess
import tempfile
import time
from collections.abc import Awaitable, Callable
from contextlib import ExitStack
from functools import partial
from pathlib import Path

import structlog
import trio

from bench.chat_client import ANSWER_TOKENS, request_from_engines, request_from_gateway
from bench.gateway_processes import (
    CONNECT_TIMEOUT_MS,
    CONNECTION_IDLE_MS,
    ENGINES,
    PORTS,
    VARIANTS,
    LoadResult,
    config_path,
    engines_process,
    load_command,
    measure_load,
    python_process,
    run_engines,
    run_load,
    wait_until_listening,
    write_configs,
)
from ternlane.config import GatewayConfig, read_config
from ternlane.gateway import open_gateway
from ternlane.http1 import ConnectionPool
from ternlane.scenarios.ports import reserve_ports

DIRECT = "direct"
WARM_UP_SHARE = 1 / 10  # share of rounds left out of the results
ENGINE_START_S = 1.0
PROFILE_LINES = 28

SendRequest = Callable[[ConnectionPool, int], Awaitable[list[float]]]
TokenTimes = list[list[float]]  # ms, by round and token


async def measure_alternating(senders: dict[str, SendRequest], rounds: int) -> dict[str, TokenTimes]:
    """Sends one request at a time, alternating between `senders`; returns token times by name."""
    pool = ConnectionPool(CONNECT_TIMEOUT_MS, CONNECTION_IDLE_MS)
    times: dict[str, TokenTimes] = {name: [] for name in senders}
    for number in range(rounds):
        for name, send in senders.items():
            token_times_ms = await send(pool, number)
            if number >= int(rounds * WARM_UP_SHARE):
                times[name].append(token_times_ms)
    pool.close()
    return times


async def measure_latency(first_port: int, addresses: dict[str, str], rounds: int) -> dict[str, TokenTimes]:
    """Measures requests sent directly to the engines and through each variant."""
    prefill_server = f"127.0.0.1:{first_port}"
    decode_server = f"127.0.0.1:{first_port + 1}"
    for address in (prefill_server, f"127.0.0.1:{first_port + ENGINES - 1}", *addresses.values()):
        await wait_until_listening(address)

    async def direct(pool: ConnectionPool, number: int) -> list[float]:
        return await request_from_engines(pool, prefill_server, decode_server, number)

    async def through(address: str, pool: ConnectionPool, number: int) -> list[float]:
        return await request_from_gateway(pool, address, number)

    senders: dict[str, SendRequest] = {DIRECT: direct}
    for name, address in addresses.items():
        senders[name] = partial(through, address)
    return await measure_alternating(senders, rounds)


def percentile(values: list[float], number: int = 50) -> float:
    """Returns a percentile, by default the median."""
    return statistics.quantiles(values, n=100)[number - 1]


def print_latency(times: dict[str, TokenTimes]) -> None:
    """Prints first and last token times and the latency each variant adds."""
    print(f"{'one at a time, ms':<20}{'first token':>12}{'added':>8}{'p99':>8}{'last token':>12}{'added':>8}")
    direct_first = percentile([token_times[0] for token_times in times[DIRECT]])
    direct_last = percentile([token_times[-1] for token_times in times[DIRECT]])
    for name, rounds in times.items():
        first = [token_times[0] for token_times in rounds]
        last = [token_times[-1] for token_times in rounds]
        print(
            f"{name:<20}{percentile(first):>12.2f}{percentile(first) - direct_first:>8.2f}"
            f"{percentile(first, 99):>8.2f}{percentile(last):>12.2f}{percentile(last) - direct_last:>8.2f}"
        )


def measure_full_load(
    addresses: dict[str, str], pids: dict[str, int], turns: int, seconds: float, width: int
) -> dict[str, list[LoadResult]]:
    """Measures each variant in turns; returns results by variant."""
    results: dict[str, list[LoadResult]] = {name: [] for name in pids}
    for _ in range(turns):
        for name, pid in pids.items():
            results[name].append(measure_load(addresses[name], seconds, width, pid))
    return results


def print_full_load(results: dict[str, list[LoadResult]], width: int) -> None:
    """Prints medians over the turns."""
    print(
        f"\n{'at full load':<20}{'requests/s':>12}{'cores':>12}{'requests/core-s':>17}   "
        f"({ANSWER_TOKENS} tokens each, two load processes x {width})"
    )
    for name, turns in results.items():
        answered = statistics.median(turn.answered_per_s for turn in turns)
        cores = statistics.median(turn.cores for turn in turns)
        per_core_s = statistics.median(turn.answered_per_core_s for turn in turns)
        print(f"{name:<20}{answered:>12.0f}{cores:>12.2f}{per_core_s:>17.0f}")


def compare_variants(options: argparse.Namespace) -> None:
    """Starts engines and all variants, and prints latency and full-load results."""
    with reserve_ports(PORTS) as ports, tempfile.TemporaryDirectory() as name, ExitStack() as stack:
        first_port = ports.first
        folder = Path(name)
        addresses = write_configs(folder, first_port)
        for index in range(2):
            half = ENGINES // 2
            stack.enter_context(engines_process(first_port + index * half, half, index, folder))
        pids: dict[str, int] = {}
        for variant_name, variant in VARIANTS.items():
            path = config_path(folder, variant_name)
            arguments = ("-m", "ternlane", "serve", "--log", "warning", str(path), *variant.arguments)
            pids[variant_name] = stack.enter_context(python_process(*arguments, log=path.with_suffix(".log"))).pid
        print_latency(trio.run(measure_latency, first_port, addresses, options.rounds))
        results = measure_full_load(addresses, pids, options.turns, options.seconds, options.width)
        print_full_load(results, options.width)


def profile(seconds: float, width: int) -> None:
    """Profiles a gateway in this process; engines and load run in other processes."""
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.WARNING))
    with reserve_ports(PORTS) as ports, tempfile.TemporaryDirectory() as name:
        first_port = ports.first
        folder = Path(name)
        address = write_configs(folder, first_port)["gateway"]

        async def serve() -> None:
            async with open_gateway(read_config(config_path(folder, "gateway"), GatewayConfig)):
                command = load_command(address, seconds, width)
                load = await trio.to_thread.run_sync(lambda: subprocess.run(command, capture_output=True, check=True))
                print(f"\nprofiled: {int(load.stdout.split()[-1]) / seconds:.0f} requests per second")

        with engines_process(first_port, ENGINES, 0, folder):
            time.sleep(ENGINE_START_S)
            profiler = cProfile.Profile()
            profiler.runcall(trio.run, serve)
        pstats.Stats(profiler).sort_stats("tottime").print_stats(PROFILE_LINES)


def main() -> None:
    """Parses the command line; the hidden options are for the processes that this program starts."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--rounds", type=int, default=600)
    parser.add_argument("--turns", type=int, default=3)
    parser.add_argument("--width", type=int, default=24)
    parser.add_argument("--engines", type=int, nargs=3, help=argparse.SUPPRESS)
    parser.add_argument("--load", help=argparse.SUPPRESS)
    parser.add_argument("--profile", action="store_true", help="also profile a gateway under full load")
    options = parser.parse_args()
    if options.engines:
        trio.run(run_engines, *options.engines)
    elif options.load:
        trio.run(run_load, options.load, options.seconds, options.width)
    else:
        compare_variants(options)
        if options.profile:
            profile(options.seconds, options.width)


if __name__ == "__main__":
    main()
