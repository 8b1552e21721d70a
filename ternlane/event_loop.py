"""The event loop of a gateway: passes events to the router, executes its actions and runs timers.

The platform gateway, the chat gateway and the library subclass `EventLoop`. The router alone decides what to do; a
subclass implements the actions on its connections.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from heapq import heappop, heappush
from math import exp, inf
from typing import ClassVar, Generic, Protocol, TypeVar

import trio

from ternlane.http1.loop_times import LoopTimes
from ternlane.policy import messages

# Time constant of the expected lateness of timers after a late one.
LATENESS_DECAY_MS = 1000.0
# The router ends each request by its deadline. If a bug prevents that, the event loop fails the request this long after
# the deadline. Clients count a request as lost about 500 ms after its deadline, so the answer still arrives in time.
OVERDUE_GRACE_MS = 250.0
# Interval of the checks for overdue requests.
OVERDUE_CHECK_MS = 100.0
# Delay until a timer whose handling failed fires again, so that a repeated error does not flood the log.
FAULT_PAUSE_MS = 1000.0


class RouterProtocol(Protocol):
    """The interface of `ternlane.policy.router.Router` and of the baselines that it is compared with."""

    def take(self, now: float, events: list[messages.Event]) -> list[messages.Action]:
        """Handles events that happened no later than `now` (ms, monotonic clock), and returns the resulting actions."""


def now_ms() -> float:
    """The time on trio's clock, which is monotonic, in milliseconds."""
    return trio.current_time() * 1000


@dataclass(slots=True)
class Rejected:
    """The final answer of a rejected request: the client may safely send the request again, as nothing has run or a
    repeat has no further effect.
    `pause_ms` is the Retry-After; 0 for none."""

    recorded_as: ClassVar[str] = "throttled"  # value on the wire, in the ledger and in the journal

    pause_ms: float
    reject_reason: messages.RejectReason = messages.RejectReason.UNKNOWN


@dataclass(slots=True)
class Failed:
    """The final answer of a failed request, which may have run."""

    recorded_as: ClassVar[str] = "terminated"  # value on the wire, in the ledger and in the journal

    why: str
    timed_out: bool = False
    reject_reason: messages.RejectReason = messages.RejectReason.UNKNOWN


# Returns the outcome of an attempt that must not start any more, or None if it may start.
StartCheck = Callable[[], messages.AttemptOutcome | None]


def always_allowed() -> messages.AttemptOutcome | None:
    """The start check of an attempt that may always start."""
    return None


def make_start_check(server: messages.Server, start_within_ms: float, client_gone: Callable[[], bool]) -> StartCheck:
    """Returns the start check of an attempt at this server. Its results are CLIENT_GONE, NOT_STARTED, or None.

    Between the decision and the first byte of the attempt, the gateway may wait for a connection or a release.
    Meanwhile the client may disconnect, or the server may begin to drain. So call the check right before that byte is
    written.
    """
    start_by_s = trio.current_time() + start_within_ms / 1000

    def start_check() -> messages.AttemptOutcome | None:
        if client_gone():
            return messages.AttemptOutcome.CLIENT_GONE
        is_ready = server.status is messages.EndpointStatus.READY
        if not is_ready or trio.current_time() > start_by_s:
            return messages.AttemptOutcome.NOT_STARTED
        return None

    return start_check


class Cancellable(Protocol):
    """An attempt in flight."""

    def cancel(self) -> None:
        """Stops waiting for the attempt."""


class HostedRequest(Protocol):
    """The state that every gateway keeps of an active request."""

    streaming: bool  # the client has got the first bytes of the current attempt, which can no longer be cancelled
    why: str  # the failure of the latest attempt
    attempt_log: list[str]  # one line for each ended attempt, with the name of its outcome

    @property
    def attempt(self) -> Cancellable | None:
        """The attempt in flight, if any."""

    @property
    def request(self) -> messages.Request:
        """The request object shared with the router."""

    @property
    def unanswered(self) -> bool:
        """Whether its client is connected and has got no part of the answer."""

    @property
    def deadline_ms(self) -> float:
        """The deadline for the start of its answer, on this loop's clock."""


