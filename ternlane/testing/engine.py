"""A fake engine: an HTTP server that behaves as a prefill, decode or mixed engine.

The model is simple, but has the properties that matter to a gateway: work takes time at the engine's current speed,
waits in a bounded queue and uses memory. A process that has just started is slower, and crashes when it is sent too
much.
"""

from __future__ import annotations

import h11
import msgspec
import trio

from ternlane.http1 import Exchange, serve_connection
from ternlane.testing.engine_core import AttemptRefusedError, EngineCore
from ternlane.testing.engine_decode import DecodeRun
from ternlane.testing.engine_prefill import run_prefill
from ternlane.testing.engine_profile import AttemptOutcome, EngineFault, EngineProfile, Stage
from ternlane.testing.engine_request import EngineRequest, parse_request
from ternlane.testing.sockets import STREAM_CLOSED, reset_when_closed, send_without_delay

__all__ = ["EngineFault", "EngineProfile", "FakeEngine"]

EXPIRY_CHECK_S = 1.0
LISTEN_BACKLOG = 4096
# Generous limits of its HTTP server, so that only the gateway's limits take effect.
MAX_BODY_BYTES = 64 * 2**20
HEAD_TIMEOUT_MS = 60e3
BODY_TIMEOUT_MS = 60e3
IDLE_TIMEOUT_MS = 120e3
SEND_TIMEOUT_MS = 30e3


