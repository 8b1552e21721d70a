"""Recognises the conversation that a request continues by the hashes of its messages."""

from __future__ import annotations

from collections import OrderedDict

from xxhash import xxh3_64_intdigest, xxh3_128_digest


def prefix_hashes(texts: list[bytes], root: bytes = b"") -> list[bytes]:
    """The hash of each prefix of a conversation; the i-th covers messages 0 to i."""
    hashes = []
    last = xxh3_128_digest(root)
    for text in texts:
        last = xxh3_128_digest(last + text)
        hashes.append(last)
    return hashes


class SessionIndex:
    """Maps hashes of recent conversations to their sessions. Holds at most `limit` hashes; evicts the oldest first.

    A conversation is stored under the hash of its last prompt, and of that prompt with the answer. The next turn
    repeats both and adds messages, so that its longest known prefix gives the session. A client that changes the
    answer's text is still recognised by the prompt. The root of the hashes separates equal conversations of different
    users.
    """

    def __init__(self, limit: int) -> None:
        self.limit = max(limit, 2)
        self.session_by_hash: OrderedDict[bytes, str] = OrderedDict()

    def find_or_add(self, hashes: list[bytes]) -> str:
        """The session that the conversation continues, or a new one named by its hash. Stores the last hash."""
        session = next((self.session_by_hash[h] for h in reversed(hashes) if h in self.session_by_hash), None)
        if session is None:
            session = f"c{xxh3_64_intdigest(hashes[-1]):016x}"
        self.add(hashes[-1], session)
        return session

    def add(self, conversation_hash: bytes, session: str) -> None:
        """Maps the hash of a conversation to its session."""
        self.session_by_hash[conversation_hash] = session
        self.session_by_hash.move_to_end(conversation_hash)
        if len(self.session_by_hash) > self.limit:
            self.session_by_hash.popitem(last=False)
