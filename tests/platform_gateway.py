"""Test bed of the platform gateway: a gateway with fake model servers and discovery in one trio run, over loopback."""

from __future__ import annotations

import json
import socket
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Any

import trio

from ternlane.deployment import Deployment
from ternlane.http1 import ClientConnection, ConnectionPool
from ternlane.platform.endpoint_list import parse_endpoint_list
from ternlane.platform.gateway import Gateway
from ternlane.platform.settings import GatewayConfiguration, ProcessLimits
from ternlane.testing.platform import FakeDiscovery, FakeFleet, FakeModelServer
from ternlane.testing.proxy import StallingProxy
from tests.gateway_cluster import Reply, send_request

PLATFORM_SETTINGS: dict[str, Any] = {
    "discovery": "push",
    "invariants": {
        "cold": 2000.0,
        "cold_from": 0.3,
        "drain_grace": 300.0,
        "overload_factor": 4.0,
        "overload_for": 1000.0,
    },
    "kinds": ["reader", "writer"],
    "limits": {
        "cancel": True,
        "conn_idle": 2000.0,
        "connect_timeout": 150.0,
        "max_retry_after": 500.0,
        "most_tries": 5,
        "probes": True,
        "retry_after": True,
    },
    "locality": "hall",
    "me": 0,
    "n_instances": 1,
    "profiles": [
        {"aim": 500.0, "deadline": 2000.0, "name": "summary", "semantics": "idempotent", "worth": 3.0},
        {"aim": 500.0, "deadline": 1500.0, "name": "note", "semantics": "at_most_once", "worth": 2.0},
    ],
    "report": {"columns": ["outstanding", "x0"], "how": "inline"},
    "specifics": {
        "duty_by_kind": ["read", "write"],
        "release": 400.0,
        "token_aim": [100.0, 100.0],
        "tokens_by_kind": [200000, 200000],
    },
    "step": 1.0,
}
HEAD = b"POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\n"
# Of a request whose answer may have several hundred events; by default a request asks for 40 tokens.
LONG_ANSWER = "prefix=ab,prompt_len=20,prefix_len=8,max_out=400"
BODY = b'{"model":"chat","stream":true,"messages":[{"role":"user","content":"hello"}]}'


class RecordingLog:
    def __init__(self) -> None:
        self.lines: list[tuple[str, dict[str, Any]]] = []

    def __getattr__(self, level: str) -> Callable[..., None]:
        return lambda event, **more: self.lines.append((f"{level} {event}", more))


