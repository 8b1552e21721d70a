"""Connects the router of a platform gateway to its sockets: requests, attempts and releases of held states."""

from __future__ import annotations

import time
from collections.abc import Iterator
from typing import Any

import trio

from ternlane.deployment import Deployment
from ternlane.event_loop import EventLoop, RouterProtocol, make_start_check, now_ms
from ternlane.platform.active_request import ActiveRequest, FinalAnswer, Streamed
from ternlane.platform.attempt import AttemptResult, ModelServerAttempt
from ternlane.platform.endpoint_list import EndpointList
from ternlane.platform.endpoint_registry import EndpointRegistry
from ternlane.platform.errors import ClientDisconnectedError
from ternlane.platform.model_server_client import ModelServerClient
from ternlane.platform.open_requests import OpenRequest
from ternlane.platform.request_reporter import RequestReporter
from ternlane.platform.stream_forwarder import StreamForwarder
from ternlane.policy import messages
from ternlane.policy.messages import AttemptOutcome, EndpointStatus, Report, Server
from ternlane.wire_names import OUTCOME_NAMES

# Tries of a release that no server confirms, each with twice the time of the one before: enough to outlast a few
# seconds without answers, and bounded so that a shutdown ends.
MAX_RELEASE_TRIES = 4


class PlatformRuntime(EventLoop[ActiveRequest]):
    """Feeds the router with events from the sockets, and executes its actions on them."""

    def __init__(
        self,
        router: RouterProtocol,
        deployment: Deployment,
        model_servers: ModelServerClient,
        nursery: trio.Nursery,
        log: Any,
    ) -> None:
        super().__init__(router)
        self.deployment = deployment
        self.model_servers = model_servers
        self.nursery = nursery
        self.log = log
        self.endpoint_registry = EndpointRegistry(deployment)
        self.reporter = RequestReporter(log)
        self.requests_by_id: dict[str, ActiveRequest] = {}
        self.ended_requests: list[ActiveRequest] = []  # dropped once the batch of events has been processed
        self.releases_in_flight = 0

    # -- event loop

    def process_events(self) -> None:
        """Also drops the requests that have ended: actions of the batch may refer to them until here."""
        super().process_events()
        for active_request in self.ended_requests:
            self._forget(active_request)
        self.ended_requests.clear()

    def execute_host_action(self, action: messages.Action) -> None:
        """Executes a release, a reservation, a probe or a log action."""
        match action:
            case messages.Release(request, again, reason):
                active_request = self.active_requests.get(request)
                if active_request is not None:
                    self._begin_release(active_request, reason, again)
            case messages.Reserve(request, server):
                active_request = self.active_requests.get(request)
                endpoint = self.endpoint_registry.endpoints.get(server)
                if active_request is not None and endpoint is not None:
                    self.nursery.start_soon(self._reserve, active_request, endpoint.address)
            case messages.Probe(server):
                self.nursery.start_soon(self._probe, server)
            case messages.Log(server, text):
                self.log.info("server", server=self._server_name(server), text=text)

    def on_timers_fired(self) -> None:
        """Regularly checks the clocks, idle connections and held states."""
        self.endpoint_registry.clock.observe(time.time() * 1000, now_ms())
        self.model_servers.pool.sweep()
        self.reporter.warn_of_overdue_states(self.deployment.router_config.release_ms)

    def on_fault(self, fault: Exception) -> None:
        """Logs a programming error; `fail_overdue_requests` fails the affected requests in time."""
        self.reporter.counts["fault"] += 1
        self.log.error("fault", exc_info=fault)

    def update_endpoints(self, endpoint_list: EndpointList) -> None:
        """Applies a list of discovery. Raises ValueError if the full list must be requested."""
        update = self.endpoint_registry.apply_list(endpoint_list, time.time() * 1000, now_ms())
        handed_over = self.endpoint_registry.handed_over_addresses
        if handed_over:
            self.model_servers.forget(handed_over, self.endpoint_registry.addresses.keys())
        if update.servers:
            self.dispatch(update)

    def apply_settings(self, deployment: Deployment) -> None:
        """Applies new settings. Active requests keep the request class with which they arrived."""
        self.deployment = deployment
        self.model_servers.deployment = deployment
        self.endpoint_registry.apply_settings(deployment)
        self.dispatch(messages.ConfigChanged(deployment.router_config))

    # -- requests

    def receive_request(self, active_request: ActiveRequest) -> None:
        """Hands a request that has been read completely to the router."""
        self.requests_by_id[active_request.request_id] = active_request
        self.reporter.received(active_request)
        self.add_request(active_request)

    def open_requests(self) -> list[OpenRequest]:
        """The requests without a complete answer, the oldest first."""
        active_requests = self.active_requests.values()
        return [self.reporter.describe_open(request) for request in active_requests if not request.is_finished]

    def client_disconnected(self, active_request: ActiveRequest) -> None:
        """The client has disconnected. Cancels an attempt that streams to it, or that has not been written and so has
        not started."""
        if active_request.is_finished:
            return
        active_request.client_gone = True
        active_request.drop_body()
        attempt = active_request.attempt
        if attempt is not None and (active_request.streaming or not attempt.written):
            attempt.cancel()
        self.reporter.closed(active_request, "client_gone")
        self.ended_requests.append(active_request)
        self.dispatch(messages.ClientDisconnected(active_request.request))

    def abort_request(self, active_request: ActiveRequest, why: str) -> None:
        """Counts the request as overdue, which is due to a programming error, and aborts it."""
        self.reporter.counts["overdue"] += 1
        super().abort_request(active_request, why)

    def finish_request(self, active_request: ActiveRequest, final: FinalAnswer) -> None:
        """Sets the one final answer; a second one is ignored."""
        if active_request.is_finished:
            return
        active_request.final = final
        active_request.drop_body()
        active_request.client_watch.cancel()
        self.reporter.finished(active_request, final)
        self.ended_requests.append(active_request)

    def _forget(self, active_request: ActiveRequest) -> None:
        """Drops a request once it is finished and its last attempt has ended."""
        if active_request.attempt is None and active_request.is_finished:
            self.active_requests.pop(active_request.request, None)
            if self.requests_by_id.get(active_request.request_id) is active_request:
                del self.requests_by_id[active_request.request_id]

    # -- attempts

    def start_attempt(self, active_request: ActiveRequest, server: Server, times: messages.StartAttempt) -> None:
        """Starts an attempt. It is sent once there is a connection and the release of an earlier attempt's state is
        confirmed, or the connect timeout has passed."""
        endpoint = self.endpoint_registry.endpoints.get(server)
        exchange = active_request.exchange
        attempt = ModelServerAttempt(
            address=endpoint.address if endpoint is not None else "",
            role=server.role,
            method=exchange.method,
            target=exchange.request.target.decode("latin-1"),
            request_id=active_request.request_id,
            body=active_request.body,
            answer_by_s=trio.current_time() + times.timeout_ms / 1000,
            idle_timeout_ms=times.idle_timeout_ms,
            stream_limits=active_request.stream_limits,
            start_check=make_start_check(
                server, times.start_within_ms, lambda: active_request.is_finished or exchange.closed
            ),
        )
        active_request.attempt = attempt
        active_request.server_name = self._server_name(server)
        active_request.attempt_count += 1
        self.reporter.attempt_decided(active_request, times.timeout_ms)
        self.nursery.start_soon(self._run_attempt, active_request, server, attempt)

    async def _run_attempt(self, active_request: ActiveRequest, server: Server, attempt: ModelServerAttempt) -> None:
        since_ms = now_ms()
        await self._wait_for_release(active_request, attempt)
        result = await self._run_at_server(active_request, server, attempt, since_ms)
        if result.outcome is AttemptOutcome.CLIENT_GONE:
            self.client_disconnected(active_request)
        if result.outcome is AttemptOutcome.STREAMED and not active_request.is_finished:
            await self._end_stream(active_request)
        elif result.begun:
            self.reporter.stream_broke(active_request, result)
            self.finish_request(active_request, Streamed(is_complete=False))
        self._attempt_ended(active_request, server, result, now_ms() - since_ms)

    async def _wait_for_release(self, active_request: ActiveRequest, attempt: ModelServerAttempt) -> None:
        """Waits until the state of an earlier attempt is released, for at most the connect timeout.

        Releases go by the request's id, so a late DELETE would release the state that this attempt has prefilled.
        """
        if active_request.released is None:
            return
        connect_s = self.deployment.router_config.connect_ms / 1000
        attempt.release_wait.deadline = trio.current_time() + connect_s
        with attempt.release_wait:
            await active_request.released.wait()

    async def _run_at_server(
        self, active_request: ActiveRequest, server: Server, attempt: ModelServerAttempt, since_ms: float
    ) -> AttemptResult:
        forwarder = StreamForwarder(
            active_request, server, since_ms, on_first_event=self.reporter.first_event, dispatch=self.dispatch
        )
        try:
            return await self.model_servers.run(attempt, forwarder)
        except ClientDisconnectedError:
            self.client_disconnected(active_request)
            return AttemptResult(AttemptOutcome.CANCELLED, begun=True, why="the client left")
        except Exception as fault:  # a programming error must not end the other requests
            self.log.exception("attempt fault")
            return AttemptResult(AttemptOutcome.ERROR, begun=active_request.streaming, why=repr(fault))

    async def _end_stream(self, active_request: ActiveRequest) -> None:
        try:
            await active_request.exchange.end()
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            self.client_disconnected(active_request)
        self.finish_request(active_request, Streamed(is_complete=True))

    def _attempt_ended(
        self, active_request: ActiveRequest, server: Server, result: AttemptResult, took_ms: float
    ) -> None:
        attempt = active_request.attempt
        active_request.attempt = None
        active_request.streaming = False
        self.reporter.attempt_ended(
            active_request, server.role, result, took_ms, written=attempt is not None and attempt.written
        )
        if result.why:
            active_request.why = f"{OUTCOME_NAMES[result.outcome]}: {result.why}"
        self.dispatch(
            messages.AttemptEnded(
                active_request.request,
                server,
                result.outcome,
                took_ms,
                active_request.is_finished,
                result.cached_tokens,
                result.state_lost,
                result.report,
            )
        )
        self._forget(active_request)

    def oldest_unanswered_ms(self) -> float:
        """Returns for how long the oldest written attempt has waited for its first event; 0 for none."""
        oldest_s = 0.0
        for active_request in self.active_requests.values():
            attempt = active_request.attempt
            if attempt is not None and attempt.written_at_s is not None and not active_request.streaming:
                oldest_s = max(oldest_s, trio.current_time() - attempt.written_at_s)
        return oldest_s * 1000

    # -- states held at model servers

    def addresses(self) -> Iterator[str]:
        """The addresses of all listed servers."""
        for server, endpoint in self.endpoint_registry.endpoints.items():
            if server.status is not EndpointStatus.REMOVED:
                yield endpoint.address

    def _begin_release(self, active_request: ActiveRequest, reason: messages.ReleaseReason, again: bool) -> None:
        self.releases_in_flight += 1
        self.reporter.release_begins(active_request, reason)
        active_request.released = trio.Event()
        self.nursery.start_soon(self._release, active_request, active_request.released, again)

    async def _release(self, active_request: ActiveRequest, released: trio.Event, again: bool) -> None:
        """`again`: release a second time, as a prefill may have ended unnoticed well after the first release."""
        release_ms = self.deployment.router_config.release_ms
        try:
            await self._release_until_confirmed(active_request, release_ms)
            released.set()
            if again:
                await trio.sleep(release_ms / 2000)
                await self._release_until_confirmed(active_request, release_ms)
        except Exception:
            self.log.exception("release")
        finally:
            self.releases_in_flight -= 1
            released.set()

    async def _release_until_confirmed(self, active_request: ActiveRequest, within_ms: float) -> None:
        """Calls servers to release the state held for the request until one has confirmed it.

        A release that no server has confirmed within the release time is tried again, a bounded number of times and
        with growing timeouts, so that it adds little load to servers that are too busy to confirm it.
        """
        since_ms = now_ms()
        for nth in range(MAX_RELEASE_TRIES):
            confirmed_by = await self.model_servers.release(
                active_request.request_id, self.addresses(), within_ms * 2**nth
            )
            took_ms = now_ms() - since_ms
            if confirmed_by is None:
                self.reporter.release_unconfirmed(active_request, took_ms)
                continue
            self.reporter.release_confirmed(active_request, confirmed_by, took_ms)
            if not active_request.is_finished:
                self.dispatch(messages.ReleaseConfirmed(active_request.request))
            return

    async def _reserve(self, active_request: ActiveRequest, address: str) -> None:
        release_ms = self.deployment.router_config.release_ms
        reserved = False
        try:
            reserved = await self.model_servers.reserve(address, active_request.request_id, release_ms)
        except Exception as fault:  # a programming error must not end the other requests
            self.on_fault(fault)
        if not active_request.is_finished:
            self.dispatch(messages.ReservationResult(active_request.request, reserved))

    async def _probe(self, server: Server) -> None:
        endpoint = self.endpoint_registry.endpoints.get(server)
        if endpoint is None:
            self.dispatch(messages.ProbeResult(server, AttemptOutcome.CONNECT_FAILED, None))
            return
        connect_ms = self.deployment.router_config.connect_ms
        outcome = AttemptOutcome.ERROR
        report: Report | None = None
        try:
            outcome, report = await self.model_servers.probe_load(endpoint.address, connect_ms)
        except Exception as fault:  # a programming error must not end the other requests
            self.on_fault(fault)
        self.dispatch(messages.ProbeResult(server, outcome, report))

    def _server_name(self, server: Server) -> str:
        endpoint = self.endpoint_registry.endpoints.get(server)
        return endpoint.name if endpoint is not None else "gone"
