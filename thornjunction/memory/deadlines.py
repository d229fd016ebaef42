"""The queue of all deadlines of the process, ordered by time."""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable

# Greatest number of pending deadlines: a few per open request, attempt and connection, all bounded.
MAX_DEADLINES = 1 << 17

# Number of cancelled entries up to which the heap is not rebuilt without them.
MIN_CANCELLED_TO_COMPACT = 256


class DeadlineCallbackErrors(ExceptionGroup[Exception]):
    """The exceptions of the callbacks that failed in one call of ``Deadlines.run_due``."""

    def __new__(cls, failures: list[Exception]) -> DeadlineCallbackErrors:
        """Create a group of these exceptions."""
        return super().__new__(cls, "deadline callbacks failed", failures)


class TooManyDeadlinesError(OverflowError):
    """The queue is full: its capacity of pending deadlines is reached."""

    def __init__(self, capacity: int) -> None:
        super().__init__(f"{capacity} deadlines are pending")
        self.capacity = capacity


class Deadline:
    """A pending, executed or cancelled deadline.

    Attributes:
        callback: called when the deadline is due; None: it was called or cancelled.
        in_heap: whether the queue still has an entry for it.
    """

    __slots__ = ("callback", "in_heap")

    def __init__(self, callback: Callable[[], None]) -> None:
        self.callback: Callable[[], None] | None = callback
        self.in_heap = True


# Due time in ms; a sequence number, which orders equal times by when they were added; the deadline.  It is a
# plain tuple because heapq compares tuples without running Python code.
_HeapEntry = tuple[float, int, Deadline]


class Deadlines:
    """A queue of deadlines on the core's clock, in ms; those with equal times run in the order added.

    Args:
        on_earlier_due: called with the due time of each new deadline that is due before all others, so that
            the timer that runs the queue can be set earlier.
        capacity: greatest number of pending deadlines.
    """

    def __init__(
        self, on_earlier_due: Callable[[float], None] | None = None, capacity: int = MAX_DEADLINES
    ) -> None:
        self.on_earlier_due = on_earlier_due
        self.capacity = capacity
        self._heap: list[_HeapEntry] = []
        self._sequence = 0
        self._cancelled_in_heap = 0

    def __len__(self) -> int:
        return len(self._heap) - self._cancelled_in_heap

    def add(self, due_ms: float, callback: Callable[[], None]) -> Deadline:
        """Schedule the callback for a time on the core's clock.

        Raises:
            TooManyDeadlinesError: the queue is full.
        """
        heap = self._heap
        if len(heap) - self._cancelled_in_heap >= self.capacity:
            raise TooManyDeadlinesError(self.capacity)
        is_earliest = not heap or due_ms < heap[0][0]
        self._sequence += 1
        deadline = Deadline(callback)
        heapq.heappush(heap, (due_ms, self._sequence, deadline))
        if is_earliest and self.on_earlier_due is not None:
            self.on_earlier_due(due_ms)
        return deadline

    def cancel(self, deadline: Deadline | None) -> None:
        """Cancel a deadline; None and a deadline that has run or was cancelled are ignored."""
        if deadline is None or deadline.callback is None:
            return
        deadline.callback = None
        if deadline.in_heap:
            self._cancelled_in_heap += 1
        if self._cancelled_in_heap > max(MIN_CANCELLED_TO_COMPACT, len(self._heap) // 2):
            self._drop_cancelled()

    def _drop_cancelled(self) -> None:
        self._heap = [entry for entry in self._heap if entry[2].callback is not None]
        heapq.heapify(self._heap)
        self._cancelled_in_heap = 0

    def next_due(self) -> float:
        """Return the due time of the earliest pending deadline, in ms; infinity if there is none."""
        heap = self._heap
        while heap:
            due_ms, _, deadline = heap[0]
            if deadline.callback is not None:
                return due_ms
            heapq.heappop(heap)
            self._cancelled_in_heap -= 1
        return math.inf

    def run_due(self, now_ms: float) -> None:
        """Run all callbacks that are due; deadlines that they add run in a later call, even if already due.

        Raises:
            DeadlineCallbackErrors: some callbacks raised; all other due callbacks have run.
        """
        failures: list[Exception] = []
        for deadline in self._take_due(now_ms):
            callback = deadline.callback
            deadline.callback = None
            if callback is None:  # an earlier callback of this call has cancelled it
                continue
            try:
                callback()
            except Exception as error:  # the other due callbacks must still run
                failures.append(error)
        if failures:
            raise DeadlineCallbackErrors(failures)

    def _take_due(self, now_ms: float) -> list[Deadline]:
        """Remove and return the deadlines that are due, the earliest first."""
        heap = self._heap
        due: list[Deadline] = []
        while heap and heap[0][0] <= now_ms:
            _, _, deadline = heapq.heappop(heap)
            if deadline.callback is None:
                self._cancelled_in_heap -= 1
            else:
                deadline.in_heap = False
                due.append(deadline)
        return due
