"""A whole gateway in a nursery: open_gateway starts it, and nothing of it is left when the block ends."""

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
from ternlane.http1 import ConnectionPool
from ternlane.policy.messages import EndpointListFailed, RouterConfig
from ternlane.policy.router import Router
from ternlane.version import VERSION

RELOADABLE = ("door", "nodes", "request_classes", "fleet", "gateways", "zone")  # taken over by a running gateway
GRACE_S = 0.05  # for requests that were under way to a client's connection as draining began
DRAIN_LOOK_S = 0.02  # between two looks whether all requests have ended
STOP_LOOK_S = 0.01
LAST_ANSWERS_S = 0.2  # beside the time for releases, until open requests are given up on


class Gateway:
    """A gateway that runs in its owner's nursery: `address` is where it listens, as host:port."""

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
        self.pool = ConnectionPool(config.fleet.connect_ms, config.fleet.idle_ms, config.source)
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
            self.runtime.on_done = self.budget_enforcer.done
            self.runtime.affords = self.budget_enforcer.affords
        self.journal_writer = JournalWriter(Path(config.journal), log) if config.journal is not None else None
        self.runtime.journal_writer = self.journal_writer
        models = self.configured.models
        self.chat_api = ChatApi(config, self.runtime, intake, models, self.metrics, log, self.budget_enforcer)
        self.listeners = Listeners(self.chat_api.connection, nursery, log)
        self.endpoint_watcher = EndpointWatcher(
            config,
            self.registry,
            self.runtime.endpoints_changed,
            lambda: self.runtime.dispatch(EndpointListFailed()),
            self.agent,
            self.metrics,
            log,
        )

    def found(self, lines: list[NodeLine]) -> None:
        """The whole list of model servers has been read anew."""
        self.endpoint_watcher.found(lines)

    def list_failed(self, why: str) -> None:
        """The list could not be read; the last one holds."""
        self.endpoint_watcher.failed(why)

    def reload(self, config: GatewayConfig) -> tuple[list[str], list[str]]:
        """Takes over what can change while running. Gives the fields that did, and those that wait for a restart."""
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
            self.nursery.start_soon(self.budget_enforcer.follow)
            self.nursery.start_soon(self.budget_enforcer.borrow)
            self.nursery.start_soon(self.budget_enforcer.writer.run)
        if self.journal_writer is not None:
            self.nursery.start_soon(self.journal_writer.writer.run)
            self.nursery.start_soon(self._take_over_journal)
        self.nursery.start_soon(self.listeners.run)
        if self.config.metrics is not None:
            host, port = split_address(self.config.metrics)
            await self.nursery.start(partial(trio.serve_tcp, partial(serve_metrics, self.metrics), port, host=host))
        self.log.info("serving", address=self.address, gateway=self.config.name)

    async def _take_over_journal(self) -> None:
        """What the process before had in flight when it was lost."""
        assert self.journal_writer is not None
        self.chat_api.restore(await self.journal_writer.take_up(self.transport, self.router_config.release_ms))
        self.journal_writer.ready = True

    async def drain(self) -> None:
        """Takes nothing new, lets what is open end, and gives up on the rest when the time is over."""
        await self.listeners.drain()
        await trio.sleep(GRACE_S)
        self.chat_api.drain()
        with trio.move_on_after(self.config.door.drain_ms / 1000):
            while self.runtime.active_requests:
                await trio.sleep(DRAIN_LOOK_S)
        await self.stop()

    async def stop(self) -> None:
        """Gives up on what is open, releases what is held, and keeps the bills. After `drain` there is nothing left
        to do; a block that ends without it loses nothing either."""
        for active_request in list(self.runtime.active_requests.values()):
            self.runtime.abort_request(active_request, "the gateway went down")
        with trio.move_on_after(self.router_config.release_ms / 1000 + LAST_ANSWERS_S):
            while self.runtime.active_requests or self.runtime.server_calls.releases_in_flight or self.chat_api.busy:
                await trio.sleep(STOP_LOOK_S)
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
    """Everything lives in a nursery that this block owns. Raises ConfigError for settings that no document could hold,
    OSError where its address is taken, Damaged where the ledger is."""
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
