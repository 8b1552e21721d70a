"""How attempts reach the model servers: the interface of every transport.

The gateway's runtime knows nothing of bytes. It hands a transport an `AttemptRequest` and gets an `AttemptResult`; what
crosses a socket, or a function call, is the matter of the transport. Every kind passes the same suite
(tests/test_transports.py).
"""

from __future__ import annotations

from typing import Protocol

from ternlane.engine.attempt import AttemptRequest, AttemptResult, TextSink
from ternlane.policy.messages import AttemptOutcome, Report


class Transport(Protocol):
    """How attempts reach model servers. An implementation never raises for what a server does: it says so in an
    AttemptResult. Times are in ms."""

    async def read(self, ask: AttemptRequest) -> AttemptResult:
        """Has a prompt read and its state kept. Never raises but for an outer cancellation."""

    async def stream(self, ask: AttemptRequest, pass_on: TextSink) -> AttemptResult:
        """Has an answer written; each piece goes to `pass_on`. Raises ClientGone where that does."""

    async def release(
        self, server: str, address: str, ident: str, within_ms: float, protocol: str = "disaggregated"
    ) -> bool:
        """Releases what a server holds for a request; true once it has confirmed."""

    async def hold(
        self, server: str, address: str, ident: str, tokens: float, within_ms: float, protocol: str = "disaggregated"
    ) -> bool:
        """Holds a place ahead at a decode server, if one is free at once."""

    async def load(
        self, server: str, address: str, within_ms: float, protocol: str = "disaggregated"
    ) -> tuple[AttemptOutcome, Report | None]:
        """Asks a server how loaded it is, outside any request; None where it does not say, as here."""
        return AttemptOutcome.ERROR, None

    def sweep(self) -> None:
        """Called now and then: a time to close what lay idle."""

    def close(self) -> None:
        """Nothing is asked any more."""
