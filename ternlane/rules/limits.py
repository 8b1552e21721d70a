"""The part of a run's configuration that the rules depend on: the format of `rules.json`."""

from __future__ import annotations

from typing import Literal, NotRequired, TypedDict

# Two processes don't record the same moment at the same time.
CLOCK_TOLERANCE_MS = 120.0


class RequestClassLimits(TypedDict):
    """What one request class allows to be repeated."""

    effect: Literal["idempotent", "deduplicated", "side-effecting"]
    group: Literal["cell", "zone", "all"]  # the servers that deduplicate for each other
    window_ms: float  # the deduplication window
    # For readers of the run; no rule uses them.
    slo_ms: NotRequired[float]
    slo_per_ktok_ms: NotRequired[float]
    revenue: NotRequired[float]
    limit_ms: NotRequired[float]
    late_share: NotRequired[float]


class RuleLimits(TypedDict):
    """Times in milliseconds. The keys are those of the document."""

    release_ms: float  # a held state has to be taken or released within this time
    drain_grace_ms: float  # a gateway has to act on an endpoint list within this time
    connect_ms: float  # connect time-out
    fall_ms: float  # window over which load makes a cold server fall over
    products: dict[str, RequestClassLimits]  # by the name of the request class
