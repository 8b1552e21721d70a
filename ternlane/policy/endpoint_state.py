"""The state of one model server, as this gateway knows it, and the snapshot that the scheduler decides by."""

from __future__ import annotations

from math import exp, inf
from typing import NamedTuple

from ternlane.policy import messages
from ternlane.policy.actors import Actor, Inbox, RouterContext
from ternlane.policy.attempt import InFlightAttempt
from ternlane.policy.endpoint_messages import (
    AttemptStarted,
    CapacityReleased,
    CapacityReserved,
    EndpointChanged,
    EndpointMessage,
    EndpointTooSlow,
    EndpointUnreachable,
    FleetStats,
    LoadReported,
    Reselect,
    StageEnded,
)
from ternlane.policy.load_estimate import LoadReport, OwnLoad, estimate_load
from ternlane.policy.messages import EndpointStatus, Request, Role, Server
from ternlane.policy.outlier_detection import MIN_PROGRESS, OutlierDetector

# Requests sent are remembered over this many of the limits' memories: a gateway of many sends a server few.
SENT_MEMORY_SPANS = 4


class UnknownServerError(Exception):
    """The host names a server that no endpoint list has named."""


class Reservation(NamedTuple):
    """Memory that a request of this gateway needs at a server."""

    at: float  # milliseconds
    memory_share: float


class EndpointSnapshot(NamedTuple):
    """An endpoint's state at its last message."""

    endpoint: EndpointState
    ready: bool  # listed, and neither draining nor removed
    free: float  # see LoadEstimate
    known_free: float
    queue_ms: float  # prefill work that this gateway has given it and that is still out
    open_requests: int  # of this gateway
    progress: float  # against its peers; see OutlierDetector
    ejected: bool
    half_open: bool
    warm_at: float  # when its slow start ends
    own_memory_share: float  # that this gateway's requests fill
    sent: float  # requests of this gateway that it got lately
    total_queue_ms: float  # prefill work that all gateways are thought to have given it
    connected: bool  # this gateway has a connection to it
    fleet: FleetStats  # what it was told of its peers

    def is_healthy(self) -> bool:
        """Neither ejected nor half-open, and not far behind its peers."""
        return not self.ejected and not self.half_open and self.progress >= MIN_PROGRESS * self.fleet.median_progress


class PrefillOvertaken(NamedTuple):
    """A prefill that was sent later to the same server has ended before this one, which is overdue."""

    attempt: InFlightAttempt


EndpointReport = EndpointSnapshot | PrefillOvertaken | Reselect


