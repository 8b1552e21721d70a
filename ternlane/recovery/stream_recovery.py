"""One gateway's broken streams: what may be resumed, when silence is a stall, whose turn it is. No I/O.

The gateway's runtime tells it what happens and carries out what it says; which server goes on is the decisions' word.
"""

from __future__ import annotations

from collections.abc import Hashable
from enum import Enum, auto
from math import inf
from typing import Any, Generic, TypeVar

from ternlane.config import StreamConfig
from ternlane.policy.messages import Request, RouterConfig
from ternlane.recovery.recovery_pace import RecoveryPace
from ternlane.recovery.replay_buffer import ReplayBuffer
from ternlane.recovery.resume_strategy import ResumeDecision, ResumeStrategy, choose_resume_strategy
from ternlane.recovery.stall_detector import StallDetector
from ternlane.recovery.stream_join import StreamJoin

SAME_READ_MS = 0.2  # pieces closer than that came in one read of the socket: no wait of the engine's
SPAN_SHARE = 1 / 4  # of the longest deadline: for so long work of resumes may be saved up
DEFAULT_DEADLINE_MS = 1000.0  # where no request class is configured
T = TypeVar("T", bound=Hashable)


class RecoveryOutcome(Enum):
    """Of a stream whose attempt broke."""

    RESUMES = auto()  # it waits for its turn
    COMPLETE = auto()  # all of its text had come, but not its end
    ENDS = auto()  # its client keeps a part


def span_ms(router_config: RouterConfig) -> float:
    """For how long work of resumes may be saved up."""
    deadlines = (request_class.deadline_ms for request_class in router_config.request_classes)
    return max(deadlines, default=DEFAULT_DEADLINE_MS) * SPAN_SHARE


class StreamRecovery(Generic[T]):
    """`T`: what the runtime knows a request by. Times are ms."""

    def __init__(self, terms: StreamConfig, router_config: RouterConfig) -> None:
        self.terms = terms
        self.replay_buffer = ReplayBuffer(terms.keep_tokens, terms.keep_bytes, terms.keep_all_bytes)
        self.stall_detector = StallDetector(terms.alarms, router_config.seed)
        self.pace: RecoveryPace[T] = RecoveryPace(terms.share, span_ms(router_config), router_config.gateways)
        self.broken_since_ms: dict[T, float] = {}

    def alter(self, router_config: RouterConfig) -> None:
        """The fleet's figures have changed; what waits keeps its turn."""
        self.pace.span_ms = span_ms(router_config)
        self.pace.gateways = router_config.gateways

    def join(self, raw: dict[str, Any], request: Request) -> StreamJoin:
        """The text of a new request, with the strategy by which its stream may be resumed."""
        decision = ResumeDecision(ResumeStrategy.END, "resuming is off")
        if self.terms.resume:
            decision = choose_resume_strategy(raw, request.request_class.effect, self.terms.continues)
        return StreamJoin(
            decision.strategy, decision.reason, self.replay_buffer, int(request.max_tokens), raw.get("stop")
        )

    # -- an attempt streams

    def first_piece(self, item: T, now: float, since: float) -> float | None:
        """An attempt's first piece, of a request that came at `since`; for how long its client had waited since a break
        (ms), None where there was none."""
        self.pace.resumed(item)
        broken_since = self.broken_since_ms.pop(item, None)
        if broken_since is None:
            self.stall_detector.first_piece(now - since)
            return None
        self.stall_detector.resumed(now - broken_since)
        return now - broken_since

    def record_piece_interval(self, server: Hashable, wait_ms: float, explored: bool) -> None:
        """A further piece, so long after the one before; `explored`: of a stream that is never given up early."""
        if wait_ms > SAME_READ_MS:
            self.stall_detector.record_piece_interval(server, wait_ms, explored)

    def idle_timeout_ms(self, join: StreamJoin, server: Hashable, longest_ms: float, explored: bool) -> float:
        """How long the present attempt may be silent: `longest_ms`, by the decisions, or less for a resumable one."""
        if join.strategy is ResumeStrategy.END or explored or not self.terms.alarms:
            return longest_ms
        return min(longest_ms, self.stall_detector.idle_timeout_ms(server) or longest_ms)

    def server_removed(self, server: Hashable) -> None:
        """A server is no longer listed."""
        self.stall_detector.forget(server)

    def record_prefill(self, now: float, tokens: float, took_ms: float) -> None:
        """A server has prefilled so many tokens of an ordinary prompt."""
        self.pace.record_prefill(now, tokens, took_ms)

    # -- an attempt broke

    def attempt_failed(
        self,
        item: T,
        join: StreamJoin,
        request: Request,
        completion_tokens: int | None,
        now: float,
        deadline_ms: float,
        prefill_servers: int,
    ) -> RecoveryOutcome:
        """`completion_tokens` of the attempt by its engine's word; `deadline_ms`: of the client; `prefill_servers` that
        may be asked. A request that is resumed grows by what is there."""
        tokens_before = join.tokens
        tokens_again = join.attempt_failed(completion_tokens)
        if tokens_again is None:
            return RecoveryOutcome.ENDS
        if join.remaining_tokens() <= 0:  # lost between its last token and its end
            return RecoveryOutcome.COMPLETE
        self.broken_since_ms[item] = now
        request.prompt_tokens += tokens_again - tokens_before
        request.max_tokens = float(join.remaining_tokens())
        self.pace.prefill_servers = prefill_servers
        self.pace.wait(
            item, request.prompt_tokens, request.request_class.priority_weight, float(join.tokens), deadline_ms
        )
        return RecoveryOutcome.RESUMES

    def next(self, now: float) -> tuple[list[T], list[T]]:
        """Which may be resumed now, and which have waited too long."""
        return self.pace.next(now)

    def due(self, now: float) -> float:
        """When to ask `next` again."""
        due = self.pace.due(now)
        return inf if due is None else due

    def ended(self, item: T, join: StreamJoin, complete: bool) -> None:
        """Its final answer is given, or its client has left."""
        if complete:
            self.stall_detector.ended(len(join.pieces))
        join.release_buffer()
        self.broken_since_ms.pop(item, None)
        self.pace.remove(item)
