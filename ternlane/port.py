"""The interface between the decisions (choice.py) and whatever hosts them.

A host makes one Router from StartFacts, hands it what happened through `Router.take(now, events)` and carries out the
actions that come back, in their order. Servers, products and generations are objects that host and module share; the
host alone knows their ids. `seat` on a server or a generation belongs to the module. Times are milliseconds.
"""
from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto
from typing import Any


class Effect(Enum):
    IDEMPOTENT = auto()
    DEDUPLICATED = auto()
    SIDE_EFFECTING = auto()


class Group(Enum):
    """Which servers drop the repeats of a deduplicated generation."""
    ALL = auto()
    ZONE = auto()
    CELL = auto()


class Duty(Enum):
    READ = auto()
    WRITE = auto()
    BOTH = auto()


class Life(Enum):
    UP = auto()
    DRAINING = auto()
    GONE = auto()


class Verdict(Enum):
    STREAMED = auto()
    ERROR = auto()
    FULL = auto()
    TIMED_OUT = auto()
    UNCONNECTED = auto()
    RESET = auto()
    CALLED_OFF = auto()
    MOOT = auto()
    READ = auto()


@dataclass(slots=True, eq=False)
class Product:
    effect: Effect
    group: Group
    window_ms: float
    slo_ms: float
    slo_per_ktok_ms: float
    tok_slo_ms: float
    limit_ms: float
    revenue: float
    late_share: float


@dataclass(slots=True, eq=False)
class Server:
    """`mark` is a number of the server's own that every gateway sees alike; it tells nothing else."""
    zone: str
    cell: int
    duty: Duty
    mem_toks: float
    size: float = 1.0
    started_ms: float = 0.0
    life: Life = Life.UP
    mark: int = 0
    seat: Any = None


@dataclass(slots=True, eq=False)
class Generation:
    product: Product
    session: str | None
    opening: str | None
    opening_toks: float
    prompt_toks: float
    max_toks: float
    patience_ms: float
    whole: bool = False    # its client hears nothing before the answer is whole
    seat: Any = None


@dataclass(slots=True, frozen=True)
class StartFacts:
    seed: int
    gateways: int
    zone: str
    products: tuple[Product, ...]
    leg_limit: int
    may_call_off: bool
    may_hold_ahead: bool
    may_probe: bool
    may_advise: bool
    must_ask: bool
    ask_within_ms: float
    writers_read: bool
    reports_mem: bool
    longest_pause_ms: float
    connect_ms: float
    idle_ms: float
    release_ms: float
    drain_grace_ms: float
    cold_ms: float
    cold_from: float
    fall_multiple: float
    fall_ms: float
    step_ms: float


@dataclass(slots=True, frozen=True)
class Report:
    """A server's word on its load; None where the figure is not reported."""
    open_gens: float | None = None
    mem_share: float | None = None


# What the host tells.

@dataclass(slots=True, frozen=True)
class Listed:
    """News of the servers, whose fields already hold it. A whole list leaves out those that are gone."""
    servers: tuple[Server, ...]


@dataclass(slots=True, frozen=True)
class ListFailed:
    """A call for the list, or the subscription to its changes, came to nothing."""


@dataclass(slots=True, frozen=True)
class Arrived:
    gen: Generation


@dataclass(slots=True, frozen=True)
class FirstTok:
    gen: Generation
    server: Server
    took_ms: float


@dataclass(slots=True, frozen=True)
class LegEnded:
    gen: Generation
    server: Server
    verdict: Verdict
    took_ms: float
    over: bool
    kept_toks: float = 0.0
    state_lost: bool = False
    report: Report | None = None


@dataclass(slots=True, frozen=True)
class PlaceHeld:
    gen: Generation
    held: bool


@dataclass(slots=True, frozen=True)
class Checked:
    server: Server
    verdict: Verdict
    report: Report | None


@dataclass(slots=True, frozen=True)
class ClientLeft:
    gen: Generation


@dataclass(slots=True, frozen=True)
class Woken:
    """A time asked for by Wake has come; `beat` says which of the two kinds."""
    beat: bool


Event = Listed | ListFailed | Arrived | FirstTok | LegEnded | PlaceHeld | Checked | ClientLeft | Woken


# What the module asks for.

@dataclass(slots=True, frozen=True)
class SendLeg:
    """`timeout_ms` runs until the first token; after it, a stream that is silent for `quiet_ms` has broken, and one
    that is not over after `whole_ms`, counted from the send, comes too late for its client."""
    gen: Generation
    server: Server
    timeout_ms: float
    quiet_ms: float
    whole_ms: float


@dataclass(slots=True, frozen=True)
class CallOff:
    """Stops the wait for the generation's leg that is out."""
    gen: Generation


@dataclass(slots=True, frozen=True)
class Throttle:
    gen: Generation
    pause_ms: float


@dataclass(slots=True, frozen=True)
class Terminate:
    gen: Generation


@dataclass(slots=True, frozen=True)
class LetGo:
    gen: Generation


@dataclass(slots=True, frozen=True)
class HoldAhead:
    gen: Generation
    server: Server


@dataclass(slots=True, frozen=True)
class Probe:
    server: Server


@dataclass(slots=True, frozen=True)
class Follow:
    """Asks for the list's changes from now on."""


@dataclass(slots=True, frozen=True)
class Wake:
    at_ms: float
    beat: bool


@dataclass(slots=True, frozen=True)
class Log:
    server: Server
    text: str


Action = SendLeg | CallOff | Throttle | Terminate | LetGo | HoldAhead | Probe | Follow | Wake | Log
