"""Configuration documents in JSON5: parsing and validation, with errors that name the line and the field."""

from ternlane.config.gateway import (
    ConsulSource,
    FileSource,
    FleetConfig,
    GatewayConfig,
    InlineSource,
    NodeLine,
    RequestClassConfig,
    ServerLimits,
    StreamConfig,
)
from ternlane.config.reading import ConfigError, checked, read_config, read_text

__all__ = [
    "ConfigError",
    "ConsulSource",
    "FileSource",
    "FleetConfig",
    "GatewayConfig",
    "InlineSource",
    "NodeLine",
    "RequestClassConfig",
    "ServerLimits",
    "StreamConfig",
    "checked",
    "read_config",
    "read_text",
]
