"""The chat completions API over HTTP/1.1. Each admitted request gets exactly one final answer."""

from __future__ import annotations

import time
from typing import Any

import msgspec
import trio

from ternlane.chat import InvalidRequestError, RequestIntake, error_body, parse_chat_request
from ternlane.config import GatewayConfig
from ternlane.event_loop import now_ms
from ternlane.gateway.active_request import ActiveRequest
from ternlane.gateway.api_errors import RequestNotAdmittedError
from ternlane.gateway.budget_enforcer import BudgetEnforcer
from ternlane.gateway.client_connections import ClientConnections
from ternlane.gateway.final_responses import send_final, send_replayed
from ternlane.gateway.metrics import GatewayMetrics
from ternlane.gateway.request_admission import RequestAdmission
from ternlane.gateway.response_writers import StreamResponseWriter
from ternlane.gateway.runtime import GatewayRuntime
from ternlane.http1 import Exchange, SharedLimits
from ternlane.policy.messages import RequestClass
from ternlane.recovery.inflight import RecoveredAnswer

CHAT_PATH = "/v1/chat/completions"
MODELS_PATH = "/v1/models"
HEALTH_PATH = "/healthz"


class ChatApi:
    """The routes of the API. `busy`: number of requests being handled."""

    def __init__(
        self,
        config: GatewayConfig,
        runtime: GatewayRuntime,
        intake: RequestIntake,
        models: dict[str, RequestClass],
        metrics: GatewayMetrics,
        log: Any,
        budget_enforcer: BudgetEnforcer | None,
        shared_limits: SharedLimits,
    ) -> None:
        self.runtime = runtime
        self.metrics = metrics
        self.admission = RequestAdmission(config, runtime, intake, models, budget_enforcer)
        self.connections = ClientConnections(
            config.door, self.handle, lambda: self.draining, metrics, log, shared_limits
        )
        self.started = int(time.time())
        self.busy = 0

    @property
    def draining(self) -> bool:
        """True once new requests are rejected."""
        return self.admission.draining

    def drain(self) -> None:
        """Starts to reject new requests."""
        self.admission.draining = True

    def alter(self, config: GatewayConfig, models: dict[str, RequestClass]) -> None:
        """Applies changed limits from the next connection on, and request classes from the next request on. Answers
        stored for repeats are kept."""
        self.admission.alter(config, models)
        self.connections.alter(config.door)

    def restore(self, recovered_answers: list[RecoveredAnswer]) -> None:
        """Takes over from the journal what a previous process had answered, or had in flight when it was lost."""
        self.admission.restore(recovered_answers)

    async def connection(self, stream: trio.SocketStream) -> None:
        """Serves one client connection."""
        await self.connections.serve(stream)

    # -- routes

    async def handle(self, exchange: Exchange) -> None:
        """Handles one request."""
        self.busy += 1
        try:
            await self.route(exchange)
        finally:
            self.busy -= 1

    async def route(self, exchange: Exchange) -> None:
        """Dispatches on method and path."""
        method = exchange.method
        path = exchange.path
        if (method, path) == ("POST", CHAT_PATH):
            await self.chat(exchange)
        elif (method, path) == ("GET", MODELS_PATH):
            data = [self.model(name) for name in self.admission.models]
            await exchange.answer(200, [], msgspec.json.encode({"object": "list", "data": data}))
        elif method == "GET" and path.startswith(f"{MODELS_PATH}/"):
            await self.show_model(exchange, path.removeprefix(f"{MODELS_PATH}/"))
        elif (method, path) == ("GET", HEALTH_PATH):
            status, ready = (503, b"false") if self.draining else (200, b"true")
            await exchange.answer(status, [], b'{"ready":%s}' % ready)
        else:
            status = 405 if path in (CHAT_PATH, MODELS_PATH, HEALTH_PATH) else 404
            await self.reject(exchange, status, f"Unknown request: {method} {path}", "unknown_url")

    async def show_model(self, exchange: Exchange, name: str) -> None:
        """Answers with one model, 404 if there is none of the name."""
        if name in self.admission.models:
            await exchange.answer(200, [], msgspec.json.encode(self.model(name)))
        else:
            await self.reject(exchange, 404, f"The model `{name}` does not exist", "model_not_found", "model")

    def model(self, name: str) -> dict[str, Any]:
        """The model object of the API."""
        return {"id": name, "object": "model", "created": self.started, "owned_by": "ternlane"}

    async def reject(
        self,
        exchange: Exchange,
        status: int,
        why: str,
        code: str,
        param: str | None = None,
        extra: list[tuple[str, str]] | None = None,
    ) -> None:
        """Answers a request that was not admitted."""
        self.metrics.refused.labels(code).inc()
        await exchange.answer(status, extra or [], error_body(status, why, code, param))

    # -- chat

    async def chat(self, exchange: Exchange) -> None:
        """Handles one chat request."""
        try:
            admitted = await self.admit(exchange)
        except InvalidRequestError as error:
            await self.reject(exchange, error.status, error.why, error.code, error.param)
            return
        except RequestNotAdmittedError as error:
            await self.reject(exchange, error.status, error.why, error.code, error.param, error.extra)
            return
        if admitted is not None:
            await self.run(exchange, admitted)

    async def admit(self, exchange: Exchange) -> ActiveRequest | None:
        """The request to run; None for a repeat, which this method answers itself. Raises InvalidRequestError and
        RequestNotAdmittedError."""
        received_ms = now_ms()
        waited_ms = self.runtime.loop_times.waited_ms(exchange.stream)
        admission = self.admission
        tenant = admission.tenant(exchange)
        chat_request = parse_chat_request(exchange.body)
        admission.check_open_limit()
        client_timeout_ms = admission.client_timeout_ms(exchange, chat_request.model, waited_ms)
        after = admission.resume_position(exchange, chat_request)
        key = admission.repeat_key(exchange, tenant) if chat_request.model in admission.models else None
        if key is not None:
            final = admission.stored_answer(key, exchange.body, received_ms)
            if final is not None:
                ident = f"chatcmpl-{admission.new_id()}"
                event_ids = admission.config.streams.ids
                await send_replayed(exchange, final, chat_request, ident, after, event_ids)
                return None
        try:
            active_request = admission.admit(exchange, chat_request, tenant, key, client_timeout_ms, received_ms, after)
        except BaseException:
            if key is not None:  # the first request with this key did not run: the next one counts as the first
                admission.release_key(key)
            raise
        active_request.request.waited_ms = waited_ms
        return active_request

    async def run(self, exchange: Exchange, active_request: ActiveRequest) -> None:
        """Runs an admitted request and answers it."""
        try:
            self.runtime.arrived(active_request)
            await self.answer(exchange, active_request)
        finally:
            if not active_request.is_finished:  # the connection's task was cancelled
                self.runtime.client_disconnected(active_request)
            if active_request.repeat_key:
                self.admission.complete_key(active_request.repeat_key, active_request)

    async def answer(self, exchange: Exchange, active_request: ActiveRequest) -> None:
        """Waits for the final answer or for the client to disconnect, and sends the answer."""
        if active_request.final is None:
            with active_request.disconnect_scope:  # cancelled when the final answer is set
                await exchange.wait_until_disconnected()
                self.runtime.client_disconnected(active_request)
        if active_request.client_gone or active_request.final is None:
            return  # the connection closes without an answer, or without its last chunk
        try:
            writer = active_request.response_writer
            if isinstance(writer, StreamResponseWriter) and active_request.begun:
                await writer.end(active_request.final)
            else:
                await send_final(exchange, active_request, active_request.final)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass  # the client disconnected before it received the answer; the request counts as answered
