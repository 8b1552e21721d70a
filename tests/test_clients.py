"""The JavaScript and Python clients against a gateway, and the examples."""

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
from ternlane.testing.scripted import ScriptedServer
from tests.gateway_cluster import ENGINE_PROFILE, GatewayCluster, gateway_cluster, replace

JS = Path(__file__).parent.parent / "clients" / "js"
NODE = shutil.which("node")
needs_node = pytest.mark.skipif(NODE is None, reason="Node.js is not installed")
ROOT = Path(__file__).parent.parent


async def run_node(cluster: GatewayCluster, script: str, *args: str) -> str:
    process = await trio.run_process(
        [str(NODE), str(JS / script), f"http://{cluster.gateway.address}", *args],
        capture_stdout=True,
        capture_stderr=True,
        check=False,
    )
    assert process.returncode == 0, process.stderr.decode()[-2000:]
    return process.stdout.decode()


@needs_node
@pytest.mark.parametrize(
    "scene, effects", [("served", 2), ("aborted", 1), ("throttled", 1), ("lost", 1), ("keyed", 1), ("unreached", 0)]
)
async def test_the_javascript_client(scene: str, effects: int) -> None:
    async with gateway_cluster(("r0", "w0", "w0b"), profile=replace(ENGINE_PROFILE, token_ms=10.0)) as cluster:
        if scene == "throttled":
            cluster.gateway.found([])

            async def publish_later() -> None:
                await trio.sleep(0.4)
                cluster.publish_endpoints()

            cluster.nursery.start_soon(publish_later)
        if scene == "lost":
            for ident in ("w0", "w0b"):
                cluster.engines[ident].fault.lost_answer_share = 1.0
        output = await run_node(cluster, "test/against.mjs", scene)
        assert json.loads(output.splitlines()[-1]) == {"scene": scene, "passed": True}
        assert len(cluster.traffic_events("effect")) == effects
        await cluster.wait_until_idle()


@needs_node
async def test_the_javascript_example() -> None:
    async with gateway_cluster() as cluster:
        lines = (await run_node(cluster, "examples/stream.mjs", "summary")).splitlines()
        assert len(lines) == 2 and lines[0] == lines[1] and len(lines[0].split()) == 6


@needs_node
def test_the_javascript_package_has_no_dependencies() -> None:
    package = json.loads((JS / "package.json").read_text())
    assert "dependencies" not in package
    assert subprocess.run([str(NODE), "--check", str(JS / "src" / "index.js")], timeout=30).returncode == 0


REQUEST: dict[str, Any] = {"model": "note", "messages": [{"role": "user", "content": "hello"}]}


async def test_the_python_client_streams_retries_and_cancels() -> None:
    async with gateway_cluster(("r0", "w0"), profile=replace(ENGINE_PROFILE, token_ms=10.0)) as cluster:

        def use_client() -> None:
            with Client(f"http://{cluster.gateway.address}") as client:
                pieces = list(client.stream(REQUEST))
                completion = client.complete(REQUEST, key="folder-9")
                assert (
                    "".join(pieces) == completion["text"]
                    and completion["usage"]["completion_tokens"] == len(pieces) == 6
                )
                assert client.complete(REQUEST, key="folder-9") == completion
                assert client.models() == ["summary", "note", "form"]
                with pytest.raises(RequestError) as invalid:
                    client.complete(REQUEST | {"model": "nobody"})
                assert invalid.value.param == "model"
                abandoned = client.stream(REQUEST)
                next(abandoned)
                abandoned.close()  # type: ignore[attr-defined]

        await trio.to_thread.run_sync(use_client)
        await cluster.wait_until_idle()
        with trio.fail_after(1.5):  # an engine frees the slot of an attempt before it logs the attempt's end
            while len(cluster.traffic_events("leg_end")) < len(cluster.traffic_events("leg")):
                await trio.sleep(0.01)
        assert len(cluster.traffic_events("effect")) == 3 and cluster.traffic_events("leg_end")[-1]["how"] == "dropped"
        cluster.gateway.found([])

        async def publish_later() -> None:
            await trio.sleep(0.2)
            cluster.publish_endpoints()

        cluster.nursery.start_soon(publish_later)

        def retry() -> None:
            with Client(f"http://{cluster.gateway.address}", retries=5) as client:
                assert client.complete(REQUEST)["text"]
            with Client(f"http://{cluster.gateway.address}", retries=0) as client, pytest.raises(Rejected) as rejected:
                client.complete(REQUEST, request_timeout_ms=1)
            assert rejected.value.retry_after_ms is not None

        await trio.to_thread.run_sync(retry)


async def test_the_python_client_repeats_only_requests_that_cannot_have_run() -> None:
    async with gateway_cluster(("r0", "w0", "w0b")) as cluster:
        for ident in ("w0", "w0b"):
            cluster.engines[ident].fault.lost_answer_share = 1.0

        def lose_answers() -> None:
            with Client(f"http://{cluster.gateway.address}", retries=3) as client, pytest.raises(Failed) as failed:
                client.complete(REQUEST)
            assert failed.value.may_have_run
            with Client("http://127.0.0.1:9", retries=1) as unreachable, pytest.raises(Unconnected) as refused:
                unreachable.complete(REQUEST)
            assert not refused.value.may_have_run

        await trio.to_thread.run_sync(lose_answers)
        assert len(cluster.traffic_events("effect")) == 1
        broken = ScriptedServer(
            [
                b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
                b'3a\r\ndata: {"choices":[{"index":0,"delta":{"content":"a"}}]}\n\n\r\n',
                "reset",
            ]
        )
        await broken.run(cluster.nursery)

        def break_stream() -> None:
            with Client(f"http://{broken.address}", retries=3) as client, pytest.raises(Unconnected) as interrupted:
                list(client.stream(REQUEST, idempotent=True))
            assert interrupted.value.begun and interrupted.value.may_have_run

        await trio.to_thread.run_sync(break_stream)
        assert broken.request_count == 1


@pytest.mark.parametrize("name", sorted(p.name for p in (ROOT / "examples").glob("*.py")))
def test_the_python_examples(name: str) -> None:
    process = subprocess.run(
        [sys.executable, str(ROOT / "examples" / name)],
        capture_output=True,
        text=True,
        timeout=60,
        env={**os.environ, "PYTHONPATH": str(ROOT)},
    )
    assert process.returncode == 0, process.stderr[-2000:]
