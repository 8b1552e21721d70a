"""Admits chat requests: who asks, is it a repeat, may it run now. What is rejected here never reached the decisions.

The rules in their order: the gateway is not draining, the tenant is known, the body is valid, the gateway has a place,
the time limit and the resume position are valid, the Idempotency-Key was not met before, the model exists, the rest of
a lost stream can be had, and the tenant's budget has room.
"""

from __future__ import annotations

import re
import time
from itertools import count

from xxhash import xxh3_64_hexdigest, xxh3_128_digest

from ternlane.chat import (
    BodyMismatch,
    ChatRequest,
    IdempotencyCache,
    InvalidRequestError,
    RequestInProgress,
    RequestIntake,
    StoredAnswer,
)
from ternlane.config import GatewayConfig
from ternlane.event_loop import now_ms
from ternlane.gateway.active_request import ActiveRequest, FinalAnswer, ResponseWriter, Streamed
from ternlane.gateway.api_errors import OverBudgetError, RequestNotAdmittedError
from ternlane.gateway.budget_enforcer import BudgetEnforcer
from ternlane.gateway.journal_writer import final_of
from ternlane.gateway.response_writers import BufferedResponseWriter, StreamResponseWriter
from ternlane.gateway.runtime import GatewayRuntime
from ternlane.http1 import Exchange
from ternlane.policy.messages import RequestClass
from ternlane.recovery import is_reproducible
from ternlane.recovery.inflight import RecoveredAnswer
from ternlane.tenants import BudgetRejection, BudgetReservation, Tenant, UnknownKeyError

REQUEST_ID = re.compile(r"[A-Za-z0-9._:-]{1,80}")  # a client's own name for its request that engines can take
TIME_LIMIT_HEADER = b"x-ternlane-time-limit-ms"
MAX_TIME_LIMIT_MS = 1e9  # a longer one is a mistake
MAX_KEY_LENGTH = 255  # characters of an Idempotency-Key
MAX_EVENT_ID_DIGITS = 9  # of a position within a stream's text
RETRY_SOON_S = 1  # a place may be free, or another process ready, by then
RETRY_LEDGER_S = 5  # a full disk takes longer


