"""Fake model servers and a fake discovery agent of the platform, written from the protocol (docs/platform.md).

`FakeModelServer.fault_of` is called for each attempt and returns the name of a fault, or "" for a good answer. What the
servers receive and hold is recorded in `FakeFleet`.
"""

from ternlane.testing.platform.answers import DONE, EVENT, RESPONSE_HEAD, USAGE, encode_chunk
from ternlane.testing.platform.discovery import FakeDiscovery
from ternlane.testing.platform.fleet import FakeFleet
from ternlane.testing.platform.gate import Gate
from ternlane.testing.platform.model_server import FakeModelServer

__all__ = [
    "DONE",
    "EVENT",
    "RESPONSE_HEAD",
    "USAGE",
    "FakeDiscovery",
    "FakeFleet",
    "Gate",
    "FakeModelServer",
    "encode_chunk",
]
