"""Recognises which conversation a request goes on with, by the hashes of what was said so far."""

from __future__ import annotations

from collections import OrderedDict

from xxhash import xxh3_64_intdigest, xxh3_128_digest


def chain(texts: list[bytes], root: bytes = b"") -> list[bytes]:
    """The hash of each beginning of a conversation: the i-th stands for messages 0 to i together."""
    hashes = []
    last = xxh3_128_digest(root)
    for text in texts:
        last = xxh3_128_digest(last + text)
        hashes.append(last)
    return hashes


class SessionIndex:
    """Ends of conversations seen lately, and whose they were. Holds `limit` at most, the oldest go first.

    A conversation is known by its last prompt and by that prompt with our answer. The next turn repeats both and
    adds to them; the longest known beginning names the session. A client that words the answer otherwise is still
    known by the prompt. Two users' equal conversations are told apart by `user`.
    """

    def __init__(self, limit: int) -> None:
        self.limit = max(limit, 2)
        self.ends: OrderedDict[bytes, str] = OrderedDict()

    def find(self, hashes: list[bytes]) -> str:
        """The session that the hashes go on with, or a new one named by them; either is remembered."""
        session = next((self.ends[h] for h in reversed(hashes) if h in self.ends), None)
        if session is None:
            session = f"c{xxh3_64_intdigest(hashes[-1]):016x}"
        self.remember(hashes[-1], session)
        return session

    def remember(self, end: bytes, session: str) -> None:
        """A conversation that ends so is this session's."""
        self.ends[end] = session
        self.ends.move_to_end(end)
        if len(self.ends) > self.limit:
            self.ends.popitem(last=False)
