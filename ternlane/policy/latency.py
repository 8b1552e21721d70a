"""The latency model: the usual time of each stage of a request, and the speed of prefills.

All values are moving averages over the attempts of this gateway. Times are milliseconds.
"""

from __future__ import annotations

from math import inf

from ternlane.policy.attempt import InFlightAttempt, Stage
from ternlane.policy.limits import DEFAULT_SLO_MS
from ternlane.policy.messages import AttemptEnded, AttemptOutcome, Request, RequestClass

# Weight of a new sample in a moving average: a change takes about sixteen requests to show, a single outlier has little
# effect.
SAMPLE_WEIGHT = 1 / 16
# Before the first sample, the prefill and the first token are each assumed to take the latency objective divided by
# this.
INITIAL_STAGES_PER_SLO = 8
# Before the first sample, an answer is assumed to have this many tokens.
INITIAL_STREAM_TOKENS = 50
# Before the first sample, this many tokens are assumed to be prefilled within the latency objective.
INITIAL_TOKENS_PER_SLO = 10e3
# Only prefills with more uncached tokens update the pace (`prefill_ms_per_token`): the time of shorter ones is mostly
# queueing and batch steps.
MIN_PACE_SAMPLE_TOKENS = 1000.0
# Faster samples have more weight in the pace than slower ones, as queueing makes prefills look slower, and nothing
# makes them look faster.
FASTER_PACE_WEIGHT = 1 / 4
SLOWER_PACE_WEIGHT = 1 / 64
# Upper bound of `queue_correction`, so that a period of slow prefills does not make all servers look congested.
MAX_QUEUE_CORRECTION = 4.0


class LatencyModel:
    """The usual times, and the speed of prefills."""

    def __init__(self, min_slo_ms: float) -> None:
        self.usual_stage_ms: dict[tuple[RequestClass, Stage], float] = {}
        self.last_sample_at: dict[RequestClass, float] = {}
        self.mean_prompt_tokens: dict[RequestClass, float] = {}
        self.prefill_ms_per_token = min_slo_ms / INITIAL_TOKENS_PER_SLO
        self.mean_prefill_ms = 0.0  # mean prefill time of a request, without queueing
        self.queue_correction = 1.0  # measured prefill times as a multiple of the expected ones
        self._mean_expected_ms = min_slo_ms / INITIAL_STAGES_PER_SLO
        self._mean_measured_ms = self._mean_expected_ms

    def usual_ms(self, request_class: RequestClass, stage: Stage) -> float:
        """The average time of the stage for this class; before the first sample, an assumed one."""
        mean_ms = self.usual_stage_ms.get((request_class, stage))
        if mean_ms is not None:
            return mean_ms
        if stage is Stage.STREAM:
            return request_class.token_slo_ms * INITIAL_STREAM_TOKENS
        return (request_class.slo_ms or DEFAULT_SLO_MS) / INITIAL_STAGES_PER_SLO

    def first_token_ms(self, request_class: RequestClass) -> float:
        """The usual time from the start of the prefill to the first token."""
        return self.usual_ms(request_class, Stage.PREFILL) + self.usual_ms(request_class, Stage.FIRST_TOKEN)

    def sample_age_ms(self, request_class: RequestClass, now: float) -> float:
        """The age of the latest sample of this class; infinite if there is none."""
        return now - self.last_sample_at.get(request_class, -inf)

    def record_stage(self, request_class: RequestClass, stage: Stage, took_ms: float, now: float) -> None:
        """Records the time of a stage."""
        self.last_sample_at[request_class] = now
        before = self.usual_ms(request_class, stage)
        self.usual_stage_ms[request_class, stage] = (1 - SAMPLE_WEIGHT) * before + SAMPLE_WEIGHT * took_ms

    def record_prompt(self, request: Request) -> None:
        """Records the length of the prompt."""
        request_class = request.request_class
        mean = self.mean_prompt_tokens.setdefault(request_class, max(request.prompt_tokens, 1.0))
        self.mean_prompt_tokens[request_class] = mean + SAMPLE_WEIGHT * (request.prompt_tokens - mean)

    def record_prefill(self, attempt: InFlightAttempt, ended: AttemptEnded, now: float) -> None:
        """Records a prefill that has ended or timed out. A prefill that timed out took at least that long; if it were
        ignored, the usual time would stay too short, and more and more prefills would time out. A time-out shorter than
        the usual time is ignored, as it gives no information."""
        request = ended.request
        uncached = request.prompt_tokens - ended.kept_tokens
        mean_prompt = self.mean_prompt_tokens.get(request.request_class, request.prompt_tokens)
        scaled_ms = ended.took_ms / max(1.0, request.prompt_tokens / mean_prompt)  # as for a prompt of mean length
        completed = ended.outcome is AttemptOutcome.PREFILLED
        if completed or scaled_ms > self.usual_ms(request.request_class, Stage.PREFILL):
            self.record_stage(request.request_class, Stage.PREFILL, scaled_ms, now)
        self._record_queue(attempt.expected_ms, ended.took_ms)
        self.mean_prefill_ms += SAMPLE_WEIGHT * (self.prefill_ms_per_token * uncached - self.mean_prefill_ms)
        if completed and uncached > MIN_PACE_SAMPLE_TOKENS:
            self._record_pace(ended.took_ms / uncached)

    def _record_queue(self, expected_ms: float, measured_ms: float) -> None:
        self._mean_expected_ms += SAMPLE_WEIGHT * (expected_ms - self._mean_expected_ms)
        self._mean_measured_ms += SAMPLE_WEIGHT * (measured_ms - self._mean_measured_ms)
        self.queue_correction = min(MAX_QUEUE_CORRECTION, self._mean_measured_ms / self._mean_expected_ms)

    def _record_pace(self, ms_per_token: float) -> None:
        weight = FASTER_PACE_WEIGHT if ms_per_token < self.prefill_ms_per_token else SLOWER_PACE_WEIGHT
        self.prefill_ms_per_token += (ms_per_token - self.prefill_ms_per_token) * weight

    def keep_only(self, request_classes: set[RequestClass]) -> None:
        """Drops the classes that a new configuration no longer has; otherwise they would accumulate with each
        reload."""
        self.usual_stage_ms = {key: ms for key, ms in self.usual_stage_ms.items() if key[0] in request_classes}
        for table in (self.mean_prompt_tokens, self.last_sample_at):
            for request_class in table.keys() - request_classes:
                del table[request_class]
