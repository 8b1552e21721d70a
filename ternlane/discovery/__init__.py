"""The list of model servers: followed, cached over a restart, told to the decisions."""

from ternlane.discovery.endpoint_registry import EndpointRegistry, Endpoint
from ternlane.discovery.consul import nodes_from_health
from ternlane.discovery.follow import follow_consul, follow_file
from ternlane.discovery.endpoint_cache import TornCacheError, write_cache, read_cache

__all__ = [
    "EndpointRegistry",
    "Endpoint",
    "TornCacheError",
    "follow_consul",
    "follow_file",
    "write_cache",
    "read_cache",
    "nodes_from_health",
]
