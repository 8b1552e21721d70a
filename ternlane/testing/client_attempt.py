"""An attempt of a fake client: sends a chat request over HTTP and records the answer."""

from __future__ import annotations

import zlib
from dataclasses import dataclass
from typing import Any

import h11
import msgspec
import trio

from ternlane.http1 import ClientConnection, ConnectError, ConnectionPool, EventReader
from ternlane.testing.client_workload import ClientOutcome, ClientResult, Session
from ternlane.testing.prefix_cache import TOKEN_BYTES
from ternlane.testing.sockets import STREAM_CLOSED
from ternlane.testing.traffic import TrafficLog, clock_ms

EXTRA_WAIT_MS = 300.0  # waited after the deadline, so that a late answer is recorded as late
MAX_REPLY_BYTES = 64 * 2**20
CHUNK_BYTES = 65536
CONNECTION_BROKEN = (OSError, *STREAM_CLOSED, h11.RemoteProtocolError)


@dataclass
class AttemptPlan:
    """The random choices for an attempt, drawn before it is sent."""

    task: str  # id of the request, common to all its retries
    number: int  # index of the attempt: 0, then 1 for the first retry
    deadline_ms: float
    stream: bool
    disconnect_after_ms: float | None = None  # when the client disconnects; None: it does not

    @property
    def name(self) -> str:
        """The value of the X-Request-Id header."""
        return f"{self.task}.{self.number}"


