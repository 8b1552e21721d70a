"""A stand-in registry that speaks Consul's health API with blocking queries (from its published description)."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import Any
from urllib.parse import parse_qs

import msgspec
import trio

from ternlane.http1 import Exchange, serve_connection
from ternlane.testing.traffic import Traffic


@dataclass(frozen=True)
class EndpointList:
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


class Registry:
    def __init__(self, traffic: Traffic) -> None:
        self.traffic = traffic
        self.index = 10
        self.listings: dict[str, EndpointList] = {}
        self.changed = trio.Event()
        self.failing: str | None = None  # None, "errors", "silence", "garbage" or "partial"

    def put(self, listing: EndpointList) -> None:
        self.listings[listing.ident] = listing
        self.bump()

    def alter(self, ident: str, **fields: Any) -> None:
        self.put(replace(self.listings[ident], **fields))

    def drop(self, ident: str) -> None:
        self.listings.pop(ident, None)
        self.bump()

    def bump(self) -> None:
        self.index += 1
        self.changed.set()
        self.changed = trio.Event()

    def restart(self) -> None:
        """Comes back with its index counted anew, as the API allows."""
        self.index = 0
        self.bump()

    async def serve(self, listeners: list[trio.SocketListener]) -> None:
        await trio.serve_listeners(self.connection, listeners)

    async def connection(self, stream: trio.SocketStream) -> None:
        await serve_connection(
            stream, self.handle, body_bytes=1024, head_ms=60e3, body_ms=60e3, idle_ms=300e3, send_ms=10e3
        )

    async def handle(self, exchange: Exchange) -> None:
        if self.failing == "silence":
            await trio.sleep(60)
        if self.failing == "errors":
            await exchange.answer(500, [], b"no cluster leader", "text/plain")
            return
        query = parse_qs(exchange.query)
        known, wait = int(query.get("index", ["0"])[0]), query.get("wait", ["10000ms"])[0]
        if known and known >= self.index:
            with trio.move_on_after(float(wait.removesuffix("ms")) / 1000):
                while known >= self.index and self.failing is None:
                    await self.changed.wait()
        if self.failing == "garbage":
            await exchange.answer(200, [("X-Consul-Index", str(self.index))], b'[{"Service": 7')
            return
        listings = [v for v in self.listings.values()]
        if self.failing == "partial":  # half of the list only
            listings = listings[: len(listings) // 2]
        agent = exchange.header(b"user-agent") or ""
        who, index = agent[agent.find("(") + 1 : -1], self.index
        body = msgspec.json.encode([v.entry() for v in listings])
        told = {v.ident: [v.state, v.started] for v in listings}
        await exchange.answer(200, [("X-Consul-Index", str(index))], body)
        if index != known:
            self.traffic.line("told", gw=who, index=index, states=told)
