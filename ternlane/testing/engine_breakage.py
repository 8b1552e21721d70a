"""The ways in which a fake engine's answers go wrong."""

from __future__ import annotations

from typing import Never

import trio

from ternlane.http1 import Exchange
from ternlane.testing.engine_core import Refused
from ternlane.testing.engine_profile import AttemptOutcome, EngineFault
from ternlane.testing.sockets import reset_when_closed


async def _stay_silent() -> Never:
    await trio.sleep_forever()
    raise AssertionError("sleep_forever does not return")


async def play_script(fault: EngineFault, exchange: Exchange) -> AttemptOutcome:
    """The scripted end of an attempt that comes before any text. Raises Refused for the scripted refusals."""
    match fault.script:
        case "full":
            raise Refused(429, "queue-full")
        case "nostate":
            raise Refused(409, "no-state")
        case "error":
            await exchange.answer(500, [], b'{"error":{"message":"out of memory"}}')
            return AttemptOutcome.ERROR
        case "reset":
            reset_when_closed(exchange.stream)
            return AttemptOutcome.LOST
    await _stay_silent()


async def lose_answer(fault: EngineFault, exchange: Exchange) -> AttemptOutcome:
    """The work has run, and no answer comes."""
    if not fault.lost_by_reset:
        await _stay_silent()
    reset_when_closed(exchange.stream)
    return AttemptOutcome.LOST


async def break_off(broken_by: str, exchange: Exchange) -> AttemptOutcome:
    """A begun answer ends: `broken_by` "reset", or goes on without another byte: "stall"."""
    if broken_by == "stall":
        await _stay_silent()
    reset_when_closed(exchange.stream)
    return AttemptOutcome.LOST
