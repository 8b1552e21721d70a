"""The engine protocols by their names in an endpoint list."""

from ternlane.engine.protocols.base import EngineProtocol
from ternlane.engine.protocols.disaggregated import DisaggregatedProtocol
from ternlane.engine.protocols.plain_chat import PlainChatProtocol

PROTOCOLS: dict[str, EngineProtocol] = {"disaggregated": DisaggregatedProtocol(), "chat": PlainChatProtocol()}

__all__ = ["PROTOCOLS", "DisaggregatedProtocol", "EngineProtocol", "PlainChatProtocol"]
