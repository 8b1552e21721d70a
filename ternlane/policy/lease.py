"""What model servers may hold for a request: since when, and by when it has to be released.

A prefill leaves a state at its server, and a decode attempt takes it. That an attempt was written does not show that
it has reached a running server: a connection can fall silent with no error, and only an answer proves arrival. So an
attempt without an answer neither ends nor renews the time within which the state has to be released. When that time
is nearly over, the state is released although the attempt is still out. Where the attempt did arrive this changes
nothing, as servers keep a state that an attempt waits for; where it did not, nothing is left behind.
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass
from math import inf
from typing import Generic, Protocol, TypeVar

from ternlane.policy.messages import AttemptOutcome

# Part of the release time that is kept for the release itself: the first server asked may be silent, and each further
# round of servers is asked an eighth of the release time later.
RELEASE_RESERVE = 1 / 4
# Outcomes of an attempt that leave nothing behind at its server.
NOTHING_LEFT = frozenset(
    {AttemptOutcome.OVERLOADED, AttemptOutcome.CONNECT_FAILED, AttemptOutcome.CLIENT_GONE, AttemptOutcome.NOT_STARTED}
)
# Outcomes of a decode attempt that only a running server can have given.
ANSWERED = frozenset({AttemptOutcome.OVERLOADED, AttemptOutcome.ERROR})
# Outcomes of an attempt of which not all was sent.
NEVER_SENT = frozenset({AttemptOutcome.CONNECT_FAILED, AttemptOutcome.NOT_STARTED})

ServerT = TypeVar("ServerT")
RequestT = TypeVar("RequestT")


@dataclass(slots=True, frozen=True)
class AttemptEnd:
    """What the end of an attempt tells of what is held."""

    outcome: AttemptOutcome
    prefills: bool  # its server may have read the prompt
    state_lost: bool  # it found no state to go on with


@dataclass(slots=True, eq=False)
class Lease(Generic[ServerT]):
    """What may be held for one request. Times are milliseconds of the decisions' clock.

    When it is released at the latest: `StateReleaser.schedule_release` sets `release_at`,
    `Limits.release_unconfirmed_ms` after `since`. That is infinite where servers don't spare the attempts that wait for
    a state, or keep it whatever happens (RouterConfig); the release then goes out at the request's end or before a new
    prefill.
    """

    held_at: ServerT | None = None  # the prefill server whose state may be handed on
    may_hold: bool = False  # some server may hold something
    prefill_unconfirmed: bool = False  # the last prefill ended without a word, and may leave a state yet
    since: float = 0.0  # the release time counts from here
    release_at: float = inf  # when to release it, answered or not
    _held_before: bool = False  # whether anything may have been held before the attempt that is out
    _released_early: bool = False  # it was released while that attempt was out,
    _release_confirmed: bool = False  # and a server has confirmed it

    def attempt_begins(self) -> None:
        """An attempt goes out, and may leave something at its server."""
        self._held_before = self.may_hold
        self.may_hold = True
        self._released_early = False
        self._release_confirmed = False

    def attempt_answered(self) -> None:
        """A decode server has begun its answer: it has taken the state."""
        self.held_at = None
        self.may_hold = False
        self.release_at = inf

    def attempt_ended(self, end: AttemptEnd, server: ServerT, now: float) -> None:
        """An attempt has ended at this server."""
        outcome = end.outcome
        if outcome in NOTHING_LEFT:
            self.may_hold = self._held_before
        elif end.prefills:
            self.prefill_unconfirmed = outcome is not AttemptOutcome.PREFILLED
        if self._renews(end):
            self.since = now
        if end.state_lost:
            self.held_at = None
        elif outcome is AttemptOutcome.PREFILLED:
            self.held_at = server

    def _renews(self, end: AttemptEnd) -> bool:
        """Whether the release time begins anew with this outcome. It does where a running server must have had the
        attempt until now: it prefilled, or it answered. It does, too, after a confirmed release: servers then keep only
        what an attempt waits for that has arrived. It does not for an attempt that may never have arrived."""
        if end.outcome in NEVER_SENT:
            return False
        return end.prefills or end.outcome in ANSWERED or self._release_confirmed

    def released(self, is_finished: bool) -> None:
        """A release goes out. Once the request is over it is said to the last; before, an unheard prefill may still
        leave a state behind it."""
        self.held_at = None
        self.may_hold = self.prefill_unconfirmed and not is_finished
        if not self.may_hold:
            self.release_at = inf

    def released_early(self) -> None:
        """A release goes out because the time is over, whatever attempt is out. `held_at` stays: where the attempt had
        arrived, the server keeps the state for it, and another decode may still take it."""
        self._released_early = True
        self._release_confirmed = False

    def release_confirmed(self) -> None:
        """A server has confirmed the newest release."""
        self._release_confirmed = self._released_early


class HasReleaseTime(Protocol):
    """What the schedule sees of a lease."""

    release_at: float


class ReleaseSchedule(Generic[RequestT]):
    """Requests by the time at which what is held for them is to be released; the earliest first."""

    def __init__(self) -> None:
        self._entries: list[tuple[float, int, RequestT, HasReleaseTime]] = []
        self._count = 0

    def add(self, request: RequestT, lease: HasReleaseTime, at: float) -> bool:
        """Schedules it; a time given before is forgotten. True if it is now the first."""
        lease.release_at = at
        self._count += 1
        heapq.heappush(self._entries, (at, self._count, request, lease))
        return self._entries[0][1] == self._count

    def take_due(self, now: float) -> list[RequestT]:
        """Those whose time has come and still holds."""
        due: list[RequestT] = []
        while self._entries and self._entries[0][0] <= now:
            at, _, request, lease = heapq.heappop(self._entries)
            if lease.release_at == at:
                lease.release_at = inf
                due.append(request)
        return due

    def next_at(self) -> float:
        """The earliest time that still holds; infinite where there is none."""
        while self._entries and self._entries[0][3].release_at != self._entries[0][0]:
            heapq.heappop(self._entries)
        return self._entries[0][0] if self._entries else inf
