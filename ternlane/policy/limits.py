"""The limits and permissions of the deployment, in the form that the rules use."""

from __future__ import annotations

from math import inf
from typing import NamedTuple

from ternlane.policy.lease import RELEASE_RESERVE
from ternlane.policy.messages import RouterConfig

# Time scale of the rules if no request class has a latency objective.
DEFAULT_SLO_MS = 1000.0
# Time constant of progress and rates in latency objectives, long enough for several requests to end.
MEMORY_SLOS = 2.0
# Ticks of the timer per latency objective, so that a fault is noticed well before a request is late.
TICKS_PER_SLO = 20
# Share of the slow-start quota that is used. The gateways choose requests at random, so the sum over all gateways
# varies around its mean.
SLOW_START_SAFETY = 0.6
# Duration of a first ejection in connect time-outs, which is enough for a server to restart.
FIRST_EJECTION_CONNECTS = 2.0


class Limits(NamedTuple):
    """Derived from a RouterConfig. Times are milliseconds."""

    min_slo_ms: float  # the shortest latency objective of any request class
    memory_ms: float  # time constant for the decay of progress, load and rates
    tick_ms: float  # interval of the tick timer
    gateways: float  # number of gateways that share the servers, this one included
    slow_start_share: float  # share of an even distribution that a server may be sent at its start
    slow_start_ms: float
    first_ejection_ms: float  # duration of the first ejection of an unreachable server
    connection_idle_ms: float  # idle connections are closed after this time
    max_attempts: int
    max_retry_after_ms: float  # the longest Retry-After that clients respect; 0 if none may be sent
    handover_within_ms: float  # time after the prefill in which a handover over a new connection may start
    release_unconfirmed_ms: float  # time after the prefill until a state is released despite an unanswered attempt


def limits_from(config: RouterConfig) -> Limits:
    """The limits of a configuration."""
    slo_ms = min((kind.slo_ms for kind in config.request_classes if kind.slo_ms), default=DEFAULT_SLO_MS)
    expires = config.holds_expire_unless_arrived
    may_release_early = expires and config.releases_spare_attempts
    return Limits(
        min_slo_ms=slo_ms,
        memory_ms=MEMORY_SLOS * slo_ms,
        tick_ms=max(config.step_ms, slo_ms / TICKS_PER_SLO),
        gateways=config.gateways,
        slow_start_share=config.fall_multiple * config.slow_start_share * SLOW_START_SAFETY,
        slow_start_ms=config.slow_start_ms,
        first_ejection_ms=FIRST_EJECTION_CONNECTS * config.connect_ms,
        connection_idle_ms=config.idle_ms,
        max_attempts=config.max_attempts,
        max_retry_after_ms=config.max_retry_after_ms if config.may_send_retry_after else 0.0,
        handover_within_ms=max(0.0, config.release_ms - config.connect_ms) if expires else inf,
        release_unconfirmed_ms=(1 - RELEASE_RESERVE) * config.release_ms if may_release_early else inf,
    )
