"""The clients' side: OpenAI-style chat over HTTP/1.1. Each generation taken gets exactly one final answer."""

from __future__ import annotations

import re
import time
from contextlib import suppress
from itertools import count
from typing import Any

import msgspec
import trio
from xxhash import xxh3_128_digest, xxh3_64_hexdigest

from ternlane.chat import (
    Busy,
    ChatAsk,
    Differs,
    Done,
    Intake,
    Repeats,
    InvalidRequestError,
    answer_body,
    chunk,
    error_body,
    read_chat,
    usage_chunk,
)
from ternlane.chat.beyond import More
from ternlane.gateway.host import Host
from ternlane.gateway.metrics import GatewayMetrics
from ternlane.gateway.journal_writer import final_of
from ternlane.gateway.budget_enforcer import BudgetEnforcer
from ternlane.gateway.active_request import Final, ResponseWriter, Streamed, Failed, Rejected, ActiveRequest
from ternlane.http1 import BadRequest, Exchange, event_bytes, serve_connection
from ternlane.config import ServerLimits, GatewayConfig
from ternlane.policy.messages import RequestClass
from ternlane.recovery import comes_out_the_same
from ternlane.recovery.inflight import Known
from ternlane.tenants import BudgetRejection, BudgetReservation, Tenant, UnknownKeyError
from ternlane.tenants.reservation import retry_after_s
from ternlane.event_loop import now_ms

IDENT = re.compile(r"[A-Za-z0-9._:-]{1,80}")
TIME_LIMIT = b"x-ternlane-time-limit-ms"
STREAM_HEAD = [
    ("Content-Type", "text/event-stream; charset=utf-8"),
    ("Cache-Control", "no-store"),
    ("Transfer-Encoding", "chunked"),
]


class NotTaken(Exception):
    """A request that is refused before it became a generation; `after_s` says when to come back."""

    def __init__(
        self,
        status: int,
        why: str,
        code: str,
        after_s: int | None = None,
        param: str | None = None,
        extra: list[tuple[str, str]] | None = None,
    ) -> None:
        super().__init__(why)
        self.status, self.why, self.code, self.param = status, why, code, param
        self.extra = [*(extra or []), *([] if after_s is None else [("Retry-After", str(after_s))])]


def over_budget(no: BudgetRejection) -> NotTaken:
    """Refused before any leg: a throttle, which promises that nothing ran."""
    why = {
        "minute": "tokens a minute",
        "period": "tokens of the billing period",
        "at_once": "generations at once",
        "overdraft": "tokens a minute, the overdraft is used up",
    }[no.limit]
    wait = no.wait_ms if no.wait_ms > 0 else 1000.0
    return NotTaken(
        429, f"Over budget: {why}", no.code, retry_after_s(wait), extra=[("retry-after-ms", f"{min(wait, 1e9):.0f}")]
    )


class StreamResponseWriter(ResponseWriter):
    """Text goes out as server-sent events while it comes."""

    def __init__(
        self, exchange: Exchange, ident: str, model: str, include_usage: bool, after: int | None = None
    ) -> None:
        """`after`: characters that the client has already; None where events carry no ids."""
        self.after = after
        self.exchange, self.ident, self.model, self.include_usage = exchange, ident, model, include_usage
        super().__init__()
        self.created = int(time.time())

    async def piece(self, text: str, first: bool, more: More | None = None) -> None:
        if self.after is not None:
            self.after += len(text)
        data = event_bytes(chunk(self.ident, self.created, self.model, text, None, first, more), self.after)
        if first:
            await self.exchange.begin(200, [*STREAM_HEAD, ("X-Request-Id", self.ident), *self.extra], data)
        else:
            await self.exchange.chunk(data)

    async def end(self, final: Final) -> None:
        if isinstance(final, Streamed):
            out = event_bytes(chunk(self.ident, self.created, self.model, None, final.finish, False))
            if self.include_usage:
                out += event_bytes(usage_chunk(self.ident, self.created, self.model, final.usage))
            await self.exchange.end(out + event_bytes(b"[DONE]"))
        else:  # the error event takes the place of [DONE]
            why = final.why if isinstance(final, Failed) else "throttled"
            await self.exchange.end(event_bytes(error_body(502, f"The answer broke off: {why}", "stream_broken")))


