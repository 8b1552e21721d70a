"""Peers that send bytes at full speed must not hold up or take down a gateway. Judged by a process of its own."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path
from typing import Any

import h11
import pytest
import trio

from ternlane.gateway.client_connections import MIN_MESSAGES_BYTES
from ternlane.http1.line_limits import MAX_LINES, TrailerLimit
from tests.hostile_peers import CHUNKED, POST, Verdict, anonymous_mb, chunks_of
from tests.platform_gateway import BODY, Platform, platform, wait_until_ready
from tests.test_days import gateway_config, wait_for

# The platform's pages: an event is forwarded within 0.3 s, and at most one stream in twenty may be slower.
FORWARD_S = 0.3
MAX_LATE_SHARE = 1 / 20
ATTACK_S = 4.0
REQUEST_PAUSE_S = 0.1


@asynccontextmanager
async def process(*command: str, **environment: str) -> AsyncIterator[trio.Process]:
    """A Python process, which is killed at the end of the block."""
    started = await trio.lowlevel.open_process(
        [sys.executable, *command],
        env=os.environ | environment,
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
    )
    try:
        yield started
    finally:
        started.kill()
        await started.wait()


async def read_line(started: trio.Process) -> str:
    """The next output of a process, up to a line's end."""
    assert started.stdout is not None
    out = b""
    with trio.fail_after(ATTACK_S + 30):
        while not out.endswith(b"\n"):
            piece = await started.stdout.receive_some()
            assert piece, "the process has ended"
            out += piece
    return out.decode()


async def judge(port: str, path: str, pid: int) -> Verdict:
    """What a process of its own sees of the gateway during an attack."""
    async with process("-m", "tests.hostile_peers", "judge", port, path, str(pid), str(ATTACK_S)) as judging:
        return Verdict(**json.loads(await read_line(judging)))


@asynccontextmanager
async def gateway_process(p: Platform, folder: Path, **more: Any) -> AsyncIterator[trio.Process]:
    """The gateway as a process. `more` changes its configuration."""
    p.reserve_address()
    config = folder / "config.json"
    config.write_text(p.configuration(**more))
    async with process("-m", "ternlane.platform", NODE_CONFIG=str(config)) as gateway:
        await wait_until_ready(p)
        yield gateway


async def attack(kind: str, p: Platform, stack: AsyncExitStack, count: int = 40) -> None:
    """Starts the clients of this kind."""
    port = p.address.rpartition(":")[2]
    await stack.enter_async_context(
        process("-m", "tests.hostile_peers", "clients", kind, port, str(count), str(2 * ATTACK_S))
    )


async def serve_hostile(kind: str, stack: AsyncExitStack) -> str:
    """Starts a server of this kind; returns its address."""
    server = await stack.enter_async_context(process("-m", "tests.hostile_peers", "server", kind))
    return f"127.0.0.1:{int(await read_line(server))}"


@asynccontextmanager
async def chat_gateway_of(kind: str, folder: Path) -> AsyncIterator[tuple[trio.Process, int]]:
    """The chat gateway as a process, and its port. Its only engine is of this kind."""
    async with AsyncExitStack() as stack:
        address = await serve_hostile(kind, stack)
        node = {"id": "m0", "address": address, "duty": "both", "mem_toks": 1e6, "protocol": "chat"}
        path, port = gateway_config(folder, nodes={"from": "inline", "nodes": [node]})
        async with process("-m", "ternlane", "serve", str(path)) as gateway:
            await trio.to_thread.run_sync(wait_for, port)
            yield gateway, port


async def judge_with_requests(p: Platform, gateway: trio.Process, body: bytes = BODY) -> tuple[Verdict, list[int]]:
    """The verdict, and the statuses of usual requests that were sent meanwhile."""
    statuses: list[int] = []

    async def ask() -> None:
        statuses.append((await p.ask(body)).status)

    async def ask_regularly() -> None:
        while True:
            p.nursery.start_soon(ask)
            await trio.sleep(REQUEST_PAUSE_S)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(ask_regularly)
        verdict = await judge(p.address.rpartition(":")[2], "/health/ready", gateway.pid)
        nursery.cancel_scope.cancel()
    with trio.fail_after(5):
        while len(statuses) < p.request_count:
            await trio.sleep(0.05)
    return verdict, statuses


# -- messages in many small pieces


