"""What a fake engine can do, and what is wrong with it at present."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum

# Roles as endpoint lists say them; any other engine prefills and decodes.
PREFILL_ROLE = "read"
DECODE_ROLE = "write"


class Stage(StrEnum):
    """What an attempt asks for; the values are those of the JSON lines."""

    PREFILL = "read"
    DECODE = "write"
    BOTH = "whole"


class AttemptOutcome(StrEnum):
    """How an attempt ended at a fake engine; the values are those of the JSON lines."""

    PREFILLED = "read"
    STREAMED = "streamed"
    ERROR = "error"
    LOST = "lost"  # the connection is reset
    DROPPED = "dropped"  # its client left


@dataclass(frozen=True)
class EngineProfile:
    """What a kind of engine can do."""

    slots: int = 8  # attempts at once
    queue: int = 40  # attempts that may wait for a slot
    kv_capacity_tokens: float = 200e3
    prefill_tokens_per_s: float = 20e3
    token_ms: float = 10.0  # from one token to the next with one stream
    token_growth: float = 1.0  # share by which that grows from one stream to all slots
    near_tokens_per_s: float = 300e3  # state transfer to a decode server of its own cell
    far_tokens_per_s: float = 100e3  # and to one of another cell
    slow_start_ms: float = 10e3  # for how long a started process is cold
    slow_start_share: float = 0.3  # of its full speed, at the start
    fall_multiple: float = 3.0  # falls over above so many times the work that it can do cold,
    fall_ms: float = 2000.0  # within this time
    answer_tokens: tuple[int, int] = (8, 40)  # least and most
    dedup_ms: float = 5000.0  # for how long repeats of an idempotency key are dropped


def _nobody(_address: str) -> bool:
    return False


@dataclass(eq=False)
class EngineFault:
    """What is wrong with an engine at present."""

    hung: bool = False  # takes work, does none
    slowdown: float = 1.0  # times slower
    cpu_taken_share: float = 0.0  # of the machine, by another program
    paused_until_ms: float = 0.0  # does nothing before this time of the machine's clock
    lost_answer_share: float = 0.0  # of answers: the work runs, nothing comes back
    lost_by_reset: bool = False  # lost answers reset the connection; else it stays silent
    broken_stream_share: float = 0.0  # of answers: they break off after some event, the last included
    broken_by: str = "reset"  # or "stall"
    handshake_delay_ms: float = 0.0  # before a new connection is served
    link_slowdown: float = 1.0  # times slower state transfer between cells
    # What happens to each attempt. "full", "nostate": refused; "error": 500; "reset", "silent": the answer is lost;
    # "midway", "stall": it breaks off after `break_after_events`; "deaf": ignores the continuation of a message;
    # "other": gives another answer than the other engines.
    script: str = ""
    break_after_events: int = 2
    usage_reporting: str = "true"  # "none" or "absurd": wrong token counts
    is_cut_off: Callable[[str], bool] = field(default=_nobody)  # by the peer's IP address
