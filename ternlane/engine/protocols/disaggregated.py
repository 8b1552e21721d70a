"""The protocol of engines with separate prefill and decode."""

from __future__ import annotations

import msgspec

from ternlane.engine.attempt import AttemptRequest, Stage
from ternlane.engine.protocols.base import EngineProtocol, Headers
from ternlane.engine.request_body import combined_body, decode_body, prefill_body


class DisaggregatedProtocol(EngineProtocol):
    """Prefill and decode servers that hand over a state with kv_transfer_params, and mixed servers."""

    holds_states = True
    goes_on = True

    def request(self, ask: AttemptRequest, agent: str) -> tuple[Headers, bytes]:
        """Each stage has its own body; engines drop repeats by the Idempotency-Key."""
        headers = [
            ("Content-Type", "application/json"),
            ("X-Request-Id", f"{ask.ident}.{ask.number}"),
            ("User-Agent", agent),
            ("Idempotency-Key", ask.key),
        ]
        if ask.stage is Stage.PREFILL:
            return headers, prefill_body(ask.raw)
        if ask.stage is Stage.DECODE:
            return headers, decode_body(ask.raw, ask.state or {}, ask.max_tokens)
        return headers, msgspec.json.encode(combined_body(ask.raw, ask.max_tokens))
