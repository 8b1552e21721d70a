"""Builds the router's Request from a chat request: its session, shared prefix and estimated length."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from xxhash import xxh3_64_hexdigest, xxh3_64_intdigest, xxh3_128_digest

from ternlane.chat.prefixes import BLOCK, PrefixIndex, blocks
from ternlane.chat.request import ChatRequest, InvalidRequestError, canonical
from ternlane.chat.session_index import SessionIndex, prefix_hashes
from ternlane.policy.messages import Effect, Group, Request, RequestClass, Tenant

DEFAULT_TOKENS_PER_BYTE = 0.25  # until engines have reported token counts; typical of English
RATIO_SMOOTHING = 1 / 32  # weight of a new report in the moving average, which follows some dozens of prompts
MAX_TOKENS_PER_BYTE = 4  # no tokenizer makes more of a byte: larger counts are invalid
MAX_TEMPLATE_TOKENS = 64  # an engine's chat template may add this many to a short prompt
BLOCKS_PER_SESSION = 8  # prefix blocks kept per session of the session limit

EFFECTS = {
    "idempotent": Effect.IDEMPOTENT,
    "deduplicated": Effect.DEDUPLICATED,
    "side-effecting": Effect.SIDE_EFFECTING,
}
GROUPS = {"all": Group.ALL, "zone": Group.ZONE, "cell": Group.CELL}


@dataclass(slots=True, eq=False)
class IntakeRecord:
    """A request with the data that the intake needs when its answer or its usage is known."""

    request: Request
    session: str
    last_hash: bytes
    prompt_bytes: int


class RequestIntake:
    """Builds requests, with the sessions and prefixes that this gateway has seen. `models`: request class by model
    name."""

    def __init__(
        self, models: dict[str, RequestClass], max_tokens: dict[RequestClass, int], session_limit: int
    ) -> None:
        self.models = models
        self.max_tokens = max_tokens
        self.sessions = SessionIndex(2 * session_limit)
        self.prefixes = PrefixIndex(BLOCKS_PER_SESSION * session_limit)
        self.tenants: dict[str, Tenant] = {}  # by owner
        self.tokens_per_byte: dict[RequestClass, float] = {}

    def configure(self, models: dict[str, RequestClass], max_tokens: dict[RequestClass, int]) -> None:
        """Applies changed request classes from the next request on; known sessions and prefixes are kept."""
        self.models = models
        self.max_tokens = max_tokens

    def take(self, chat_request: ChatRequest, client_timeout_ms: float, owner: str = "") -> IntakeRecord:
        """Builds the request. Equal conversations of different owners are different sessions. Raises
        InvalidRequestError for an unknown model."""
        model = chat_request.model
        request_class = self.models.get(model)
        if request_class is None:
            raise InvalidRequestError("model", f"The model `{model}` does not exist", "model_not_found", 404)
        text = b"".join(chat_request.texts)
        hashes = prefix_hashes(chat_request.texts, f"{model}\0{owner}\0{chat_request.user or ''}".encode())
        session = self.select_session(chat_request, owner, hashes)
        prefix, prefix_blocks = self.shared_prefix(text, session)
        ratio = self.tokens_per_byte.get(request_class, DEFAULT_TOKENS_PER_BYTE)
        max_tokens = self.max_tokens[request_class]
        request = Request(
            request_class,
            session,
            prefix,
            prefix_blocks * BLOCK * ratio,
            max(1.0, len(text) * ratio),
            float(min(chat_request.max_tokens or max_tokens, max_tokens)),
            client_timeout_ms,
            not chat_request.stream,
            tenant=self.tenants.setdefault(owner, Tenant()) if owner else None,
        )
        return IntakeRecord(request, session, hashes[-1], len(text))

    def select_session(self, chat_request: ChatRequest, owner: str, hashes: list[bytes]) -> str:
        """The session named by `prompt_cache_key`, else the one of the conversation that the request continues."""
        if not chat_request.cache_key:
            return self.sessions.find_or_add(hashes)
        named = f"{owner}\0{chat_request.user or ''}\0{chat_request.cache_key}"
        return "k" + xxh3_64_hexdigest(named.encode())

    def shared_prefix(self, text: bytes, session: str) -> tuple[str | None, int]:
        """The hash and the length in blocks of the longest prefix that the prompt shares with other sessions."""
        run = blocks(text)
        shared = self.prefixes.match_and_add(run, xxh3_64_intdigest(session.encode()) >> 1)
        return (xxh3_64_hexdigest(run[:shared].tobytes()) if shared else None), shared

    def learn_prompt(self, record: IntakeRecord, prompt_tokens: float) -> None:
        """Learns the ratio of tokens to bytes from an engine's count of the prompt's tokens; ignores invalid counts."""
        if not 0 < prompt_tokens <= MAX_TOKENS_PER_BYTE * record.prompt_bytes + MAX_TEMPLATE_TOKENS:
            return
        request_class = record.request.request_class
        ratio = prompt_tokens / record.prompt_bytes
        mean = self.tokens_per_byte.get(request_class)
        self.tokens_per_byte[request_class] = ratio if mean is None else mean + RATIO_SMOOTHING * (ratio - mean)

    def learn_answer(self, record: IntakeRecord, message: dict[str, Any]) -> None:
        """Registers the answer, so that the conversation's next turn is recognised."""
        end = xxh3_128_digest(record.last_hash + canonical(message))
        self.sessions.add(end, record.session)
