"""What a run was configured with, as far as the rules judge by it: the form of `rules.json`."""

from __future__ import annotations

from typing import Literal, NotRequired, TypedDict

# Two processes don't write of the same moment at the same time.
CLOCK_TOLERANCE_MS = 120.0


class RequestClassLimits(TypedDict):
    """What one request class allows to be repeated."""

    effect: Literal["idempotent", "deduplicated", "side-effecting"]
    group: Literal["cell", "zone", "all"]  # the servers that drop repeats for each other
    window_ms: float  # for how long they do
    # For readers of the run; no rule judges by them.
    slo_ms: NotRequired[float]
    slo_per_ktok_ms: NotRequired[float]
    revenue: NotRequired[float]
    limit_ms: NotRequired[float]
    late_share: NotRequired[float]


class RuleLimits(TypedDict):
    """Times in milliseconds. The keys are those of the document."""

    release_ms: float  # within which a held state has to be taken or released
    drain_grace_ms: float  # within which a gateway acts on an endpoint list
    connect_ms: float  # for how long a connection may be tried
    fall_ms: float  # the window over which work makes a cold server fall over
    products: dict[str, RequestClassLimits]  # by the name of the request class
