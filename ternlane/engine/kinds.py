"""Engine protocols that a node list may name. A protocol says how a leg is asked for; what comes back is read alike."""

from __future__ import annotations

from typing import Any, Protocol

import msgspec

from ternlane.engine.protocol import Stage, read_body, whole, write_body

Headers = list[tuple[str, str]]


class Asked(Protocol):
    """What a protocol sees of a leg (`transport.LegAsk`)."""

    stage: Stage
    ident: str
    number: int
    key: str
    raw: dict[str, Any]
    state: dict[str, Any] | None
    max_tokens: int


class EngineProtocol(Protocol):
    holds_states: bool  # is there anything held that can be released?
    goes_on: bool  # can it continue a last message? (continue_final_message, as servers of the field have it)

    def request(self, ask: Asked, agent: str) -> tuple[Headers, bytes]:
        """Headers and body of POST /v1/chat/completions. Raises ValueError for a stage that it does not know."""


class Disaggregated:
    """Readers and writers that hand a state on by kv_transfer_params; mixed ones too."""

    holds_states = goes_on = True

    def request(self, ask: Asked, agent: str) -> tuple[Headers, bytes]:
        headers = [
            ("Content-Type", "application/json"),
            ("X-Request-Id", f"{ask.ident}.{ask.number}"),
            ("User-Agent", agent),
            ("Idempotency-Key", ask.key),
        ]
        if ask.stage is Stage.PREFILL:
            return headers, read_body(ask.raw)
        if ask.stage is Stage.DECODE:
            return headers, write_body(ask.raw, ask.state or {}, ask.max_tokens)
        return headers, msgspec.json.encode(whole(ask.raw, ask.max_tokens))


class PlainChat:
    """Any server of the public chat completions API: it reads and writes whole generations, and nothing of ours is
    asked of it. It keeps no state between legs, and vouches for nothing: only a 429 proves that nothing ran."""

    holds_states = goes_on = False

    def request(self, ask: Asked, agent: str) -> tuple[Headers, bytes]:
        if ask.stage is not Stage.WHOLE:
            raise ValueError("a plain chat server reads and writes in one leg")
        body = whole(ask.raw, ask.max_tokens)
        body.pop("prompt_cache_key", None)  # servers that check their fields refuse it
        return [
            ("Content-Type", "application/json"),
            ("User-Agent", agent),
            ("Accept", "text/event-stream"),
            ("X-Request-Id", f"{ask.ident}.{ask.number}"),
        ], msgspec.json.encode(body)


KINDS: dict[str, EngineProtocol] = {"disaggregated": Disaggregated(), "chat": PlainChat()}
