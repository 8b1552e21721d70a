"""The platform gateway: start, reload, graceful shutdown and the regular report in the log.

The platform is the environment that starts and stops gateways, and whose protocol they serve.
"""

from __future__ import annotations

import time
from typing import Any

import trio

from ternlane.event_loop import now_ms
from ternlane.http1 import ConnectionPool, SharedLimits
from ternlane.platform.acceptor import Acceptor
from ternlane.platform.chat_server import ChatServer
from ternlane.platform.discovery_watch import FIRST_LIST_MS, DiscoveryWatch
from ternlane.platform.errors import ConfigurationError
from ternlane.platform.model_server_client import ModelServerClient
from ternlane.platform.process_usage import memory_mb, open_descriptors
from ternlane.platform.request_history import RequestRecord
from ternlane.platform.runtime import PlatformRuntime
from ternlane.platform.settings import GatewayConfiguration, read_configuration
from ternlane.policy import messages
from ternlane.policy.router import Router
from ternlane.policy.shutdown import shutdown_times

LISTEN_BACKLOG = 1024
# Shares of the file descriptors; the rest is for the watch, the log and connections that are being closed.
CLIENT_SOCKETS_SHARE = 0.45
SERVER_SOCKETS_SHARE = 0.45
# Active requests per descriptor: each has one attempt in flight, and releases (DELETE) need connections as well.
REQUESTS_SHARE = 0.4
# Share of the memory for what connections hold of messages: bodies of active requests, and incomplete messages.
MESSAGES_MEMORY_SHARE = 0.2
# Share of the model servers' idle timeout after which this gateway closes an idle connection, so that no request is
# written to a connection that its server is closing.
IDLE_TIMEOUT_SHARE = 0.9
# In the platform new connections still arrive for this long after SIGTERM.
LATE_CONNECTIONS_MS = 450.0
# The platform sends SIGKILL no earlier after SIGTERM than the longest deadline, at most LONGEST_DEADLINE_MS, plus
# KILL_GRACE_MS.
LONGEST_DEADLINE_MS = 3000.0
KILL_GRACE_MS = 700.0
# Time before SIGKILL at which requests without an answer are failed, so that the answer still reaches the client.
LAST_ANSWER_MS = 250.0
# Time before SIGKILL at which requests that are still open are logged.
UNFINISHED_REPORT_MS = 100.0
# Interval at which a drain checks whether all requests and connections have ended.
END_POLL_MS = 20.0
# Interval between two report lines.
REPORT_INTERVAL_MS = 10e3


