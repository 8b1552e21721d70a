"""Faulty answers of a fake engine."""

from __future__ import annotations

from typing import Never

import trio

from ternlane.http1 import Exchange
from ternlane.testing.engine_core import AttemptRefusedError
from ternlane.testing.engine_profile import AttemptOutcome, EngineFault
from ternlane.testing.sockets import reset_when_closed

# The beginning of a chunk that is said to have 3 GB.
HUGE_CHUNK = b"c0000000\r\n"
# How each script breaks a stream.
BREAKS = {"midway": "reset", "stall": "stall", "huge_chunk": "huge_chunk"}


async def _stay_silent() -> Never:
    await trio.sleep_forever()
    raise AssertionError("sleep_forever does not return")


async def apply_script(fault: EngineFault, exchange: Exchange) -> AttemptOutcome:
    """Ends an attempt as scripted, before any text. Raises AttemptRefusedError if that is a refusal."""
    match fault.script:
        case "full":
            raise AttemptRefusedError(429, "queue-full")
        case "nostate":
            raise AttemptRefusedError(409, "no-state")
        case "error":
            await exchange.answer(500, [], b'{"error":{"message":"out of memory"}}')
            return AttemptOutcome.ERROR
        case "reset":
            reset_when_closed(exchange.stream)
            return AttemptOutcome.LOST
    await _stay_silent()


async def lose_answer(fault: EngineFault, exchange: Exchange) -> AttemptOutcome:
    """Sends no answer to work that has been done."""
    if not fault.lost_by_reset:
        await _stay_silent()
    reset_when_closed(exchange.stream)
    return AttemptOutcome.LOST


async def break_stream(broken_by: str, exchange: Exchange) -> AttemptOutcome:
    """Breaks an answer off. `broken_by`: "reset" resets the connection, "stall" sends nothing more,
    "huge_chunk" begins a chunk without end."""
    if broken_by == "huge_chunk":
        await exchange.stream.send_all(HUGE_CHUNK)
        await _stay_silent()
    if broken_by == "stall":
        await _stay_silent()
    reset_when_closed(exchange.stream)
    return AttemptOutcome.LOST