class EndpointState(Actor[EndpointMessage]):
    """Counts what this gateway has at one server, and reports to the scheduler after each message. Times are ms."""

    def __init__(self, context: RouterContext, scheduler: Inbox[EndpointReport], server: Server) -> None:
        super().__init__(context)
        self.scheduler = scheduler
        self.server = server
        self.prefills = server.role is not Role.DECODE
        self.decodes = server.role is not Role.PREFILL
        self.reservations: dict[Request, Reservation] = {}
        self.attempts: dict[InFlightAttempt, None] = {}  # in the order in which they were sent
        self.last_report: LoadReport | None = None
        self.warm_at = 0.0
        self.connected_until = 0.0
        self.outliers = OutlierDetector()
        self.prefilled_up_to = -inf  # the latest start of a prefill that has been answered
        self.fleet = FleetStats()
        self.fleet_told_at = context.now
        self.sent = 0.0

    def handle(self, message: EndpointMessage) -> None:
        """Takes the message in, and tells the scheduler what has come of it."""
        match message:
            case FleetStats():
                self._fleet_told(message)
            case CapacityReserved(request, tokens):
                share = tokens / max(self.server.kv_capacity_tokens, 1.0)
                self.reservations[request] = Reservation(self.context.now, share)
                self.sent += 1
            case CapacityReleased(request):
                self.reservations.pop(request, None)
            case AttemptStarted(attempt):
                self.attempts[attempt] = None
            case StageEnded():
                self._stage_ended(message)
            case EndpointUnreachable():
                self._eject(self.context.limits.first_ejection_ms, "not reached, or broke off")
                self.connected_until = 0.0
            case EndpointTooSlow():
                self._eject(self.context.limits.memory_ms, "far behind its peers")
            case LoadReported(memory_share, open_requests):
                self.last_report = LoadReport(self.context.now, memory_share, open_requests)
            case EndpointChanged():
                started = self.server.started_ms
                self.warm_at = started + self.context.limits.slow_start_ms if started > 0 else 0.0
        self._report_overtaken()
        self.scheduler.post(self.snapshot())
        if isinstance(message, Reselect):
            self.scheduler.post(message)

    def _stage_ended(self, message: StageEnded) -> None:
        now = self.context.now
        attempt = message.attempt
        success = message.success
        self.outliers.expect(attempt, now)
        if success is not False:
            self.connected_until = now + self.context.limits.connection_idle_ms
        self.outliers.record(success)
        if message.next_usual_ms is None:
            self.attempts.pop(attempt, None)
            if success and not attempt.decodes:
                self.prefilled_up_to = max(self.prefilled_up_to, attempt.started_at)
        else:
            attempt.stage_started_at = now
            attempt.usual_ms = message.next_usual_ms
            attempt.expected_progress = 0.0
        if success and self.outliers.half_open_passed(attempt, now):
            self.outliers.close()
        elif success is False and self.outliers.half_open:
            self._eject(self.context.limits.first_ejection_ms, "its trial failed")

    def _fleet_told(self, fleet: FleetStats) -> None:
        now = self.context.now
        fade = exp((self.fleet_told_at - now) / self.context.limits.memory_ms)
        self.sent *= fade ** (1 / SENT_MEMORY_SPANS)
        self.fleet = fleet
        for attempt in self.attempts:
            self.outliers.expect(attempt, now)
        self.outliers.fade(fade)
        self.fleet_told_at = now

    def _report_overtaken(self) -> None:
        """Reports prefills whose answers are lost. A server prefills in turn, so one that is overdue while a later
        one has ended has been done too; it shows as a request that waits for its whole time-out."""
        now = self.context.now
        for attempt in self.attempts:
            if attempt.started_at < min(self.prefilled_up_to, now - attempt.usual_ms) and not attempt.decodes:
                self.scheduler.post(PrefillOvertaken(attempt))

    def _eject(self, pause_ms: float, reason: str) -> None:
        ejected_ms = self.outliers.eject(pause_ms, self.context.limits.slow_start_ms, self.context.now)
        if ejected_ms is not None:
            text = f"ejected for {ejected_ms:.0f} ms (time {self.outliers.consecutive_failures}): {reason}"
            self.context.actions.append(messages.Log(self.server, text))

    def _own_load(self) -> OwnLoad:
        memory_share = 0.0
        since_report = 0.0
        if self.reservations:
            memory_share = sum(entry.memory_share for entry in self.reservations.values())
            if self.last_report is not None:
                cut = self.last_report.at - self.context.limits.tick_ms
                since_report = sum(entry.memory_share for entry in self.reservations.values() if entry.at > cut)
        queue_ms = 0.0
        if self.attempts:  # a lost answer is no load: its prefill has been done
            queue_ms = sum(a.prefill_work_ms for a in self.attempts if a.started_at >= self.prefilled_up_to)
        return OwnLoad(memory_share, since_report, queue_ms, self.sent)

    def snapshot(self) -> EndpointSnapshot:
        """The state at this moment."""
        now = self.context.now
        own = self._own_load()
        load = estimate_load(own, self.last_report, self.fleet, self.context.limits, self.prefills, now)
        return EndpointSnapshot(
            endpoint=self,
            ready=self.server.status is EndpointStatus.READY,
            free=load.free,
            known_free=load.known_free,
            queue_ms=own.queue_ms,
            open_requests=len(self.reservations),
            progress=self.outliers.progress(),
            ejected=now < self.outliers.ejected_until,
            half_open=self.outliers.half_open,
            warm_at=self.warm_at,
            own_memory_share=own.memory_share,
            sent=self.sent,
            total_queue_ms=load.queue_ms,
            connected=now < self.connected_until,
            fleet=self.fleet,
        )


def endpoint_of(server: Server) -> EndpointState:
    """The state of a server that a list has named; otherwise UnknownServerError."""
    endpoint = server.router_state
    if endpoint is None:
        raise UnknownServerError(f"no endpoint list has named {server}")
    return endpoint
