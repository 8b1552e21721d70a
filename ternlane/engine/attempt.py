"""One leg over a socket: what is sent, what comes back, and what its end proves."""

from __future__ import annotations

from dataclasses import dataclass, field
from math import inf
from typing import Any, Awaitable, Callable, Protocol

import h11
import msgspec
import trio

from ternlane.engine.protocol import (
    CHAT_PATH,
    DONE,
    HOLD_PATH,
    LOAD,
    LOAD_PATH,
    NOT_RUN,
    RELEASE_PATH,
    ReadAnswer,
    Usage,
    chunk_in,
    load_of,
    read_answer,
    refusal_of,
)
from ternlane.http1 import ClientConnection, EventReader, ConnectionPool, ConnectError, keep_open
from ternlane.policy.messages import Report, AttemptOutcome
from ternlane.event_loop import StartCheck, always_allowed

ANSWER_LIMIT = 4 * 2**20  # bytes of an engine's plain answer

BROKEN = (trio.BrokenResourceError, trio.ClosedResourceError, OSError)


@dataclass(slots=True)
class AttemptPlan:
    """Where to, under which names, and for how long (ms; `quiet_ms` between the events of a begun stream, `whole_ms`
    from the send to its end)."""

    address: str
    headers: list[tuple[str, str]]
    body: bytes
    timeout_ms: float
    idle_timeout_ms: float
    total_timeout_ms: float = inf
    barred: StartCheck = always_allowed
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    cancelled: bool = False

    def cancel(self) -> None:
        """Ends the wait at once; the leg ends as CALLED_OFF."""
        self.cancelled = True
        self.scope.cancel()


@dataclass(slots=True)
class AttemptResult:
    """How a leg ended. `begun`: its first token had come; `state` is a reader's, to hand on."""

    outcome: AttemptOutcome
    begun: bool = False
    why: str = ""
    state: dict[str, Any] | None = None
    usage: Usage | None = None
    report: Report | None = None
    state_lost: bool = False
    finish: str = "stop"


class PassOn(Protocol):
    """Takes one piece of an answer; `more` is what it has besides text (chat.More)."""

    def __call__(self, text: str, first: bool, more: dict[str, Any] | None = None) -> Awaitable[None]: ...


class Barred(Exception):
    """The leg must not begin any more."""

    def __init__(self, outcome: AttemptOutcome) -> None:
        super().__init__("the client left, the server drains, or the time to begin is over")
        self.outcome = outcome


async def take(pool: ConnectionPool, plan: AttemptPlan) -> ClientConnection:
    """A connection on which the leg may begin; that is asked again after the wait for it. Raises Barred and
    Unconnected."""
    caller = await pool.take(plan.address)
    barred = plan.barred()
    if barred is None:
        return caller
    pool.give_back(caller)  # nothing was asked on it
    raise Barred(barred)


class ClientGone(Exception):
    """The client's side broke while the answer was passed on; says nothing of the engine."""


async def prefill_attempt(pool: ConnectionPool, plan: AttemptPlan) -> AttemptResult:
    """Has a prompt read. Never raises but for an outer cancellation."""
    end = AttemptResult(AttemptOutcome.TIMED_OUT)

    async def run() -> None:
        caller = await take(pool, plan)
        try:
            head = await caller.ask("POST", CHAT_PATH, plan.headers, plan.body)
            body = await caller.body(ANSWER_LIMIT)
            pool.give_back(caller)
        except BaseException:
            caller.close_now()
            raise
        if refused(head, end):
            return
        answer: ReadAnswer = read_answer.decode(body)
        if answer.kv_transfer_params is None:
            end.outcome, end.why = AttemptOutcome.ERROR, "no kv_transfer_params in a reader's answer"
            return
        end.outcome, end.state, end.usage = AttemptOutcome.PREFILLED, answer.kv_transfer_params, answer.usage

    return await ended(plan, end, run)


async def stream_attempt(pool: ConnectionPool, plan: AttemptPlan, pass_on: PassOn) -> AttemptResult:
    """Has an answer written; `pass_on(text, first)` gets each piece, with a third value where it has
    more than text (chat.More). Raises ClientGone where that breaks."""
    end, last = AttemptResult(AttemptOutcome.TIMED_OUT), trio.current_time() + plan.total_timeout_ms / 1000

    async def run() -> None:
        caller = await take(pool, plan)
        whole = False
        try:
            head = await caller.ask("POST", CHAT_PATH, plan.headers, plan.body)
            if refused(head, end):
                await caller.body(ANSWER_LIMIT)
                whole = True
                return
            events = EventReader()
            async for piece in caller.chunks():
                for data in events.feed(piece):
                    if data == DONE:
                        whole = True
                        continue
                    said = chunk_in.decode(data)
                    if said.error is not None:
                        end.outcome, end.why = AttemptOutcome.ERROR, f"the engine says: {str(said.error)[:200]}"
                        return
                    if said.usage is not None:
                        end.usage = said.usage
                    for choice in said.choices[:1]:
                        end.finish = choice.finish_reason or end.finish
                        more, text = choice.more(), choice.delta.content if choice.delta is not None else None
                        if text or more:
                            if not end.begun:
                                await keep_open(plan.scope, last)
                            first, end.begun = not end.begun, True
                            plan.scope.deadline = last  # a slow client is not the engine's silence
                            await (pass_on(text or "", first) if more is None else pass_on(text or "", first, more))
                if end.begun:
                    plan.scope.deadline = min(last, trio.current_time() + plan.idle_timeout_ms / 1000)
            if not whole:
                end.outcome, end.why = AttemptOutcome.RESET, "the stream ended before [DONE]"
                return
            if not end.begun:  # an answer of no tokens has begun with its end
                end.begun = True
                await pass_on("", True)
            end.outcome = AttemptOutcome.STREAMED
        finally:
            if whole:
                pool.give_back(caller)
            else:
                caller.close_now()

    return await ended(plan, end, run)


