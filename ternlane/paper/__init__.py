"""Documents that people write (JSON5): read, checked, and refused with the line and the field that is wrong."""

from ternlane.paper.gateway import (
    ConsulSource,
    DoorTerms,
    FileSource,
    FleetTerms,
    GatewayPaper,
    InlineSource,
    NodeLine,
    RequestClassConfig,
    StreamTerms,
)
from ternlane.paper.reading import PaperError, checked, read_paper, read_text

__all__ = [
    "ConsulSource",
    "DoorTerms",
    "FileSource",
    "FleetTerms",
    "GatewayPaper",
    "InlineSource",
    "NodeLine",
    "PaperError",
    "RequestClassConfig",
    "StreamTerms",
    "checked",
    "read_paper",
    "read_text",
]
