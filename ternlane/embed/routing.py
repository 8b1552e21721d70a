"""Routing as a library: `open_routing` opens a router, `Routing.request` routes one request and streams its text.

    async with open_routing(config, transport) as routing:
        async with routing.request({"model": "summary", "messages": [...]}) as stream:
            async for text in stream:
                ...

When the outer block ends no task, timer, file descriptor or module state is left. Leaving the inner block early counts
as a client's disconnect: the attempts are cancelled, and reservations and states are released.
"""

from __future__ import annotations

import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from itertools import count
from typing import Any

import msgspec
import trio

from ternlane.chat import ChatRequest, RequestIntake, parse_chat_request
from ternlane.chat.message_extras import Extras
from ternlane.config import GatewayConfig, InlineSource, NodeLine, checked
from ternlane.discovery import EndpointRegistry
from ternlane.embed.renamed_methods import RenamedMethods
from ternlane.engine import Transport
from ternlane.event_loop import RouterProtocol, now_ms
from ternlane.gateway.active_request import ActiveRequest, Failed, Rejected, ResponseWriter, Streamed
from ternlane.gateway.logs import library_log
from ternlane.gateway.metrics import GatewayMetrics
from ternlane.gateway.router_config import configure_models
from ternlane.gateway.runtime import GatewayRuntime
from ternlane.policy.messages import RouterConfig
from ternlane.policy.router import Router


class RejectedError(Exception):
    """The request did not run, or may safely be repeated; preferably after `pause_ms`."""

    def __init__(self, pause_ms: float) -> None:
        super().__init__(f"request rejected; retry after {pause_ms:.0f} ms")
        self.pause_ms = pause_ms


class FailedError(Exception):
    """The request failed and may have run. `begun`: a part of the text was received."""

    def __init__(self, why: str, begun: bool) -> None:
        super().__init__(why or "no server could complete the request")
        self.begun = begun


class Stream(ResponseWriter):
    """The text of one request, piece by piece. `usage` and `finish` are set once it has ended."""

    def __init__(self) -> None:
        super().__init__()
        # Unbuffered, so that the decode server waits for a slow caller.
        self.send_channel, self.receive_channel = trio.open_memory_channel[str](0)
        self.active_request: ActiveRequest | None = None
        self.usage: dict[str, Any] = {}
        self.finish = ""

    async def piece(self, text: str, first: bool, more: Extras | None = None) -> None:
        """Called by the runtime; waits until the reader has taken the piece."""
        await self.send_channel.send(text)

    def __aiter__(self) -> AsyncIterator[str]:
        return self.pieces()

    async def pieces(self) -> AsyncIterator[str]:
        """The text as it arrives. Raises RejectedError or FailedError at the end."""
        async for text in self.receive_channel:
            if text:
                yield text
        assert self.active_request is not None
        match self.active_request.final:
            case Streamed(_, finish, usage):
                self.finish, self.usage = finish, usage
            case Rejected(pause):
                raise RejectedError(pause)
            case Failed(why):
                raise FailedError(why, self.active_request.begun)

    async def text(self) -> str:
        """Waits for the complete text. Raises RejectedError or FailedError."""
        return "".join([piece async for piece in self])


class Routing(RenamedMethods):
    """A router without a server, in its owner's nursery; opened by `open_routing`."""

    _RENAMED_METHODS = {"generation": "request"}

    def __init__(
        self,
        config: GatewayConfig,
        transport: Transport,
        nursery: trio.Nursery,
        chooser: Callable[[RouterConfig], RouterProtocol],
        log: Any,
    ) -> None:
        self.config = config
        self.request_numbers = count(1)
        self.configured = configure_models(config)
        self.registry = EndpointRegistry()
        self.router_config = self.configured.router_config
        self.intake = RequestIntake(self.configured.models, self.configured.max_tokens, config.door.session_limit)
        self.runtime = GatewayRuntime(
            chooser(self.router_config),
            self.router_config,
            transport,
            self.registry,
            self.intake,
            nursery,
            GatewayMetrics(),
            log,
            config.streams,
        )

    def nodes(self, lines: list[NodeLine]) -> None:
        """Sets the complete list of model servers; to be called whenever it changes."""
        self.runtime.endpoints_changed(self.registry.update(lines, time.time(), now_ms()))

    def alter(self, config: GatewayConfig) -> None:
        """Takes over request classes, `fleet`, `gateways`, `zone` and inline nodes of another config; requests in
        flight keep their request classes. The former config is restored by the same call. Raises ConfigError, and then
        nothing has changed."""
        self.config = checked(config)
        self.configured = configure_models(self.config, self.configured.request_classes)
        self.router_config = self.configured.router_config
        self.runtime.alter(self.configured)
        if isinstance(self.config.nodes, InlineSource):
            self.nodes(self.config.nodes.nodes)

    @asynccontextmanager
    async def request(
        self, request: dict[str, Any] | ChatRequest, request_timeout_ms: float | None = None, key: str | None = None
    ) -> AsyncIterator[Stream]:
        """Routes one request in the format of the chat API. `request_timeout_ms` is limited to the deadline of its
        request class; by `key` engines drop repeats. Raises InvalidRequestError, which names the field, before anything
        is sent."""
        chat_request = request
        if not isinstance(chat_request, ChatRequest):
            chat_request = parse_chat_request(msgspec.json.encode(chat_request))
        request_class = self.intake.models.get(chat_request.model)
        deadline_ms = request_class.deadline_ms if request_class is not None else 0.0
        client_timeout_ms = deadline_ms if request_timeout_ms is None else min(deadline_ms, request_timeout_ms)
        record = self.intake.take(chat_request, client_timeout_ms)
        record.request.whole = False  # the caller gets the text as a stream
        ident = f"{self.config.name}-{next(self.request_numbers)}"
        join = self.runtime.join_for(chat_request.raw, record.request)
        stream = Stream()
        active_request = ActiveRequest(ident, chat_request, record, stream, now_ms(), key or ident, join)
        stream.active_request = active_request
        active_request.on_finished = stream.send_channel.close
        try:
            self.runtime.arrived(active_request)
            yield stream
        finally:
            stream.receive_channel.close()
            if active_request.final is None:
                self.runtime.client_disconnected(active_request)


@asynccontextmanager
async def open_routing(
    config: GatewayConfig,
    transport: Transport,
    chooser: Callable[[RouterConfig], RouterProtocol] = Router,
    log: Any = None,
) -> AsyncIterator[Routing]:
    """Opens a router without a server. Inline nodes of the config are listed at once, others by `Routing.nodes`. Raises
    ConfigError for settings that the checks of a configuration document would reject."""
    config = checked(config)
    async with trio.open_nursery() as nursery:
        routing = Routing(config, transport, nursery, chooser, log or library_log())
        if isinstance(config.nodes, InlineSource):
            routing.nodes(config.nodes.nodes)
        nursery.start_soon(routing.runtime.run_timers)
        try:
            yield routing
        finally:
            nursery.cancel_scope.cancel()
            transport.close()
