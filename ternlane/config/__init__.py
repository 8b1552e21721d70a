"""Documents that people write (JSON5): read, checked, and refused with the line and the field that is wrong."""

from ternlane.config.gateway import (
    ConsulSource,
    ServerLimits,
    FileSource,
    FleetConfig,
    GatewayConfig,
    InlineSource,
    NodeLine,
    RequestClassConfig,
    StreamConfig,
)
from ternlane.config.reading import ConfigError, checked, read_config, read_text

__all__ = [
    "ConsulSource",
    "ServerLimits",
    "FileSource",
    "FleetConfig",
    "GatewayConfig",
    "InlineSource",
    "NodeLine",
    "ConfigError",
    "RequestClassConfig",
    "StreamConfig",
    "checked",
    "read_config",
    "read_text",
]
