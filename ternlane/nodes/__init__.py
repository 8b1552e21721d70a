"""The list of model servers: followed, kept over a restart, told to the decisions."""

from ternlane.nodes.book import Book, Place
from ternlane.nodes.consul import nodes_from_health
from ternlane.nodes.follow import follow_consul, follow_file
from ternlane.nodes.kept import Torn, keep, kept

__all__ = ["Book", "Place", "Torn", "follow_consul", "follow_file", "keep", "kept", "nodes_from_health"]
