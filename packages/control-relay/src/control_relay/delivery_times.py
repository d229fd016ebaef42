"""The times at which events were delivered."""

from __future__ import annotations

import math
from bisect import bisect_right
from typing import NamedTuple

# Upper bound on the stored batches; if it is exceeded, every other one of the older half is dropped.
MAX_BATCHES = 1_024


class _Batch(NamedTuple):
    last_number: int
    delivered_at_ms: float


class DeliveryTimes:
    """Delivery times of the last batches, coarser for older ones."""

    def __init__(self) -> None:
        self._batches: list[_Batch] = []

    def record(self, last_number: int, now: float) -> None:
        """Record that all events up to ``last_number`` are delivered."""
        self._batches.append(_Batch(last_number, now))
        if len(self._batches) > MAX_BATCHES:
            half = MAX_BATCHES // 2
            self._batches = self._batches[0:half:2] + self._batches[half:]

    def first_after(self, number: int) -> float:
        """Return when an event after this number was first delivered; infinite where none was."""
        index = bisect_right(self._batches, number, key=lambda batch: batch.last_number)
        return self._batches[index].delivered_at_ms if index < len(self._batches) else math.inf
