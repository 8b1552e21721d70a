"""One attempt of a fake client: a chat request over HTTP, and what it hears."""

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

LISTENS_ON_MS = 300.0  # after the deadline, so that an answer that comes late is seen to be late
MAX_REPLY_BYTES = 64 * 2**20
CHUNK_BYTES = 65536
CONNECTION_BROKEN = (OSError, *STREAM_CLOSED, h11.RemoteProtocolError)


@dataclass
class AttemptPlan:
    """What was drawn of an attempt before it is sent."""

    task: str  # the request, over all its retries
    number: int  # of the retry, from 0
    deadline_ms: float
    stream: bool
    leave_after_ms: float | None = None  # its client leaves then; None: it stays

    @property
    def name(self) -> str:
        """The request's id for the gateway."""
        return f"{self.task}.{self.number}"


class ClientAttempt:
    """Sends one attempt and writes the JSON lines of it."""

    def __init__(self, pool: ConnectionPool, traffic: TrafficLog, session: Session, plan: AttemptPlan) -> None:
        """Nothing is sent before `run`."""
        self.pool = pool
        self.traffic = traffic
        self.session = session
        self.plan = plan
        self.request = session.owned(plan.name)
        self.result = ClientResult()
        self._connection: ClientConnection | None = None
        self._scope = trio.CancelScope()

    async def run(self, address: str) -> ClientResult:
        """Never raises for what the gateway does; the result says it."""
        plan = self.plan
        result = self.result
        stay_ms = plan.deadline_ms + LISTENS_ON_MS if plan.leave_after_ms is None else plan.leave_after_ms
        self._scope.deadline = trio.current_time() + stay_ms / 1000
        try:
            with self._scope:
                self._connection = await self.pool.connect(address)
                self._log_ask(self._connection)
                await self._ask(self._connection)
        except ConnectError:
            result.outcome = ClientOutcome.UNREACHABLE
        except CONNECTION_BROKEN as error:
            result.outcome = ClientOutcome.BROKEN
            result.why = repr(error)
        if self._scope.cancelled_caught and plan.leave_after_ms is not None:
            result.outcome = ClientOutcome.LEFT
        if self._connection is not None:
            self._connection.close_now()
            self._log_final()
        return result

    def _log_ask(self, connection: ClientConnection) -> None:
        workload = self.session.workload
        prompt_bytes = sum(len(message["content"]) for message in self.session.messages)
        self.traffic.line(
            "ask",
            gen=self.request,
            task=self.session.owned(self.plan.task),
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
            why=result.why,
            unread=result.unread_bytes,
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
            headers.append(("Idempotency-Key", session.owned(self.plan.task)))
        return headers

    async def _ask(self, connection: ClientConnection) -> None:
        response = await connection.ask("POST", "/v1/chat/completions", self._headers(), self._body())
        self.result.status = response.status_code
        headers = {name: value.decode("latin-1") for name, value in response.headers}
        if headers.get(b"content-type", "").startswith("text/event-stream"):
            await self._read_stream(connection)
        else:
            reply = msgspec.json.decode(await connection.body(MAX_REPLY_BYTES))
            if response.status_code == 200:
                self._take_reply(reply)
            else:
                self._take_error(reply, headers)
        await self._count_unread(connection)

    def _take_reply(self, reply: dict[str, Any]) -> None:
        self.result.outcome = ClientOutcome.STREAMED
        self.result.text = reply["choices"][0]["message"]["content"]
        self.result.usage = reply["usage"]
        self.traffic.line("first", gen=self.request)

    def _take_error(self, reply: dict[str, Any], headers: dict[bytes, str]) -> None:
        result = self.result
        result.outcome = ClientOutcome.FAILED
        if b"x-front" in headers:
            result.outcome = ClientOutcome.UNREACHABLE
        elif result.status == 429:
            result.outcome = ClientOutcome.REJECTED
        result.why = reply["error"]["message"]
        if b"retry-after-ms" in headers:
            result.retry_after_ms = float(headers[b"retry-after-ms"])

    async def _count_unread(self, connection: ClientConnection) -> None:
        """The gateway was asked to close: anything that still comes is something after the final answer."""
        try:
            while data := await connection.stream.receive_some(CHUNK_BYTES):
                self.result.unread_bytes += len(data)
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
            if self.plan.leave_after_ms is None:  # a begun stream has no deadline but the client's wait for each event
                self._scope.deadline = trio.current_time() + self.plan.deadline_ms / 1000
            reader.feed(chunk)
        self.result.text = "".join(reader.pieces)
        self.result.outcome = reader.end or ClientOutcome.BROKEN


class _StreamReader:
    """Reads the events of an attempt's stream."""

    def __init__(self, attempt: ClientAttempt) -> None:
        self.attempt = attempt
        self.pieces: list[str] = []
        self.end: ClientOutcome | None = None  # by the first end mark or error
        self._events = EventReader()

    def feed(self, chunk: bytes) -> None:
        for data in self._events.feed(chunk):
            if self.end is not None:
                self.attempt.result.unread_bytes += len(data)
            if data == "[DONE]":
                self.end = self.end or ClientOutcome.STREAMED
                continue
            event = msgspec.json.decode(data)
            if "error" in event:
                self.end = self.end or ClientOutcome.FAILED
                self.attempt.result.why = event["error"]["message"]
                continue
            self._take_event(event)

    def _take_event(self, event: dict[str, Any]) -> None:
        attempt = self.attempt
        for choice in event["choices"]:
            text = choice["delta"].get("content")
            if not text:
                continue
            if not self.pieces:
                attempt.traffic.line("first", gen=attempt.request)
            self.pieces.append(text)
        attempt.result.usage = event.get("usage") or attempt.result.usage