def refused(head: h11.Response, end: AttemptResult) -> bool:
    said = {name: value.decode("latin-1") for name, value in head.headers if name in (LOAD, NOT_RUN)}
    end.report = load_of(said.get(LOAD))
    if head.status_code == 200:
        return False
    reject_reason = refusal_of(head.status_code, said.get(NOT_RUN))
    end.outcome, end.state_lost = reject_reason.outcome, reject_reason.state_lost
    end.why = f"status {head.status_code} {said.get(NOT_RUN, '')}".strip()
    return True


async def ended(plan: AttemptPlan, end: AttemptResult, run: Callable[[], Awaitable[None]]) -> AttemptResult:
    plan.scope.deadline = min(plan.scope.deadline, trio.current_time() + plan.timeout_ms / 1000)
    try:
        with plan.scope:
            await run()
    except Barred as why:
        end.outcome, end.why = why.outcome, str(why)
    except ConnectError as why:
        end.outcome, end.why = AttemptOutcome.CONNECT_FAILED, str(why)
    except BROKEN as why:
        end.outcome, end.why = AttemptOutcome.RESET, repr(why)
    except h11.RemoteProtocolError as why:  # a torn answer is a broken connection, a wrong one an error
        end.outcome = AttemptOutcome.RESET if "closed" in str(why) else AttemptOutcome.ERROR
        end.why = str(why)
    except (msgspec.DecodeError, UnicodeDecodeError, ValueError) as why:
        end.outcome, end.why = AttemptOutcome.ERROR, f"not understood: {why}"
    if plan.scope.cancelled_caught:
        end.outcome = AttemptOutcome.CANCELLED if plan.cancelled else AttemptOutcome.TIMED_OUT
        if end.begun and not plan.cancelled:
            end.why = end.why or "silent or too slow within the stream"
    return end


async def release(
    pool: ConnectionPool, address: str, ident: str, headers: list[tuple[str, str]], within_ms: float
) -> bool:
    """Releases all that an engine holds for a generation. True if the engine has confirmed it. One that holds nothing
    is asked again while there is time: it may not have ended a read yet that was given up on, and keep its state."""
    body, heard = msgspec.json.encode({"request_id": ident}), False
    with trio.move_on_after(within_ms / 1000):
        while True:
            caller = None
            try:
                caller = await pool.take(address)
                head = await caller.ask("POST", RELEASE_PATH, headers, body)
                await caller.body(ANSWER_LIMIT)
                pool.give_back(caller)
                if head.status_code in (200, 204):
                    return True
                heard = heard or head.status_code == 404
            except (ConnectError, h11.RemoteProtocolError, *BROKEN):
                if caller is not None:
                    caller.close_now()
            except trio.Cancelled:
                if caller is not None:
                    caller.close_now()
                raise
            await trio.sleep(within_ms / 8000)
    return heard


async def once(
    pool: ConnectionPool,
    address: str,
    method: str,
    path: str,
    headers: list[tuple[str, str]],
    body: bytes,
    within_ms: float,
) -> tuple[AttemptOutcome, bytes]:
    """Asks an engine for something small. One try: the answer's body, or how it failed."""
    caller, failed = None, AttemptOutcome.TIMED_OUT
    with trio.move_on_after(within_ms / 1000):
        try:
            caller = await pool.take(address)
            head = await caller.ask(method, path, headers, body)
            answer = await caller.body(ANSWER_LIMIT)
            pool.give_back(caller)
            return (AttemptOutcome.STREAMED, answer) if head.status_code in (200, 204) else (AttemptOutcome.ERROR, b"")
        except ConnectError:
            return AttemptOutcome.CONNECT_FAILED, b""
        except (h11.RemoteProtocolError, *BROKEN):
            failed = AttemptOutcome.RESET
    if caller is not None:
        caller.close_now()
    return failed, b""


async def load(
    pool: ConnectionPool, address: str, headers: list[tuple[str, str]], within_ms: float
) -> tuple[AttemptOutcome, str]:
    """Asks an engine for its metrics: the text, or how it failed."""
    outcome, answer = await once(pool, address, "GET", LOAD_PATH, headers, b"", within_ms)
    return outcome, answer.decode(errors="replace")


async def hold(
    pool: ConnectionPool, address: str, ident: str, tokens: float, headers: list[tuple[str, str]], within_ms: float
) -> bool:
    """Asks a writer to hold a slot and memory for a generation. A place that is not free at once is none."""
    body = msgspec.json.encode({"request_id": ident, "tokens": tokens})
    return (await once(pool, address, "POST", HOLD_PATH, headers, body, within_ms))[0] is AttemptOutcome.STREAMED
