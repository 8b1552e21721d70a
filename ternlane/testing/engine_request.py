"""Parses chat requests for a fake engine, and generates their answers."""

from __future__ import annotations

import zlib
from dataclasses import dataclass
from typing import Any

import msgspec

from ternlane.http1 import Exchange, encode_event
from ternlane.testing.engine_profile import EngineFault, Stage
from ternlane.testing.prefix_cache import TOKEN_BYTES

DEFAULT_MAX_TOKENS = 1024
# Factor on the true token counts in an "absurd" usage report.
ABSURD_USAGE_FACTOR = -(10**6)


@dataclass
class EngineRequest:
    """An attempt of a request."""

    request: str
    number: int  # index of the attempt
    stage: Stage
    gateway: str  # name in the User-Agent header
    source: str  # IP address of the gateway
    idempotency_key: str
    body: dict[str, Any]
    prompt: bytes  # the text of all messages

    @property
    def tokens(self) -> float:
        """The number of tokens of the prompt."""
        return len(self.prompt) / TOKEN_BYTES

    @property
    def max_tokens(self) -> int:
        """The maximum number of tokens of the answer."""
        return int(self.body.get("max_tokens") or DEFAULT_MAX_TOKENS)


def parse_request(exchange: Exchange, fault: EngineFault) -> EngineRequest:
    """Parses an attempt. Raises msgspec.DecodeError if the body is not JSON."""
    request, _, number = (exchange.header(b"x-request-id") or "?").rpartition(".")
    body = msgspec.json.decode(exchange.body)
    prompt = "".join(m["content"] for m in body["messages"] if isinstance(m.get("content"), str)).encode()
    if fault.script == "deaf" and body.get("continue_final_message"):  # a server that does not know the field
        prompt = prompt[: len(prompt) - len(body["messages"].pop()["content"].encode())]
        del body["continue_final_message"]
    agent = exchange.header(b"user-agent") or ""
    return EngineRequest(
        request=request,
        number=int(number or 0),
        stage=_stage_of(body),
        gateway=agent[agent.find("(") + 1 : -1],
        source=exchange.peer[0],
        idempotency_key=exchange.header(b"idempotency-key") or request,
        body=body,
        prompt=prompt,
    )


def _stage_of(body: dict[str, Any]) -> Stage:
    params = body.get("kv_transfer_params") or {}
    if params.get("do_remote_decode"):
        return Stage.PREFILL
    if params.get("do_remote_prefill"):
        return Stage.DECODE
    return Stage.BOTH


@dataclass(frozen=True)
class Answer:
    """The text of an answer: the beginning, if the request's last message contains one, and the remaining words."""

    continued: str
    words: list[str]


def answer_of(request: EngineRequest, fault: EngineFault, answer_tokens: tuple[int, int]) -> Answer:
    """Generates the answer. All engines give the same answer to the same prompt.

    A text to be continued that differs from that answer is continued with the words after the common beginning.
    """
    continued = ""
    prompt = request.prompt
    if request.body.get("continue_final_message"):
        continued = request.body["messages"][-1]["content"]
        prompt = prompt[: len(prompt) - len(continued.encode())]
    if fault.script == "other":
        prompt = prompt + b"!"
    least, most = answer_tokens
    count = least + zlib.crc32(prompt) % (most - least + 1)
    words = [f"{zlib.crc32(prompt + bytes([i % 256])) % 9973} " for i in range(count)]
    words = _without_beginning(words, continued)
    return Answer(continued, words[: request.max_tokens])


def _without_beginning(words: list[str], beginning: str) -> list[str]:
    """Removes a beginning, which may end within a word, from the words."""
    rest = list(words)
    while beginning and rest and beginning.startswith(rest[0]):
        beginning = beginning[len(rest.pop(0)) :]
    if beginning and rest and rest[0].startswith(beginning):
        rest[0] = rest[0][len(beginning) :]
    return rest


def word_event(request: EngineRequest, index: int, word: str) -> bytes:
    """The event with one word of the answer."""
    choice = _tool_call_choice(request, index, word) if request.body.get("tools") else _text_choice(request, word)
    event = {"id": request.request, "object": "chat.completion.chunk", "choices": [choice]}
    return encode_event(msgspec.json.encode(event))


def _text_choice(request: EngineRequest, word: str) -> dict[str, Any]:
    choice: dict[str, Any] = {"index": 0, "delta": {"content": word}, "finish_reason": None}
    if request.body.get("logprobs"):
        choice["logprobs"] = {"content": [{"token": word, "logprob": -0.5, "bytes": None, "top_logprobs": []}]}
    return choice


def _tool_call_choice(request: EngineRequest, index: int, word: str) -> dict[str, Any]:
    """A call of the first tool, with the word as a part of its arguments."""
    call: dict[str, Any] = {"index": 0, "function": {"arguments": word}}
    if index == 0:
        name = request.body["tools"][0]["function"]["name"]
        call = {"index": 0, "id": "call_1", "type": "function", "function": {"name": name, "arguments": word}}
    return {"index": 0, "delta": {"tool_calls": [call]}, "finish_reason": None}


def final_events(request: EngineRequest, usage: dict[str, Any] | None) -> bytes:
    """The events with the finish reason and the usage, and the end marker."""
    reason = "tool_calls" if request.body.get("tools") else "stop"
    finish = {"id": request.request, "choices": [{"index": 0, "delta": {}, "finish_reason": reason}]}
    usage_event: dict[str, Any] = {"id": request.request, "choices": [], "usage": usage}
    events = [msgspec.json.encode(finish), msgspec.json.encode(usage_event), b"[DONE]"]
    return b"".join(map(encode_event, events))


def usage_of(fault: EngineFault, tokens: float, cached_tokens: float, answer_tokens: int) -> dict[str, Any] | None:
    """The usage report of an answer; None if the engine reports none."""
    if fault.usage_reporting == "none":
        return None
    factor = ABSURD_USAGE_FACTOR if fault.usage_reporting == "absurd" else 1
    return {
        "prompt_tokens": int(tokens) * factor,
        "completion_tokens": answer_tokens * factor,
        "total_tokens": (int(tokens) + answer_tokens) * factor,
        "prompt_tokens_details": {"cached_tokens": int(cached_tokens)},
    }
