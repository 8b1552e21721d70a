"""A collection that stays sorted while its items change."""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Hashable
from typing import Generic, TypeVar

ItemT = TypeVar("ItemT", bound=Hashable)

# Compared element by element, smallest first. Its last element must differ between the items of one ranking.
RankingKey = tuple[float, ...]


def move_entry(
    entries: list[tuple[RankingKey, ItemT]], old_key: RankingKey | None, new_key: RankingKey | None, item: ItemT
) -> None:
    """Moves an entry of a sorted list to the place of its new key. Without an old key it is added, without a new one
    deleted."""
    if old_key is not None:
        # A tuple sorts before all longer ones that begin with it, so this is the entry with this key.
        del entries[bisect_left(entries, (old_key,))]
    if new_key is not None:
        insort(entries, (new_key, item))


class Ranking(Generic[ItemT]):
    """Items in ascending order of their keys. A change takes logarithmic time, apart from moving the list's memory."""

    def __init__(self) -> None:
        self.entries: list[tuple[RankingKey, ItemT]] = []  # sorted; to be read only
        self._keys: dict[ItemT, RankingKey] = {}

    def __len__(self) -> int:
        return len(self.entries)

    def __contains__(self, item: ItemT) -> bool:
        return item in self._keys

    def items(self) -> list[ItemT]:
        """The items in order."""
        return [item for _, item in self.entries]

    def first_key(self) -> RankingKey | None:
        """The smallest key; None if there are no items."""
        return self.entries[0][0] if self.entries else None

    def put(self, item: ItemT, key: RankingKey) -> None:
        """Adds an item, or moves it to the place of its new key."""
        before = self._keys.get(item)
        if before == key:
            return
        move_entry(self.entries, before, key, item)
        self._keys[item] = key

    def discard(self, item: ItemT) -> None:
        """Removes an item, if it is there."""
        key = self._keys.pop(item, None)
        if key is not None:
            move_entry(self.entries, key, None, item)
