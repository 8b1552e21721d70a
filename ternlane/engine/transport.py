"""How legs reach the model servers: an interface, and its two kinds.

The host knows nothing of bytes. It hands a transport a `LegAsk` and gets a `LegEnd`; what crosses a socket, or a
function call, is the matter of the transport. Every kind passes the same suite (tests/test_transports.py).
"""

from __future__ import annotations

from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass
from typing import Any, Protocol

import trio

from ternlane.engine.kinds import KINDS
from ternlane.engine.attempt import (
    ClientGone,
    AttemptResult,
    AttemptPlan,
    PassOn,
    hold,
    load,
    prefill_attempt,
    release,
    stream_attempt,
)
from ternlane.engine.protocol import Stage, Usage, load_told
from ternlane.http1 import ConnectionPool, keep_open
from ternlane.policy.messages import Report, AttemptOutcome


@dataclass(slots=True)
class AttemptRequest:
    """One leg: to which server, which stage, what is asked, and for how long (`plan`)."""

    server: str  # its id
    address: str
    stage: Stage
    ident: str  # of the generation
    number: int
    key: str  # under which an engine drops repeats
    raw: dict[str, Any]  # the client's request
    state: dict[str, Any] | None
    max_tokens: int
    plan: AttemptPlan
    protocol: str = "disaggregated"
    goes_on: bool = False  # `raw` ends with what the client has of the answer, to be continued from there


class Transport(Protocol):
    """How legs reach model servers. An implementation never raises for what a server does: it says so in a LegEnd."""

    async def read(self, ask: AttemptRequest) -> AttemptResult:
        """Has a prompt read and its state kept. Never raises but for an outer cancellation."""

    async def stream(self, ask: AttemptRequest, pass_on: PassOn) -> AttemptResult:
        """Has an answer written; each piece goes to `pass_on`. Raises ClientGone where that does."""

    async def release(
        self, server: str, address: str, ident: str, within_ms: float, protocol: str = "disaggregated"
    ) -> bool:
        """Releases what a server holds for a generation; true once it has confirmed."""

    async def hold(
        self, server: str, address: str, ident: str, tokens: float, within_ms: float, protocol: str = "disaggregated"
    ) -> bool:
        """Holds a place ahead at a writer, if one is free at once."""

    async def load(
        self, server: str, address: str, within_ms: float, protocol: str = "disaggregated"
    ) -> tuple[AttemptOutcome, Report | None]:
        """Asks a server how loaded it is, outside any generation; None where it does not say, as here."""
        return AttemptOutcome.ERROR, None

    def sweep(self) -> None:
        """Called now and then: a time to close what lay idle."""

    def close(self) -> None:
        """Nothing is asked any more."""


class Unable(Exception):
    """A server is not asked for what its protocol can't say: nothing ran."""


class SocketTransport(Transport):
    """Engine protocols over HTTP/1.1, each server's by the node list."""

    def __init__(self, pool: ConnectionPool, agent: str) -> None:
        self.pool, self.agent = pool, agent

    def _fill(self, ask: AttemptRequest) -> AttemptPlan:
        """Raises Unable where the server's protocol has no words for it."""
        if ask.goes_on and not KINDS[ask.protocol].goes_on:
            raise Unable("it can't go on with a text")
        ask.plan.headers, ask.plan.body = KINDS[ask.protocol].request(ask, self.agent)
        return ask.plan

    async def read(self, ask: AttemptRequest) -> AttemptResult:
        try:
            return await prefill_attempt(self.pool, self._fill(ask))
        except Unable as why:
            return AttemptResult(AttemptOutcome.OVERLOADED, why=str(why))

    async def stream(self, ask: AttemptRequest, pass_on: PassOn) -> AttemptResult:
        try:
            return await stream_attempt(self.pool, self._fill(ask), pass_on)
        except Unable as why:
            return AttemptResult(AttemptOutcome.OVERLOADED, why=str(why))

    async def release(
        self, server: str, address: str, ident: str, within_ms: float, protocol: str = "disaggregated"
    ) -> bool:
        if not KINDS[protocol].holds_states:
            return True
        return await release(self.pool, address, ident, [("User-Agent", self.agent)], within_ms)

    async def hold(
        self, server: str, address: str, ident: str, tokens: float, within_ms: float, protocol: str = "disaggregated"
    ) -> bool:
        return KINDS[protocol].holds_states and await hold(
            self.pool, address, ident, tokens, [("User-Agent", self.agent)], within_ms
        )

    async def load(
        self, server: str, address: str, within_ms: float, protocol: str = "disaggregated"
    ) -> tuple[AttemptOutcome, Report | None]:
        outcome, text = await load(self.pool, address, [("User-Agent", self.agent)], within_ms)
        return outcome, load_told(text) if outcome is AttemptOutcome.STREAMED else None

    def sweep(self) -> None:
        self.pool.sweep()

    def close(self) -> None:
        self.pool.close()


