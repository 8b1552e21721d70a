"""What an answer has besides its text: tool calls, a refusal, reasoning, probabilities. Engines stream it in pieces, as
the OpenAI API reference has them; a whole answer has them put together. Free of I/O."""

from __future__ import annotations

from typing import Any

TEXTS = ("refusal", "reasoning_content", "reasoning")  # fields of a delta whose pieces are joined end to end
More = dict[str, Any]  # {"delta": further fields of a delta, "logprobs": of its tokens}


class Beyond:
    """Puts the pieces together. Truth: is there anything?"""

    def __init__(self) -> None:
        self.texts: dict[str, str] = {}
        self.calls: dict[int, dict[str, Any]] = {}
        self.probs: dict[str, list[Any]] = {}

    def __bool__(self) -> bool:
        return bool(self.texts or self.calls or self.probs)

    def add(self, more: More) -> None:
        delta = more.get("delta") or {}
        for name in TEXTS:
            if isinstance(delta.get(name), str):
                self.texts[name] = self.texts.get(name, "") + delta[name]
        for call in delta.get("tool_calls") or ():
            self.call(call)
        for name, said in (more.get("logprobs") or {}).items():
            if isinstance(said, list):
                self.probs.setdefault(name, []).extend(said)

    def call(self, piece: dict[str, Any]) -> None:
        """A piece of the call at its `index`: name and id come whole, arguments bit by bit."""
        it = self.calls.setdefault(int(piece.get("index", len(self.calls))), {"type": "function", "function": {}})
        for name in ("id", "type"):
            if piece.get(name):
                it[name] = piece[name]
        function = piece.get("function") or {}
        if function.get("name"):
            it["function"]["name"] = function["name"]
        it["function"]["arguments"] = it["function"].get("arguments", "") + (function.get("arguments") or "")

    def message(self, text: str) -> dict[str, Any]:
        """The assistant's message; its content is null where it has calls and no text."""
        out: dict[str, Any] = {
            "role": "assistant",
            "content": text or (None if self.calls else ""),
            "refusal": None,
            **self.texts,
        }
        if self.calls:
            out["tool_calls"] = [it for _, it in sorted(self.calls.items())]
        return out

    def echoed(self, text: str) -> dict[str, Any]:
        """The message as clients send it back in the next turn."""
        return {k: v for k, v in self.message(text).items() if k not in TEXTS}

    def logprobs(self) -> dict[str, Any] | None:
        return dict(self.probs) or None

    def whole(self) -> More:
        """All of it as one piece, to be told again."""
        delta: dict[str, Any] = dict(self.texts)
        if self.calls:
            delta["tool_calls"] = [{"index": i, **it} for i, it in sorted(self.calls.items())]
        return {"delta": delta, **({"logprobs": self.probs} if self.probs else {})}
