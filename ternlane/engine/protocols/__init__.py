"""Engine protocols that a node list may name, by those names."""

from ternlane.engine.protocols.base import EngineProtocol
from ternlane.engine.protocols.disaggregated import DisaggregatedProtocol
from ternlane.engine.protocols.plain_chat import PlainChatProtocol

PROTOCOLS: dict[str, EngineProtocol] = {"disaggregated": DisaggregatedProtocol(), "chat": PlainChatProtocol()}

__all__ = ["PROTOCOLS", "DisaggregatedProtocol", "EngineProtocol", "PlainChatProtocol"]
