"""The tasks of a member, ordered by due time and driven by one pending timer."""

from __future__ import annotations

import heapq
from collections.abc import Iterator
from typing import NamedTuple

from sansio_core import SetTimer

from fleet_membership.tasks import Task

# Minimum delay of a timer: a timer that fires early is set again, which must not become a busy loop.
MIN_TIMER_MS = 0.01

# The time of an event that will not happen.
NEVER = float("inf")


class _Entry(NamedTuple):
    """A task in the heap; ``serial`` is unique and keeps tasks with the same due time in insertion order."""

    due_ms: float
    serial: int
    task: Task


class TaskSchedule:
    """A priority queue of tasks; they cannot be cancelled, so handlers ignore those no longer needed."""

    def __init__(self) -> None:
        self._heap: list[_Entry] = []
        self._serial = 0
        self._timer_token = -1
        self._timer_due_ms = NEVER

    def add(self, due_ms: float, task: Task) -> None:
        """Schedule a task for ``due_ms`` on the monotonic clock."""
        self._serial += 1
        heapq.heappush(self._heap, _Entry(due_ms, self._serial, task))

    def lateness_ms(self, now: float) -> float:
        """Return by how many ms the first task is overdue; 0 if none is."""
        if not self._heap:
            return 0.0
        return max(0.0, now - self._heap[0].due_ms)

    def postpone(self, by_ms: float) -> None:
        """Postpone all tasks by ``by_ms``."""
        self._heap = [entry._replace(due_ms=entry.due_ms + by_ms) for entry in self._heap]

    def pop_due(self, now: float) -> Iterator[Task]:
        """Remove and yield the tasks that are due, including those added during the iteration."""
        while self._heap and self._heap[0].due_ms <= now:
            yield heapq.heappop(self._heap).task

    def timer_fired(self, token: int) -> None:
        """Record that a timer fired; one that was replaced by an earlier timer is ignored."""
        if token == self._timer_token:
            self._timer_due_ms = NEVER

    def request_timer(self, now: float) -> list[SetTimer]:
        """Return the timer to set; empty if no task is scheduled or the pending timer is early enough."""
        if not self._heap or self._timer_due_ms <= self._heap[0].due_ms:
            return []
        self._timer_due_ms = self._heap[0].due_ms
        self._serial += 1
        self._timer_token = self._serial
        return [SetTimer(max(MIN_TIMER_MS, self._timer_due_ms - now), self._timer_token)]
