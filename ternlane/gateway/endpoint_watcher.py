"""Watches the source of the endpoint list, and caches the latest list on disk for the next start."""

from __future__ import annotations

import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import trio

from ternlane.config import ConsulSource, FileSource, GatewayConfig, NodeLine
from ternlane.discovery import (
    CorruptCacheError,
    EndpointRegistry,
    read_cache,
    watch_consul,
    watch_file,
    write_cache,
)
from ternlane.event_loop import now_ms
from ternlane.gateway.metrics import STATUS_LABELS, GatewayMetrics
from ternlane.policy.messages import EndpointStatus, EndpointsUpdated

# Until the source is watched again after a programming error, so that a repeated one does not flood the log.
FAULT_PAUSE_S = 1.0


class EndpointWatcher:
    """`on_change` is called with the changes of each list, `on_failure` when the list could not be read."""

    def __init__(
        self,
        config: GatewayConfig,
        registry: EndpointRegistry,
        on_change: Callable[[EndpointsUpdated], None],
        on_failure: Callable[[], None],
        agent: str,
        metrics: GatewayMetrics,
        log: Any,
    ) -> None:
        self.config = config
        self.registry = registry
        self.on_change = on_change
        self.on_failure = on_failure
        self.agent = agent
        self.metrics = metrics
        self.log = log
        self.unsaved_lines: list[NodeLine] | None = None
        self.save_requested = trio.Event()
        self.watch_scope = trio.CancelScope()

    def apply_list(self, lines: list[NodeLine]) -> None:
        """Applies a complete list of model servers."""
        self.metrics.lists.labels("read").inc()
        change = self.registry.update(lines, time.time(), now_ms())
        self.on_change(change)
        for status in EndpointStatus:
            servers = sum(server.status is status for server in self.registry.servers.values())
            self.metrics.servers.labels(STATUS_LABELS[status]).set(servers)
        if change.servers:
            self.unsaved_lines = lines
            self.save_requested.set()

    def report_failure(self, why: str) -> None:
        """Reports that the list could not be read; the previous one stays in use."""
        self.metrics.lists.labels("failed").inc()
        self.log.warning("node list not read", why=why)
        self.on_failure()

    def load_cache(self) -> None:
        """Loads the list that this gateway cached before its restart, until its source answers. A torn file is
        ignored."""
        if self.config.state is None:
            return
        try:
            lines = read_cache(Path(self.config.state))
        except CorruptCacheError as error:
            self.log.error("cached node list not used", why=str(error))
            return
        if lines:
            self.on_change(self.registry.update(lines, time.time(), now_ms()))

    async def save(self) -> None:
        """Writes the latest list in a thread. A failing disk is logged and has no other effect."""
        while self.config.state is not None:
            await self.save_requested.wait()
            self.save_requested = trio.Event()
            lines = self.unsaved_lines
            self.unsaved_lines = None
            try:
                if lines is not None:
                    await trio.to_thread.run_sync(write_cache, Path(self.config.state), lines)
            except OSError as error:
                self.log.error("node list not cached", why=str(error))

    async def watch(self) -> None:
        """Follows the source as long as the gateway runs; `restart` switches to another one."""
        while True:
            with trio.CancelScope() as self.watch_scope:
                try:
                    await self._watch_source()
                except Exception as fault:  # a programming error must not end the gateway
                    self.log.error("fault", exc_info=fault)
                    self.report_failure(repr(fault))
                    await trio.sleep(FAULT_PAUSE_S)

    async def _watch_source(self) -> None:
        match self.config.nodes:
            case FileSource() as source:
                await watch_file(source, self.apply_list, self.report_failure)
            case ConsulSource() as source:
                await watch_consul(source, self.apply_list, self.report_failure, self.agent)
            case inline:
                self.apply_list(inline.nodes)
                await trio.sleep_forever()

    def restart(self, config: GatewayConfig) -> None:
        """Switches to the source of another configuration."""
        self.config = config
        self.watch_scope.cancel()
