"""A fake engine's cache of prompt prefixes, in blocks of bytes."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from xxhash import xxh3_64_intdigest

BLOCK_BYTES = 256
TOKEN_BYTES = 4  # bytes of text per token


@dataclass(frozen=True)
class PrefixLookup:
    """How much of a prompt is cached."""

    uncached_tokens: float
    cached_tokens: float


class PrefixCache:
    """A cache of blocks with LRU eviction."""

    def __init__(self) -> None:
        self._blocks: OrderedDict[int, None] = OrderedDict()

    def clear(self) -> None:
        """Removes all prefixes."""
        self._blocks.clear()

    def look_up(self, prompt: bytes, capacity_tokens: float) -> PrefixLookup:
        """Counts the cached tokens of a prompt, and caches all of it."""
        digest = 0
        cached_blocks = 0
        all_cached = True
        for begin in range(0, len(prompt) - BLOCK_BYTES + 1, BLOCK_BYTES):
            # The digest of a block covers all blocks before it, so that it matches only after the same prefix.
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