@pytest.mark.parametrize("kind", ["small chunks", "header lines", "trailer lines"])
async def test_clients_that_send_many_small_pieces_do_not_hold_up_others(kind: str, tmp_path: Path) -> None:
    """Clients send endless bodies in chunks of one token, or heads or trailers of thousands of lines. One read of one
    connection took the loop for tens of milliseconds, so that other clients got no answer in time."""
    async with platform() as p, gateway_process(p, tmp_path) as gateway, AsyncExitStack() as stack:
        await attack(kind, p, stack)
        verdict, statuses = await judge_with_requests(p, gateway)
    assert verdict.late_share(FORWARD_S) <= MAX_LATE_SHARE, sorted(verdict.waits_s)[-9:]
    assert set(statuses) == {200} and len(statuses) > ATTACK_S


@pytest.mark.parametrize("kind", ["prefill in small chunks", "comments in small chunks"])
async def test_model_servers_that_send_many_small_pieces_do_not_hold_up_others(kind: str, tmp_path: Path) -> None:
    """A model server answers in endless small chunks. Parsers that begin anew with each piece took the loop for a
    minute."""
    async with platform() as p, AsyncExitStack() as stack:
        address = await serve_hostile(kind, stack)
        name, role = ("r9", "reader") if kind.startswith("prefill") else ("w9", "writer")
        p.discovery.put(name, address, role)
        async with gateway_process(p, tmp_path) as gateway:
            verdict, statuses = await judge_with_requests(p, gateway)
    assert verdict.late_share(FORWARD_S) <= MAX_LATE_SHARE, sorted(verdict.waits_s)[-9:]
    assert set(statuses) <= {200, 503} and statuses.count(200) > len(statuses) / 2


@pytest.mark.parametrize("chunk_bytes", [1, 2, 3, 7, 500, 4096])
@pytest.mark.parametrize("read_bytes", [1, 2, 5, 8192])
def test_the_limit_on_trailers_ignores_the_data_of_chunks(chunk_bytes: int, read_bytes: int) -> None:
    """A body with many lines, some of which look like the last chunk, is no trailer of too many lines."""
    data = b"0\r\n\r\n0;a\n" * 300
    limit, read = TrailerLimit(), b""
    peer = h11.Connection(h11.SERVER)
    peer.receive_data(POST + CHUNKED)
    assert isinstance(peer.next_event(), h11.Request)
    sent = chunks_of(data, chunk_bytes) + b"0\r\na: b\r\n\r\n"
    for at in range(0, len(sent), read_bytes):
        peer.receive_data(sent[at : at + read_bytes])
        event: Any = None
        while event not in (h11.NEED_DATA, h11.PAUSED):
            assert not limit.is_exceeded(peer.trailing_data[0])
            event = peer.next_event()
            if isinstance(event, h11.Data):
                limit.observe(event)
                read += event.data
    assert read == data and peer.their_state is h11.DONE
    assert not limit.is_exceeded(b"a:\n" * MAX_LINES) and limit.is_exceeded(b"a:\n" * (MAX_LINES + 1))


async def test_a_list_in_many_small_pieces_does_not_hold_up_clients(tmp_path: Path) -> None:
    """Discovery sends an endless list in lines of three bytes. All lines were counted anew with each, which took the
    loop for minutes."""
    async with platform() as p, AsyncExitStack() as stack:
        address = await serve_hostile("list in small chunks", stack)
        async with gateway_process(p, tmp_path, discovery=address) as gateway:
            verdict, statuses = await judge_with_requests(p, gateway)
    assert verdict.late_share(FORWARD_S) <= MAX_LATE_SHARE, sorted(verdict.waits_s)[-9:]
    assert set(statuses) == {200} and len(statuses) > ATTACK_S


async def test_small_chunks_do_not_hold_up_the_chat_gateway(tmp_path: Path) -> None:
    """Clients of the chat gateway send endless bodies in chunks of one token; it must still answer others."""
    path, port = gateway_config(tmp_path)
    async with process("-m", "ternlane", "serve", str(path)) as gateway, AsyncExitStack() as stack:
        await trio.to_thread.run_sync(wait_for, port)
        command = ("clients", "small chunks", str(port), "40", str(2 * ATTACK_S))
        await stack.enter_async_context(process("-m", "tests.hostile_peers", *command))
        verdict = await judge(str(port), "/healthz", gateway.pid)
    assert verdict.late_share(FORWARD_S) <= MAX_LATE_SHARE, sorted(verdict.waits_s)[-9:]


