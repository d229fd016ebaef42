"""Bounded tables of numbered slots, in which no number is used again after its slot was freed."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Generic, TypeVar

Item = TypeVar("Item")


class SlotTableFullError(Exception):
    """Every slot of the table is in use."""

    def __init__(self, capacity: int) -> None:
        super().__init__(f"all {capacity} slots are taken")
        self.capacity = capacity


class SlotTable(Generic[Item]):
    """A table of items by number.

    A number is the slot's index plus the capacity times the number of times that the slot was freed.  A stale
    number therefore finds nothing, where the index alone would find the slot's next item.
    """

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self._items: dict[int, Item] = {}
        self._freed_numbers: list[int] = []  # next number of each free slot that was used before
        self._slots_ever_used = 0

    def __len__(self) -> int:
        return len(self._items)

    def __iter__(self) -> Iterator[Item]:
        return iter(list(self._items.values()))  # a copy: the table may change during the iteration

    def numbers(self) -> list[int]:
        """Return the numbers of all items, in the order in which they were added."""
        return list(self._items)

    @property
    def full(self) -> bool:
        """Whether every slot is in use."""
        return len(self._items) >= self.capacity

    def add(self, item: Item) -> int:
        """Put an item into a free slot and return its number.

        Raises:
            SlotTableFullError: every slot is in use.
        """
        if self.full:
            raise SlotTableFullError(self.capacity)
        number = self._take_free_number()
        self._items[number] = item
        return number

    def _take_free_number(self) -> int:
        if self._freed_numbers:
            return self._freed_numbers.pop()
        number = self._slots_ever_used
        self._slots_ever_used += 1
        return number

    def get(self, number: int) -> Item | None:
        """Return the item with that number; None if its slot was freed."""
        return self._items.get(number)

    def remove(self, number: int) -> Item | None:
        """Free the slot with that number and return its item; None if it was freed before."""
        item = self._items.pop(number, None)
        if item is not None:
            self._freed_numbers.append(number + self.capacity)
        return item
