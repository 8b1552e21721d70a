"""The configuration file of a gateway, read and checked."""

from __future__ import annotations

import os
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Mapping

import msgspec

from ternlane.deployment import Deployment
from ternlane.platform.endpoint_registry import Entry, EndpointList, read_listing


class Unfit(ValueError):
    """The configuration can't be used; says in one line why."""


class Limits(msgspec.Struct):
    cores: float = 1.0
    memory_mb: float = 192.0
    sockets: int = 1024


class File(msgspec.Struct):
    settings: dict[str, Any]
    name: str = ""
    listen: str = ""
    discovery: str = ""
    seed: str | int = 0
    limits: Limits = msgspec.field(default_factory=Limits)
    known: msgspec.Raw = msgspec.Raw(b'{"index":0,"snapshot":true,"endpoints":[]}')


@dataclass(slots=True)
class Post:
    """One gateway's place: where it listens, whom it asks, what it may use, and what it serves."""

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    limits: Limits
    known: EndpointList
    deployment: Deployment


def place(text: str, what: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal() or int(port) > 65535:
        raise Unfit(f"{what} must be host:port, not {text!r}")
    return host.strip("[]"), int(port)


def read_post(env: Mapping[str, str] = os.environ, before: Deployment | None = None, file_first: bool = False) -> Post:
    """Raises Unfit. The variables go before the file at the start; with `file_first`, as on a reload, the file's
    discovery does: the variables are those of the start."""
    path = env.get("NODE_CONFIG", "")
    if not path:
        raise Unfit("NODE_CONFIG names no file")
    try:
        raw = msgspec.json.decode(Path(path).read_bytes(), type=File)
    except OSError as why:
        raise Unfit(f"{path}: {why.strerror}") from None
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as why:
        raise Unfit(f"{path}: {why}") from None
    try:
        seed = int(raw.seed, 16) if isinstance(raw.seed, str) else raw.seed
        deployment = Deployment(seed, raw.settings, before)
        known = read_listing(raw.known)
    except ValueError as why:
        raise Unfit(f"{path}: {why}") from None
    if not deployment.request_classes:
        raise Unfit(f"{path}: settings: no profiles")
    if not (raw.limits.sockets >= 64 and raw.limits.memory_mb > 0):
        raise Unfit(f"{path}: limits: no gateway can run with these")
    said = [raw.discovery, env.get("NODE_DISCOVERY", "")]
    if not file_first:
        said.reverse()
    return Post(
        env.get("NODE_NAME") or raw.name,
        place(env.get("NODE_LISTEN") or raw.listen, "listen"),
        place(next((s for s in said if s), ""), "discovery"),
        raw.limits,
        known,
        deployment,
    )


__all__ = ["Entry", "Limits", "Post", "Unfit", "place", "read_post"]
