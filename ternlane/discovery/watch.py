"""Watches the endpoint list at its source and reports each complete list.

A source that fails, restarts or returns invalid data changes nothing: the old list stays in use, `on_failure` is
called, and the source is queried again after a backoff.
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

MAX_LIST_BYTES = 64 * 2**20  # largest response of Consul
CONNECT_TIMEOUT_MS = 1000.0  # Consul's agent is expected on this machine or nearby
MAX_BACKOFF = 8  # multiple of the first pause; bounded so that a recovered source is noticed soon
WAIT_JITTER = 1.1  # Consul may extend the wait of a blocking query by 1/16
RESPONSE_TIMEOUT_MS = 2000  # in addition to the wait of the blocking query

OnList = Callable[[list[NodeLine]], None]
OnFailure = Callable[[str], None]


class NodeFile(ConfigDocument, frozen=True, kw_only=True):
    """The document of a watched file."""

    nodes: list[NodeLine]


def read_nodes(text: str, name: str) -> list[NodeLine]:
    """Parses a node file. Raises ConfigError, also for a duplicate id."""
    lines = read_text(text, NodeFile, name).nodes
    seen: set[str] = set()
    for i, line in enumerate(lines):
        if line.id in seen:
            raise ConfigError(name, f"$.nodes[{i}].id", f"{line.id!r} is given twice")
        seen.add(line.id)
    return lines


async def watch_file(source: FileSource, on_list: OnList, on_failure: OnFailure) -> None:
    """Polls the file's inode, size and modification time, and reads the file when they have changed."""
    path = Path(source.path)
    last = None
    while True:
        try:
            stat = os.stat(path)
            identity = stat.st_ino, stat.st_size, stat.st_mtime_ns
            if identity != last:
                on_list(read_nodes(path.read_text(encoding="utf-8"), str(path)))
                last = identity
        except (OSError, UnicodeDecodeError, ConfigError, RecursionError) as why:
            on_failure(str(why))
        await trio.sleep(source.look_ms / 1000)


async def watch_consul(source: ConsulSource, on_list: OnList, on_failure: OnFailure, agent: str) -> None:
    """Watches with blocking queries. If the index goes back or to 0 it starts over, as Consul's API docs require."""
    pool = ConnectionPool(CONNECT_TIMEOUT_MS, 2 * source.wait_ms)
    index = 0
    pause_ms = source.retry_ms
    try:
        while True:
            try:
                with trio.fail_after((source.wait_ms * WAIT_JITTER + RESPONSE_TIMEOUT_MS) / 1000):
                    index, lines = await query_consul(pool, source, index, agent, on_failure)
                if lines is not None:
                    on_list(lines)
                pause_ms = source.retry_ms
            except (
                ConnectError,
                OSError,
                trio.BrokenResourceError,
                trio.ClosedResourceError,
                trio.TooSlowError,
                h11.RemoteProtocolError,
                ValueError,
                RecursionError,
            ) as why:
                on_failure(f"{source.address}: {why!r}")
                index = 0  # the agent may have restarted with other indexes
                await trio.sleep(pause_ms / 1000)
                pause_ms = min(2 * pause_ms, MAX_BACKOFF * source.retry_ms)
    finally:
        pool.close()


async def query_consul(
    pool: ConnectionPool, source: ConsulSource, index: int, agent: str, on_failure: OnFailure
) -> tuple[int, list[NodeLine] | None]:
    """Makes one blocking query. Returns the next index, and the list or None if it has not changed.

    Raises ValueError, and what the connection raises.
    """
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
    new_index = next((int(value) for name, value in head.headers if name == b"x-consul-index"), 0)
    if new_index == index and index > 0:  # no change within the wait
        return index, None
    lines, invalid = nodes_from_health(body)
    if invalid:
        on_failure("invalid entries ignored: " + "; ".join(invalid[:5]))
    return (0 if new_index < index else new_index), lines
