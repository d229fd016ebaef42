"""The log of numbered events, each encoded once."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from heapq import merge
from typing import NamedTuple

from sortedcontainers import SortedDict


class LogEvent(NamedTuple):
    """An event number and the encoded event."""

    number: int
    data: bytes


class EventLog:
    """Stores events up to ``head``, of which those up to ``delivered`` have been delivered to members.

    The log contains every event that a member lacks whose ``resume`` is not below ``floor``.  A superseded
    event leaves the log only when the event that supersedes it is delivered: a response in between that
    contained neither would acknowledge both.
    """

    def __init__(self, first_number: int, max_list_changes: int, max_list_change_bytes: int) -> None:
        self.head = first_number - 1
        self.delivered = first_number - 1
        self.floor = first_number
        self.size_bytes = 0
        self._max_list_changes = max_list_changes
        self._max_list_change_bytes = max_list_change_bytes
        self._list_changes: SortedDict[int, bytes] = SortedDict()
        self._purges: SortedDict[int, bytes] = SortedDict()
        self._current_changes: deque[int] = deque()  # numbers of changes that are not superseded
        self._current_change_bytes = 0
        self._superseded: list[int] = []

    def __len__(self) -> int:
        return len(self._list_changes) + len(self._purges)

    @property
    def next_number(self) -> int:
        """The number of the event that is appended next."""
        return self.head + 1

    @property
    def has_undelivered(self) -> bool:
        """Whether events wait to be delivered."""
        return self.head > self.delivered

    @property
    def has_too_many_superseded(self) -> bool:
        """Whether the superseded events exceed the number at which the batch should be delivered now."""
        return len(self._superseded) > self._max_list_changes

    def append_purge(self, data: bytes) -> int:
        """Append an encoded purge; return its number."""
        return self._append(self._purges, data)

    def append_list_change(self, data: bytes, is_complete: bool) -> int:
        """Append an encoded list event; return its number. A complete list supersedes all earlier changes."""
        if is_complete:
            for superseded in self._current_changes:
                self.supersede(superseded)
            self._current_changes.clear()
            self._current_change_bytes = 0
        number = self._append(self._list_changes, data)
        self._current_changes.append(number)
        self._current_change_bytes += len(data)
        while self._exceeds_bounds():
            self._drop_oldest_change()
        return number

    def supersede(self, number: int) -> None:
        """Mark an event as superseded by a later one."""
        if number > self.delivered:
            self.remove(number)
        else:
            self._superseded.append(number)

    def remove(self, number: int) -> None:
        """Remove an event, if it is still present."""
        for events in (self._purges, self._list_changes):
            data = events.pop(number, None)
            if data is not None:
                self.size_bytes -= len(data)

    def mark_delivered(self) -> None:
        """Mark all events up to ``head`` as delivered, and remove those that they supersede."""
        for number in self._superseded:
            self.remove(number)
        self._superseded.clear()
        self.delivered = self.head

    def first_after(self, resume: int) -> int | None:
        """Return the number of the first delivered event after ``resume``; None where there is none."""
        first = None
        for events in (self._purges, self._list_changes):
            index = events.bisect_right(resume)
            if index < len(events):
                number = events.keys()[index]
                first = number if first is None else min(first, number)
        return first if first is not None and first <= self.delivered else None

    def events_after(self, resume: int) -> Iterator[LogEvent]:
        """Yield the delivered events after ``resume`` in the order of their numbers."""
        return merge(self.purges_after(resume), self._delivered_after(self._list_changes, resume))

    def purges_after(self, resume: int) -> Iterator[LogEvent]:
        """Yield the delivered purges after ``resume`` in the order of their numbers."""
        return self._delivered_after(self._purges, resume)

    def _delivered_after(self, events: SortedDict[int, bytes], resume: int) -> Iterator[LogEvent]:
        return (LogEvent(number, events[number]) for number in events.irange(resume + 1, self.delivered))

    def _append(self, events: SortedDict[int, bytes], data: bytes) -> int:
        self.head += 1
        events[self.head] = data
        self.size_bytes += len(data)
        return self.head

    def _exceeds_bounds(self) -> bool:
        if len(self._current_changes) > self._max_list_changes:
            return True
        return self._current_change_bytes > self._max_list_change_bytes

    def _drop_oldest_change(self) -> None:
        number = self._current_changes.popleft()
        self._current_change_bytes -= len(self._list_changes[number])
        self.remove(number)
        self.floor = number
