"""A whole gateway in a nursery: open_gateway starts it, and nothing of it is left when the block ends."""

from __future__ import annotations

import time
from contextlib import asynccontextmanager
from functools import partial
from pathlib import Path
from typing import Any, AsyncIterator, Callable

import msgspec
import trio

from ternlane import __version__
from ternlane.chat import Intake
from ternlane.policy.router import Router
from ternlane.engine import SocketTransport, Transport
from ternlane.gateway.chat_api import ChatApi
from ternlane.gateway.router_config import offer_of
from ternlane.gateway.host import Host
from ternlane.event_loop import RouterProtocol, now_ms
from ternlane.gateway.logs import library_log
from ternlane.gateway.metrics import STATUS_LABELS, GatewayMetrics
from ternlane.gateway.journal_writer import JournalWriter
from ternlane.gateway.budget_enforcer import BudgetEnforcer
from ternlane.http1 import Exchange, ConnectionPool, serve_connection
from ternlane.discovery import EndpointRegistry, Torn, follow_consul, follow_file, keep, kept
from ternlane.config import ConsulSource, FileSource, GatewayConfig, NodeLine, checked
from ternlane.document_keys import document_key
from ternlane.policy.messages import EndpointStatus, EndpointListFailed, RouterConfig

BACKLOG = 4096
ALTERED = ("door", "nodes", "request_classes", "fleet", "gateways", "zone")  # taken over by a running gateway
ACCEPT_PAUSE_S = 0.1  # after a connection could not be taken
ACCEPT_FAILURES = 5  # of these while a listener's queue is emptied at the end
QUEUE_EMPTY_S = 0.01  # no connection for so long: the queue is empty


