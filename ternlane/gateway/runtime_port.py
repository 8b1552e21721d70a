"""The interface of the gateway's runtime for its parts, so that these need not import it."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

import trio

from ternlane.discovery import EndpointRegistry
from ternlane.engine import Transport, Usage
from ternlane.gateway.active_request import ActiveRequest, Failed, Rejected, Streamed
from ternlane.gateway.journal_writer import JournalWriter
from ternlane.gateway.metrics import GatewayMetrics
from ternlane.policy import messages
from ternlane.recovery import StreamRecovery


class RuntimePort(Protocol):
    """The runtime as its parts see it. Times are in ms of the event loop's clock."""

    router_config: messages.RouterConfig
    transport: Transport
    registry: EndpointRegistry
    nursery: trio.Nursery
    metrics: GatewayMetrics
    log: Any
    stream_recovery: StreamRecovery[ActiveRequest]
    journal_writer: JournalWriter | None
    active_requests: dict[messages.Request, ActiveRequest]
    within_budget: Callable[[ActiveRequest], bool]

    def dispatch(self, event: messages.Event) -> None:
        """Dispatches an event to the router."""

    def on_fault(self, fault: Exception) -> None:
        """Logs a defect in this program or in the transport."""

    def call_at(self, when_ms: float, call: Callable[[], None]) -> None:
        """Calls `call` at this time."""

    def finish_request(self, active_request: ActiveRequest, final: Rejected | Failed | Streamed) -> None:
        """Sets the final answer."""

    def settle_streamed(self, active_request: ActiveRequest, finish: str, usage: Usage | None) -> None:
        """Sets the complete answer as the final one."""

    def resume_streams(self) -> None:
        """Resumes the broken streams that are due."""