class ClientAttempt:
    """Sends one attempt and logs it as JSON lines."""

    def __init__(self, pool: ConnectionPool, traffic: TrafficLog, session: Session, plan: AttemptPlan) -> None:
        """Nothing is sent until `run`."""
        self.pool = pool
        self.traffic = traffic
        self.session = session
        self.plan = plan
        self.request = session.qualified(plan.name)
        self.result = ClientResult()
        self._connection: ClientConnection | None = None
        self._scope = trio.CancelScope()

    async def run(self, address: str) -> ClientResult:
        """Runs the attempt. Connection failures and error answers do not raise; they are in the result.
        A malformed answer raises."""
        plan = self.plan
        result = self.result
        timeout_ms = plan.deadline_ms + EXTRA_WAIT_MS if plan.disconnect_after_ms is None else plan.disconnect_after_ms
        self._scope.deadline = trio.current_time() + timeout_ms / 1000
        try:
            with self._scope:
                self._connection = await self.pool.connect(address)
                self._log_request(self._connection)
                await self._send_request(self._connection)
        except ConnectError:
            result.outcome = ClientOutcome.UNREACHABLE
        except CONNECTION_BROKEN as error:
            result.outcome = ClientOutcome.BROKEN
            result.reason = repr(error)
        if self._scope.cancelled_caught and plan.disconnect_after_ms is not None:
            result.outcome = ClientOutcome.LEFT
        if self._connection is not None:
            self._connection.close_now()
            self._log_final()
        return result

    def _log_request(self, connection: ClientConnection) -> None:
        workload = self.session.workload
        prompt_bytes = sum(len(message["content"]) for message in self.session.messages)
        self.traffic.line(
            "ask",
            gen=self.request,
            task=self.session.qualified(self.plan.task),
            product=workload.request_class,
            effect=workload.effect,
            limit_ms=round(self.plan.deadline_ms, 1),
            port=connection.local[1],
            toks=prompt_bytes / TOKEN_BYTES,
            stream=self.plan.stream,
        )

    def _log_final(self) -> None:
        result = self.result
        self.traffic.line(
            "final",
            gen=self.request,
            outcome=result.outcome,
            status=result.status,
            why=result.reason,
            unread=result.trailing_bytes,
            crc=zlib.crc32(result.text.encode()),
            usage=result.usage,
            pause=result.retry_after_ms,
            text=result.text,
            gap=round(result.longest_gap_ms, 1),
        )

    def _body(self) -> bytes:
        session = self.session
        body: dict[str, Any] = {
            "model": session.workload.request_class,
            "messages": session.messages,
            "stream": self.plan.stream,
            "max_tokens": session.workload.max_tokens,
            "user": session.user,
            "temperature": 0,
        }
        if self.plan.stream:
            body["stream_options"] = {"include_usage": True}
        if session.cache_key is not None:
            body["prompt_cache_key"] = session.cache_key
        return msgspec.json.encode(body)

    def _headers(self) -> list[tuple[str, str]]:
        session = self.session
        headers = [
            ("Content-Type", "application/json"),
            ("X-Request-Id", self.plan.name),
            ("X-Ternlane-Time-Limit-Ms", f"{self.plan.deadline_ms:.1f}"),
            ("Connection", "close"),
        ]
        if session.tenant is not None:
            headers.append(("Authorization", f"Bearer {session.tenant.api_key}"))
        if session.workload.effect == "deduplicated":
            headers.append(("Idempotency-Key", session.qualified(self.plan.task)))
        return headers

    async def _send_request(self, connection: ClientConnection) -> None:
        response = await connection.ask("POST", "/v1/chat/completions", self._headers(), self._body())
        self.result.status = response.status_code
        headers = {name: value.decode("latin-1") for name, value in response.headers}
        if headers.get(b"content-type", "").startswith("text/event-stream"):
            await self._read_stream(connection)
        else:
            reply = msgspec.json.decode(await connection.body(MAX_REPLY_BYTES))
            if response.status_code == 200:
                self._read_reply(reply)
            else:
                self._read_error(reply, headers)
        await self._count_trailing_bytes(connection)

    def _read_reply(self, reply: dict[str, Any]) -> None:
        self.result.outcome = ClientOutcome.STREAMED  # a complete answer, streamed or not
        self.result.text = reply["choices"][0]["message"]["content"]
        self.result.usage = reply["usage"]
        self.traffic.line("first", gen=self.request)

    def _read_error(self, reply: dict[str, Any], headers: dict[bytes, str]) -> None:
        result = self.result
        result.outcome = ClientOutcome.FAILED
        if b"x-front" in headers:  # set by the load balancer if it reached no gateway
            result.outcome = ClientOutcome.UNREACHABLE
        elif result.status == 429:
            result.outcome = ClientOutcome.REJECTED
        result.reason = reply["error"]["message"]
        if b"retry-after-ms" in headers:
            result.retry_after_ms = float(headers[b"retry-after-ms"])

    async def _count_trailing_bytes(self, connection: ClientConnection) -> None:
        """Counts the bytes after the final answer. There should be none, as the request has `Connection: close`."""
        try:
            while data := await connection.stream.receive_some(CHUNK_BYTES):
                self.result.trailing_bytes += len(data)
        except CONNECTION_BROKEN:
            pass

    async def _read_stream(self, connection: ClientConnection) -> None:
        reader = _StreamReader(self)
        last_ms: float | None = None
        async for chunk in connection.chunks():
            now_ms = clock_ms()
            if last_ms is not None:
                self.result.longest_gap_ms = max(self.result.longest_gap_ms, now_ms - last_ms)
            last_ms = now_ms
            if self.plan.disconnect_after_ms is None:  # once a stream has begun, the timeout applies to each event
                self._scope.deadline = trio.current_time() + self.plan.deadline_ms / 1000
            reader.feed(chunk)
        self.result.text = "".join(reader.pieces)
        self.result.outcome = reader.end or ClientOutcome.BROKEN


class _StreamReader:
    """Parses the events of an attempt's stream."""

    def __init__(self, attempt: ClientAttempt) -> None:
        self.attempt = attempt
        self.pieces: list[str] = []
        self.end: ClientOutcome | None = None  # outcome set by the first end marker or error
        self._events = EventReader()

    def feed(self, chunk: bytes) -> None:
        for data in self._events.feed(chunk):
            if self.end is not None:
                self.attempt.result.trailing_bytes += len(data)
            if data == "[DONE]":
                self.end = self.end or ClientOutcome.STREAMED
                continue
            event = msgspec.json.decode(data)
            if "error" in event:
                self.end = self.end or ClientOutcome.FAILED
                self.attempt.result.reason = event["error"]["message"]
                continue
            self._read_event(event)

    def _read_event(self, event: dict[str, Any]) -> None:
        attempt = self.attempt
        for choice in event["choices"]:
            text = choice["delta"].get("content")
            if not text:
                continue
            if not self.pieces:
                attempt.traffic.line("first", gen=attempt.request)
            self.pieces.append(text)
        attempt.result.usage = event.get("usage") or attempt.result.usage
