"""Parts of an answer other than text: tool calls, refusal, reasoning and logprobs. Engines stream them in pieces, as
the OpenAI API reference describes; a complete answer has them assembled. No I/O."""

from __future__ import annotations

from typing import Any

TEXT_FIELDS = ("refusal", "reasoning_content", "reasoning")  # string fields of a delta that are concatenated
Extras = dict[str, Any]  # {"delta": additional delta fields, "logprobs": logprobs of its tokens}


class MessageExtras:
    """Assembles the extras of one answer from their pieces. False in a condition while there are none."""

    def __init__(self) -> None:
        self.texts: dict[str, str] = {}
        self.tool_calls: dict[int, dict[str, Any]] = {}
        self.token_logprobs: dict[str, list[Any]] = {}

    def __bool__(self) -> bool:
        return bool(self.texts or self.tool_calls or self.token_logprobs)

    def add(self, more: Extras) -> None:
        """Adds one piece."""
        delta = more.get("delta") or {}
        for name in TEXT_FIELDS:
            if isinstance(delta.get(name), str):
                self.texts[name] = self.texts.get(name, "") + delta[name]
        for call in delta.get("tool_calls") or ():
            self.add_call(call)
        for name, values in (more.get("logprobs") or {}).items():
            if isinstance(values, list):
                self.token_logprobs.setdefault(name, []).extend(values)

    def add_call(self, piece: dict[str, Any]) -> None:
        """Adds a piece of the tool call at its `index`: name and id are complete, arguments are concatenated."""
        index = int(piece.get("index", len(self.tool_calls)))
        call = self.tool_calls.setdefault(index, {"type": "function", "function": {}})
        for name in ("id", "type"):
            if piece.get(name):
                call[name] = piece[name]
        function = piece.get("function") or {}
        if function.get("name"):
            call["function"]["name"] = function["name"]
        call["function"]["arguments"] = call["function"].get("arguments", "") + (function.get("arguments") or "")

    def message(self, text: str) -> dict[str, Any]:
        """The assistant message; `content` is null if there are tool calls and no text."""
        out: dict[str, Any] = {
            "role": "assistant",
            "content": text or (None if self.tool_calls else ""),
            "refusal": None,
            **self.texts,
        }
        if self.tool_calls:
            out["tool_calls"] = [call for _, call in sorted(self.tool_calls.items())]
        return out

    def next_turn_message(self, text: str) -> dict[str, Any]:
        """The message as clients repeat it in the next turn's request."""
        return {k: v for k, v in self.message(text).items() if k not in TEXT_FIELDS}

    def logprobs(self) -> dict[str, Any] | None:
        """The logprobs of all tokens, or None."""
        return dict(self.token_logprobs) or None

    def merged(self) -> Extras:
        """All pieces as one, for replaying a stored answer."""
        delta: dict[str, Any] = dict(self.texts)
        if self.tool_calls:
            delta["tool_calls"] = [{"index": i, **call} for i, call in sorted(self.tool_calls.items())]
        return {"delta": delta, **({"logprobs": self.token_logprobs} if self.token_logprobs else {})}
