"""The transport to engines in the same process, by direct calls."""

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
from ternlane.policy.stream_limits import stream_limits


class LocalTransport(Transport):
    """Direct calls to engines by their ids, for users of the library and for tests. As in the public `Transport` and
    `LocalEngine`, `read` is the prefill, `write` the decode, `hold` the reservation and `ask` the request."""

    def __init__(self, engines: dict[str, LocalEngine]) -> None:
        self.engines = engines

    async def read(self, ask: AttemptRequest) -> AttemptResult:
        """Has the engine prefill the prompt."""
        result = AttemptResult(AttemptOutcome.TIMED_OUT)

        async def call() -> None:
            """Runs the engine's code."""
            prefill = await self._engine(ask).read(ask)
            result.outcome = AttemptOutcome.PREFILLED
            result.state = prefill.state
            result.report = prefill.report
            result.usage = Usage(prefill.prompt_tokens, 0, prefill.prompt_tokens)

        return await self._run(ask, result, call)

    async def stream(self, ask: AttemptRequest, pass_on: TextSink) -> AttemptResult:
        """Has the engine generate the answer; each piece counts as a token. Raises ClientGone if `pass_on` does."""
        result = AttemptResult(AttemptOutcome.TIMED_OUT)
        deadline_s = trio.current_time() + ask.plan.total_timeout_ms / 1000

        async def call() -> None:
            """Runs the engine's code, and forwards each piece to the client."""
            pieces = self._engine(ask).write(ask)
            try:
                piece_count = await self._forward(pieces, ask, result, pass_on, deadline_s)
            finally:
                await close_iterator(pieces)
            if not result.begun:  # for an empty answer, the first piece is an empty one at its end
                result.begun = True
                await pass_on("", True)
            result.outcome = AttemptOutcome.STREAMED
            result.usage = Usage(0, piece_count, piece_count)

        return await self._run(ask, result, call)

    async def _forward(
        self,
        pieces: AsyncIterator[str],
        ask: AttemptRequest,
        result: AttemptResult,
        pass_on: TextSink,
        deadline_s: float,
    ) -> int:
        """Forwards the engine's pieces; returns their number. Raises StreamLimitExceededError."""
        scope = ask.plan.scope
        limits = stream_limits(ask.max_tokens)
        piece_count = 0
        size_bytes = 0
        async for text in pieces:
            if not result.begun:
                await extend_deadline(scope, deadline_s)
            first = not result.begun
            result.begun = True
            piece_count += 1
            size_bytes += len(text.encode("utf-8", "surrogatepass"))
            limits.check(piece_count, size_bytes)
            scope.deadline = deadline_s  # the time of a slow client does not count as the engine's
            await pass_on(text, first)
            scope.deadline = min(deadline_s, trio.current_time() + ask.plan.idle_timeout_ms / 1000)
            await trio.lowlevel.checkpoint()
        return piece_count

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
        except Exception as error:  # the engine is the caller's code: with any exception it may have run
            result.outcome = AttemptOutcome.ERROR
            result.why = repr(error)
        record_cancellation(ask.plan, result)
        return result

    async def release(
        self, server: str, address: str, ident: str, within_ms: float, protocol: str = "disaggregated"
    ) -> bool:
        """Calls the engine's `release`; true if it returned within the time limit, false also if there is no such
        engine or it raised."""
        engine = self.engines.get(server)
        if engine is None:
            return False
        with trio.move_on_after(within_ms / 1000) as scope:
            try:
                await engine.release(ident)
            except Exception:  # the caller's code; the runtime logs that the release is not confirmed
                return False
        return not scope.cancelled_caught

    async def hold(
        self, server: str, address: str, ident: str, tokens: float, within_ms: float, protocol: str = "disaggregated"
    ) -> bool:
        """Returns false, as local engines have nothing to reserve."""
        return False

    def sweep(self) -> None:
        """Does nothing, as there are no connections."""

    def close(self) -> None:
        """Does nothing, as there are no connections."""


async def close_iterator(pieces: AsyncIterator[str]) -> None:
    """Closes an engine's generator, also after a cancellation, so that it can free its resources."""
    close = getattr(pieces, "aclose", None)
    if close is not None:
        with trio.CancelScope(shield=True):
            await close()
