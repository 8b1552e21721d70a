"""The same scenarios run through the library in virtual time and through the daemon over sockets.

Each scenario is a request class with faults of the engines: two prefill servers and three decode servers in two cells.
Both ways must give the same outcome, the same number of effects and the same number of text pieces.
"""

from __future__ import annotations

import json
import os
import signal
import sys
from collections.abc import AsyncIterator
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from typing import Any

import msgspec
import pytest
import trio
import trio.testing

import ternlane
from ternlane.config import GatewayConfig, NodeLine
from ternlane.config.gateway import InlineSource
from ternlane.engine import AttemptRejectedError, AttemptRequest, EngineUnreachableError, LocalTransport, PrefillResult
from ternlane.http1 import ConnectionPool
from ternlane.policy import messages
from ternlane.scenarios.ports import reserve_ports
from ternlane.testing.engine import FakeEngine
from ternlane.testing.traffic import TrafficLog
from tests.gateway_cluster import ENGINE_PROFILE, replace, scaled_request_classes, send_request
from tests.gateway_cluster import FLEET_CONFIG as SHORT_FLEET_CONFIG

ROOT = Path(__file__).parent.parent
SERVER_IDS = ("r0", "r1", "w0", "w0b", "w1")
PREFILL_SERVERS, DECODE_SERVERS = SERVER_IDS[:2], SERVER_IDS[2:]
# The results must not depend on the machine's load. An attempt whose stream stalls is ended after twice the latency
# objective. The timeout lies midway between the ends of the first and the second such attempt, so that exactly two
# decode servers are used even if a step takes a second longer.
REQUEST_CLASSES = scaled_request_classes(3)
FLEET_CONFIG = msgspec.structs.replace(
    SHORT_FLEET_CONFIG, connect_ms=3 * SHORT_FLEET_CONFIG.connect_ms, release_ms=3 * SHORT_FLEET_CONFIG.release_ms
)
TIMEOUT_MS = 3 * REQUEST_CLASSES[0].slo_ms

# Faults by engine. "unreachable" engines refuse connections; "gone" and "draining" are states in the endpoint list.
FAULTS: dict[str, dict[str, str]] = {
    "no faults": {},
    "one prefill server full": {"r0": "full"},
    "all prefill servers full": dict.fromkeys(PREFILL_SERVERS, "full"),
    "one prefill server fails": {"r0": "error"},
    "all prefill servers fail": dict.fromkeys(PREFILL_SERVERS, "error"),
    "one prefill server breaks off": {"r1": "reset"},
    "all prefill servers silent": dict.fromkeys(PREFILL_SERVERS, "silent"),
    "one prefill server unreachable": {"r0": "unreachable"},
    "all prefill servers unreachable": dict.fromkeys(PREFILL_SERVERS, "unreachable"),
    "all prefill servers gone": dict.fromkeys(PREFILL_SERVERS, "gone"),
    "one prefill server drains": {"r1": "draining"},
    "one decode server full": {"w0": "full"},
    "all decode servers full": dict.fromkeys(DECODE_SERVERS, "full"),
    "all decode servers fail": dict.fromkeys(DECODE_SERVERS, "error"),
    "all decode servers break off": dict.fromkeys(DECODE_SERVERS, "reset"),
    "all decode servers silent": dict.fromkeys(DECODE_SERVERS, "silent"),
    "all decode servers stall": dict.fromkeys(DECODE_SERVERS, "stall"),
    "all decode servers break midway": dict.fromkeys(DECODE_SERVERS, "midway"),
    "all decode servers lack the state": dict.fromkeys(DECODE_SERVERS, "nostate"),
    "two decode servers unreachable": {"w0": "unreachable", "w1": "unreachable"},
    "all decode servers unreachable": dict.fromkeys(DECODE_SERVERS, "unreachable"),
    "all decode servers drain": dict.fromkeys(DECODE_SERVERS, "draining"),
    "no servers listed": dict.fromkeys(SERVER_IDS, "gone"),
    "all decode servers slow": dict.fromkeys(DECODE_SERVERS, "slow"),
    "one prefill server slow": {"r0": "slow"},
    "new connections slow": dict.fromkeys(SERVER_IDS, "handshake"),
    "all prefix caches flushed": dict.fromkeys(PREFILL_SERVERS, "flushed"),
    "one decode server silent, one unreachable": {"w0": "silent", "w0b": "unreachable"},
    "one prefill server fails, one decode server full, one unreachable": {
        "r0": "error",
        "w0": "full",
        "w0b": "unreachable",
    },
}
SCENARIOS = [(p.name, fault) for p in REQUEST_CLASSES for fault in FAULTS]


