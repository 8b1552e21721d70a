"""One request on the gateway, between its client and the decisions."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, ClassVar

import trio

from ternlane.chat import ChatRequest, IntakeRecord, RepeatPolicy, repeat_policy
from ternlane.chat.message_extras import Extras, MessageExtras
from ternlane.engine import AttemptPlan
from ternlane.event_loop import Failed as Failed
from ternlane.event_loop import Rejected as Rejected
from ternlane.policy.messages import Request, Server
from ternlane.recovery import StreamJoin
from ternlane.tenants.billing import TokenUsage


@dataclass(slots=True)
class Streamed:
    """The whole answer, as it was forwarded."""

    recorded_as: ClassVar[str] = "streamed"  # the word that the wire, the ledger and the journal have for it

    text: str
    finish: str
    usage: dict[str, Any]
    more: Extras | None = None  # besides the text


FinalAnswer = Rejected | Failed | Streamed


class ResponseWriter(ABC):
    """Where a request's text goes. `extra`: further fields of its head."""

    def __init__(self) -> None:
        self.extra: list[tuple[str, str]] = []

    @abstractmethod
    async def piece(self, text: str, first: bool, more: Extras | None = None) -> None:
        """Takes one piece; `more` is what it has besides text."""


@dataclass(slots=True, eq=False)
class ActiveRequest:
    """One request in flight. `final` is set once, by the runtime; the chat API, which watches for the client's leaving,
    is then woken. Times are in ms of the event loop's clock."""

    ident: str
    chat_request: ChatRequest
    intake_record: IntakeRecord
    response_writer: ResponseWriter
    since: float
    key: str  # under which engines drop repeats
    join: StreamJoin  # its text, over all attempts
    repeat_key: str = ""  # Idempotency-Key with its owner; "": none
    body_digest: bytes = b""  # digest of the body
    journal_id: str = ""  # its name in the journal
    hold: Any = None  # tenants.Hold, settled when the request is done
    made: list[TokenUsage] = field(default_factory=list)  # by each attempt, as far as it is known
    final: FinalAnswer | None = None
    watch: trio.CancelScope = field(default_factory=trio.CancelScope)
    on_finished: Callable[[], None] = lambda: None
    left: bool = False  # the client has gone
    taken: float = 0.0  # when the decisions heard of it
    begun: bool = False  # the client has a part
    streaming: bool = False  # the present attempt streams
    prompt_said: int = 0  # tokens of the prompt, by the first engine that said
    kept_said: int = 0  # of them found cached
    broke_at: int | None = None  # attempts in `made` when its stream broke first
    attempt: AttemptPlan | None = None
    attempts: int = 0
    attempt_log: list[str] = field(default_factory=list)  # server, stage and outcome of each attempt
    why: str = ""
    extras: MessageExtras = field(default_factory=MessageExtras)  # of the answer, besides its text
    state: dict[str, Any] | None = None  # as the prefill server gave it, to hand to a decode server
    holders: dict[Server, None] = field(default_factory=dict)  # servers that may hold a state for it

    @property
    def request(self) -> Request:
        """The request as the decisions see it."""
        return self.intake_record.request

    @property
    def is_finished(self) -> bool:
        """Has it its final answer, or has its client gone? Nothing is owed any more."""
        return self.final is not None or self.left

    @property
    def unanswered(self) -> bool:
        """Is its client there, and has nothing of its answer yet?"""
        return self.final is None and not self.left and not self.begun

    @property
    def deadline_ms(self) -> float:
        """By when its client has to have the answer."""
        return self.taken + self.request.client_timeout_ms

    @property
    def pieces(self) -> list[str]:
        """The text that the client has, as it came."""
        return self.join.pieces

    def answer_for_repeats(self) -> FinalAnswer | None:
        """What a repeat under its key hears once it has ended; None: it may run."""
        outcome = "left" if self.final is None else self.final.recorded_as
        match repeat_policy(self.request.request_class.effect, outcome, self.attempts):
            case RepeatPolicy.RUN_AGAIN:
                return None
            case RepeatPolicy.OUTCOME_UNKNOWN:
                return Failed("the first client left; it may have run")
        return self.final

    def settle(self, final: FinalAnswer) -> bool:
        """The one final answer; a second one is refused."""
        if self.is_finished:
            return False
        self.final = final
        self.watch.cancel()
        self.on_finished()
        return True
