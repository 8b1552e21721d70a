"""Parses responses of Consul's /v1/health/service/:name (its published HTTP API). Does no I/O.

Checks map to states: all passing or warning is `up`, a critical check named _service_maintenance or _node_maintenance
is `draining`, any other critical check is `gone`. Service.Meta carries duty, zone, cell, mem_toks, size and started.
"""

from __future__ import annotations

from typing import Any

import msgspec

from ternlane.config import NodeLine


class Check(msgspec.Struct, rename="pascal"):
    """A health check of a service or of the node that it runs on."""

    status: str = "passing"
    check_id: str = msgspec.field(default="", name="CheckID")


class Service(msgspec.Struct, rename="pascal"):
    """A registered model server."""

    address: str
    port: int
    ident: str = msgspec.field(name="ID")
    meta: dict[str, str] = {}


class Node(msgspec.Struct, rename="pascal", frozen=True):
    """The machine that a service runs on; its address is used if the service has none."""

    address: str = ""


class Entry(msgspec.Struct, rename="pascal"):
    """One service with its health checks."""

    service: Service
    checks: list[Check] = []
    node: Node = Node()


decode_entries = msgspec.json.Decoder(list[Entry]).decode


def state_of(checks: list[Check]) -> str:
    """Returns the state of a node line for these health checks of its service."""
    for check in checks:
        if "_maintenance" in check.check_id and check.status == "critical":
            return "draining"
    return "gone" if any(c.status == "critical" for c in checks) else "up"


def nodes_from_health(body: bytes) -> tuple[list[NodeLine], list[str]]:
    """Returns the node lines, and a message for each invalid entry. Raises ValueError if the body can't be parsed.

    Consul lists a service once for each agent that it is registered at. Of several entries with one id, the last
    applies.
    """
    lines: dict[str, NodeLine] = {}
    invalid: list[str] = []
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
            line = msgspec.convert(raw, NodeLine)
            if line.id in lines:
                invalid.append(f"{line.id}: listed twice")
            lines[line.id] = line
        except (msgspec.ValidationError, ValueError) as why:
            invalid.append(f"{service.ident}: {why}")
    return list(lines.values()), invalid
