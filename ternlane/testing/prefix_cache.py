"""A fake engine's cache of prompt prefixes, in blocks of bytes."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from xxhash import xxh3_64_intdigest

BLOCK_BYTES = 256
TOKEN_BYTES = 4  # of text; engines count a prompt's tokens by its length


@dataclass(frozen=True)
class PrefixLookup:
    """What the cache knew of a prompt."""

    uncached_tokens: float
    cached_tokens: float


class PrefixCache:
    """Evicts the least recently used blocks."""

    def __init__(self) -> None:
        self._blocks: OrderedDict[int, None] = OrderedDict()

    def clear(self) -> None:
        """Forgets every prefix."""
        self._blocks.clear()

    def look_up(self, prompt: bytes, capacity_tokens: float) -> PrefixLookup:
        """Counts the tokens that are cached, and caches the whole prompt."""
        digest = 0
        cached_blocks = 0
        all_cached = True
        for begin in range(0, len(prompt) - BLOCK_BYTES + 1, BLOCK_BYTES):
            # The digest of a block covers all before it: a block counts only within its prefix.
            digest = xxh3_64_intdigest(prompt[begin : begin + BLOCK_BYTES], digest)
            all_cached = all_cached and digest in self._blocks
            cached_blocks += all_cached
            self._blocks[digest] = None
            self._blocks.move_to_end(digest)
        max_blocks = int(capacity_tokens * TOKEN_BYTES / BLOCK_BYTES)
        while len(self._blocks) > max_blocks:
            self._blocks.popitem(last=False)
        cached_tokens = cached_blocks * BLOCK_BYTES / TOKEN_BYTES
        return PrefixLookup(len(prompt) / TOKEN_BYTES - cached_tokens, cached_tokens)
