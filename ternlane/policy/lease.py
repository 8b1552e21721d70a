"""The lease of a request: the state that model servers may hold for it, since when, and when to release it.

A prefill leaves a state at its server, and a decode attempt takes it. A written attempt may not have reached a running
server: a connection can go silent without an error, and only an answer proves arrival. So an attempt without an answer
neither ends nor renews the time within which the state has to be released. Shortly before that time is over, the state
is released although the attempt is still in flight. If the attempt has arrived, the release has no effect, as servers
keep a state that an attempt waits for; otherwise the state does not leak.
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass
from math import inf
from typing import Generic, Protocol, TypeVar

from ternlane.policy.messages import AttemptOutcome

# Share of the release time that is reserved for sending the release: the first server may not answer, and each further
# round of servers is tried an eighth of the release time later.
RELEASE_RESERVE = 1 / 4
# Outcomes after which the server holds nothing for the attempt.
NOTHING_LEFT = frozenset(
    {AttemptOutcome.OVERLOADED, AttemptOutcome.CONNECT_FAILED, AttemptOutcome.CLIENT_GONE, AttemptOutcome.NOT_STARTED}
)
# Outcomes of a decode attempt that prove an answer by a running server.
ANSWERED = frozenset({AttemptOutcome.OVERLOADED, AttemptOutcome.ERROR})
# Outcomes of attempts that were not sent completely.
NEVER_SENT = frozenset({AttemptOutcome.CONNECT_FAILED, AttemptOutcome.NOT_STARTED})

ServerT = TypeVar("ServerT")
RequestT = TypeVar("RequestT")


@dataclass(slots=True, frozen=True)
class AttemptEnd:
    """The facts about the end of an attempt that matter to the lease."""

    outcome: AttemptOutcome
    prefills: bool  # its server may have prefilled the prompt
    state_lost: bool  # the server did not find the prefilled state


@dataclass(slots=True, eq=False)
class Lease(Generic[ServerT]):
    """The state that may be held for one request. Times are milliseconds on the router's clock.

    `StateReleaser.schedule_release` sets `release_at`, the latest time of the release, to `since` plus
    `Limits.release_unconfirmed_ms`. That is infinite if a release would harm an attempt that waits for the state, or if
    servers keep the state without a time limit (see RouterConfig); the release is then sent at the end of the request
    or before a new prefill.
    """

    held_at: ServerT | None = None  # the prefill server whose state may be handed over
    may_hold: bool = False  # some server may hold a state
    prefill_unconfirmed: bool = False  # the end of the last prefill is unknown, and it may still leave a state
    since: float = 0.0  # start of the release time
    release_at: float = inf  # when to release the state, even without an answer
    _held_before: bool = False  # `may_hold` before the attempt in flight
    _released_early: bool = False  # a release was sent during that attempt
    _release_confirmed: bool = False  # a server has confirmed that release

    def attempt_started(self) -> None:
        """Records that an attempt is sent, which may leave a state at its server."""
        self._held_before = self.may_hold
        self.may_hold = True
        self._released_early = False
        self._release_confirmed = False

    def attempt_answered(self) -> None:
        """Records that a decode server has started its answer, and so has taken the state."""
        self.held_at = None
        self.may_hold = False
        self.release_at = inf

    def attempt_ended(self, end: AttemptEnd, server: ServerT, now: float) -> None:
        """Records the end of an attempt at this server."""
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
        """Whether this outcome restarts the release time. It does if a running server must have had the attempt until
        now, since it prefilled or answered. It also does after a confirmed release: a server then keeps the state only
        for an attempt that has arrived. It does not for an attempt that may never have arrived."""
        if end.outcome in NEVER_SENT:
            return False
        return end.prefills or end.outcome in ANSWERED or self._release_confirmed

    def released(self, is_finished: bool) -> None:
        """Records that a release is sent. At the end of the request it is the last one; before that, a prefill of
        unconfirmed end may still leave a state afterwards."""
        self.held_at = None
        self.may_hold = self.prefill_unconfirmed and not is_finished
        if not self.may_hold:
            self.release_at = inf

    def released_early(self) -> None:
        """Records a release that is sent because the release time is over, while an attempt may be in flight. `held_at`
        is kept: if the attempt has arrived, the server keeps the state, and another decode may still take it."""
        self._released_early = True
        self._release_confirmed = False

    def release_confirmed(self) -> None:
        """Records that a server has confirmed the latest release."""
        self._release_confirmed = self._released_early


class HasReleaseTime(Protocol):
    """The part of a lease that the schedule uses."""

    release_at: float


class ReleaseSchedule(Generic[RequestT]):
    """Requests ordered by the time at which the state held for them is due for release."""

    def __init__(self) -> None:
        self._entries: list[tuple[float, int, RequestT, HasReleaseTime]] = []
        self._count = 0

    def add(self, request: RequestT, lease: HasReleaseTime, at: float) -> bool:
        """Schedules a release and replaces an earlier time. Returns True if it is now the first one due."""
        lease.release_at = at
        self._count += 1
        heapq.heappush(self._entries, (at, self._count, request, lease))
        return self._entries[0][1] == self._count

    def take_due(self, now: float) -> list[RequestT]:
        """Removes and returns the requests whose time has passed and was not replaced."""
        due: list[RequestT] = []
        while self._entries and self._entries[0][0] <= now:
            at, _, request, lease = heapq.heappop(self._entries)
            if lease.release_at == at:
                lease.release_at = inf
                due.append(request)
        return due

    def next_at(self) -> float:
        """The earliest valid time; infinite if there is none."""
        while self._entries and self._entries[0][3].release_at != self._entries[0][0]:
            heapq.heappop(self._entries)
        return self._entries[0][0] if self._entries else inf
