"""Reads and checks the configuration file of a gateway.

`ConfigurationFile` and `ProcessLimits` use the users' names of the file's fields; `deployment.py` maps the field
`settings`.
"""

from __future__ import annotations

import os
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from ternlane.deployment import Deployment
from ternlane.platform.endpoint_list import EndpointList, parse_endpoint_list
from ternlane.platform.errors import ConfigurationError

# Fewer file descriptors are not enough for the listener, the watch, the log and a connection on each side.
MIN_SOCKETS = 64


class ProcessLimits(msgspec.Struct):
    """Resource limits of the gateway's process."""

    cores: float = 1.0
    memory_mb: float = 192.0
    sockets: int = 1024  # open file descriptors


class ConfigurationFile(msgspec.Struct):
    """The contents of the file."""

    settings: dict[str, Any]
    name: str = ""
    listen: str = ""
    discovery: str = ""
    seed: str | int = 0
    limits: ProcessLimits = msgspec.field(default_factory=ProcessLimits)
    known: msgspec.Raw = msgspec.Raw(b'{"index":0,"snapshot":true,"endpoints":[]}')


@dataclass(slots=True)
class GatewayConfiguration:
    """A gateway's configuration: its address, discovery's address, resource limits and the deployment it serves."""

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    limits: ProcessLimits
    known_endpoints: EndpointList  # used until discovery has sent a list
    deployment: Deployment


def read_configuration(
    env: Mapping[str, str] = os.environ, previous: Deployment | None = None, file_first: bool = False
) -> GatewayConfiguration:
    """Reads the file that NODE_CONFIG names. Raises ConfigurationError.

    Environment variables take precedence over the file. With `file_first`, as on a reload, the file's discovery address
    takes precedence: the variables are those of the start. `previous`: the deployment that this one replaces.
    """
    path = env.get("NODE_CONFIG", "")
    if not path:
        raise ConfigurationError("environment variable NODE_CONFIG is not set")
    file = _read_file(path)
    try:
        seed = int(file.seed, 16) if isinstance(file.seed, str) else file.seed
        deployment = Deployment(seed, file.settings, previous)
        known_endpoints = parse_endpoint_list(file.known)
    except ValueError as error:
        raise ConfigurationError(f"{path}: {error}") from None
    if not deployment.request_classes:
        raise ConfigurationError(f"{path}: settings: profiles is missing or empty")
    if not (file.limits.sockets >= MIN_SOCKETS and file.limits.memory_mb > 0):
        raise ConfigurationError(f"{path}: limits: too few sockets, or memory_mb is not positive")
    discovery = [env.get("NODE_DISCOVERY", ""), file.discovery]
    if file_first:
        discovery.reverse()
    return GatewayConfiguration(
        name=env.get("NODE_NAME") or file.name,
        listen=parse_address(env.get("NODE_LISTEN") or file.listen, "listen"),
        discovery=parse_address(discovery[0] or discovery[1], "discovery"),
        limits=file.limits,
        known_endpoints=known_endpoints,
        deployment=deployment,
    )


def _read_file(path: str) -> ConfigurationFile:
    try:
        return msgspec.json.decode(Path(path).read_bytes(), type=ConfigurationFile)
    except OSError as error:
        raise ConfigurationError(f"{path}: {error.strerror}") from None
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise ConfigurationError(f"{path}: {error}") from None


def parse_address(text: str, name: str) -> tuple[str, int]:
    """Parses "host:port". Raises ConfigurationError, which names the field `name`."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal() or int(port) > 65535:
        raise ConfigurationError(f"{name} must be host:port, not {text!r}")
    return host.strip("[]"), int(port)
