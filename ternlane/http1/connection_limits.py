"""Limits of one client's connection."""

from __future__ import annotations

from dataclasses import dataclass
from math import inf


@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """What one client's connection may send (bytes) and how long it may take (ms)."""

    body_bytes: int
    head_ms: float  # a request's head, from its first byte
    body_ms: float  # a request's body, from the end of its head
    idle_ms: float  # between requests
    send_ms: float  # for which a client may take nothing of its answer
    head_bytes: int = 65536
    first_ms: float = inf  # from the connection's start to its first request's last byte
