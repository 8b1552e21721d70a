"""Bodies of answers, in the forms of the OpenAI API reference."""

from __future__ import annotations

from typing import Any

import msgspec

from ternlane.chat.beyond import Beyond, More

encode = msgspec.json.encode


class ErrorInfo(msgspec.Struct):
    message: str
    type: str
    param: str | None = None
    code: str | None = None


class ErrorBody(msgspec.Struct):
    error: ErrorInfo


class Delta(msgspec.Struct, omit_defaults=True):
    role: str | None = None
    content: str | None = None


class Choice(msgspec.Struct):
    index: int
    delta: Delta
    finish_reason: str | None
    logprobs: None = None


class Chunk(msgspec.Struct, omit_defaults=True):
    id: str
    object: str
    created: int
    model: str
    choices: list[Choice]
    usage: Any = None


TYPES = {
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
    return encode(ErrorBody(ErrorInfo(why, TYPES.get(status, "server_error"), param, code)))


def chunk(
    ident: str, created: int, model: str, text: str | None, finish: str | None, first: bool, more: More | None = None
) -> bytes:
    """One event; `more` is what it has besides the text."""
    if more:
        said = {
            **({"role": "assistant"} if first else {}),
            **({"content": text} if text else {}),
            **(more.get("delta") or {}),
        }
        return encode(
            {
                "id": ident,
                "object": "chat.completion.chunk",
                "created": created,
                "model": model,
                "choices": [{"index": 0, "delta": said, "finish_reason": finish, "logprobs": more.get("logprobs")}],
            }
        )
    delta = Delta("assistant" if first else None, text)
    return encode(Chunk(ident, "chat.completion.chunk", created, model, [Choice(0, delta, finish)]))


def usage_chunk(ident: str, created: int, model: str, usage: dict[str, Any]) -> bytes:
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
    ident: str, created: int, model: str, text: str, finish: str, usage: dict[str, Any], more: More | None = None
) -> bytes:
    beyond = Beyond()
    beyond.add(more or {})
    return encode(
        {
            "id": ident,
            "object": "chat.completion",
            "created": created,
            "model": model,
            "choices": [
                {"index": 0, "message": beyond.message(text), "logprobs": beyond.logprobs(), "finish_reason": finish}
            ],
            "usage": usage,
        }
    )
