"""The configuration document of a gateway. Names that end in `_ms` are times in milliseconds.

`ternlane.document_keys` maps the fields to the keys of the document.
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
    """Base class of documents. Unknown keys are rejected: otherwise a misspelt limit would have no effect."""


class RequestClassConfig(ConfigDocument, frozen=True, kw_only=True):
    """A request class: its model names, whether requests may be repeated, its latency objectives and its priority
    weight. For `window_ms`, repeats under the same Idempotency-Key are recognised."""

    name: Name
    models: list[str] = []  # model names of this class, in addition to its own name
    effect: Literal["idempotent", "deduplicated", "side-effecting"] = "side-effecting"
    group: Literal["all", "zone", "cell"] = "cell"
    window_ms: NonNegative = 0.0
    slo_ms: Positive  # objective for the time to the first token
    slo_per_1000_tokens_ms: NonNegative = 0.0  # added to `slo_ms` per 1000 prompt tokens
    token_slo_ms: Positive = 80.0  # objective for the time between tokens
    deadline_ms: Positive
    priority_weight: NonNegative = 1.0
    late_value_share: Fraction = 0.0  # of the value of an answer, if it misses its objective
    max_tokens: Count = 1024  # of an answer, if the request sets no limit

    def __post_init__(self) -> None:
        if self.deadline_ms < self.slo_ms:
            raise ValueError("limit_ms is shorter than slo_ms")


class FleetConfig(ConfigDocument, frozen=True, kw_only=True):
    """Properties of the model servers, and limits on their use by the router."""

    max_attempts: Count = 5
    connect_ms: Positive = 250.0  # time limit for connecting to a server
    idle_ms: Positive = 30e3  # after which an idle connection is not reused
    release_ms: Positive = 500.0  # time limit for releasing what a server holds for a request
    drain_grace_ms: NonNegative = 250.0
    slow_start_ms: NonNegative = 10e3
    slow_start_share: PositiveFraction = 0.25  # of its full speed, which a server has when it starts
    fall_multiple: Positive = 2.5
    fall_ms: Positive = 1000.0
    max_retry_after_ms: NonNegative = 1000.0
    reports_mem: bool = True
    ask_load: bool = False  # servers report their load in GET /metrics instead of their responses
    may_cancel: bool = True
    decode_servers_prefill: bool = False
    holds: bool = False  # servers support reservations of capacity, a protocol extension of this project


class ServerLimits(ConfigDocument, frozen=True, kw_only=True):
    """Limits on clients' connections and requests. They do not affect routing."""

    body_bytes: Count = 4 * 2**20
    head_ms: Positive = 10e3  # time limit for a request's header, from its first byte
    body_ms: Positive = 30e3  # time limit for a request's body
    idle_ms: Positive = 60e3  # time limit between the requests of a connection
    answer_ms: NonNegative = 50.0  # subtracted from the client's deadline, for the transmission of the answer
    send_ms: Positive = 10e3  # time limit for sending to a client that reads slowly
    open_limit: Count = 20000  # concurrent requests
    conn_limit: Count = 20000  # concurrent connections
    drain_ms: Positive = 15e3  # time limit for a graceful shutdown
    repeat_bytes: Count = 64 * 2**20  # of cached answers, for repeats under an Idempotency-Key
    session_limit: Count = 200_000  # conversations that are recognised by their beginning


class StreamConfig(ConfigDocument, frozen=True, kw_only=True):
    """Recovery of broken streams."""

    resume: bool = True
    ids: bool = False  # events carry ids; clients can resume an answer with Last-Event-ID
    continues: bool = True  # servers support continue_final_message; otherwise, requests are replayed and compared
    alarms: Fraction = 1e-3  # tolerated share of streams wrongly treated as stalled; 0: only the idle time-out applies
    share: Fraction = 0.25  # limit on the part of the prefill work used for recovery
    keep_tokens: Count = 32_768  # limit on the tokens of an answer cached for recovery
    keep_bytes: Count = 2**18  # limit on the size of an answer cached for recovery
    keep_all_bytes: Count = 2**27  # limit on the size of all answers cached for recovery


class NodeLine(ConfigDocument, frozen=True, kw_only=True):
    """A model server in an endpoint list. `started` is in seconds since 1970, or 0 if it started long ago."""

    id: Name
    address: Address
    zone: str = "-"
    cell: int = 0
    role: Literal["read", "write", "both"]
    kv_capacity_tokens: Positive
    size: Positive = 1.0
    state: Literal["up", "draining", "gone"] = "up"
    started: NonNegative = 0.0
    protocol: Literal["disaggregated", "chat"] = "disaggregated"  # "chat": the public chat API

    def __post_init__(self) -> None:
        if self.protocol == "chat" and self.role != "both":
            raise ValueError('a server with protocol "chat" must have duty "both"')


class FileSource(ConfigDocument, frozen=True, kw_only=True, tag="file", tag_field="from"):
    """Reads the endpoint list from a JSON5 file, which is checked for changes every `look_ms`."""

    path: str
    look_ms: Positive = 500.0


class ConsulSource(ConfigDocument, frozen=True, kw_only=True, tag="consul", tag_field="from"):
    """Reads the endpoint list from a registry with the health API of Consul, by blocking queries."""

    address: Address
    service: Name
    wait_ms: Positive = 10e3
    retry_ms: Positive = 500.0


class InlineSource(ConfigDocument, frozen=True, kw_only=True, tag="inline", tag_field="from"):
    """The endpoint list is part of the document. `Routing.nodes` can replace it."""

    nodes: list[NodeLine]


class GatewayConfig(ConfigDocument, frozen=True, kw_only=True):
    """The configuration document of a gateway."""

    name: Name
    listen: Address
    metrics: Address | None = None
    source: str | None = None  # local address for connections to model servers
    zone: str = "-"
    gateways: Count = 1  # number of gateways that share the model servers
    seed: int = 0
    state: str | None = None  # file that stores the latest endpoint list for a restart
    request_classes: Annotated[list[RequestClassConfig], Meta(min_length=1)]
    nodes: FileSource | ConsulSource | InlineSource
    tenants: str | None = None  # the tenants file; without it, clients are not authenticated
    journal: str | None = None  # folder for the journal of requests in flight, used after a crash
    ledger: str | None = None  # folder for this gateway's bills; required with `tenants`
    ledger_segments: Count | None = None  # of 16 MB, kept in addition to the sums; None: all, with every bill in detail
    lender: str | None = None  # file of the quota leases that all gateways share
    look_ms: Positive = 1000.0  # interval between quota leases
    fleet: FleetConfig = FleetConfig()
    door: ServerLimits = ServerLimits()
    streams: StreamConfig = StreamConfig()

    def __post_init__(self) -> None:
        if self.tenants is not None and self.ledger is None:
            raise ValueError("tenants requires ledger, which stores the bills")
        seen: set[str] = set()
        for request_class in self.request_classes:
            for model in (request_class.name, *request_class.models):
                if model in seen:
                    raise ValueError(f"duplicate model name {model!r}")
                seen.add(model)
