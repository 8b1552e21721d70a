"""The document of one gateway. Times are milliseconds where a name ends in `_ms`.

Fields have the terms of the code; the keys that operators write are mapped by `ternlane.document_keys`.
"""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from ternlane.document_keys import document_key

Positive = Annotated[float, Meta(gt=0)]
NonNegative = Annotated[float, Meta(ge=0)]
Fraction = Annotated[float, Meta(ge=0, le=1)]
PositiveFraction = Annotated[float, Meta(gt=0, le=1)]
Count = Annotated[int, Meta(ge=1)]
Name = Annotated[str, Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$")]
Address = Annotated[str, Meta(pattern=r"^(\[[0-9a-fA-F:]+\]|[A-Za-z0-9.-]+):\d{1,5}$")]


class ConfigDocument(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True, rename=document_key):
    """The base of all documents. Unknown keys are refused: a misspelt limit would otherwise be no limit."""


class RequestClassConfig(ConfigDocument, frozen=True, kw_only=True):
    """One request class: which model names mean it, whether requests may be repeated, its latency objectives, its
    priority weight. `window_ms` is how long repeats under one Idempotency-Key are known."""

    name: Name
    models: list[str] = []  # further model names that mean this class
    effect: Literal["idempotent", "deduplicated", "side-effecting"] = "side-effecting"
    group: Literal["all", "zone", "cell"] = "cell"
    window_ms: NonNegative = 0.0
    slo_ms: Positive  # until the first token
    slo_per_1000_tokens_ms: NonNegative = 0.0  # added for each thousand tokens of the prompt
    token_slo_ms: Positive = 80.0  # between two tokens of the answer
    deadline_ms: Positive
    priority_weight: NonNegative = 1.0
    late_value_share: Fraction = 0.0  # of its value that an answer later than its objective still has
    max_tokens: Count = 1024  # of an answer whose request states no maximum

    def __post_init__(self) -> None:
        if self.deadline_ms < self.slo_ms:
            raise ValueError("limit_ms is shorter than slo_ms")


class FleetConfig(ConfigDocument, frozen=True, kw_only=True):
    """Properties of the model servers, and limits of how the router uses them."""

    max_attempts: Count = 5
    connect_ms: Positive = 250.0  # for a connection to a server
    idle_ms: Positive = 30e3  # of a connection, after which it is not used again
    release_ms: Positive = 500.0  # within which what a server holds for a request is released
    drain_grace_ms: NonNegative = 250.0
    slow_start_ms: NonNegative = 10e3
    slow_start_share: PositiveFraction = 0.25  # of its speed that a server has as it starts
    fall_multiple: Positive = 2.5
    fall_ms: Positive = 1000.0
    max_retry_after_ms: NonNegative = 1000.0
    reports_mem: bool = True
    ask_load: bool = False  # servers report their load when polled (GET /metrics), and in no answer
    may_cancel: bool = True
    decode_servers_prefill: bool = False
    holds: bool = False  # servers reserve capacity ahead (an extension of this project)


class ServerLimits(ConfigDocument, frozen=True, kw_only=True):
    """Limits on clients' connections and requests; none of them routes."""

    body_bytes: Count = 4 * 2**20
    head_ms: Positive = 10e3  # for a request's header, once it began
    body_ms: Positive = 30e3  # for its body
    idle_ms: Positive = 60e3  # between requests on one connection
    answer_ms: NonNegative = 50.0  # kept back from a client's deadline for the answer's way
    send_ms: Positive = 10e3  # for a client to take what was sent
    open_limit: Count = 20000  # requests in flight
    conn_limit: Count = 20000
    drain_ms: Positive = 15e3  # from SIGTERM to the end
    repeat_bytes: Count = 64 * 2**20  # of answers cached for repeats under an Idempotency-Key
    session_limit: Count = 200_000  # conversations recognised by their beginning


class StreamConfig(ConfigDocument, frozen=True, kw_only=True):
    """What becomes of streams that break (docs/recovery.md)."""

    resume: bool = True
    ids: bool = False  # events carry ids, and Last-Event-ID asks for the rest of an answer
    continues: bool = True  # servers know continue_final_message; else whole runs are repeated and compared
    alarms: Fraction = 1e-3  # part of streams wrongly given up as stalled; 0: none are
    share: Fraction = 0.25  # of the prefill work that may go to recovery
    keep_tokens: Count = 32_768  # of one answer, cached for recovery
    keep_bytes: Count = 2**18  # likewise
    keep_all_bytes: Count = 2**27  # of all answers


class NodeLine(ConfigDocument, frozen=True, kw_only=True):
    """One model server on a list. `started` is in seconds since 1970, 0: long ago."""

    id: Name
    address: Address
    zone: str = "-"
    cell: int = 0
    role: Literal["read", "write", "both"]
    kv_capacity_tokens: Positive
    size: Positive = 1.0
    state: Literal["up", "draining", "gone"] = "up"
    started: NonNegative = 0.0
    protocol: Literal["disaggregated", "chat"] = "disaggregated"  # chat: any server of the public chat API

    def __post_init__(self) -> None:
        if self.protocol == "chat" and self.role != "both":
            raise ValueError("a server of the plain chat protocol has duty both")


class FileSource(ConfigDocument, frozen=True, kw_only=True, tag="file", tag_field="from"):
    """The endpoint list is a JSON5 file, looked at every `look_ms`."""

    path: str
    look_ms: Positive = 500.0


class ConsulSource(ConfigDocument, frozen=True, kw_only=True, tag="consul", tag_field="from"):
    """A registry with blocking queries in the published Consul health form."""

    address: Address
    service: Name
    wait_ms: Positive = 10e3
    retry_ms: Positive = 500.0


class InlineSource(ConfigDocument, frozen=True, kw_only=True, tag="inline", tag_field="from"):
    """The endpoint list stands in the document, or is given later by `Routing.nodes`."""

    nodes: list[NodeLine]


class GatewayConfig(ConfigDocument, frozen=True, kw_only=True):
    """The whole document of one gateway."""

    name: Name
    listen: Address
    metrics: Address | None = None
    source: str | None = None  # address that connections to model servers come from
    zone: str = "-"
    gateways: Count = 1  # how many share the fleet
    seed: int = 0
    state: str | None = None  # file that keeps the last endpoint list over a restart
    request_classes: Annotated[list[RequestClassConfig], Meta(min_length=1)]
    nodes: FileSource | ConsulSource | InlineSource
    tenants: str | None = None  # file of tenants; without it everybody is served
    journal: str | None = None  # folder of what is in flight, for a restart after a crash
    ledger: str | None = None  # folder of this gateway's bills; needed with tenants
    ledger_segments: Count | None = None  # of 16 MB kept beside the sums; None: all, for bills in detail
    lender: str | None = None  # file of quota leases that all gateways share
    look_ms: Positive = 1000.0  # between two draws from it
    fleet: FleetConfig = FleetConfig()
    door: ServerLimits = ServerLimits()
    streams: StreamConfig = StreamConfig()

    def __post_init__(self) -> None:
        if self.tenants is not None and self.ledger is None:
            raise ValueError("tenants need a ledger, where their bills are kept")
        seen: set[str] = set()
        for request_class in self.request_classes:
            for model in (request_class.name, *request_class.models):
                if model in seen:
                    raise ValueError(f"model name {model!r} is given twice")
                seen.add(model)
