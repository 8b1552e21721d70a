"""The message loop that the scheduler and the endpoint states run in.

Each of them is an actor: it owns its state, changes it only while handling a message from its inbox, and never calls
another actor. The router handles the messages of all inboxes in the order in which they were posted, until all inboxes
are empty. So the snapshots that the scheduler bases a decision on never change during that decision.
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
    """Something that has a message to handle."""

    def handle_next(self) -> None:
        """Handles the oldest message in the inbox."""


class Inbox(Protocol[PostedT]):
    """The interface that an actor has to another one."""

    def post(self, message: PostedT) -> None:
        """Appends the message; it is handled after all messages posted before."""


class RouterContext:
    """State shared by all rules of one router. The router sets the time, the scheduler the limits."""

    def __init__(self, now: float, limits: Limits) -> None:
        self.now = now  # milliseconds; constant within one batch of events
        self.limits = limits
        self.ready: deque[Runnable] = deque()  # one entry for each waiting message
        self.actions: list[Action] = []  # for the host, in this order


class Actor(ABC, Generic[MessageT]):
    """Handles the messages of its inbox, one at a time."""

    def __init__(self, context: RouterContext) -> None:
        self.context = context
        self.inbox: deque[MessageT] = deque()

    def post(self, message: MessageT) -> None:
        """Appends the message; it is handled after all messages posted before."""
        self.inbox.append(message)
        self.context.ready.append(self)

    def handle_next(self) -> None:
        """Handles the oldest message in the inbox."""
        self.handle(self.inbox.popleft())

    @abstractmethod
    def handle(self, message: MessageT) -> None:
        """Handles one message."""
