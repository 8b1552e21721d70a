"""Documents that people write (JSON5): read, checked, and refused with the line and the field that is wrong."""

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
