"""The gateway's metrics, in a registry of their own so that nothing is left in the process's global one."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

from ternlane.engine import Stage
from ternlane.policy.messages import EndpointStatus
from ternlane.recovery import RecoveryOutcome
from ternlane.wire_names import OUTCOME_NAMES

# Label values of the metrics. Dashboards depend on them, so they stay whatever the code calls these values.
STATUS_LABELS = {
    EndpointStatus.READY: "up",
    EndpointStatus.DRAINING: "draining",
    EndpointStatus.REMOVED: "gone",
}
STAGE_LABELS = {Stage.PREFILL: "read", Stage.DECODE: "write", Stage.WHOLE: "whole"}
RECOVERY_LABELS = {
    RecoveryOutcome.RESUMES: "goes_on",
    RecoveryOutcome.COMPLETE: "whole",
    RecoveryOutcome.ENDS: "ends",
}
OUTCOME_LABELS = {outcome: name.lower() for outcome, name in OUTCOME_NAMES.items()}


class GatewayMetrics:
    """The metrics of one gateway. Their names stay, as dashboards depend on them."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        r = self.registry
        self.outcomes = Counter(
            "ternlane_generations", "Generations by model and final answer", ["model", "outcome"], registry=r
        )
        self.attempts = Counter("ternlane_legs", "Legs by stage and how they ended", ["stage", "verdict"], registry=r)
        self.first = Histogram("ternlane_first_token_seconds", "Arrival to first token", ["model"], registry=r)
        self.breaks = Counter(
            "ternlane_broken_streams", "Streams that broke, by what became of them", ["way"], registry=r
        )
        self.resumed = Histogram("ternlane_resume_seconds", "From a stream's break to its next piece", registry=r)
        self.open = Gauge("ternlane_open_generations", "Generations held now", registry=r)
        self.conns = Gauge("ternlane_connections", "Clients' connections", registry=r)
        self.refused = Counter("ternlane_refused_requests", "Requests that were not taken", ["code"], registry=r)
        self.releases = Counter("ternlane_releases", "States released", ["how"], registry=r)
        self.probes = Counter("ternlane_probes", "Servers asked for their load", ["how"], registry=r)
        self.lists = Counter("ternlane_node_lists", "Node lists by how reading them went", ["how"], registry=r)
        self.servers = Gauge("ternlane_servers", "Model servers on the list", ["life"], registry=r)

    def text(self) -> bytes:
        """All metrics in the Prometheus text format."""
        return generate_latest(self.registry)
