"""`open_gateway` runs a gateway in a nursery; when the block ends, all of its tasks and sockets are gone."""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from functools import partial
from pathlib import Path
from typing import Any

import msgspec
import trio

from ternlane.chat import RequestIntake
from ternlane.config import GatewayConfig, NodeLine, checked
from ternlane.discovery import EndpointRegistry
from ternlane.document_keys import document_key
from ternlane.engine import SocketTransport, Transport
from ternlane.event_loop import RouterProtocol
from ternlane.gateway.budget_enforcer import BudgetEnforcer
from ternlane.gateway.chat_api import ChatApi
from ternlane.gateway.endpoint_watcher import EndpointWatcher
from ternlane.gateway.journal_writer import JournalWriter
from ternlane.gateway.listeners import Listeners, split_address
from ternlane.gateway.logs import library_log
from ternlane.gateway.metrics import GatewayMetrics
from ternlane.gateway.metrics_server import serve_metrics
from ternlane.gateway.router_config import configure_models
from ternlane.gateway.runtime import GatewayRuntime
from ternlane.http1 import ConnectionPool, SharedLimits
from ternlane.policy.messages import EndpointListFailed, EndpointsUpdated, RouterConfig
from ternlane.policy.router import Router
from ternlane.version import VERSION

RELOADABLE = (
    "door",
    "nodes",
    "request_classes",
    "fleet",
    "gateways",
    "zone",
)  # fields that a running gateway can change
DRAIN_START_DELAY_S = 0.05  # for requests that clients had sent before draining began
DRAIN_POLL_S = 0.02  # interval between checks whether all requests have ended
STOP_POLL_S = 0.01
FINAL_ANSWERS_TIMEOUT_S = 0.2  # for final answers, in addition to the time limit of releases