class FakeEngine(EngineCore):
    """Serves the engine protocol on `host:port` until `die`. `run` can be called again."""

    def reset(self) -> None:
        """Sets the state of a process that has just started."""
        super().reset()
        self._attempt_scopes: dict[Exchange, trio.CancelScope] = {}  # of the running attempts

    async def run(self, nursery: trio.Nursery, started: trio.Event | None = None) -> None:
        """Serves until `die`. Sets `started` once it listens."""
        listeners = await trio.open_tcp_listeners(self.port, host=self.host, backlog=LISTEN_BACKLOG)
        self.port = listeners[0].socket.getsockname()[1]
        self.process = trio.CancelScope()
        self._log_start()
        if started is not None:
            started.set()
        try:
            with self.process:
                async with trio.open_nursery() as tasks:
                    tasks.start_soon(self._expire_states)
                    await trio.serve_listeners(self._connection, listeners, handler_nursery=tasks)
        finally:
            for listener in listeners:
                listener.socket.close()
            for request_id in self.states:
                self.traffic.line("lost", id=self.ident, gen=request_id)
            self.traffic.line("down", id=self.ident)
            self.pool.close()
            self.reset()

    def _log_start(self) -> None:
        self.traffic.line(
            "up",
            id=self.ident,
            duty=self.role,
            cold=self.started_ms > 0,
            zone=self.zone,
            cell=self.cell,
            slots=self.profile.slots,
            cold_ms=self.profile.slow_start_ms,
            cold_from=self.profile.slow_start_share,
            fall_multiple=self.profile.fall_multiple,
            fall_ms=self.profile.fall_ms,
        )

    async def _expire_states(self) -> None:
        while True:
            await trio.sleep(EXPIRY_CHECK_S)
            self.drop_expired_states()

    async def _connection(self, stream: trio.SocketStream) -> None:
        if self.fault.is_cut_off(stream.socket.getpeername()[0]):
            reset_when_closed(stream)
            stream.socket.close()
            return
        if self.fault.handshake_delay_ms:
            await trio.sleep(self.fault.handshake_delay_ms / 1000)
        send_without_delay(stream)
        try:
            await serve_connection(
                stream,
                self.handle,
                body_bytes=MAX_BODY_BYTES,
                head_ms=HEAD_TIMEOUT_MS,
                body_ms=BODY_TIMEOUT_MS,
                idle_ms=IDLE_TIMEOUT_MS,
                send_ms=SEND_TIMEOUT_MS,
                allow_pipelining=True,
            )
        except trio.Cancelled:
            if stream.socket.fileno() >= 0:
                reset_when_closed(stream)
            raise

    def reset_cut_off_connections(self) -> None:
        """Resets the connections of running attempts whose peers the fault has cut off."""
        for exchange, scope in list(self._attempt_scopes.items()):
            if self.fault.is_cut_off(exchange.peer[0]):
                reset_when_closed(exchange.stream)
                scope.cancel()

    async def handle(self, exchange: Exchange) -> None:
        """Answers one HTTP request."""
        if self.fault.is_cut_off(exchange.peer[0]):
            exchange.reset()
            return
        match exchange.path:
            case "/v1/chat/completions":
                await self._attempt(exchange)
            case "/ternlane/v1/release":
                await self._release(exchange)
            case "/ternlane/v1/hold":
                await self._reserve(exchange)
            case "/metrics":
                self.traffic.line("asked", id=self.ident)
                await exchange.answer(200, [], self.load().metrics().encode(), "text/plain; version=0.0.4")
            case "/standin/state":
                await self._hand_over_state(exchange)
            case _:
                await exchange.answer(404, [], b"{}")

    async def _release(self, exchange: Exchange) -> None:
        request_id = str(msgspec.json.decode(exchange.body)["request_id"])
        status = 200 if self.drop_state(request_id, "released") else 404
        await exchange.answer(status, [self.load_header()], b"{}")

    async def _reserve(self, exchange: Exchange) -> None:
        """Reserves memory for the decode of a request that is still in prefill; answers 409 if that is not possible."""
        body = msgspec.json.decode(exchange.body)
        request_id = str(body["request_id"])
        tokens = float(body["tokens"])
        fits = self.can_reserve(request_id, tokens)
        if fits:
            self.used_tokens += tokens
            self.record_held(request_id, tokens)
        await exchange.answer(200 if fits else 409, [self.load_header()], b"{}")

    async def _hand_over_state(self, exchange: Exchange) -> None:
        request_id = exchange.query.removeprefix("gen=")
        held = self.states.get(request_id)
        if held is None:
            await exchange.answer(404, [], b"{}")
            return
        self.drop_state(request_id, "taken")
        await exchange.answer(200, [], msgspec.json.encode({"toks": held.tokens}))

    async def _attempt(self, exchange: Exchange) -> None:
        request = parse_request(exchange, self.fault)
        self.traffic.line(
            "leg",
            id=self.ident,
            gen=request.request,
            n=request.number,
            stage=request.stage,
            gw=request.gateway,
            src=request.source,
        )
        outcome: str = AttemptOutcome.DROPPED
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_cancel_when_client_leaves, exchange, nursery.cancel_scope)
                self._attempt_scopes[exchange] = nursery.cancel_scope
                try:
                    outcome = await self._run_attempt(exchange, request)
                except AttemptRefusedError as refused:
                    # Set before sending: nothing ran, even if the gateway does not receive the answer.
                    outcome = f"refused {refused.reason}"
                    headers = [("x-ternlane-not-run", refused.reason), self.load_header()]
                    await exchange.answer(refused.status, headers, b"{}")
                nursery.cancel_scope.cancel()
        except* (*STREAM_CLOSED, h11.LocalProtocolError):
            pass
        finally:
            self._attempt_scopes.pop(exchange, None)
            self.traffic.line("leg_end", id=self.ident, gen=request.request, n=request.number, how=outcome)
        if outcome in (AttemptOutcome.DROPPED, AttemptOutcome.LOST):
            exchange.reset()

    async def _run_attempt(self, exchange: Exchange, request: EngineRequest) -> AttemptOutcome:
        if request.stage is Stage.PREFILL:
            return await run_prefill(self, exchange, request)
        return await DecodeRun(self, exchange, request).run()


async def _cancel_when_client_leaves(exchange: Exchange, scope: trio.CancelScope) -> None:
    await exchange.wait_until_disconnected()
    scope.cancel()
