"""Tables of numbered slots, bounded; a number is not used again soon after its slot was freed."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Generic, TypeVar

T = TypeVar("T")


class SlotTable(Generic[T]):
    """Items by number.  A number is the slot's place plus the capacity times the uses of that slot so far,
    so a stale number finds nothing instead of the slot's next tenant."""

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self._items: dict[int, T] = {}
        self._free: list[int] = []
        self._opened = 0

    def __len__(self) -> int:
        return len(self._items)

    def __iter__(self) -> Iterator[T]:
        return iter(list(self._items.values()))

    def numbers(self) -> list[int]:
        return list(self._items)

    @property
    def full(self) -> bool:
        return len(self._items) >= self.capacity

    def add(self, item: T) -> int | None:
        """The item's number; None if the table is full."""
        if self.full:
            return None
        if self._free:
            number = self._free.pop()
        else:
            number, self._opened = self._opened, self._opened + 1
        self._items[number] = item
        return number

    def get(self, number: int) -> T | None:
        return self._items.get(number)

    def remove(self, number: int) -> T | None:
        """Free the slot; its next tenant gets another number."""
        item = self._items.pop(number, None)
        if item is not None:
            self._free.append(number + self.capacity)
        return item