class Platform:
    """A platform gateway with fake model servers and discovery. Names of prefill servers begin with r, those of decode
    servers with w."""

    def __init__(self, nursery: trio.Nursery, platform_settings: dict[str, Any], limits: ProcessLimits) -> None:
        self.nursery, self.platform_settings, self.limits, self.log = nursery, platform_settings, limits, RecordingLog()
        self.fleet, self.discovery = FakeFleet(nursery), FakeDiscovery(nursery, 100.0)
        self.servers: dict[str, FakeModelServer] = {}
        self.request_count = 0
        self.pool = ConnectionPool(1000, 1000)
        self.reserved_sockets: list[socket.socket] = []
        self.gateway: Gateway

    async def add(self, name: str, fault_of: Callable[[str], str] = lambda _: "", **more: Any) -> FakeModelServer:
        server = self.servers[name] = FakeModelServer(
            name, "read" if name[0] == "r" else "write", self.fleet, fault_of, **more
        )
        await server.start()
        self.list(server, server.address)
        return server

    def list(self, server: FakeModelServer, address: str) -> None:
        """Lists the server in discovery at this address: its own, or that of a proxy in front of it."""
        self.discovery.put(server.name, address, "reader" if server.role == "read" else "writer")

    async def add_behind_proxy(self, name: str, **more: Any) -> StallingProxy:
        """Adds a server that is reached only through a proxy."""
        server = await self.add(name, **more)
        proxy = StallingProxy(self.nursery, server.address)
        await proxy.start()
        self.list(server, proxy.address)
        return proxy

    async def open(self) -> None:
        host, _, number = self.discovery.address.partition(":")
        known = parse_endpoint_list(json.dumps(self.discovery.listing()).encode())
        configuration = GatewayConfiguration(
            "n0", ("127.0.0.1", 0), (host, int(number)), self.limits, known, Deployment(1, self.platform_settings)
        )
        self.gateway = Gateway(configuration, self.nursery, self.log)
        await self.gateway.start()
        name = self.gateway.listener.socket.getsockname()
        self.address = f"{name[0]}:{name[1]}"

    def reserve_address(self) -> None:
        """Sets `address` to a free address for a process to listen at.

        Its port stays bound until the end of the test, though without a listener: an outgoing connection of another
        test could otherwise take it before the process does.
        """
        reserved = socket.socket()
        reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        reserved.bind(("127.0.0.1", 0))
        self.reserved_sockets.append(reserved)
        self.address = "127.0.0.1:%d" % reserved.getsockname()[1]

    def configuration(self, **more: Any) -> str:
        """The configuration file of a gateway process at `address`."""
        document = {
            "name": "n0",
            "listen": self.address,
            "discovery": self.discovery.address,
            "seed": "ff",
            "limits": {"cores": 1.0, "memory_mb": 128, "sockets": 256},
            "known": self.discovery.listing(),
            "settings": PLATFORM_SETTINGS,
        }
        return json.dumps(document | more)

    def headers(self, **more: str) -> dict[str, str]:
        self.request_count += 1
        out = {
            "Request-Id": f"{self.request_count:016x}",
            "Request-Class": "summary",
            "Affinity-Key": f"c{self.request_count}",
            "Request-Timeout": "1.5",
            "Request-Info": "prefix=ab,prompt_len=20,prefix_len=8,max_out=40",
        }
        return {k: v for k, v in (out | {k.replace("_", "-"): v for k, v in more.items()}).items() if v != "-"}

    async def ask(
        self, body: bytes = BODY, path: str = "/v1/chat/completions", method: str = "POST", **more: str
    ) -> Reply:
        connection = await self.pool.connect(self.address)
        try:
            return await send_request(connection, body, self.headers(**more), path, method)
        finally:
            connection.close_now()

    async def send_raw(self, data: bytes, ends: bool = False, within: float = 3.0) -> bytes:
        """Sends bytes and returns all bytes received until the gateway closes the connection.

        `ends`: the client sends nothing more. Fails if the gateway does not close within `within` seconds.
        """
        host, _, number = self.address.partition(":")
        stream, out = await trio.open_tcp_stream(host, int(number)), b""
        with trio.fail_after(within):
            try:
                await stream.send_all(data)
                if ends:
                    await stream.send_eof()
                while piece := await stream.receive_some():
                    out += piece
            except trio.BrokenResourceError:
                pass
        await stream.aclose()
        return out

    async def wait_until_idle(self) -> None:
        """Waits until no request is open at the gateway and no server holds a state."""
        runtime = self.gateway.runtime

        def find_open_items() -> dict[str, Any]:
            active_requests_by_id = {
                active_request.request_id: active_request.history.lines()
                for active_request in runtime.active_requests.values()
            }
            held = {ident: self.history_of(ident) for ident in self.fleet.states}
            open_items = {
                "open": active_requests_by_id,
                "ids": list(runtime.requests_by_id),
                "releasing": runtime.releases_in_flight,
                "held": held,
                "at servers": dict(+self.fleet.open),
            }
            return {label: value for label, value in open_items.items() if value}

        with trio.move_on_after(3):
            while find_open_items():
                await trio.sleep(0.01)
        remaining = find_open_items()
        assert not remaining, remaining

    def log_lines(self, text: str) -> list[tuple[str, dict[str, Any]]]:
        """The gateway's log lines with this text in their event."""
        return [line for line in self.log.lines if text in line[0]]

    def history_of(self, ident: str) -> list[str]:
        return next(
            (r.history.lines() for r in self.gateway.runtime.reporter.records if r.request_id == ident), ["not known"]
        )


@asynccontextmanager
async def platform(
    *names: str,
    platform_settings: dict[str, Any] = PLATFORM_SETTINGS,
    limits: ProcessLimits | None = None,
    **faults_of: Callable[[str], str],
) -> AsyncIterator[Platform]:
    """A running gateway with these servers, by default two of each role. `faults_of`: the faults of servers by name."""
    async with trio.open_nursery() as nursery:
        test_bed = Platform(nursery, platform_settings, limits or ProcessLimits())
        await test_bed.discovery.start()
        for name in names or ("r0", "w0", "r1", "w1"):
            await test_bed.add(name, faults_of.get(name, lambda _: ""))
        await test_bed.open()
        try:
            yield test_bed
        finally:
            for reserved in test_bed.reserved_sockets:
                reserved.close()
        nursery.cancel_scope.cancel()


def fault_once(fault: str) -> Callable[[str], str]:
    """A model server's `fault_of`: this fault for the first request, none afterwards."""
    faults = [fault]
    return lambda _: faults.pop() if faults else ""


def fault_always(fault: str) -> Callable[[str], str]:
    """A model server's `fault_of`: this fault for each request; "" for none."""
    return lambda _: fault


async def wait_until_ready(p: Platform) -> None:
    with trio.fail_after(10):
        while True:
            try:
                connection: ClientConnection = await p.pool.connect(p.address)
                if (await connection.ask("GET", "/health/ready", [])).status_code == 200:
                    return connection.close_now()
            except Exception:
                pass
            await trio.sleep(0.05)
