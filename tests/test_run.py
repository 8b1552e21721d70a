"""The commands `run` and `sim` of deploy/balancer.toml, started as operators start them."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import tomllib
from pathlib import Path

import trio

from ternlane.http1 import ConnectError, ConnectionPool
from ternlane.testing.platform import FakeDiscovery, FakeFleet, FakeModelServer

ROOT = Path(__file__).parent.parent
DEPLOY = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())
SETTINGS = {
    "kinds": ["reader", "writer"],
    "limits": {
        "cancel": True,
        "conn_idle": 2000.0,
        "connect_timeout": 250.0,
        "most_tries": 5,
        "retry_after": True,
        "max_retry_after": 500.0,
    },
    "invariants": {"cold": 2000.0, "cold_from": 0.3, "overload_factor": 4.0, "overload_for": 1000.0},
    "locality": "hall",
    "n_instances": 1,
    "step": 1.0,
    "profiles": [{"name": "summary", "aim": 2000.0, "deadline": 10000.0, "semantics": "idempotent"}],
    "specifics": {"duty_by_kind": ["read", "write"], "release": 500.0, "tokens_by_kind": [200000, 200000]},
}


async def test_run_serves_reloads_and_exits_in_one_process(tmp_path: Path) -> None:
    async with trio.open_nursery() as nursery:
        fleet, discovery, pool = FakeFleet(nursery), FakeDiscovery(nursery), ConnectionPool(1000, 1000)
        await discovery.start()
        for name, role, kind in (("r0", "read", "reader"), ("w0", "write", "writer")):
            server = FakeModelServer(name, role, fleet)
            await server.start()
            discovery.put(name, server.address, kind)
        reserved = await trio.open_tcp_listeners(0, host="127.0.0.1")
        address = "%s:%d" % reserved[0].socket.getsockname()[:2]
        reserved[0].socket.close()
        config = tmp_path / "config.json"
        config.write_text(
            json.dumps(
                {
                    "name": "n0",
                    "listen": address,
                    "discovery": discovery.address,
                    "seed": "2a",
                    "settings": SETTINGS,
                    "limits": {"cores": 1.0, "memory_mb": 128, "sockets": 256},
                    "known": discovery.listing(),
                }
            )
        )
        env = os.environ | {
            "NODE_CONFIG": str(config),
            "NODE_NAME": "n0",
            "NODE_LISTEN": address,
            "NODE_DISCOVERY": discovery.address,
        }
        process = await trio.lowlevel.open_process(["/bin/sh", "-c", DEPLOY["run"]], env=env, cwd=ROOT)
        try:
            with trio.fail_after(30):
                while True:
                    try:
                        connection = await pool.connect(address)
                        head = await connection.ask("GET", "/health/ready", [])
                        connection.close_now()
                        assert head.status_code == 200, head
                        break
                    except ConnectError:
                        await trio.sleep(0.05)
                assert not Path(f"/proc/{process.pid}/task/{process.pid}/children").read_text().split()
                assert (
                    b"ternlane.platform" in Path(f"/proc/{process.pid}/cmdline").read_bytes()
                )  # the shell has replaced itself
                for turn in range(2):
                    connection = await pool.connect(address)
                    head = await connection.ask(
                        "POST",
                        "/v1/chat/completions",
                        [
                            ("Request-Id", f"{turn:016x}"),
                            ("Request-Class", "summary"),
                            ("Request-Timeout", "5.0"),
                            ("Request-Info", "prompt_len=8,prefix_len=0,max_out=8"),
                        ],
                        b'{"model":"chat"}',
                    )
                    body = await connection.body(65536)
                    connection.close_now()
                    assert head.status_code == 200 and b"[DONE]" in body, (head, body)
                    process.send_signal(signal.SIGHUP)
                assert fleet.count("read") == fleet.count("write") == 2 and not fleet.states
                process.send_signal(signal.SIGTERM)
                assert await process.wait() == 0
        finally:
            process.kill()
        nursery.cancel_scope.cancel()


def test_run_imports_only_what_it_uses() -> None:
    """A restarted gateway has only part of a core until it must be ready, so it must not import the chat gateway,
    tenants or tools."""
    loaded = subprocess.run(
        [sys.executable, "-c", "import sys, ternlane.platform.process; print(*sys.modules)"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=True,
    ).stdout.split()
    assert not {
        "click",
        "json5",
        "prometheus_client",
        "xxhash",
        "numpy",
        "ternlane.gateway",
        "ternlane.engine",
        "ternlane.testing",
        "ternlane.tenants",
    } & set(loaded)


def test_sim_answers_the_simulator_and_imports_no_network_modules() -> None:
    completed = subprocess.run(
        ["/bin/sh", "-c", DEPLOY["sim"]], cwd=ROOT, input="MARK 1.0\nEOB\n", capture_output=True, text=True, check=True
    )
    assert completed.stdout.strip() == "YIELD"
    subprocess.run(
        [
            sys.executable,
            "-c",
            "import sys, ternlane.wirehost.host; sys.exit(bool({'trio', 'h11', 'msgspec'} & set(sys.modules)))",
        ],
        cwd=ROOT,
        check=True,
    )
