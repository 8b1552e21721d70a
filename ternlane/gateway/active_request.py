"""The state that the gateway keeps of one request in flight."""

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
    """The final answer of a request whose text was forwarded completely."""

    recorded_as: ClassVar[str] = "streamed"  # the outcome's name on the wire, in the ledger and in the journal

    text: str
    finish: str
    usage: dict[str, Any]
    more: Extras | None = None  # tool calls, refusal, reasoning and logprobs


FinalAnswer = Rejected | Failed | Streamed


class ResponseWriter(ABC):
    """Receives the text of an answer. `extra`: additional response headers."""

    def __init__(self) -> None:
        self.extra: list[tuple[str, str]] = []

    @abstractmethod
    async def piece(self, text: str, first: bool, more: Extras | None = None) -> None:
        """Writes one piece of the answer; `more` holds what it has besides text, such as tool calls."""


@dataclass(slots=True, eq=False)
class ActiveRequest:
    """A request in flight. The runtime sets `final` once and cancels `disconnect_scope`, the scope in which the chat
    API waits for the client to disconnect. Times are in ms of the event loop's clock."""

    ident: str
    chat_request: ChatRequest
    intake_record: IntakeRecord
    response_writer: ResponseWriter
    received_ms: float
    key: str  # idempotency key sent to engines
    join: StreamJoin  # the text of all attempts
    repeat_key: str = ""  # the client's Idempotency-Key with its owner; "": none
    body_digest: bytes = b""  # digest of the body, if there is an Idempotency-Key
    journal_id: str = ""  # id in the journal; "": not in the journal
    budget_reservation: Any = None  # tenants.BudgetReservation, settled when the request is done
    usage_by_attempt: list[TokenUsage] = field(default_factory=list)  # known token usage of each attempt
    final: FinalAnswer | None = None
    disconnect_scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    on_finished: Callable[[], None] = lambda: None
    client_gone: bool = False  # the client has disconnected
    admitted_ms: float = 0.0  # when it was handed to the router
    begun: bool = False  # the client has received part of the answer
    streaming: bool = False  # the current attempt has begun to stream
    reported_prompt_tokens: int = 0  # prompt tokens, as the first engine that reported usage counted them
    reported_cached_tokens: int = 0  # how many of them were cached
    attempts_before_break: int | None = None  # length of `usage_by_attempt` when the stream first broke
    attempt: AttemptPlan | None = None
    attempts: int = 0
    attempt_log: list[str] = field(default_factory=list)  # server, stage and outcome of each attempt
    why: str = ""
    extras: MessageExtras = field(default_factory=MessageExtras)  # parts of the answer other than text
    state: dict[str, Any] | None = None  # KV transfer parameters from the prefill server, passed to a decode server
    holders: dict[Server, None] = field(default_factory=dict)  # servers that may hold KV state for this request

    @property
    def request(self) -> Request:
        """The request as the router sees it."""
        return self.intake_record.request

    @property
    def is_finished(self) -> bool:
        """True once the final answer is set or the client has disconnected: no answer is due any more."""
        return self.final is not None or self.client_gone

    @property
    def unanswered(self) -> bool:
        """True while the client is connected and has received nothing of its answer."""
        return self.final is None and not self.client_gone and not self.begun

    @property
    def deadline_ms(self) -> float:
        """The time by which the client must have its answer."""
        return self.admitted_ms + self.request.client_timeout_ms

    @property
    def pieces(self) -> list[str]:
        """The text that the client has received, in pieces as forwarded."""
        return self.join.pieces

    def answer_for_repeats(self) -> FinalAnswer | None:
        """The answer for later requests with the same Idempotency-Key; None if such a request may run again."""
        outcome = "left" if self.final is None else self.final.recorded_as
        match repeat_policy(self.request.request_class.effect, outcome, self.attempts):
            case RepeatPolicy.RUN_AGAIN:
                return None
            case RepeatPolicy.OUTCOME_UNKNOWN:
                return Failed("the first client left; it may have run")
        return self.final

    def settle(self, final: FinalAnswer) -> bool:
        """Sets the final answer; returns False if there is one already or the client has disconnected."""
        if self.is_finished:
            return False
        self.final = final
        self.disconnect_scope.cancel()
        self.on_finished()
        return True
