"""Calls to servers outside attempts: releases, reservations and probes, each as a task in the gateway's nursery."""

from __future__ import annotations

from ternlane.gateway.active_request import ActiveRequest
from ternlane.gateway.metrics import OUTCOME_LABELS
from ternlane.gateway.runtime_port import RuntimePort
from ternlane.policy import messages
from ternlane.policy.messages import AttemptOutcome, Report, Server


class ServerCalls:
    """`releases_in_flight`: number of releases in progress. `servers_without_load`: ids of servers that answered a
    probe without a load report."""

    def __init__(self, runtime: RuntimePort) -> None:
        self.runtime = runtime
        self.releases_in_flight = 0
        self.servers_without_load: set[str] = set()

    def release(self, active_request: ActiveRequest) -> None:
        """Releases the state that any server may hold for a request."""
        active_request.state = None
        holders = list(active_request.holders)
        active_request.holders = {}
        for server in holders:
            self.releases_in_flight += 1
            self.runtime.nursery.start_soon(self._release_at, active_request, server)

    async def _release_at(self, active_request: ActiveRequest, server: Server) -> None:
        runtime = self.runtime
        endpoint = runtime.registry.endpoints[server]
        confirmed = False
        try:
            confirmed = await runtime.transport.release(
                endpoint.ident,
                endpoint.address,
                active_request.ident,
                runtime.router_config.release_ms,
                endpoint.line.protocol,
            )
        except Exception as fault:  # of the transport: it must not end the other requests
            runtime.on_fault(fault)
        finally:
            self.releases_in_flight -= 1
            if runtime.journal_writer is not None:
                runtime.journal_writer.record_state_released(active_request)
        runtime.metrics.releases.labels("confirmed" if confirmed else "unheard").inc()
        if not confirmed:
            runtime.log.warning("release unheard", gen=active_request.ident, server=endpoint.ident)

    def reserve(self, active_request: ActiveRequest, server: Server) -> None:
        """Reserves a place at a server. The reservation is released like KV state, so the server is added to the
        holders."""
        active_request.holders[server] = None
        self.runtime.nursery.start_soon(self._reserve_at, active_request, server)

    async def _reserve_at(self, active_request: ActiveRequest, server: Server) -> None:
        endpoint = self.runtime.registry.endpoints[server]
        request = active_request.request
        reserved = False
        try:
            reserved = await self.runtime.transport.hold(
                endpoint.ident,
                endpoint.address,
                active_request.ident,
                request.prompt_tokens + request.max_tokens,
                self.runtime.router_config.release_ms,
                endpoint.line.protocol,
            )
        except Exception as fault:  # of the transport: it must not end the other requests
            self.runtime.on_fault(fault)
        if request in self.runtime.active_requests and not active_request.is_finished:
            self.runtime.dispatch(messages.ReservationResult(request, reserved))

    def probe(self, server: Server) -> None:
        """Requests a load report from a server."""
        self.runtime.nursery.start_soon(self._probe, server)

    async def _probe(self, server: Server) -> None:
        """A server that answers without a load report counts as reachable, and is logged once."""
        runtime = self.runtime
        endpoint = runtime.registry.endpoints[server]
        outcome = AttemptOutcome.ERROR
        report: Report | None = None
        try:
            outcome, report = await runtime.transport.load(
                endpoint.ident, endpoint.address, runtime.router_config.connect_ms, endpoint.line.protocol
            )
        except Exception as fault:  # of the transport: it must not end the other requests
            runtime.on_fault(fault)
        runtime.metrics.probes.labels("told" if report is not None else OUTCOME_LABELS[outcome]).inc()
        answered = outcome in (AttemptOutcome.STREAMED, AttemptOutcome.ERROR)
        if report is None and answered and endpoint.ident not in self.servers_without_load:
            self.servers_without_load.add(endpoint.ident)
            runtime.log.warning("no load report", server=endpoint.ident, why="no readable metrics at /metrics")
        runtime.dispatch(messages.ProbeResult(server, outcome, report))