class Gateway:
    """The gateway. `start` returns once it serves; `drain` once all requests and connections have ended."""

    def __init__(self, configuration: GatewayConfiguration, nursery: trio.Nursery, log: Any) -> None:
        deployment = configuration.deployment
        router_config = deployment.router_config
        self.configuration = configuration
        self.nursery = nursery
        self.log = log
        self.shared_limits = SharedLimits()
        self.pool = ConnectionPool(router_config.connect_ms, router_config.idle_ms, shared_limits=self.shared_limits)
        model_servers = ModelServerClient(self.pool, deployment)
        self.runtime = PlatformRuntime(Router(router_config), deployment, model_servers, nursery, log)
        self.chat_server = ChatServer(self.runtime, self.shared_limits, log)
        self.acceptor = Acceptor(self.chat_server, log)
        self.watch = DiscoveryWatch(
            configuration.discovery,
            lambda: self.runtime.endpoint_registry.index,
            self.runtime.update_endpoints,
            self._watch_failed,
            router_config.seed,
            nursery,
            log,
            self.shared_limits,
        )
        self.listener: trio.SocketListener
        self.accept_scope = trio.CancelScope()
        self.apply_limits(configuration)

    def apply_limits(self, configuration: GatewayConfiguration) -> None:
        """Sets the limits of connections and bodies according to the configuration."""
        router_config = configuration.deployment.router_config
        limits = configuration.limits
        idle_ms = IDLE_TIMEOUT_SHARE * router_config.idle_ms
        self.pool.set_limits(router_config.connect_ms, idle_ms, int(limits.sockets * SERVER_SOCKETS_SHARE))
        self.chat_server.connection_limit = int(limits.sockets * CLIENT_SOCKETS_SHARE)
        self.chat_server.request_limit = int(limits.sockets * REQUESTS_SHARE)
        self.shared_limits.memory.limit_bytes = int(limits.memory_mb * 2**20 * MESSAGES_MEMORY_SHARE)

    def _watch_failed(self, why: str) -> None:
        self.runtime.reporter.counts["watch broke"] += 1
        self.log.warning("discovery", why=why)

    # -- start and reload

    async def start(self) -> None:
        """Starts to serve. Raises OSError if its address can't be bound."""
        host, port = self.configuration.listen
        listeners = await trio.open_tcp_listeners(port, host=host, backlog=LISTEN_BACKLOG)
        self.listener = listeners[0]
        self.runtime.endpoint_registry.index = self.configuration.known_endpoints.index
        self.runtime.update_endpoints(self.configuration.known_endpoints)
        self.nursery.start_soon(self.runtime.run_timers)
        self.watch.start()
        with trio.move_on_after(FIRST_LIST_MS / 1000):  # the first request must already be routed by discovery's list
            await self.watch.opened.wait()
        self.nursery.start_soon(self._accept)
        self.nursery.start_soon(self._report_regularly)
        self.chat_server.ready = True
        servers = len(self.runtime.endpoint_registry.servers)
        self.log.info("serving", listen=f"{host}:{port}", servers=servers)

    async def _accept(self) -> None:
        with self.accept_scope:
            await self.acceptor.accept(self.listener, self.nursery)

    def reload(self) -> None:
        """Reads the configuration file again; an invalid one changes nothing. A changed listen address applies only
        after a restart.

        Request classes whose settings stay the same keep their statistics.
        """
        try:
            # The discovery address of the file takes precedence over that of the environment.
            configuration = read_configuration(previous=self.configuration.deployment, file_first=True)
        except ConfigurationError as error:
            self.log.error("reload refused", why=str(error))
            return
        discovery_moved = configuration.discovery != self.configuration.discovery
        settings_changed = configuration.deployment.settings != self.configuration.deployment.settings
        self.configuration = configuration
        self.apply_limits(configuration)
        if settings_changed:
            self.runtime.apply_settings(configuration.deployment)
        if discovery_moved:
            self.watch.change_address(configuration.discovery)
        self.log.info("reloaded", discovery_moved=discovery_moved, settings_changed=settings_changed)

    # -- shutdown

    def begin_drain(self, since_signal_ms: float = 0.0) -> None:
        """Makes each connection end with its next answer.

        Idle connections that have served a request close at once: a later request on them might be cut off without an
        answer. `since_signal_ms`: how long ago the signal arrived.
        """
        deployment = self.runtime.deployment
        now = now_ms()
        deadlines_ms = [request_class.deadline_ms for request_class in deployment.request_classes.values()]
        longest_ms = min(LONGEST_DEADLINE_MS, max(deadlines_ms))
        times = shutdown_times(longest_ms, KILL_GRACE_MS, deployment.router_config.release_ms, since_signal_ms)
        self.chat_server.draining = True
        self.runtime.reporter.sigterm_ms = now - since_signal_ms
        self.runtime.answer_all_by_ms = now + times.ends_ms - LAST_ANSWER_MS
        self.log.info(
            "draining",
            open=len(self.runtime.active_requests),
            connections=self.chat_server.connections,
            since_signal_ms=round(since_signal_ms, 1),
            rejects_new_in_ms=round(times.admits_ms),
            answers_all_in_ms=round(times.answers_ms),
            may_be_killed_in_ms=round(times.ends_ms),
        )
        self.runtime.dispatch(messages.ShutdownStarted(times))
        self.nursery.start_soon(self._stop_reading, times.answers_ms)
        self.nursery.start_soon(self._report_unfinished, times.ends_ms)
        self.chat_server.close_idle(served_only=True)

    async def drain(self, since_signal_ms: float = 0.0) -> None:
        """Serves the connections that still arrive, answers all requests, releases held states, and then returns.

        The listener is closed only when no new connection can arrive any more (LATE_CONNECTIONS_MS).
        """
        self.begin_drain(since_signal_ms)
        await trio.sleep(max(0.0, LATE_CONNECTIONS_MS - since_signal_ms) / 1000)
        self.accept_scope.cancel()
        await self.acceptor.accept_queued(self.listener, self.nursery, LATE_CONNECTIONS_MS)
        self.listener.socket.close()
        # A quarter of LATE_CONNECTIONS_MS, in seconds: connections accepted last can still send a request.
        await trio.sleep(LATE_CONNECTIONS_MS / 4000)
        while self.runtime.active_requests or self.runtime.releases_in_flight or self.chat_server.connections:
            self.chat_server.close_idle()  # also those that had unread bytes at the last check
            await trio.sleep(END_POLL_MS / 1000)

    async def _stop_reading(self, within_ms: float) -> None:
        """Refuses incomplete requests after `within_ms`: one that is completed later leaves no time for an answer."""
        await trio.sleep(max(0.0, within_ms) / 1000)
        self.chat_server.stop_reading()

    async def _report_unfinished(self, within_ms: float) -> None:
        """Logs the requests that are open shortly before the process may be killed; later it can log nothing."""
        await trio.sleep(max(0.0, within_ms - UNFINISHED_REPORT_MS) / 1000)
        for request in self.runtime.open_requests():
            self.log.warning("unfinished before the end", **request.as_fields())

    # -- reports for operators

    async def _report_regularly(self) -> None:
        """Logs the figures that operators need every ten seconds."""
        before: dict[str, int] = {}
        while True:
            await trio.sleep(REPORT_INTERVAL_MS / 1000)
            counts = dict(self.runtime.reporter.counts)
            changes = {name: count - before.get(name, 0) for name, count in sorted(counts.items())}
            self._report({name: change for name, change in changes.items() if change})
            before = counts

    def _report(self, counts: dict[str, int]) -> None:
        runtime = self.runtime
        held_states = runtime.reporter.held_states
        self.log.info(
            "report",
            open=len(runtime.active_requests),
            held=len(held_states),
            oldest_held_ms=round(held_states.oldest_ms(now_ms()), 1),
            longest_held_ms=round(held_states.longest_ms, 1),
            oldest_unanswered_ms=round(runtime.oldest_unanswered_ms(), 1),
            connections=self.chat_server.connections,
            server_connections=len(self.pool.open),
            connect_shortages=self.pool.local_shortages,
            descriptors=open_descriptors(),
            memory_mb=round(memory_mb(), 1),
            loop_late_ms=round(runtime.max_lateness_ms, 1),
            loop_turn_ms=round(runtime.loop_times.turn_ms(), 1),
            cpu_s=round(time.process_time(), 2),
            **counts,
        )
        runtime.max_lateness_ms = 0.0
        held_states.longest_ms = 0.0

    def log_histories(self) -> None:
        """Logs the attempts and transitions of the open and the latest finished requests, one line per request."""
        records = [
            RequestRecord(request.request_id, "open", request.attempt_log, request.history)
            for request in self.runtime.active_requests.values()
            if not request.is_finished
        ]
        for record in [*records, *self.runtime.reporter.records]:
            self.log.info(
                "request history",
                request_id=record.request_id,
                outcome=record.outcome,
                attempts=record.attempts,
                transitions=record.history.lines(),
            )
