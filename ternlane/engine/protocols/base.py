"""What a protocol of engines has to say."""

from __future__ import annotations

from typing import Protocol

from ternlane.engine.attempt import AttemptRequest

Headers = list[tuple[str, str]]


class EngineProtocol(Protocol):
    """How an attempt is asked for; what comes back is read alike for all protocols."""

    holds_states: bool  # is there anything held that can be released?
    goes_on: bool  # can it continue a last message? (continue_final_message, as servers of the field have it)

    def request(self, ask: AttemptRequest, agent: str) -> tuple[Headers, bytes]:
        """Headers and body of POST /v1/chat/completions. Raises ValueError for a stage that it does not know."""
