"""All deadlines of the program, in one ordered structure."""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable

LIMIT = 1 << 17  # entries at most: some for each open request, attempt and connection, all bounded tables
COMPACT_OVER = 256  # called-off entries that may lie about before the heap is rebuilt


class Deadline:
    """One entry: what to call when its time has come."""

    __slots__ = ("call", "queued")

    def __init__(self, call: Callable[[], None]) -> None:
        self.call: Callable[[], None] | None = call
        self.queued = True


class Deadlines:
    """A heap of deadlines on the core's clock; equal times run in the order added."""

    def __init__(self, on_sooner: Callable[[float], None] | None = None, limit: int = LIMIT) -> None:
        self.on_sooner, self.limit = on_sooner, limit
        self._heap: list[tuple[float, int, Deadline]] = []
        self._turn = self._dead = 0

    def __len__(self) -> int:
        return len(self._heap) - self._dead

    def add(self, when: float, call: Callable[[], None]) -> Deadline:
        """Call at that time; OverflowError when the structure is full."""
        if len(self) >= self.limit:
            raise OverflowError("too many deadlines")
        self._turn += 1
        entry = Deadline(call)
        sooner = not self._heap or when < self._heap[0][0]
        heapq.heappush(self._heap, (when, self._turn, entry))
        if sooner and self.on_sooner is not None:
            self.on_sooner(when)
        return entry

    def cancel(self, entry: Deadline | None) -> None:
        """Call off; harmless for one that has run or is none."""
        if entry is None or entry.call is None:
            return
        entry.call = None
        self._dead += entry.queued
        if self._dead > max(COMPACT_OVER, len(self._heap) // 2):
            self._heap = [kept for kept in self._heap if kept[2].call is not None]
            heapq.heapify(self._heap)
            self._dead = 0

    def next_due(self) -> float:
        """When the next one is due; infinite if there is none."""
        while self._heap and self._heap[0][2].call is None:
            heapq.heappop(self._heap)
            self._dead -= 1
        return self._heap[0][0] if self._heap else math.inf

    def run_due(self, now: float) -> None:
        """Call all that are due; what is added meanwhile waits for the next run."""
        due: list[Deadline] = []
        while self.next_due() <= now:
            due.append(heapq.heappop(self._heap)[2])
            due[-1].queued = False
        for entry in due:
            call, entry.call = entry.call, None
            if call is not None:  # an earlier one of this run may have called it off
                call()
