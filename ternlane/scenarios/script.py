"""A day's script: fleet, products, load over time and troubles. JSON5, checked; times in seconds where `_s` says so."""

from __future__ import annotations

from typing import Annotated, Literal

from msgspec import Meta

from ternlane.tenants.tenant_registry import Budget
from ternlane.config.gateway import (
    Count,
    ServerLimits,
    FleetConfig,
    Name,
    NotNegative,
    Part,
    Positive,
    RequestClassConfig,
    ConfigDocument,
    StreamConfig,
)

Span = tuple[float, float]


class Kind(ConfigDocument, frozen=True, kw_only=True):
    """What one kind of engine can do."""

    slots: Count = 8
    queue: int = 40
    kv_capacity_tokens: Positive = 200e3
    prefill_tokens_per_s: Positive = 20e3
    token_ms: Positive = 10.0
    token_growth: NotNegative = 1.0
    near_tokens_per_s: Positive = 300e3
    far_tokens_per_s: Positive = 100e3
    answer_tokens: tuple[int, int] = (8, 40)
    speeds: Span = (0.9, 1.1)  # drawn for each engine


class Cell(ConfigDocument, frozen=True, kw_only=True):
    zone: str = "hall"
    prefill_servers: int = 1
    decode_servers: int = 1
    mixed: int = 0


class Use(ConfigDocument, frozen=True, kw_only=True):
    """How clients use one product."""

    request_class: Name
    share: Positive = 1.0
    turns: Span = (1.0, 2.0)
    adds: Span = (100.0, 400.0)
    prefixes: Count = 8
    prefix_tokens: Span = (500.0, 2000.0)
    prefix_share: Part = 0.8
    max_tokens: Count = 400
    think_ms: Positive = 300.0
    key_part: Part = 0.5
    plain_part: Part = 0.1


class ClientsLine(ConfigDocument, frozen=True, kw_only=True):
    try_share: Span = (0.5, 1.0)
    retries: int = 2
    backoff_ms: Span = (50.0, 300.0)
    honour: Part = 0.7
    leave_part: Part = 0.0
    leave_ms: Span = (20.0, 600.0)


class ListTimes(ConfigDocument, frozen=True, kw_only=True):
    """How late the registry learns of things."""

    notice_ms: NotNegative = 300.0  # a drain, or a start
    silent_ms: NotNegative = 1500.0  # a death that nobody announced


class Struck(ConfigDocument, frozen=True, kw_only=True):
    at_s: NotNegative
    for_s: Positive = 10.0


class Burst(Struck, frozen=True, kw_only=True, tag="burst", tag_field="kind"):
    """Traffic jumps."""

    times: Positive = 2.0


class HeavyTail(Struck, frozen=True, kw_only=True, tag="heavy_tail", tag_field="kind"):
    """Some prompts are many times longer."""

    share: Part = 0.02
    times: Positive = 10.0
    request_class: str = ""


class HotKey(Struck, frozen=True, kw_only=True, tag="hot_key", tag_field="kind"):
    """Many new sessions begin with a long text not seen before."""

    share: Part = 0.2
    keys: Count = 1
    tokens: Positive = 3000.0


class OnServers(Struck, frozen=True, kw_only=True):
    """Strikes a part of the engines, or those named by number; `duty` narrows it."""

    part: Part = 0.2
    on: list[int] | None = None
    role: Literal["any", "read", "write", "both"] = "any"


class TenantRush(Struck, frozen=True, kw_only=True, tag="tenant_rush", tag_field="kind"):
    """Many new sessions are one tenant's."""

    share: Part = 0.5


class Crash(OnServers, frozen=True, kw_only=True, tag="crash", tag_field="kind"):
    """Processes die and come back cold after `for_s`."""


class Hang(OnServers, frozen=True, kw_only=True, tag="hang", tag_field="kind"):
    """Takes work, answers nothing."""


class Slow(OnServers, frozen=True, kw_only=True, tag="slow", tag_field="kind"):
    times: Positive = 4.0


class Pauses(OnServers, frozen=True, kw_only=True, tag="pauses", tag_field="kind"):
    """Stands still for `pause_ms` every `every_s`."""

    pause_ms: Positive = 300.0
    every_s: Positive = 2.0


class Neighbour(OnServers, frozen=True, kw_only=True, tag="neighbour", tag_field="kind"):
    """Another program takes a share of the machine, on and off."""

    share: Part = 0.5
    turn_s: Positive = 2.0


class Flush(OnServers, frozen=True, kw_only=True, tag="flush", tag_field="kind"):
    """Kept texts are forgotten at once."""


class AnswerLost(OnServers, frozen=True, kw_only=True, tag="answer_lost", tag_field="kind"):
    """The work runs, its answer does not come back."""

    share: Part = 0.2
    how: Literal["silence", "reset"] = "silence"


class StreamBroken(OnServers, frozen=True, kw_only=True, tag="stream_broken", tag_field="kind"):
    """Answers break off after some piece, the last included: the connection is reset, or nothing more comes."""

    share: Part = 0.1
    how: Literal["reset", "stall"] = "reset"


