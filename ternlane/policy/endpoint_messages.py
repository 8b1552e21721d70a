"""The messages that the scheduler sends to an endpoint's state."""

from __future__ import annotations

from typing import NamedTuple

from ternlane.policy.attempt import InFlightAttempt
from ternlane.policy.messages import Request


class EndpointChanged(NamedTuple):
    """The server changed in the endpoint list, or the configuration changed."""


class CapacityReserved(NamedTuple):
    """A request will be prefilled or decoded at this server."""

    request: Request
    tokens: float  # server memory


class CapacityReleased(NamedTuple):
    """The request no longer needs memory at this server."""

    request: Request


class AttemptStarted(NamedTuple):
    """An attempt is being sent to the server."""

    attempt: InFlightAttempt


class StageEnded(NamedTuple):
    """An attempt has completed its current stage, or failed in it."""

    attempt: InFlightAttempt
    success: bool | None  # None: the outcome gives no information about the server
    next_usual_ms: float | None  # the usual time of the next stage; None: the attempt has ended


class EndpointUnreachable(NamedTuple):
    """The server refused a connection, did not complete one, or broke one off."""


class EndpointTooSlow(NamedTuple):
    """The server makes far less progress than its peers."""


class LoadReported(NamedTuple):
    """The server has reported its load."""

    memory_share: float
    open_requests: float | None


class FleetStats(NamedTuple):
    """Statistics over all servers of one role."""

    median_open: float = 0.0  # median of this gateway's open requests per server
    median_progress: float = 1.0
    memory_level: float = 0.0  # estimated mean share of a server's memory used by all gateways
    queue_ms: float = 0.0  # estimated mean prefill work queued at a server by all gateways
    mean_sent: float = 0.0  # mean number of recent requests of this gateway per server
    queue_correction: float = 1.0  # measured prefill times as a multiple of the expected ones
    mean_prefill_ms: float = 0.0


class Reselect(NamedTuple):
    """Requests a new snapshot from an endpoint, which passes the message back to the scheduler after it. The scheduler
    then chooses the server of the next attempt, taking into account the end of the previous one."""

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
