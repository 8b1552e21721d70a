"""Service discovery: watches the list of model servers, caches it across restarts and registers the endpoints."""

from ternlane.discovery.consul import nodes_from_health
from ternlane.discovery.endpoint_cache import TornCacheError, read_cache, write_cache
from ternlane.discovery.endpoint_registry import Endpoint, EndpointRegistry
from ternlane.discovery.follow import follow_consul, follow_file

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
