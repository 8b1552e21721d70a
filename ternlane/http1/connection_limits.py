"""Limits on one client's connection."""

from __future__ import annotations

from dataclasses import dataclass
from math import inf


@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """Size limits (bytes) and time-outs (ms) of one client's connection."""

    body_bytes: int
    head_ms: float  # to receive a request head, from its first byte
    body_ms: float  # to receive a request body, from the end of the head
    idle_ms: float  # between requests
    send_ms: float  # without the client reading any of its response
    head_bytes: int = 65536
    first_ms: float = inf  # from accepting the connection to the last byte of its first request
