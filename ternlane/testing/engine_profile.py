"""The capacity, the speed and the current faults of a fake engine."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum

# Roles as in endpoint lists; engines of any other role prefill and decode.
PREFILL_ROLE = "read"
DECODE_ROLE = "write"


class Stage(StrEnum):
    """The stage that an attempt runs. The values are those of the JSON lines."""

    PREFILL = "read"
    DECODE = "write"
    BOTH = "whole"


class AttemptOutcome(StrEnum):
    """How an attempt ended at a fake engine. The values are those of the JSON lines."""

    PREFILLED = "read"
    STREAMED = "streamed"
    ERROR = "error"
    LOST = "lost"  # the connection was reset before the end of the answer
    DROPPED = "dropped"  # the gateway disconnected, or the process ended


@dataclass(frozen=True)
class EngineProfile:
    """The capacity and speed of an engine."""

    slots: int = 8  # attempts that run concurrently
    queue: int = 40  # attempts that can wait for a slot
    kv_capacity_tokens: float = 200e3
    prefill_tokens_per_s: float = 20e3
    token_ms: float = 10.0  # time per token with a single stream
    token_growth: float = 1.0  # share by which it grows when all slots are busy
    near_tokens_per_s: float = 300e3  # state transfer within a cell
    far_tokens_per_s: float = 100e3  # state transfer between cells
    slow_start_ms: float = 10e3  # time for which a started process is cold
    slow_start_share: float = 0.3  # share of full speed at the start
    fall_multiple: float = 3.0  # a cold process crashes on more than so many times the work that it can do
    fall_ms: float = 2000.0  # in this time
    answer_tokens: tuple[int, int] = (8, 40)  # minimum and maximum length
    dedup_ms: float = 5000.0  # time for which repeats of an idempotency key have no effect


def _no_peer(_address: str) -> bool:
    return False


@dataclass(eq=False)
class EngineFault:
    """The current faults of an engine."""

    hung: bool = False  # accepts requests but does no work
    slowdown: float = 1.0  # factor on the time of work
    cpu_taken_share: float = 0.0  # share of the CPU that another program takes
    paused_until_ms: float = 0.0  # does no work until this time of the machine's clock
    lost_answer_share: float = 0.0  # share of answers that are not sent although the work is done
    lost_by_reset: bool = False  # for a lost answer: resets the connection; otherwise sends nothing
    broken_stream_share: float = 0.0  # share of answers that break off after some event, possibly the last
    broken_by: str = "reset"  # how they break off: "reset" or "stall"
    handshake_delay_ms: float = 0.0  # delay before a new connection is served
    link_slowdown: float = 1.0  # factor on the time of state transfer between cells
    # What happens to each attempt. "full", "nostate": it is refused; "error": status 500; "reset", "silent": the answer
    # is lost; "midway", "stall": the answer breaks off after `break_after_events`; "deaf": the engine does not know
    # continue_final_message; "other": the answer differs from those of the other engines.
    script: str = ""
    break_after_events: int = 2
    usage_reporting: str = "true"  # "none": usage is missing; "absurd": token counts are wrong
    is_cut_off: Callable[[str], bool] = field(default=_no_peer)  # by the IP address of the peer
