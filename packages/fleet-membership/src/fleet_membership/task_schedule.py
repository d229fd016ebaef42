"""What is due when, on one wake-up timer at a time."""

from __future__ import annotations

import heapq
from collections.abc import Iterator

from sansio_core import SetTimer

LEAST = 0.01  # ms of a timer: one that fires a little early is asked for again, and must not spin
Task = tuple[str, int | str]  # what, and on which number or name


class Agenda:
    """Nothing is ever revoked: a task that is no longer needed is passed over by its owner."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, Task]] = []
        self._serial = 0
        self._token = -1
        self._woken = float("inf")  # when the nearest timer that was asked for fires

    def at(self, due: float, what: str, on: int | str = 0) -> None:
        self._serial += 1
        heapq.heappush(self._heap, (due, self._serial, (what, on)))

    def lateness(self, now: float) -> float:
        """By how much the first task is overdue."""
        return max(0.0, now - self._heap[0][0]) if self._heap else 0.0

    def shift(self, by: float) -> None:
        self._heap = [(due + by, serial, task) for due, serial, task in self._heap]

    def due(self, now: float) -> Iterator[Task]:
        while self._heap and self._heap[0][0] <= now:
            yield heapq.heappop(self._heap)[2]

    def fired(self, token: int) -> None:
        """A timer fired: the nearest one, perhaps a little early, or one that was overtaken."""
        if token == self._token:
            self._woken = float("inf")

    def wake(self, now: float) -> list[SetTimer]:
        """The timer still to ask for, if any."""
        if not self._heap or self._woken <= self._heap[0][0]:
            return []
        self._woken = self._heap[0][0]
        self._token = self._serial = self._serial + 1
        return [SetTimer(max(LEAST, self._woken - now), self._token)]
