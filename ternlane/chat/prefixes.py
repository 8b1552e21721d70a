"""Finds how much of a prompt's prefix other sessions have sent before.

A radix tree over the hashes of fixed-size blocks. An edge holds a run of blocks as one array of 64-bit words, so that a
long text that only one session has sent costs eight bytes per block and one node. Each node is owned by one session or
shared. Beyond the limit, leaves are evicted in least-recently-used order.
"""

from __future__ import annotations

from array import array
from collections import OrderedDict
from collections.abc import Iterator

from xxhash import xxh3_64_intdigest

BLOCK = 256  # bytes of a prompt's canonical text
SHARED = -1


def blocks(text: bytes, block: int = BLOCK) -> array[int]:
    """Hashes of the complete blocks of a text; a partial last block is left out."""
    return array("Q", (xxh3_64_intdigest(text[i : i + block]) for i in range(0, len(text) - block + 1, block)))


class Node:
    """A run of blocks that continues the parent's. `owner`: a session's number, or SHARED."""

    __slots__ = ("run", "parent", "children", "owner", "older", "newer")

    def __init__(self, run: array[int], parent: Node | None, owner: int) -> None:
        self.run = run
        self.parent = parent
        self.owner = owner
        self.children: dict[int, Node] | None = None
        self.older: Node | None = None  # neighbours in the LRU list
        self.newer: Node | None = None


class PrefixIndex:
    """The radix tree. `match_and_add` adds a prompt, and returns how many of its leading blocks other sessions
    share."""

    def __init__(self, block_limit: int) -> None:
        self.block_limit = block_limit
        self.block_count = 0  # blocks in the tree
        self.node_count = 0
        self.root = Node(array("Q"), None, SHARED)
        self.oldest: Node | None = None
        self.newest: Node | None = None

    def match_and_add(self, run: array[int], session: int) -> int:
        """The number of leading blocks of `run` that another session's prompt had too; adds `run` to the tree."""
        node = self.root
        at = 0
        shared = 0
        all_shared = True
        path: list[Node] = []
        while at < len(run):
            child = node.children.get(run[at]) if node.children else None
            if child is None:
                node = self.add(node, run[at:], session)
                path.append(node)
                break
            same = self.common(child.run, run, at)
            if same < len(child.run):
                child = self.split(child, same)
            if all_shared and child.owner != session:
                shared = at + same
            else:
                all_shared = False
            if child.owner not in (session, SHARED):
                child.owner = SHARED
            at += same
            node = child
            path.append(child)
        for used in reversed(path):  # a parent is always more recently used than its children
            self.unlink(used)
            self.link(used)
        while self.block_count > self.block_limit and self.drop_oldest():
            pass
        return shared

    @staticmethod
    def common(edge: array[int], run: array[int], at: int) -> int:
        """The length of the common prefix of an edge and a run. Compares whole arrays first, as most edges match
        fully."""
        n = min(len(edge), len(run) - at)
        if edge[:n] == run[at : at + n]:
            return n
        low = 0  # the first difference lies in [low, high)
        high = n
        while high - low > 1:
            mid = (low + high) // 2
            if edge[low:mid] == run[at + low : at + mid]:
                low = mid
            else:
                high = mid
        return low

    def add(self, parent: Node, run: array[int], session: int) -> Node:
        """Adds a leaf owned by one session."""
        node = Node(run, parent, session)
        if parent.children is None:
            parent.children = {}
        parent.children[run[0]] = node
        self.block_count += len(run)
        self.node_count += 1
        self.link(node)
        return node

    def split(self, node: Node, at: int) -> Node:
        """Splits an edge; returns the upper node."""
        upper = Node(node.run[:at], node.parent, node.owner)
        assert node.parent is not None and node.parent.children is not None
        node.parent.children[upper.run[0]] = upper
        node.run = node.run[at:]
        node.parent = upper
        upper.children = {node.run[0]: node}
        self.node_count += 1
        self.link(upper)
        return upper

    def link(self, node: Node) -> None:
        """Appends a node, which must not be in the LRU list, to it as the most recently used."""
        node.older = self.newest
        node.newer = None
        if self.newest is not None:
            self.newest.newer = node
        self.newest = node
        self.oldest = self.oldest or node

    def unlink(self, node: Node) -> None:
        """Removes a node from the LRU list."""
        if node.older is not None:
            node.older.newer = node.newer
        else:
            self.oldest = node.newer
        if node.newer is not None:
            node.newer.older = node.older
        else:
            self.newest = node.older

    def drop_oldest(self) -> bool:
        """Evicts the least recently used leaf: the oldest node, as parents are more recently used than their children.
        Returns False if there is none."""
        node = self.oldest
        while node is not None and node.children:
            node = node.newer
        if node is None or node.parent is None or node.parent.children is None:
            return False
        self.unlink(node)
        del node.parent.children[node.run[0]]
        if not node.parent.children:
            node.parent.children = None
        self.block_count -= len(node.run)
        self.node_count -= 1
        return True

    def walk(self) -> Iterator[Node]:
        """All nodes, the root first."""
        stack = [self.root]
        while stack:
            node = stack.pop()
            yield node
            stack.extend((node.children or {}).values())


class PrefixHashTable:
    """The baseline for benchmarks and tests: a dict from the hash of every prefix to its owner."""

    def __init__(self, block_limit: int) -> None:
        self.block_limit = block_limit
        self.known: OrderedDict[int, int] = OrderedDict()

    def match_and_add(self, run: array[int], session: int) -> int:
        """Does the same as `PrefixIndex.match_and_add`."""
        shared = 0
        all_shared = True
        key = 0
        for i, block in enumerate(run):
            key = xxh3_64_intdigest(block.to_bytes(8, "little"), key)
            owner = self.known.pop(key, None)
            if owner is None:
                owner = session
                all_shared = False
            elif owner != session and all_shared:
                shared = i + 1
            else:
                all_shared = all_shared and owner != session
            self.known[key] = owner if owner == session else SHARED
        while len(self.known) > self.block_limit:
            self.known.popitem(last=False)
        return shared
