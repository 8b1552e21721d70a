"""Makes the Request that the decisions see out of a chat request."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from xxhash import xxh3_64_hexdigest, xxh3_64_intdigest, xxh3_128_digest

from ternlane.chat.prefixes import BLOCK, PrefixIndex, blocks
from ternlane.chat.request import ChatRequest, InvalidRequestError, canonical
from ternlane.chat.session_index import SessionIndex, chain
from ternlane.policy.messages import Effect, Group, Request, RequestClass, Tenant

DEFAULT_TOKENS_A_BYTE = 0.25  # until engines have said how many there were; usual for English
RATIO_WEIGHT = 1 / 32  # of one more report in the mean ratio: some dozens of prompts set it
MAX_TOKENS_A_BYTE = 4  # no tokenizer splits a byte further: a larger count is absurd
TEMPLATE_TOKENS = 64  # that an engine may add around a short prompt
BLOCKS_A_SESSION = 8  # prefix blocks kept for each session that may be recognised

EFFECTS = {
    "idempotent": Effect.IDEMPOTENT,
    "deduplicated": Effect.DEDUPLICATED,
    "side-effecting": Effect.SIDE_EFFECTING,
}
GROUPS = {"all": Group.ALL, "zone": Group.ZONE, "cell": Group.CELL}


@dataclass(slots=True, eq=False)
class IntakeRecord:
    """What the intake remembers of one request until it ends."""

    request: Request
    session: str
    last_hash: bytes
    prompt_bytes: int


class RequestIntake:
    """One gateway's knowledge of conversations. `models` maps each model name to its request class."""

    def __init__(
        self, models: dict[str, RequestClass], max_tokens: dict[RequestClass, int], session_limit: int
    ) -> None:
        self.models = models
        self.max_tokens = max_tokens
        self.sessions = SessionIndex(2 * session_limit)
        self.prefixes = PrefixIndex(BLOCKS_A_SESSION * session_limit)
        self.tenants: dict[str, Tenant] = {}  # by owner
        self.tokens_a_byte: dict[RequestClass, float] = {}

    def configure(self, models: dict[str, RequestClass], max_tokens: dict[RequestClass, int]) -> None:
        """Other request classes from the next request on; what is known of conversations stays."""
        self.models = models
        self.max_tokens = max_tokens

    def take(self, chat_request: ChatRequest, client_timeout_ms: float, owner: str = "") -> IntakeRecord:
        """Two owners' equal conversations are two. Raises InvalidRequestError for a model that is not offered."""
        model = chat_request.model
        request_class = self.models.get(model)
        if request_class is None:
            raise InvalidRequestError("model", f"The model `{model}` does not exist", "model_not_found", 404)
        text = b"".join(chat_request.texts)
        hashes = chain(chat_request.texts, f"{model}\0{owner}\0{chat_request.user or ''}".encode())
        session = self.session_of(chat_request, owner, hashes)
        prefix, prefix_blocks = self.shared_prefix(text, session)
        ratio = self.tokens_a_byte.get(request_class, DEFAULT_TOKENS_A_BYTE)
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

    def session_of(self, chat_request: ChatRequest, owner: str, hashes: list[bytes]) -> str:
        """The session that the client names, or the conversation that the request goes on with."""
        if not chat_request.cache_key:
            return self.sessions.find(hashes)
        named = f"{owner}\0{chat_request.user or ''}\0{chat_request.cache_key}"
        return "k" + xxh3_64_hexdigest(named.encode())

    def shared_prefix(self, text: bytes, session: str) -> tuple[str | None, int]:
        """The part of the prompt's beginning that other sessions have sent: its name, and its length in blocks."""
        run = blocks(text)
        shared = self.prefixes.match_and_add(run, xxh3_64_intdigest(session.encode()) >> 1)
        return (xxh3_64_hexdigest(run[:shared].tobytes()) if shared else None), shared

    def learn_prompt(self, record: IntakeRecord, prompt_tokens: float) -> None:
        """An engine has said how many tokens the prompt had; absurd figures are not believed."""
        if not 0 < prompt_tokens <= MAX_TOKENS_A_BYTE * record.prompt_bytes + TEMPLATE_TOKENS:
            return
        request_class = record.request.request_class
        ratio = prompt_tokens / record.prompt_bytes
        mean = self.tokens_a_byte.get(request_class)
        self.tokens_a_byte[request_class] = ratio if mean is None else mean + RATIO_WEIGHT * (ratio - mean)

    def answered(self, record: IntakeRecord, message: dict[str, Any]) -> None:
        """Lets the next turn be recognised by the message that was answered."""
        end = xxh3_128_digest(record.last_hash + canonical(message))
        self.sessions.remember(end, record.session)
