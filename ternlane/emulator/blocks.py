"""Paged memory of an engine: reference-counted blocks, a prefix cache keyed by chained hashes, and eviction.

A block is free, idle (unreferenced, with cached text) or used by one or more sequences. A full block is keyed by the
hash of its own text and all preceding text, so equal prefixes share blocks. A second, shorter digest detects hash
collisions: the later text is not cached, and no sequence reads another text's block.
"""

from __future__ import annotations

from array import array
from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Literal

from xxhash import xxh3_64_intdigest, xxh32_intdigest

BlockKey = tuple[int, int]  # chained hash, and a shorter digest of the same text
EvictionPolicy = Literal["lru", "clock"]


def block_keys(text: bytes, block_bytes: int) -> list[BlockKey]:
    """Returns the keys of the full blocks of a text."""
    keys: list[BlockKey] = []
    chain_hash = 0
    for begin in range(0, len(text) - block_bytes + 1, block_bytes):
        block = text[begin : begin + block_bytes]
        digest = xxh32_intdigest(block, chain_hash & 0xFFFFFFFF)
        chain_hash = xxh3_64_intdigest(block, chain_hash)
        keys.append((chain_hash, digest))
    return keys


@dataclass(slots=True, eq=False)
class BlockAllocation:
    """Blocks of a sequence in order; the first `cached_blocks` were found in the cache."""

    blocks: list[int] = field(default_factory=list)
    cached_blocks: int = 0


class BlockPool:
    """All blocks of an engine.

    `policy`: eviction order of idle blocks. "lru": the longest idle first, and within a sequence the last block first.
    "clock": the same, but a block reused since the last scan gets a second chance.
    """

    def __init__(self, total: int, policy: EvictionPolicy = "lru") -> None:
        """All blocks start free."""
        self.total = total
        self.policy = policy
        self.free = list(range(total - 1, -1, -1))
        self.references = array("i", bytes(4 * total))
        self.keys: list[BlockKey | None] = [None] * total
        self.block_by_hash: dict[int, int] = {}  # the cached blocks, by chained hash
        self.idle: OrderedDict[int, None] = OrderedDict()  # in eviction order
        self.used = 0
        self.external_blocks = 0  # blocks reserved for a simulated other program on the device
        self.pending_handover = 0  # of these, blocks still to be handed over, when sequences release them
        self.handed_over: list[int] = []  # of these, blocks that the other program has
        self.evictions = 0
        self.collisions = 0
        self._reused = bytearray(total)  # by block: reused since the last clock scan

    @property
    def available(self) -> int:
        """Number of free and idle blocks."""
        return len(self.free) + len(self.idle)

    @property
    def overcommitted(self) -> int:
        """Number of used blocks beyond the memory left by the external reservation."""
        return max(0, self.used + self.external_blocks - self.total)

    def count_cached(self, keys: Sequence[BlockKey]) -> int:
        """Returns the number of leading keys that are cached."""
        count = 0
        for chain_hash, digest in keys:
            block = self.block_by_hash.get(chain_hash)
            if block is None or self.keys[block] != (chain_hash, digest):
                break
            count += 1
        return count

    def allocate(self, keys: Sequence[BlockKey], blocks: int) -> BlockAllocation | None:
        """Allocates blocks for a sequence that begins with `keys`; None, and no change, if too few are available."""
        cached = min(self.count_cached(keys), blocks)
        idle = sum(self.block_by_hash[chain_hash] in self.idle for chain_hash, _ in keys[:cached])
        if blocks - cached > self.available - idle:
            return None
        allocation = BlockAllocation(cached_blocks=cached)
        for chain_hash, _ in keys[:cached]:
            block = self.block_by_hash[chain_hash]
            if self.references[block] == 0:
                del self.idle[block]
                self.used += 1
            self.references[block] += 1
            self._reused[block] = 1
            allocation.blocks.append(block)
        self.grow(allocation, blocks - cached)
        return allocation

    def grow(self, allocation: BlockAllocation, more: int) -> bool:
        """Adds blocks to an allocation; False, without any change, if too few are available."""
        if more > self.available:
            return False
        for _ in range(more):
            block = self.free.pop() if self.free else self._evict()
            self.references[block] = 1
            self.used += 1
            allocation.blocks.append(block)
        return True

    def register(self, allocation: BlockAllocation, index: int, key: BlockKey) -> None:
        """Caches the full block at `index`, unless its text is cached already or its hash collides with another."""
        block = allocation.blocks[index]
        other = self.block_by_hash.get(key[0])
        if other is None:
            self.keys[block] = key
            self.block_by_hash[key[0]] = block
        elif self.keys[other] != key:
            self.collisions += 1

    def release(self, allocation: BlockAllocation) -> None:
        """Releases the blocks of an ended sequence.

        Cached blocks become idle, or are handed over if an external reservation is pending. Of a sequence's idle blocks
        the last one is evicted first.
        """
        for block in reversed(allocation.blocks):
            self.references[block] -= 1
            if self.references[block]:
                continue
            self.used -= 1
            if self.keys[block] is not None and not self.pending_handover:
                self.idle[block] = None
            else:
                self._uncache(block)
                self._add_free(block)
        allocation.blocks = []
        allocation.cached_blocks = 0

    def _evict(self) -> int:
        """Evicts the next idle block and returns it."""
        while True:
            block, _ = self.idle.popitem(last=False)
            if self.policy == "clock" and self._reused[block]:
                self._reused[block] = 0
                self.idle[block] = None
                continue
            self._uncache(block)
            self.evictions += 1
            return block

    def _uncache(self, block: int) -> None:
        key = self.keys[block]
        if key is not None:
            del self.block_by_hash[key[0]]
            self.keys[block] = None
        self._reused[block] = 0

    def _add_free(self, block: int) -> None:
        """Frees an unused block, or hands it over if an external reservation is pending."""
        if self.pending_handover:
            self.pending_handover -= 1
            self.handed_over.append(block)
        else:
            self.free.append(block)

    def reserve_external(self, blocks: int) -> None:
        """Sets the number of blocks that another program occupies.

        Free blocks are handed over first, then idle ones. Used blocks follow when their sequences release them.
        """
        blocks = min(max(blocks, 0), self.total)
        self.external_blocks = blocks
        while len(self.handed_over) > blocks:
            self.free.append(self.handed_over.pop())
        self.pending_handover = 0
        while len(self.handed_over) < blocks and self.available:
            self.handed_over.append(self.free.pop() if self.free else self._evict())
        self.pending_handover = blocks - len(self.handed_over)
