"""Starts what deploy/balancer.toml calls `run` with a small configuration, serves one generation through a reader and a
writer, reloads it and ends it. Exit code 0 if all of that went well."""
from __future__ import annotations

import json
import os
import signal
import sys
import tempfile
import tomllib
from pathlib import Path

import trio

sys.path.insert(0, str(Path(__file__).parent.parent))

from ternlane.http1 import Pool, Unconnected    # noqa: E402
from ternlane.standin.platform import Discovery, Fleet, ModelServer    # noqa: E402

SETTINGS = {
    "kinds": ["reader", "writer"], "limits": {"cancel": True, "conn_idle": 2000.0, "connect_timeout": 250.0,
                                              "most_tries": 5, "retry_after": True, "max_retry_after": 500.0},
    "invariants": {"cold": 2000.0, "cold_from": 0.3, "overload_factor": 4.0, "overload_for": 1000.0},
    "locality": "hall", "n_instances": 1, "step": 1.0,
    "profiles": [{"name": "summary", "aim": 2000.0, "deadline": 10000.0, "semantics": "idempotent"}],
    "specifics": {"duty_by_kind": ["read", "write"], "release": 500.0, "tokens_by_kind": [200000, 200000]}}


async def main() -> None:
    async with trio.open_nursery() as nursery:
        fleet, discovery, pool = Fleet(nursery), Discovery(nursery), Pool(1000, 1000)
        await discovery.start()
        for name, duty, kind in (("r0", "read", "reader"), ("w0", "write", "writer")):
            server = ModelServer(name, duty, fleet)
            await server.start()
            discovery.put(name, server.address, kind)
        spare = await trio.open_tcp_listeners(0, host="127.0.0.1")
        address = "%s:%d" % spare[0].socket.getsockname()[:2]
        spare[0].socket.close()
        with tempfile.TemporaryDirectory() as folder:
            config = Path(folder) / "config.json"
            config.write_text(json.dumps({
                "name": "n0", "listen": address, "discovery": discovery.address, "seed": "2a", "settings": SETTINGS,
                "limits": {"cores": 1.0, "memory_mb": 128, "sockets": 256}, "known": discovery.listing()}))
            command = tomllib.loads(Path("deploy/balancer.toml").read_text())["run"]
            env = os.environ | {"NODE_CONFIG": str(config), "NODE_NAME": "n0", "NODE_LISTEN": address,
                                "NODE_DISCOVERY": discovery.address}
            process = await trio.lowlevel.open_process(["/bin/sh", "-c", command], env=env)
            try:
                with trio.fail_after(30):
                    while True:
                        try:
                            caller = await pool.connect(address)
                            head = await caller.ask("GET", "/health/ready", [])
                            caller.close_now()
                            assert head.status_code == 200, head
                            break
                        except Unconnected:
                            await trio.sleep(0.05)
                    for turn in range(2):
                        caller = await pool.connect(address)
                        head = await caller.ask("POST", "/v1/chat/completions", [
                            ("Request-Id", f"{turn:016x}"), ("Request-Class", "summary"), ("Request-Timeout", "5.0"),
                            ("Request-Info", "prompt_len=8,prefix_len=0,max_out=8")], b'{"model":"chat"}')
                        body = await caller.body(65536)
                        caller.close_now()
                        assert head.status_code == 200 and b"[DONE]" in body, (head, body)
                        process.send_signal(signal.SIGHUP)
                    assert fleet.count("read") == fleet.count("write") == 2 and not fleet.states
                    process.send_signal(signal.SIGTERM)
                    status = await process.wait()
                    assert status == 0, f"exit status {status}"
            finally:
                process.kill()
        nursery.cancel_scope.cancel()
    print("run: ready, two generations served, reloaded twice, ended well")


trio.run(main)
