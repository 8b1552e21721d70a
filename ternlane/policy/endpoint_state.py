"""The state of one model server as known to this gateway, and the snapshot of it that the scheduler uses."""

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

# Time constant of the count of sent requests, in multiples of `Limits.memory_ms`, the time constant of the router's
# statistics. It is longer than that of other counts, as each of many gateways sends only few requests to a server.
SENT_MEMORY_SPANS = 4
# A server has too many open requests if this gateway has more there than this multiple of the median of its role.
MAX_TIMES_MEDIAN_OPEN = 2.0
# Lower bound of that median: below it, a difference of one request is noise.
MIN_MEDIAN_OPEN = 2.0


class UnknownServerError(Exception):
    """The host refers to a server that was in no endpoint list."""


class Reservation(NamedTuple):
    """Memory reserved at a server for a request of this gateway."""

    at: float  # milliseconds
    memory_share: float


class EndpointSnapshot(NamedTuple):
    """The state of an endpoint after its latest message."""

    endpoint: EndpointState
    ready: bool  # in the endpoint list, and neither draining nor removed
    free: float  # free share of its memory or its prefill time, whichever is smaller; see LoadEstimate
    known_free: float  # the same, without the estimated load of other gateways
    queue_ms: float  # unfinished prefill work from this gateway
    open_requests: int  # of this gateway
    progress: float  # relative to its peers; see OutlierDetector
    ejected: bool
    half_open: bool
    warm_at: float  # the end of its slow start
    own_memory_share: float  # used by requests of this gateway
    sent: float  # recent requests of this gateway, decayed over time
    total_queue_ms: float  # estimated unfinished prefill work from all gateways
    connected: bool  # this gateway has an open connection to it
    fleet: FleetStats  # statistics of its peers

    def is_healthy(self) -> bool:
        """Whether it is neither ejected nor half-open, and its progress is close enough to its peers'."""
        return not self.ejected and not self.half_open and self.progress >= MIN_PROGRESS * self.fleet.median_progress

    def has_too_many_requests(self) -> bool:
        """Whether this gateway has far more open requests at the server than at its peers."""
        return self.open_requests > MAX_TIMES_MEDIAN_OPEN * max(self.fleet.median_open, MIN_MEDIAN_OPEN)


class PrefillOvertaken(NamedTuple):
    """This prefill is overdue, and one that was sent later to the same server has ended already."""

    attempt: InFlightAttempt


EndpointReport = EndpointSnapshot | PrefillOvertaken | Reselect


class EndpointState(Actor[EndpointMessage]):
    """Tracks this gateway's attempts and reservations at one server, and posts a snapshot to the scheduler after each
    message. Times are milliseconds."""

    def __init__(self, context: RouterContext, scheduler: Inbox[EndpointReport], server: Server) -> None:
        super().__init__(context)
        self.scheduler = scheduler
        self.server = server
        self.prefills = server.role is not Role.DECODE
        self.decodes = server.role is not Role.PREFILL
        self.hash_factor = server.hash_key | 1  # odd, so that products with it modulo a power of two are distinct
        self.reservations: dict[Request, Reservation] = {}
        self.attempts: dict[InFlightAttempt, None] = {}  # in the order of sending
        self.last_report: LoadReport | None = None
        self.warm_at = 0.0
        self.connected_until = 0.0
        self.outliers = OutlierDetector()
        self.prefilled_up_to = -inf  # the latest start time among the completed prefills
        self.fleet = FleetStats()
        self.fleet_stats_at = context.now
        self.sent = 0.0

    def handle(self, message: EndpointMessage) -> None:
        """Updates the state, and posts the new snapshot to the scheduler. A Reselect is forwarded behind it, so that
        the scheduler selects by this snapshot."""
        match message:
            case FleetStats():
                self._fleet_stats_received(message)
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
        success = message.success  # None: the outcome says nothing about the server's health
        self.outliers.expect(attempt, now)
        if success is not False:
            self.connected_until = now + self.context.limits.connection_idle_ms
        self.outliers.record(success)
        if message.next_usual_ms is None:  # the attempt has ended
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

    def _fleet_stats_received(self, fleet: FleetStats) -> None:
        now = self.context.now
        decay = exp((self.fleet_stats_at - now) / self.context.limits.memory_ms)
        self.sent *= decay ** (1 / SENT_MEMORY_SPANS)
        self.fleet = fleet
        for attempt in self.attempts:
            self.outliers.expect(attempt, now)
        self.outliers.decay(decay)
        self.fleet_stats_at = now

    def _report_overtaken(self) -> None:
        """Reports prefills whose answers were lost. A server prefills in order of arrival, so a prefill that is overdue
        while a later one has ended is finished as well. Without this, its request would wait until the time-out."""
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
                reported_until = self.last_report.at - self.context.limits.tick_ms
                since_report = sum(
                    entry.memory_share for entry in self.reservations.values() if entry.at > reported_until
                )
        queue_ms = 0.0
        if self.attempts:  # a prefill whose answer was lost is finished and no longer a load
            queue_ms = sum(a.prefill_work_ms for a in self.attempts if a.started_at >= self.prefilled_up_to)
        return OwnLoad(memory_share, since_report, queue_ms, self.sent)

    def snapshot(self) -> EndpointSnapshot:
        """The current state."""
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
    """The state of a server from an endpoint list. Raises UnknownServerError for any other."""
    endpoint = server.router_state
    if endpoint is None:
        raise UnknownServerError(f"server is in no endpoint list: {server}")
    return endpoint
