"""Serves clients' connections: reads requests, hands them to the runtime, and writes the answers."""

from __future__ import annotations

from typing import Any

import msgspec
import trio

from ternlane.event_loop import Failed, Rejected, now_ms
from ternlane.http1 import (
    NO_MEMORY,
    BadRequest,
    CloseReason,
    ConnectionLimits,
    Exchange,
    ServerConnection,
    SharedLimits,
)
from ternlane.platform.active_request import ActiveRequest, Streamed
from ternlane.platform.errors import InvalidRequestError
from ternlane.platform.protocol import CHAT_PATH, MAX_BODY_BYTES, READY_PATH, ParsedRequest, parse_request
from ternlane.platform.runtime import PlatformRuntime
from ternlane.policy.messages import Request
from ternlane.policy.stream_limits import stream_limits

# Size limit of a request's head.
MAX_HEAD_BYTES = 16384
# Time limit for a request's head, for its body, and from the start of a connection to its first request. The platform
# protocol requires that a client without a request is disconnected within 3 s of connecting; the remaining 300 ms are
# for the network.
REQUEST_TIMEOUT_MS = 2700.0
# The platform protocol allows closing a connection without an open request after 2 s.
IDLE_TIMEOUT_MS = 2300.0
# A client that accepts no bytes for this long counts as disconnected.
SEND_TIMEOUT_MS = 3000.0


