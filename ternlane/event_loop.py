"""The event loop of a gateway: it feeds events to the router, executes the router's actions and runs timers.

The platform gateway, the chat gateway and the library subclass `EventLoop`. A subclass says what an action means on its
sockets; what to do is decided by the router alone.
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

from ternlane.policy import messages

# A loop that waited at least this long for its sockets was not behind with them.
IDLE_WAIT_MS = 0.5
# A loop that was late is expected to be late again; that expectation decays with this time constant.
LATENESS_DECAY_MS = 1000.0
# The router ends each request by its deadline. Where a fault kept it from that, the request is failed so long after its
# deadline: users count a request without an answer as lost half a second after its deadline.
OVERDUE_GRACE_MS = 250.0
# Between two checks for overdue requests.
OVERDUE_CHECK_MS = 100.0
# After a timer whose handling failed, until it fires again: a fault that repeats at once must not fill the log.
FAULT_PAUSE_MS = 1000.0


class RouterProtocol(Protocol):
    """What decides: `ternlane.policy.router.Router`, or a baseline to measure against."""

    def take(self, now: float, events: list[messages.Event]) -> list[messages.Action]:
        """The actions that follow from these events, which all happened by `now` (ms, monotonic clock)."""


def now_ms() -> float:
    """The time in milliseconds by trio's monotonic clock."""
    return trio.current_time() * 1000


@dataclass(slots=True)
class Rejected:
    """The final answer "not now": a new request does no harm, as nothing has run or a repeat has no effect. `pause_ms`:
    Retry-After; 0 for none."""

    recorded_as: ClassVar[str] = "throttled"  # the word on the wire, in the ledger and in the journal

    pause_ms: float
    reject_reason: messages.RejectReason = messages.RejectReason.UNKNOWN


@dataclass(slots=True)
class Failed:
    """The final answer "given up": the request may have run."""

    recorded_as: ClassVar[str] = "terminated"  # the word on the wire, in the ledger and in the journal

    why: str
    timed_out: bool = False
    reject_reason: messages.RejectReason = messages.RejectReason.UNKNOWN


# Returns why an attempt must not start any more, or None where it may.
StartCheck = Callable[[], messages.AttemptOutcome | None]


def always_allowed() -> messages.AttemptOutcome | None:
    """The start check of an attempt that nothing can forbid."""
    return None


def make_start_check(server: messages.Server, start_within_ms: float, client_gone: Callable[[], bool]) -> StartCheck:
    """The start check of an attempt at this server: CLIENT_GONE, NOT_STARTED, or None.

    Between the decision and the attempt's first byte lie waits for a connection or a release, during which the client
    may leave or the server begin to drain. Call the check after them, right before that byte is written.
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


class PollTimes(trio.abc.Instrument):
    """When the loop last polled its sockets.

    What is read now may have arrived at any time since the poll before: while one round of the loop takes long, nobody
    notes when bytes come.
    """

    def __init__(self) -> None:
        now_s = trio.current_time()
        self._wait_began_s = now_s
        self._wait_ended_s = now_s
        self._unseen_since_s = now_s

    def before_io_wait(self, timeout: float) -> None:
        """Trio is about to wait for its sockets."""
        self._wait_began_s = trio.current_time()

    def after_io_wait(self, timeout: float) -> None:
        """Trio has waited for its sockets."""
        now_s = trio.current_time()
        rested = now_s - self._wait_began_s >= IDLE_WAIT_MS / 1000  # nothing was there as the wait began
        self._unseen_since_s = now_s if rested else self._wait_ended_s
        self._wait_ended_s = now_s

    def max_unread_ms(self) -> float:
        """For how long what has just been read may have lain unread."""
        return (trio.current_time() - self._unseen_since_s) * 1000


class Cancellable(Protocol):
    """An attempt that is out."""

    def cancel(self) -> None:
        """Ends the wait for the attempt."""


class HostedRequest(Protocol):
    """What every gateway keeps of an active request."""

    streaming: bool  # its client has the first bytes of the present attempt; it is not cancelled from then on
    why: str  # the newest attempt's failure
    attempt_log: list[str]  # one line for each attempt that has ended

    @property
    def attempt(self) -> Cancellable | None:
        """The attempt that is out."""

    @property
    def request(self) -> messages.Request:
        """The request as the router knows it."""

    @property
    def unanswered(self) -> bool:
        """Is its client there, and has nothing of its answer yet?"""

    @property
    def deadline_ms(self) -> float:
        """By when its answer has to begin, by this loop's clock."""


RequestT = TypeVar("RequestT", bound=HostedRequest)


@dataclass(slots=True, frozen=True)
class Lateness:
    """By how much a timer fired late, and when (ms)."""

    late_ms: float
    at_ms: float


