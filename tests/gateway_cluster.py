"""A chat gateway with fake engines and a client, in one trio run over loopback sockets."""

from __future__ import annotations

import json
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace
from typing import Any

import h11
import msgspec
import trio

from ternlane.config import FleetConfig, GatewayConfig, NodeLine, RequestClassConfig
from ternlane.config.gateway import InlineSource, ServerLimits
from ternlane.gateway import Gateway, GatewayRuntime, open_gateway
from ternlane.http1 import ClientConnection, ConnectionPool, EventReader
from ternlane.policy.router import Router
from ternlane.testing.engine import EngineProfile, FakeEngine
from ternlane.testing.traffic import TrafficLog

REQUEST_CLASSES = [
    RequestClassConfig(
        name="summary", effect="idempotent", slo_ms=400, token_slo_ms=60, deadline_ms=2000, priority_weight=3
    ),
    RequestClassConfig(
        name="note", effect="side-effecting", slo_ms=400, token_slo_ms=60, deadline_ms=1500, priority_weight=2
    ),
    RequestClassConfig(
        name="form", effect="deduplicated", group="cell", window_ms=1500, slo_ms=400, token_slo_ms=60, deadline_ms=1500
    ),
]


def scaled_request_classes(times: float) -> list[RequestClassConfig]:
    """REQUEST_CLASSES with longer times, for tests that a busy machine must not fail."""
    return [
        msgspec.structs.replace(p, slo_ms=times * p.slo_ms, deadline_ms=times * p.deadline_ms) for p in REQUEST_CLASSES
    ]


ENGINE_PROFILE = EngineProfile(
    slots=8,
    prefill_tokens_per_s=40e3,
    token_ms=3.0,
    token_growth=0.0,
    answer_tokens=(6, 6),
    slow_start_ms=2000,
    slow_start_share=0.3,
)
FLEET_CONFIG = FleetConfig(
    connect_ms=150, release_ms=300, slow_start_ms=2000, slow_start_share=0.3, fall_multiple=3, fall_ms=1000
)


@dataclass
class Reply:
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    events: list[str] = field(default_factory=list)
    broke: bool = False

    @property
    def text(self) -> str:
        parsed = [json.loads(e) for e in self.events if e != "[DONE]"]
        return "".join(c["delta"].get("content") or "" for s in parsed if "choices" in s for c in s["choices"])

    @property
    def done(self) -> int:
        return self.events.count("[DONE]")

    @property
    def error(self) -> dict[str, Any] | None:
        if self.events:
            parsed = [json.loads(e) for e in self.events if e != "[DONE]"]
            return next((s["error"] for s in parsed if "error" in s), None)
        return json.loads(self.body).get("error")


