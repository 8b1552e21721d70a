"""Reads the body of POST /v1/chat/completions, as the OpenAI API reference describes it."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

import msgspec

ROLES = {"system", "developer", "user", "assistant", "tool", "function"}
TOKENS_LIMIT = 10_000_000


class InvalidRequestError(Exception):
    """A request that can't be taken: HTTP status, field and code for OpenAI's error form."""

    def __init__(self, param: str | None, why: str, code: str = "invalid_value", status: int = 400) -> None:
        super().__init__(why)
        self.param, self.why, self.code, self.status = param, why, code, status


@dataclass(slots=True)
class ChatAsk:
    """A checked request. `raw` is the whole body: fields unknown here are passed on to the engines."""

    raw: dict[str, Any]
    model: str
    messages: list[dict[str, Any]]
    stream: bool
    include_usage: bool
    max_tokens: int | None
    user: str | None
    cache_key: str | None
    texts: list[bytes] = field(default_factory=list)  # each message in canonical form


def canonical(message: dict[str, Any]) -> bytes:
    """The same bytes for the same message, however its JSON was laid out; text parts count as their text."""
    content = message.get("content")
    if isinstance(content, list) and all(p.get("type") == "text" for p in content):
        content = "".join(p["text"] for p in content)
    rest = {k: v for k, v in message.items() if k not in ("role", "content") and v is not None}
    tail = msgspec.json.encode(rest, order="sorted") if rest else b""
    said = content.encode("utf-8", "surrogatepass") if isinstance(content, str) else msgspec.json.encode(content)
    role: str = message["role"]
    return role.encode() + b"\x1e" + said + b"\x1e" + tail + b"\x1f"


def check_message(message: Any, at: str) -> None:
    if not isinstance(message, dict):
        raise InvalidRequestError(at, f"{at} must be an object", "invalid_type")
    role, content = message.get("role"), message.get("content")
    if role not in ROLES:
        raise InvalidRequestError(f"{at}.role", f"{at}.role must be one of {', '.join(sorted(ROLES))}")
    if content is None:
        if role != "assistant":
            raise InvalidRequestError(f"{at}.content", f"{at}.content is required", "missing_required_parameter")
    elif isinstance(content, list):
        for i, part in enumerate(content):
            if not isinstance(part, dict) or not isinstance(part.get("type"), str):
                raise InvalidRequestError(
                    f"{at}.content[{i}]", f"{at}.content[{i}] must be an object with a type", "invalid_type"
                )
            if part["type"] == "text" and not isinstance(part.get("text"), str):
                raise InvalidRequestError(
                    f"{at}.content[{i}].text", f"{at}.content[{i}].text must be a string", "invalid_type"
                )
    elif not isinstance(content, str):
        raise InvalidRequestError(f"{at}.content", f"{at}.content must be a string or a list of parts", "invalid_type")


def typed(raw: dict[str, Any], name: str, kind: type, what: str) -> Any:
    value = raw.get(name)
    if value is None:
        return None
    if not isinstance(value, kind) or (kind is int and isinstance(value, bool)):
        raise InvalidRequestError(name, f"{name} must be {what}", "invalid_type")
    return value


def read_chat(body: bytes) -> ChatAsk:
    """Raises InvalidRequestError, which names the field."""
    try:
        raw = msgspec.json.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as why:
        raise InvalidRequestError(None, f"the body is not JSON: {why}", "invalid_json") from None
    if not isinstance(raw, dict):
        raise InvalidRequestError(None, "the body must be a JSON object", "invalid_type")
    model = typed(raw, "model", str, "a string")
    if not model:
        raise InvalidRequestError("model", "model is required", "missing_required_parameter")
    messages = typed(raw, "messages", list, "a list")
    if not messages:
        raise InvalidRequestError("messages", "messages must hold at least one message", "missing_required_parameter")
    for i, message in enumerate(messages):
        check_message(message, f"messages[{i}]")
    limits = []
    for name in ("max_completion_tokens", "max_tokens"):
        value = typed(raw, name, int, "a whole number")
        if value is not None and not 1 <= value <= TOKENS_LIMIT:
            raise InvalidRequestError(name, f"{name} must be from 1 to {TOKENS_LIMIT}", "integer_out_of_range")
        if value is not None:
            limits.append(value)
    if raw.get("n") not in (None, 1):
        raise InvalidRequestError("n", "only one answer a request is given here: n must be 1", "unsupported_value")
    stream = typed(raw, "stream", bool, "true or false") or False
    options = typed(raw, "stream_options", dict, "an object")
    if options is not None and not stream:
        raise InvalidRequestError("stream_options", "stream_options goes with stream: true only")
    usage = (options or {}).get("include_usage")
    if usage is not None and not isinstance(usage, bool):
        raise InvalidRequestError("stream_options.include_usage", "include_usage must be true or false", "invalid_type")
    try:
        texts = [canonical(m) for m in messages]
    except (UnicodeEncodeError, TypeError) as why:
        raise InvalidRequestError("messages", f"a message can't be read: {why}") from None
    return ChatAsk(
        raw,
        model,
        messages,
        stream,
        bool(usage),
        min(limits, default=None),
        typed(raw, "user", str, "a string"),
        typed(raw, "prompt_cache_key", str, "a string"),
        texts,
    )