def split(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


class Gateway:
    """A gateway that runs in its owner's nursery: `address` is where it listens, as host:port."""

    def __init__(
        self,
        config: GatewayConfig,
        chooser: Callable[[RouterConfig], RouterProtocol],
        nursery: trio.Nursery,
        log: Any,
        host_type: type[Host] = Host,
        transport: Transport | None = None,
    ) -> None:
        self.config, self.nursery, self.log = config, nursery, log
        self.offer = offer_of(config)
        self.router_config = self.offer.router_config
        self.metrics, self.book = GatewayMetrics(), EndpointRegistry()
        self.pool = ConnectionPool(config.fleet.connect_ms, config.fleet.idle_ms, config.source)
        intake = Intake(self.offer.models, self.offer.max_tokens, config.door.session_limit)
        self.agent = f"ternlane/{__version__} ({config.name})"
        self.transport = transport or SocketTransport(self.pool, self.agent)
        self.host = host_type(
            chooser(self.router_config),
            self.router_config,
            self.transport,
            self.book,
            intake,
            nursery,
            self.metrics,
            log,
            config.streams,
        )
        self.budget_enforcer = BudgetEnforcer(config, log) if config.tenants is not None else None
        self.door = ChatApi(config, self.host, intake, self.offer.models, self.metrics, log, self.budget_enforcer)
        if self.budget_enforcer is not None:
            self.host.on_done, self.host.affords = self.budget_enforcer.done, self.budget_enforcer.affords
        self.journal_writer = JournalWriter(Path(config.journal), log) if config.journal is not None else None
        self.host.journal_writer = self.journal_writer
        self.listeners: list[trio.SocketListener] = []
        self.handed_over = False
        self.doors = trio.CancelScope()
        self.address = ""
        self.keeping: list[NodeLine] | None = None
        self.keep_now = trio.Event()
        self.following = trio.CancelScope()

    # -- the node list

    def found(self, lines: list[NodeLine]) -> None:
        """The whole list of model servers has been read anew."""
        self.metrics.lists.labels("read").inc()
        news = self.book.whole(lines, time.time(), now_ms())
        self.host.listed(news)
        for status in EndpointStatus:
            self.metrics.servers.labels(STATUS_LABELS[status]).set(
                sum(s.status is status for s in self.book.servers.values())
            )
        if news.servers:
            self.keeping = lines
            self.keep_now.set()

    def list_failed(self, why: str) -> None:
        """The list could not be read; the last one holds."""
        self.metrics.lists.labels("failed").inc()
        self.log.warning("node list", why=why)
        self.host.dispatch(EndpointListFailed())

    def _last_list(self) -> None:
        """What this gateway knew before it was restarted, until its source says more."""
        if self.config.state is None:
            return
        try:
            lines = kept(Path(self.config.state))
        except Torn as why:
            self.log.error("kept node list not used", why=str(why))
            return
        if lines:
            self.host.listed(self.book.whole(lines, time.time(), now_ms()))

    async def _keep_lists(self) -> None:
        """Writes the newest list off the loop; a disk that fails is said aloud and costs nothing else."""
        while self.config.state is not None:
            await self.keep_now.wait()
            self.keep_now = trio.Event()
            lines, self.keeping = self.keeping, None
            try:
                if lines is not None:
                    await trio.to_thread.run_sync(keep, Path(self.config.state), lines)
            except OSError as why:
                self.log.error("node list not kept", why=str(why))

    async def _follow(self) -> None:
        while True:
            with trio.CancelScope() as self.following:
                match self.config.nodes:
                    case FileSource() as source:
                        await follow_file(source, self.found, self.list_failed)
                    case ConsulSource() as source:
                        await follow_consul(source, self.found, self.list_failed, self.agent)
                    case inline:
                        self.found(inline.nodes)
                        await trio.sleep_forever()

    async def _take_up(self) -> None:
        """What the process before had in flight when it was lost."""
        assert self.journal_writer is not None
        self.door.restore(await self.journal_writer.take_up(self.transport, self.router_config.release_ms))
        self.journal_writer.ready = True

    def reload(self, config: GatewayConfig) -> tuple[list[str], list[str]]:
        """Takes over what can change while running. Gives the fields that did, and those that wait for a restart."""
        old, changed, kept_back = self.config, [], []
        for field in config.__struct_fields__:
            if getattr(old, field) == getattr(config, field):
                continue
            if field in ALTERED:
                changed.append(field)
            else:
                kept_back.append(field)
        self.config = msgspec.structs.replace(old, **{field: getattr(config, field) for field in changed})
        if set(changed) - {"door", "nodes"}:
            self.offer = offer_of(self.config, self.offer.request_classes)
            self.router_config = self.offer.router_config
            self.pool.connect_ms, self.pool.idle_ms = self.config.fleet.connect_ms, self.config.fleet.idle_ms
            self.host.alter(self.offer)
        self.door.alter(self.config, self.offer.models)
        if "nodes" in changed:
            self.following.cancel()  # and followed anew at the new source
        return [document_key(field) for field in changed], [document_key(field) for field in kept_back]

    # -- start and stop

    async def _start(self, listeners: list[trio.SocketListener] | None = None) -> None:
        self._last_list()
        self.handed_over = True
        if listeners is None:
            host, port = split(self.config.listen)
            listeners = await trio.open_tcp_listeners(port, host=host, backlog=BACKLOG)
            self.handed_over = False
        self.listeners = listeners
        name = listeners[0].socket.getsockname()
        self.address = f"{name[0]}:{name[1]}"
        self.nursery.start_soon(self._follow)
        self.nursery.start_soon(self._keep_lists)
        self.nursery.start_soon(self.host.run_timers)
        if self.budget_enforcer is not None:
            for run in (self.budget_enforcer.follow, self.budget_enforcer.borrow, self.budget_enforcer.writer.run):
                self.nursery.start_soon(run)
        if self.journal_writer is not None:
            self.nursery.start_soon(self.journal_writer.writer.run)
            self.nursery.start_soon(self._take_up)
        self.nursery.start_soon(self._serve)
        if self.config.metrics is not None:
            host, port = split(self.config.metrics)
            await self.nursery.start(partial(trio.serve_tcp, self._metrics, port, host=host))
        self.log.info("serving", address=self.address, gateway=self.config.name)

    async def _serve(self) -> None:
        with self.doors:
            async with trio.open_nursery() as nursery:
                for listener in self.listeners:
                    nursery.start_soon(self._accept, listener)

    async def _accept(self, listener: trio.SocketListener) -> None:
        """Takes connections until told to stop; does not close the listener, whose queue `drain` still empties."""
        while True:
            try:
                stream = await listener.accept()
            except (trio.ClosedResourceError, OSError) as why:
                if listener.socket.fileno() < 0:
                    return  # closed by `drain` or the end, with a connection just arriving
                # Files or memory ran out, and what closes meanwhile makes room; or a connection or the network failed:
                # none of it may end the connections that are served.
                self.log.error("no connection can be taken", why=repr(why))
                await trio.sleep(ACCEPT_PAUSE_S)
            else:
                self.nursery.start_soon(self.door.connection, stream)

    async def _metrics(self, stream: trio.SocketStream) -> None:
        async def handle(exchange: Exchange) -> None:
            if exchange.path == "/metrics":
                await exchange.answer(200, [], self.metrics.text(), "text/plain; version=0.0.4")
            else:
                await exchange.answer(404, [], b"")

        await serve_connection(
            stream, handler=handle, body_bytes=1024, head_ms=5e3, body_ms=5e3, idle_ms=60e3, send_ms=5e3
        )

    async def drain(self) -> None:
        """Takes nothing new, lets what is open end, and gives up on the rest when the time is over."""
        self.doors.cancel()
        for listener in self.listeners:  # who has come already is served; who comes now hears that nobody listens
            if not self.handed_over:  # where another process has the socket too, its queue is that one's
                await self._accept_the_rest(listener)
            listener.socket.close()
        await trio.sleep(0.05)  # for requests that were under way
        self.door.draining = True
        with trio.move_on_after(self.config.door.drain_ms / 1000):
            while self.host.active_requests:
                await trio.sleep(0.02)
        await self.stop()

    async def _accept_the_rest(self, listener: trio.SocketListener) -> None:
        """Takes what waits in the listener's queue. A connection that can't be taken is tried again for a while."""
        failures = 0
        while failures < ACCEPT_FAILURES:
            stream = None
            try:
                with trio.move_on_after(QUEUE_EMPTY_S):
                    stream = await listener.accept()
            except (trio.ClosedResourceError, OSError) as why:
                failures += 1
                self.log.error("no connection can be taken", why=repr(why))
                await trio.sleep(ACCEPT_PAUSE_S)
                continue
            if stream is None:
                return
            self.nursery.start_soon(self.door.connection, stream)

    async def stop(self) -> None:
        """Gives up on what is open, releases what is held, and keeps the bills. After `drain` there is nothing left
        to do; a block that ends without it loses nothing either."""
        for active_request in list(self.host.active_requests.values()):
            self.host.abort_request(active_request, "the gateway went down")
        with trio.move_on_after(self.router_config.release_ms / 1000 + 0.2):  # for last answers and what is released
            while self.host.active_requests or self.host.releasing or self.door.busy:
                await trio.sleep(0.01)
        if self.budget_enforcer is not None:
            await self.budget_enforcer.close()
        if self.journal_writer is not None:
            await self.journal_writer.close()


@asynccontextmanager
async def open_gateway(
    config: GatewayConfig,
    chooser: Callable[[RouterConfig], RouterProtocol] = Router,
    log: Any = None,
    host_type: type[Host] = Host,
    listeners: list[trio.SocketListener] | None = None,
    transport: Transport | None = None,
) -> AsyncIterator[Gateway]:
    """Everything lives in a nursery that this block owns. Raises PaperError for settings that no document could hold,
    OSError where its address is taken, CorruptLedgerError where the ledger is."""
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
            for listener in gateway.listeners:
                listener.socket.close()
