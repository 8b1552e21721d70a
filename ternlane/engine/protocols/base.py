"""The interface of engine protocols."""

from __future__ import annotations

from typing import Protocol

from ternlane.engine.attempt import AttemptRequest

Headers = list[tuple[str, str]]


class EngineProtocol(Protocol):
    """How an attempt is encoded; answers have the same form in all protocols."""

    holds_states: bool  # engines keep states that can be released
    goes_on: bool  # engines can continue the last message (continue_final_message)

    def request(self, ask: AttemptRequest, agent: str) -> tuple[Headers, bytes]:
        """Encodes an attempt as headers and body of POST /v1/chat/completions. Raises ValueError for unsupported
        stages."""
