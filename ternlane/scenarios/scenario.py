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

Range = tuple[float, float]  # minimum and maximum


class EngineKind(ConfigDocument, frozen=True, kw_only=True):
    """The capacity and speed of the engines of one role."""

    slots: Count = 8
    queue: int = 40
    kv_capacity_tokens: Positive = 200e3
    prefill_tokens_per_s: Positive = 20e3
    token_ms: Positive = 10.0
    token_growth: NonNegative = 1.0
    near_tokens_per_s: Positive = 300e3
    far_tokens_per_s: Positive = 100e3
    answer_tokens: tuple[int, int] = (8, 40)
    speeds: Range = (0.9, 1.1)  # factor on the speeds above, drawn for each engine


class Cell(ConfigDocument, frozen=True, kw_only=True):
    """Engines with fast links to each other: the number of each role."""

    zone: str = "hall"
    prefill_servers: int = 1
    decode_servers: int = 1
    mixed: int = 0


class WorkloadConfig(ConfigDocument, frozen=True, kw_only=True):
    """The traffic of one request class; `ClientWorkload` describes the fields."""

    request_class: Name
    share: Positive = 1.0
    turns: Range = (1.0, 2.0)
    adds: Range = (100.0, 400.0)
    prefixes: Count = 8
    prefix_tokens: Range = (500.0, 2000.0)
    prefix_share: Fraction = 0.8
    max_tokens: Count = 400
    think_ms: Positive = 300.0
    key_part: Fraction = 0.5
    plain_part: Fraction = 0.1


class ClientsConfig(ConfigDocument, frozen=True, kw_only=True):
    """How clients wait, retry and disconnect; `ClientBehaviour` describes the fields."""

    try_share: Range = (0.5, 1.0)
    retries: int = 2
    backoff_ms: Range = (50.0, 300.0)
    honour: Fraction = 0.7
    leave_part: Fraction = 0.0
    leave_ms: Range = (20.0, 600.0)


class RegistryDelays(ConfigDocument, frozen=True, kw_only=True):
    """The delays with which the registry lists changes."""

    notice_ms: NonNegative = 300.0  # of a drain, a start or an announced end
    silent_ms: NonNegative = 1500.0  # of a crash


class Scenario(ConfigDocument, frozen=True, kw_only=True):
    """A scenario document."""

    name: Name
    seed: int = 1
    length_s: Positive
    rate: Positive  # requests per second at all gateways together, without retries
    load: Annotated[tuple[Range, ...], Meta(min_length=1)] = ((0.0, 1.0),)  # (second, factor on `rate`), interpolated
    gateways: Count = 2
    cells: Annotated[list[Cell], Meta(min_length=1)]
    prefill_server: EngineKind = EngineKind()
    decode_server: EngineKind = EngineKind()
    mixed: EngineKind = EngineKind()
    request_classes: Annotated[list[RequestClassConfig], Meta(min_length=1)]
    uses: Annotated[list[WorkloadConfig], Meta(min_length=1)]
    terms: FleetConfig = FleetConfig()  # of the gateways, like `door` and `streams`
    door: ServerLimits = ServerLimits()
    streams: StreamConfig = StreamConfig()
    clients: ClientsConfig = ClientsConfig()
    lists: RegistryDelays = RegistryDelays()
    front_notice_ms: Positive = 1500.0
    tenants: int = 0  # number of tenants with API keys, budgets and bills; 0: requests need no key
    budget: Budget = Budget()  # of each tenant
    lent: bool = True  # gateways lease shares of the budgets from each other
    troubles: list[AnyFault] = []

    def __post_init__(self) -> None:
        """Checks what the types do not express. Raises ValueError."""
        self._check_uses()
        for index, fault in enumerate(self.troubles):
            self._check_fault(f"troubles[{index}]", fault)
        if [at_s for at_s, _ in self.load] != sorted(at_s for at_s, _ in self.load):
            raise ValueError("the times of load must not decrease")

    def _check_uses(self) -> None:
        names = {request_class.name for request_class in self.request_classes}
        for index, workload in enumerate(self.uses):
            if workload.request_class not in names:
                raise ValueError(f"uses[{index}].product: {workload.request_class!r} is not in products")

    def _check_fault(self, where: str, fault: AnyFault) -> None:
        engines = sum(cell.prefill_servers + cell.decode_servers + cell.mixed for cell in self.cells)
        if isinstance(fault, ZoneCut) and fault.zone not in {cell.zone for cell in self.cells}:
            raise ValueError(f"{where}.zone: {fault.zone!r} is not the zone of any cell")
        if isinstance(fault, EngineFaultConfig) and any(not 0 <= number < engines for number in fault.on or []):
            raise ValueError(f"{where}.on has an engine number out of range (0 to {engines - 1})")
        if fault.at_s >= self.length_s:
            raise ValueError(f"{where}.at_s must be less than length_s")

    def rate_at(self, ms: float) -> float:
        """The requests per second at this time of the run, interpolated between the points of `load`."""
        at_s = ms / 1000
        first_s, first_times = self.load[0]
        if at_s <= first_s:
            return self.rate * first_times
        for (begin_s, begin_times), (end_s, end_times) in pairwise(self.load):
            if at_s <= end_s:
                slope = (end_times - begin_times) * (at_s - begin_s) / max(end_s - begin_s, 1e-9)
                return self.rate * (begin_times + slope)
        return self.rate * self.load[-1][1]
