"""The protocol of servers that implement only the public chat completions API."""

from __future__ import annotations

import msgspec

from ternlane.engine.attempt import AttemptRequest, Stage
from ternlane.engine.protocols.base import EngineProtocol, Headers
from ternlane.engine.request_body import combined_body


class PlainChatProtocol(EngineProtocol):
    """A server that prefills and decodes in one attempt, without any extension of ternlane's. It keeps no state between
    attempts, and only its status 429 proves that nothing ran."""

    holds_states = False
    goes_on = False

    def request(self, ask: AttemptRequest, agent: str) -> tuple[Headers, bytes]:
        """The headers and body of an attempt. Raises ValueError for any stage but WHOLE."""
        if ask.stage is not Stage.WHOLE:
            raise ValueError("a plain chat server prefills and decodes in one attempt")
        body = combined_body(ask.raw, ask.max_tokens)
        body.pop("prompt_cache_key", None)  # servers with strict validation reject it
        headers = [
            ("Content-Type", "application/json"),
            ("User-Agent", agent),
            ("Accept", "text/event-stream"),
            ("X-Request-Id", f"{ask.ident}.{ask.number}"),
        ]
        return headers, msgspec.json.encode(body)