@dataclass(frozen=True)
class Result:
    outcome: str
    effects: int
    pieces: str  # number of pieces of text


class ScriptedEngine:
    """A local engine with a scripted fault. A state can be fetched only once, as between real engines."""

    def __init__(self, script: str, effects: list[str], states: set[str]) -> None:
        self.script, self.effects, self.states = script, effects, states

    def refuse(self) -> None:
        match self.script:
            case "full":
                raise AttemptRejectedError("queue-full")
            case "nostate":
                raise AttemptRejectedError("no-state", state_lost=True)
            case "unreachable":
                raise EngineUnreachableError("refused")

    async def delay(self) -> None:
        """The additional time of a slow engine or a slow handshake."""
        if self.script in ("slow", "handshake"):
            await trio.sleep(0.02)

    async def fail(self) -> None:
        if self.script in ("error", "reset"):
            raise RuntimeError(self.script)
        if self.script == "silent":
            await trio.sleep_forever()

    async def read(self, ask: AttemptRequest) -> PrefillResult:
        self.refuse()
        await self.delay()
        await self.fail()
        await trio.sleep(0.002)
        self.states.add(ask.ident)
        return PrefillResult({"of": ask.ident}, 10 + self.delivered_pieces(ask))

    @staticmethod
    def delivered_pieces(ask: AttemptRequest) -> int:
        """The number of pieces that the client already has."""
        return len(ask.raw["messages"][-1]["content"].split()) if ask.goes_on else 0

    async def write(self, ask: AttemptRequest) -> AsyncIterator[str]:
        self.refuse()
        if ask.ident not in self.states:
            raise AttemptRejectedError("no-state", state_lost=True)
        self.states.discard(ask.ident)
        await self.delay()
        self.effects.append(ask.ident)
        await self.fail()
        for i in range(6 - self.delivered_pieces(ask)):
            if i == 2 and self.script == "midway":
                raise RuntimeError("broke off")
            if i == 2 and self.script == "stall":
                await trio.sleep_forever()
            await trio.sleep(0.003)
            yield "t "

    async def release(self, ident: str) -> None:
        self.states.discard(ident)


def endpoint_lines(faults: dict[str, str], ports: dict[str, int]) -> list[NodeLine]:
    state = {"gone": "gone", "draining": "draining"}
    return [
        NodeLine(
            id=i,
            address=f"127.0.0.1:{ports.get(i, 9)}",
            cell=int(i[1]),
            kv_capacity_tokens=2e5,
            role="read" if i[0] == "r" else "write",
            state=state.get(faults.get(i, ""), "up"),
        )  # type: ignore
        for i in SERVER_IDS
    ]


def gateway_config(faults: dict[str, str], ports: dict[str, int], listen: str = "127.0.0.1:0") -> GatewayConfig:
    return GatewayConfig(
        name="s",
        listen=listen,
        request_classes=REQUEST_CLASSES,
        fleet=FLEET_CONFIG,
        nodes=InlineSource(nodes=endpoint_lines(faults, ports)),
    )