class RequestAdmission:
    """The rules of one gateway, and the requests that it knows by their Idempotency-Key. `draining`: nothing new is
    admitted."""

    def __init__(
        self,
        config: GatewayConfig,
        runtime: GatewayRuntime,
        intake: RequestIntake,
        models: dict[str, RequestClass],
        budget_enforcer: BudgetEnforcer | None,
    ) -> None:
        self.runtime = runtime
        self.intake = intake
        self.budget_enforcer = budget_enforcer
        self.idempotency_cache = IdempotencyCache(config.door.repeat_bytes)
        self.count = count(1)
        self.birth = xxh3_64_hexdigest(f"{config.name} {time.time_ns()}".encode())[:10]
        self.draining = False
        self.alter(config, models)

    def alter(self, config: GatewayConfig, models: dict[str, RequestClass]) -> None:
        """Other limits and request classes, from the next request on; stored answers stay."""
        self.config = config
        self.models = models
        self.names = {request_class: name for name, request_class in reversed(models.items())}
        self.idempotency_cache.byte_limit = config.door.repeat_bytes

    # -- who asks, and for what

    def tenant(self, exchange: Exchange) -> Tenant | None:
        """Who asks; None where the gateway has no tenants. Raises RequestNotAdmittedError."""
        if self.draining:
            raise RequestNotAdmittedError(503, "This gateway is going down", "draining", RETRY_SOON_S)
        if self.budget_enforcer is None:
            return None
        try:
            tenant = self.budget_enforcer.authenticate(exchange.header(b"authorization"))
        except UnknownKeyError:
            raise RequestNotAdmittedError(401, "Incorrect API key provided", "invalid_api_key") from None
        if not self.budget_enforcer.writer.has_capacity:
            raise RequestNotAdmittedError(503, "Bills can't be kept now", "ledger_full", RETRY_LEDGER_S)
        return tenant

    def check_open_limit(self) -> None:
        """Raises RequestNotAdmittedError where the gateway holds as many requests as it may."""
        if len(self.runtime.active_requests) >= self.config.door.open_limit:
            raise RequestNotAdmittedError(
                503, "This gateway holds as many generations as it may", "open_limit", RETRY_SOON_S
            )

    def client_timeout_ms(self, exchange: Exchange, model: str) -> float:
        """The client's time limit where it states a shorter one than the request class, less what has been spent and
        what the answer's way back may take. Raises InvalidRequestError."""
        request_class = self.models.get(model)
        limit_ms = request_class.deadline_ms if request_class is not None else 0.0
        header = exchange.header(TIME_LIMIT_HEADER)
        if header is not None:
            limit_ms = min(limit_ms, parse_time_limit(header))
        spent_ms = now_ms() - exchange.arrived * 1000
        return max(0.0, limit_ms - spent_ms - self.config.door.answer_ms)

    def resume_position(self, exchange: Exchange, chat_request: ChatRequest) -> int:
        """How many characters of its answer the client has, by Last-Event-ID: the rest is what it asks for. Raises
        RequestNotAdmittedError and InvalidRequestError."""
        header = exchange.header(b"last-event-id")
        if not header:
            return 0
        if not self.config.streams.ids or not chat_request.stream:
            raise RequestNotAdmittedError(
                409, "Streams can't be taken up again here", "resume_not_offered", param="Last-Event-ID"
            )
        if not header.isascii() or not header.isdecimal() or len(header) > MAX_EVENT_ID_DIGITS:
            raise InvalidRequestError("Last-Event-ID", "must be the id of an event of this stream")
        return int(header)

    # -- repeats

    def repeat_key(self, exchange: Exchange, tenant: Tenant | None) -> str | None:
        """The Idempotency-Key with its owner: one owner's keys are no other's. Raises InvalidRequestError, and
        RequestNotAdmittedError while the first request of a key may be out at the process before."""
        header = exchange.header(b"idempotency-key")
        if header is None:
            return None
        if not 1 <= len(header) <= MAX_KEY_LENGTH:
            raise InvalidRequestError("Idempotency-Key", "Idempotency-Key must have 1 to 255 characters")
        journal_writer = self.runtime.journal_writer
        if journal_writer is not None and not journal_writer.ready:
            raise RequestNotAdmittedError(
                503, "The journal of the process before is being taken over", "taking_over", RETRY_SOON_S
            )
        owner = tenant.name if tenant is not None else exchange.header(b"authorization") or ""
        return f"{owner}\0{header}"

    def stored_answer(self, key: str, body: bytes, now: float) -> FinalAnswer | None:
        """The answer that a repeat hears; None for the first of its key, which `remember` or `forget` then ends. Raises
        RequestNotAdmittedError."""
        match self.idempotency_cache.begin(key, xxh3_128_digest(body), now):
            case RequestInProgress():
                raise RequestNotAdmittedError(
                    409,
                    "The first request with this Idempotency-Key is still out",
                    "idempotency_key_in_use",
                    param="Idempotency-Key",
                )
            case BodyMismatch():
                raise RequestNotAdmittedError(
                    422,
                    "This Idempotency-Key came with another body before",
                    "idempotency_key_reused",
                    param="Idempotency-Key",
                )
            case StoredAnswer(answer):
                final: FinalAnswer = answer
                return final
        return None

    def remember(self, key: str, active_request: ActiveRequest) -> None:
        """Ends the key's first request with what a repeat will hear."""
        request_class = active_request.request.request_class
        final = active_request.answer_for_repeats()
        size = len(final.text) if isinstance(final, Streamed) else 0
        until_ms = now_ms() + max(request_class.window_ms, request_class.deadline_ms)
        self.idempotency_cache.end(key, final, size, until_ms)
        self.idempotency_cache.sweep(now_ms())

    def forget(self, key: str) -> None:
        """Ends the key's first request as one that never ran."""
        self.idempotency_cache.end(key, None, 0, 0.0)

    def restore(self, recovered_answers: list[RecoveredAnswer]) -> None:
        """What a process before this one had answered, or had out when it was lost."""
        since_wall_ms = now_ms() - time.time() * 1000
        for known in recovered_answers:
            self.idempotency_cache.restore(
                known.taken.key,
                known.taken.body_digest,
                final_of(known),
                len(known.ended.text),
                known.taken.expires_ms + since_wall_ms,
            )

    # -- admitted

    def admit(
        self,
        exchange: Exchange,
        chat_request: ChatRequest,
        tenant: Tenant | None,
        key: str | None,
        client_timeout_ms: float,
        since: float,
        after: int,
    ) -> ActiveRequest:
        """Makes the request and reserves its budget. `after`: characters of the answer that the client has. Raises
        InvalidRequestError, and RequestNotAdmittedError where the budget has no room."""
        owner = tenant.name if tenant is not None else ""
        record = self.intake.take(chat_request, client_timeout_ms, owner)
        if after and not is_reproducible(chat_request.raw, record.request.request_class.effect):
            raise RequestNotAdmittedError(
                409,
                "The rest of this answer can't be had: it is not kept, and another run must not be, or "
                "would not come out the same",
                "resume_not_possible",
                param="Last-Event-ID",
            )
        hold = self.reserve_budget(
            tenant, record.request.request_class, record.request.prompt_tokens, int(record.request.max_tokens)
        )
        ident = self.request_id(exchange, owner)
        join = self.runtime.join_for(chat_request.raw, record.request)
        join.characters_to_skip = after
        return ActiveRequest(
            ident,
            chat_request,
            record,
            self.response_writer(exchange, chat_request, ident, after, hold),
            since,
            self.engine_key(ident, key),
            join,
            key or "",
            xxh3_128_digest(exchange.body) if key is not None else b"",
            hold=hold,
        )

    def reserve_budget(
        self, tenant: Tenant | None, request_class: RequestClass, prompt_tokens: float, max_tokens: int
    ) -> BudgetReservation | None:
        """Reserves the request's tokens. Raises OverBudgetError."""
        if self.budget_enforcer is None or tenant is None:
            return None
        hold = self.budget_enforcer.reserve(tenant, self.names[request_class], prompt_tokens, max_tokens)
        if isinstance(hold, BudgetRejection):
            raise OverBudgetError(hold)
        return hold

    def response_writer(
        self, exchange: Exchange, chat_request: ChatRequest, ident: str, after: int, hold: BudgetReservation | None
    ) -> ResponseWriter:
        """Where the answer's text goes, by the form that the client asks for."""
        writer: ResponseWriter = BufferedResponseWriter()
        if chat_request.stream:
            position = after if self.config.streams.ids else None
            writer = StreamResponseWriter(
                exchange, f"chatcmpl-{ident}", chat_request.model, chat_request.include_usage, position
            )
        if self.budget_enforcer is not None and hold is not None:
            writer.extra = self.budget_enforcer.headers(hold)
        return writer

    def engine_key(self, ident: str, key: str | None) -> str:
        """The key by which engines drop repeats; one of the gateway's own can't meet another gateway's."""
        if key is None:
            return f"{self.birth}-{ident}-{next(self.count)}"
        return xxh3_64_hexdigest(key.encode())

    def request_id(self, exchange: Exchange, tenant: str) -> str:
        """The client's own name for it if it is a plain one that is not in use; a tenant's go by the tenant, as a
        stranger who guessed one could otherwise have its state released."""
        header = exchange.header(b"x-request-id") or ""
        ident = f"{tenant}:{header}" if tenant else header  # no tenant's name holds a colon
        if not REQUEST_ID.fullmatch(header) or ident in self.runtime.idents:
            return self.new_id()
        return ident

    def new_id(self) -> str:
        """A request id that no other process gives."""
        return f"{self.birth}-{next(self.count)}"


def parse_time_limit(header: str) -> float:
    """A client's time limit in ms. Raises InvalidRequestError."""
    try:
        limit_ms = float(header)
    except ValueError:
        limit_ms = -1.0
    if not 0 < limit_ms < MAX_TIME_LIMIT_MS:
        raise InvalidRequestError("X-Ternlane-Time-Limit-Ms", "must be a positive number of milliseconds")
    return limit_ms
