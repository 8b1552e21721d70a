"""Reads the answer of Consul's /v1/health/service/:name (its published HTTP API). Free of I/O.

Checks: all passing or warning -> up; a check named _service_maintenance or _node_maintenance -> draining; another
critical check -> gone. Service.Meta carries duty, zone, cell, mem_toks, size and started.
"""

from __future__ import annotations

from typing import Any

import msgspec

from ternlane.config import NodeLine


class Check(msgspec.Struct, rename="pascal"):
    """A health check of a service or of its node."""

    status: str = "passing"
    check_id: str = msgspec.field(default="", name="CheckID")


class Service(msgspec.Struct, rename="pascal"):
    """A registered model server."""

    address: str
    port: int
    ident: str = msgspec.field(name="ID")
    meta: dict[str, str] = {}


class Node(msgspec.Struct, rename="pascal", frozen=True):
    """The machine of a service; its address counts where the service has none."""

    address: str = ""


class Entry(msgspec.Struct, rename="pascal"):
    """One service with its checks."""

    service: Service
    checks: list[Check] = []
    node: Node = Node()


decode_entries = msgspec.json.Decoder(list[Entry]).decode


def state_of(checks: list[Check]) -> str:
    """The state of a node line, by the checks of its service."""
    for check in checks:
        if "_maintenance" in check.check_id and check.status == "critical":
            return "draining"
    return "gone" if any(c.status == "critical" for c in checks) else "up"


def nodes_from_health(body: bytes) -> tuple[list[NodeLine], list[str]]:
    """Node lines, and why entries were left out. Raises ValueError if the whole can't be read."""
    lines = []
    left_out = []
    for entry in decode_entries(body):
        service = entry.service
        meta = service.meta
        address = f"{service.address or entry.node.address}:{service.port}"
        raw: dict[str, Any] = {
            "id": service.ident,
            "address": address,
            "duty": meta.get("duty"),
            "zone": meta.get("zone", "-"),
            "state": state_of(entry.checks),
        }
        try:
            raw |= {
                "cell": int(meta.get("cell", "0")),
                "mem_toks": float(meta.get("mem_toks", "0")),
                "size": float(meta.get("size", "1")),
                "protocol": meta.get("protocol", "disaggregated"),
                "started": float(meta.get("started", "0")),
            }
            lines.append(msgspec.convert(raw, NodeLine))
        except (msgspec.ValidationError, ValueError) as why:
            left_out.append(f"{service.ident}: {why}")
    return lines, left_out
