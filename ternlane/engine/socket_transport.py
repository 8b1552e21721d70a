"""The transport over HTTP/1.1 connections."""

from __future__ import annotations

from ternlane.engine import control_calls
from ternlane.engine.attempt import AttemptPlan, AttemptRequest, AttemptResult, TextSink
from ternlane.engine.errors import UnsupportedAttemptError
from ternlane.engine.load_report import load_from_metrics
from ternlane.engine.prefill_attempt import prefill_attempt
from ternlane.engine.protocols import PROTOCOLS
from ternlane.engine.stream_attempt import stream_attempt
from ternlane.engine.transport import Transport
from ternlane.http1 import ConnectionPool
from ternlane.policy.messages import AttemptOutcome, Report
from ternlane.policy.stream_limits import stream_limits


class SocketTransport(Transport):
    """Engine protocols over HTTP/1.1; the endpoint list names the protocol of each server."""

    def __init__(self, pool: ConnectionPool, agent: str) -> None:
        self.pool = pool
        self.agent = agent
        self._headers = [("User-Agent", agent)]  # of calls other than attempts

    def _fill_plan(self, ask: AttemptRequest) -> AttemptPlan:
        """The plan with headers and body. Raises UnsupportedAttemptError if the protocol does not support it."""
        protocol = PROTOCOLS[ask.protocol]
        if ask.goes_on and not protocol.goes_on:  # the attempt continues a text; the protocol supports that
            raise UnsupportedAttemptError("it can't go on with a text")
        headers, body = protocol.request(ask, self.agent)
        ask.plan.headers = headers
        ask.plan.body = body
        return ask.plan

    async def read(self, ask: AttemptRequest) -> AttemptResult:
        """Has a prompt prefilled; OVERLOADED if the server's protocol does not support it."""
        try:
            return await prefill_attempt(self.pool, self._fill_plan(ask))
        except UnsupportedAttemptError as error:
            return AttemptResult(AttemptOutcome.OVERLOADED, why=str(error))

    async def stream(self, ask: AttemptRequest, pass_on: TextSink) -> AttemptResult:
        """Has an answer generated; OVERLOADED if the server's protocol does not support it. Raises ClientGone."""
        try:
            return await stream_attempt(self.pool, self._fill_plan(ask), pass_on, stream_limits(ask.max_tokens))
        except UnsupportedAttemptError as error:
            return AttemptResult(AttemptOutcome.OVERLOADED, why=str(error))

    async def release(
        self, server: str, address: str, ident: str, within_ms: float, protocol: str = "disaggregated"
    ) -> bool:
        """Releases the state; true at once for a server whose protocol holds no states."""
        if not PROTOCOLS[protocol].holds_states:
            return True
        return await control_calls.release(self.pool, address, ident, self._headers, within_ms)

    async def hold(
        self, server: str, address: str, ident: str, tokens: float, within_ms: float, protocol: str = "disaggregated"
    ) -> bool:
        """Reserves a place; false for a server whose protocol holds no states."""
        if not PROTOCOLS[protocol].holds_states:
            return False
        return await control_calls.reserve(self.pool, address, ident, tokens, self._headers, within_ms)

    async def load(
        self, server: str, address: str, within_ms: float, protocol: str = "disaggregated"
    ) -> tuple[AttemptOutcome, Report | None]:
        """Reads the load from the server's /metrics. Returns the outcome of the call, STREAMED if it was answered, and
        the load then."""
        outcome, text = await control_calls.load(self.pool, address, self._headers, within_ms)
        return outcome, load_from_metrics(text) if outcome is AttemptOutcome.STREAMED else None

    def sweep(self) -> None:
        """Closes connections that have been idle for too long."""
        self.pool.sweep()

    def close(self) -> None:
        """Closes all connections."""
        self.pool.close()
