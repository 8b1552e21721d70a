"""Sends a load to an OpenAI-style address on loopback and keeps its times.

Open loop: a request goes out when it was due, and its times count from then, not from when the tool got round to it:
else a server that stalls would be asked less while it stalls, and look well. A tool that can't keep its own schedule
says so and reports nothing. Closed loop: `at_once` clients, whose times count from their own sending.
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
# The tool may be late for this part of the requests; see LoadConfig.late_ms.
LATE_QUANTILE = 0.99
CONNECTION_BROKEN = (
    trio.BrokenResourceError,
    trio.ClosedResourceError,
    h11.RemoteProtocolError,
    msgspec.DecodeError,
)


class NotLoopbackError(ValueError):
    """Loads are sent to loopback addresses only."""


class ScheduleMissedError(Exception):
    """The tool was later than its own schedule allows: its figures would be its own, not the server's."""


def address_of(url: str) -> tuple[str, str]:
    """`host:port`, and the path of the chat API. Raises NotLoopbackError."""
    parts = urlsplit(url if "//" in url else f"http://{url}")
    host = parts.hostname or ""
    if parts.scheme != "http" or not _is_loopback(host):
        raise NotLoopbackError(f"{url}: an http address on this machine's loopback is needed")
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
    """One load, sent once."""

    def __init__(self, config: LoadConfig, url: str, report: Callable[[dict[str, Any]], None] = _ignore) -> None:
        """`report` is given a JSON-ready line for each request as it ends. Raises NotLoopbackError."""
        self.config = config
        self.report = report
        self.address, self.path = address_of(url)
        self.pool = ConnectionPool(CONNECT_TIMEOUT_MS, CONNECTION_IDLE_MS)
        self.tally = LoadTally()
        self.open = 0  # requests without an answer
        self._begin_s = 0.0  # by trio's clock

    def now_s(self) -> float:
        """Seconds since the load began."""
        return trio.current_time() - self._begin_s

    async def run(self) -> LoadTally:
        """Raises ScheduleMissedError where the tool itself was too late too often (open loop)."""
        self._begin_s = trio.current_time()
        try:
            async with trio.open_nursery() as nursery:
                if self.config.at_once:
                    self._start_clients(nursery)
                else:
                    await self._send_in_time(nursery)
        finally:
            self.pool.close()
        if not self.config.at_once:
            self._check_schedule()
        return self.tally

    def _check_schedule(self) -> None:
        late_ms = self.tally.tool_late_ms
        if late_ms.count and late_ms.quantile(LATE_QUANTILE) > self.config.late_ms:
            raise ScheduleMissedError(
                f"the tool was {late_ms.quantile(LATE_QUANTILE):.1f} ms late for one request in a hundred, over "
                f"{self.config.late_ms:.1f}: a lower rate, or more machines, are needed"
            )

    async def _send_in_time(self, nursery: trio.Nursery) -> None:
        for request in planned_requests(self.config):
            await trio.sleep_until(self._begin_s + request.at_s)
            nursery.start_soon(self._session, request)

    def _start_clients(self, nursery: trio.Nursery) -> None:
        for number in range(self.config.at_once):
            source = SessionSource(self.config, random.Random(f"{self.config.seed} {number}"))
            nursery.start_soon(self._client, source)

    async def _client(self, source: SessionSource) -> None:
        """Sends, waits for the answer, and sends again until the time is up."""
        while self.now_s() < self.config.seconds:
            await self._session(source.next(self.now_s()))

    async def _session(self, request: PlannedRequest) -> None:
        while True:
            answer = await self._request(request)
            if answer is None or not request.turns_left or self.now_s() >= self.config.seconds:
                return
            due_s = self.now_s() + request.mix.think_s
            await trio.sleep(request.mix.think_s)
            request = request.next_turn(answer, due_s)

    async def _request(self, request: PlannedRequest) -> str | None:
        """The answer's text, or None where there was none."""
        begin_s = self.now_s()
        late_ms = (begin_s - request.at_s) * 1000
        self.tally.tool_late_ms.add(max(0.0, late_ms))
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
                "model": request.mix.model,
                "outcome": outcome,
                "pieces": len(exchange.pieces),
                "first_ms": round(exchange.first_token_ms, 3),
                "whole_ms": round(took_ms, 3),
                "late_ms": round(late_ms, 3),
            }
        )
        return "".join(exchange.pieces) if outcome == "streamed" else None


class _ChatExchange:
    """One chat request over HTTP."""

    def __init__(self, load: LoadGenerator, request: PlannedRequest) -> None:
        self.load = load
        self.request = request
        self.pieces: list[str] = []  # of the answer's text
        self.first_token_ms = 0.0  # 0: none came
        self._last_token_ms = 0.0

    async def run(self) -> str:
        """The outcome, as lines and summary say it."""
        connection: ClientConnection | None = None
        outcome = "unconnected"
        try:
            with trio.move_on_after(self.load.config.wait_s) as wait:
                connection = await self.load.pool.take(self.load.address)
                outcome = "broken"
                outcome = await self._ask(connection)
            if wait.cancelled_caught:
                outcome = "no answer"
        except ConnectError:
            pass
        except CONNECTION_BROKEN:
            outcome = "broken"
        finally:
            if connection is not None:
                self._give_back(connection, outcome)
        return outcome

    def _give_back(self, connection: ClientConnection, outcome: str) -> None:
        if outcome in ("no answer", "broken"):
            connection.close_now()
            self.first_token_ms = 0.0  # lines give it only for answers that came to an end
        else:
            self.load.pool.give_back(connection)

    async def _ask(self, connection: ClientConnection) -> str:
        headers = [("Content-Type", "application/json")]
        if self.request.api_key:
            headers.append(("Authorization", f"Bearer {self.request.api_key}"))
        body = msgspec.json.encode(self.request.body())
        head = await connection.ask("POST", self.load.path, headers, body)
        if head.status_code != 200:
            await connection.body(MAX_ERROR_BYTES)
            return _outcome_of(head.status_code)
        if self.request.mix.stream:
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
                    self._take_text(text)
        return "streamed" if complete else "terminated"

    def _take_text(self, text: str) -> None:
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
