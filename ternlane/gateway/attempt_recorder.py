"""Records the result of an attempt in the log, the metrics, the request and the learned prompt statistics."""

from __future__ import annotations

from ternlane.chat import RequestIntake
from ternlane.engine import AttemptResult, Stage
from ternlane.event_loop import now_ms
from ternlane.gateway.active_request import ActiveRequest
from ternlane.gateway.attempts import count_tokens
from ternlane.gateway.metrics import OUTCOME_LABELS, STAGE_LABELS
from ternlane.gateway.runtime_port import RuntimePort
from ternlane.policy.messages import AttemptOutcome, Server
from ternlane.wire_names import OUTCOME_NAMES


class AttemptRecorder:
    """Records each attempt's result before the router gets it."""

    def __init__(self, runtime: RuntimePort, intake: RequestIntake) -> None:
        self.runtime = runtime
        self.intake = intake

    def record(
        self, active_request: ActiveRequest, server: Server, stage: Stage, result: AttemptResult, took_ms: float
    ) -> None:
        """Records one result; a prefill that is of no use to a resumed stream becomes an error in `result`."""
        ident = self.runtime.registry.endpoints[server].ident
        self.log(active_request, ident, stage, result, took_ms)
        self.check_prefill(active_request, result)
        self.learn_usage(active_request, stage, result, took_ms)
        if result.outcome is AttemptOutcome.PREFILLED:
            active_request.state = result.state
        elif result.why:
            active_request.why = f"{ident}: {result.why}"

    def log(
        self, active_request: ActiveRequest, ident: str, stage: Stage, result: AttemptResult, took_ms: float
    ) -> None:
        """Adds the result to the request's attempt log, the metrics and the log."""
        stage_name = STAGE_LABELS[stage].upper()
        outcome_name = OUTCOME_NAMES[result.outcome]
        active_request.attempt_log.append(f"{ident} {stage_name} {outcome_name}")
        self.runtime.metrics.attempts.labels(STAGE_LABELS[stage], OUTCOME_LABELS[result.outcome]).inc()
        self.runtime.log.debug(
            "leg",
            gen=active_request.ident,
            leg=active_request.attempts - 1,
            server=ident,
            stage=stage_name,
            verdict=outcome_name,
            took_ms=round(took_ms, 1),
            why=result.why,
        )

    @staticmethod
    def check_prefill(active_request: ActiveRequest, result: AttemptResult) -> None:
        """Turns a prefill for a resumed stream into an error if the server read only the prompt, without the text
        sent so far: the decode server would start the answer over, and the client would get its beginning twice."""
        if result.outcome is not AttemptOutcome.PREFILLED or result.usage is None:
            return
        if not active_request.join.prefill_covers_text(
            result.usage.prompt_tokens, active_request.reported_prompt_tokens
        ):
            result.outcome = AttemptOutcome.ERROR
            result.why = "it read no more than the prompt, and can't go on with the text"

    def learn_usage(self, active_request: ActiveRequest, stage: Stage, result: AttemptResult, took_ms: float) -> None:
        """Records the attempt's token usage. Learns the prompt's length from it, unless the stream has been resumed:
        the prompt may then include text of the answer."""
        attempt_tokens = count_tokens(stage, result, active_request.join.attempt_pieces)
        active_request.usage_by_attempt.append(attempt_tokens)
        if result.usage is None or active_request.join.resumed:
            return
        self.intake.learn_prompt(active_request.intake_record, result.usage.prompt_tokens)
        if stage is not Stage.DECODE:  # a decode server that fetched a state does not know them
            active_request.reported_prompt_tokens = result.usage.prompt_tokens
            active_request.reported_cached_tokens = attempt_tokens.cached
            self.runtime.stream_recovery.record_prefill(
                now_ms(), attempt_tokens.prompt - attempt_tokens.cached, took_ms
            )
