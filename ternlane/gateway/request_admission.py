"""Admits chat requests. A request rejected here never reaches the router.

The checks in their order: the gateway is not draining, the tenant is known, the body is valid, the limit of open
requests is not reached, the time limit and the resume position are valid, the Idempotency-Key is new, the model exists,
the rest of a lost stream can be reproduced, and the tenant's budget has room.
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
from ternlane.tenants import BudgetRejection, BudgetReservation, InvalidKeyError, Tenant

REQUEST_ID = re.compile(r"[A-Za-z0-9._:-]{1,80}")  # a client's X-Request-Id in a form that engines accept
TIME_LIMIT_HEADER = b"x-ternlane-time-limit-ms"
MAX_TIME_LIMIT_MS = 1e9  # a longer one is taken for a mistake
MAX_KEY_LENGTH = 255  # characters of an Idempotency-Key
MAX_EVENT_ID_DIGITS = 9  # digits of a position within a stream's text
RETRY_AFTER_S = 1  # an open request usually ends, or the journal is recovered, within about this time
LEDGER_RETRY_AFTER_S = 5  # a full disk takes longer to clear


class RequestAdmission:
    """Checks new requests, and holds the answers known by Idempotency-Key. `draining`: no request is admitted."""

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
        self.id_counter = count(1)
        self.id_prefix = xxh3_64_hexdigest(f"{config.name} {time.time_ns()}".encode())[:10]
        self.draining = False
        self.alter(config, models)

    def alter(self, config: GatewayConfig, models: dict[str, RequestClass]) -> None:
        """Applies changed limits and request classes from the next request on; stored answers are kept."""
        self.config = config
        self.models = models
        self.class_names = {request_class: name for name, request_class in reversed(models.items())}
        self.idempotency_cache.byte_limit = config.door.repeat_bytes

    # -- tenant and headers

    def tenant(self, exchange: Exchange) -> Tenant | None:
        """The tenant of the request's API key; None if the gateway has no tenants. Raises
        RequestNotAdmittedError."""
        if self.draining:
            raise RequestNotAdmittedError(503, "This gateway is going down", "draining", RETRY_AFTER_S)
        if self.budget_enforcer is None:
            return None
        try:
            tenant = self.budget_enforcer.authenticate(exchange.header(b"authorization"))
        except InvalidKeyError:
            raise RequestNotAdmittedError(401, "Incorrect API key provided", "invalid_api_key") from None
        if not self.budget_enforcer.writer.has_capacity:
            raise RequestNotAdmittedError(503, "Bills can't be kept now", "ledger_full", LEDGER_RETRY_AFTER_S)
        return tenant

    def check_open_limit(self) -> None:
        """Checks the number of open requests. Raises RequestNotAdmittedError if its limit is reached."""
        if len(self.runtime.active_requests) >= self.config.door.open_limit:
            raise RequestNotAdmittedError(
                503, "This gateway holds as many generations as it may", "open_limit", RETRY_AFTER_S
            )

    def client_timeout_ms(self, exchange: Exchange, model: str, waited_ms: float) -> float:
        """The shorter of the request class's deadline and the client's time limit, less the time since arrival, or
        since its last bytes came (`waited_ms`) if that is longer, and the time that the answer may take to reach the
        client; 0 for an unknown model, which is rejected later. Raises InvalidRequestError."""
        request_class = self.models.get(model)
        limit_ms = request_class.deadline_ms if request_class is not None else 0.0
        header = exchange.header(TIME_LIMIT_HEADER)
        if header is not None:
            limit_ms = min(limit_ms, parse_time_limit(header))
        spent_ms = max(now_ms() - exchange.arrived * 1000, waited_ms)
        return max(0.0, limit_ms - spent_ms - self.config.door.answer_ms)

    def resume_position(self, exchange: Exchange, chat_request: ChatRequest) -> int:
        """Returns the number of characters that the client has already received, by its Last-Event-ID; 0 for a new
        request. Raises RequestNotAdmittedError and InvalidRequestError."""
        header = exchange.header(b"last-event-id")
        if not header:
            return 0
        if not self.config.streams.ids or not chat_request.stream:
            raise RequestNotAdmittedError(
                409,
                "Streams can't be taken up again here",
                "resume_not_offered",
                param="Last-Event-ID",
            )
        if not header.isascii() or not header.isdecimal() or len(header) > MAX_EVENT_ID_DIGITS:
            raise InvalidRequestError("Last-Event-ID", "must be the id of an event of this stream")
        return int(header)

    # -- repeats

    def repeat_key(self, exchange: Exchange, tenant: Tenant | None) -> str | None:
        """The Idempotency-Key qualified by its owner, as keys of different owners are unrelated. Raises
        InvalidRequestError, and RequestNotAdmittedError until the journal is recovered, as the first request with a key
        may have run in the previous process."""
        header = exchange.header(b"idempotency-key")
        if header is None:
            return None
        if not 1 <= len(header) <= MAX_KEY_LENGTH:
            raise InvalidRequestError("Idempotency-Key", "Idempotency-Key must have 1 to 255 characters")
        journal_writer = self.runtime.journal_writer
        if journal_writer is not None and not journal_writer.ready:
            raise RequestNotAdmittedError(
                503, "The journal of the process before is being taken over", "taking_over", RETRY_AFTER_S
            )
        owner = tenant.name if tenant is not None else exchange.header(b"authorization") or ""
        return f"{owner}\0{header}"

    def stored_answer(self, key: str, body: bytes, now: float) -> FinalAnswer | None:
        """The stored answer for a repeat; None for the first request of a key, which the caller must end with
        `complete_key` or `release_key`. Raises RequestNotAdmittedError."""
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

    def complete_key(self, key: str, active_request: ActiveRequest) -> None:
        """Ends the key's first request, and stores the answer for repeats."""
        request_class = active_request.request.request_class
        final = active_request.answer_for_repeats()
        size = len(final.text) if isinstance(final, Streamed) else 0
        until_ms = now_ms() + max(request_class.window_ms, request_class.deadline_ms)
        self.idempotency_cache.end(key, final, size, until_ms)
        self.idempotency_cache.sweep(now_ms())

    def release_key(self, key: str) -> None:
        """Ends the key's first request as one that did not run."""
        self.idempotency_cache.end(key, None, 0, 0.0)

    def restore(self, recovered_answers: list[RecoveredAnswer]) -> None:
        """Stores the answers of the previous process that its journal contains, also those of requests that were in
        flight."""
        clock_offset_ms = now_ms() - time.time() * 1000
        for recovered in recovered_answers:
            self.idempotency_cache.restore(
                recovered.taken.key,
                recovered.taken.body_digest,
                final_of(recovered),
                len(recovered.ended.text),
                recovered.taken.expires_ms + clock_offset_ms,
            )

    # -- building the request

    def admit(
        self,
        exchange: Exchange,
        chat_request: ChatRequest,
        tenant: Tenant | None,
        key: str | None,
        client_timeout_ms: float,
        received_ms: float,
        after: int,
    ) -> ActiveRequest:
        """Builds the request and reserves its budget. `after`: characters of the answer that the client has. Raises
        InvalidRequestError; RequestNotAdmittedError if a stream's rest isn't reproducible or the budget has no room."""
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
        reservation = self.reserve_budget(
            tenant, record.request.request_class, record.request.prompt_tokens, int(record.request.max_tokens)
        )
        ident = self.request_id(exchange, owner)
        join = self.runtime.join_for(chat_request.raw, record.request)
        join.characters_to_skip = after
        return ActiveRequest(
            ident,
            chat_request,
            record,
            self.response_writer(exchange, chat_request, ident, after, reservation),
            received_ms,
            self.engine_key(ident, key),
            join,
            key or "",
            xxh3_128_digest(exchange.body) if key is not None else b"",
            budget_reservation=reservation,
        )

    def reserve_budget(
        self, tenant: Tenant | None, request_class: RequestClass, prompt_tokens: float, max_tokens: int
    ) -> BudgetReservation | None:
        """Reserves the request's tokens. Raises OverBudgetError."""
        if self.budget_enforcer is None or tenant is None:
            return None
        budget_reservation = self.budget_enforcer.reserve(
            tenant, self.class_names[request_class], prompt_tokens, max_tokens
        )
        if isinstance(budget_reservation, BudgetRejection):
            raise OverBudgetError(budget_reservation)
        return budget_reservation

    def response_writer(
        self,
        exchange: Exchange,
        chat_request: ChatRequest,
        ident: str,
        after: int,
        budget_reservation: BudgetReservation | None,
    ) -> ResponseWriter:
        """The writer for the form of answer that the client asks for."""
        writer: ResponseWriter = BufferedResponseWriter()
        if chat_request.stream:
            position = after if self.config.streams.ids else None
            writer = StreamResponseWriter(
                exchange, f"chatcmpl-{ident}", chat_request.model, chat_request.include_usage, position
            )
        if self.budget_enforcer is not None and budget_reservation is not None:
            writer.extra = self.budget_enforcer.headers(budget_reservation)
        return writer

    def engine_key(self, ident: str, key: str | None) -> str:
        """The key by which engines drop repeats. A generated key is unique among all gateways."""
        if key is None:
            return f"{self.id_prefix}-{ident}-{next(self.id_counter)}"
        return xxh3_64_hexdigest(key.encode())

    def request_id(self, exchange: Exchange, tenant: str) -> str:
        """The client's X-Request-Id if it is valid and not in use, else a new id. A tenant's ids are prefixed with
        the tenant: another tenant that guessed an id could otherwise have its state released."""
        header = exchange.header(b"x-request-id") or ""
        ident = f"{tenant}:{header}" if tenant else header  # tenant names contain no colon
        if not REQUEST_ID.fullmatch(header) or ident in self.runtime.idents:
            return self.new_id()
        return ident

    def new_id(self) -> str:
        """A request id that no other process generates."""
        return f"{self.id_prefix}-{next(self.id_counter)}"


def parse_time_limit(header: str) -> float:
    """Parses the client's time limit in ms. Raises InvalidRequestError."""
    try:
        limit_ms = float(header)
    except ValueError:
        limit_ms = -1.0
    if not 0 < limit_ms < MAX_TIME_LIMIT_MS:
        raise InvalidRequestError("X-Ternlane-Time-Limit-Ms", "must be a positive number of milliseconds")
    return limit_ms
