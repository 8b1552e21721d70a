"""The public face: what importing costs, use from plain threads, and a daemon whose sockets are handed over."""

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
from tests.test_transports import REQUEST, Local, config

ROOT = Path(__file__).parent.parent


def python(code: str) -> str:
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, cwd=ROOT, timeout=60)
    assert done.returncode == 0, done.stderr
    return done.stdout


def test_decisions_alone_bring_no_http_stack_and_all_names_are_there() -> None:
    heavy = {"trio", "h11", "msgspec", "json5", "structlog", "prometheus_client", "xxhash"}
    said = python("import sys, ternlane\nternlane.Router, ternlane.RouterConfig\nprint(*sys.modules)")
    assert not heavy & set(said.split())
    for name in ternlane.__all__:
        assert getattr(ternlane, name) is not None
    with pytest.raises(AttributeError, match="no attribute 'nothing'"):
        ternlane.nothing  # noqa: B018


def test_all_that_is_public_says_what_it_is_for() -> None:
    from ternlane.reference import page, undocumented_names

    assert undocumented_names() == []
    text = "\n".join(page())
    assert all(f"### `{name}" in text for name in ternlane.__all__[1:]) and "`.take(now: float," in text


def engines() -> tuple[dict[str, Local], LocalTransport]:
    made = {i: Local() for i in ("r0", "w0")}
    return made, LocalTransport(dict(made))  # type: ignore[arg-type]


def test_plain_threads_share_one_router_and_it_ends_with_its_block() -> None:
    made, transport = engines()
    got: list[str] = []
    before = threading.active_count()
    with ternlane.Blocking(config("r0", "w0"), lambda: transport) as routing:
        threads = [threading.Thread(target=lambda: got.append("".join(routing.request(REQUEST)))) for _ in range(8)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join(5)
        early = routing.request(REQUEST)
        assert next(early) == "0 "
        early.close()  # type: ignore[attr-defined]
        with pytest.raises(ternlane.InvalidRequestError):
            list(routing.request(REQUEST | {"model": "x"}))
        made["w0"].trouble = "broken"
        with pytest.raises(ternlane.FailedError):
            list(routing.request(REQUEST))
    assert got == ["0 1 2 3 4 5 "] * 8 and threading.active_count() == before
    with pytest.raises(RuntimeError, match="has ended"):
        list(routing.request(REQUEST))


def test_asyncio_callers_are_served_and_may_cancel() -> None:
    made, transport = engines()

    async def main() -> list[str]:
        with ternlane.Bridged(config("r0", "w0"), lambda: transport) as routing:

            async def one() -> str:
                return "".join([text async for text in routing.agenerate(REQUEST)])

            got = list(await asyncio.gather(*[one() for _ in range(4)]))
            made["w0"].trouble = "stalls"
            task = asyncio.create_task(one())
            await asyncio.sleep(0.1)
            task.cancel()
            with pytest.raises(asyncio.CancelledError):
                await task
            for _ in range(200):
                if made["w0"].closed == 5:
                    break
                await asyncio.sleep(0.01)
            return got

    assert asyncio.run(main()) == ["0 1 2 3 4 5 "] * 4
    assert made["w0"].closed == 5


def test_a_router_that_can_not_start_says_so_where_it_is_made() -> None:
    def make() -> LocalTransport:
        raise OSError("no such engines")

    with pytest.raises(OSError, match="no such engines"), ternlane.Blocking(config("r0"), make):
        pass


def test_an_interpreter_that_ends_with_a_router_open_ends() -> None:
    code = (
        "from tests.test_library import *\n_, t = engines()\n"
        "r = ternlane.Blocking(config('r0', 'w0'), lambda: t).__enter__()\n"
        "print(''.join(r.request(REQUEST)).strip()[-1])"
    )
    assert python(code).split()[-1] == "5"


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
    # a service manager puts the socket at 3 and names how many there are
    code = (
        f"import os, sys; os.dup2({sock.fileno()}, 3); os.environ['LISTEN_PID'] = str(os.getpid()); "
        f"os.environ['LISTEN_FDS'] = '1'; os.execv(sys.executable, {args!r})"
    )
    return subprocess.Popen([sys.executable, "-c", code], env=env, pass_fds=[sock.fileno(), 3])


def test_a_restart_with_sockets_handed_over_drops_no_connection(tmp_path: Path) -> None:
    manager = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM)
    manager.bind(str(tmp_path / "notify"))
    manager.settimeout(10)
    door = socket.create_server(("127.0.0.1", 0), backlog=256)
    port, results, stop = door.getsockname()[1], list[int](), threading.Event()

    def keep_asking() -> None:
        while not stop.is_set():
            results.append(httpx.get(f"http://127.0.0.1:{port}/v1/models", timeout=5).status_code)

    first = serve(tmp_path, port, str(tmp_path / "notify"), door)
    second = None
    try:
        assert b"READY=1" in manager.recv(4096)
        client = threading.Thread(target=keep_asking)
        client.start()
        time.sleep(0.2)
        second = serve(tmp_path, port, str(tmp_path / "notify"), door)
        assert b"READY=1" in manager.recv(4096)
        first.send_signal(signal.SIGTERM)
        assert b"STOPPING=1" in manager.recv(4096) and first.wait(10) == 0
        assert (tmp_path / "pid").read_text() == f"{second.pid}\n"  # the one that ended left the other's number
        time.sleep(0.3)
        until = time.monotonic() + 10
        while len(results) <= 20 and client.is_alive() and time.monotonic() < until:
            time.sleep(0.02)  # a busy machine starts processes slowly
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
        door.close()


