"""An engine's memory in blocks: counted references, prefixes kept by the hash of their chain, eviction under pressure.

A block is free, idle (nobody holds it, its text is kept), or used by one or more. A full block's text is known by the
hash of all the text before it and its own, so that equal beginnings share blocks. Where two texts have one hash, a
second and shorter digest tells them apart: the later one is not kept, and nobody reads another's text.
"""

from __future__ import annotations

from array import array
from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Literal

from xxhash import xxh3_64_intdigest, xxh32_intdigest

Key = tuple[int, int]  # hash of the chain, and the shorter digest of the same


def chain(text: bytes, size: int) -> list[Key]:
    """Keys of the full blocks of `size` bytes that a text begins with."""
    out: list[Key] = []
    seed = 0
    for at in range(0, len(text) - size + 1, size):
        piece = text[at : at + size]
        check = xxh32_intdigest(piece, seed & 0xFFFFFFFF)
        seed = xxh3_64_intdigest(piece, seed)
        out.append((seed, check))
    return out


@dataclass(slots=True, eq=False)
class HostedRequest:
    """The blocks of one sequence, in order; the first `kept` of them were found kept."""

    blocks: list[int] = field(default_factory=list)
    kept: int = 0


class Blocks:
    """`total` blocks. `policy`: which idle block goes first where room is needed. "lru": the one idle for longest, of a
    sequence its end before its beginning. "clock": likewise, but one that was shared since it was last looked at is
    passed over once."""

    def __init__(self, total: int, policy: Literal["lru", "clock"] = "lru") -> None:
        self.total, self.policy = total, policy
        self.free = list(range(total - 1, -1, -1))
        self.refs = array("i", bytes(4 * total))
        self.keys: list[Key | None] = [None] * total
        self.known: dict[int, int] = {}  # hash of a chain -> its block
        self.idle: OrderedDict[int, None] = OrderedDict()  # the next to go is first
        self.shared = bytearray(total)  # used again since it was last looked at
        self.used = 0
        self.gone = self.missing = 0  # that another program takes; of them in use still
        self.lost: list[int] = []  # blocks that it has
        self.evicted = self.collided = 0

    @property
    def room(self) -> int:
        """Blocks that can be had now: free or idle."""
        return len(self.free) + len(self.idle)

    @property
    def over(self) -> int:
        """Blocks in use beyond what is left after memory was cut."""
        return max(0, self.used + self.gone - self.total)

    def find(self, keys: Sequence[Key]) -> int:
        """How many blocks of this beginning are kept."""
        n = 0
        for hashed, check in keys:
            block = self.known.get(hashed)
            if block is None or self.keys[block] != (hashed, check):
                break
            n += 1
        return n

    def take(self, keys: Sequence[Key], blocks: int) -> HostedRequest | None:
        """Room for a sequence of so many blocks that begins with `keys`; None, and nothing changed, where there is too
        little."""
        found = min(self.find(keys), blocks)
        idle = sum(self.known[h] in self.idle for h, _ in keys[:found])
        if blocks - found > self.room - idle:
            return None
        held = HostedRequest(kept=found)
        for hashed, _ in keys[:found]:
            block = self.known[hashed]
            if self.refs[block] == 0:
                del self.idle[block]
                self.used += 1
            self.refs[block] += 1
            self.shared[block] = 1
            held.blocks.append(block)
        self.grow(held, blocks - found)
        return held

    def grow(self, held: HostedRequest, more: int) -> bool:
        """So many blocks more; false, and nothing changed, where there is too little room."""
        if more > self.room:
            return False
        for _ in range(more):
            block = self.free.pop() if self.free else self.evict()
            self.refs[block] = 1
            self.used += 1
            held.blocks.append(block)
        return True

    def seal(self, held: HostedRequest, at: int, key: Key) -> None:
        """The block at this place of the sequence is full, and known from now on, unless its text is already, or its
        hash is another text's."""
        block, other = held.blocks[at], self.known.get(key[0])
        if other is None:
            self.keys[block] = key
            self.known[key[0]] = block
        elif self.keys[other] != key:
            self.collided += 1

    def give_back(self, held: HostedRequest) -> None:
        """The sequence has ended. What is known stays, idle, its end to go before its beginning."""
        for block in reversed(held.blocks):
            self.refs[block] -= 1
            if self.refs[block]:
                continue
            self.used -= 1
            if self.keys[block] is not None and not self.missing:
                self.idle[block] = None
            else:
                self.forget(block)
                self.put(block)
        held.blocks, held.kept = [], 0

    def evict(self) -> int:
        """The next idle block, its text forgotten."""
        while True:
            block, _ = self.idle.popitem(last=False)
            if self.policy == "clock" and self.shared[block]:
                self.shared[block] = 0
                self.idle[block] = None
                continue
            self.forget(block)
            self.evicted += 1
            return block

    def forget(self, block: int) -> None:
        key = self.keys[block]
        if key is not None:
            del self.known[key[0]]
            self.keys[block] = None
        self.shared[block] = 0

    def put(self, block: int) -> None:
        """A block nobody holds: free, unless another program waits for it."""
        if self.missing:
            self.missing -= 1
            self.lost.append(block)
        else:
            self.free.append(block)

    # -- memory that shrinks while running

    def cut(self, gone: int) -> None:
        """Another program has `gone` blocks of the memory. Free ones go first, then idle ones; what is in use stays,
        and is owed once it is given back."""
        gone = min(max(gone, 0), self.total)
        self.gone = gone
        while len(self.lost) > gone:
            self.free.append(self.lost.pop())
        self.missing = 0
        while len(self.lost) < gone and self.room:
            self.lost.append(self.free.pop() if self.free else self.evict())
        self.missing = gone - len(self.lost)
