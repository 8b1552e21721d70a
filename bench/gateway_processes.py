"""Processes used by `bench.gateway`: engines, gateways and load clients."""

from __future__ import annotations

import json
import os
import subprocess
import sys
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import trio

from bench.chat_client import ANSWER_TOKENS, request_from_gateway
from ternlane.http1 import ConnectionPool
from ternlane.testing.engine import EngineProfile, FakeEngine
from ternlane.testing.traffic import TrafficLog

# Engines answer immediately, so that the measured time is the gateway's.
FAST_ENGINE = EngineProfile(
    slots=4000,
    queue=4000,
    kv_capacity_tokens=1e9,
    prefill_tokens_per_s=1e7,
    token_ms=0.0,
    token_growth=0.0,
    near_tokens_per_s=1e9,
    far_tokens_per_s=1e9,
    answer_tokens=(ANSWER_TOKENS, ANSWER_TOKENS),
)
REQUEST_CLASSES = [{"name": "summary", "effect": "idempotent", "slo_ms": 2000, "limit_ms": 10000, "revenue": 3}]
ENGINES = 8
FIRST_GATEWAY_PORT = 16  # offset from the first port of the run
PORTS = 24
LOAD_PROCESSES = 2
CONNECT_TIMEOUT_MS = 2000.0
CONNECTION_IDLE_MS = 60e3
EXIT_TIMEOUT_S = 10
READY_POLLS = 300
READY_POLL_S = 0.02


@dataclass(frozen=True)
class Variant:
    """A configuration of the gateway."""

    config: dict[str, Any]  # additions to the common configuration
    arguments: tuple[str, ...] = ()


VARIANTS = {
    "gateway": Variant({}),
    "streams not joined": Variant({"streams": {"resume": False}}),
    "with a journal": Variant({"journal": "j"}),
    "round robin": Variant({}, ("--chooser", "ternlane.scenarios.baseline:RoundRobin")),
}


async def run_engines(first_port: int, count: int, index: int) -> None:
    """Runs alternating prefill and decode servers until the process ends. `index`: number of the process."""
    async with trio.open_nursery() as nursery:
        for number in range(count):
            engine = FakeEngine(
                ident=f"e{index}-{number}",
                role="read" if number % 2 == 0 else "write",
                zone="hall",
                cell=0,
                host="127.0.0.1",
                port=first_port + number,
                profile=FAST_ENGINE,
                traffic=TrafficLog(Path(os.devnull)),
                seed=1,
            )
            nursery.start_soon(engine.run, nursery)


async def run_load(address: str, seconds: float, width: int) -> None:
    """Runs `width` closed-loop clients and prints the number of completed requests."""
    pool = ConnectionPool(CONNECT_TIMEOUT_MS, CONNECTION_IDLE_MS)
    end_s = trio.current_time() + seconds
    answered = 0

    async def client(number: int) -> None:
        nonlocal answered
        while trio.current_time() < end_s:
            assert len(await request_from_gateway(pool, address, number)) == ANSWER_TOKENS
            answered += 1
            number += width

    async with trio.open_nursery() as nursery:
        for number in range(width):
            nursery.start_soon(client, number)
    print(answered)


@contextmanager
def python_process(*arguments: str, log: Path) -> Iterator[subprocess.Popen[bytes]]:
    """Runs a Python process and terminates it on exit from the context."""
    with open(log, "wb") as output:
        process = subprocess.Popen([sys.executable, *arguments], stdout=output, stderr=output)
    try:
        yield process
    finally:
        process.terminate()
        process.wait(EXIT_TIMEOUT_S)


def engines_process(first_port: int, count: int, index: int, folder: Path) -> Any:
    """Returns a context that runs a process with engines."""
    arguments = ("-m", "bench.gateway", "--engines", str(first_port), str(count), str(index))
    return python_process(*arguments, log=folder / f"engines-{index}.log")


def cpu_s(pid: int) -> float:
    """Returns the CPU time used by the process."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    user_ticks = int(fields[11])
    system_ticks = int(fields[12])
    return (user_ticks + system_ticks) / os.sysconf("SC_CLK_TCK")


@dataclass(frozen=True)
class LoadResult:
    """Throughput and CPU use of a gateway at full load."""

    answered_per_s: float
    cores: float  # CPU seconds per second

    @property
    def answered_per_core_s(self) -> float:
        """Completed requests per CPU second."""
        return self.answered_per_s / self.cores


def load_command(address: str, seconds: float, width: int) -> list[str]:
    """Returns the command line of a load process."""
    options = ["--load", address, "--seconds", str(seconds), "--width", str(width)]
    return [sys.executable, "-m", "bench.gateway", *options]


def measure_load(address: str, seconds: float, width: int, gateway_pid: int) -> LoadResult:
    """Loads one gateway from LOAD_PROCESSES processes."""
    used_s = cpu_s(gateway_pid)
    begin_s = time.perf_counter()
    command = load_command(address, seconds, width)
    processes = [subprocess.Popen(command, stdout=subprocess.PIPE) for _ in range(LOAD_PROCESSES)]
    answered = sum(int(process.communicate(timeout=seconds + 30)[0].split()[-1]) for process in processes)
    took_s = time.perf_counter() - begin_s
    return LoadResult(answered / seconds, (cpu_s(gateway_pid) - used_s) / took_s)


async def wait_until_listening(address: str) -> None:
    """Exits the program if the address does not accept connections in time."""
    host, _, port = address.rpartition(":")
    for _ in range(READY_POLLS):
        try:
            stream = await trio.open_tcp_stream(host, int(port))
        except OSError:
            await trio.sleep(READY_POLL_S)
            continue
        await stream.aclose()
        return
    raise SystemExit(f"{address} did not accept connections in time")


def config_path(folder: Path, variant: str) -> Path:
    """Returns the path of a variant's configuration."""
    return folder / f"{list(VARIANTS).index(variant)}.json"


def write_configs(folder: Path, first_port: int) -> dict[str, str]:
    """Writes a configuration for each variant and returns their addresses."""
    servers = [
        {
            "id": f"e{number}",
            "address": f"127.0.0.1:{first_port + number}",
            "duty": "read" if number % 2 == 0 else "write",
            "mem_toks": 1e9,
        }
        for number in range(ENGINES)
    ]
    addresses: dict[str, str] = {}
    for index, (name, variant) in enumerate(VARIANTS.items()):
        addresses[name] = f"127.0.0.1:{first_port + FIRST_GATEWAY_PORT + index}"
        config = {
            "name": f"b{index}",
            "listen": addresses[name],
            "products": REQUEST_CLASSES,
            "nodes": {"from": "inline", "nodes": servers},
            **variant.config,
        }
        if "journal" in config:
            config["journal"] = str(folder / str(config["journal"]))
        config_path(folder, name).write_text(json.dumps(config))
    return addresses
