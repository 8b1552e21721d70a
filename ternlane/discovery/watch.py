"""Follows a list at its source for as long as it runs, and says each whole list that it finds.

A source that fails, restarts or says nonsense changes nothing: the old list stays, `failed` is told, and it is asked
again after a pause that grows to eight times itself.
"""

from __future__ import annotations

import os
from collections.abc import Callable
from pathlib import Path

import h11
import trio

from ternlane.config import ConfigError, ConsulSource, FileSource, NodeLine, read_text
from ternlane.config.gateway import ConfigDocument
from ternlane.discovery.consul import nodes_from_health
from ternlane.http1 import ConnectError, ConnectionPool

MAX_LIST_BYTES = 64 * 2**20  # of Consul's answer: more is no list of servers
CONNECT_TIMEOUT_MS = 1000.0  # Consul's agent is near
MAX_BACKOFF = 8  # times the first pause: a source that comes back must be noticed soon
WAIT_JITTER = 1.1  # Consul may lengthen a wait by 1/16
ANSWER_TIME_MS = 2000  # beside the wait itself

OnList = Callable[[list[NodeLine]], None]
OnFailure = Callable[[str], None]


class NodeFile(ConfigDocument, frozen=True, kw_only=True):
    """The document of a followed file."""

    nodes: list[NodeLine]


def read_nodes(text: str, name: str) -> list[NodeLine]:
    """Raises ConfigError, also for an id that is given twice."""
    lines = read_text(text, NodeFile, name).nodes
    seen: set[str] = set()
    for i, line in enumerate(lines):
        if line.id in seen:
            raise ConfigError(name, f"$.nodes[{i}].id", f"{line.id!r} is given twice")
        seen.add(line.id)
    return lines


async def watch_file(source: FileSource, found: OnList, failed: OnFailure) -> None:
    """Looks at the file's identity, size and time; reads it when they have changed."""
    path = Path(source.path)
    last = None
    while True:
        try:
            stat = os.stat(path)
            identity = stat.st_ino, stat.st_size, stat.st_mtime_ns
            if identity != last:
                found(read_nodes(path.read_text(encoding="utf-8"), str(path)))
                last = identity
        except (OSError, UnicodeDecodeError, ConfigError) as why:
            failed(str(why))
        await trio.sleep(source.look_ms / 1000)


async def watch_consul(source: ConsulSource, found: OnList, failed: OnFailure, agent: str) -> None:
    """Blocking queries. An index that goes back or to nought starts anew, as the API's description asks."""
    pool = ConnectionPool(CONNECT_TIMEOUT_MS, 2 * source.wait_ms)
    index = 0
    pause_ms = source.retry_ms
    try:
        while True:
            try:
                with trio.fail_after((source.wait_ms * WAIT_JITTER + ANSWER_TIME_MS) / 1000):
                    index, lines = await ask_consul(pool, source, index, agent, failed)
                if lines is not None:
                    found(lines)
                pause_ms = source.retry_ms
            except (
                ConnectError,
                OSError,
                trio.BrokenResourceError,
                trio.ClosedResourceError,
                trio.TooSlowError,
                h11.RemoteProtocolError,
                ValueError,
            ) as why:
                failed(f"{source.address}: {why!r}")
                index = 0  # it may have restarted with another count
                await trio.sleep(pause_ms / 1000)
                pause_ms = min(2 * pause_ms, MAX_BACKOFF * source.retry_ms)
    finally:
        pool.close()


async def ask_consul(
    pool: ConnectionPool, source: ConsulSource, index: int, agent: str, failed: OnFailure
) -> tuple[int, list[NodeLine] | None]:
    """One blocking query: the next index, and the list or None for nothing new. Raises ValueError, and what a
    connection raises."""
    connection = await pool.take(source.address)
    try:
        target = f"/v1/health/service/{source.service}?index={index}&wait={source.wait_ms:.0f}ms"
        head = await connection.ask("GET", target, [("User-Agent", agent)])
        body = await connection.body(MAX_LIST_BYTES)
        pool.give_back(connection)
    except BaseException:
        connection.close_now()
        raise
    if head.status_code != 200:
        raise ValueError(f"status {head.status_code}")
    said = next((int(value) for name, value in head.headers if name == b"x-consul-index"), 0)
    if said == index and index > 0:  # nothing new within the wait
        return index, None
    lines, left_out = nodes_from_health(body)
    if left_out:
        failed("left out " + "; ".join(left_out[:5]))
    return (0 if said < index else said), lines