RequestT = TypeVar("RequestT", bound=HostedRequest)


@dataclass(slots=True, frozen=True)
class Lateness:
    """How late a timer fired, and when (ms)."""

    late_ms: float
    at_ms: float


class EventLoop(ABC, Generic[RequestT]):
    """Passes events to the router, executes its actions and runs timers. All methods except `run_timers` are
    synchronous, and all run in one trio thread."""

    def __init__(self, router: RouterProtocol) -> None:
        self.router = router
        self.active_requests: dict[messages.Request, RequestT] = {}
        self.pending_events: list[messages.Event] = []
        self.processing = False
        self.checking_overdue = False
        # A heap of (due ms, sequence number, callback); the number keeps timers with equal times in order.
        self.timers: list[tuple[float, int, Callable[[], None]]] = []
        self.timers_set = 0
        self.timer_changed = trio.Event()
        self.max_lateness_ms = 0.0  # of any timer; whoever reports it resets it
        self.answer_all_by_ms = inf  # in a shutdown, requests without an answer are failed at this time
        self.recent_lateness = Lateness(0.0, 0.0)
        self.loop_times = LoopTimes()

    # -- events and actions

    def enqueue(self, event: messages.Event) -> None:
        """Adds an event to the next batch. Callbacks must use this instead of the list, which each batch replaces."""
        self.pending_events.append(event)

    def dispatch(self, event: messages.Event) -> None:
        """Passes an event to the router now, or after the batch that is being processed."""
        self.pending_events.append(event)
        if not self.processing:
            self.process_events()

    def process_events(self) -> None:
        """Passes pending events to the router and executes its actions, until no event is pending."""
        self.processing = True
        try:
            while self.pending_events:
                events = self.pending_events
                self.pending_events = []
                for action in self.decide(events):
                    self._execute_or_report(action)
        finally:
            self.processing = False

    def decide(self, events: list[messages.Event]) -> list[messages.Action]:
        """The router's actions for these events; none if it raises an exception."""
        try:
            return self.router.take(now_ms(), events)
        except Exception as fault:
            self.on_fault(fault)
        # The router starts its next timer while it handles this one. A failed batch has not done that, and without this
        # retry the timer would never fire again.
        for event in events:
            if isinstance(event, messages.TimerFired):
                self.call_at(now_ms() + FAULT_PAUSE_MS, partial(self.enqueue, event))
        return []

    def on_fault(self, fault: Exception) -> None:
        """Handles an exception caused by a bug. Gateways override this to log it and continue, so that other requests
        are not affected."""
        raise fault

    def _execute_or_report(self, action: messages.Action) -> None:
        try:
            self.execute(action)
        except Exception as fault:  # the other actions must still be executed
            self.on_fault(fault)

    def execute(self, action: messages.Action) -> None:
        """Executes one action. Actions that differ between gateways are passed to `execute_host_action`."""
        match action:
            case messages.StartTimer(at, timer):
                self.call_at(at, partial(self.enqueue, messages.TimerFired(timer)))
            case messages.StartAttempt(request, server):
                self.start_attempt(self.active_requests[request], server, action)
            case messages.CancelAttempt(request):
                self._cancel_attempt(request)
            case messages.Reject(request, pause_ms, reject_reason):
                if request in self.active_requests:
                    self.finish_request(self.active_requests[request], Rejected(pause_ms, reject_reason))
            case messages.Fail(request, reject_reason):
                self._fail_request(request, reject_reason)
            case _:
                self.execute_host_action(action)

    def _cancel_attempt(self, request: messages.Request) -> None:
        active_request = self.active_requests.get(request)
        if active_request is not None and active_request.attempt is not None and not active_request.streaming:
            active_request.attempt.cancel()

    def _fail_request(self, request: messages.Request, reject_reason: messages.RejectReason) -> None:
        active_request = self.active_requests.get(request)
        if active_request is None:
            return
        attempt_log = active_request.attempt_log
        timed_out = bool(attempt_log) and "TIMED_OUT" in attempt_log[-1].split()
        self.finish_request(active_request, Failed(active_request.why, timed_out, reject_reason))

    @abstractmethod
    def start_attempt(self, active_request: RequestT, server: messages.Server, times: messages.StartAttempt) -> None:
        """Starts an attempt at this server."""

    @abstractmethod
    def finish_request(self, active_request: RequestT, final: Rejected | Failed) -> None:
        """Gives the final answer; further ones are ignored."""

    @abstractmethod
    def execute_host_action(self, action: messages.Action) -> None:
        """Executes an action that differs between gateways."""

    # -- requests

    def add_request(self, active_request: RequestT) -> None:
        """Adds a request and passes it to the router. It is answered in time even if the router fails to decide."""
        active_request.request.turn_ms = self.loop_times.turn_ms()
        self.active_requests[active_request.request] = active_request
        if not self.checking_overdue:
            self.fail_overdue_requests()
        self.dispatch(messages.RequestArrived(active_request.request))

    def fail_overdue_requests(self) -> None:
        """Fails requests that were not answered in time, and schedules the next check while any request is active.

        This guards against bugs in the router and lost actions: such a request would otherwise hang until its client
        times out.
        """
        now = now_ms()
        for active_request in list(self.active_requests.values()):
            is_overdue = active_request.deadline_ms < now - OVERDUE_GRACE_MS or now >= self.answer_all_by_ms
            if active_request.unanswered and is_overdue:
                self.abort_request(active_request, "nothing was decided in time")
        self.checking_overdue = bool(self.active_requests)
        if self.checking_overdue:
            self.call_at(now_ms() + OVERDUE_CHECK_MS, self.fail_overdue_requests)

    def abort_request(self, active_request: RequestT, why: str) -> None:
        """Fails a request, which may have run, without a decision of the router. Dispatches
        ClientDisconnected, so that the router drops the request and releases what is held for it."""
        if active_request.attempt is not None:
            active_request.attempt.cancel()
        self.finish_request(active_request, Failed(why))
        self.dispatch(messages.ClientDisconnected(active_request.request))

    # -- timers

    def call_at(self, when_ms: float, call: Callable[[], None]) -> None:
        """Schedules a callback at this time (ms, on this loop's clock), or as soon as possible after it."""
        self.timers_set += 1
        heappush(self.timers, (when_ms, self.timers_set, call))
        is_next = self.timers[0][1] == self.timers_set
        if is_next:  # earlier than the timer that `run_timers` is waiting for
            self.timer_changed.set()

    @abstractmethod
    def on_timers_fired(self) -> None:
        """Called after each batch of timers."""

    def expected_lateness_ms(self) -> float:
        """How late this loop is expected to be; deadlines are brought forward by this."""
        return self.recent_lateness.late_ms * exp((self.recent_lateness.at_ms - now_ms()) / LATENESS_DECAY_MS)

    async def run_timers(self) -> None:
        """Fires timers when they are due, and measures the turns of the loop. The events of all timers due are passed
        to the router in one batch."""
        with self.loop_times.measuring():
            while True:
                await self._wait_and_fire()

    async def _wait_and_fire(self) -> None:
        wait_ms = self.timers[0][0] - now_ms() if self.timers else inf
        if wait_ms > 0:
            await self._wait_for_timer_change(wait_ms)
            return
        self._note_lateness(-wait_ms)
        self._fire_due_timers()
        if self.pending_events and not self.processing:
            self.process_events()
        self.on_timers_fired()
        await trio.lowlevel.checkpoint()

    async def _wait_for_timer_change(self, at_most_ms: float) -> None:
        self.timer_changed = trio.Event()
        with trio.move_on_after(at_most_ms / 1000):
            await self.timer_changed.wait()

    def _note_lateness(self, late_ms: float) -> None:
        self.max_lateness_ms = max(self.max_lateness_ms, late_ms)
        if late_ms > self.expected_lateness_ms():
            self.recent_lateness = Lateness(late_ms, now_ms())

    def _fire_due_timers(self) -> None:
        while self.timers and self.timers[0][0] <= now_ms():
            try:
                heappop(self.timers)[2]()
            except Exception as fault:  # the other timers must still fire
                self.on_fault(fault)
