"""ternlane: a router for language-model servers with separate prefill and decode.

The names in `__all__` are public; everything else may change without notice. Names are imported on first use, so
`ternlane.Router` alone imports neither the HTTP stack nor trio.

    Router, RouterConfig, ...   the routing decisions: takes events and returns actions (see ternlane.policy.messages)
    open_routing                a router that runs its own tasks, on a transport given by the caller
    open_gateway                a complete gateway in a trio nursery
    Blocking, Bridged           the same router for plain threads and for asyncio
    GatewayConfig, read_config  the configuration, as typed objects or JSON5, with the same checks
"""

from __future__ import annotations

from importlib import import_module
from typing import TYPE_CHECKING, Any

from ternlane.version import VERSION

__version__ = VERSION

_MODULES = {
    "Router": "policy.router",
    "RouterConfig": "policy.messages",
    "RequestClass": "policy.messages",
    "Server": "policy.messages",
    "Request": "policy.messages",
    "Effect": "policy.messages",
    "Group": "policy.messages",
    "Role": "policy.messages",
    "EndpointStatus": "policy.messages",
    "AttemptOutcome": "policy.messages",
    "Report": "policy.messages",
    "open_gateway": "gateway",
    "Gateway": "gateway",
    "open_routing": "embed",
    "Routing": "embed",
    "Stream": "embed",
    "RejectedError": "embed",
    "FailedError": "embed",
    "Blocking": "embed",
    "Bridged": "embed",
    "Transport": "engine",
    "SocketTransport": "engine",
    "LocalTransport": "engine",
    "LocalEngine": "engine",
    "AttemptRequest": "engine",
    "PrefillResult": "engine",
    "AttemptRejectedError": "engine",
    "EngineUnreachableError": "engine",
    "Stage": "engine",
    "AttemptResult": "engine",
    "AttemptPlan": "engine",
    "ClientGone": "engine",
    "Usage": "engine",
    "InvalidRequestError": "chat",
    "GatewayConfig": "config",
    "RequestClassConfig": "config",
    "FleetConfig": "config",
    "NodeLine": "config",
    "ServerLimits": "config",
    "InlineSource": "config",
    "FileSource": "config",
    "ConsulSource": "config",
    "checked": "config",
    "StreamConfig": "config",
    "ConfigError": "config",
    "read_config": "config",
    "read_text": "config",
}

# Public names of version 0.2 and their current names (docs/migration.md).
_RENAMED = {
    "DoorTerms": "ServerLimits",
    "Duty": "Role",
    "FleetTerms": "FleetConfig",
    "GatewayPaper": "GatewayConfig",
    "Generation": "Request",
    "Kept": "PrefillResult",
    "LegAsk": "AttemptRequest",
    "LegEnd": "AttemptResult",
    "LegPlan": "AttemptPlan",
    "Life": "EndpointStatus",
    "PaperError": "ConfigError",
    "Product": "RequestClass",
    "ProductTerms": "RequestClassConfig",
    "Refuses": "AttemptRejectedError",
    "StartFacts": "RouterConfig",
    "StreamTerms": "StreamConfig",
    "TerminatedError": "FailedError",
    "ThrottledError": "RejectedError",
    "Unreached": "EngineUnreachableError",
    "Verdict": "AttemptOutcome",
    "Wrong": "InvalidRequestError",
    "read_paper": "read_config",
}

__all__ = ["__version__", *_MODULES]

if TYPE_CHECKING:  # the same names, for type checkers
    from ternlane.chat import InvalidRequestError as InvalidRequestError
    from ternlane.config import ConfigError as ConfigError
    from ternlane.config import ConsulSource as ConsulSource
    from ternlane.config import FileSource as FileSource
    from ternlane.config import FleetConfig as FleetConfig
    from ternlane.config import GatewayConfig as GatewayConfig
    from ternlane.config import InlineSource as InlineSource
    from ternlane.config import NodeLine as NodeLine
    from ternlane.config import RequestClassConfig as RequestClassConfig
    from ternlane.config import ServerLimits as ServerLimits
    from ternlane.config import StreamConfig as StreamConfig
    from ternlane.config import checked as checked
    from ternlane.config import read_config as read_config
    from ternlane.config import read_text as read_text
    from ternlane.embed import Blocking as Blocking
    from ternlane.embed import Bridged as Bridged
    from ternlane.embed import FailedError as FailedError
    from ternlane.embed import RejectedError as RejectedError
    from ternlane.embed import Routing as Routing
    from ternlane.embed import Stream as Stream
    from ternlane.embed import open_routing as open_routing
    from ternlane.engine import AttemptPlan as AttemptPlan
    from ternlane.engine import AttemptRejectedError as AttemptRejectedError
    from ternlane.engine import AttemptRequest as AttemptRequest
    from ternlane.engine import AttemptResult as AttemptResult
    from ternlane.engine import ClientGone as ClientGone
    from ternlane.engine import EngineUnreachableError as EngineUnreachableError
    from ternlane.engine import LocalEngine as LocalEngine
    from ternlane.engine import LocalTransport as LocalTransport
    from ternlane.engine import PrefillResult as PrefillResult
    from ternlane.engine import SocketTransport as SocketTransport
    from ternlane.engine import Stage as Stage
    from ternlane.engine import Transport as Transport
    from ternlane.engine import Usage as Usage
    from ternlane.gateway import Gateway as Gateway
    from ternlane.gateway import open_gateway as open_gateway
    from ternlane.policy.messages import AttemptOutcome as AttemptOutcome
    from ternlane.policy.messages import Effect as Effect
    from ternlane.policy.messages import EndpointStatus as EndpointStatus
    from ternlane.policy.messages import Group as Group
    from ternlane.policy.messages import Report as Report
    from ternlane.policy.messages import Request as Request
    from ternlane.policy.messages import RequestClass as RequestClass
    from ternlane.policy.messages import Role as Role
    from ternlane.policy.messages import RouterConfig as RouterConfig
    from ternlane.policy.messages import Server as Server
    from ternlane.policy.router import Router as Router


def __getattr__(name: str) -> Any:
    if name in _RENAMED:
        raise AttributeError(f"ternlane.{name} was renamed to ternlane.{_RENAMED[name]} (docs/migration.md)")
    if name not in _MODULES:
        raise AttributeError(f"module 'ternlane' has no attribute {name!r}")
    return getattr(import_module(f"ternlane.{_MODULES[name]}"), name)


def __dir__() -> list[str]:
    return sorted(__all__)
