"""The router for threads and for asyncio; its event loop runs in its own thread, which ends with the `with` block."""

from __future__ import annotations

import asyncio
import queue
import threading
from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import suppress
from types import TracebackType
from typing import Any

import trio

from ternlane.config import GatewayConfig
from ternlane.embed.renamed_methods import RenamedMethods
from ternlane.embed.routing import Routing, open_routing
from ternlane.engine import Transport

END_OF_PIECES = object()  # marks the end in a queue of pieces
MAX_QUEUED_PIECES = 64  # limit for a slow caller; when it is reached, the decode server waits
FULL_QUEUE_POLL_S = 0.002
ROUTER_POLL_S = 0.5  # between checks that the router's thread still runs


def cancel_from_thread(scope: trio.CancelScope, token: trio.lowlevel.TrioToken) -> None:
    """Cancels a scope in the router's thread; does nothing if that has ended."""
    with suppress(trio.RunFinishedError):
        trio.from_thread.run_sync(scope.cancel, trio_token=token)


class RequestBridge:
    """Passes one request from a calling thread to the router's thread, and the pieces back."""

    def __init__(self, request: dict[str, Any], request_timeout_ms: float | None) -> None:
        self.request = request
        self.request_timeout_ms = request_timeout_ms
        self.pieces: queue.Queue[Any] = queue.Queue(maxsize=MAX_QUEUED_PIECES)
        self.scope = trio.CancelScope()
        self.caller_closed = threading.Event()

    async def route(self, routing: Routing) -> None:
        """Routes the request, in the router's thread; the last item queued is END_OF_PIECES or the exception."""
        end: Any = END_OF_PIECES
        try:
            with self.scope:
                async with routing.request(self.request, self.request_timeout_ms) as stream:
                    async for text in stream:
                        await self._put(text)
        except Exception as error:
            end = error
        finally:
            with trio.CancelScope(shield=True):
                await self._put(end)

    async def _put(self, piece: Any) -> None:
        """Queues a piece; waits for a slow caller without blocking the event loop."""
        while not self.caller_closed.is_set():
            try:
                self.pieces.put_nowait(piece)
                return
            except queue.Full:
                await trio.sleep(FULL_QUEUE_POLL_S)


class Blocking(RenamedMethods):
    """`with Blocking(config, make_transport) as routing: for text in routing.request({...}): ...`

    `make_transport` is called in the router's thread. Any thread may call `request`; leaving its loop early or closing
    the iterator counts as a client's disconnect. Exceptions of the router's thread are raised from the `with` block.
    """

    _RENAMED_METHODS = {"generation": "request"}  # old name: new name

    def __init__(self, config: GatewayConfig, make_transport: Callable[[], Transport], log: Any = None) -> None:
        self.config = config
        self.make_transport = make_transport
        self.log = log
        self.ready = threading.Event()
        self.token: trio.lowlevel.TrioToken | None = None  # None unless the router's thread runs
        self.routing: Routing | None = None
        self.scope: trio.CancelScope | None = None
        self.failure: BaseException | None = None
        self.thread: threading.Thread | None = None

    def __enter__(self) -> Blocking:
        self.thread = threading.Thread(target=self._run, name="ternlane", daemon=True)
        self.thread.start()
        self.ready.wait()
        if self.failure is not None:
            raise self.failure
        return self

    def _run(self) -> None:
        try:
            trio.run(self._main)
        except BaseException as why:
            self.failure = why
        finally:
            self.token = None
            self.ready.set()

    async def _main(self) -> None:
        """Keeps the routing open, in the router's thread, until `__exit__` cancels the scope."""
        self.token = trio.lowlevel.current_trio_token()
        with trio.CancelScope() as self.scope:
            async with open_routing(self.config, self.make_transport(), log=self.log) as self.routing:
                self.ready.set()
                await trio.sleep_forever()

    def request(self, request: dict[str, Any], request_timeout_ms: float | None = None) -> Iterator[str]:
        """The text, piece by piece. Raises InvalidRequestError before anything is sent, RejectedError or FailedError at
        the end, RuntimeError if the router has stopped."""
        token = self.token
        if token is None:
            raise RuntimeError("the router has stopped")
        bridge = RequestBridge(request, request_timeout_ms)
        assert self.routing is not None
        trio.from_thread.run_sync(trio.lowlevel.spawn_system_task, bridge.route, self.routing, trio_token=token)
        try:
            yield from self._receive_pieces(bridge)
        finally:
            bridge.caller_closed.set()
            if self.token is not None:
                cancel_from_thread(bridge.scope, token)

    def _receive_pieces(self, bridge: RequestBridge) -> Iterator[str]:
        """The pieces, until the end. Raises what ended the request, or RuntimeError if the router has stopped."""
        while True:
            try:
                piece = bridge.pieces.get(timeout=ROUTER_POLL_S)
            except queue.Empty:
                if self.token is None:
                    raise RuntimeError("the router has stopped") from self.failure
                continue
            if piece is END_OF_PIECES:
                return
            if isinstance(piece, BaseException):
                raise piece
            yield piece

    def __exit__(self, kind: type[BaseException] | None, why: BaseException | None, at: TracebackType | None) -> None:
        token = self.token
        scope = self.scope
        if token is not None and scope is not None:
            cancel_from_thread(scope, token)
        if self.thread is not None:
            self.thread.join()
        if self.failure is not None and kind is None:
            raise self.failure


class Bridged(Blocking):
    """`Blocking` for asyncio callers: `async for text in routing.agenerate({...})`. Each wait occupies a thread of the
    event loop's pool, so the size of the pool limits the number of concurrent requests."""

    async def agenerate(self, request: dict[str, Any], request_timeout_ms: float | None = None) -> AsyncIterator[str]:
        """`request` for an asyncio task; cancelling the task counts as a client's disconnect."""
        loop = asyncio.get_running_loop()
        pieces = self.request(request, request_timeout_ms)
        pending: asyncio.Future[Any] | None = None
        try:
            while True:
                pending = loop.run_in_executor(None, next, pieces, END_OF_PIECES)
                piece = await asyncio.shield(pending)
                pending = None
                if piece is END_OF_PIECES:
                    return
                yield piece
        finally:
            if pending is not None and not pending.done():  # cancelled while a thread of the pool waits in the iterator
                pending.add_done_callback(lambda _: pieces.close())  # type: ignore[attr-defined]
            else:
                pieces.close()  # type: ignore[attr-defined]
