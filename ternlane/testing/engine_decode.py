"""Decodes of a fake engine: it fetches the state or prefills the prompt itself, and streams the answer."""

from __future__ import annotations

import zlib
from typing import Any

import h11
import msgspec
import trio

from ternlane.http1 import ClientConnection, ConnectError, Exchange
from ternlane.testing.engine_breakage import BREAKS, apply_script, break_stream, lose_answer
from ternlane.testing.engine_core import AttemptRefusedError, EngineCore
from ternlane.testing.engine_prefill import prefill_ms
from ternlane.testing.engine_profile import DECODE_ROLE, PREFILL_ROLE, AttemptOutcome, Stage
from ternlane.testing.engine_request import EngineRequest, answer_of, final_events, usage_of, word_event

FETCH_TIMEOUT_S = 2.0
MAX_STATE_REPLY_BYTES = 4096
FETCH_FAILED = (
    ConnectError,
    OSError,
    h11.RemoteProtocolError,
    trio.BrokenResourceError,
    trio.TooSlowError,
    msgspec.DecodeError,
)


class DecodeRun:
    """An attempt that streams an answer."""

    def __init__(self, engine: EngineCore, exchange: Exchange, request: EngineRequest) -> None:
        """Nothing runs until `run`."""
        self.engine = engine
        self.exchange = exchange
        self.request = request
        self.answer = answer_of(request, engine.fault, engine.profile.answer_tokens)
        self.prefilled_tokens = 0  # prefilled by this engine itself
        self.cached_tokens = 0.0
        self.decoded_words = 0
        self.sent_words = 0
        self.break_after: int | None = None  # number of words after which the answer breaks off
        self.broken_by = ""

    async def run(self) -> AttemptOutcome:
        """Answers the attempt. Raises AttemptRefusedError."""
        engine = self.engine
        tokens = self.request.tokens
        if engine.role == (DECODE_ROLE if self.request.stage is Stage.BOTH else PREFILL_ROLE):
            raise AttemptRefusedError(409, "no-state")
        if engine.draining:
            raise AttemptRefusedError(503, "draining")
        if engine.fault.script in ("full", "nostate"):
            return await apply_script(engine.fault, self.exchange)
        engine.require_memory(tokens)
        engine.drop_state(self.request.request, "taken")  # memory that was reserved for it
        answer_tokens = len(self.answer.words)
        self._draw_break(answer_tokens)
        transfer_ms = tokens / engine.profile.near_tokens_per_s * 1000
        engine.record_arrival(answer_tokens * engine.profile.token_ms + transfer_ms)
        async with engine.slot():
            used_tokens = tokens + answer_tokens
            engine.used_tokens += used_tokens
            try:
                return await self._run_in_slot()
            finally:
                self._log_progress()
                engine.used_tokens -= used_tokens

    def _draw_break(self, answer_tokens: int) -> None:
        """Draws whether the answer breaks off, and after how many words."""
        fault = self.engine.fault
        if fault.script in BREAKS:
            self.break_after = fault.break_after_events
            self.broken_by = BREAKS[fault.script]
        elif answer_tokens and self.engine.rng.random() < fault.broken_stream_share:
            self.break_after = self.engine.rng.randint(1, answer_tokens)
            self.broken_by = fault.broken_by

    async def _run_in_slot(self) -> AttemptOutcome:
        engine = self.engine
        await self._load_prompt()
        engine.record_effect(self.request.request, self.request.number, self.request.idempotency_key)
        if engine.fault.script in ("error", "reset", "silent"):
            return await apply_script(engine.fault, self.exchange)
        is_lost = engine.rng.random() < engine.fault.lost_answer_share
        words = self.answer.words
        for index, word in enumerate(words):
            await engine.work(self._word_ms())
            if index == self.break_after:
                return await break_stream(self.broken_by, self.exchange)
            self.decoded_words += 1
            if not is_lost:
                await self._send_word(index, word)
        if is_lost:
            return await lose_answer(engine.fault, self.exchange)
        if words and self.break_after == len(words):  # after the last word, before the end marker
            return await break_stream(self.broken_by, self.exchange)
        await self._send_end()
        return AttemptOutcome.STREAMED

    def _word_ms(self) -> float:
        profile = self.engine.profile
        return profile.token_ms * (1 + profile.token_growth * self.engine.busy / profile.slots)

    async def _load_prompt(self) -> None:
        if self.request.stage is not Stage.BOTH:
            self.cached_tokens = self.request.tokens
            await self._fetch_state(self.request.body["kv_transfer_params"])
            return
        prefix = self.engine.look_up_prefix(self.request.prompt)
        self.cached_tokens = prefix.cached_tokens
        await self.engine.work(prefill_ms(self.engine, prefix.uncached_tokens))
        self.prefilled_tokens = int(self.request.tokens)

    async def _fetch_state(self, params: dict[str, Any]) -> None:
        """Fetches the state from its prefill server, at the speed of the link between them."""
        tokens = await self._request_state(f"{params['remote_host']}:{params['remote_port']}")
        profile = self.engine.profile
        tokens_per_s = profile.far_tokens_per_s / self.engine.fault.link_slowdown
        if params.get("standin_cell") == self.engine.cell:
            tokens_per_s = profile.near_tokens_per_s
        await self.engine.work(tokens / tokens_per_s * 1000)

    async def _request_state(self, prefill_server: str) -> float:
        """Returns the state's tokens. Raises AttemptRefusedError if the server has no state or does not answer."""
        connection: ClientConnection | None = None
        try:
            with trio.fail_after(FETCH_TIMEOUT_S):
                connection = await self.engine.pool.take(prefill_server)
                head = await connection.ask("GET", f"/standin/state?gen={self.request.request}", [])
                state = msgspec.json.decode(await connection.body(MAX_STATE_REPLY_BYTES))
                self.engine.pool.give_back(connection)
        except FETCH_FAILED:
            if connection is not None:
                connection.close_now()
            raise AttemptRefusedError(409, "no-state") from None
        except trio.Cancelled:
            if connection is not None:
                connection.close_now()
            raise
        if head.status_code != 200:
            raise AttemptRefusedError(409, "no-state")
        return float(state["toks"])

    async def _send_word(self, index: int, word: str) -> None:
        self.sent_words += 1
        event = word_event(self.request, index, word)
        if index > 0:
            await self.exchange.chunk(event)
            return
        headers = [("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")]
        await self.exchange.begin(200, [*headers, self.engine.load_header()], event)

    async def _send_end(self) -> None:
        words = len(self.answer.words)
        usage = usage_of(self.engine.fault, self.request.tokens, self.cached_tokens, words)
        end = final_events(self.request, usage)
        request = self.request
        self.engine.traffic.line("wrote", id=self.engine.ident, gen=request.request, n=request.number, toks=words)
        if words:
            await self.exchange.end(end)
        else:  # a continuation of an answer that lacked only its end
            await self.exchange.answer(200, [self.engine.load_header()], end, "text/event-stream")

    def _log_progress(self) -> None:
        """Logs what was sent and computed, however the attempt ended. The rules check these lines."""
        engine = self.engine
        request = self.request
        words = self.answer.words
        if self.decoded_words or not words:
            engine.traffic.line(
                "said",
                id=engine.ident,
                gen=request.request,
                n=request.number,
                after=self.answer.continued,
                text="".join(words[: self.sent_words]),
                whole=zlib.crc32((self.answer.continued + "".join(words)).encode()),
            )
        if self.prefilled_tokens or self.decoded_words:
            engine.traffic.line(
                "made",
                id=engine.ident,
                gen=request.request,
                prompt=self.prefilled_tokens,
                kept=int(self.cached_tokens) if self.prefilled_tokens else 0,
                answer=self.decoded_words,
            )
