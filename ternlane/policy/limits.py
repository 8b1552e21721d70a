"""The deployment's limits and rights, in the form in which the rules use them."""

from __future__ import annotations

from math import inf
from typing import NamedTuple

from ternlane.policy.lease import RELEASE_RESERVE
from ternlane.policy.messages import RouterConfig

# Where no request class has a latency objective, one second is taken as the time scale of the rules.
DEFAULT_SLO_MS = 1000.0
# Progress and rates are remembered over this many latency objectives: long enough to see several requests end.
MEMORY_SLOS = 2.0
# The timer fires this often within the latency objective, so that a fault is noticed well before a request is late.
TICKS_PER_SLO = 20
# Part of the slow-start quota that is used. All gateways draw by chance, so their sum varies about its mean.
SLOW_START_SAFETY = 0.6
# A first ejection lasts this many connect time-outs: a server that restarts should have come back by then.
FIRST_EJECTION_CONNECTS = 2.0


class Limits(NamedTuple):
    """Derived from a RouterConfig. Times are milliseconds."""

    min_slo_ms: float  # the shortest latency objective of any request class
    memory_ms: float  # over which progress, load and rates are remembered
    tick_ms: float  # between two ticks of the timer
    gateways: float  # how many load the servers as much as this one does, itself included
    slow_start_share: float  # of an even share of the requests, that a server just started may be sent
    slow_start_ms: float
    first_ejection_ms: float  # the first pause after a server could not be reached
    connection_idle_ms: float  # idle connections are closed after this
    max_attempts: int
    max_retry_after_ms: float  # the longest Retry-After that a client heeds; 0 where none may be given
    handover_within_ms: float  # after its prefill, a state may be sent so long to a server still to be connected to
    release_unconfirmed_ms: float  # after its prefill, a state is released although an unanswered attempt is out


def limits_from(config: RouterConfig) -> Limits:
    """The limits that a configuration comes to."""
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
