"""Recovery of one gateway's broken streams: which may be resumed, when silence is a stall, which is next. No I/O.

The gateway's runtime reports events and carries out the results. The router chooses the server that continues a stream.
"""

from __future__ import annotations

from collections.abc import Hashable
from enum import Enum, auto
from math import inf
from typing import Any, Generic, TypeVar

from ternlane.config import StreamConfig
from ternlane.policy.messages import Request, RouterConfig
from ternlane.recovery.replay_buffer import ReplayBuffer
from ternlane.recovery.resume_limiter import ResumeLimiter
from ternlane.recovery.resume_strategy import ResumeDecision, ResumeStrategy, choose_resume_strategy
from ternlane.recovery.stall_detector import StallDetector
from ternlane.recovery.stream_join import StreamJoin

SAME_READ_MS = 0.2  # closer pieces were read from the socket together, so their interval is not the engine's
WINDOW_DEADLINE_SHARE = 1 / 4  # of the longest deadline
DEFAULT_DEADLINE_MS = 1000.0  # if no request class is configured
T = TypeVar("T", bound=Hashable)


class RecoveryOutcome(Enum):
    """The result of a failed attempt for its stream."""

    RESUMES = auto()  # queued to be resumed
    COMPLETE = auto()  # the client has all of the text; only the end of the stream is missing
    ENDS = auto()  # not resumable: the client keeps a partial answer


def limiter_window_ms(router_config: RouterConfig) -> float:
    """The depth of the resume limiter's bucket, in ms of refill."""
    deadlines = (request_class.deadline_ms for request_class in router_config.request_classes)
    return max(deadlines, default=DEFAULT_DEADLINE_MS) * WINDOW_DEADLINE_SHARE


class StreamRecovery(Generic[T]):
    """Tracks broken streams, and decides which are resumed and when.

    `T`: the runtime's handle of a request. All times are milliseconds."""

    def __init__(self, config: StreamConfig, router_config: RouterConfig) -> None:
        self.config = config
        self.replay_buffer = ReplayBuffer(config.keep_tokens, config.keep_bytes, config.keep_all_bytes)
        self.stall_detector = StallDetector(config.alarms, router_config.seed)
        self.resume_limiter: ResumeLimiter[T] = ResumeLimiter(
            config.share, limiter_window_ms(router_config), router_config.gateways
        )
        self.broken_since_ms: dict[T, float] = {}

    def alter(self, router_config: RouterConfig) -> None:
        """Applies a changed router configuration; queued streams keep their places."""
        self.resume_limiter.window_ms = limiter_window_ms(router_config)
        self.resume_limiter.gateways = router_config.gateways

    def join(self, raw: dict[str, Any], request: Request) -> StreamJoin:
        """The StreamJoin of a new request, with the strategy by which its stream may be resumed."""
        decision = ResumeDecision(ResumeStrategy.END, "resuming is off")
        if self.config.resume:
            decision = choose_resume_strategy(raw, request.request_class.effect, self.config.continues)
        return StreamJoin(
            decision.strategy, decision.reason, self.replay_buffer, int(request.max_tokens), raw.get("stop")
        )

    # -- an attempt streams

    def first_piece(self, handle: T, now: float, arrived_ms: float) -> float | None:
        """Records an attempt's first piece, of a request that arrived at `arrived_ms`; returns how long its client had
        waited since the break (ms), None if there was none."""
        self.resume_limiter.resumed(handle)
        broken_since = self.broken_since_ms.pop(handle, None)
        if broken_since is None:
            self.stall_detector.first_piece(now - arrived_ms)
            return None
        self.stall_detector.resumed(now - broken_since)
        return now - broken_since

    def record_piece_interval(self, server: Hashable, interval_ms: float, exploratory: bool) -> None:
        """Records the interval between two pieces; `exploratory`: of a stream that keeps the router's idle timeout."""
        if interval_ms > SAME_READ_MS:
            self.stall_detector.record_piece_interval(server, interval_ms, exploratory)

    def idle_timeout_ms(self, join: StreamJoin, server: Hashable, longest_ms: float, exploratory: bool) -> float:
        """How long the present attempt may be silent: the router's `longest_ms`, or less if it can be resumed."""
        if join.strategy is ResumeStrategy.END or exploratory or not self.config.alarms:
            return longest_ms
        return min(longest_ms, self.stall_detector.idle_timeout_ms(server) or longest_ms)

    def server_removed(self, server: Hashable) -> None:
        """Drops a server that is no longer listed."""
        self.stall_detector.remove_server(server)

    def record_prefill(self, now: float, tokens: float, took_ms: float) -> None:
        """Records a finished prefill outside resumes; `tokens` are those that were not cached."""
        self.resume_limiter.record_prefill(now, tokens, took_ms)

    # -- an attempt has failed

    def attempt_failed(
        self,
        handle: T,
        join: StreamJoin,
        request: Request,
        completion_tokens: int | None,
        now: float,
        deadline_ms: float,
        prefill_servers: int,
    ) -> RecoveryOutcome:
        """Queues the stream to be resumed, if that is possible. Its request then also covers the text that is already
        there. `completion_tokens`: of the attempt, as its engine counted them; `deadline_ms`: of the client;
        `prefill_servers`: how many accept prompts."""
        tokens_before = join.delivered_tokens
        tokens_to_prefill = join.fail_attempt(completion_tokens)
        if tokens_to_prefill is None:
            return RecoveryOutcome.ENDS
        if join.remaining_tokens() <= 0:  # failed between its last token and its end
            return RecoveryOutcome.COMPLETE
        self.broken_since_ms[handle] = now
        request.prompt_tokens += tokens_to_prefill - tokens_before
        request.max_tokens = float(join.remaining_tokens())
        self.resume_limiter.prefill_servers = prefill_servers
        self.resume_limiter.enqueue(
            handle,
            request.prompt_tokens,
            request.request_class.priority_weight,
            float(join.delivered_tokens),
            deadline_ms,
        )
        return RecoveryOutcome.RESUMES

    def next(self, now: float) -> tuple[list[T], list[T]]:
        """The streams that may be resumed now, and those whose deadline has passed."""
        return self.resume_limiter.next(now)

    def due(self, now: float) -> float:
        """When to call `next` again; infinite if nothing waits."""
        due = self.resume_limiter.due(now)
        return inf if due is None else due

    def ended(self, handle: T, join: StreamJoin, complete: bool) -> None:
        """Drops a request that has its final answer or whose client has left."""
        if complete:
            self.stall_detector.ended(len(join.pieces))
        join.release_buffer()
        self.broken_since_ms.pop(handle, None)
        self.resume_limiter.remove(handle)
