"""The router: takes events and returns actions.

A host creates one `Router(RouterConfig)` for each gateway, passes events to `take(now, events)` and executes the
returned actions in order. The messages are defined in `ternlane/policy/messages.py`, the steps of a request in
`ternlane/policy/request_flow.py`; `docs/design.md` lists every rule and the module that implements it.
"""

from __future__ import annotations

from math import inf

from ternlane.policy.actors import RouterContext
from ternlane.policy.limits import limits_from
from ternlane.policy.messages import Action, Event, RouterConfig, TimerFired, TimerKind
from ternlane.policy.scheduler import Scheduler


class Router:
    """Makes the decisions of one gateway. It has no clock, event loop or sockets, and routers share no state."""

    def __init__(self, router_config: RouterConfig) -> None:
        self._context = RouterContext(-inf, limits_from(router_config))
        self.scheduler = Scheduler(self._context, router_config)

    def take(self, now: float, events: list[Event]) -> list[Action]:
        """Handles `events` in order and returns the resulting actions. `now`: milliseconds of any monotonic clock."""
        first_call = self._context.now == -inf
        self._context.now = now
        self._context.actions = []
        if first_call:  # starts the tick timer
            self._handle(TimerFired(TimerKind.TICK))
        for event in events:
            self._handle(event)
        while self.scheduler.serve_queue():  # once per batch: after each event, large batches would be too costly
            self._run()
        return self._context.actions

    def _handle(self, event: Event) -> None:
        self.scheduler.post(event)
        self._run()

    def _run(self) -> None:
        """Handles messages until all inboxes are empty."""
        ready = self._context.ready
        while ready:
            ready.popleft().handle_next()
