"""The public interface: imports, use from threads and asyncio, and the life of a daemon."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
import threading
import time
from pathlib import Path
from typing import Any

import httpx
import pytest
import trio

import ternlane
from ternlane.engine import LocalTransport
from tests.test_transports import REQUEST, FakeLocalEngine, gateway_config

ROOT = Path(__file__).parent.parent


def run_python(code: str) -> str:
    process = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, cwd=ROOT, timeout=60)
    assert process.returncode == 0, process.stderr
    return process.stdout


def test_the_router_imports_no_http_stack_and_all_public_names_exist() -> None:
    http_stack = {"trio", "h11", "msgspec", "json5", "structlog", "prometheus_client", "xxhash"}
    output = run_python("import sys, ternlane\nternlane.Router, ternlane.RouterConfig\nprint(*sys.modules)")
    assert not http_stack & set(output.split())
    for name in ternlane.__all__:
        assert getattr(ternlane, name) is not None
    with pytest.raises(AttributeError, match="no attribute 'nothing'"):
        ternlane.nothing  # noqa: B018


def test_all_public_names_have_doc_comments() -> None:
    from ternlane.reference import reference_lines, undocumented_names

    assert undocumented_names() == []
    text = "\n".join(reference_lines())
    assert all(f"### `{name}" in text for name in ternlane.__all__[1:]) and "`.take(now: float," in text


def engines() -> tuple[dict[str, FakeLocalEngine], LocalTransport]:
    engine_map = {i: FakeLocalEngine() for i in ("r0", "w0")}
    return engine_map, LocalTransport(dict(engine_map))  # type: ignore[arg-type]


def test_threads_share_one_router_that_ends_with_its_block() -> None:
    engine_map, transport = engines()
    texts: list[str] = []
    before = threading.active_count()
    with ternlane.Blocking(gateway_config("r0", "w0"), lambda: transport) as routing:
        threads = [threading.Thread(target=lambda: texts.append("".join(routing.request(REQUEST)))) for _ in range(8)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join(5)
        abandoned = routing.request(REQUEST)
        assert next(abandoned) == "0 "
        abandoned.close()  # type: ignore[attr-defined]
        with pytest.raises(ternlane.InvalidRequestError):
            list(routing.request(REQUEST | {"model": "x"}))
        engine_map["w0"].fault = "broken"
        with pytest.raises(ternlane.FailedError):
            list(routing.request(REQUEST))
    assert texts == ["0 1 2 3 4 5 "] * 8 and threading.active_count() == before
    with pytest.raises(RuntimeError, match="has stopped"):
        list(routing.request(REQUEST))


def test_asyncio_callers_are_served_and_may_cancel() -> None:
    engine_map, transport = engines()

    async def main() -> list[str]:
        with ternlane.Bridged(gateway_config("r0", "w0"), lambda: transport) as routing:

            async def one() -> str:
                return "".join([text async for text in routing.agenerate(REQUEST)])

            texts = list(await asyncio.gather(*[one() for _ in range(4)]))
            engine_map["w0"].fault = "stalls"
            task = asyncio.create_task(one())
            await asyncio.sleep(0.1)
            task.cancel()
            with pytest.raises(asyncio.CancelledError):
                await task
            for _ in range(200):
                if engine_map["w0"].closed == 5:
                    break
                await asyncio.sleep(0.01)
            return texts

    assert asyncio.run(main()) == ["0 1 2 3 4 5 "] * 4
    assert engine_map["w0"].closed == 5


def test_a_router_that_cannot_start_raises_when_it_is_opened() -> None:
    def make_transport() -> LocalTransport:
        raise OSError("no such engines")

    with pytest.raises(OSError, match="no such engines"), ternlane.Blocking(gateway_config("r0"), make_transport):
        pass


def test_an_interpreter_exits_with_a_router_open() -> None:
    code = (
        "from tests.test_library import *\n_, t = engines()\n"
        "r = ternlane.Blocking(gateway_config('r0', 'w0'), lambda: t).__enter__()\n"
        "print(''.join(r.request(REQUEST)).strip()[-1])"
    )
    assert run_python(code).split()[-1] == "5"


def serve(tmp_path: Path, port: int, notify: str, sock: socket.socket | None = None) -> subprocess.Popen[bytes]:
    path = tmp_path / "g.json5"
    path.write_text(
        json.dumps(
            {
                "name": "g1",
                "listen": f"127.0.0.1:{port}",
                "products": [{"name": "summary", "slo_ms": 500, "limit_ms": 2000}],
                "nodes": {"from": "inline", "nodes": []},
            }
        )
    )
    env = {**os.environ, "NOTIFY_SOCKET": notify, "PYTHONPATH": str(ROOT)}
    args = [sys.executable, "-m", "ternlane", "serve", str(path), "--log", "error", "--pid-file", str(tmp_path / "pid")]
    if sock is None:
        return subprocess.Popen(args, env=env)
    # A service manager passes sockets from descriptor 3 on, and their number in LISTEN_FDS.
    code = (
        f"import os, sys; os.dup2({sock.fileno()}, 3); os.environ['LISTEN_PID'] = str(os.getpid()); "
        f"os.environ['LISTEN_FDS'] = '1'; os.execv(sys.executable, {args!r})"
    )
    return subprocess.Popen([sys.executable, "-c", code], env=env, pass_fds=[sock.fileno(), 3])


def test_a_restart_with_inherited_sockets_drops_no_connection(tmp_path: Path) -> None:
    manager = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM)
    manager.bind(str(tmp_path / "notify"))
    manager.settimeout(10)
    listener = socket.create_server(("127.0.0.1", 0), backlog=256)
    port, results, stop = listener.getsockname()[1], list[int](), threading.Event()

    def send_requests() -> None:
        while not stop.is_set():
            results.append(httpx.get(f"http://127.0.0.1:{port}/v1/models", timeout=5).status_code)

    first = serve(tmp_path, port, str(tmp_path / "notify"), listener)
    second = None
    try:
        assert b"READY=1" in manager.recv(4096)
        client = threading.Thread(target=send_requests)
        client.start()
        time.sleep(0.2)
        second = serve(tmp_path, port, str(tmp_path / "notify"), listener)
        assert b"READY=1" in manager.recv(4096)
        first.send_signal(signal.SIGTERM)
        assert b"STOPPING=1" in manager.recv(4096) and first.wait(10) == 0
        # The first process did not remove the pid file of the second.
        assert (tmp_path / "pid").read_text() == f"{second.pid}\n"
        time.sleep(0.3)
        deadline = time.monotonic() + 10
        while len(results) <= 20 and client.is_alive() and time.monotonic() < deadline:
            time.sleep(0.02)  # processes start slowly on a busy machine
        stop.set()
        client.join(10)
        assert len(results) > 20 and set(results) == {200}, results
        second.send_signal(signal.SIGTERM)
        assert second.wait(10) == 0 and not (tmp_path / "pid").exists()
    finally:
        stop.set()
        for process in (first, second):
            if process is not None and process.poll() is None:
                process.kill()
                process.wait()
        manager.close()
        listener.close()


def test_parent_and_child_can_route_after_a_fork(tmp_path: Path) -> None:
    """Importing starts nothing, so a child process can route like its parent."""
    output = run_python(
        "import os\nfrom tests.test_library import *\nternlane.Blocking, ternlane.open_gateway\n"
        "pid = os.fork()\n_, t = engines()\n"
        "with ternlane.Blocking(gateway_config('r0', 'w0'), lambda: t) as r:\n"
        "    text = ''.join(r.request(REQUEST)).strip()\n"
        "os.write(1, (text[-1] + chr(10)).encode())\n"
        "pid and os.waitpid(pid, 0)\n"
    )
    assert output.split() == ["5", "5"]


@pytest.mark.parametrize("after_ms", [0, 60, 150, 250, 400])
def test_a_daemon_ends_on_sigterm_during_its_start(tmp_path: Path, after_ms: float) -> None:
    with socket.create_server(("127.0.0.1", 0)) as probe:
        port = probe.getsockname()[1]
    process = serve(tmp_path, port, "")
    time.sleep(after_ms / 1000)
    process.send_signal(signal.SIGTERM)
    assert process.wait(5) in (0, -signal.SIGTERM) and not (tmp_path / "pid").exists()


def test_a_second_sigterm_ends_a_daemon_and_sigterm_during_a_reload_drains(tmp_path: Path) -> None:
    manager = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM)
    manager.bind(str(tmp_path / "notify"))
    manager.settimeout(10)
    for signals, ready in (((signal.SIGTERM, signal.SIGTERM), 0), ((signal.SIGHUP, signal.SIGTERM), 1)):
        with socket.create_server(("127.0.0.1", 0)) as probe:
            port = probe.getsockname()[1]
        process = serve(tmp_path, port, str(tmp_path / "notify"))
        try:
            assert b"READY=1" in manager.recv(4096)
            for number in signals:
                process.send_signal(number)
                time.sleep(0.01 if ready else 0.0)
            assert process.wait(5) == 0
            notifications = []
            manager.setblocking(False)
            while True:
                try:
                    notifications.append(manager.recv(4096))
                except BlockingIOError:
                    break
            manager.settimeout(10)
            assert notifications[-1] == b"STOPPING=1" and (b"RELOADING=1" in notifications) is bool(ready)
        finally:
            if process.poll() is None:
                process.kill()
                process.wait()
    manager.close()


async def test_two_routers_in_one_process_are_independent() -> None:
    (one, first), (two, second) = engines(), engines()
    async with (
        ternlane.open_routing(gateway_config("r0", "w0"), first) as a,
        ternlane.open_routing(gateway_config("r0", "w0", seed=9), second) as b,
    ):
        async with a.request(REQUEST) as stream:
            assert await stream.text()
        assert one["w0"].effects == 1 and two["w0"].effects == 0 and not b.runtime.active_requests
        two["r0"].fault = "hung"
        with trio.move_on_after(0.05):
            async with b.request(REQUEST) as stream:
                await stream.text()
        async with a.request(REQUEST) as stream:
            assert await stream.text()


async def test_cancellation_at_any_checkpoint_leaves_nothing() -> None:
    """A request is cancelled at its n-th step, for every n: no state, task or second effect may be left."""

    async def once(n: int) -> bool:
        engine_map, transport = engines()
        steps, done = 0, False
        async with ternlane.open_routing(gateway_config("r0", "w0"), transport) as routing:
            with trio.CancelScope() as scope:

                class Count(trio.abc.Instrument):
                    def before_task_step(self, task: object) -> None:
                        nonlocal steps
                        steps += 1
                        if steps == n:
                            scope.cancel()

                counter = Count()
                trio.lowlevel.add_instrument(counter)
                try:
                    async with routing.request(REQUEST) as stream:
                        await stream.text()
                        done = True
                finally:
                    trio.lowlevel.remove_instrument(counter)
            with trio.fail_after(1):
                while routing.runtime.active_requests or routing.runtime.server_calls.releases_in_flight:
                    await trio.sleep(0.002)
            assert engine_map["w0"].effects <= 1 and engine_map["w0"].closed == engine_map["w0"].effects
            assert engine_map["w0"].effects or not engine_map["r0"].states
        return done

    before = trio.lowlevel.current_statistics().tasks_living
    ended = [await once(n) for n in range(1, 90)]
    assert not ended[0] and ended[-1]
    assert trio.lowlevel.current_statistics().tasks_living == before


# -- renamed public names


@pytest.mark.parametrize("owner", [ternlane.Routing, ternlane.Blocking, ternlane.Bridged])
def test_an_old_method_name_raises_an_error_with_the_new_one(owner: Any) -> None:
    with pytest.raises(AttributeError, match=f"{owner.__name__}.generation was renamed to {owner.__name__}.request "):
        object.__new__(owner).generation  # noqa: B018


def test_the_migration_page_lists_each_renamed_public_name() -> None:
    renamed = json.loads((ROOT / "tests" / "data" / "stored" / "renamed.json").read_text())
    page = (ROOT / "docs" / "migration.md").read_text()
    for old, new in [pair for table in renamed.values() for pair in table.items()]:
        assert f"| `{old}` | `{new}` |" in page
