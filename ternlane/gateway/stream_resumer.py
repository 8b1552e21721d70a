"""Resumes broken streams when stream recovery allows it."""

from __future__ import annotations

from math import inf

from ternlane.engine import AttemptResult, Usage
from ternlane.event_loop import now_ms
from ternlane.gateway.active_request import ActiveRequest, Failed
from ternlane.gateway.metrics import RECOVERY_LABELS
from ternlane.gateway.runtime_port import RuntimePort
from ternlane.policy import messages
from ternlane.policy.messages import EndpointStatus, Role
from ternlane.recovery import RecoveryOutcome


class StreamResumer:
    """Executes the decisions of `StreamRecovery`. `due_ms`: time of the next check; inf while no stream waits."""

    def __init__(self, runtime: RuntimePort) -> None:
        self.runtime = runtime
        self.due_ms = inf

    def try_resume(self, active_request: ActiveRequest, result: AttemptResult) -> bool:
        """Records the failed attempt. Returns True if another attempt may continue the stream, which then waits for its
        turn; if the client has all of its text, the request gets its final answer."""
        if active_request.attempts_before_break is None:
            active_request.attempts_before_break = len(active_request.usage_by_attempt)
        outcome = self.runtime.stream_recovery.attempt_failed(
            active_request,
            active_request.join,
            active_request.request,
            None if result.usage is None else result.usage.completion_tokens,
            now_ms(),
            active_request.deadline_ms,
            self.prefill_servers(),
        )
        self.runtime.metrics.breaks.labels(RECOVERY_LABELS[outcome]).inc()
        if outcome is RecoveryOutcome.ENDS:
            result.why = f"{result.why or 'the stream broke'}; {active_request.join.why}"
        elif outcome is RecoveryOutcome.COMPLETE:
            self.runtime.settle_streamed(active_request, "length", Usage())
        return outcome is RecoveryOutcome.RESUMES

    def prefill_servers(self) -> int:
        """The number of servers that can prefill."""
        servers = self.runtime.registry.servers.values()
        return sum(s.status is EndpointStatus.READY and s.role is not Role.DECODE for s in servers)

    def resume(self) -> None:
        """Resumes the broken streams that are due, and fails those that have waited too long."""
        ready, late = self.runtime.stream_recovery.next(now_ms())
        for active_request in ready:
            self.runtime.dispatch(messages.ResumeStream(active_request.request))
        for active_request in late:
            self.runtime.finish_request(active_request, Failed(active_request.why or "the stream broke"))
            self.runtime.dispatch(messages.ClientDisconnected(active_request.request))
        due_ms = self.runtime.stream_recovery.due(now_ms())
        if due_ms < self.due_ms:
            self.due_ms = due_ms
            self.runtime.call_at(due_ms, self.resume_due)

    def resume_due(self) -> None:
        """Runs the check that `resume` scheduled."""
        self.due_ms = inf
        self.resume()
