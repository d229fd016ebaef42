"""The numbered events, each encoded once."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterator
from heapq import merge

from sortedcontainers import SortedDict

Encode = Callable[[int], bytes]  # an event under its number


class Log:
    """Events up to ``told`` have gone out; those up to ``head`` wait to be joined.

    A router whose ``resume`` is not below ``floor`` finds all that it lacks here.  What is superseded leaves
    the log only when what supersedes it goes out: until then nobody has been told either."""

    def __init__(self, first: int, most_changes: int, most_change_bytes: int) -> None:
        self.head = self.told = first - 1
        self.floor = first
        self.changes: SortedDict[int, bytes] = SortedDict()
        self.purges: SortedDict[int, bytes] = SortedDict()
        self.bytes = 0
        self._most, self._most_bytes = most_changes, most_change_bytes
        self._live: deque[int] = deque()  # changes that are not superseded
        self._live_bytes = 0
        self._retired: list[int] = []

    def __len__(self) -> int:
        return len(self.changes) + len(self.purges)

    @property
    def pending(self) -> bool:
        return self.head > self.told

    @property
    def crowded(self) -> bool:
        """Whether so much is superseded that it should go out now."""
        return len(self._retired) > self._most

    def add_purge(self, encode: Encode) -> int:
        return self._add(self.purges, encode)

    def add_change(self, encode: Encode, whole: bool) -> int:
        """A whole list supersedes all changes before it."""
        if whole:
            for number in self._live:
                self.retire(number)
            self._live.clear()
            self._live_bytes = 0
        number = self._add(self.changes, encode)
        self._live.append(number)
        self._live_bytes += len(self.changes[number])
        while len(self._live) > self._most or self._live_bytes > self._most_bytes:
            self._forget()
        return number

    def retire(self, number: int) -> None:
        """An event is superseded by one that follows."""
        if number > self.told:
            self.drop(number)
        else:
            self._retired.append(number)

    def drop(self, number: int) -> None:
        for events in (self.purges, self.changes):
            data = events.pop(number, None)
            if data is not None:
                self.bytes -= len(data)

    def flush(self) -> None:
        """What waits goes out now."""
        for number in self._retired:
            self.drop(number)
        self._retired.clear()
        self.told = self.head

    def first_after(self, resume: int) -> int:
        """The number of the first event that has gone out and is later; 0: none."""
        first = 0
        for events in (self.purges, self.changes):
            at = events.bisect_right(resume)
            if at < len(events):
                number = events.keys()[at]
                first = min(first, number) if first else number
        return first if first <= self.told else 0

    def after(self, resume: int) -> Iterator[tuple[int, bytes]]:
        """Events that have gone out and are later, by their numbers."""
        return merge(self.purges_after(resume), self._between(self.changes, resume))

    def purges_after(self, resume: int) -> Iterator[tuple[int, bytes]]:
        return self._between(self.purges, resume)

    def _between(self, events: SortedDict[int, bytes], resume: int) -> Iterator[tuple[int, bytes]]:
        return ((number, events[number]) for number in events.irange(resume + 1, self.told))

    def _add(self, events: SortedDict[int, bytes], encode: Encode) -> int:
        self.head += 1
        data = events[self.head] = encode(self.head)
        self.bytes += len(data)
        return self.head

    def _forget(self) -> None:
        number = self._live.popleft()
        self._live_bytes -= len(self.changes[number])
        self.drop(number)
        self.floor = number
