"""Prefills of a fake engine: it processes the prompt and holds the state for a decode server."""

from __future__ import annotations

from typing import Any

import msgspec

from ternlane.http1 import Exchange
from ternlane.testing.engine_breakage import apply_script, lose_answer
from ternlane.testing.engine_core import AttemptRefusedError, EngineCore
from ternlane.testing.engine_profile import DECODE_ROLE, AttemptOutcome
from ternlane.testing.engine_request import EngineRequest, usage_of

PREFILL_BASE_MS = 2.0  # added for every prompt
# Scripts that affect only decodes.
DECODE_SCRIPTS = ("", "deaf", "other")


def prefill_ms(engine: EngineCore, uncached_tokens: float) -> float:
    """The time to process so many tokens at full speed."""
    return PREFILL_BASE_MS + uncached_tokens / engine.profile.prefill_tokens_per_s * 1000


async def run_prefill(engine: EngineCore, exchange: Exchange, request: EngineRequest) -> AttemptOutcome:
    """Answers the attempt. Raises AttemptRefusedError."""
    if engine.role == DECODE_ROLE:
        raise AttemptRefusedError(400, "not-a-reader")
    if engine.draining:
        raise AttemptRefusedError(503, "draining")
    engine.require_memory(request.tokens)
    if engine.fault.script not in DECODE_SCRIPTS:
        return await apply_script(engine.fault, exchange)
    prefix = engine.look_up_prefix(request.prompt)
    work_ms = prefill_ms(engine, prefix.uncached_tokens)
    engine.record_arrival(work_ms)
    await _read_prompt(engine, request.tokens, work_ms)
    engine.traffic.line(
        "made",
        id=engine.ident,
        gen=request.request,
        prompt=int(request.tokens),
        kept=int(prefix.cached_tokens),
        answer=0,
    )
    engine.record_held(request.request, request.tokens)
    if engine.rng.random() < engine.fault.lost_answer_share:
        return await lose_answer(engine.fault, exchange)
    answer = _answer(engine, request, prefix.cached_tokens)
    await exchange.answer(200, [engine.load_header()], msgspec.json.encode(answer))
    return AttemptOutcome.PREFILLED


async def _read_prompt(engine: EngineCore, tokens: float, work_ms: float) -> None:
    """Processes the prompt. Afterwards its memory stays in use for the state, unless it failed."""
    async with engine.slot():
        engine.used_tokens += tokens
        try:
            await engine.work(work_ms)
        except BaseException:
            engine.used_tokens -= tokens
            raise


def _answer(engine: EngineCore, request: EngineRequest, cached_tokens: float) -> dict[str, Any]:
    message = {"role": "assistant", "content": "."}
    return {
        "id": request.request,
        "object": "chat.completion",
        "choices": [{"index": 0, "message": message, "finish_reason": "length"}],
        "kv_transfer_params": {
            "do_remote_prefill": True,
            "do_remote_decode": False,
            "remote_engine_id": engine.ident,
            "remote_block_ids": [],
            "remote_host": engine.host,
            "remote_port": engine.port,
            "remote_request_id": request.request,
            "standin_cell": engine.cell,
        },
        "usage": usage_of(engine.fault, request.tokens, cached_tokens, 1),
    }
