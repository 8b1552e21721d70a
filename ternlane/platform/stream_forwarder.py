"""Forwards a decode server's stream to the client."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from ternlane.event_loop import now_ms
from ternlane.platform.active_request import ActiveRequest
from ternlane.platform.errors import ClientDisconnectedError
from ternlane.policy import messages
from ternlane.policy.messages import Server


@dataclass(slots=True)
class StreamForwarder:
    """The `ResponseWriter` of one attempt; also reports the first token to the router.

    Both methods raise ClientDisconnectedError if the request is finished: it may have been answered otherwise, and a
    client would read two answers on one connection as one.
    """

    active_request: ActiveRequest
    server: Server
    since_ms: float  # when the attempt started
    on_first_event: Callable[[ActiveRequest], None]
    dispatch: Callable[[messages.Event], None]

    async def write_first_events(self, data: bytes) -> None:
        """Writes the answer's head and first events."""
        active_request = self.active_request
        if active_request.is_finished:
            raise ClientDisconnectedError
        active_request.streaming = True
        active_request.drop_body()
        self.on_first_event(active_request)
        self.dispatch(messages.FirstToken(active_request.request, self.server, now_ms() - self.since_ms))
        await active_request.write_first_events(data)

    async def write_events(self, data: bytes) -> None:
        """Writes more events."""
        if self.active_request.is_finished:
            raise ClientDisconnectedError
        await self.active_request.write_events(data)
