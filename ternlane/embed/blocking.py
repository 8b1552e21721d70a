"""The router for plain threads and for asyncio: its loop runs in a thread of its own, which ends with the block."""

from __future__ import annotations

import asyncio
import queue
import threading
from types import TracebackType
from typing import Any, AsyncIterator, Callable, Iterator

import trio

from ternlane.embed.renamed_methods import RenamedMethods
from ternlane.embed.routing import Routing, open_routing
from ternlane.engine import Transport
from ternlane.config import GatewayConfig

END = object()
AHEAD = 64  # pieces that wait for a slow caller; beyond that the writer waits


class Blocking(RenamedMethods):
    """`with Blocking(config, make_transport) as routing: for text in routing.request({...}): ...`

    `make_transport` is called in the router's thread. Any thread may call `request`; breaking off its loop, or
    closing it, is a client's leaving. Exceptions of the router's thread come out of the `with` block.
    """

    _RENAMED_METHODS = {"generation": "request"}

    def __init__(self, config: GatewayConfig, make_transport: Callable[[], Transport], log: Any = None) -> None:
        self.config, self.make_transport, self.log = config, make_transport, log
        self.ready = threading.Event()
        self.token: trio.lowlevel.TrioToken | None = None
        self.routing: Routing | None = None
        self.scope: trio.CancelScope | None = None
        self.failed: BaseException | None = None
        self.thread: threading.Thread | None = None

    def __enter__(self) -> Blocking:
        self.thread = threading.Thread(target=self._run, name="ternlane", daemon=True)
        self.thread.start()
        self.ready.wait()
        if self.failed is not None:
            raise self.failed
        return self

    def _run(self) -> None:
        try:
            trio.run(self._main)
        except BaseException as why:
            self.failed = why
        finally:
            self.token = None
            self.ready.set()

    async def _main(self) -> None:
        self.token = trio.lowlevel.current_trio_token()
        with trio.CancelScope() as self.scope:
            async with open_routing(self.config, self.make_transport(), log=self.log) as self.routing:
                self.ready.set()
                await trio.sleep_forever()

    def request(self, request: dict[str, Any], request_timeout_ms: float | None = None) -> Iterator[str]:
        """The text as it comes. Raises InvalidRequestError before anything is sent, RejectedError or FailedError at the
        end."""
        token = self.token
        if token is None:
            raise RuntimeError("the router has ended")
        pieces: queue.Queue[Any] = queue.Queue(maxsize=AHEAD)
        scope = trio.CancelScope()
        gone = threading.Event()

        async def put(piece: Any) -> None:
            while not gone.is_set():  # a slow caller holds its pieces, not the loop
                try:
                    pieces.put_nowait(piece)
                    return
                except queue.Full:
                    await trio.sleep(0.002)

        async def route() -> None:
            assert self.routing is not None
            end: Any = END
            try:
                with scope:
                    async with self.routing.request(request, request_timeout_ms) as stream:
                        async for text in stream:
                            await put(text)
            except Exception as why:
                end = why
            finally:
                with trio.CancelScope(shield=True):
                    await put(end)

        trio.from_thread.run_sync(trio.lowlevel.spawn_system_task, route, trio_token=token)
        try:
            while True:
                try:
                    piece = pieces.get(timeout=0.5)
                except queue.Empty:
                    if self.token is None:
                        raise RuntimeError("the router has ended") from self.failed
                    continue
                if piece is END:
                    return
                if isinstance(piece, BaseException):
                    raise piece
                yield piece
        finally:
            gone.set()
            if self.token is not None:
                try:
                    trio.from_thread.run_sync(scope.cancel, trio_token=token)
                except trio.RunFinishedError:
                    pass

    def __exit__(self, kind: type[BaseException] | None, why: BaseException | None, at: TracebackType | None) -> None:
        token, scope = self.token, self.scope
        if token is not None and scope is not None:
            try:
                trio.from_thread.run_sync(scope.cancel, trio_token=token)
            except trio.RunFinishedError:
                pass
        if self.thread is not None:
            self.thread.join()
        if self.failed is not None and kind is None:
            raise self.failed


class Bridged(Blocking):
    """The same for asyncio callers: `async for text in routing.agenerate({...})`. Each wait takes a thread of the
    loop's pool for as long as it lasts, so the pool's size bounds how many may be asked at once."""

    async def agenerate(self, request: dict[str, Any], request_timeout_ms: float | None = None) -> AsyncIterator[str]:
        """`request` for an asyncio task. Cancelling the task is a client's leaving."""
        loop, pieces = asyncio.get_running_loop(), self.request(request, request_timeout_ms)
        pending: asyncio.Future[Any] | None = None
        try:
            while True:
                pending = loop.run_in_executor(None, next, pieces, END)
                piece = await asyncio.shield(pending)
                pending = None
                if piece is END:
                    return
                yield piece
        finally:
            if pending is not None and not pending.done():  # cancelled while a thread waits within the iterator
                pending.add_done_callback(lambda _: pieces.close())  # type: ignore[attr-defined]
            else:
                pieces.close()  # type: ignore[attr-defined]