class AttemptRejectedError(Exception):
    """A local engine turns a leg away: nothing ran. `state_lost` where it has no state to go on with."""

    def __init__(self, why: str = "full", state_lost: bool = False) -> None:
        super().__init__(why)
        self.state_lost = state_lost


class EngineUnreachableError(Exception):
    """A local engine could not be reached: nothing ran."""


@dataclass(slots=True)
class PrefillResult:
    """What a local engine gives for a prompt it has read: a state to hand on, and how much it had to read."""

    state: dict[str, Any]
    prompt_tokens: int
    kept_tokens: int = 0
    report: Report | None = None


class LocalEngine(Protocol):
    """A model server in the same process: three calls, no bytes. Errors of its own mean that it may have run."""

    async def read(self, ask: AttemptRequest) -> PrefillResult:
        """Reads the prompt of `ask.raw` and keeps its state until written or released. Where `ask.goes_on` its last
        message is the beginning of the answer, and counts as read."""

    def write(self, ask: AttemptRequest) -> AsyncIterator[str]:
        """Writes the answer from `ask.state`, or from the prompt where that is None; a piece counts as a token.
        Where `ask.goes_on`, only what comes after the last message."""

    async def release(self, ident: str) -> None:
        """Drops what is kept for a generation; nothing kept is no error."""


class LocalTransport(Transport):
    """Direct calls to engines by their ids, for a library's users and for tests."""

    def __init__(self, engines: dict[str, LocalEngine]) -> None:
        self.engines = engines

    async def read(self, ask: AttemptRequest) -> AttemptResult:
        end = AttemptResult(AttemptOutcome.TIMED_OUT)

        async def run() -> None:
            got = await self._engine(ask).read(ask)
            end.outcome, end.state, end.report = AttemptOutcome.PREFILLED, got.state, got.report
            end.usage = Usage(got.prompt_tokens, 0, got.prompt_tokens)

        return await self._ended(ask, end, run)

    async def stream(self, ask: AttemptRequest, pass_on: PassOn) -> AttemptResult:
        end, plan = AttemptResult(AttemptOutcome.TIMED_OUT), ask.plan
        last, written = trio.current_time() + plan.total_timeout_ms / 1000, 0

        async def run() -> None:
            nonlocal written
            pieces = self._engine(ask).write(ask)
            try:
                async for text in pieces:
                    if not end.begun:
                        await keep_open(plan.scope, last)
                    first, end.begun, written = not end.begun, True, written + 1
                    plan.scope.deadline = last
                    await pass_on(text, first)
                    plan.scope.deadline = min(last, trio.current_time() + plan.idle_timeout_ms / 1000)
                    await trio.lowlevel.checkpoint()
            finally:
                close = getattr(pieces, "aclose", None)
                if close is not None:
                    with trio.CancelScope(shield=True):
                        await close()
            if not end.begun:
                end.begun = True
                await pass_on("", True)
            end.outcome, end.usage = AttemptOutcome.STREAMED, Usage(0, written, written)

        return await self._ended(ask, end, run)

    def _engine(self, ask: AttemptRequest) -> LocalEngine:
        try:
            return self.engines[ask.server]
        except KeyError:
            raise EngineUnreachableError(f"no engine {ask.server!r}") from None

    @staticmethod
    async def _ended(ask: AttemptRequest, end: AttemptResult, run: Callable[[], Awaitable[None]]) -> AttemptResult:
        plan = ask.plan
        plan.scope.deadline = min(plan.scope.deadline, trio.current_time() + plan.timeout_ms / 1000)
        try:
            with plan.scope:
                await run()
        except AttemptRejectedError as why:
            end.outcome, end.state_lost, end.why = AttemptOutcome.OVERLOADED, why.state_lost, str(why)
        except EngineUnreachableError as why:
            end.outcome, end.why = AttemptOutcome.CONNECT_FAILED, str(why)
        except ClientGone:
            raise
        except Exception as why:  # the engine is the caller's code: whatever it raises, it may have run
            end.outcome, end.why = AttemptOutcome.ERROR, repr(why)
        if plan.scope.cancelled_caught:
            end.outcome = AttemptOutcome.CANCELLED if plan.cancelled else AttemptOutcome.TIMED_OUT
            if end.begun and not plan.cancelled:
                end.why = "silent or too slow within the stream"
        return end

    async def release(
        self, server: str, address: str, ident: str, within_ms: float, protocol: str = "disaggregated"
    ) -> bool:
        engine = self.engines.get(server)
        with trio.move_on_after(within_ms / 1000) as scope:
            try:
                if engine is not None:
                    await engine.release(ident)
            except Exception:  # the caller's code: unheard, and said so by the host
                return False
        return engine is not None and not scope.cancelled_caught

    async def hold(
        self, server: str, address: str, ident: str, tokens: float, within_ms: float, protocol: str = "disaggregated"
    ) -> bool:
        return False  # an engine in this process has no place to hold ahead

    def sweep(self) -> None:
        pass

    def close(self) -> None:
        pass