class HandshakeSlow(OnServers, frozen=True, kw_only=True, tag="handshake_slow", tag_field="kind"):
    """New connections are served late; open ones are not touched."""

    added_ms: Positive = 200.0


class OriginSlow(Struck, frozen=True, kw_only=True, tag="origin_slow", tag_field="kind"):
    """The cells' links run slower."""

    times: Positive = 4.0


class ZoneCut(Struck, frozen=True, kw_only=True, tag="zone_cut", tag_field="kind"):
    """One zone and the others can't reach each other."""

    zone: str


class MassRestart(OnServers, frozen=True, kw_only=True, tag="mass_restart", tag_field="kind"):
    """Many engines of one kind restart at once, unannounced."""

    within_s: NotNegative = 0.3


class Preempt(OnServers, frozen=True, kw_only=True, tag="preempt", tag_field="kind"):
    """Listed as draining, dead after `notice_s`; replacements start cold after `for_s`."""

    notice_s: Positive = 2.0
    waves: Count = 2


class TenantRegistry(OnServers, frozen=True, kw_only=True, tag="release", tag_field="kind"):
    """A release: drained, restarted, `batch` of those struck at a time."""

    batch: Part = 0.25
    drain_s: Positive = 1.0
    down_s: Positive = 0.5


class BalancerCrash(Struck, frozen=True, kw_only=True, tag="balancer_crash", tag_field="kind"):
    """Gateways are killed outright and come back with their last list after `for_s`."""

    part: Part = 0.3


class BalancerRoll(Struck, frozen=True, kw_only=True, tag="balancer_roll", tag_field="kind"):
    """Gateways are restarted in waves: SIGTERM, or killed. With `handover` the next process gets the listening socket,
    serves first, and then the old one is told to end."""

    part: Part = 1.0
    batch: Part = 0.2
    down_s: Positive = 0.5
    killed: bool = False
    handover: bool = False


class RegistryFails(Struck, frozen=True, kw_only=True, tag="registry_fails", tag_field="kind"):
    how: Literal["errors", "silence", "garbage", "partial", "restart", "empty"] = "errors"


AnyTrouble = (
    TenantRush
    | Burst
    | HeavyTail
    | HotKey
    | Crash
    | Hang
    | Slow
    | Pauses
    | Neighbour
    | Flush
    | AnswerLost
    | StreamBroken
    | HandshakeSlow
    | OriginSlow
    | ZoneCut
    | MassRestart
    | Preempt
    | TenantRegistry
    | BalancerCrash
    | BalancerRoll
    | RegistryFails
)


class DayScript(ConfigDocument, frozen=True, kw_only=True):
    name: Name
    seed: int = 1
    length_s: Positive
    rate: Positive  # generations a second over all gateways, without repeats
    load: Annotated[tuple[Span, ...], Meta(min_length=1)] = ((0.0, 1.0),)  # second, times the rate; straight lines
    gateways: Count = 2
    cells: Annotated[list[Cell], Meta(min_length=1)]
    prefill_server: Kind = Kind()
    decode_server: Kind = Kind()
    mixed: Kind = Kind()
    request_classes: Annotated[list[RequestClassConfig], Meta(min_length=1)]
    uses: Annotated[list[Use], Meta(min_length=1)]
    terms: FleetConfig = FleetConfig()
    door: ServerLimits = ServerLimits()
    streams: StreamConfig = StreamConfig()
    clients: ClientsLine = ClientsLine()
    lists: ListTimes = ListTimes()
    front_notice_ms: Positive = 1500.0
    tenants: int = 0  # 0: everybody is served; else so many, with keys, budgets and bills
    budget: Budget = Budget()  # of each tenant
    lent: bool = True  # gateways lend parts of budgets to each other
    troubles: list[AnyTrouble] = []

    def __post_init__(self) -> None:
        names = {p.name for p in self.request_classes}
        for i, use in enumerate(self.uses):
            if use.request_class not in names:
                raise ValueError(f"uses[{i}].product {use.request_class!r} is not among the products")
        zones = {c.zone for c in self.cells}
        engines = sum(c.prefill_servers + c.decode_servers + c.mixed for c in self.cells)
        for i, trouble in enumerate(self.troubles):
            if isinstance(trouble, ZoneCut) and trouble.zone not in zones:
                raise ValueError(f"troubles[{i}].zone {trouble.zone!r} has no cell")
            if isinstance(trouble, OnServers) and any(not 0 <= n < engines for n in trouble.on or []):
                raise ValueError(f"troubles[{i}].on names an engine that is not there (0 to {engines - 1})")
            if trouble.at_s >= self.length_s:
                raise ValueError(f"troubles[{i}].at_s lies after the day's end")
        if [at for at, _ in self.load] != sorted(at for at, _ in self.load):
            raise ValueError("load must go forward in time")

    def rate_at(self, ms: float) -> float:
        """Generations a second, by the straight line between two points of `load`."""
        at = ms / 1000
        points = self.load
        if at <= points[0][0]:
            return self.rate * points[0][1]
        for (a, x), (b, y) in zip(points, points[1:], strict=False):
            if at <= b:
                return self.rate * (x + (y - x) * (at - a) / max(b - a, 1e-9))
        return self.rate * points[-1][1]