class PlainResponseWriter(ResponseWriter):
    """Text is kept by the ticket until the answer is whole."""

    async def piece(self, text: str, first: bool, more: More | None = None) -> None:
        pass


class ChatApi:
    def __init__(
        self,
        config: GatewayConfig,
        host: Host,
        intake: Intake,
        models: dict[str, RequestClass],
        metrics: GatewayMetrics,
        log: Any,
        budget_enforcer: BudgetEnforcer | None = None,
    ) -> None:
        self.config, self.host, self.intake, self.models = config, host, intake, models
        self.metrics, self.log, self.budget_enforcer = metrics, log, budget_enforcer
        self.terms: ServerLimits = config.door
        self.names = {request_class: name for name, request_class in reversed(models.items())}
        self.repeats = Repeats(config.door.repeat_bytes)
        self.count = count(1)
        self.started = int(time.time())
        self.birth = xxh3_64_hexdigest(f"{config.name} {time.time_ns()}".encode())[:10]
        self.draining = False
        self.conns = self.busy = 0  # connections, and requests being answered

    def alter(self, config: GatewayConfig, models: dict[str, RequestClass]) -> None:
        """New limits, from the next connection on, and other products, from the next request on; the answers kept for
        repeats stay."""
        self.config, self.terms, self.models = config, config.door, models
        self.names = {request_class: name for name, request_class in reversed(models.items())}
        self.repeats.byte_limit = config.door.repeat_bytes

    async def connection(self, stream: trio.SocketStream) -> None:
        """Serves one client's connection."""
        if self.conns >= self.terms.conn_limit:
            stream.socket.close()
            self.metrics.refused.labels("conn_limit").inc()
            return
        self.conns += 1
        self.metrics.conns.set(self.conns)
        with suppress(OSError):
            stream.setsockopt(6, 1, 1)  # TCP_NODELAY: each token is a segment of its own
        try:
            await serve_connection(
                stream,
                self.handle,
                body_bytes=self.terms.body_bytes,
                head_ms=self.terms.head_ms,
                body_ms=self.terms.body_ms,
                idle_ms=self.terms.idle_ms,
                send_ms=self.terms.send_ms,
                reject_reason=self.reject_reason,
                draining=lambda: self.draining,
            )
        except Exception:  # a fault of this program must not take the other connections with it
            self.log.exception("connection")
        finally:
            self.conns -= 1
            self.metrics.conns.set(self.conns)

    def reject_reason(self, _: Exchange | None, bad: BadRequest) -> tuple[bytes, str]:
        self.metrics.refused.labels(bad.code).inc()
        return error_body(bad.status, bad.why, bad.code), "application/json"

    async def refuse(
        self,
        exchange: Exchange,
        status: int,
        why: str,
        code: str,
        param: str | None = None,
        extra: list[tuple[str, str]] | None = None,
    ) -> None:
        self.metrics.refused.labels(code).inc()
        await exchange.answer(status, extra or [], error_body(status, why, code, param))

    async def handle(self, exchange: Exchange) -> None:
        self.busy += 1
        try:
            await self.route(exchange)
        finally:
            self.busy -= 1

    async def route(self, exchange: Exchange) -> None:
        route = exchange.method, exchange.path
        if route == ("POST", "/v1/chat/completions"):
            await self.chat(exchange)
        elif route == ("GET", "/v1/models"):
            data = [self.model(name) for name in self.models]
            await exchange.answer(200, [], msgspec.json.encode({"object": "list", "data": data}))
        elif route[0] == "GET" and route[1].startswith("/v1/models/"):
            name = route[1].removeprefix("/v1/models/")
            if name in self.models:
                await exchange.answer(200, [], msgspec.json.encode(self.model(name)))
            else:
                await self.refuse(exchange, 404, f"The model `{name}` does not exist", "model_not_found", "model")
        elif route == ("GET", "/healthz"):
            ready = not self.draining
            await exchange.answer(200 if ready else 503, [], b'{"ready":%s}' % (b"true" if ready else b"false"))
        else:
            known = route[1] in ("/v1/chat/completions", "/v1/models", "/healthz")
            await self.refuse(exchange, 405 if known else 404, f"Unknown request: {route[0]} {route[1]}", "unknown_url")

    def model(self, name: str) -> dict[str, Any]:
        return {"id": name, "object": "model", "created": self.started, "owned_by": "ternlane"}

    async def chat(self, exchange: Exchange) -> None:
        """From the request to its one answer. What is refused here was never taken."""
        since = now_ms()
        begun: str | None = None  # the repeat key whose first request this is: it must be ended
        active_request: ActiveRequest | None = None
        try:
            tenant = self.tenant(exchange)
            ask = read_chat(exchange.body)
            if len(self.host.active_requests) >= self.terms.open_limit:
                raise NotTaken(503, "This gateway holds as many generations as it may", "open_limit", 1)
            patience = self.patience(exchange, self.models.get(ask.model))
            after = self.resumes_after(exchange, ask)
            key = self.repeat_key(exchange, tenant) if ask.model in self.models else None
            if key is not None:
                done = self.repeated(key, exchange.body, since)
                if done is not None:
                    return await self.replay(exchange, done, ask, after)
                begun = key
            active_request = self.active_request(exchange, ask, tenant, key, patience, since, after)
        except InvalidRequestError as bad:
            return await self.refuse(exchange, bad.status, bad.why, bad.code, bad.param)
        except NotTaken as no:
            return await self.refuse(exchange, no.status, no.why, no.code, no.param, no.extra)
        finally:
            if begun is not None and active_request is None:
                self.repeats.end(begun, None, 0, 0.0)
        try:
            self.host.arrived(active_request)
            await self.answer(exchange, active_request)
        finally:
            if not active_request.left and active_request.final is None:  # the connection's task was ended from outside
                self.host.client_left(active_request)
            if begun is not None:
                self.remember(begun, active_request)

    def tenant(self, exchange: Exchange) -> Tenant | None:
        """Who asks; None where the gateway has no tenants. Raises NotTaken."""
        if self.draining:
            raise NotTaken(503, "This gateway is going down", "draining", 1)
        if self.budget_enforcer is None:
            return None
        try:
            tenant = self.budget_enforcer.whose(exchange.header(b"authorization"))
        except UnknownKeyError:
            raise NotTaken(401, "Incorrect API key provided", "invalid_api_key") from None
        if not self.budget_enforcer.writer.may_take:
            raise NotTaken(503, "Bills can't be kept now", "ledger_full", 5)
        return tenant

    def repeat_key(self, exchange: Exchange, tenant: Tenant | None) -> str | None:
        """The Idempotency-Key with its owner: one owner's keys are no other's."""
        said = exchange.header(b"idempotency-key")
        if said is None:
            return None
        if not 1 <= len(said) <= 255:
            raise InvalidRequestError("Idempotency-Key", "Idempotency-Key must have 1 to 255 characters")
        if (
            self.host.journal_writer is not None and not self.host.journal_writer.ready
        ):  # a repeat's first may be out there
            raise NotTaken(503, "The journal of the process before is being taken over", "taking_over", 1)
        owner = tenant.name if tenant is not None else exchange.header(b"authorization") or ""
        return f"{owner}\0{said}"

    def repeated(self, key: str, body: bytes, now: float) -> Final | None:
        """The answer that a repeat hears; None for the first of its key, which `remember` or `Repeats.end` then ends.
        Raises NotTaken."""
        match self.repeats.begin(key, xxh3_128_digest(body), now):
            case Busy():
                raise NotTaken(
                    409,
                    "The first request with this Idempotency-Key is still out",
                    "idempotency_key_in_use",
                    param="Idempotency-Key",
                )
            case Differs():
                raise NotTaken(
                    422,
                    "This Idempotency-Key came with another body before",
                    "idempotency_key_reused",
                    param="Idempotency-Key",
                )
            case Done(answer):
                final: Final = answer
                return final
        return None

    def resumes_after(self, exchange: Exchange, ask: ChatAsk) -> int:
        """How much of its answer the client has, by Last-Event-ID: the rest is what it asks for. Raises NotTaken."""
        said = exchange.header(b"last-event-id")
        if not said:
            return 0
        if not self.config.streams.ids or not ask.stream:
            raise NotTaken(409, "Streams can't be taken up again here", "resume_not_offered", param="Last-Event-ID")
        if not said.isascii() or not said.isdecimal() or len(said) > 9:
            raise InvalidRequestError("Last-Event-ID", "must be the id of an event of this stream")
        return int(said)

    def active_request(
        self,
        exchange: Exchange,
        ask: ChatAsk,
        tenant: Tenant | None,
        key: str | None,
        patience: float,
        since: float,
        after: int,
    ) -> ActiveRequest:
        """Makes the request and reserves for it. Raises InvalidRequestError; NotTaken where the budget has no room."""
        owner = tenant.name if tenant is not None else ""
        known = self.intake.take(ask, patience, owner)
        if after and not comes_out_the_same(ask.raw, known.request.request_class.effect):
            raise NotTaken(
                409,
                "The rest of this answer can't be had: it is not kept, and another run must not be, or "
                "would not come out the same",
                "resume_not_possible",
                param="Last-Event-ID",
            )
        hold: BudgetReservation | None = None
        if self.budget_enforcer is not None and tenant is not None:
            got = self.budget_enforcer.reserve(
                tenant,
                self.names[known.request.request_class],
                known.request.prompt_tokens,
                int(known.request.max_tokens),
            )
            if isinstance(got, BudgetRejection):
                raise over_budget(got)
            hold = got
        ident = self.ident(exchange, owner)
        response_writer: ResponseWriter = PlainResponseWriter()
        if ask.stream:
            response_writer = StreamResponseWriter(
                exchange, f"chatcmpl-{ident}", ask.model, ask.include_usage, after if self.config.streams.ids else None
            )
        if self.budget_enforcer is not None and hold is not None:
            response_writer.extra = self.budget_enforcer.headers(hold)
        # Engines drop repeats by this key; a key of the gateway's own can't meet another gateway's.
        engine_key = f"{self.birth}-{ident}-{next(self.count)}" if key is None else xxh3_64_hexdigest(key.encode())
        join = self.host.join_for(ask.raw, known.request)
        join.ahead = after
        return ActiveRequest(
            ident,
            ask,
            known,
            response_writer,
            since,
            engine_key,
            join,
            key or "",
            xxh3_128_digest(exchange.body) if key is not None else b"",
            hold=hold,
        )

    def ident(self, exchange: Exchange, tenant: str) -> str:
        """The client's own name for it if it is a plain one that is not in use; a tenant's go by the tenant, as a
        stranger who guessed one could otherwise have its state released."""
        said = exchange.header(b"x-request-id") or ""
        ident = f"{tenant}:{said}" if tenant else said  # no tenant's name holds a colon
        if not IDENT.fullmatch(said) or ident in self.host.idents:
            ident = f"{self.birth}-{next(self.count)}"
        return ident

    def patience(self, exchange: Exchange, request_class: RequestClass | None) -> float:
        """The client's time limit where it states a shorter one, less what the answer's way back may take."""
        limit = request_class.deadline_ms if request_class is not None else 0.0
        said = exchange.header(TIME_LIMIT)
        if said is not None:
            try:
                stated = float(said)
            except ValueError:
                stated = -1.0
            if not 0 < stated < 1e9:
                raise InvalidRequestError("X-Ternlane-Time-Limit-Ms", "must be a positive number of milliseconds")
            limit = min(limit, stated)
        spent = now_ms() - exchange.arrived * 1000
        return max(0.0, limit - spent - self.config.door.answer_ms)

    async def answer(self, exchange: Exchange, active_request: ActiveRequest) -> None:
        if active_request.final is None:
            with active_request.watch:  # cancelled when the answer is settled
                await exchange.until_left()
                self.host.client_left(active_request)
        if active_request.left or active_request.final is None:
            return  # the connection ends without an answer, or without its last chunk
        try:
            if isinstance(active_request.response_writer, StreamResponseWriter) and active_request.begun:
                await active_request.response_writer.end(active_request.final)
            else:
                await self.whole(exchange, active_request, active_request.final)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass  # gone before it took its answer: the answer was given all the same

    async def whole(self, exchange: Exchange, active_request: ActiveRequest, final: Final) -> None:
        """An answer of which the client has nothing yet."""
        ident, extra = ("X-Request-Id", active_request.ident), active_request.response_writer.extra
        match final:
            case Streamed(text, finish, usage, more):
                body = answer_body(
                    f"chatcmpl-{active_request.ident}",
                    int(time.time()),
                    active_request.ask.model,
                    text,
                    finish,
                    usage,
                    more,
                )
                await exchange.answer(200, [ident, *extra], body)
            case Rejected(pause):
                seconds = max(1, -(-int(pause) // 1000))
                await exchange.answer(
                    429,
                    [ident, ("Retry-After", str(seconds)), ("retry-after-ms", f"{max(pause, 1.0):.0f}")],
                    error_body(
                        429, "The model servers are busy; nothing has run and a new try does no harm", "throttled"
                    ),
                )
            case Failed(why, timed_out):
                status = 504 if timed_out else 502
                await exchange.answer(
                    status,
                    [ident, ("x-should-retry", "false")],
                    error_body(status, f"Terminated: {why or 'no server could finish it'}", "terminated"),
                )

    def restore(self, found: list[Known]) -> None:
        """What a process before this one had answered, or had out when it was lost."""
        now, wall = now_ms(), time.time() * 1000
        for it in found:
            self.repeats.restore(
                it.taken.key, it.taken.mark, final_of(it), len(it.ended.text), now + it.taken.until - wall
            )

    def remember(self, key: str, active_request: ActiveRequest) -> None:
        """Ends the key's first request with what a repeat will hear."""
        request_class, final = active_request.request.request_class, active_request.for_repeats()
        cost = len(final.text) if isinstance(final, Streamed) else 0
        self.repeats.end(key, final, cost, now_ms() + max(request_class.window_ms, request_class.deadline_ms))
        self.repeats.sweep(now_ms())

    async def replay(self, exchange: Exchange, final: Final, ask: ChatAsk, after: int) -> None:
        """The first request's answer again, or what comes `after` so many characters of it, in the form that is asked
        for now; nothing runs."""
        ident = f"chatcmpl-{self.birth}-{next(self.count)}"
        mark = ("Idempotency-Replayed", "true")
        match final:
            case Streamed(text, finish, usage, more) if ask.stream:
                response_writer = StreamResponseWriter(
                    exchange, ident, ask.model, ask.include_usage, after if self.config.streams.ids else None
                )
                response_writer.extra = [mark]
                await response_writer.piece(text[after:], True, more)
                await response_writer.end(final)
            case Streamed(text, finish, usage, more):
                await exchange.answer(
                    200, [mark], answer_body(ident, int(time.time()), ask.model, text, finish, usage, more)
                )
            case _:
                why = final.why if isinstance(final, Failed) else ""
                await exchange.answer(
                    502, [mark, ("x-should-retry", "false")], error_body(502, f"Terminated: {why}", "terminated")
                )
