"""Which servers a request may be placed at, and the costs of each, as one choice sees them.

Nothing changes during a choice, so each answer is computed at most once.
"""

from __future__ import annotations

from ternlane.policy.actors import RouterContext
from ternlane.policy.congestion import CongestionDetector, memory_tokens
from ternlane.policy.endpoint_state import EndpointState
from ternlane.policy.endpoint_table import EndpointTable
from ternlane.policy.failure_avoidance import FailureAvoidance
from ternlane.policy.messages import EndpointStatus, Role
from ternlane.policy.prefix_affinity import PrefixAffinity
from ternlane.policy.request_state import RequestState
from ternlane.policy.retry_policy import RetryPolicy
from ternlane.policy.slow_start import SlowStart

# Weight of the prefill work relative to the free share. All requests compete for prefill time, and a cached prefix
# saves it.
PREFILL_WORK_WEIGHT = 4.0


class CandidateRules:
    """The rules that decide which servers a request may be placed at."""

    def __init__(
        self,
        context: RouterContext,
        endpoints: EndpointTable,
        slow_start: SlowStart,
        congestion: CongestionDetector,
        failures: FailureAvoidance,
        affinity: PrefixAffinity,
        retries: RetryPolicy,
    ) -> None:
        self.context = context
        self.endpoints = endpoints
        self.slow_start = slow_start
        self.congestion = congestion
        self.failures = failures
        self.affinity = affinity
        self.retries = retries

    def is_eligible(self, endpoint: EndpointState, state: RequestState) -> bool:
        """Whether the request may be sent to this server at all: the server is ready, was not tried before, has
        slow-start quota for the request, and a repeat at it cannot have a second effect."""
        snapshot = self.endpoints.get(endpoint)
        if snapshot is None or endpoint.server.status is not EndpointStatus.READY or endpoint in state.tried:
            return False
        if snapshot.warm_at > self.context.now and not self.slow_start.admits(endpoint, state):
            return False
        return self.retries.permits(state, endpoint)

    def is_available(self, endpoint: EndpointState, state: RequestState) -> bool:
        """Whether the server is eligible, and neither congested nor failing this kind of request."""
        return (
            self.is_eligible(endpoint, state)
            and not self.congestion.is_congested(self.endpoints[endpoint], state)
            and not self.failures.fails_mostly(endpoint, state.request)
        )


class CandidateFilter:
    """The candidates of one request.

    If no server of a role is healthy, the cause is probably at this gateway, for example a network partition, and all
    eligible servers of that role are available. If all servers of a role fail requests of this kind, the cause is the
    request, and the failures are ignored.
    """

    def __init__(self, rules: CandidateRules, state: RequestState) -> None:
        self._rules = rules
        self._state = state
        self._any_failures = rules.failures.any_known()
        self._available: dict[EndpointState, bool] = {}
        self._ignores_failures: dict[Role, bool] = {}
        self._takes_any = {role: not rules.endpoints.has_healthy(role) for role in Role}
        self.connect_cost = rules.failures.connect_failure_share

    # -- availability

    def is_available(self, endpoint: EndpointState) -> bool:
        """Whether the request may be placed at this server."""
        available = self._available.get(endpoint)
        if available is None:
            available = self._check_available(endpoint)
            self._available[endpoint] = available
        return available

    def _check_available(self, endpoint: EndpointState) -> bool:
        rules = self._rules
        if not rules.is_eligible(endpoint, self._state):
            return False
        role = endpoint.server.role
        if self._takes_any[role]:
            return True
        fails_mostly = self._any_failures and rules.failures.fails_mostly(endpoint, self._state.request)
        if fails_mostly and not self._failures_ignored(role):
            return False
        return not rules.congestion.is_congested(rules.endpoints[endpoint], self._state)

    def _failures_ignored(self, role: Role) -> bool:
        """Whether all eligible servers of the role fail requests of this kind."""
        ignored = self._ignores_failures.get(role)
        if ignored is None:
            rules = self._rules
            ignored = all(
                rules.failures.fails_mostly(endpoint, self._state.request)
                for endpoint in rules.endpoints.each_ready(role)
                if rules.is_eligible(endpoint, self._state)
            )
            self._ignores_failures[role] = ignored
        return ignored

    def has_room(self, role: Role) -> bool:
        """False if all servers of the role in the candidate index are congested; True does not mean that one is not."""
        rules = self._rules
        tokens = memory_tokens(self._state.request, decodes=role is not Role.PREFILL)
        return rules.endpoints.candidates().has_room(role, tokens, rules.congestion.estimate_weight(role))

    def unindexed(self, role: Role) -> list[EndpointState]:
        """The available servers of a role that are not in the candidate index."""
        rules = self._rules
        endpoints = rules.endpoints
        if self._takes_any[role]:
            found = endpoints.ready(role)
        else:
            found = [*endpoints.half_open(role), *rules.slow_start.admitted(role, self._state)]
        return [endpoint for endpoint in dict.fromkeys(found) if self.is_available(endpoint)]

    # -- costs

    def failure_cost(self, endpoint: EndpointState) -> float:
        """The expected cost of failures at this server."""
        return self._rules.failures.expected_cost(endpoint, self._state.request) if self._any_failures else 0.0

    def prefill_cost(self, endpoint: EndpointState) -> float:
        """The cost of a prefill at this server, for its work and its risk of failure. The risk of a server with both
        roles is counted as that of the decode server."""
        work = self._work_cost(self._rules.affinity.prefill_work_ms(endpoint, self._state))
        return work + (0.0 if endpoint.decodes else self.failure_cost(endpoint))

    def ranked_work_costs(self) -> list[float]:
        """The cost of a prefill for its work alone, at each server that is ranked for the session."""
        affinity = self._rules.affinity
        return [
            self._work_cost(affinity.ranked_work_ms(rank, self._state)) for rank in self._state.preferred.all_ranks()
        ]

    def min_unranked_cost(self) -> float:
        """A lower bound of the cost of a prefill at the servers that are not ranked for the session."""
        return self._work_cost(self._rules.affinity.min_unranked_work_ms(self._state))

    def _work_cost(self, work_ms: float) -> float:
        return PREFILL_WORK_WEIGHT * work_ms / self._rules.context.limits.min_slo_ms
