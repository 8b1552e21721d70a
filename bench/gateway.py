"""What the gateway costs: latency against asking engines straight, and requests a core, in one run.

    python -m bench.gateway [--seconds 5] [--rounds 600] [--turns 3] [--profile]

Engines answer at once with eight tokens. Variants of the gateway run side by side and are asked in turns, so that what
the machine does beside strikes all alike.
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

from bench.chat_client import ANSWER_TOKENS, ask_engines, ask_gateway
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
from ternlane.scenarios.ports import free_ports

STRAIGHT = "straight"
WARM_UP_SHARE = 1 / 10  # of the rounds, which do not count
ENGINE_START_S = 1.0
PROFILE_LINES = 28

Ask = Callable[[ConnectionPool, int], Awaitable[list[float]]]
TokenTimes = list[list[float]]  # ms, by round and token


async def ask_in_turns(asks: dict[str, Ask], rounds: int) -> dict[str, TokenTimes]:
    """One request at a time, by name."""
    pool = ConnectionPool(CONNECT_TIMEOUT_MS, CONNECTION_IDLE_MS)
    times: dict[str, TokenTimes] = {name: [] for name in asks}
    for number in range(rounds):
        for name, ask in asks.items():
            token_times_ms = await ask(pool, number)
            if number >= int(rounds * WARM_UP_SHARE):
                times[name].append(token_times_ms)
    pool.close()
    return times


async def measure_latency(first_port: int, addresses: dict[str, str], rounds: int) -> dict[str, TokenTimes]:
    """Of asking engines straight, and through each variant."""
    prefill_server = f"127.0.0.1:{first_port}"
    decode_server = f"127.0.0.1:{first_port + 1}"
    for address in (prefill_server, f"127.0.0.1:{first_port + ENGINES - 1}", *addresses.values()):
        await wait_until_listening(address)

    async def straight(pool: ConnectionPool, number: int) -> list[float]:
        return await ask_engines(pool, prefill_server, decode_server, number)

    async def through(address: str, pool: ConnectionPool, number: int) -> list[float]:
        return await ask_gateway(pool, address, number)

    asks: dict[str, Ask] = {STRAIGHT: straight}
    for name, address in addresses.items():
        asks[name] = partial(through, address)
    return await ask_in_turns(asks, rounds)


def percentile(values: list[float], number: int = 50) -> float:
    """The median, or another."""
    return statistics.quantiles(values, n=100)[number - 1]


def print_latency(times: dict[str, TokenTimes]) -> None:
    """First and last token, and what each variant adds."""
    print(f"{'one at a time, ms':<20}{'first token':>12}{'added':>8}{'p99':>8}{'last token':>12}{'added':>8}")
    straight_first = percentile([token_times[0] for token_times in times[STRAIGHT]])
    straight_last = percentile([token_times[-1] for token_times in times[STRAIGHT]])
    for name, rounds in times.items():
        first = [token_times[0] for token_times in rounds]
        last = [token_times[-1] for token_times in rounds]
        print(
            f"{name:<20}{percentile(first):>12.2f}{percentile(first) - straight_first:>8.2f}"
            f"{percentile(first, 99):>8.2f}{percentile(last):>12.2f}{percentile(last) - straight_last:>8.2f}"
        )


def measure_full_load(
    addresses: dict[str, str], pids: dict[str, int], turns: int, seconds: float, width: int
) -> dict[str, list[LoadResult]]:
    """By variant."""
    results: dict[str, list[LoadResult]] = {name: [] for name in pids}
    for _ in range(turns):
        for name, pid in pids.items():
            results[name].append(measure_load(addresses[name], seconds, width, pid))
    return results


def print_full_load(results: dict[str, list[LoadResult]], width: int) -> None:
    """Medians over the turns."""
    print(
        f"\n{'at full load':<20}{'a second':>12}{'of a core':>12}{'a core-second':>15}   "
        f"({ANSWER_TOKENS} tokens each, two load processes x {width})"
    )
    for name, turns in results.items():
        answered = statistics.median(turn.answered_per_s for turn in turns)
        cores = statistics.median(turn.cores for turn in turns)
        per_core_s = statistics.median(turn.answered_per_core_s for turn in turns)
        print(f"{name:<20}{answered:>12.0f}{cores:>12.2f}{per_core_s:>15.0f}")


def compare_variants(options: argparse.Namespace) -> None:
    """Runs engines and all variants, and prints latency and full load."""
    first_port = free_ports(PORTS)
    with tempfile.TemporaryDirectory() as name, ExitStack() as stack:
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
    """A gateway in this process under cProfile, engines and load outside."""
    first_port = free_ports(PORTS)
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.WARNING))
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        address = write_configs(folder, first_port)["gateway"]

        async def serve() -> None:
            async with open_gateway(read_config(config_path(folder, "gateway"), GatewayConfig)):
                command = load_command(address, seconds, width)
                load = await trio.to_thread.run_sync(lambda: subprocess.run(command, capture_output=True, check=True))
                print(f"\nprofiled: {int(load.stdout.split()[-1]) / seconds:.0f} generations a second")

        with engines_process(first_port, ENGINES, 0, folder):
            time.sleep(ENGINE_START_S)
            profiler = cProfile.Profile()
            profiler.runcall(trio.run, serve)
        pstats.Stats(profiler).sort_stats("tottime").print_stats(PROFILE_LINES)


def main() -> None:
    """Reads the command line; the hidden options are those of the processes that it starts itself."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--rounds", type=int, default=600)
    parser.add_argument("--turns", type=int, default=3)
    parser.add_argument("--width", type=int, default=24)
    parser.add_argument("--engines", type=int, nargs=3, help=argparse.SUPPRESS)
    parser.add_argument("--load", help=argparse.SUPPRESS)
    parser.add_argument("--profile", action="store_true", help="where the gateway's time goes")
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
