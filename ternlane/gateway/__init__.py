"""The running chat gateway: an HTTP API for clients, a runtime for the decisions, attempts at the model servers."""

from ternlane.gateway.gateway import Gateway, open_gateway
from ternlane.gateway.runtime import GatewayRuntime

__all__ = ["Gateway", "GatewayRuntime", "open_gateway"]
