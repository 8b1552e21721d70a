"""The interface of transports, which carry attempts to model servers.

The gateway's runtime hands a transport an `AttemptRequest` and gets an `AttemptResult`, independent of whether sockets
or function calls lie between. All transports pass the same tests (tests/test_transports.py).
"""

from __future__ import annotations

from typing import Protocol

from ternlane.engine.attempt import AttemptRequest, AttemptResult, TextSink
from ternlane.policy.messages import AttemptOutcome, Report


class Transport(Protocol):
    """Carries attempts to model servers. Faults of a server are never raised, but reported in the AttemptResult. Times
    are in ms."""

    async def read(self, ask: AttemptRequest) -> AttemptResult:
        """Has a prompt prefilled and its state kept. Raises nothing but an outer cancellation."""

    async def stream(self, ask: AttemptRequest, pass_on: TextSink) -> AttemptResult:
        """Has an answer generated; each piece goes to `pass_on`. Raises ClientGone if that does."""

    async def release(
        self, server: str, address: str, ident: str, within_ms: float, protocol: str = "disaggregated"
    ) -> bool:
        """Releases everything that a server holds for a request; true once the server has confirmed it."""

    async def hold(
        self, server: str, address: str, ident: str, tokens: float, within_ms: float, protocol: str = "disaggregated"
    ) -> bool:
        """Reserves a place at a decode server for `tokens`; false unless one is free now."""

    async def load(
        self, server: str, address: str, within_ms: float, protocol: str = "disaggregated"
    ) -> tuple[AttemptOutcome, Report | None]:
        """Reads a server's load outside any request; the report is None if there is none, as in this default."""
        return AttemptOutcome.ERROR, None

    def sweep(self) -> None:
        """Called at intervals, to close idle connections."""

    def close(self) -> None:
        """Closes the transport; no calls follow."""
