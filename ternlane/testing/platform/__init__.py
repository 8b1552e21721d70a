"""Fake model servers and a fake discovery agent of the platform, written from its protocol pages.

What a server does with a request is scripted: `FakeModelServer.script` is asked for each attempt, and names a way to go
wrong, or nothing for a good answer. What happens is kept in `FakeFleet`.
"""

from ternlane.testing.platform.answers import DONE, EVENT, HEAD, USAGE, framed
from ternlane.testing.platform.discovery import FakeDiscovery
from ternlane.testing.platform.fleet import FakeFleet
from ternlane.testing.platform.gate import Gate
from ternlane.testing.platform.model_server import FakeModelServer

__all__ = ["DONE", "EVENT", "HEAD", "USAGE", "FakeDiscovery", "FakeFleet", "Gate", "FakeModelServer", "framed"]
