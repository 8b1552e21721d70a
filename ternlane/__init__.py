"""ternlane: a router for language-model servers that read and write in two stages.

What is listed in `__all__` is public; everything else may change without notice. Names are loaded when first used, so
`ternlane.Router` alone brings no HTTP stack and no trio with it.

    Router, StartFacts, ...   the decisions: feed events, get actions (ternlane.port says which)
    open_routing              a router that owns its tasks, over a transport of the caller's
    open_gateway              a whole gateway in a trio nursery
    Blocking, Bridged         the same router for plain threads, and for asyncio
    GatewayPaper, read_paper  the settings, typed or as JSON5, with the same checks
"""
from __future__ import annotations

from importlib import import_module
from typing import TYPE_CHECKING, Any

__version__ = "0.2.0"

_PLACES = {
    "Router": "choice", "StartFacts": "port", "Product": "port", "Server": "port", "Generation": "port",
    "Effect": "port", "Group": "port", "Duty": "port", "Life": "port", "Verdict": "port", "Report": "port",
    "open_gateway": "gateway", "Gateway": "gateway", "open_routing": "embed", "Routing": "embed", "Stream": "embed",
    "ThrottledError": "embed", "TerminatedError": "embed", "Blocking": "embed", "Bridged": "embed",
    "Transport": "engine", "SocketTransport": "engine", "LocalTransport": "engine", "LocalEngine": "engine",
    "LegAsk": "engine", "Kept": "engine", "Refuses": "engine", "Unreached": "engine", "Stage": "engine",
    "Wrong": "chat", "GatewayPaper": "paper", "ProductTerms": "paper", "FleetTerms": "paper", "NodeLine": "paper",
    "PaperError": "paper", "read_paper": "paper", "read_text": "paper"}

__all__ = ["__version__", *_PLACES]

if TYPE_CHECKING:
    from ternlane.chat import Wrong
    from ternlane.choice import Router
    from ternlane.embed import Blocking, Bridged, Routing, Stream, TerminatedError, ThrottledError, open_routing
    from ternlane.engine import (Kept, LegAsk, LocalEngine, LocalTransport, Refuses, SocketTransport, Stage, Transport,
                                 Unreached)
    from ternlane.gateway import Gateway, open_gateway
    from ternlane.paper import FleetTerms, GatewayPaper, NodeLine, PaperError, ProductTerms, read_paper, read_text
    from ternlane.port import (Duty, Effect, Generation, Group, Life, Product, Report, Server, StartFacts, Verdict)


def __getattr__(name: str) -> Any:
    if name not in _PLACES:
        raise AttributeError(f"module 'ternlane' has no attribute {name!r}")
    return getattr(import_module(f"ternlane.{_PLACES[name]}"), name)


def __dir__() -> list[str]:
    return sorted(__all__)
