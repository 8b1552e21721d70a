"""The state of one request, from its arrival to the release of what was held for it.

A request moves through the phases of `RequestPhase`. `TRANSITIONS` lists every move there is; any other raises
IllegalTransitionError, which means a fault of the router: two attempts at once, or a second final answer.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, auto
from typing import NamedTuple

from ternlane.policy.attempt import InFlightAttempt
from ternlane.policy.endpoint_state import EndpointState
from ternlane.policy.lease import Lease
from ternlane.policy.messages import Request, Server


class RequestPhase(Enum):
    """Where a request stands."""

    QUEUED = auto()  # no attempt is out and nothing is ready for a decode: it waits for a pair of servers
    PREFILLING = auto()  # a prefill attempt is out
    HANDING_OVER = auto()  # its state is held at a prefill server and goes to a decode server next
    DECODING = auto()  # an attempt is out that answers
    RELEASING = auto()  # it is over for its client; an attempt is still out, and its end releases what is held
    DONE = auto()  # it is over, and nothing is out


TRANSITIONS: dict[RequestPhase, frozenset[RequestPhase]] = {
    # A server that does both roles answers without a prefill attempt of its own.
    RequestPhase.QUEUED: frozenset({RequestPhase.PREFILLING, RequestPhase.DECODING, RequestPhase.DONE}),
    # To QUEUED: the prefill failed.
    RequestPhase.PREFILLING: frozenset(
        {RequestPhase.HANDING_OVER, RequestPhase.QUEUED, RequestPhase.RELEASING, RequestPhase.DONE}
    ),
    # To QUEUED: the state is released and the prompt prefilled again.
    RequestPhase.HANDING_OVER: frozenset({RequestPhase.DECODING, RequestPhase.QUEUED, RequestPhase.DONE}),
    # To HANDING_OVER: the decode attempt failed and the state is still held. To QUEUED: it is lost.
    RequestPhase.DECODING: frozenset(
        {RequestPhase.HANDING_OVER, RequestPhase.QUEUED, RequestPhase.RELEASING, RequestPhase.DONE}
    ),
    RequestPhase.RELEASING: frozenset({RequestPhase.DONE}),
    RequestPhase.DONE: frozenset(),
}


class IllegalTransitionError(Exception):
    """A request was to make a move that TRANSITIONS does not list."""

    def __init__(self, before: RequestPhase, after: RequestPhase) -> None:
        super().__init__(f"a request can't go from {before.name} to {after.name}")
        self.before = before
        self.after = after


class UnknownRequestError(Exception):
    """The host names a request that has not arrived."""


class MayHaveRun(NamedTuple):
    """The first attempt whose effect may have happened."""

    started_at: float  # milliseconds
    server: Server


@dataclass(slots=True, eq=False)
class RequestState:
    """One request on its way. Times are milliseconds."""

    request: Request
    first_token_due: float  # by its class's latency objective
    deadline: float  # when its client gives up
    slow_start_draw: float = 0.0  # from 0 to 1, for servers that take a quota only
    phase: RequestPhase = RequestPhase.QUEUED
    prefill_server: EndpointState | None = None
    decode_server: EndpointState | None = None
    attempt: InFlightAttempt | None = None  # that is out
    attempts: int = 0  # that were sent
    lease: Lease[EndpointState] = field(default_factory=Lease)  # what may be held for it
    may_have_run: MayHaveRun | None = None
    found_no_room: bool = False  # no pair of servers was found for it yet
    probed: set[EndpointState] = field(default_factory=set)  # whose reports the choice of a pair waits for
    preferred: list[EndpointState] = field(default_factory=list)  # prefill servers that cache its prefix; best first
    tried: set[EndpointState] = field(default_factory=set)  # not to be tried again

    @property
    def is_finished(self) -> bool:
        """Whether its client has its final answer, or has left."""
        return self.phase is RequestPhase.DONE or self.phase is RequestPhase.RELEASING

    def move_to(self, phase: RequestPhase) -> None:
        """The one place where the phase changes. Raises IllegalTransitionError."""
        if phase not in TRANSITIONS[self.phase]:
            raise IllegalTransitionError(self.phase, phase)
        self.phase = phase

    def start(self, attempt: InFlightAttempt) -> None:
        """An attempt goes out."""
        self.move_to(RequestPhase.DECODING if attempt.decodes else RequestPhase.PREFILLING)
        self.attempt = attempt
        self.attempts += 1

    def requeue(self) -> None:
        """What was held for it is given up; it needs a pair of servers anew."""
        if self.phase is not RequestPhase.QUEUED:
            self.move_to(RequestPhase.QUEUED)

    def attempt_ended(self) -> None:
        """Its attempt has ended, and its client waits on."""
        self.move_to(RequestPhase.QUEUED if self.lease.held_at is None else RequestPhase.HANDING_OVER)

    def close(self) -> None:
        """It is over for its client."""
        self.move_to(RequestPhase.DONE if self.attempt is None else RequestPhase.RELEASING)


def state_of(request: Request) -> RequestState:
    """The state of a request that has arrived; otherwise UnknownRequestError."""
    state = request.router_state
    if state is None:
        raise UnknownRequestError("the request has not arrived")
    return state
