"""The loop that feeds the decisions and carries out their actions: one inbox, one ordered structure of due times.

Whoever has an event puts it in by `tell`; who finds the loop idle empties it. The gateway's host and the platform's
are kinds of it; what an action means on their sockets is theirs, what is decided is not.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from functools import partial
from heapq import heappop, heappush
from math import exp, inf
from typing import Callable, ClassVar, Generic, Protocol, TypeVar

import trio

from ternlane.policy import messages


class RouterProtocol(Protocol):
    """What decides: choice.Router, or a baseline to measure against."""

    def take(self, now: float, events: list[messages.Event]) -> list[messages.Action]: ...


def now_ms() -> float:
    return trio.current_time() * 1000


@dataclass(slots=True)
class Rejected:
    """The final answer "not now": nothing has run that a retry would double."""

    recorded_as: ClassVar[str] = "throttled"  # the word that the wire, the ledger and the journal have for it

    pause_ms: float
    reject_reason: messages.RejectReason = messages.RejectReason.UNKNOWN


@dataclass(slots=True)
class Failed:
    """The final answer "given up": it may have run."""

    recorded_as: ClassVar[str] = "terminated"  # the word that the wire, the ledger and the journal have for it

    why: str
    timed_out: bool = False
    reject_reason: messages.RejectReason = messages.RejectReason.UNKNOWN


StartCheck = Callable[[], messages.AttemptOutcome | None]


def always_allowed() -> messages.AttemptOutcome | None:
    """The check of an attempt that nothing can forbid."""
    return None


def make_start_check(server: messages.Server, start_within_ms: float, client_gone: Callable[[], bool]) -> StartCheck:
    """Why an attempt at this server must not begin any more: MOOT, WITHHELD, or None where it may. Between the decision
    and the first byte lie waits for a connection or a release; ask it after them, right before that byte is written."""
    begin_by = trio.current_time() + start_within_ms / 1000

    def barred() -> messages.AttemptOutcome | None:
        if client_gone():
            return messages.AttemptOutcome.CLIENT_GONE
        if server.status is not messages.EndpointStatus.READY or trio.current_time() > begin_by:
            return messages.AttemptOutcome.NOT_STARTED
        return None

    return barred


RESTED_MS = 0.5  # a loop that waited for so long for its sockets was not behind with them
LAG_MS = 1000.0  # a loop that was late is expected to be so again, less and less over this
# The decisions end each request by its deadline. Where a fault kept them from it, the request is failed so long after:
# users count a request without an answer as lost half a second after its time.
OVERDUE_MS = 250.0
OVERDUE_LOOK_MS = 100.0  # between two looks for such requests
FAULT_PAUSE_MS = 1000.0  # after a fault in what a timer began, until that timer is tried again


class PollTimes(trio.abc.Instrument):
    """When the loop last looked at its sockets. What it reads now may have arrived at any time since then: while a turn
    of the loop takes long, nobody notes when bytes come."""

    def __init__(self) -> None:
        self.began_s = self.ended_s = self.since_s = trio.current_time()

    def before_io_wait(self, timeout: float) -> None:
        self.began_s = trio.current_time()

    def after_io_wait(self, timeout: float) -> None:
        now_s = trio.current_time()
        rested = now_s - self.began_s >= RESTED_MS / 1000  # nothing was there as the wait began
        self.since_s = now_s if rested else self.ended_s
        self.ended_s = now_s

    def unseen_ms(self) -> float:
        """For how long what has just been read may have lain unread."""
        return (trio.current_time() - self.since_s) * 1000


class Cancellable(Protocol):
    def cancel(self) -> None:
        """Ends the wait for a leg."""


class HostedRequest(Protocol):
    """What every host keeps of a generation; its leg is called off only while it does not stream."""

    streaming: bool
    why: str
    attempt_log: list[str]

    @property
    def attempt(self) -> Cancellable | None: ...

    @property
    def request(self) -> messages.Request: ...

    @property
    def unanswered(self) -> bool:
        """Is its client there, and has nothing of its answer yet?"""

    @property
    def deadline_ms(self) -> float:
        """By when it has to begin, by this loop's clock."""


T = TypeVar("T", bound=HostedRequest)


