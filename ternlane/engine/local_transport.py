"""The transport of engines in the same process: direct calls, no bytes."""

from __future__ import annotations

from collections.abc import AsyncIterator, Awaitable, Callable

import trio

from ternlane.engine.attempt import AttemptRequest, AttemptResult, TextSink, record_cancellation, start_timeout
from ternlane.engine.errors import AttemptRejectedError, ClientGone, EngineUnreachableError
from ternlane.engine.local_engine import LocalEngine
from ternlane.engine.messages import Usage
from ternlane.engine.transport import Transport
from ternlane.http1 import extend_deadline
from ternlane.policy.messages import AttemptOutcome


class LocalTransport(Transport):
    """Direct calls to engines by their ids, for a library's users and for tests."""

    def __init__(self, engines: dict[str, LocalEngine]) -> None:
        self.engines = engines

    async def read(self, ask: AttemptRequest) -> AttemptResult:
        """Has the engine read the prompt."""
        result = AttemptResult(AttemptOutcome.TIMED_OUT)

        async def call() -> None:
            """The engine's own code."""
            prefill = await self._engine(ask).read(ask)
            result.outcome = AttemptOutcome.PREFILLED
            result.state = prefill.state
            result.report = prefill.report
            result.usage = Usage(prefill.prompt_tokens, 0, prefill.prompt_tokens)

        return await self._run(ask, result, call)

    async def stream(self, ask: AttemptRequest, pass_on: TextSink) -> AttemptResult:
        """Has the engine write; a piece counts as a token. Raises ClientGone where `pass_on` does."""
        result = AttemptResult(AttemptOutcome.TIMED_OUT)
        last_s = trio.current_time() + ask.plan.total_timeout_ms / 1000

        async def call() -> None:
            """The engine's own code, and the client's side of each piece."""
            pieces = self._engine(ask).write(ask)
            try:
                written = await self._forward(pieces, ask, result, pass_on, last_s)
            finally:
                await close_iterator(pieces)
            if not result.begun:  # an answer of no tokens has begun with its end
                result.begun = True
                await pass_on("", True)
            result.outcome = AttemptOutcome.STREAMED
            result.usage = Usage(0, written, written)

        return await self._run(ask, result, call)

    async def _forward(
        self, pieces: AsyncIterator[str], ask: AttemptRequest, result: AttemptResult, pass_on: TextSink, last_s: float
    ) -> int:
        """Passes the engine's pieces on, and gives their number."""
        scope = ask.plan.scope
        written = 0
        async for text in pieces:
            if not result.begun:
                await extend_deadline(scope, last_s)
            first = not result.begun
            result.begun = True
            written += 1
            scope.deadline = last_s  # a slow client is not the engine's silence
            await pass_on(text, first)
            scope.deadline = min(last_s, trio.current_time() + ask.plan.idle_timeout_ms / 1000)
            await trio.lowlevel.checkpoint()
        return written

    def _engine(self, ask: AttemptRequest) -> LocalEngine:
        try:
            return self.engines[ask.server]
        except KeyError:
            raise EngineUnreachableError(f"no engine {ask.server!r}") from None

    @staticmethod
    async def _run(ask: AttemptRequest, result: AttemptResult, call: Callable[[], Awaitable[None]]) -> AttemptResult:
        start_timeout(ask.plan)
        try:
            with ask.plan.scope:
                await call()
        except AttemptRejectedError as error:
            result.outcome = AttemptOutcome.OVERLOADED
            result.state_lost = error.state_lost
            result.why = str(error)
        except EngineUnreachableError as error:
            result.outcome = AttemptOutcome.CONNECT_FAILED
            result.why = str(error)
        except ClientGone:
            raise
        except Exception as error:  # the engine is the caller's code: whatever it raises, it may have run
            result.outcome = AttemptOutcome.ERROR
            result.why = repr(error)
        record_cancellation(ask.plan, result)
        return result

    async def release(
        self, server: str, address: str, ident: str, within_ms: float, protocol: str = "disaggregated"
    ) -> bool:
        """True once the engine's own `release` has returned in time."""
        engine = self.engines.get(server)
        if engine is None:
            return False
        with trio.move_on_after(within_ms / 1000) as scope:
            try:
                await engine.release(ident)
            except Exception:  # the caller's code: unconfirmed, and said so in the log by the runtime
                return False
        return not scope.cancelled_caught

    async def hold(
        self, server: str, address: str, ident: str, tokens: float, within_ms: float, protocol: str = "disaggregated"
    ) -> bool:
        """False: an engine in this process has no place to reserve."""
        return False

    def sweep(self) -> None:
        """Nothing lies idle."""

    def close(self) -> None:
        """Nothing is open."""


async def close_iterator(pieces: AsyncIterator[str]) -> None:
    """Closes an engine's generator, also when its attempt was cancelled: what it holds is freed there."""
    close = getattr(pieces, "aclose", None)
    if close is not None:
        with trio.CancelScope(shield=True):
            await close()
