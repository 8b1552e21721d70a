"""Creates and connects the rules of one router."""

from __future__ import annotations

from ternlane.policy.actors import RouterContext
from ternlane.policy.admission import AdmissionPolicy
from ternlane.policy.admission_queue import AdmissionQueue
from ternlane.policy.candidate_filter import CandidateRules
from ternlane.policy.congestion import CongestionDetector
from ternlane.policy.endpoint_table import EndpointTable
from ternlane.policy.failure_avoidance import FailureAvoidance
from ternlane.policy.fleet_monitor import FleetMonitor
from ternlane.policy.held_state import StateReleaser
from ternlane.policy.latency import LatencyModel
from ternlane.policy.load_probes import LoadProbes
from ternlane.policy.messages import RouterConfig
from ternlane.policy.outcome_recorder import OutcomeRecorder
from ternlane.policy.placement import Placement
from ternlane.policy.prefix_affinity import PrefixAffinity
from ternlane.policy.random_draws import RandomDraws
from ternlane.policy.retry_policy import RetryPolicy
from ternlane.policy.shutdown import ShutdownSchedule
from ternlane.policy.slow_start import SlowStart


class Rules:
    """The rules of one router. Each gets the rules that it depends on, and the latest snapshots of the endpoints."""

    def __init__(self, context: RouterContext, config: RouterConfig) -> None:
        self.config = config  # the current one
        self.endpoints = EndpointTable(context)
        self.draws = RandomDraws(config.seed)
        self.shutdown = ShutdownSchedule()
        self.latency = LatencyModel(context.limits.min_slo_ms)
        self.affinity = PrefixAffinity(self.endpoints, self.latency)
        self.failures = FailureAvoidance(context)
        self.slow_start = SlowStart(context)
        self.congestion = CongestionDetector(context)
        self.retries = RetryPolicy(context, self.endpoints)
        self.placement = Placement(
            context,
            self.draws,
            CandidateRules(
                context,
                self.endpoints,
                self.slow_start,
                self.congestion,
                self.failures,
                self.affinity,
                self.retries,
            ),
        )
        self.admission = AdmissionPolicy(
            context, self.endpoints, self.latency, self.congestion, self.retries, self.shutdown
        )
        self.queue = AdmissionQueue(context, self.draws)
        self.probes = LoadProbes(context)
        self.state_releaser = StateReleaser(context)
        self.fleet = FleetMonitor(context, self.endpoints, self.latency, self.failures, self.affinity, self.slow_start)
        self.recorder = OutcomeRecorder(context, self.latency, self.congestion, self.failures, self.affinity)

    def reports_on_probe(self) -> bool:
        """Whether servers report their load in reply to probes only."""
        return self.config.may_probe and self.config.reports_on_probe
