"""From a chat request to a Generation and back to an answer. Free of I/O."""

from ternlane.chat.answers import ErrorBody, answer_body, chunk, error_body, usage_chunk
from ternlane.chat.intake import Intake, Known
from ternlane.chat.prefixes import PrefixIndex
from ternlane.chat.repeats import Busy, Differs, Done, Fresh, Keep, Repeats, kept_for_repeats
from ternlane.chat.request import ChatAsk, InvalidRequestError, read_chat
from ternlane.chat.sessions import Sessions, chain

__all__ = [
    "Busy",
    "ChatAsk",
    "Differs",
    "Done",
    "ErrorBody",
    "Fresh",
    "Intake",
    "Keep",
    "Known",
    "PrefixIndex",
    "Repeats",
    "Sessions",
    "InvalidRequestError",
    "answer_body",
    "chain",
    "chunk",
    "error_body",
    "kept_for_repeats",
    "read_chat",
    "usage_chunk",
]
