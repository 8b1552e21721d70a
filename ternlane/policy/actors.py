"""The message loop that the scheduler and the endpoint states run in.

Each of them is an actor: it owns its state, changes it only while it handles a message from its inbox, and never calls
another actor. The router handles the messages of all inboxes in the order in which they were posted, until none is
left. So an endpoint's snapshot that the scheduler decides by never changes in the middle of a decision.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections import deque
from typing import Generic, Protocol, TypeVar

from ternlane.policy.limits import Limits
from ternlane.policy.messages import Action

MessageT = TypeVar("MessageT")
PostedT = TypeVar("PostedT", contravariant=True)


class Runnable(Protocol):
    """Something with a message to handle."""

    def handle_next(self) -> None:
        """Handles the oldest message of its inbox."""


class Inbox(Protocol[PostedT]):
    """What an actor sees of another one."""

    def post(self, message: PostedT) -> None:
        """Has the message handled after all that were posted before."""


class RouterContext:
    """What all rules of one router share. The router sets the time, the scheduler the limits."""

    def __init__(self, now: float, limits: Limits) -> None:
        self.now = now  # milliseconds; the same for all that is decided on one batch of events
        self.limits = limits
        self.ready: deque[Runnable] = deque()  # one entry for each message that waits
        self.actions: list[Action] = []  # what the host is to do, in this order


class Actor(ABC, Generic[MessageT]):
    """Handles the messages of its inbox, one at a time."""

    def __init__(self, context: RouterContext) -> None:
        self.context = context
        self.inbox: deque[MessageT] = deque()

    def post(self, message: MessageT) -> None:
        """Has the message handled after all that were posted before."""
        self.inbox.append(message)
        self.context.ready.append(self)

    def handle_next(self) -> None:
        """Handles the oldest message of its inbox."""
        self.handle(self.inbox.popleft())

    @abstractmethod
    def handle(self, message: MessageT) -> None:
        """Acts on one message."""
