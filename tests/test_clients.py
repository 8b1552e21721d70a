"""The clients against a gateway: they stream, abort, come back when told, and never repeat what may have run. And the
examples, each run to its end."""

from __future__ import annotations

import json
import os
import shutil
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest
import trio

from ternlane.client import Client, Failed, Rejected, RequestError, Unconnected
from ternlane.testing.scripted import Scripted
from tests.gateway_cluster import ENGINE_PROFILE, GatewayCluster, gateway_cluster, replace

JS = Path(__file__).parent.parent / "clients" / "js"
NODE = shutil.which("node")
needs_node = pytest.mark.skipif(NODE is None, reason="no node here")
ROOT = Path(__file__).parent.parent


async def node(w: GatewayCluster, script: str, *args: str) -> str:
    done = await trio.run_process(
        [str(NODE), str(JS / script), f"http://{w.gateway.address}", *args],
        capture_stdout=True,
        capture_stderr=True,
        check=False,
    )
    assert done.returncode == 0, done.stderr.decode()[-2000:]
    return done.stdout.decode()


@needs_node
@pytest.mark.parametrize(
    "scene, effects", [("served", 2), ("aborted", 1), ("throttled", 1), ("lost", 1), ("keyed", 1), ("unreached", 0)]
)
async def test_the_javascript_client(scene: str, effects: int) -> None:
    async with gateway_cluster(("r0", "w0", "w0b"), profile=replace(ENGINE_PROFILE, token_ms=10.0)) as w:
        if scene == "throttled":
            w.gateway.found([])

            async def fill() -> None:
                await trio.sleep(0.4)
                w.publish_endpoints()

            w.nursery.start_soon(fill)
        if scene == "lost":
            for ident in ("w0", "w0b"):
                w.engines[ident].fault.lost_answer_share = 1.0
        said = await node(w, "test/against.mjs", scene)
        assert json.loads(said.splitlines()[-1]) == {"scene": scene, "passed": True}
        assert len(w.traffic_events("effect")) == effects
        await w.wait_until_idle()


@needs_node
async def test_the_example_runs() -> None:
    async with gateway_cluster() as w:
        lines = (await node(w, "examples/stream.mjs", "summary")).splitlines()
        assert len(lines) == 2 and lines[0] == lines[1] and len(lines[0].split()) == 6


@needs_node
def test_the_package_has_no_needs_at_run_time() -> None:
    package = json.loads((JS / "package.json").read_text())
    assert "dependencies" not in package
    assert subprocess.run([str(NODE), "--check", str(JS / "src" / "index.js")], timeout=30).returncode == 0


REQUEST: dict[str, Any] = {"model": "note", "messages": [{"role": "user", "content": "hello"}]}


async def test_the_python_client_streams_comes_back_and_leaves() -> None:
    async with gateway_cluster(("r0", "w0"), profile=replace(ENGINE_PROFILE, token_ms=10.0)) as w:

        def talk() -> None:
            with Client(f"http://{w.gateway.address}") as client:
                pieces = list(client.stream(REQUEST))
                whole = client.complete(REQUEST, key="folder-9")
                assert "".join(pieces) == whole["text"] and whole["usage"]["completion_tokens"] == len(pieces) == 6
                assert client.complete(REQUEST, key="folder-9") == whole
                assert client.models() == ["summary", "note", "form"]
                with pytest.raises(RequestError) as bad:
                    client.complete(REQUEST | {"model": "nobody"})
                assert bad.value.param == "model"
                left = client.stream(REQUEST)
                next(left)
                left.close()  # type: ignore[attr-defined]

        await trio.to_thread.run_sync(talk)
        await w.wait_until_idle()
        assert len(w.traffic_events("effect")) == 3 and w.traffic_events("leg_end")[-1]["how"] == "dropped"
        w.gateway.found([])

        async def fill() -> None:
            await trio.sleep(0.2)
            w.publish_endpoints()

        w.nursery.start_soon(fill)

        def back() -> None:
            with Client(f"http://{w.gateway.address}", retries=5) as client:
                assert client.complete(REQUEST)["text"]
            with Client(f"http://{w.gateway.address}", retries=0) as client, pytest.raises(Rejected) as no:
                client.complete(REQUEST, request_timeout_ms=1)
            assert no.value.retry_after_ms is not None

        await trio.to_thread.run_sync(back)


async def test_the_python_client_repeats_only_what_can_not_have_run() -> None:
    async with gateway_cluster(("r0", "w0", "w0b")) as w:
        for ident in ("w0", "w0b"):
            w.engines[ident].fault.lost_answer_share = 1.0

        def lost() -> None:
            with Client(f"http://{w.gateway.address}", retries=3) as client, pytest.raises(Failed) as why:
                client.complete(REQUEST)
            assert why.value.may_have_run
            with Client("http://127.0.0.1:9", retries=1) as nobody, pytest.raises(Unconnected) as refused:
                nobody.complete(REQUEST)
            assert not refused.value.may_have_run

        await trio.to_thread.run_sync(lost)
        assert len(w.traffic_events("effect")) == 1
        broken = Scripted(
            [
                b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
                b'3a\r\ndata: {"choices":[{"index":0,"delta":{"content":"a"}}]}\n\n\r\n',
                "reset",
            ]
        )
        await broken.run(w.nursery)

        def torn() -> None:
            with Client(f"http://{broken.address}", retries=3) as client, pytest.raises(Unconnected) as why:
                list(client.stream(REQUEST, idempotent=True))
            assert why.value.begun and why.value.may_have_run

        await trio.to_thread.run_sync(torn)
        assert broken.asked == 1


@pytest.mark.parametrize("name", sorted(p.name for p in (ROOT / "examples").glob("*.py")))
def test_examples_run_to_their_end(name: str) -> None:
    done = subprocess.run(
        [sys.executable, str(ROOT / "examples" / name)],
        capture_output=True,
        text=True,
        timeout=60,
        env={**os.environ, "PYTHONPATH": str(ROOT)},
    )
    assert done.returncode == 0, done.stderr[-2000:]
