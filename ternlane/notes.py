"""What the actors inside choice.py hold and tell each other: plain types, no decisions."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections import deque
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from ternlane.policy.lease import Lease
from ternlane.policy.messages import Action, Request, Server


class Loop:
    """What the actors see of the router whose loop runs them."""

    now: float
    limits: Limits
    ready: deque[Actor]
    out: list[Action]
    desk: Actor


class Actor(ABC):
    """Has an inbox that the router's one loop empties."""

    def __init__(self, router: Loop) -> None:
        self.router = router
        self.inbox: deque[Any] = deque()

    @property
    def limits(self) -> Limits:
        return self.router.limits

    def post(self, note: Any) -> None:
        self.inbox.append(note)
        self.router.ready.append(self)

    @abstractmethod
    def handle(self, note: Any) -> None: ...


class Seat(Actor):
    """The actor of one model server, as the others know it."""

    server: Server
    prefills: bool
    decodes: bool
    said: tuple[float, float, float | None] | None  # its last report: when, memory share, generations held
    attempts: dict[Attempt, None]
    booked: dict[Course, tuple[float, float]]
    shut_until: float  # it is sent nothing before, then one leg at a time until it has proved itself


class Limits(NamedTuple):
    """What the start facts come to for the decisions."""

    slo_ms: float  # the shortest SLO time of any product
    span_ms: float  # over which progress and rates are remembered
    beat_ms: float
    share: float  # gateways that load the servers as much as this one, itself included
    cold_part: float  # of an even share of the generations, that a server just started may be sent
    slow_start_ms: float
    retry_ms: float  # first pause after a server could not be reached
    idle_ms: float  # idle connections are closed after this
    max_attempts: int
    pause_ms: float  # the longest return time a client heeds; 0 where none may be given
    hand_ms: float  # how long after its read a state may still be sent to a writer that must be reached first
    guard_ms: float  # how long after its prefill a state is released while an attempt for it is out unanswered


@dataclass(slots=True, eq=False)
class Attempt:
    engine: Seat
    course: Course
    decodes: bool
    sent: float
    since: float  # start of the present stage: read, open (until the first token) or stream
    usual_ms: float  # what its peers take for that stage
    work_ms: float  # reading that its server has to do for it
    foreseen: float = 0.0  # how long a read was expected to take
    fresh: bool = False  # it needs a new connection
    counted: float = 0.0
    lost: bool = False  # its answer will not come


@dataclass(slots=True, eq=False)
class Course:
    """One generation on its way."""

    request: Request
    slo_at: float
    deadline: float
    lot: float = 0.0  # its draw, from nought to one, for servers that take only some
    prefill_server: Seat | None = None
    decode_server: Seat | None = None
    attempt: Attempt | None = None
    attempts: int = 0
    lease: Lease[Seat] = field(default_factory=Lease)  # what may be held for it
    may_have_run: tuple[float, Server] | None = None
    waited: bool = False  # no pair was found for it yet
    over: bool = False
    asked: set[Seat] = field(default_factory=set)  # whose report the choice of a pair waits for
    agreed: list[Seat] = field(default_factory=list)  # keep its opening, the first its session
    tried: set[Seat] = field(default_factory=set)


class Home(NamedTuple):
    prefill_server: Seat
    decode_server: Seat
    used: float


class Standing(NamedTuple):
    """What an Engine tells the Desk of itself."""

    engine: Seat
    listed: bool
    free: float  # share of memory, or of reading time if that is scarcer
    known: float  # the same by own requests and the last report alone, without a guess of the others' load
    queue_ms: float  # reading that this gateway has given it and that is still out
    open: int
    progress: float
    shut: bool
    trial: bool
    cold_until: float
    own: float  # share of memory that this gateway's generations fill
    sent: float  # generations of this gateway that it got lately
    ahead_ms: float  # reading that all gateways are believed to have given it
    linked: bool  # connected to this gateway
    fleet: Beat  # what it was told of its peers


# Notes from the Desk to an Engine.


class News(NamedTuple):
    """The list has said something of the server."""


class Booked(NamedTuple):
    """A generation is to be read or written here."""

    course: Course
    tokens: float


class Unbooked(NamedTuple):
    course: Course


class Sent(NamedTuple):
    attempt: Attempt


class StageEnded(NamedTuple):
    attempt: Attempt
    good: bool | None  # None: how it ended tells nothing of the server
    next_usual_ms: float | None  # None: the leg has ended with this stage


class Trouble(NamedTuple):
    """The server could not be reached, broke off, or (silent) falls far behind its peers."""

    silent: bool


class Reported(NamedTuple):
    memory_share: float
    open: float | None  # generations that the server holds


class Beat(NamedTuple):
    """What the Desk makes of all servers of the same duty."""

    open: float = 0.0  # this gateway's open generations at the median one
    pace: float = 1.0  # its progress
    level: float = 0.0  # how full they are on the mean
    queue_ms: float = 0.0  # reading that all gateways have given each of them
    mean_sent: float = 0.0
    trust: float = 1.0  # how far that reading is to be believed
    read_ms: float = 0.0  # what one read costs its reader on the mean


class Lost(NamedTuple):
    """A read that was sent later to the same server has ended before this one."""

    attempt: Attempt


class Onward(NamedTuple):
    """Asks the Engine for its newest Standing; then comes back to the Desk, which finds the next leg."""

    course: Course
