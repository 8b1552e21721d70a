"""Parses chat requests into router requests, and builds the bodies of answers. No I/O."""

from ternlane.chat.idempotency_cache import (
    BodyMismatch,
    FirstRequest,
    IdempotencyCache,
    RepeatPolicy,
    RequestInProgress,
    StoredAnswer,
    repeat_policy,
)
from ternlane.chat.intake import IntakeRecord, RequestIntake
from ternlane.chat.prefixes import PrefixIndex
from ternlane.chat.request import ChatRequest, InvalidRequestError, parse_chat_request
from ternlane.chat.response_body import ErrorBody, answer_body, chunk, error_body, usage_chunk
from ternlane.chat.session_index import SessionIndex, prefix_hashes

__all__ = [
    "RequestInProgress",
    "ChatRequest",
    "BodyMismatch",
    "StoredAnswer",
    "ErrorBody",
    "FirstRequest",
    "RequestIntake",
    "RepeatPolicy",
    "IntakeRecord",
    "PrefixIndex",
    "IdempotencyCache",
    "SessionIndex",
    "InvalidRequestError",
    "answer_body",
    "prefix_hashes",
    "chunk",
    "error_body",
    "repeat_policy",
    "parse_chat_request",
    "usage_chunk",
]