class EventLoop(ABC, Generic[RequestT]):
    """Events in, actions out, timers in between. All methods run in one trio thread; none of them waits."""

    def __init__(self, router: RouterProtocol) -> None:
        self.router = router
        self.active_requests: dict[messages.Request, RequestT] = {}
        self.pending_events: list[messages.Event] = []
        self.processing = False
        self.checking_overdue = False
        # A heap of (due ms, sequence number, callback); the number keeps timers of one moment in order.
        self.timers: list[tuple[float, int, Callable[[], None]]] = []
        self.timers_set = 0
        self.timer_changed = trio.Event()
        self.max_lateness_ms = 0.0  # of any timer, since whoever reads it set it back
        self.answer_all_by_ms = inf  # a shutdown's: whatever is undecided by then is failed
        self.recent_lateness = Lateness(0.0, 0.0)

    # -- events and actions

    def enqueue(self, event: messages.Event) -> None:
        """Adds an event to the next batch. Looks the list up when called: each batch replaces it."""
        self.pending_events.append(event)

    def dispatch(self, event: messages.Event) -> None:
        """Hands an event to the router at once, or after the batch that is being processed."""
        self.pending_events.append(event)
        if not self.processing:
            self.process_events()

    def process_events(self) -> None:
        """Executes what the router decides on the pending events, until none is pending."""
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
        """The router's actions for these events: none where it fails on them."""
        try:
            return self.router.take(now_ms(), events)
        except Exception as fault:
            self.on_fault(fault)
        # The router sets its next timer while it handles this one. A batch that failed has not done so, and without
        # this retry no timer would ever fire again.
        for event in events:
            if isinstance(event, messages.TimerFired):
                self.call_at(now_ms() + FAULT_PAUSE_MS, partial(self.enqueue, event))
        return []

    def on_fault(self, fault: Exception) -> None:
        """Reports a fault of this program. A gateway that goes on after one logs it; it must not end other requests."""
        raise fault

    def _execute_or_report(self, action: messages.Action) -> None:
        try:
            self.execute(action)
        except Exception as fault:  # it must not keep the other actions from being executed
            self.on_fault(fault)

    def execute(self, action: messages.Action) -> None:
        """Executes one action; those that differ between gateways go to `execute_host_action`."""
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
        log = active_request.attempt_log
        timed_out = bool(log) and "TIMED_OUT" in log[-1].split()
        self.finish_request(active_request, Failed(active_request.why, timed_out, reject_reason))

    @abstractmethod
    def start_attempt(self, active_request: RequestT, server: messages.Server, times: messages.StartAttempt) -> None:
        """Sends an attempt to this server."""

    @abstractmethod
    def finish_request(self, active_request: RequestT, final: Rejected | Failed) -> None:
        """Gives the one final answer; a second one is ignored."""

    @abstractmethod
    def execute_host_action(self, action: messages.Action) -> None:
        """Executes an action that is not the same at each gateway."""

    # -- requests

    def add_request(self, active_request: RequestT) -> None:
        """Admits a request: the router hears of it, and it is answered in time even where the router fails on it."""
        self.active_requests[active_request.request] = active_request
        if not self.checking_overdue:
            self.fail_overdue_requests()
        self.dispatch(messages.RequestArrived(active_request.request))

    def fail_overdue_requests(self) -> None:
        """Fails the requests that nothing has answered in time, and checks again as long as any is active.

        Guards against a fault in the router, or an action that was lost: without it such a request would hang until
        its client gives up.
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
        """Fails a request without the router, which is told that its client has gone. The request may have run."""
        if active_request.attempt is not None:
            active_request.attempt.cancel()
        self.finish_request(active_request, Failed(why))
        self.dispatch(messages.ClientDisconnected(active_request.request))

    # -- timers

    def call_at(self, when_ms: float, call: Callable[[], None]) -> None:
        """Calls back at this time (ms, this loop's clock), or as soon after as the loop can."""
        self.timers_set += 1
        heappush(self.timers, (when_ms, self.timers_set, call))
        is_next = self.timers[0][1] == self.timers_set
        if is_next:  # sooner than what `run_timers` waits for
            self.timer_changed.set()

    @abstractmethod
    def on_timers_fired(self) -> None:
        """Called after each batch of timers."""

    def expected_lateness_ms(self) -> float:
        """By how much this loop must be expected to be late: deadlines are taken as so much sooner."""
        return self.recent_lateness.late_ms * exp((self.recent_lateness.at_ms - now_ms()) / LATENESS_DECAY_MS)

    async def run_timers(self) -> None:
        """Fires each timer at its time; the events of all that are due go to the router in one batch."""
        while True:
            wait_ms = self.timers[0][0] - now_ms() if self.timers else inf
            if wait_ms > 0:
                await self._wait_for_timer_change(wait_ms)
                continue
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
            except Exception as fault:  # it must not keep the other timers from firing
                self.on_fault(fault)
