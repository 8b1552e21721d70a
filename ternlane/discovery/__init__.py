"""Service discovery: watches the list of model servers, caches it across restarts and registers the endpoints."""

from ternlane.discovery.consul import nodes_from_health
from ternlane.discovery.endpoint_cache import CorruptCacheError, read_cache, write_cache
from ternlane.discovery.endpoint_registry import Endpoint, EndpointRegistry
from ternlane.discovery.watch import watch_consul, watch_file

__all__ = [
    "EndpointRegistry",
    "Endpoint",
    "CorruptCacheError",
    "watch_consul",
    "watch_file",
    "write_cache",
    "read_cache",
    "nodes_from_health",
]
