"""Watches the endpoint list at its source, and keeps the last one on disk for the next start."""

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


class EndpointWatcher:
    """`on_change` hears what changed in a list, `on_failure` that the list could not be read."""

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
        self.unsaved: list[NodeLine] | None = None
        self.save_now = trio.Event()
        self.watching = trio.CancelScope()

    def found(self, lines: list[NodeLine]) -> None:
        """The whole list of model servers has been read anew."""
        self.metrics.lists.labels("read").inc()
        change = self.registry.update(lines, time.time(), now_ms())
        self.on_change(change)
        for status in EndpointStatus:
            servers = sum(server.status is status for server in self.registry.servers.values())
            self.metrics.servers.labels(STATUS_LABELS[status]).set(servers)
        if change.servers:
            self.unsaved = lines
            self.save_now.set()

    def failed(self, why: str) -> None:
        """The list could not be read; the last one holds."""
        self.metrics.lists.labels("failed").inc()
        self.log.warning("node list", why=why)
        self.on_failure()

    def load_cache(self) -> None:
        """Takes what this gateway knew before it was restarted, until its source says more. A torn file is not used."""
        if self.config.state is None:
            return
        try:
            lines = read_cache(Path(self.config.state))
        except CorruptCacheError as error:
            self.log.error("kept node list not used", why=str(error))
            return
        if lines:
            self.on_change(self.registry.update(lines, time.time(), now_ms()))

    async def save(self) -> None:
        """Writes the newest list off the loop; a disk that fails is said aloud and costs nothing else."""
        while self.config.state is not None:
            await self.save_now.wait()
            self.save_now = trio.Event()
            lines = self.unsaved
            self.unsaved = None
            try:
                if lines is not None:
                    await trio.to_thread.run_sync(write_cache, Path(self.config.state), lines)
            except OSError as error:
                self.log.error("node list not kept", why=str(error))

    async def watch(self) -> None:
        """Follows the source for as long as the gateway runs, and the next one after `restart`."""
        while True:
            with trio.CancelScope() as self.watching:
                match self.config.nodes:
                    case FileSource() as source:
                        await watch_file(source, self.found, self.failed)
                    case ConsulSource() as source:
                        await watch_consul(source, self.found, self.failed, self.agent)
                    case inline:
                        self.found(inline.nodes)
                        await trio.sleep_forever()

    def restart(self, config: GatewayConfig) -> None:
        """Watches another source from now on."""
        self.config = config
        self.watching.cancel()
