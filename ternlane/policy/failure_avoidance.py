"""Avoids servers that look healthy but fail one request class, reject one tenant, or lose their answers."""

from __future__ import annotations

from collections.abc import Hashable

from ternlane.policy.actors import RouterContext
from ternlane.policy.endpoint_state import EndpointState
from ternlane.policy.failure_rates import FailureRates
from ternlane.policy.messages import AttemptOutcome, Effect, Request

# Reduction of a server's score if the failure is certain, in the unit of free shares.
RETRIED_FAILURE_COST = 0.4  # the time of one attempt is lost
FINAL_FAILURE_COST = 2.0  # no retry, as the request may have run; outweighs any difference of free shares
REFUSAL_COST = 0.4  # one attempt is lost
# Weight of a new connection in the moving average of failed ones. It is high, as connections to several servers usually
# time out together.
CONNECT_FAILURE_WEIGHT = 1 / 4


class FailureAvoidance:
    """Failure rates of each server by request class and by tenant, and of time-outs."""

    def __init__(self, context: RouterContext) -> None:
        self._context = context
        self.rates: FailureRates[EndpointState] = FailureRates()
        self.connect_failure_share = 0.0  # of this gateway's new connections

    def any_known(self) -> bool:
        """Whether any recent failure is known; if not, all costs are 0."""
        return bool(self.rates)

    def record(self, endpoint: EndpointState, request: Request, outcome: AttemptOutcome) -> None:
        """Counts the end of an attempt for each kind of failure that it is evidence of. PREFILLED stands for any
        success."""
        kinds: tuple[tuple[AttemptOutcome, Hashable], ...] = (
            (AttemptOutcome.ERROR, request.request_class),
            (AttemptOutcome.OVERLOADED, request.tenant),
            (AttemptOutcome.TIMED_OUT, AttemptOutcome.TIMED_OUT),
        )
        for failure, kind in kinds:
            if kind is not None and outcome in (failure, AttemptOutcome.PREFILLED):
                self.rates.add(kind, endpoint, endpoint.decodes, outcome is failure, self._context.now)

    def record_connection(self, failed: bool) -> None:
        """Counts an attempt that needed a new connection."""
        self.connect_failure_share += CONNECT_FAILURE_WEIGHT * (failed - self.connect_failure_share)

    def _risk(self, endpoint: EndpointState, kind: Hashable) -> float:
        return self.rates.risk(kind, endpoint, endpoint.decodes, self._context.now)

    def expected_cost(self, endpoint: EndpointState, request: Request) -> float:
        """The expected cost of failures of this request at this server, in the unit of free shares."""
        final = endpoint.decodes and request.request_class.effect is not Effect.IDEMPOTENT
        fails = self._risk(endpoint, request.request_class) + self._risk(endpoint, AttemptOutcome.TIMED_OUT)
        failure_cost = FINAL_FAILURE_COST if final else RETRIED_FAILURE_COST
        return fails * failure_cost + self._risk(endpoint, request.tenant) * REFUSAL_COST

    def fails_mostly(self, endpoint: EndpointState, request: Request) -> bool:
        """Whether the server recently failed this class, or rejected this tenant, in most attempts."""
        now = self._context.now
        kinds = (request.request_class, request.tenant)
        return any(self.rates.fails_mostly(kind, endpoint, now) for kind in kinds)