class Gateway:
    """A gateway that runs in the caller's nursery. `address`: where it listens, as host:port."""

    def __init__(
        self,
        config: GatewayConfig,
        chooser: Callable[[RouterConfig], RouterProtocol],
        nursery: trio.Nursery,
        log: Any,
        host_type: type[GatewayRuntime] = GatewayRuntime,
        transport: Transport | None = None,
    ) -> None:
        self.config = config
        self.nursery = nursery
        self.log = log
        self.address = ""
        self.configured = configure_models(config)
        self.router_config = self.configured.router_config
        self.metrics = GatewayMetrics()
        self.registry = EndpointRegistry()
        self.agent = f"ternlane/{VERSION} ({config.name})"
        shared_limits = SharedLimits()
        fleet = config.fleet
        self.pool = ConnectionPool(fleet.connect_ms, fleet.idle_ms, config.source, shared_limits=shared_limits)
        self.transport = transport or SocketTransport(self.pool, self.agent)
        intake = RequestIntake(self.configured.models, self.configured.max_tokens, config.door.session_limit)
        self.runtime = host_type(
            chooser(self.router_config),
            self.router_config,
            self.transport,
            self.registry,
            intake,
            nursery,
            self.metrics,
            log,
            config.streams,
        )
        self.budget_enforcer = BudgetEnforcer(config, log) if config.tenants is not None else None
        if self.budget_enforcer is not None:
            self.runtime.on_done = self.budget_enforcer.settle_request
            self.runtime.within_budget = self.budget_enforcer.within_budget
        self.journal_writer = JournalWriter(Path(config.journal), log) if config.journal is not None else None
        self.runtime.journal_writer = self.journal_writer
        models = self.configured.models
        self.chat_api = ChatApi(
            config, self.runtime, intake, models, self.metrics, log, self.budget_enforcer, shared_limits
        )
        self.listeners = Listeners(self.chat_api.connection, nursery, self.runtime.loop_times, log)
        self.endpoint_watcher = EndpointWatcher(
            config,
            self.registry,
            self._endpoints_changed,
            lambda: self.runtime.dispatch(EndpointListFailed()),
            self.agent,
            self.metrics,
            log,
        )

    def found(self, lines: list[NodeLine]) -> None:
        """Applies a complete list of model servers."""
        self.endpoint_watcher.apply_list(lines)

    def _endpoints_changed(self, change: EndpointsUpdated) -> None:
        for address in self.registry.handed_over_addresses:
            self.pool.forget(address)
        self.runtime.endpoints_changed(change)

    def list_failed(self, why: str) -> None:
        """Reports that the list could not be read; the previous one stays in use."""
        self.endpoint_watcher.report_failure(why)

    def reload(self, config: GatewayConfig) -> tuple[list[str], list[str]]:
        """Applies what can change while running. Returns the changed fields, and those that need a restart."""
        differing = [name for name in config.__struct_fields__ if getattr(self.config, name) != getattr(config, name)]
        changed = [name for name in differing if name in RELOADABLE]
        waiting = [name for name in differing if name not in RELOADABLE]
        self.config = msgspec.structs.replace(self.config, **{name: getattr(config, name) for name in changed})
        if set(changed) - {"door", "nodes"}:
            self.configured = configure_models(self.config, self.configured.request_classes)
            self.router_config = self.configured.router_config
            self.pool.connect_ms = self.config.fleet.connect_ms
            self.pool.idle_ms = self.config.fleet.idle_ms
            self.runtime.alter(self.configured)
        self.chat_api.alter(self.config, self.configured.models)
        if "nodes" in changed:
            self.endpoint_watcher.restart(self.config)
        return [document_key(name) for name in changed], [document_key(name) for name in waiting]

    # -- start and stop

    async def _start(self, listeners: list[trio.SocketListener] | None = None) -> None:
        self.endpoint_watcher.load_cache()
        self.address = await self.listeners.open(self.config.listen, listeners)
        self.nursery.start_soon(self.endpoint_watcher.watch)
        self.nursery.start_soon(self.endpoint_watcher.save)
        self.nursery.start_soon(self.runtime.run_timers)
        if self.budget_enforcer is not None:
            self.nursery.start_soon(self.budget_enforcer.watch_tenants_file)
            self.nursery.start_soon(self.budget_enforcer.lease_quota)
            self.nursery.start_soon(self.budget_enforcer.writer.run)
        if self.journal_writer is not None:
            self.nursery.start_soon(self.journal_writer.writer.run)
            self.nursery.start_soon(self._recover_journal)
        self.nursery.start_soon(self.listeners.run)
        if self.config.metrics is not None:
            host, port = split_address(self.config.metrics)
            await self.nursery.start(partial(trio.serve_tcp, partial(serve_metrics, self.metrics), port, host=host))
        self.log.info("serving", address=self.address, gateway=self.config.name)

    async def _recover_journal(self) -> None:
        """Recovers the requests that the previous process had in flight when it was lost."""
        assert self.journal_writer is not None
        self.chat_api.restore(await self.journal_writer.recover(self.transport, self.router_config.release_ms))
        self.journal_writer.ready = True

    async def drain(self) -> None:
        """Stops admitting requests, waits for open ones to end, and fails the rest when `drain_ms` is over."""
        await self.listeners.drain()
        await trio.sleep(DRAIN_START_DELAY_S)
        self.chat_api.drain()
        with trio.move_on_after(self.config.door.drain_ms / 1000):
            while self.runtime.active_requests:
                await trio.sleep(DRAIN_POLL_S)
        await self.stop()

    async def stop(self) -> None:
        """Fails open requests, releases what servers hold for them and writes the bills. After `drain` nothing is left
        to do; a block that ends without `drain` loses no bill or release either."""
        for active_request in list(self.runtime.active_requests.values()):
            self.runtime.abort_request(active_request, "the gateway went down")
        with trio.move_on_after(self.router_config.release_ms / 1000 + FINAL_ANSWERS_TIMEOUT_S):
            while self.runtime.active_requests or self.runtime.server_calls.releases_in_flight or self.chat_api.busy:
                await trio.sleep(STOP_POLL_S)
        if self.budget_enforcer is not None:
            await self.budget_enforcer.close()
        if self.journal_writer is not None:
            await self.journal_writer.close()


@asynccontextmanager
async def open_gateway(
    config: GatewayConfig,
    chooser: Callable[[RouterConfig], RouterProtocol] = Router,
    log: Any = None,
    host_type: type[GatewayRuntime] = GatewayRuntime,
    listeners: list[trio.SocketListener] | None = None,
    transport: Transport | None = None,
) -> AsyncIterator[Gateway]:
    """Runs a gateway in a nursery that this block owns. Raises ConfigError for invalid settings, OSError if the
    address is in use, CorruptLedgerError if the ledger is damaged."""
    config = checked(config)
    async with trio.open_nursery() as nursery:
        gateway = Gateway(config, chooser, nursery, log or library_log(), host_type, transport)
        try:
            await gateway._start(listeners)
            yield gateway
        finally:
            with trio.CancelScope(shield=True):
                await gateway.stop()
            nursery.cancel_scope.cancel()
            gateway.transport.close()
            gateway.listeners.close()
