"""Runs three gateway processes on one host with fake engines and sends a request to each with the Python client."""

import json
import signal
import subprocess
import sys
import tempfile
import threading
from pathlib import Path

import trio

from ternlane.client import Client
from ternlane.scenarios.ports import reserve_ports
from ternlane.testing.engine import EngineProfile, FakeEngine
from ternlane.testing.traffic import TrafficLog


def engines(port: int) -> None:
    async def serve() -> None:
        async with trio.open_nursery() as nursery:
            for i, role in enumerate(("read", "write")):
                profile = EngineProfile(answer_tokens=(5, 5))
                engine = FakeEngine(role, role, "hall", 0, "127.0.0.1", port + i, profile, TrafficLog(None), 1)
                nursery.start_soon(engine.run, nursery)

    trio.run(serve)


ports = reserve_ports(5)
first = ports.first
threading.Thread(target=engines, args=(first,), daemon=True).start()
nodes = [
    {"id": role, "address": f"127.0.0.1:{first + i}", "duty": role, "mem_toks": 1e5}
    for i, role in enumerate(("read", "write"))
]
with tempfile.TemporaryDirectory() as folder:
    daemons = []
    for i in range(3):
        config = Path(folder) / f"g{i}.json5"
        config.write_text(
            json.dumps(
                {
                    "name": f"g{i}",
                    "listen": f"127.0.0.1:{first + 2 + i}",
                    "gateways": 3,
                    "seed": i,
                    "products": [{"name": "summary", "effect": "idempotent", "slo_ms": 1000, "limit_ms": 5000}],
                    "nodes": {"from": "inline", "nodes": nodes},
                }
            )
        )
        daemons.append(subprocess.Popen([sys.executable, "-m", "ternlane", "serve", str(config), "--log", "error"]))
    try:
        for i in range(3):
            with Client(f"http://127.0.0.1:{first + 2 + i}", retries=8) as client:
                text = "".join(client.stream({"model": "summary", "messages": [{"role": "user", "content": "folder"}]}))
                print(f"g{i}: {len(text.split())} words, models {client.models()}")
    finally:
        for daemon in daemons:
            daemon.send_signal(signal.SIGTERM)
        print("exit codes", [daemon.wait(10) for daemon in daemons])
