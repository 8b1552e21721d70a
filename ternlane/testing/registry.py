"""A fake registry with Consul's health API and blocking queries, written from its public description."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import Any, Literal
from urllib.parse import parse_qs

import msgspec
import trio

from ternlane.http1 import Exchange, serve_connection
from ternlane.testing.traffic import TrafficLog

Failure = Literal["errors", "silence", "garbage", "partial"]
NO_ANSWER_S = 60
DEFAULT_WAIT = "10000ms"
FIRST_INDEX = 10
MAX_BODY_BYTES = 1024
REQUEST_TIMEOUT_MS = 60e3
IDLE_TIMEOUT_MS = 300e3
SEND_TIMEOUT_MS = 10e3


@dataclass(frozen=True)
class RegisteredEndpoint:
    """The registry's entry of an engine."""

    ident: str
    address: str
    port: int
    role: str
    zone: str
    cell: int
    kv_capacity_tokens: float
    started: float = 0.0  # seconds since 1970
    state: str = "up"  # up, draining, gone

    def entry(self) -> dict[str, Any]:
        """The entry as the API returns it."""
        checks = [{"CheckID": "service:engine", "Status": "critical" if self.state == "gone" else "passing"}]
        if self.state == "draining":
            checks.append({"CheckID": f"_service_maintenance:{self.ident}", "Status": "critical"})
        meta = {
            "duty": self.role,
            "zone": self.zone,
            "cell": str(self.cell),
            "mem_toks": str(self.kv_capacity_tokens),
            "started": str(self.started),
        }
        return {
            "Node": {"Address": self.address},
            "Service": {
                "ID": self.ident,
                "Service": "engines",
                "Address": self.address,
                "Port": self.port,
                "Meta": meta,
            },
            "Checks": checks,
        }


class FakeRegistry:
    """Holds the endpoints and answers gateways. Logs each list that it returns."""

    def __init__(self, traffic: TrafficLog) -> None:
        """Has no endpoints at first."""
        self.traffic = traffic
        self.index = FIRST_INDEX
        self.endpoints: dict[str, RegisteredEndpoint] = {}
        self.failing: Failure | None = None
        self._changed = trio.Event()

    def put(self, endpoint: RegisteredEndpoint) -> None:
        """Adds an endpoint, or replaces the one with its id."""
        self.endpoints[endpoint.ident] = endpoint
        self.notify()

    def update(self, ident: str, **fields: Any) -> None:
        """Changes fields of an endpoint."""
        self.put(replace(self.endpoints[ident], **fields))

    def drop(self, ident: str) -> None:
        """Removes an endpoint."""
        self.endpoints.pop(ident, None)
        self.notify()

    def notify(self) -> None:
        """Increments the index, and answers the blocking queries."""
        self.index += 1
        self._changed.set()
        self._changed = trio.Event()

    def restart(self) -> None:
        """Simulates a restart: the index starts again from a low value, as the API allows."""
        self.index = 0
        self.notify()

    async def serve(self, listeners: list[trio.SocketListener]) -> None:
        """Serves until it is cancelled."""
        await trio.serve_listeners(self._connection, listeners)

    async def _connection(self, stream: trio.SocketStream) -> None:
        await serve_connection(
            stream,
            self._handle,
            body_bytes=MAX_BODY_BYTES,
            head_ms=REQUEST_TIMEOUT_MS,
            body_ms=REQUEST_TIMEOUT_MS,
            idle_ms=IDLE_TIMEOUT_MS,
            send_ms=SEND_TIMEOUT_MS,
        )

    async def _handle(self, exchange: Exchange) -> None:
        if self.failing == "silence":
            await trio.sleep(NO_ANSWER_S)
        if self.failing == "errors":
            await exchange.answer(500, [], b"no cluster leader", "text/plain")
            return
        query = parse_qs(exchange.query)
        known_index = int(query.get("index", ["0"])[0])
        wait = query.get("wait", [DEFAULT_WAIT])[0]
        if known_index and known_index >= self.index:
            await self._wait_for_change(known_index, float(wait.removesuffix("ms")))
        if self.failing == "garbage":
            await exchange.answer(200, [("X-Consul-Index", str(self.index))], b'[{"Service": 7')
            return
        await self._answer_list(exchange, known_index)

    async def _wait_for_change(self, known_index: int, wait_ms: float) -> None:
        with trio.move_on_after(wait_ms / 1000):
            while known_index >= self.index and self.failing is None:
                await self._changed.wait()

    async def _answer_list(self, exchange: Exchange, known_index: int) -> None:
        endpoints = list(self.endpoints.values())
        if self.failing == "partial":  # only half of the list
            endpoints = endpoints[: len(endpoints) // 2]
        agent = exchange.header(b"user-agent") or ""
        gateway = agent[agent.find("(") + 1 : -1]
        index = self.index
        states = {endpoint.ident: [endpoint.state, endpoint.started] for endpoint in endpoints}
        body = msgspec.json.encode([endpoint.entry() for endpoint in endpoints])
        await exchange.answer(200, [("X-Consul-Index", str(index))], body)
        if index != known_index:
            self.traffic.line("told", gw=gateway, index=index, states=states)
