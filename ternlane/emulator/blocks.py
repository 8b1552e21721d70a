"""An engine's memory in blocks: counted references, prefixes cached by the hash of their chain, eviction.

A block is free, idle (nobody uses it, its text is cached), or used by one or more sequences. A full block's text is
known by the hash of all the text before it and its own, so that equal prefixes share blocks. Where two texts have one
hash, a second and shorter digest tells them apart: the later one is not cached, and nobody reads another's text.
"""

from __future__ import annotations

from array import array
from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Literal

from xxhash import xxh3_64_intdigest, xxh32_intdigest

BlockKey = tuple[int, int]  # hash of the chain, and the shorter digest of the same
EvictionPolicy = Literal["lru", "clock"]


def block_keys(text: bytes, block_bytes: int) -> list[BlockKey]:
    """Keys of the full blocks that a text begins with."""
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
    """The blocks of one sequence, in order; the first `cached` of them were found in the cache."""

    blocks: list[int] = field(default_factory=list)
    cached: int = 0


class BlockPool:
    """All blocks of an engine.

    `policy`: which idle block is evicted first. "lru": the one idle for longest, of a sequence its end before its
    beginning. "clock": likewise, but one that was shared since it was last looked at is passed over once.
    """

    def __init__(self, total: int, policy: EvictionPolicy = "lru") -> None:
        """All blocks are free."""
        self.total = total
        self.policy = policy
        self.free = list(range(total - 1, -1, -1))
        self.references = array("i", bytes(4 * total))
        self.keys: list[BlockKey | None] = [None] * total
        self.cached: dict[int, int] = {}  # hash of a chain -> its block
        self.idle: OrderedDict[int, None] = OrderedDict()  # the next to evict is first
        self.used = 0
        self.taken = 0  # that another program takes of the memory
        self.owed = 0  # of them in use still
        self.lost: list[int] = []  # blocks that the other program has
        self.evictions = 0
        self.collisions = 0
        self._shared = bytearray(total)  # used again since it was last looked at

    @property
    def available(self) -> int:
        """Blocks that can be had now: free or idle."""
        return len(self.free) + len(self.idle)

    @property
    def overcommitted(self) -> int:
        """Blocks in use beyond what is left after memory was taken."""
        return max(0, self.used + self.taken - self.total)

    def count_cached(self, keys: Sequence[BlockKey]) -> int:
        """How many blocks of this beginning are cached."""
        count = 0
        for chain_hash, digest in keys:
            block = self.cached.get(chain_hash)
            if block is None or self.keys[block] != (chain_hash, digest):
                break
            count += 1
        return count

    def allocate(self, keys: Sequence[BlockKey], blocks: int) -> BlockAllocation | None:
        """So many blocks for a sequence that begins with `keys`; None, and nothing changed, where there are too few."""
        cached = min(self.count_cached(keys), blocks)
        idle = sum(self.cached[chain_hash] in self.idle for chain_hash, _ in keys[:cached])
        if blocks - cached > self.available - idle:
            return None
        allocation = BlockAllocation(cached=cached)
        for chain_hash, _ in keys[:cached]:
            block = self.cached[chain_hash]
            if self.references[block] == 0:
                del self.idle[block]
                self.used += 1
            self.references[block] += 1
            self._shared[block] = 1
            allocation.blocks.append(block)
        self.grow(allocation, blocks - cached)
        return allocation

    def grow(self, allocation: BlockAllocation, more: int) -> bool:
        """So many blocks more; False, and nothing changed, where there are too few."""
        if more > self.available:
            return False
        for _ in range(more):
            block = self.free.pop() if self.free else self._evict()
            self.references[block] = 1
            self.used += 1
            allocation.blocks.append(block)
        return True

    def register(self, allocation: BlockAllocation, index: int, key: BlockKey) -> None:
        """The block at this place of the sequence is full, and cached from now on, unless its text is already, or its
        hash is another text's."""
        block = allocation.blocks[index]
        other = self.cached.get(key[0])
        if other is None:
            self.keys[block] = key
            self.cached[key[0]] = block
        elif self.keys[other] != key:
            self.collisions += 1

    def give_back(self, allocation: BlockAllocation) -> None:
        """The sequence has ended. What is cached stays, idle, its end to be evicted before its beginning."""
        for block in reversed(allocation.blocks):
            self.references[block] -= 1
            if self.references[block]:
                continue
            self.used -= 1
            if self.keys[block] is not None and not self.owed:
                self.idle[block] = None
            else:
                self._forget(block)
                self._put(block)
        allocation.blocks = []
        allocation.cached = 0

    def _evict(self) -> int:
        """The next idle block, its text forgotten."""
        while True:
            block, _ = self.idle.popitem(last=False)
            if self.policy == "clock" and self._shared[block]:
                self._shared[block] = 0
                self.idle[block] = None
                continue
            self._forget(block)
            self.evictions += 1
            return block

    def _forget(self, block: int) -> None:
        key = self.keys[block]
        if key is not None:
            del self.cached[key[0]]
            self.keys[block] = None
        self._shared[block] = 0

    def _put(self, block: int) -> None:
        """A block nobody uses: free, unless another program waits for it."""
        if self.owed:
            self.owed -= 1
            self.lost.append(block)
        else:
            self.free.append(block)

    def take_memory(self, blocks: int) -> None:
        """Another program has so many blocks from now on.

        Free ones go first, then idle ones; what is in use stays, and is owed until it is given back.
        """
        blocks = min(max(blocks, 0), self.total)
        self.taken = blocks
        while len(self.lost) > blocks:
            self.free.append(self.lost.pop())
        self.owed = 0
        while len(self.lost) < blocks and self.available:
            self.lost.append(self.free.pop() if self.free else self._evict())
        self.owed = blocks - len(self.lost)
