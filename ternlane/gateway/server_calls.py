"""Calls to servers outside attempts: releases, reservations, probes. Each runs as a task of the gateway's nursery."""

from __future__ import annotations

from ternlane.gateway.active_request import ActiveRequest
from ternlane.gateway.metrics import OUTCOME_LABELS
from ternlane.gateway.runtime_port import RuntimePort
from ternlane.policy import messages
from ternlane.policy.messages import AttemptOutcome, Server


class ServerCalls:
    """`releases_in_flight`: releases under way. `silent`: servers that were asked for their load and did not tell
    it."""

    def __init__(self, runtime: RuntimePort) -> None:
        self.runtime = runtime
        self.releases_in_flight = 0
        self.silent: set[str] = set()

    def release(self, active_request: ActiveRequest) -> None:
        """Releases what any server may hold for a request."""
        active_request.state = None
        holders = list(active_request.holders)
        active_request.holders = {}
        for server in holders:
            self.releases_in_flight += 1
            self.runtime.nursery.start_soon(self._release_at, active_request, server)

    async def _release_at(self, active_request: ActiveRequest, server: Server) -> None:
        runtime = self.runtime
        endpoint = runtime.registry.endpoints[server]
        try:
            confirmed = await runtime.transport.release(
                endpoint.ident,
                endpoint.address,
                active_request.ident,
                runtime.router_config.release_ms,
                endpoint.line.protocol,
            )
        finally:
            self.releases_in_flight -= 1
            if runtime.journal_writer is not None:
                runtime.journal_writer.record_state_released(active_request)
        runtime.metrics.releases.labels("confirmed" if confirmed else "unheard").inc()
        if not confirmed:
            runtime.log.warning("release unheard", gen=active_request.ident, server=endpoint.ident)

    def reserve(self, active_request: ActiveRequest, server: Server) -> None:
        """Reserves a place. It is released like a state, so the server counts as a holder from now on."""
        active_request.holders[server] = None
        self.runtime.nursery.start_soon(self._reserve_at, active_request, server)

    async def _reserve_at(self, active_request: ActiveRequest, server: Server) -> None:
        endpoint = self.runtime.registry.endpoints[server]
        request = active_request.request
        reserved = await self.runtime.transport.hold(
            endpoint.ident,
            endpoint.address,
            active_request.ident,
            request.prompt_tokens + request.max_tokens,
            self.runtime.router_config.release_ms,
            endpoint.line.protocol,
        )
        if request in self.runtime.active_requests and not active_request.is_finished:
            self.runtime.dispatch(messages.ReservationResult(request, reserved))

    def probe(self, server: Server) -> None:
        """Asks a server for its load."""
        self.runtime.nursery.start_soon(self._probe, server)

    async def _probe(self, server: Server) -> None:
        """One that does not tell its load counts as having answered all the same, and is named in the log once."""
        runtime = self.runtime
        endpoint = runtime.registry.endpoints[server]
        outcome, report = await runtime.transport.load(
            endpoint.ident, endpoint.address, runtime.router_config.connect_ms, endpoint.line.protocol
        )
        runtime.metrics.probes.labels("told" if report is not None else OUTCOME_LABELS[outcome]).inc()
        answered = outcome in (AttemptOutcome.STREAMED, AttemptOutcome.ERROR)
        if report is None and answered and endpoint.ident not in self.silent:
            self.silent.add(endpoint.ident)
            runtime.log.warning("load not told", server=endpoint.ident, why="no metrics that can be read at /metrics")
        runtime.dispatch(messages.ProbeResult(server, outcome, report))
