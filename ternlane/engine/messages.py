"""Messages from engines in the format of the public chat API (docs/engine-protocol.md). No I/O."""

from __future__ import annotations

from typing import Any

import msgspec

END_OF_STREAM = "[DONE]"
EXTRA_FIELDS = ("tool_calls", "refusal", "reasoning_content", "reasoning")  # of a delta, besides its text


class PromptTokensDetails(msgspec.Struct):
    """Details of the prompt's tokens: how many were found in the engine's prefix cache."""

    cached_tokens: int | None = None


class Usage(msgspec.Struct):
    """Token counts of an engine, in the format of the public API."""

    prompt_tokens: int = 0
    completion_tokens: int = 0
    total_tokens: int = 0
    prompt_tokens_details: PromptTokensDetails | None = None

    def told(self) -> dict[str, Any]:
        """The usage object in the answer to the client."""
        usage: dict[str, Any] = {
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": self.completion_tokens,
            "total_tokens": self.prompt_tokens + self.completion_tokens,
        }
        if self.prompt_tokens_details is not None:
            usage["prompt_tokens_details"] = {"cached_tokens": self.prompt_tokens_details.cached_tokens or 0}
        return usage


def cached_tokens(usage: Usage) -> int:
    """The tokens of the prompt that were found in the prefix cache; 0 if the engine does not report them."""
    if usage.prompt_tokens_details is None:
        return 0
    return usage.prompt_tokens_details.cached_tokens or 0


class PrefillResponse(msgspec.Struct):
    """A prefill server's answer, with the parameters by which a decode server fetches the state."""

    kv_transfer_params: dict[str, Any] | None = None
    usage: Usage | None = None


class StreamDelta(msgspec.Struct):
    """The part of the answer that one event adds."""

    content: str | None = None
    tool_calls: list[dict[str, Any]] | None = None
    refusal: str | None = None
    reasoning_content: str | None = None
    reasoning: str | None = None


class StreamChoice(msgspec.Struct):
    """The choice of an event; a gateway requests one answer only."""

    delta: StreamDelta | None = None
    finish_reason: str | None = None
    logprobs: dict[str, Any] | None = None

    def extras(self) -> dict[str, Any] | None:
        """The fields other than text, in the form of `ternlane.chat.message_extras`; None if there are none."""
        extras: dict[str, Any] = {}
        if self.delta is not None:
            fields = {name: value for name in EXTRA_FIELDS if (value := getattr(self.delta, name))}
            if fields:
                extras["delta"] = fields
        if self.logprobs:
            extras["logprobs"] = self.logprobs
        return extras or None


class StreamChunk(msgspec.Struct):
    """An event of a decode server's stream."""

    choices: list[StreamChoice] = []
    usage: Usage | None = None
    error: Any = None


decode_prefill_response = msgspec.json.Decoder(PrefillResponse).decode
decode_stream_chunk = msgspec.json.Decoder(StreamChunk).decode
