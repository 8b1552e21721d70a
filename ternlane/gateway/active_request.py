"""One generation on the gateway, between its client and the decisions."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass, field
from typing import Any, Callable, ClassVar

import trio

from ternlane.chat import ChatAsk, Keep, Known, kept_for_repeats
from ternlane.chat.beyond import Beyond, More
from ternlane.engine import AttemptPlan
from ternlane.policy.messages import Request, Server
from ternlane.recovery import StreamJoin
from ternlane.tenants.billing import TokenUsage
from ternlane.event_loop import Failed as Failed
from ternlane.event_loop import Rejected as Rejected


@dataclass(slots=True)
class Streamed:
    """The whole answer, as it was forwarded."""

    recorded_as: ClassVar[str] = "streamed"  # the word that the wire, the ledger and the journal have for it

    text: str
    finish: str
    usage: dict[str, Any]
    more: More | None = None  # besides the text


Final = Rejected | Failed | Streamed


class ResponseWriter(ABC):
    """Where a generation's text goes; the door's answers are its kinds. `extra`: further fields of its head."""

    def __init__(self) -> None:
        self.extra: list[tuple[str, str]] = []

    @abstractmethod
    async def piece(self, text: str, first: bool, more: More | None = None) -> None: ...


@dataclass(slots=True, eq=False)
class ActiveRequest:
    """`final` is set once, by the host; the door, which watches for the client's leaving, is then woken."""

    ident: str
    ask: ChatAsk
    known: Known
    response_writer: ResponseWriter
    since: float
    key: str  # under which engines drop repeats
    join: StreamJoin  # its text, over all legs
    repeat_key: str = ""  # Idempotency-Key with its owner; "": none
    mark: bytes = b""  # digest of the body
    noted: str = ""  # its name in the journal
    hold: Any = None  # tenants.BudgetReservation, settled when the ticket is done
    made: list[TokenUsage] = field(default_factory=list)  # by each leg, as far as it is known
    final: Final | None = None
    watch: trio.CancelScope = field(default_factory=trio.CancelScope)
    when_over: Callable[[], None] = lambda: None
    left: bool = False
    taken: float = 0.0  # by the decisions, ms
    begun: bool = False  # the client has a part
    streaming: bool = False  # the present leg streams
    prompt_said: int = 0  # tokens of the prompt, by the first engine that said
    kept_said: int = 0  # of them found kept
    broke_at: int | None = None  # legs in `made` when its stream broke first
    attempt: AttemptPlan | None = None
    attempts: int = 0
    attempt_log: list[str] = field(default_factory=list)  # server and verdict of each leg
    why: str = ""
    beyond: Beyond = field(default_factory=Beyond)  # its text apart
    state: dict[str, Any] | None = None  # as the reader gave it, to hand to a writer
    holders: dict[Server, None] = field(default_factory=dict)  # servers that may hold a state for it

    @property
    def request(self) -> Request:
        return self.known.request

    @property
    def unanswered(self) -> bool:
        return self.final is None and not self.left and not self.begun

    @property
    def deadline_ms(self) -> float:
        return self.taken + self.request.client_timeout_ms

    @property
    def pieces(self) -> list[str]:
        return self.join.pieces

    def for_repeats(self) -> Final | None:
        """What a repeat under its key hears once it has ended; None: it may run."""
        outcome = "left" if self.final is None else self.final.recorded_as
        match kept_for_repeats(self.request.request_class.effect, outcome, self.attempts):
            case Keep.NOTHING:
                return None
            case Keep.UNSURE:
                return Failed("the first client left; it may have run")
        return self.final

    def settle(self, final: Final) -> bool:
        """The one final answer; a second one is refused."""
        if self.final is not None or self.left:
            return False
        self.final = final
        self.watch.cancel()
        self.when_over()
        return True
