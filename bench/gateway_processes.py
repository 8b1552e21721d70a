"""The processes that `bench.gateway` measures with: engines, gateways and load."""

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

from bench.chat_client import ANSWER_TOKENS, ask_gateway
from ternlane.http1 import ConnectionPool
from ternlane.testing.engine import EngineProfile, FakeEngine
from ternlane.testing.traffic import TrafficLog

# Engines that answer at once: what is measured is the gateway.
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
FIRST_GATEWAY_PORT = 16  # above the first port of the run
PORTS = 24
LOAD_PROCESSES = 2
CONNECT_TIMEOUT_MS = 2000.0
CONNECTION_IDLE_MS = 60e3
EXIT_TIMEOUT_S = 10
READY_POLLS = 300
READY_POLL_S = 0.02


@dataclass(frozen=True)
class Variant:
    """A way to run the gateway."""

    config: dict[str, Any]  # beside what all have
    arguments: tuple[str, ...] = ()


VARIANTS = {
    "gateway": Variant({}),
    "streams not joined": Variant({"streams": {"resume": False}}),
    "with a journal": Variant({"journal": "j"}),
    "round robin": Variant({}, ("--chooser", "ternlane.scenarios.baseline:RoundRobin")),
}


async def run_engines(first_port: int, count: int, index: int) -> None:
    """Prefill and decode servers in turn, until the process is ended. `index`: of the process."""
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
    """`width` clients that ask again when they are answered; prints how many requests were answered."""
    pool = ConnectionPool(CONNECT_TIMEOUT_MS, CONNECTION_IDLE_MS)
    end_s = trio.current_time() + seconds
    answered = 0

    async def client(number: int) -> None:
        nonlocal answered
        while trio.current_time() < end_s:
            assert len(await ask_gateway(pool, address, number)) == ANSWER_TOKENS
            answered += 1
            number += width

    async with trio.open_nursery() as nursery:
        for number in range(width):
            nursery.start_soon(client, number)
    print(answered)


@contextmanager
def python_process(*arguments: str, log: Path) -> Iterator[subprocess.Popen[bytes]]:
    """Runs Python with these arguments, and ends it in the end."""
    with open(log, "wb") as output:
        process = subprocess.Popen([sys.executable, *arguments], stdout=output, stderr=output)
    try:
        yield process
    finally:
        process.terminate()
        process.wait(EXIT_TIMEOUT_S)


def engines_process(first_port: int, count: int, index: int, folder: Path) -> Any:
    """A process with engines, as a context."""
    arguments = ("-m", "bench.gateway", "--engines", str(first_port), str(count), str(index))
    return python_process(*arguments, log=folder / f"engines-{index}.log")


def cpu_s(pid: int) -> float:
    """CPU time that the process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    user_ticks = int(fields[11])
    system_ticks = int(fields[12])
    return (user_ticks + system_ticks) / os.sysconf("SC_CLK_TCK")


@dataclass(frozen=True)
class LoadResult:
    """What a gateway did at full load."""

    answered_per_s: float
    cores: float  # CPU seconds a second

    @property
    def answered_per_core_s(self) -> float:
        """Requests for a second of CPU."""
        return self.answered_per_s / self.cores


def load_command(address: str, seconds: float, width: int) -> list[str]:
    """Of a load process."""
    options = ["--load", address, "--seconds", str(seconds), "--width", str(width)]
    return [sys.executable, "-m", "bench.gateway", *options]


def measure_load(address: str, seconds: float, width: int, gateway_pid: int) -> LoadResult:
    """Two load processes against one gateway."""
    used_s = cpu_s(gateway_pid)
    begin_s = time.perf_counter()
    command = load_command(address, seconds, width)
    processes = [subprocess.Popen(command, stdout=subprocess.PIPE) for _ in range(LOAD_PROCESSES)]
    answered = sum(int(process.communicate(timeout=seconds + 30)[0].split()[-1]) for process in processes)
    took_s = time.perf_counter() - begin_s
    return LoadResult(answered / seconds, (cpu_s(gateway_pid) - used_s) / took_s)


async def wait_until_listening(address: str) -> None:
    """Ends the run where nobody listens in time."""
    host, _, port = address.rpartition(":")
    for _ in range(READY_POLLS):
        try:
            stream = await trio.open_tcp_stream(host, int(port))
        except OSError:
            await trio.sleep(READY_POLL_S)
            continue
        await stream.aclose()
        return
    raise SystemExit(f"{address} does not listen")


def config_path(folder: Path, variant: str) -> Path:
    """Of a variant's configuration."""
    return folder / f"{list(VARIANTS).index(variant)}.json"


def write_configs(folder: Path, first_port: int) -> dict[str, str]:
    """Writes a configuration for each variant; gives their addresses."""
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
