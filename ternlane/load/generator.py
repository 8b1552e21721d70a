"""Sends a load to an OpenAI-compatible endpoint on loopback and records latencies.

Open loop: each request is sent at its scheduled time, and its latencies are measured from that time rather than from
the actual send. Otherwise a stalled server would receive fewer requests during the stall and its latencies would look
better than they are (coordinated omission). If the generator cannot keep its own schedule, it fails and reports no
figures. Closed loop: `at_once` clients, whose latencies are measured from the actual send.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from ipaddress import ip_address
from typing import Any
from urllib.parse import urlsplit

import h11
import msgspec
import trio

from ternlane.http1 import ClientConnection, ConnectError, ConnectionPool, EventReader
from ternlane.load.load_config import LoadConfig
from ternlane.load.plan import PlannedRequest, SessionSource, planned_requests
from ternlane.load.tally import LoadTally

CONNECT_TIMEOUT_MS = 5000.0
CONNECTION_IDLE_MS = 30e3
MAX_REPLY_BYTES = 1 << 24
MAX_ERROR_BYTES = 1 << 20
# Quantile of the generator's own send delay that is compared with LoadConfig.late_ms.
LATE_QUANTILE = 0.99
CONNECTION_ERRORS = (
    trio.BrokenResourceError,
    trio.ClosedResourceError,
    h11.RemoteProtocolError,
    msgspec.DecodeError,
)


class NotLoopbackError(ValueError):
    """The target is not a loopback address; load is sent to loopback only."""


class ScheduleMissedError(Exception):
    """The generator sent requests too late: the latencies would include its own delay."""


def address_of(url: str) -> tuple[str, str]:
    """Returns `host:port` and the path of the chat API. Raises NotLoopbackError."""
    parts = urlsplit(url if "//" in url else f"http://{url}")
    host = parts.hostname or ""
    if parts.scheme != "http" or not _is_loopback(host):
        raise NotLoopbackError(f"{url}: not an http URL of a loopback address")
    path = parts.path.rstrip("/").removesuffix("/v1").removesuffix("/v1/chat/completions")
    return f"{host}:{parts.port or 80}", f"{path}/v1/chat/completions"


def _is_loopback(host: str) -> bool:
    try:
        return host == "localhost" or ip_address(host).is_loopback
    except ValueError:
        return False


def _ignore(_line: dict[str, Any]) -> None:
    pass


class LoadGenerator:
    """Sends one configured load. An instance runs once."""

    def __init__(self, config: LoadConfig, url: str, report: Callable[[dict[str, Any]], None] = _ignore) -> None:
        """`report` receives a JSON-serializable record of each request when it ends. Raises NotLoopbackError."""
        self.config = config
        self.report = report
        self.address, self.path = address_of(url)
        self.pool = ConnectionPool(CONNECT_TIMEOUT_MS, CONNECTION_IDLE_MS)
        self.tally = LoadTally()
        self.open = 0  # requests in flight
        self._begin_s = 0.0  # on trio's clock

    def now_s(self) -> float:
        """Returns seconds since the load began."""
        return trio.current_time() - self._begin_s

    async def run(self) -> LoadTally:
        """Sends the load and returns its results.

        Raises ScheduleMissedError if an open loop's requests were sent too late (see LoadConfig.late_ms).
        """
        self._begin_s = trio.current_time()
        try:
            async with trio.open_nursery() as nursery:
                if self.config.at_once:
                    self._start_closed_loop(nursery)
                else:
                    await self._run_open_loop(nursery)
        finally:
            self.pool.close()
        if not self.config.at_once:
            self._check_schedule()
        return self.tally

    def _check_schedule(self) -> None:
        late_ms = self.tally.send_delay_ms
        if late_ms.count and late_ms.quantile(LATE_QUANTILE) > self.config.late_ms:
            raise ScheduleMissedError(
                f"1% of requests were sent at least {late_ms.quantile(LATE_QUANTILE):.1f} ms late; late_ms allows "
                f"{self.config.late_ms:.1f}: lower the rate or use more machines"
            )

    async def _run_open_loop(self, nursery: trio.Nursery) -> None:
        for request in planned_requests(self.config):
            await trio.sleep_until(self._begin_s + request.at_s)
            nursery.start_soon(self._run_session, request)

    def _start_closed_loop(self, nursery: trio.Nursery) -> None:
        for number in range(self.config.at_once):
            source = SessionSource(self.config, random.Random(f"{self.config.seed} {number}"))
            nursery.start_soon(self._client, source)

    async def _client(self, source: SessionSource) -> None:
        """Runs one session after another until the configured duration has passed."""
        while self.now_s() < self.config.seconds:
            await self._run_session(source.next(self.now_s()))

    async def _run_session(self, request: PlannedRequest) -> None:
        """Sends the session's requests one after another until one fails, none is left or the configured duration has
        passed."""
        while True:
            answer = await self._request(request)
            if answer is None or not request.turns_left or self.now_s() >= self.config.seconds:
                return
            due_s = self.now_s() + request.request_class.think_s
            await trio.sleep(request.request_class.think_s)
            request = request.next_turn(answer, due_s)

    async def _request(self, request: PlannedRequest) -> str | None:
        """Returns the response text, or None if the request did not complete."""
        begin_s = self.now_s()
        late_ms = (begin_s - request.at_s) * 1000
        self.tally.send_delay_ms.add(max(0.0, late_ms))
        exchange = _ChatExchange(self, request)
        self.open += 1
        try:
            outcome = await exchange.run()
        finally:
            self.open -= 1
        took_ms = (self.now_s() - request.at_s) * 1000
        self.tally.outcomes[outcome] += 1
        if outcome == "streamed":
            self.tally.complete_ms.add(took_ms)
        self.report(
            {
                "due_s": round(request.at_s, 6),
                "model": request.request_class.model,
                "outcome": outcome,
                "pieces": len(exchange.pieces),
                "first_ms": round(exchange.first_token_ms, 3),
                "whole_ms": round(took_ms, 3),
                "late_ms": round(late_ms, 3),
            }
        )
        return "".join(exchange.pieces) if outcome == "streamed" else None


class _ChatExchange:
    """A chat request sent over HTTP, and the response read so far."""

    def __init__(self, load: LoadGenerator, request: PlannedRequest) -> None:
        self.load = load
        self.request = request
        self.pieces: list[str] = []  # of the response text
        self.first_token_ms = 0.0  # 0: no token received
        self._last_token_ms = 0.0

    async def run(self) -> str:
        """Returns the outcome used in the request records and the summary."""
        connection: ClientConnection | None = None
        outcome = "unconnected"
        try:
            with trio.move_on_after(self.load.config.wait_s) as wait:
                connection = await self.load.pool.take(self.load.address)
                outcome = "broken"
                outcome = await self._send(connection)
            if wait.cancelled_caught:
                outcome = "no answer"
        except ConnectError:
            pass
        except CONNECTION_ERRORS:
            outcome = "broken"
        finally:
            if connection is not None:
                self._return_connection(connection, outcome)
        return outcome

    def _return_connection(self, connection: ClientConnection, outcome: str) -> None:
        if outcome in ("no answer", "broken"):
            connection.close_now()
            self.first_token_ms = 0.0  # not reported for responses that broke off or timed out
        else:
            self.load.pool.give_back(connection)

    async def _send(self, connection: ClientConnection) -> str:
        headers = [("Content-Type", "application/json")]
        if self.request.api_key:
            headers.append(("Authorization", f"Bearer {self.request.api_key}"))
        body = msgspec.json.encode(self.request.body())
        head = await connection.ask("POST", self.load.path, headers, body)
        if head.status_code != 200:
            await connection.body(MAX_ERROR_BYTES)
            return _outcome_of(head.status_code)
        if self.request.request_class.stream:
            return await self._read_stream(connection)
        reply = msgspec.json.decode(await connection.body(MAX_REPLY_BYTES))
        self.pieces.append(reply["choices"][0]["message"]["content"] or "")
        self.load.tally.tokens += (reply.get("usage") or {}).get("completion_tokens", 0)
        return "streamed"

    async def _read_stream(self, connection: ClientConnection) -> str:
        events = EventReader()
        complete = False
        async for chunk in connection.chunks():
            for data in events.feed(chunk):
                if data == "[DONE]":
                    complete = True
                    continue
                event = msgspec.json.decode(data)
                text = "".join(choice["delta"].get("content") or "" for choice in event.get("choices", ()))
                if text:
                    self._record_text(text)
        return "streamed" if complete else "terminated"

    def _record_text(self, text: str) -> None:
        """Records the text of a stream event and its latency. Each event with text counts as one token."""
        now_ms = (self.load.now_s() - self.request.at_s) * 1000
        tally = self.load.tally
        self.pieces.append(text)
        tally.tokens += 1
        if self._last_token_ms:
            tally.between_tokens_ms.add(now_ms - self._last_token_ms)
        else:
            self.first_token_ms = now_ms
            tally.first_token_ms.add(now_ms)
        self._last_token_ms = now_ms


def _outcome_of(status: int) -> str:
    if status in (429, 503):
        return "throttled"
    return "terminated" if status >= 500 else f"refused {status}"
