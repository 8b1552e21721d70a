"""The running gateway: a door for clients, a host for the decisions, legs to the model servers."""

from ternlane.gateway.gateway import Gateway, open_gateway
from ternlane.gateway.host import Host

__all__ = ["Gateway", "Host", "open_gateway"]
