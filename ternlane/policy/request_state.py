"""The state of a request, from its arrival to the release of the state held for it.

`TRANSITIONS` lists all permitted transitions between the phases; any other raises IllegalTransitionError. That is a bug
of the router, such as two simultaneous attempts or a second final answer.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, auto
from typing import NamedTuple

from ternlane.policy.attempt import InFlightAttempt
from ternlane.policy.endpoint_state import EndpointState
from ternlane.policy.lease import Lease
from ternlane.policy.messages import Request, Server
from ternlane.policy.preferred_servers import NO_PREFERRED_SERVERS, PreferredServers


class RequestPhase(Enum):
    """The phase of a request."""

    QUEUED = auto()  # waits for a pair of servers; no attempt is in flight and no state is ready for a decode
    PREFILLING = auto()  # a prefill attempt is in flight
    HANDING_OVER = auto()  # a prefill server holds the state, and a decode attempt is next
    DECODING = auto()  # an attempt that generates the answer is in flight
    RELEASING = auto()  # over for the client; the held state is released when the attempt in flight ends
    DONE = auto()  # over, and no attempt is in flight


TRANSITIONS: dict[RequestPhase, frozenset[RequestPhase]] = {
    # To DECODING: a server with both roles needs no separate prefill attempt.
    RequestPhase.QUEUED: frozenset({RequestPhase.PREFILLING, RequestPhase.DECODING, RequestPhase.DONE}),
    # To QUEUED: the prefill failed.
    RequestPhase.PREFILLING: frozenset(
        {RequestPhase.HANDING_OVER, RequestPhase.QUEUED, RequestPhase.RELEASING, RequestPhase.DONE}
    ),
    # To QUEUED: the state is released and the prompt prefilled again.
    RequestPhase.HANDING_OVER: frozenset({RequestPhase.DECODING, RequestPhase.QUEUED, RequestPhase.DONE}),
    # To HANDING_OVER: the decode attempt failed, but the state is still held. To QUEUED: the state is lost.
    RequestPhase.DECODING: frozenset(
        {RequestPhase.HANDING_OVER, RequestPhase.QUEUED, RequestPhase.RELEASING, RequestPhase.DONE}
    ),
    RequestPhase.RELEASING: frozenset({RequestPhase.DONE}),
    RequestPhase.DONE: frozenset(),
}


class IllegalTransitionError(Exception):
    """A transition that TRANSITIONS does not list."""

    def __init__(self, before: RequestPhase, after: RequestPhase) -> None:
        super().__init__(f"illegal transition of a request from {before.name} to {after.name}")
        self.before = before
        self.after = after


class UnknownRequestError(Exception):
    """The host refers to a request that has not arrived."""


class MayHaveRun(NamedTuple):
    """The first attempt that may have had an effect."""

    started_at: float  # milliseconds
    server: Server


@dataclass(slots=True, eq=False)
class RequestState:
    """The state of one request. Times are milliseconds."""

    request: Request
    first_token_due: float  # by the latency objective of its class
    deadline: float  # when its client times out
    slow_start_draw: float = 0.0  # random number from 0 to 1 that is compared with slow-start quotas
    phase: RequestPhase = RequestPhase.QUEUED
    prefill_server: EndpointState | None = None
    decode_server: EndpointState | None = None
    attempt: InFlightAttempt | None = None  # in flight
    attempts: int = 0  # number of attempts sent
    lease: Lease[EndpointState] = field(default_factory=Lease)  # the state that servers may hold for it
    may_have_run: MayHaveRun | None = None
    found_no_capacity: bool = False  # no pair of servers with capacity was found so far
    probed: set[EndpointState] = field(default_factory=set)  # servers whose load reports it waits for
    preferred: PreferredServers = NO_PREFERRED_SERVERS  # prefill servers that may cache its prefix
    tried: set[EndpointState] = field(default_factory=set)  # servers that must not be tried again

    @property
    def is_finished(self) -> bool:
        """Whether the client has got the final answer or has disconnected."""
        return self.phase is RequestPhase.DONE or self.phase is RequestPhase.RELEASING

    def move_to(self, phase: RequestPhase) -> None:
        """Changes the phase; nothing else does. Raises IllegalTransitionError."""
        if phase not in TRANSITIONS[self.phase]:
            raise IllegalTransitionError(self.phase, phase)
        self.phase = phase

    def start(self, attempt: InFlightAttempt) -> None:
        """Records that an attempt is sent."""
        self.move_to(RequestPhase.DECODING if attempt.decodes else RequestPhase.PREFILLING)
        self.attempt = attempt
        self.attempts += 1

    def requeue(self) -> None:
        """Returns to QUEUED: the held state is given up, and a new pair of servers is needed."""
        if self.phase is not RequestPhase.QUEUED:
            self.move_to(RequestPhase.QUEUED)

    def attempt_ended(self) -> None:
        """Records that the attempt has ended while the client still waits."""
        self.move_to(RequestPhase.QUEUED if self.lease.held_at is None else RequestPhase.HANDING_OVER)

    def close(self) -> None:
        """Records that the request is over for its client."""
        self.move_to(RequestPhase.DONE if self.attempt is None else RequestPhase.RELEASING)


def state_of(request: Request) -> RequestState:
    """The state of a request that has arrived. Raises UnknownRequestError for any other."""
    state = request.router_state
    if state is None:
        raise UnknownRequestError("the request has not arrived")
    return state