def chat_request(model: str) -> dict[str, Any]:
    return {"model": model, "messages": [{"role": "user", "content": "hello"}], "stream": True}


class RecordingRouter(ternlane.Router):
    """A router that records its events and actions with their times."""

    def __init__(self, router_config: ternlane.RouterConfig, recorded: list[str]) -> None:
        super().__init__(router_config)
        self.recorded, self.start = recorded, -1.0

    def take(self, now: float, events: list[messages.Event]) -> list[messages.Action]:
        actions = super().take(now, events)
        self.start = now if self.start < 0 else self.start
        self.recorded.append(
            f"{now - self.start:.3f} {[type(e).__name__ for e in events]} -> {[type(a).__name__ for a in actions]}"
        )
        return actions


async def run_in_library(model: str, faults: dict[str, str], recorded: list[str] | None = None) -> Result:
    effects: list[str] = []
    states: set[str] = set()
    engines = {i: ScriptedEngine(faults.get(i, ""), effects, states) for i in SERVER_IDS}
    pieces_received: list[str] = []
    chooser = partial(RecordingRouter, recorded=[] if recorded is None else recorded)
    transport = LocalTransport(dict(engines))  # type: ignore[arg-type]
    async with ternlane.open_routing(gateway_config(faults, {}), transport, chooser) as routing:
        try:
            async with routing.request(chat_request(model), request_timeout_ms=TIMEOUT_MS - 50) as stream:
                async for text in stream:
                    pieces_received.append(text)
            outcome = "streamed"
        except ternlane.RejectedError:
            outcome = "throttled"
        except ternlane.FailedError as error:
            outcome = "broken off" if error.begun else "terminated"
        with trio.fail_after(2):
            while routing.runtime.active_requests:
                await trio.sleep(0.01)
    return Result(outcome, len(effects), str(len(pieces_received)))


async def run_in_daemon(model: str, faults: dict[str, str], folder: Path) -> Result:
    traffic, ports = TrafficLog(None), {}
    async with trio.open_nursery() as nursery:
        for ident in SERVER_IDS:
            engine = FakeEngine(
                ident,
                "read" if ident[0] == "r" else "write",
                "hall",
                int(ident[1]),
                "127.0.0.1",
                0,
                replace(ENGINE_PROFILE, slow_start_ms=2000),
                traffic,
                1,
            )
            fault = faults.get(ident, "")
            engine.fault.script = (
                "" if fault in ("unreachable", "gone", "draining", "slow", "handshake", "flushed") else fault
            )
            engine.fault.slowdown = 6.0 if fault == "slow" else 1.0
            engine.fault.handshake_delay_ms = 20.0 if fault == "handshake" else 0.0
            started = trio.Event()
            nursery.start_soon(engine.run, nursery, started)
            await started.wait()
            ports[ident] = engine.port
            if faults.get(ident) == "unreachable":
                engine.die()
        reservation = reserve_ports(1)
        port = reservation.first
        path = folder / f"{port}.json5"
        path.write_bytes(msgspec.json.encode(gateway_config(faults, ports, f"127.0.0.1:{port}")))
        process = await trio.lowlevel.open_process(
            [sys.executable, "-m", "ternlane", "serve", str(path), "--log", "error"], cwd=ROOT
        )
        try:
            pool = ConnectionPool(200, 1000)
            with trio.fail_after(20):
                while True:
                    try:
                        connection = await pool.connect(f"127.0.0.1:{port}")
                        break
                    except Exception:
                        await trio.sleep(0.03)
            reply = await send_request(
                connection, chat_request(model), {"X-Ternlane-Time-Limit-Ms": f"{TIMEOUT_MS}"}, "/v1/chat/completions"
            )
            connection.close_now()
        finally:
            process.send_signal(signal.SIGTERM)
            with trio.CancelScope(shield=True), trio.move_on_after(5):
                await process.wait()
            reservation.close()
        nursery.cancel_scope.cancel()
    effects = len([v for v in traffic.lines if v["k"] == "effect"])
    outcome = {429: "throttled", 502: "terminated", 504: "terminated"}.get(
        reply.status, "streamed" if reply.done else "broken off"
    )
    chunks = [json.loads(e) for e in reply.events if e != "[DONE]"]
    pieces = sum(bool(c["delta"].get("content")) for chunk in chunks for c in chunk.get("choices", []))
    return Result(outcome, effects, str(pieces))