class GatewayCluster:
    def __init__(self, nursery: trio.Nursery) -> None:
        self.nursery = nursery
        self.traffic = TrafficLog(None)
        self.engines: dict[str, FakeEngine] = {}
        self.gateway: Gateway
        self.pool = ConnectionPool(1000, 1000)

    async def add(self, ident: str, profile: EngineProfile = ENGINE_PROFILE, zone: str = "hall") -> FakeEngine:
        role = {"r": "read", "w": "write", "m": "both"}[ident[0]]
        engine = FakeEngine(ident, role, zone, int(ident[1]), "127.0.0.1", 0, profile, self.traffic, 1)
        self.engines[ident] = engine
        listening = trio.Event()
        self.nursery.start_soon(engine.run, self.nursery, listening)
        await listening.wait()
        return engine

    async def restart_engine(self, ident: str) -> None:
        listening = trio.Event()
        self.nursery.start_soon(self.engines[ident].run, self.nursery, listening)
        await listening.wait()

    def lines(self, **changes: str) -> list[NodeLine]:
        return [
            NodeLine(
                id=e.ident,
                address=f"{e.host}:{e.port}",
                zone=e.zone,
                cell=e.cell,
                role=e.role,
                kv_capacity_tokens=e.profile.kv_capacity_tokens,
                state=changes.get(e.ident, "up"),
            )
            for e in self.engines.values()
        ]

    def publish_endpoints(self, **changes: str) -> None:
        self.gateway.found(self.lines(**changes))

    async def post(
        self,
        body: dict[str, Any] | bytes,
        headers: dict[str, str] | None = None,
        path: str = "/v1/chat/completions",
        method: str = "POST",
    ) -> Reply:
        caller = await self.pool.connect(self.gateway.address)
        try:
            return await send_request(caller, body, headers or {}, path, method)
        finally:
            caller.close_now()

    async def ask(self, model: str = "summary", text: str = "hello", stream: bool = True, **more: Any) -> Reply:
        headers = more.pop("headers", {})
        return await self.post(
            {"model": model, "messages": [{"role": "user", "content": text}], "stream": stream, **more}, headers
        )

    def traffic_events(self, kind: str, **match: Any) -> list[dict[str, Any]]:
        return [v for v in self.traffic.lines if v["k"] == kind and all(v.get(k) == x for k, x in match.items())]

    async def wait_until_idle(self, within: float = 1.5) -> None:
        """Waits until the gateway has no open request and no engine holds state or runs a request."""

        def unfinished() -> list[Any]:
            return [
                *self.gateway.runtime.active_requests.values(),
                *((e.ident, e.states, e.busy) for e in self.engines.values() if e.states or e.busy),
            ]

        with trio.move_on_after(within):
            while unfinished():
                await trio.sleep(0.01)
        remains = unfinished()
        if remains:
            raise AssertionError(f"left: {remains}")


POLL_S = 0.002  # interval between checks of a condition


async def until(condition: Callable[[], object], within_s: float) -> None:
    """Waits for a condition; fails the test where it is not met in time."""
    with trio.fail_after(within_s):
        while not condition():
            await trio.sleep(POLL_S)


async def send_request(
    caller: ClientConnection, body: dict[str, Any] | bytes, headers: dict[str, str], path: str, method: str = "POST"
) -> Reply:
    reply = Reply()
    raw = body if isinstance(body, bytes) else msgspec.json.encode(body)
    try:
        head = await caller.ask(method, path, list(headers.items()), raw)
        reply.status = head.status_code
        reply.headers = {k.decode(): v.decode() for k, v in head.headers}
        events = EventReader()
        async for chunk in caller.chunks():
            reply.body += chunk
            if reply.headers.get("content-type", "").startswith("text/event-stream"):
                reply.events += events.feed(chunk)
    except (trio.BrokenResourceError, trio.ClosedResourceError, h11.RemoteProtocolError):
        reply.broke = True
    return reply


@asynccontextmanager
async def gateway_cluster(
    engines: tuple[str, ...] = ("r0", "w0", "r1", "w1"),
    profile: EngineProfile = ENGINE_PROFILE,
    host_type: type[GatewayRuntime] = GatewayRuntime,
    chooser: Any = Router,
    fleet: FleetConfig = FLEET_CONFIG,
    request_classes: list[RequestClassConfig] = REQUEST_CLASSES,
    **changes: Any,
) -> AsyncIterator[GatewayCluster]:
    async with trio.open_nursery() as nursery:
        cluster = GatewayCluster(nursery)
        for ident in engines:
            await cluster.add(ident, profile)
        config = GatewayConfig(
            name="g1",
            listen="127.0.0.1:0",
            request_classes=request_classes,
            fleet=fleet,
            nodes=InlineSource(nodes=cluster.lines()),
            door=changes.pop("door", ServerLimits(drain_ms=800)),
            **changes,
        )
        async with open_gateway(config, chooser=chooser, host_type=host_type) as cluster.gateway:
            await trio.sleep(0.01)
            try:
                yield cluster
            finally:
                cluster.pool.close()
                for engine in cluster.engines.values():
                    engine.die()
        nursery.cancel_scope.cancel()


__all__ = [
    "ENGINE_PROFILE",
    "REQUEST_CLASSES",
    "FLEET_CONFIG",
    "Reply",
    "GatewayCluster",
    "send_request",
    "scaled_request_classes",
    "replace",
    "gateway_cluster",
]