class ChatServer:
    """Serves clients' connections. The gateway sets the limits at the start and on each reload.

    When `connection_limit` connections are open, a new one replaces the one that has been idle for longest. Beyond
    `request_limit` active requests, or what `shared_limits` allow to hold of messages, requests are rejected at once.
    """

    connection_limit: int
    request_limit: int

    def __init__(self, runtime: PlatformRuntime, shared_limits: SharedLimits, log: Any) -> None:
        self.runtime = runtime
        self.shared_limits = shared_limits
        self.log = log
        self.open: set[ServerConnection] = set()
        self.idle: dict[ServerConnection, None] = {}  # the longest idle first
        self.ready = False
        self.draining = False
        self.reading_stopped = False
        self.limits = ConnectionLimits(
            MAX_BODY_BYTES,
            head_ms=REQUEST_TIMEOUT_MS,
            body_ms=REQUEST_TIMEOUT_MS,
            idle_ms=IDLE_TIMEOUT_MS,
            send_ms=SEND_TIMEOUT_MS,
            head_bytes=MAX_HEAD_BYTES,
            first_ms=REQUEST_TIMEOUT_MS,
        )

    # -- connections

    @property
    def connections(self) -> int:
        """The number of open client connections."""
        return len(self.open)

    def has_room(self) -> bool:
        """Whether another connection may be accepted. Closes the longest idle one if that is needed."""
        return self.connections < self.connection_limit or self.close_longest_idle()

    def serve_connection(self, stream: trio.SocketStream, nursery: trio.Nursery) -> None:
        """Serves a connection in a task of its own."""
        connection = ServerConnection(
            stream,
            self._handle,
            self.limits,
            error_body=self._error_body,
            draining=lambda: self.draining,
            shared_limits=self.shared_limits,
            retry_after_ms=self._retry_after_ms,
            on_idle_changed=self._idle_changed,
            on_close=self._closed,
        )
        if self.reading_stopped:
            connection.stop_reading()
        self.open.add(connection)
        nursery.start_soon(self._serve, connection)

    def close_longest_idle(self) -> bool:
        """Closes the connection that has been idle for longest. False if none is idle or all have unread bytes."""
        return any(connection.close_if_idle() for connection in list(self.idle))

    def close_idle(self, served_only: bool = False) -> None:
        """Closes the idle connections without unread bytes; the others are answered first and then closed."""
        for connection in list(self.idle):
            if connection.has_received_request or not served_only:
                connection.close_if_idle(CloseReason.DRAINING)

    def stop_reading(self) -> None:
        """Stops reading requests: those that are incomplete are refused."""
        self.reading_stopped = True
        for connection in list(self.open):
            connection.stop_reading()

    async def _serve(self, connection: ServerConnection) -> None:
        try:
            await connection.serve()
        except Exception:  # a programming error must not end the other connections
            self.log.exception("connection")
        finally:
            self.open.discard(connection)

    def _idle_changed(self, connection: ServerConnection) -> None:
        if connection.idle:
            self.idle[connection] = None
        else:
            self.idle.pop(connection, None)

    def _closed(self, reason: CloseReason) -> None:
        self.runtime.reporter.counts[f"connection {reason.name}"] += 1

    # -- requests

    async def _handle(self, exchange: Exchange) -> None:
        """Serves one request. Raises BadRequest if it is invalid or its path is not served."""
        route = (exchange.method, exchange.path)
        try:
            if route == ("POST", CHAT_PATH):
                await self._handle_chat(exchange)
            elif route == ("GET", READY_PATH):
                await self._answer_ready(exchange)
            elif exchange.path in (CHAT_PATH, READY_PATH):
                raise InvalidRequestError(405, "method", "this path is not asked that way")
            else:
                raise InvalidRequestError(404, "path", "nothing is served at this path")
        except InvalidRequestError as error:
            raise BadRequest(error.status, error.why, error.code) from None

    async def _answer_ready(self, exchange: Exchange) -> None:
        if self.ready and not self.draining:
            await exchange.answer(200, [], b"ready\n", "text/plain")
        else:
            await exchange.answer(503, [], b"not ready\n", "text/plain")

    async def _handle_chat(self, exchange: Exchange) -> None:
        runtime = self.runtime
        parsed = parse_request(_headers(exchange), exchange.body, runtime.deployment)
        if parsed.request_id in runtime.requests_by_id:
            raise InvalidRequestError(409, "open_id", "a request with this Request-Id is open")
        if len(runtime.active_requests) >= self.request_limit:
            runtime.reporter.counts[f"refused {NO_MEMORY}"] += 1
            await exchange.answer(503, [], error_body(NO_MEMORY, "this gateway holds as much as it may"))
            return
        active_request = ActiveRequest(
            parsed.request_id,
            self._request(parsed, exchange),
            exchange,
            exchange.body,
            received_ms=now_ms(),
            stream_limits=stream_limits(parsed.answer_tokens),
        )
        exchange.body = b""
        runtime.receive_request(active_request)
        await self._answer(exchange, active_request)

    def _request(self, parsed: ParsedRequest, exchange: Exchange) -> Request:
        """The request in the router's terms.

        The platform protocol counts the timeout from the request's last byte: the time that a slow client took to send
        it does not count, but the time for which it waited unread while this event loop was busy does, also before its
        connection was accepted.
        """
        deployment = self.runtime.deployment
        request_class = deployment.request_classes[parsed.request_class]
        timeout_ms = parsed.client_timeout_ms or request_class.deadline_ms
        waited_ms = self.runtime.loop_times.waited_ms(exchange.stream)
        left_ms = timeout_ms - waited_ms - self.runtime.expected_lateness_ms()
        request = deployment.request(
            request_class,
            parsed.session,
            parsed.prefix,
            parsed.prefix_tokens,
            parsed.prompt_tokens,
            parsed.max_tokens,
            max(0.0, left_ms),
            parsed.tenant,
        )
        request.waited_ms = waited_ms
        return request

    def _retry_after_ms(self) -> float:
        """The longest pause that the settings allow; 0 if they allow none."""
        router_config = self.runtime.deployment.router_config
        return router_config.max_retry_after_ms if router_config.may_send_retry_after else 0.0

    async def _answer(self, exchange: Exchange, active_request: ActiveRequest) -> None:
        """Waits for the final answer, and writes it unless it was streamed."""
        try:
            if not active_request.is_finished:
                with active_request.client_watch:  # cancelled when the answer is final
                    await exchange.wait_until_disconnected()
                    self.runtime.client_disconnected(active_request)
        finally:
            if not active_request.is_finished:  # this task was cancelled from outside
                self.runtime.client_disconnected(active_request)
        match active_request.final:
            case Rejected(pause_ms):
                head = [("Retry-After", f"{pause_ms / 1000:.3f}")] if pause_ms > 0 else []
                body = error_body(Rejected.recorded_as, "nothing has run; a new try does no harm")
                await exchange.answer(503, head, body)
            case Failed(why):
                await exchange.answer(502, [], error_body(Failed.recorded_as, why or "no server could finish it"))
            case Streamed() | None:
                pass  # already written; if incomplete, or the client has disconnected, the connection just ends

    def _error_body(self, _: Exchange | None, error: BadRequest) -> tuple[bytes, str]:
        self.runtime.reporter.counts[f"refused {error.code}"] += 1
        return error_body(error.code, error.why), "application/json"


def _headers(exchange: Exchange) -> dict[bytes, str]:
    """The request's headers. Raises InvalidRequestError if a header of the protocol is repeated: it is ambiguous."""
    headers: dict[bytes, str] = {}
    for name, value in exchange.request.headers:
        if name in headers and name.startswith((b"request-", b"affinity-")):
            raise InvalidRequestError(400, "twice", f"{name.decode()} is given twice")
        headers[bytes(name)] = _header_text(value)
    return headers


def _header_text(value: bytes) -> str:
    """A header's value, decoded as UTF-8, as names in the settings are, or else as ISO 8859-1."""
    try:
        return value.decode()
    except UnicodeDecodeError:
        return value.decode("latin-1")


def error_body(code: str, why: str) -> bytes:
    """The body of an error answer."""
    return msgspec.json.encode({"error": {"code": code, "message": why}})