def test_a_fork_after_import_can_route_in_both(tmp_path: Path) -> None:
    """Nothing is started by importing, so a child has all that its parent has."""
    said = python(
        "import os\nfrom tests.test_library import *\nternlane.Blocking, ternlane.open_gateway\n"
        "pid = os.fork()\n_, t = engines()\n"
        "with ternlane.Blocking(config('r0', 'w0'), lambda: t) as r:\n"
        "    text = ''.join(r.request(REQUEST)).strip()\n"
        "os.write(1, (text[-1] + chr(10)).encode())\n"
        "pid and os.waitpid(pid, 0)\n"
    )
    assert said.split() == ["5", "5"]


@pytest.mark.parametrize("after_ms", [0, 60, 150, 250, 400])
def test_a_daemon_told_to_end_during_its_start_ends(tmp_path: Path, after_ms: float) -> None:
    with socket.create_server(("127.0.0.1", 0)) as probe:
        port = probe.getsockname()[1]
    process = serve(tmp_path, port, "")
    time.sleep(after_ms / 1000)
    process.send_signal(signal.SIGTERM)
    assert process.wait(5) in (0, -signal.SIGTERM) and not (tmp_path / "pid").exists()


def test_a_daemon_told_twice_ends_at_once_and_one_told_within_a_reload_drains(tmp_path: Path) -> None:
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
            told = []
            manager.setblocking(False)
            while True:
                try:
                    told.append(manager.recv(4096))
                except BlockingIOError:
                    break
            manager.settimeout(10)
            assert told[-1] == b"STOPPING=1" and (b"RELOADING=1" in told) is bool(ready)
        finally:
            if process.poll() is None:
                process.kill()
                process.wait()
    manager.close()


async def test_two_routers_in_one_process_do_not_know_each_other() -> None:
    (one, first), (two, second) = engines(), engines()
    async with (
        ternlane.open_routing(config("r0", "w0"), first) as a,
        ternlane.open_routing(config("r0", "w0", seed=9), second) as b,
    ):
        async with a.request(REQUEST) as stream:
            assert await stream.text()
        assert one["w0"].effects == 1 and two["w0"].effects == 0 and not b.runtime.active_requests
        two["r0"].trouble = "hung"
        with trio.move_on_after(0.05):
            async with b.request(REQUEST) as stream:
                await stream.text()
        async with a.request(REQUEST) as stream:
            assert await stream.text()


async def test_cancelled_at_every_checkpoint_it_leaves_nothing() -> None:
    """The n-th step of a generation is cancelled, for every n: nothing is held, no effect twice, no task stays."""

    async def once(n: int) -> bool:
        made, transport = engines()
        steps, done = 0, False
        async with ternlane.open_routing(config("r0", "w0"), transport) as routing:
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
            assert made["w0"].effects <= 1 and made["w0"].closed == made["w0"].effects
            assert made["w0"].effects or not made["r0"].states
        return done

    before = trio.lowlevel.current_statistics().tasks_living
    ended = [await once(n) for n in range(1, 90)]
    assert not ended[0] and ended[-1]
    assert trio.lowlevel.current_statistics().tasks_living == before


# -- renamed public names


@pytest.mark.parametrize("owner", [ternlane.Routing, ternlane.Blocking, ternlane.Bridged])
def test_an_old_method_tells_the_new_one(owner: Any) -> None:
    with pytest.raises(AttributeError, match=f"{owner.__name__}.request now"):
        object.__new__(owner).generation  # noqa: B018


def test_the_migration_page_lists_each_renamed_public_name() -> None:
    renamed = json.loads((ROOT / "tests" / "data" / "stored" / "renamed.json").read_text())
    page = (ROOT / "docs" / "migration.md").read_text()
    for old, new in [pair for table in renamed.values() for pair in table.items()]:
        assert f"| `{old}` | `{new}` |" in page
