"""Orders model servers by their last answer, for the order in which a release calls them. Free of I/O."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from itertools import islice


class AnswerOrder:
    """Server addresses with the time of their last answer (s, monotonic clock), the latest at the end.

    Servers that have not answered a pending release are moved to the beginning. Releases go through the order from
    its end, so later ones call them last.
    """

    def __init__(self) -> None:
        self.answered_at_s: OrderedDict[str, float] = OrderedDict()

    def record_answer(self, address: str, now_s: float) -> None:
        """Records an answer of this server."""
        self.answered_at_s[address] = now_s
        self.answered_at_s.move_to_end(address)

    def has_answered_since(self, address: str, since_s: float) -> bool:
        """Whether the server has answered after that time."""
        return self.answered_at_s.get(address, 0.0) > since_s

    def demote_silent(self, called: Iterable[str], since_s: float) -> None:
        """Moves the `called` servers that last answered before `since_s` behind all others for later releases."""
        for address in called:
            if self.answered_at_s.get(address, since_s) < since_s:
                self.answered_at_s.move_to_end(address, last=False)

    def latest_first(self, addresses: Iterable[str], limit: int) -> list[str]:
        """Returns at most `limit` addresses: servers that have answered, the latest first, then others from
        `addresses`, which are all listed servers."""
        order = list(islice(reversed(self.answered_at_s), limit))
        if len(order) < limit:
            others = (address for address in addresses if address not in self.answered_at_s)
            order += islice(others, limit - len(order))
        return order

    def forget(self, address: str) -> None:
        """Removes a server that could not be reached or is no longer listed."""
        self.answered_at_s.pop(address, None)
