"""The chat gateway: an HTTP API for clients, and a runtime that executes the router's actions on model servers."""

from ternlane.gateway.gateway import Gateway, open_gateway
from ternlane.gateway.runtime import GatewayRuntime

__all__ = ["Gateway", "GatewayRuntime", "open_gateway"]