class EventLoop(ABC, Generic[T]):
    def __init__(self, chooser: RouterProtocol) -> None:
        self.router = chooser
        self.active_requests: dict[messages.Request, T] = {}
        self.pending_events: list[messages.Event] = []
        self.processing = False
        self.checking_overdue = False  # for overdue requests
        self.timers: list[tuple[float, int, Callable[[], None]]] = []
        self.timers_set = 0
        self.timer_changed = trio.Event()
        self.max_lateness_ms = 0.0  # the most that a due time was passed by since whoever reads it set it back
        self.answer_all_by_ms = inf  # a shutdown's: whatever was not decided by then is failed
        self.lagged = 0.0, 0.0  # by how much one was passed by lately, and when

    def enqueue(self, event: messages.Event) -> None:
        """For the next turn; the inbox is another list then than when a due time was asked for."""
        self.pending_events.append(event)

    def dispatch(self, event: messages.Event) -> None:
        self.pending_events.append(event)
        if not self.processing:
            self.process_events()

    def process_events(self) -> None:
        self.processing = True
        try:
            while self.pending_events:
                events, self.pending_events = self.pending_events, []
                for action in self.decide(events):
                    try:
                        self.execute(action)
                    except Exception as fault:
                        self.on_fault(fault)
        finally:
            self.processing = False

    def decide(self, events: list[messages.Event]) -> list[messages.Action]:
        """What the decisions make of these events: nothing, where they fail on them."""
        try:
            return self.router.take(now_ms(), events)
        except Exception as fault:
            self.on_fault(fault)
        for event in events:
            if isinstance(event, messages.TimerFired):  # the next one is asked for by the turn that has failed
                self.call_at(now_ms() + FAULT_PAUSE_MS, partial(self.enqueue, event))
        return []

    def on_fault(self, fault: Exception) -> None:
        """A fault of this program. A host that goes on after one logs it; none may take other requests with it."""
        raise fault

    def fail_overdue_requests(self) -> None:
        """Fails the requests that nothing has answered in time, and looks again as long as any is open."""
        now = now_ms()
        for active_request in list(self.active_requests.values()):
            if active_request.unanswered and (
                active_request.deadline_ms < now - OVERDUE_MS or now >= self.answer_all_by_ms
            ):
                self.abort_request(active_request, "nothing was decided in time")
        self.checking_overdue = bool(self.active_requests)
        if self.checking_overdue:
            self.call_at(now_ms() + OVERDUE_LOOK_MS, self.fail_overdue_requests)

    def add_request(self, active_request: T) -> None:
        """A request has come: the decisions hear of it, and it gets its answer also where they fail on it."""
        self.active_requests[active_request.request] = active_request
        if not self.checking_overdue:
            self.fail_overdue_requests()
        self.dispatch(messages.RequestArrived(active_request.request))

    def abort_request(self, active_request: T, why: str) -> None:
        """Fails a request from outside the decisions, which hear that nobody waits for it. It may have run."""
        if active_request.attempt is not None:
            active_request.attempt.cancel()
        self.finish_request(active_request, Failed(why))
        self.dispatch(messages.ClientDisconnected(active_request.request))

    def execute(self, action: messages.Action) -> None:
        match action:
            case messages.StartTimer(at, beat):
                self.call_at(at, partial(self.enqueue, messages.TimerFired(beat)))
            case messages.StartAttempt(request, server):
                self.start_attempt(self.active_requests[request], server, action)
            case messages.CancelAttempt(request):
                active_request = self.active_requests.get(request)
                if active_request is not None and active_request.attempt is not None and not active_request.streaming:
                    active_request.attempt.cancel()
            case messages.Reject(request, pause, reject_reason):
                if request in self.active_requests:
                    self.finish_request(self.active_requests[request], Rejected(pause, reject_reason))
            case messages.Fail(request, reject_reason):
                active_request = self.active_requests.get(request)
                if active_request is not None:
                    timed_out = (
                        bool(active_request.attempt_log) and "TIMED_OUT" in active_request.attempt_log[-1].split()
                    )
                    self.finish_request(active_request, Failed(active_request.why, timed_out, reject_reason))
            case _:
                self.execute_host_action(action)

    @abstractmethod
    def start_attempt(self, active_request: T, server: messages.Server, times: messages.StartAttempt) -> None:
        """Sends a leg."""

    @abstractmethod
    def finish_request(self, active_request: T, final: Rejected | Failed) -> None:
        """Gives the one final answer."""

    @abstractmethod
    def execute_host_action(self, action: messages.Action) -> None:
        """What else was decided."""

    def call_at(self, when_ms: float, call: Callable[[], None]) -> None:
        self.timers_set += 1
        heappush(self.timers, (when_ms, self.timers_set, call))
        if self.timers[0][1] == self.timers_set:  # sooner than what the clock waits for
            self.timer_changed.set()

    @abstractmethod
    def on_timers_fired(self) -> None:
        """Called after each time that something was due."""

    def expected_lateness_ms(self) -> float:
        """By how much this loop must be expected to be late: what is due is to be given up so much sooner."""
        late, at = self.lagged
        return late * exp((at - now_ms()) / LAG_MS)

    async def run_timers(self) -> None:
        """Does what is due at its time; all that is due goes in one turn."""
        while True:
            if not self.timers:
                self.timer_changed = trio.Event()
                await self.timer_changed.wait()
                continue
            wait = self.timers[0][0] - now_ms()
            if wait > 0:
                self.timer_changed = trio.Event()
                with trio.move_on_after(wait / 1000):
                    await self.timer_changed.wait()
                continue
            self.max_lateness_ms = max(self.max_lateness_ms, -wait)
            if -wait > self.expected_lateness_ms():
                self.lagged = -wait, now_ms()
            while self.timers and self.timers[0][0] <= now_ms():
                try:
                    heappop(self.timers)[2]()
                except Exception as fault:
                    self.on_fault(fault)
            if self.pending_events and not self.processing:
                self.process_events()
            self.on_timers_fired()
            await trio.lowlevel.checkpoint()
