"""Parses the body of POST /v1/chat/completions as the OpenAI API reference describes it."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

import msgspec

ROLES = {"system", "developer", "user", "assistant", "tool", "function"}
MAX_TOKENS = 10_000_000  # of an answer: a larger number is taken for a mistake


class InvalidRequestError(Exception):
    """An invalid request. `status`, `param` and `code` go into the OpenAI error body."""

    def __init__(self, param: str | None, why: str, code: str = "invalid_value", status: int = 400) -> None:
        super().__init__(why)
        self.param = param
        self.why = why
        self.code = code
        self.status = status


@dataclass(slots=True)
class ChatRequest:
    """A validated request. `raw`: the whole body, of which unknown fields are passed on to engines."""

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
    """Canonical bytes of a message, independent of its JSON layout; a list of text parts equals the joined text."""
    content = message.get("content")
    if isinstance(content, list) and all(p.get("type") == "text" for p in content):
        content = "".join(p["text"] for p in content)
    rest = {k: v for k, v in message.items() if k not in ("role", "content") and v is not None}
    tail = msgspec.json.encode(rest, order="sorted") if rest else b""
    text = content.encode("utf-8", "surrogatepass") if isinstance(content, str) else msgspec.json.encode(content)
    role: str = message["role"]
    return role.encode() + b"\x1e" + text + b"\x1e" + tail + b"\x1f"


def check_message(message: Any, at: str) -> None:
    """Checks a message. Raises InvalidRequestError if it is invalid. `at`: its path in the body."""
    if not isinstance(message, dict):
        raise InvalidRequestError(at, f"{at} must be an object", "invalid_type")
    role = message.get("role")
    content = message.get("content")
    if role not in ROLES:
        raise InvalidRequestError(f"{at}.role", f"{at}.role must be one of {', '.join(sorted(ROLES))}")
    if content is None:
        if role != "assistant":
            raise InvalidRequestError(f"{at}.content", f"{at}.content is required", "missing_required_parameter")
    elif isinstance(content, list):
        for i, part in enumerate(content):
            check_part(part, f"{at}.content[{i}]")
    elif not isinstance(content, str):
        raise InvalidRequestError(f"{at}.content", f"{at}.content must be a string or a list of parts", "invalid_type")


def check_part(part: Any, at: str) -> None:
    """Checks a content part. Raises InvalidRequestError if it is invalid."""
    if not isinstance(part, dict) or not isinstance(part.get("type"), str):
        raise InvalidRequestError(at, f"{at} must be an object with a type", "invalid_type")
    if part["type"] == "text" and not isinstance(part.get("text"), str):
        raise InvalidRequestError(f"{at}.text", f"{at}.text must be a string", "invalid_type")


def optional_field(raw: dict[str, Any], name: str, kind: type, what: str) -> Any:
    """The value of a field, or None if it is missing. Raises InvalidRequestError for another type."""
    value = raw.get(name)
    if value is None:
        return None
    if not isinstance(value, kind) or (kind is int and isinstance(value, bool)):
        raise InvalidRequestError(name, f"{name} must be {what}", "invalid_type")
    return value


def parse_chat_request(body: bytes) -> ChatRequest:
    """Parses and validates a body. Raises InvalidRequestError, which names the first invalid field."""
    raw = parse_object(body)
    model = parse_model(raw)
    messages = parse_messages(raw)
    max_tokens = parse_max_tokens(raw)
    if raw.get("n") not in (None, 1):
        raise InvalidRequestError("n", "only one answer a request is given here: n must be 1", "unsupported_value")
    stream = optional_field(raw, "stream", bool, "true or false") or False
    include_usage = parse_include_usage(raw, stream)
    return ChatRequest(
        raw,
        model,
        messages,
        stream,
        include_usage,
        max_tokens,
        texts=canonical_texts(messages),
        user=optional_field(raw, "user", str, "a string"),
        cache_key=optional_field(raw, "prompt_cache_key", str, "a string"),
    )


def parse_object(body: bytes) -> dict[str, Any]:
    """The body as a JSON object. Raises InvalidRequestError."""
    try:
        raw = msgspec.json.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise InvalidRequestError(None, f"the body is not JSON: {error}", "invalid_json") from None
    if not isinstance(raw, dict):
        raise InvalidRequestError(None, "the body must be a JSON object", "invalid_type")
    return raw


def parse_model(raw: dict[str, Any]) -> str:
    """The model's name. Raises InvalidRequestError."""
    model: str | None = optional_field(raw, "model", str, "a string")
    if not model:
        raise InvalidRequestError("model", "model is required", "missing_required_parameter")
    return model


def parse_messages(raw: dict[str, Any]) -> list[dict[str, Any]]:
    """The validated messages. Raises InvalidRequestError."""
    messages: list[dict[str, Any]] | None = optional_field(raw, "messages", list, "a list")
    if not messages:
        raise InvalidRequestError("messages", "messages must hold at least one message", "missing_required_parameter")
    for i, message in enumerate(messages):
        check_message(message, f"messages[{i}]")
    return messages


def parse_max_tokens(raw: dict[str, Any]) -> int | None:
    """The lower of `max_completion_tokens` and `max_tokens`; None if neither is given. Raises
    InvalidRequestError."""
    limits = []
    for name in ("max_completion_tokens", "max_tokens"):
        value = optional_field(raw, name, int, "a whole number")
        if value is None:
            continue
        if not 1 <= value <= MAX_TOKENS:
            raise InvalidRequestError(name, f"{name} must be from 1 to {MAX_TOKENS}", "integer_out_of_range")
        limits.append(value)
    return min(limits, default=None)


def parse_include_usage(raw: dict[str, Any], stream: bool) -> bool:
    """Returns whether the stream ends with a usage event. Raises InvalidRequestError."""
    options = optional_field(raw, "stream_options", dict, "an object")
    if options is None:
        return False
    if not stream:
        raise InvalidRequestError("stream_options", "stream_options goes with stream: true only")
    usage = options.get("include_usage")
    if usage is not None and not isinstance(usage, bool):
        raise InvalidRequestError("stream_options.include_usage", "include_usage must be true or false", "invalid_type")
    return bool(usage)


def canonical_texts(messages: list[dict[str, Any]]) -> list[bytes]:
    """Each message in canonical form. Raises InvalidRequestError."""
    try:
        return [canonical(message) for message in messages]
    except (UnicodeEncodeError, TypeError) as error:
        raise InvalidRequestError("messages", f"a message can't be read: {error}") from None
