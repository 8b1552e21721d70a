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


BeginCheck = Callable[[], messages.AttemptOutcome | None]


def may_always_begin() -> messages.AttemptOutcome | None:
    """The check of an attempt that nothing can forbid."""
    return None


def begin_check(server: messages.Server, start_within_ms: float, client_gone: Callable[[], bool]) -> BeginCheck:
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

    flowing: bool
    why: str
    trail: list[str]

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
        self.chooser = chooser
        self.active_requests: dict[messages.Request, T] = {}
        self.heard: list[messages.Event] = []
        self.turning = False
        self.looking = False  # for overdue requests
        self.due: list[tuple[float, int, Callable[[], None]]] = []
        self.asked = 0
        self.alarm = trio.Event()
        self.late_ms = 0.0  # the most that a due time was passed by since whoever reads it set it back
        self.answer_all_by_ms = inf  # a shutdown's: whatever was not decided by then is failed
        self.lagged = 0.0, 0.0  # by how much one was passed by lately, and when

    def hear(self, event: messages.Event) -> None:
        """For the next turn; the inbox is another list then than when a due time was asked for."""
        self.heard.append(event)

    def tell(self, event: messages.Event) -> None:
        self.heard.append(event)
        if not self.turning:
            self.turn()

    def turn(self) -> None:
        self.turning = True
        try:
            while self.heard:
                events, self.heard = self.heard, []
                for action in self.decided(events):
                    try:
                        self.carry_out(action)
                    except Exception as fault:
                        self.faulted(fault)
        finally:
            self.turning = False

    def decided(self, events: list[messages.Event]) -> list[messages.Action]:
        """What the decisions make of these events: nothing, where they fail on them."""
        try:
            return self.chooser.take(now_ms(), events)
        except Exception as fault:
            self.faulted(fault)
        for event in events:
            if isinstance(event, messages.TimerFired):  # the next one is asked for by the turn that has failed
                self.at(now_ms() + FAULT_PAUSE_MS, partial(self.hear, event))
        return []

    def faulted(self, fault: Exception) -> None:
        """A fault of this program. A host that goes on after one logs it; none may take other requests with it."""
        raise fault

    def look_for_overdue(self) -> None:
        """Fails the requests that nothing has answered in time, and looks again as long as any is open."""
        now = now_ms()
        for active_request in list(self.active_requests.values()):
            if active_request.unanswered and (
                active_request.deadline_ms < now - OVERDUE_MS or now >= self.answer_all_by_ms
            ):
                self.give_up(active_request, "nothing was decided in time")
        self.looking = bool(self.active_requests)
        if self.looking:
            self.at(now_ms() + OVERDUE_LOOK_MS, self.look_for_overdue)

    def taken(self, active_request: T) -> None:
        """A request has come: the decisions hear of it, and it gets its answer also where they fail on it."""
        self.active_requests[active_request.request] = active_request
        if not self.looking:
            self.look_for_overdue()
        self.tell(messages.RequestArrived(active_request.request))

    def give_up(self, active_request: T, why: str) -> None:
        """Fails a request from outside the decisions, which hear that nobody waits for it. It may have run."""
        if active_request.attempt is not None:
            active_request.attempt.cancel()
        self.settle(active_request, Failed(why))
        self.tell(messages.ClientDisconnected(active_request.request))

    def carry_out(self, action: messages.Action) -> None:
        match action:
            case messages.StartTimer(at, timer):
                self.at(at, partial(self.hear, messages.TimerFired(timer)))
            case messages.StartAttempt(request, server):
                self.send(self.active_requests[request], server, action)
            case messages.CancelAttempt(request):
                active_request = self.active_requests.get(request)
                if active_request is not None and active_request.attempt is not None and not active_request.flowing:
                    active_request.attempt.cancel()
            case messages.Reject(request, pause, reject_reason):
                if request in self.active_requests:
                    self.settle(self.active_requests[request], Rejected(pause, reject_reason))
            case messages.Fail(request, reject_reason):
                active_request = self.active_requests.get(request)
                if active_request is not None:
                    timed_out = bool(active_request.trail) and "TIMED_OUT" in active_request.trail[-1].split()
                    self.settle(active_request, Failed(active_request.why, timed_out, reject_reason))
            case _:
                self.carry_further(action)

    @abstractmethod
    def send(self, active_request: T, server: messages.Server, times: messages.StartAttempt) -> None:
        """Sends a leg."""

    @abstractmethod
    def settle(self, active_request: T, final: Rejected | Failed) -> None:
        """Gives the one final answer."""

    @abstractmethod
    def carry_further(self, action: messages.Action) -> None:
        """What else was decided."""

    def at(self, when_ms: float, call: Callable[[], None]) -> None:
        self.asked += 1
        heappush(self.due, (when_ms, self.asked, call))
        if self.due[0][1] == self.asked:  # sooner than what the clock waits for
            self.alarm.set()

    @abstractmethod
    def woken(self) -> None:
        """Called after each time that something was due."""

    def lag_ms(self) -> float:
        """By how much this loop must be expected to be late: what is due is to be given up so much sooner."""
        late, at = self.lagged
        return late * exp((at - now_ms()) / LAG_MS)

    async def clock(self) -> None:
        """Does what is due at its time; all that is due goes in one turn."""
        while True:
            if not self.due:
                self.alarm = trio.Event()
                await self.alarm.wait()
                continue
            wait = self.due[0][0] - now_ms()
            if wait > 0:
                self.alarm = trio.Event()
                with trio.move_on_after(wait / 1000):
                    await self.alarm.wait()
                continue
            self.late_ms = max(self.late_ms, -wait)
            if -wait > self.lag_ms():
                self.lagged = -wait, now_ms()
            while self.due and self.due[0][0] <= now_ms():
                try:
                    heappop(self.due)[2]()
                except Exception as fault:
                    self.faulted(fault)
            if self.heard and not self.turning:
                self.turn()
            self.woken()
            await trio.lowlevel.checkpoint()
