"""Forwards a decode server's stream to the client of its request."""

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
    """A `ResponseWriter` of one attempt; the router hears of its first token.

    Both methods raise ClientDisconnectedError where the request is over: it has been answered otherwise, and two
    answers on one connection would be read as one.
    """

    active_request: ActiveRequest
    server: Server
    since_ms: float  # when the attempt began
    on_first_event: Callable[[ActiveRequest], None]
    dispatch: Callable[[messages.Event], None]

    async def write_first_events(self, data: bytes) -> None:
        """Writes the answer's head and first events."""
        active_request = self.active_request
        if active_request.is_finished:
            raise ClientDisconnectedError
        active_request.streaming = True
        active_request.body = b""  # no other attempt will be sent
        self.on_first_event(active_request)
        self.dispatch(messages.FirstToken(active_request.request, self.server, now_ms() - self.since_ms))
        await active_request.write_first_events(data)

    async def write_events(self, data: bytes) -> None:
        """Writes further events."""
        if self.active_request.is_finished:
            raise ClientDisconnectedError
        await self.active_request.write_events(data)