def comparable(scenario: tuple[str, str], result: Result) -> Result:
    """How often an idempotent request ran before it failed depends on real time over sockets. So only whether it ran at
    all is compared."""
    idempotent = next(p for p in REQUEST_CLASSES if p.name == scenario[0]).effect == "idempotent"
    return Result(result.outcome, min(result.effects, 1) if idempotent else result.effects, result.pieces)


def run_all_in_library() -> tuple[dict[tuple[str, str], Result], dict[tuple[str, str], list[str]]]:
    results, events = {}, {}
    for scenario in SCENARIOS:
        events[scenario] = []
        results[scenario] = trio.run(
            run_in_library,
            scenario[0],
            FAULTS[scenario[1]],
            events[scenario],
            clock=trio.testing.MockClock(autojump_threshold=0),
        )
    return results, events


def test_library_and_daemon_give_the_same_results(tmp_path: Path) -> None:
    assert len(SCENARIOS) >= 60
    library_results, events = run_all_in_library()
    repeated_results, repeated_events = run_all_in_library()
    assert library_results == repeated_results  # virtual time: repeated runs are equal, event by event
    for scenario in SCENARIOS:
        assert events[scenario] == repeated_events[scenario] and len(events[scenario]) >= 2, scenario
    daemon_results: dict[tuple[str, str], Result] = {}

    async def run_all_in_daemon() -> None:
        limiter = trio.CapacityLimiter(max(2, (os.cpu_count() or 2) // 2))

        async def run_one(scenario: tuple[str, str]) -> None:
            async with limiter:
                daemon_results[scenario] = await run_in_daemon(scenario[0], FAULTS[scenario[1]], tmp_path)

        async with trio.open_nursery() as nursery:
            for scenario in SCENARIOS:
                nursery.start_soon(run_one, scenario)

    trio.run(run_all_in_daemon)
    differing = {
        s: (library_results[s], daemon_results[s])
        for s in SCENARIOS
        if comparable(s, library_results[s]) != comparable(s, daemon_results[s])
    }
    assert not differing, differing


@pytest.mark.parametrize("request_class", REQUEST_CLASSES)
def test_results_in_the_library(request_class: Any) -> None:
    def run(fault: str) -> Result:
        return trio.run(
            run_in_library, request_class.name, FAULTS[fault], clock=trio.testing.MockClock(autojump_threshold=0)
        )

    for fault in (
        "no faults",
        "one prefill server full",
        "one prefill server fails",
        "one prefill server unreachable",
        "two decode servers unreachable",
        "one decode server full",
        "one prefill server drains",
    ):
        assert run(fault) == Result("streamed", 1, "6"), fault
    for fault in (
        "no servers listed",
        "all prefill servers gone",
        "all decode servers drain",
        "all prefill servers unreachable",
        "all decode servers full",
    ):
        assert run(fault) == Result("throttled", 0, "0"), fault
    for fault in ("all decode servers break midway", "all decode servers stall"):
        # A resumed stream breaks off again at each server, until no attempts are left.
        is_resumed = request_class.effect == "idempotent"
        assert run(fault) == (Result("broken off", 2, "4") if is_resumed else Result("broken off", 1, "2")), fault
    broken = run("all decode servers break off")
    assert broken.effects == 1 if request_class.effect == "side-effecting" else broken.effects >= 1
    assert broken.outcome == ("throttled" if request_class.effect == "idempotent" else "terminated")
