"""Makes the Generation that the decisions see out of a chat request."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from xxhash import xxh3_64_hexdigest, xxh3_64_intdigest, xxh3_128_digest

from ternlane.chat.prefixes import BLOCK, PrefixIndex, blocks
from ternlane.chat.request import ChatAsk, InvalidRequestError, canonical
from ternlane.chat.sessions import Sessions, chain
from ternlane.policy.messages import Effect, Request, Group, RequestClass, Tenant

FIRST_TOKENS_A_BYTE = 0.25  # until engines have said how many there were
WEIGHT = 1 / 32  # of one more report
BLOCKS_A_SESSION = 8  # opening blocks kept for each session that may be recognised

EFFECTS = {
    "idempotent": Effect.IDEMPOTENT,
    "deduplicated": Effect.DEDUPLICATED,
    "side-effecting": Effect.SIDE_EFFECTING,
}
GROUPS = {"all": Group.ALL, "zone": Group.ZONE, "cell": Group.CELL}


@dataclass(slots=True, eq=False)
class Known:
    """What the intake remembers of one generation until it ends."""

    request: Request
    session: str
    last_hash: bytes
    prompt_bytes: int


class Intake:
    """One gateway's knowledge of conversations. `models` maps each model name to its product."""

    def __init__(
        self, models: dict[str, RequestClass], max_tokens: dict[RequestClass, int], session_limit: int
    ) -> None:
        self.models, self.max_tokens = models, max_tokens
        self.sessions = Sessions(2 * session_limit)
        self.prefixes = PrefixIndex(BLOCKS_A_SESSION * session_limit)
        self.tenants: dict[str, Tenant] = {}  # by owner
        self.tokens_a_byte: dict[RequestClass, float] = {}

    def offer(self, models: dict[str, RequestClass], max_tokens: dict[RequestClass, int]) -> None:
        """Other products from the next request on; what is known of conversations stays."""
        self.models, self.max_tokens = models, max_tokens

    def take(self, ask: ChatAsk, client_timeout_ms: float, owner: str = "") -> Known:
        """Two owners' equal conversations are two. Raises InvalidRequestError for a model that is not offered."""
        request_class = self.models.get(ask.model)
        if request_class is None:
            raise InvalidRequestError("model", f"The model `{ask.model}` does not exist", "model_not_found", 404)
        whole = b"".join(ask.texts)
        last = chain(ask.texts, f"{ask.model}\0{owner}\0{ask.user or ''}".encode())
        if ask.cache_key:
            session = "k" + xxh3_64_hexdigest(f"{owner}\0{ask.user or ''}\0{ask.cache_key}".encode())
        else:
            session = self.sessions.find(last)
        run = blocks(whole)
        shared = self.prefixes.meet(run, xxh3_64_intdigest(session.encode()) >> 1)
        prefix = xxh3_64_hexdigest(run[:shared].tobytes()) if shared else None
        ratio = self.tokens_a_byte.get(request_class, FIRST_TOKENS_A_BYTE)
        limit = self.max_tokens[request_class]
        request = Request(
            request_class,
            session,
            prefix,
            shared * BLOCK * ratio,
            max(1.0, len(whole) * ratio),
            float(min(ask.max_tokens or limit, limit)),
            client_timeout_ms,
            not ask.stream,
            tenant=self.tenants.setdefault(owner, Tenant()) if owner else None,
        )
        return Known(request, session, last[-1], len(whole))

    def learn_prompt(self, known: Known, prompt_tokens: float) -> None:
        """An engine has said how many tokens the prompt had; absurd figures are not believed."""
        if not 0 < prompt_tokens <= 4 * known.prompt_bytes + 64:
            return
        request_class, ratio = known.request.request_class, prompt_tokens / known.prompt_bytes
        old = self.tokens_a_byte.get(request_class)
        self.tokens_a_byte[request_class] = ratio if old is None else old + WEIGHT * (ratio - old)

    def answered(self, known: Known, message: dict[str, Any]) -> None:
        """Lets the next turn be recognised by the message that was answered."""
        said = canonical(message)
        self.sessions.remember(xxh3_128_digest(known.last_hash + said), known.session)
