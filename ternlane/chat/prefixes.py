"""Finds how much of a prompt's beginning has been met in other sessions.

A radix tree over the hashes of fixed-size blocks: an edge holds a run of blocks as one array of 64-bit words, so a
long text that only one session ever sent costs eight bytes a block and one node. Nodes carry whose they are: one
session's, or shared. A set of blocks is dropped leaf by leaf, the longest unused first.
"""

from __future__ import annotations

from array import array
from collections import OrderedDict
from collections.abc import Iterator

from xxhash import xxh3_64_intdigest

BLOCK = 256  # bytes of canonical text
SHARED = -1


def blocks(text: bytes, block: int = BLOCK) -> array[int]:
    """Hashes of the whole blocks of a text; an unfinished last one is left out."""
    return array("Q", (xxh3_64_intdigest(text[i : i + block]) for i in range(0, len(text) - block + 1, block)))


class Node:
    """A run of blocks, and the run before it. `owner` is a session's number, or SHARED."""

    __slots__ = ("run", "parent", "children", "owner", "older", "newer")

    def __init__(self, run: array[int], parent: Node | None, owner: int) -> None:
        self.run = run
        self.parent = parent
        self.owner = owner
        self.children: dict[int, Node] | None = None
        self.older: Node | None = None  # neighbours in the order of last use
        self.newer: Node | None = None


class PrefixIndex:
    """`match_and_add` takes a prompt's blocks and its session's number, and says how many of them others have begun
    with."""

    def __init__(self, block_limit: int) -> None:
        self.block_limit = block_limit
        self.held = 0  # blocks
        self.nodes = 0
        self.root = Node(array("Q"), None, SHARED)
        self.oldest: Node | None = None
        self.newest: Node | None = None

    def match_and_add(self, run: array[int], session: int) -> int:
        """Blocks at the start of `run` that another session's prompt began with; `run` is remembered."""
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
        for used in reversed(path):  # a parent is always newer than its children
            self.unlink(used)
            self.link(used)
        while self.held > self.block_limit and self.drop_oldest():
            pass
        return shared

    @staticmethod
    def common(edge: array[int], run: array[int], at: int) -> int:
        """How many blocks an edge and a run share; arrays are compared whole first, as most edges match whole."""
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
        """A new leaf, of one session."""
        node = Node(run, parent, session)
        if parent.children is None:
            parent.children = {}
        parent.children[run[0]] = node
        self.held += len(run)
        self.nodes += 1
        self.link(node)
        return node

    def split(self, node: Node, at: int) -> Node:
        """Cuts an edge; gives the upper part."""
        upper = Node(node.run[:at], node.parent, node.owner)
        assert node.parent is not None and node.parent.children is not None
        node.parent.children[upper.run[0]] = upper
        node.run = node.run[at:]
        node.parent = upper
        upper.children = {node.run[0]: node}
        self.nodes += 1
        self.link(upper)
        return upper

    def link(self, node: Node) -> None:
        """Puts a node at the end of the order of last use."""
        node.older = self.newest
        node.newer = None
        if self.newest is not None:
            self.newest.newer = node
        self.newest = node
        self.oldest = self.oldest or node

    def unlink(self, node: Node) -> None:
        """Takes a node out of the order of last use."""
        if node.older is not None:
            node.older.newer = node.newer
        else:
            self.oldest = node.newer
        if node.newer is not None:
            node.newer.older = node.older
        else:
            self.newest = node.older

    def drop_oldest(self) -> bool:
        """Drops the least recently used leaf; the oldest node is one, as parents are newer than children."""
        node = self.oldest
        while node is not None and node.children:
            node = node.newer
        if node is None or node.parent is None or node.parent.children is None:
            return False
        self.unlink(node)
        del node.parent.children[node.run[0]]
        if not node.parent.children:
            node.parent.children = None
        self.held -= len(node.run)
        self.nodes -= 1
        return True

    def walk(self) -> Iterator[Node]:
        """All nodes, the root first."""
        stack = [self.root]
        while stack:
            node = stack.pop()
            yield node
            stack.extend((node.children or {}).values())


class PrefixHashTable:
    """The plain way, kept to measure against: a dict from the hash of every beginning to whose it was."""

    def __init__(self, block_limit: int) -> None:
        self.block_limit = block_limit
        self.known: OrderedDict[int, int] = OrderedDict()

    def match_and_add(self, run: array[int], session: int) -> int:
        """As `PrefixIndex.match_and_add`."""
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
