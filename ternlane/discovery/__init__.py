"""The list of model servers: followed, kept over a restart, told to the decisions."""

from ternlane.discovery.endpoint_registry import EndpointRegistry, Place
from ternlane.discovery.consul import nodes_from_health
from ternlane.discovery.follow import follow_consul, follow_file
from ternlane.discovery.endpoint_cache import Torn, keep, kept

__all__ = ["EndpointRegistry", "Place", "Torn", "follow_consul", "follow_file", "keep", "kept", "nodes_from_health"]
