"""What is learnt of times: how long each stage of a request usually takes, and how fast servers prefill.

All of it is running means over this gateway's own attempts. Times are milliseconds.
"""

from __future__ import annotations

from math import inf

from ternlane.policy.attempt import InFlightAttempt, Stage
from ternlane.policy.limits import DEFAULT_SLO_MS
from ternlane.policy.messages import AttemptEnded, AttemptOutcome, Request, RequestClass

# Weight of a new sample in a running mean: a change shows after about sixteen requests, one odd request does not.
SAMPLE_WEIGHT = 1 / 16
# Before the first sample, a prefill and a first token are thought to take an eighth of the latency objective each.
INITIAL_STAGES_PER_SLO = 8
# Before the first sample, an answer is thought to have this many tokens.
INITIAL_STREAM_TOKENS = 50
# Before the first sample, so many tokens are thought to be prefilled within the latency objective.
INITIAL_TOKENS_PER_SLO = 10e3
# Only prefills of more uncached tokens teach the pace: shorter ones measure queues and batch steps.
MIN_PACE_SAMPLE_TOKENS = 1000.0
# The pace follows a faster sample sooner than a slower one, as queues make prefills look slow and nothing makes them
# look fast.
FASTER_PACE_WEIGHT = 1 / 4
SLOWER_PACE_WEIGHT = 1 / 64
# Queues are believed to be at most this many times as long as estimated, lest one slow spell shuts all servers out.
MAX_QUEUE_CORRECTION = 4.0


class LatencyModel:
    """The usual times, as learnt so far."""

    def __init__(self, min_slo_ms: float) -> None:
        self.usual_stage_ms: dict[tuple[RequestClass, Stage], float] = {}
        self.last_sample_at: dict[RequestClass, float] = {}
        self.mean_prompt_tokens: dict[RequestClass, float] = {}
        self.prefill_ms_per_token = min_slo_ms / INITIAL_TOKENS_PER_SLO
        self.mean_prefill_ms = 0.0  # prefill work of a mean request, without its wait
        self.queue_trust = 1.0  # how long prefills took, as a multiple of what was expected
        self._mean_expected_ms = min_slo_ms / INITIAL_STAGES_PER_SLO
        self._mean_measured_ms = self._mean_expected_ms

    def usual_ms(self, request_class: RequestClass, stage: Stage) -> float:
        """What the stage usually takes for requests of this class."""
        known = self.usual_stage_ms.get((request_class, stage))
        if known is not None:
            return known
        if stage is Stage.STREAM:
            return request_class.token_slo_ms * INITIAL_STREAM_TOKENS
        return (request_class.slo_ms or DEFAULT_SLO_MS) / INITIAL_STAGES_PER_SLO

    def first_token_ms(self, request_class: RequestClass) -> float:
        """What it usually takes from the start of the prefill to the first token."""
        return self.usual_ms(request_class, Stage.PREFILL) + self.usual_ms(request_class, Stage.FIRST_TOKEN)

    def since_learnt_ms(self, request_class: RequestClass, now: float) -> float:
        """The age of the newest sample of this class; infinite where there is none."""
        return now - self.last_sample_at.get(request_class, -inf)

    def learn(self, request_class: RequestClass, stage: Stage, took_ms: float, now: float) -> None:
        """Takes in how long a stage took."""
        self.last_sample_at[request_class] = now
        before = self.usual_ms(request_class, stage)
        self.usual_stage_ms[request_class, stage] = (1 - SAMPLE_WEIGHT) * before + SAMPLE_WEIGHT * took_ms

    def learn_prompt(self, request: Request) -> None:
        """Takes in the prompt's length."""
        request_class = request.request_class
        mean = self.mean_prompt_tokens.setdefault(request_class, max(request.prompt_tokens, 1.0))
        self.mean_prompt_tokens[request_class] = mean + SAMPLE_WEIGHT * (request.prompt_tokens - mean)

    def learn_prefill(self, attempt: InFlightAttempt, ended: AttemptEnded, now: float) -> None:
        """Takes in a prefill that has ended or timed out. One that timed out took at least as long: were it left out,
        the usual time would stay short, and ever more prefills would time out. But a time-out below the usual time
        says nothing."""
        request = ended.request
        uncached = request.prompt_tokens - ended.kept_tokens
        mean_prompt = self.mean_prompt_tokens.get(request.request_class, request.prompt_tokens)
        usual_ms = ended.took_ms / max(1.0, request.prompt_tokens / mean_prompt)
        completed = ended.outcome is AttemptOutcome.PREFILLED
        if completed or usual_ms > self.usual_ms(request.request_class, Stage.PREFILL):
            self.learn(request.request_class, Stage.PREFILL, usual_ms, now)
        self._learn_queue(attempt.expected_ms, ended.took_ms)
        self.mean_prefill_ms += SAMPLE_WEIGHT * (self.prefill_ms_per_token * uncached - self.mean_prefill_ms)
        if completed and uncached > MIN_PACE_SAMPLE_TOKENS:
            self._learn_pace(ended.took_ms / uncached)

    def _learn_queue(self, expected_ms: float, measured_ms: float) -> None:
        self._mean_expected_ms += SAMPLE_WEIGHT * (expected_ms - self._mean_expected_ms)
        self._mean_measured_ms += SAMPLE_WEIGHT * (measured_ms - self._mean_measured_ms)
        self.queue_trust = min(MAX_QUEUE_CORRECTION, self._mean_measured_ms / self._mean_expected_ms)

    def _learn_pace(self, pace: float) -> None:
        weight = FASTER_PACE_WEIGHT if pace < self.prefill_ms_per_token else SLOWER_PACE_WEIGHT
        self.prefill_ms_per_token += (pace - self.prefill_ms_per_token) * weight

    def keep_only(self, request_classes: set[RequestClass]) -> None:
        """Forgets the classes that a new configuration no longer has, or they would pile up with each reload."""
        self.usual_stage_ms = {key: ms for key, ms in self.usual_stage_ms.items() if key[0] in request_classes}
        for table in (self.mean_prompt_tokens, self.last_sample_at):
            for request_class in table.keys() - request_classes:
                del table[request_class]
