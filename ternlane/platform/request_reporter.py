"""Reports requests to operators: counters, log lines and request histories."""

from __future__ import annotations

from collections import Counter, deque
from typing import Any

from ternlane.event_loop import Failed, Rejected, now_ms
from ternlane.platform.active_request import ActiveRequest, FinalAnswer, Streamed
from ternlane.platform.attempt import AttemptResult
from ternlane.platform.held_states import HeldStateMonitor
from ternlane.platform.open_requests import OpenRequest
from ternlane.platform.request_history import RequestRecord
from ternlane.policy import messages
from ternlane.policy.messages import AttemptOutcome, Role

# Number of finished requests whose attempts and transitions are kept.
KEPT_RECORDS = 512


class RequestReporter:
    """`counts` are totals since the start; the report line logs by how much each has grown."""

    def __init__(self, log: Any) -> None:
        self.log = log
        self.counts: Counter[str] = Counter()
        self.records: deque[RequestRecord] = deque(maxlen=KEPT_RECORDS)
        self.held_states = HeldStateMonitor()
        self.sigterm_ms: float | None = None  # when this gateway received SIGTERM

    # -- requests

    def received(self, active_request: ActiveRequest) -> None:
        """A request was received."""
        self.counts["received"] += 1
        after_ms = self.after_sigterm_ms(active_request)
        after = "" if after_ms is None else f", {after_ms:.0f} ms after SIGTERM"
        active_request.record(f"received, {active_request.request.client_timeout_ms:.0f} ms left{after}")

    def after_sigterm_ms(self, active_request: ActiveRequest) -> float | None:
        """How long after SIGTERM the request was received; None if it was received before, or there was no SIGTERM."""
        if self.sigterm_ms is None or active_request.received_ms < self.sigterm_ms:
            return None
        return round(active_request.received_ms - self.sigterm_ms, 1)

    def finished(self, active_request: ActiveRequest, final: FinalAnswer) -> None:
        """A request has its final answer."""
        outcome = _outcome_name(final)
        if not isinstance(final, Streamed):
            self.counts[f"{outcome} {final.reject_reason.name}"] += 1
            active_request.record(f"{outcome}: {final.reject_reason.name}")
        if now_ms() > active_request.deadline_ms and not active_request.streaming:
            self.counts["late"] += 1
        self.closed(active_request, outcome)

    def closed(self, active_request: ActiveRequest, outcome: str) -> None:
        """A request has ended, with a final answer or because its client disconnected. `outcome`: streamed, broken,
        rejected, failed or client_gone."""
        self.counts[outcome] += 1
        # During a shutdown each finished request is logged, as its history is lost when the process exits.
        log = self.log.debug if self.sigterm_ms is None else self.log.info
        log(
            "closed",
            request_id=active_request.request_id,
            outcome=outcome,
            phase=active_request.phase.value,
            reject_reason=getattr(active_request.final, "reject_reason", messages.RejectReason.UNKNOWN).name,
            attempts=active_request.attempt_log,
            after_sigterm_ms=self.after_sigterm_ms(active_request),
            took_ms=round(now_ms() - active_request.received_ms, 1),
            client_timeout_ms=round(active_request.request.client_timeout_ms),
        )
        active_request.record(f"closed: {outcome}")
        self.records.append(
            RequestRecord(active_request.request_id, outcome, active_request.attempt_log, active_request.history)
        )

    def describe_open(self, active_request: ActiveRequest) -> OpenRequest:
        """Describes a request that has no complete answer yet."""
        now = now_ms()
        return OpenRequest(
            request_id=active_request.request_id,
            phase=active_request.phase,
            age_ms=round(now - active_request.received_ms, 1),
            left_ms=round(active_request.deadline_ms - now, 1),
            attempts=active_request.attempt_count,
            server=active_request.server_name if active_request.attempt is not None else "",
            after_sigterm_ms=self.after_sigterm_ms(active_request),
        )

    # -- attempts

    def attempt_decided(self, active_request: ActiveRequest, timeout_ms: float) -> None:
        """The router has decided on an attempt at a server."""
        last_outcome = active_request.last_outcome
        if last_outcome and last_outcome != AttemptOutcome.PREFILLED.name:
            self.counts[f"retry after {last_outcome}"] += 1
        active_request.record(
            f"attempt {active_request.attempt_count} to {active_request.server_name} decided, "
            f"timeout {timeout_ms:.0f} ms"
        )

    def attempt_ended(
        self, active_request: ActiveRequest, role: Role, result: AttemptResult, took_ms: float, written: bool
    ) -> None:
        """An attempt has ended. Adds its line to the request's attempt log."""
        role_name = "prefill" if role is Role.PREFILL else "decode"
        outcome = result.outcome.name
        server = active_request.server_name
        active_request.attempt_log.append(f"{server} {role_name} {outcome} {took_ms:.0f} ms {result.why}".rstrip())
        written_text = "written" if written else "not written"
        ended = f"attempt {active_request.attempt_count} ended: {role_name} {outcome}, {written_text}: {result.why}"
        active_request.record(ended.rstrip(": "))
        if result.outcome is AttemptOutcome.PREFILLED:
            self.held_states.add(active_request.request_id, server, now_ms())
        elif result.outcome is AttemptOutcome.STREAMED or result.state_lost:
            self.held_states.remove(active_request.request_id, now_ms())
        self.counts[f"{role_name} {outcome}"] += 1
        self.log.debug(
            "attempt",
            request_id=active_request.request_id,
            server=server,
            role=role_name,
            outcome=outcome,
            took_ms=round(took_ms, 1),
            begun=result.begun,
            cached_tokens=result.cached_tokens,
            prompt_tokens=active_request.request.prompt_tokens,
            why=result.why,
        )

    def stream_broke(self, active_request: ActiveRequest, result: AttemptResult) -> None:
        """The client's stream ends before its last event. Counts and logs the reason."""
        reason = "LIMIT" if result.exceeded_limits else result.outcome.name
        self.counts[f"stream broke {reason}"] += 1
        if result.outcome is not AttemptOutcome.CANCELLED:  # by the client
            self.log.warning(
                "stream broke",
                request_id=active_request.request_id,
                server=active_request.server_name,
                reason=reason,
                why=result.why,
            )

    def first_event(self, active_request: ActiveRequest) -> None:
        """The client is about to be sent its first event, which shows that the decode server has taken the state."""
        active_request.record("first event")
        self.held_states.remove(active_request.request_id, now_ms())

    # -- held states

    def release_begins(self, active_request: ActiveRequest, reason: messages.ReleaseReason) -> None:
        """The router has requested the release of the state held for the request."""
        self.counts[f"release {reason.name}"] += 1
        active_request.record(f"release begins: {reason.name}")

    def release_unconfirmed(self, active_request: ActiveRequest, took_ms: float) -> None:
        """No server has confirmed the release in time."""
        self.counts["release unconfirmed"] += 1
        active_request.record("release unconfirmed")
        self.log.warning("release unconfirmed", request_id=active_request.request_id, took_ms=round(took_ms, 1))

    def release_confirmed(self, active_request: ActiveRequest, confirmed_by: str, took_ms: float) -> None:
        """A server has confirmed the release."""
        self.counts["release confirmed"] += 1
        self.held_states.remove(active_request.request_id, now_ms())
        active_request.record(f"release confirmed by {confirmed_by}")
        self.log.debug(
            "release confirmed",
            request_id=active_request.request_id,
            confirmed_by=confirmed_by,
            took_ms=round(took_ms, 1),
        )

    def warn_of_overdue_states(self, release_ms: float) -> None:
        """Logs each state that is held for longer than the release time, once."""
        for overdue in self.held_states.newly_overdue(now_ms(), release_ms):
            self.counts["held overdue"] += 1
            self.log.warning(
                "state held past its release time",
                request_id=overdue.request_id,
                server=overdue.server,
                held_ms=round(overdue.held_ms, 1),
            )


def _outcome_name(final: FinalAnswer) -> str:
    """The name of a final answer in the log; the wire has names of its own (`recorded_as`)."""
    match final:
        case Rejected():
            return "rejected"
        case Failed():
            return "failed"
        case Streamed(is_complete):
            return "streamed" if is_complete else "broken"
