"""Builds response bodies and stream events as the OpenAI API reference describes them."""

from __future__ import annotations

from typing import Any

import msgspec

from ternlane.chat.message_extras import Extras, MessageExtras

encode = msgspec.json.encode


class ErrorInfo(msgspec.Struct):
    """The error object of the API."""

    message: str
    type: str
    param: str | None = None
    code: str | None = None


class ErrorBody(msgspec.Struct):
    """The body of an error response."""

    error: ErrorInfo


class Delta(msgspec.Struct, omit_defaults=True):
    """The part of the message that one event adds."""

    role: str | None = None
    content: str | None = None


class Choice(msgspec.Struct):
    """The choice of a stream event."""

    index: int
    delta: Delta
    finish_reason: str | None
    logprobs: None = None


class Chunk(msgspec.Struct, omit_defaults=True):
    """A stream event."""

    id: str
    object: str
    created: int
    model: str
    choices: list[Choice]
    usage: Any = None


ERROR_TYPES = {
    400: "invalid_request_error",
    401: "authentication_error",
    404: "invalid_request_error",
    408: "invalid_request_error",
    409: "conflict_error",
    413: "invalid_request_error",
    422: "invalid_request_error",
    429: "rate_limit_error",
}


def error_body(status: int, why: str, code: str | None, param: str | None = None) -> bytes:
    """The body of an error response; `param` is the invalid field."""
    return encode(ErrorBody(ErrorInfo(why, ERROR_TYPES.get(status, "server_error"), param, code)))


def chunk(
    ident: str, created: int, model: str, text: str | None, finish: str | None, first: bool, more: Extras | None = None
) -> bytes:
    """A stream event; `more` holds what it has besides text, such as tool calls."""
    if more:
        return extended_chunk(ident, created, model, text, finish, first, more)
    delta = Delta("assistant" if first else None, text)
    return encode(Chunk(ident, "chat.completion.chunk", created, model, [Choice(0, delta, finish)]))


def extended_chunk(
    ident: str, created: int, model: str, text: str | None, finish: str | None, first: bool, more: Extras
) -> bytes:
    """A stream event that has more than text."""
    delta: dict[str, Any] = {"role": "assistant"} if first else {}
    if text:
        delta["content"] = text
    delta.update(more.get("delta") or {})
    choice = {"index": 0, "delta": delta, "finish_reason": finish, "logprobs": more.get("logprobs")}
    return encode(
        {"id": ident, "object": "chat.completion.chunk", "created": created, "model": model, "choices": [choice]}
    )


def usage_chunk(ident: str, created: int, model: str, usage: dict[str, Any]) -> bytes:
    """The stream event with the usage of the complete answer."""
    return encode(
        {
            "id": ident,
            "object": "chat.completion.chunk",
            "created": created,
            "model": model,
            "choices": [],
            "usage": usage,
        }
    )


def answer_body(
    ident: str, created: int, model: str, text: str, finish: str, usage: dict[str, Any], more: Extras | None = None
) -> bytes:
    """The body of a complete answer; `more` holds what it has besides text."""
    extras = MessageExtras()
    extras.add(more or {})
    return encode(
        {
            "id": ident,
            "object": "chat.completion",
            "created": created,
            "model": model,
            "choices": [
                {"index": 0, "message": extras.message(text), "logprobs": extras.logprobs(), "finish_reason": finish}
            ],
            "usage": usage,
        }
    )
