"""One gateway's broken streams: what may be joined, when silence is a stall, whose turn it is. A host tells it what
happens and carries out what it says; which server goes on is the decisions' word."""

from __future__ import annotations

from collections.abc import Hashable
from enum import Enum, auto
from math import inf
from typing import Any, Generic, TypeVar

from ternlane.config import StreamConfig
from ternlane.policy.messages import Request, RouterConfig
from ternlane.recovery.stream_join import StreamJoin, ReplayBuffer
from ternlane.recovery.recovery_pace import RecoveryPace
from ternlane.recovery.stream_pacing import StreamPacing
from ternlane.recovery.resume_strategy import ResumeStrategy, way_of

SAME_MS = 0.2  # pieces closer than that came in one read
SPAN_SHARE = 1 / 4  # of the longest time limit: what may be saved up for reading anew
T = TypeVar("T", bound=Hashable)


class RecoveryOutcome(Enum):
    """Of a stream whose leg broke: it waits for its turn, it is whole but for its end, or it ends in part."""

    GOES_ON = auto()
    WHOLE = auto()
    ENDS = auto()


class StreamRecovery(Generic[T]):
    """`T`: what the host knows a generation by. Times are ms."""

    def __init__(self, terms: StreamConfig, router_config: RouterConfig) -> None:
        self.terms = terms
        self.replay_buffer = ReplayBuffer(terms.keep_tokens, terms.keep_bytes, terms.keep_all_bytes)
        self.stream_pacing = StreamPacing(terms.alarms, router_config.seed)
        longest = max((p.deadline_ms for p in router_config.request_classes), default=1000.0)
        self.pace: RecoveryPace[T] = RecoveryPace(terms.share, longest * SPAN_SHARE, router_config.gateways)
        self.broke_at: dict[T, float] = {}

    def alter(self, router_config: RouterConfig) -> None:
        """The fleet's figures have changed; what waits keeps its turn."""
        self.pace.span_ms = max((p.deadline_ms for p in router_config.request_classes), default=1000.0) * SPAN_SHARE
        self.pace.gateways = router_config.gateways

    def join(self, raw: dict[str, Any], request: Request) -> StreamJoin:
        way, why = ResumeStrategy.END, "resuming is off"
        if self.terms.resume:
            way, why = way_of(raw, request.request_class.effect, self.terms.continues)
        return StreamJoin(way, why, self.replay_buffer, int(request.max_tokens), raw.get("stop"))

    # -- a leg streams

    def first(self, item: T, now: float, since: float) -> float | None:
        """A leg's first piece, of a generation that came at `since`; how long its client had waited since a break, if
        one there was."""
        self.pace.landed(item)
        broke = self.broke_at.pop(item, None)
        if broke is None:
            self.stream_pacing.first(now - since)
            return None
        self.stream_pacing.resumed(now - broke)
        return now - broke

    def heard(self, server: Hashable, wait_ms: float, explored: bool) -> None:
        if wait_ms > SAME_MS:
            self.stream_pacing.heard(server, wait_ms, explored)

    def idle_timeout_ms(self, join: StreamJoin, server: Hashable, most: float, explored: bool) -> float:
        """How long the present leg may be silent: `most`, by the decisions, or less where it can be joined on."""
        if join.way is ResumeStrategy.END or explored or not self.terms.alarms:
            return most
        return min(most, self.stream_pacing.idle_timeout_ms(server) or most)

    def left(self, server: Hashable) -> None:
        """A server is no longer listed."""
        self.stream_pacing.forget(server)

    def read(self, now: float, tokens: float, took_ms: float) -> None:
        self.pace.read(now, tokens, took_ms)

    # -- a leg broke

    def broke(
        self,
        item: T,
        join: StreamJoin,
        request: Request,
        made: int | None,
        now: float,
        until: float,
        prefill_servers: int,
    ) -> RecoveryOutcome:
        """`made`: tokens of the leg by its engine's word; `until`: the client's time limit; `readers` to be asked.
        A generation that goes on grows by what is there."""
        before = join.tokens
        again = join.broke(made)
        if again is None:
            return RecoveryOutcome.ENDS
        if join.left() <= 0:  # lost between its last token and its end
            return RecoveryOutcome.WHOLE
        self.broke_at[item] = now
        request.prompt_tokens += again - before
        request.max_tokens = float(join.left())
        self.pace.prefill_servers = prefill_servers
        self.pace.wait(item, request.prompt_tokens, request.request_class.priority_weight, float(join.tokens), until)
        return RecoveryOutcome.GOES_ON

    def next(self, now: float) -> tuple[list[T], list[T]]:
        """Which may go on now, and which have waited too long."""
        return self.pace.next(now)

    def due(self, now: float) -> float:
        """When to ask `next` again."""
        at = self.pace.due(now)
        return inf if at is None else at

    def ended(self, item: T, join: StreamJoin, whole: bool) -> None:
        """Its final answer is given, or its client has left."""
        if whole:
            self.stream_pacing.ended(len(join.pieces))
        join.over()
        self.broke_at.pop(item, None)
        self.pace.gone(item)