@pytest.mark.parametrize("kind", ["data lines in small chunks", "events in small chunks", "events in large chunks"])
async def test_a_stream_in_many_small_pieces_does_not_hold_up_the_chat_gateway(kind: str, tmp_path: Path) -> None:
    """An engine streams endless events, or one event of endless lines, all of which were counted anew with each."""
    async with chat_gateway_of(kind, tmp_path) as (gateway, port), AsyncExitStack() as stack:
        command = ("clients", "chat requests", str(port), "4", str(2 * ATTACK_S))
        await stack.enter_async_context(process("-m", "tests.hostile_peers", *command))
        verdict = await judge(str(port), "/healthz", gateway.pid)
    assert verdict.late_share(FORWARD_S) <= MAX_LATE_SHARE, sorted(verdict.waits_s)[-9:]


# -- memory


MEMORY_MB, SOCKETS = 112, 960
MAX_CLIENTS = SOCKETS // 3  # by the platform's pages, for requests
LIMITS = {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS}


@pytest.mark.parametrize("kind", ["stalled bodies", "stalled chunked bodies", "stalled heads", "small chunks"])
async def test_clients_that_stop_within_requests_do_not_fill_the_memory(kind: str, tmp_path: Path) -> None:
    """As many clients as may be stop within their requests, and come again when they are turned away. What had been
    read of incomplete requests was counted nowhere, and the platform kills a gateway over its memory limit."""
    async with platform() as p, gateway_process(p, tmp_path, limits=LIMITS) as gateway, AsyncExitStack() as stack:
        await attack(kind, p, stack, MAX_CLIENTS)
        verdict, statuses = await judge_with_requests(p, gateway)
        assert gateway.poll() is None
    assert 0 < verdict.peak_mb < MEMORY_MB
    assert set(statuses) == {200} and len(statuses) > ATTACK_S


async def test_large_requests_are_served_while_others_hold_the_memory(tmp_path: Path) -> None:
    """Clients that stop within large bodies use up the memory for messages. A large request that keeps coming must get
    room, and must not be given up instead of them."""
    body = BODY[:-1] + b" " * 200_000 + b"}"
    async with platform() as p, gateway_process(p, tmp_path, limits=LIMITS) as gateway, AsyncExitStack() as stack:
        await attack("stalled bodies", p, stack, 100)  # 26 MB of 22
        verdict, statuses = await judge_with_requests(p, gateway, body)
    assert 0 < verdict.peak_mb < MEMORY_MB
    assert set(statuses) == {200} and len(statuses) > ATTACK_S


@pytest.mark.parametrize("kind", ["stalled events", "stalled prefills"])
async def test_model_servers_that_stop_within_answers_do_not_fill_the_memory(kind: str, tmp_path: Path) -> None:
    """Model servers stop within large events or answers, for as many requests as a gateway may have open."""
    limits = LIMITS | {"memory_mb": 48}
    async with platform("r0", "w0") as p, AsyncExitStack() as stack:
        address = await serve_hostile(kind, stack)
        name, role = ("r0", "reader") if kind == "stalled prefills" else ("w0", "writer")
        p.discovery.put(name, address, role)
        async with gateway_process(p, tmp_path, limits=limits) as gateway:
            await attack("usual requests", p, stack, MAX_CLIENTS)
            verdict = await judge(p.address.rpartition(":")[2], "/health/ready", gateway.pid)
            assert gateway.poll() is None
    assert 0 < verdict.peak_mb < limits["memory_mb"]


async def test_clients_that_stop_within_requests_do_not_fill_the_memory_of_the_chat_gateway(tmp_path: Path) -> None:
    """Clients of the chat gateway stop within bodies of its size limit, together twice what may be held of them."""
    path, port = gateway_config(tmp_path)
    count = 2 * MIN_MESSAGES_BYTES // (4 * 2**20)
    async with process("-m", "ternlane", "serve", str(path)) as gateway, AsyncExitStack() as stack:
        await trio.to_thread.run_sync(wait_for, port)
        before_mb = anonymous_mb(gateway.pid)
        command = ("clients", "stalled large bodies", str(port), str(count), str(2 * ATTACK_S))
        await stack.enter_async_context(process("-m", "tests.hostile_peers", *command))
        verdict = await judge(str(port), "/healthz", gateway.pid)
    assert verdict.peak_mb - before_mb < 1.25 * MIN_MESSAGES_BYTES / 2**20
    assert verdict.late_share(FORWARD_S) <= MAX_LATE_SHARE, sorted(verdict.waits_s)[-9:]
