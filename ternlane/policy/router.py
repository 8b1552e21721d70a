"""The router: events in, actions out.

A host makes one `Router(RouterConfig)` for each gateway, hands it what happened through `take(now, events)`, and
carries out the actions that come back, in their order. The interface is `ternlane/policy/messages.py`; the way of a
request is in `ternlane/policy/request_flow.py`; `docs/design.md` lists every rule and where it stands.
"""

from __future__ import annotations

from math import inf

from ternlane.policy.actors import RouterContext
from ternlane.policy.limits import limits_from
from ternlane.policy.messages import Action, Event, RouterConfig, TimerFired, TimerKind
from ternlane.policy.scheduler import Scheduler


class Router:
    """One gateway's decisions, without clock, loop or sockets. Two routers share nothing."""

    def __init__(self, router_config: RouterConfig) -> None:
        self._context = RouterContext(-inf, limits_from(router_config))
        self.scheduler = Scheduler(self._context, router_config)

    def take(self, now: float, events: list[Event]) -> list[Action]:
        """What to do about `events`, in this order. `now` is in milliseconds of any clock that never goes back."""
        first_call = self._context.now == -inf
        self._context.now = now
        self._context.actions = []
        if first_call:  # asks for the first tick
            self._handle(TimerFired(TimerKind.TICK))
        for event in events:
            self._handle(event)
        while self.scheduler.serve_queue():  # once all is heard, lest a batch of thousands cost as many tries
            self._run()
        return self._context.actions

    def _handle(self, event: Event) -> None:
        self.scheduler.post(event)
        self._run()

    def _run(self) -> None:
        """Handles messages until none is left."""
        ready = self._context.ready
        while ready:
            ready.popleft().handle_next()
