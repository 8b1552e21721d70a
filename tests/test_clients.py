"""The JavaScript client against a gateway: streams, aborts, comes back when told, never repeats what may have run."""
from __future__ import annotations

import json
import shutil
import subprocess
from pathlib import Path

import pytest
import trio

from tests.world import BUILD, World, replace, world

JS = Path(__file__).parent.parent / "clients" / "js"
NODE = shutil.which("node")
pytestmark = pytest.mark.skipif(NODE is None, reason="no node here")


async def node(w: World, script: str, *args: str) -> str:
    done = await trio.run_process([str(NODE), str(JS / script), f"http://{w.gateway.address}", *args],
                                  capture_stdout=True, capture_stderr=True, check=False)
    assert done.returncode == 0, done.stderr.decode()[-2000:]
    return done.stdout.decode()


@pytest.mark.parametrize("scene, effects", [
    ("served", 2), ("aborted", 1), ("throttled", 1), ("lost", 1), ("keyed", 1), ("unreached", 0)])
async def test_the_javascript_client(scene: str, effects: int) -> None:
    async with world(("r0", "w0", "w0b"), build=replace(BUILD, tok_ms=10.0)) as w:
        if scene == "throttled":
            w.gateway.found([])

            async def fill() -> None:
                await trio.sleep(0.4)
                w.list()
            w.nursery.start_soon(fill)
        if scene == "lost":
            for ident in ("w0", "w0b"):
                w.engines[ident].trouble.lost = 1.0
        said = await node(w, "test/against.mjs", scene)
        assert json.loads(said.splitlines()[-1]) == {"scene": scene, "passed": True}
        assert len(w.said("effect")) == effects
        await w.settled()


async def test_the_example_runs() -> None:
    async with world() as w:
        lines = (await node(w, "examples/stream.mjs", "summary")).splitlines()
        assert len(lines) == 2 and lines[0] == lines[1] and len(lines[0].split()) == 6


def test_the_package_has_no_needs_at_run_time() -> None:
    package = json.loads((JS / "package.json").read_text())
    assert "dependencies" not in package
    assert subprocess.run([str(NODE), "--check", str(JS / "src" / "index.js")], timeout=30).returncode == 0
