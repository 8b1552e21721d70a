"""The messages that the scheduler sends to an endpoint's state."""

from __future__ import annotations

from typing import NamedTuple

from ternlane.policy.attempt import InFlightAttempt
from ternlane.policy.messages import Request


class EndpointChanged(NamedTuple):
    """The endpoint list, or the configuration, has said something new of the server."""


class CapacityReserved(NamedTuple):
    """A request is to be prefilled or decoded here."""

    request: Request
    tokens: float  # of the server's memory


class CapacityReleased(NamedTuple):
    """The request no longer needs memory here."""

    request: Request


class AttemptStarted(NamedTuple):
    """An attempt is sent to the server."""

    attempt: InFlightAttempt


class StageEnded(NamedTuple):
    """An attempt has got through its present stage, or failed in it."""

    attempt: InFlightAttempt
    success: bool | None  # None: how it ended tells nothing of the server
    next_usual_ms: float | None  # the usual time of the next stage; None: the attempt has ended


class EndpointUnreachable(NamedTuple):
    """The server refused a connection, did not complete one, or broke one off."""


class EndpointTooSlow(NamedTuple):
    """The server makes far less progress than its peers."""


class LoadReported(NamedTuple):
    """The server has told its load."""

    memory_share: float
    open_requests: float | None


class FleetStats(NamedTuple):
    """What the scheduler makes of all servers of one role."""

    median_open: float = 0.0  # this gateway's open requests at the median server
    median_progress: float = 1.0
    memory_level: float = 0.0  # the part of their memory that all gateways fill on the mean, as estimated
    queue_ms: float = 0.0  # prefill work that all gateways have given each on the mean, as estimated
    mean_sent: float = 0.0  # requests of this gateway that each got lately
    queue_trust: float = 1.0  # how long prefills took, as a multiple of what the estimate foresaw
    mean_prefill_ms: float = 0.0


class Reselect(NamedTuple):
    """Asks an endpoint for its newest snapshot and comes back to the scheduler, which then chooses the next attempt's
    server. So that choice sees what the last attempt's end has changed."""

    request: Request


EndpointMessage = (
    EndpointChanged
    | CapacityReserved
    | CapacityReleased
    | AttemptStarted
    | StageEnded
    | EndpointUnreachable
    | EndpointTooSlow
    | LoadReported
    | FleetStats
    | Reselect
)
