"""A scenario document (JSON5): fleet, request classes, load over time and faults."""

from __future__ import annotations

from itertools import pairwise
from typing import Annotated

from msgspec import Meta

from ternlane.config.gateway import (
    ConfigDocument,
    Count,
    FleetConfig,
    Fraction,
    Name,
    NonNegative,
    Positive,
    RequestClassConfig,
    ServerLimits,
    StreamConfig,
)
from ternlane.scenarios.faults import AnyFault, EngineFaultConfig, ZoneCut
from ternlane.tenants.tenant_registry import Budget

Span = tuple[float, float]  # least and most


class EngineKind(ConfigDocument, frozen=True, kw_only=True):
    """What the engines of one role can do."""

    slots: Count = 8
    queue: int = 40
    kv_capacity_tokens: Positive = 200e3
    prefill_tokens_per_s: Positive = 20e3
    token_ms: Positive = 10.0
    token_growth: NonNegative = 1.0
    near_tokens_per_s: Positive = 300e3
    far_tokens_per_s: Positive = 100e3
    answer_tokens: tuple[int, int] = (8, 40)
    speeds: Span = (0.9, 1.1)  # times the stated speeds; drawn for each engine


class Cell(ConfigDocument, frozen=True, kw_only=True):
    """Engines with fast links to each other: how many of each role."""

    zone: str = "hall"
    prefill_servers: int = 1
    decode_servers: int = 1
    mixed: int = 0


class UseConfig(ConfigDocument, frozen=True, kw_only=True):
    """How clients use one request class."""

    request_class: Name
    share: Positive = 1.0
    turns: Span = (1.0, 2.0)
    adds: Span = (100.0, 400.0)
    prefixes: Count = 8
    prefix_tokens: Span = (500.0, 2000.0)
    prefix_share: Fraction = 0.8
    max_tokens: Count = 400
    think_ms: Positive = 300.0
    key_part: Fraction = 0.5
    plain_part: Fraction = 0.1


class ClientsConfig(ConfigDocument, frozen=True, kw_only=True):
    """How clients wait, retry and leave."""

    try_share: Span = (0.5, 1.0)
    retries: int = 2
    backoff_ms: Span = (50.0, 300.0)
    honour: Fraction = 0.7
    leave_part: Fraction = 0.0
    leave_ms: Span = (20.0, 600.0)


class RegistryDelays(ConfigDocument, frozen=True, kw_only=True):
    """How late the registry learns of things."""

    notice_ms: NonNegative = 300.0  # a drain, or a start
    silent_ms: NonNegative = 1500.0  # a death that nobody announced


class Scenario(ConfigDocument, frozen=True, kw_only=True):
    """The whole document."""

    name: Name
    seed: int = 1
    length_s: Positive
    rate: Positive  # requests a second over all gateways, without retries
    load: Annotated[tuple[Span, ...], Meta(min_length=1)] = ((0.0, 1.0),)  # second, times the rate; straight lines
    gateways: Count = 2
    cells: Annotated[list[Cell], Meta(min_length=1)]
    prefill_server: EngineKind = EngineKind()
    decode_server: EngineKind = EngineKind()
    mixed: EngineKind = EngineKind()
    request_classes: Annotated[list[RequestClassConfig], Meta(min_length=1)]
    uses: Annotated[list[UseConfig], Meta(min_length=1)]
    terms: FleetConfig = FleetConfig()
    door: ServerLimits = ServerLimits()
    streams: StreamConfig = StreamConfig()
    clients: ClientsConfig = ClientsConfig()
    lists: RegistryDelays = RegistryDelays()
    front_notice_ms: Positive = 1500.0
    tenants: int = 0  # 0: everybody is served; else so many, with keys, budgets and bills
    budget: Budget = Budget()  # of each tenant
    lent: bool = True  # gateways lend parts of budgets to each other
    troubles: list[AnyFault] = []

    def __post_init__(self) -> None:
        """Raises ValueError for what the types can't say."""
        self._check_uses()
        for index, fault in enumerate(self.troubles):
            self._check_fault(f"troubles[{index}]", fault)
        if [at_s for at_s, _ in self.load] != sorted(at_s for at_s, _ in self.load):
            raise ValueError("load must go forward in time")

    def _check_uses(self) -> None:
        names = {request_class.name for request_class in self.request_classes}
        for index, use in enumerate(self.uses):
            if use.request_class not in names:
                raise ValueError(f"uses[{index}].product {use.request_class!r} is not among the products")

    def _check_fault(self, where: str, fault: AnyFault) -> None:
        engines = sum(cell.prefill_servers + cell.decode_servers + cell.mixed for cell in self.cells)
        if isinstance(fault, ZoneCut) and fault.zone not in {cell.zone for cell in self.cells}:
            raise ValueError(f"{where}.zone {fault.zone!r} has no cell")
        if isinstance(fault, EngineFaultConfig) and any(not 0 <= number < engines for number in fault.on or []):
            raise ValueError(f"{where}.on names an engine that is not there (0 to {engines - 1})")
        if fault.at_s >= self.length_s:
            raise ValueError(f"{where}.at_s lies after the day's end")

    def rate_at(self, ms: float) -> float:
        """Requests a second at this time of the run, by the straight line between two points of `load`."""
        at_s = ms / 1000
        first_s, first_times = self.load[0]
        if at_s <= first_s:
            return self.rate * first_times
        for (begin_s, begin_times), (end_s, end_times) in pairwise(self.load):
            if at_s <= end_s:
                slope = (end_times - begin_times) * (at_s - begin_s) / max(end_s - begin_s, 1e-9)
                return self.rate * (begin_times + slope)
        return self.rate * self.load[-1][1]
